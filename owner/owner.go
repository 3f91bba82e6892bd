// Package owner runs the jobs at the entry that owns them: it records what was
// promised, keeps sessions with VMs, and carries out what package schedule
// decides.
//
// # Usage
//
//	o := owner.New(owner.Config{Ledger: l, Valid: s.Valid, VMs: vms, Machines: machines})
//	o.Elected(term)
//	answer := o.Submit(ctx, j)
package owner

import (
	"context"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"almondcove/delay"
	"almondcove/job"
	"almondcove/ledger"
	"almondcove/schedule"
	"almondcove/shard"
)

// The times of an owner.
const (
	// planEvery is how often the core looks at what is due by time alone.
	planEvery = 100 * time.Millisecond
	// planGap is the least time between two looks, so that events gather.
	planGap = 4 * time.Millisecond
	// planRest is how many times as long as a look took the next one waits at the
	// least, so that orders and answers get their part of a busy processor.
	planRest = 4
	// commitGap is the least time between two commits, so that records gather.
	commitGap = 12 * time.Millisecond
	// orderTimeout bounds an order to a VM.
	orderTimeout = 500 * time.Millisecond
	// holdTimeout bounds a hold beyond the time that the VM may wait.
	holdTimeout = 500 * time.Millisecond
	// holdGap is the least time between two holds of a VM, so that ends gather;
	// holdGapEach is added for each VM, since all reports go through one processor.
	holdGap     = 50 * time.Millisecond
	holdGapEach = 400 * time.Microsecond
	// holdRetry is the pause after a hold that failed.
	holdRetry = 100 * time.Millisecond
	// loadRetry is the pause after records could not be read.
	loadRetry = 150 * time.Millisecond
	// loadTimeout bounds one try to read the records.
	loadTimeout = 4 * time.Second
	// loadFor is how long an owner tries before it lets another entry try: an entry
	// with a slow link may never read them.
	loadFor = 5 * time.Second
	// machinesEvery is the pause between lists of the machines while some are to be
	// taken; machinesIdle is added to it otherwise.
	machinesEvery = 500 * time.Millisecond
	machinesIdle  = 4500 * time.Millisecond
	// machineTimeout bounds an order for a machine.
	machineTimeout = 1200 * time.Millisecond
	// stuckAfter is when a commit without an answer means that the store is lost.
	stuckAfter = 400 * time.Millisecond
	// lostFor is how long after a refused commit jobs are refused without a try.
	lostFor = 300 * time.Millisecond
	// retryLost is when callers may come back while the store is lost.
	retryLost = 2 * time.Second
	// retrySoon is when callers may come back after a change of owner.
	retrySoon = time.Second
	// gateMargin is added to the longest hold when a VM can't be asked.
	gateMargin = 500 * time.Millisecond
)

// Config configures an owner.
type Config struct {
	Ledger *ledger.Ledger
	// Schedule configures the core; its epoch is set by elections.
	Schedule schedule.Config
	// Valid tells whether orders may be given.
	Valid    func() bool
	VMs      VMs
	Machines Machines
	Advisor  Advisor
	// Report writes how far maintenance waves are.
	Report func(ctx context.Context, states []schedule.WaveState) error
	// GiveUp is called when the owner can't read the records, so that another entry
	// may try.
	GiveUp func(reason string)
	// Committed is told of each commit, and Ordered of each order and its result.
	Committed func(took time.Duration, err error)
	Ordered   func(order, result string)
	Log       hclog.Logger
}

// Owner carries out the schedule. Its methods may be called from any goroutine.
type Owner struct {
	config Config
	ctx    context.Context
	cancel context.CancelFunc
	done   sync.WaitGroup
	// plan and commit wake their goroutines.
	plan, commit chan struct{}
	// look wakes the listing of machines.
	look chan struct{}

	mu sync.Mutex
	// core is nil until the first election.
	core *schedule.Core
	// active is set while this entry is the owner and has read the records.
	active bool
	// term is that of the last election; a recovery of an earlier one is void.
	term shard.Term
	view schedule.View
	// configured is set once there is a view.
	configured bool
	vms        []schedule.VM
	list       bool
	pending    map[job.ID]*acceptance
	queue      []*acceptance
	waiters    []*waiter
	// loops holds the VMs with which a session is kept.
	loops map[string]*session
	// since is when the commit on its way was begun; zero means none.
	since time.Time
	// lost is when the store last refused a commit; zero after one that it took.
	lost time.Time
}

// acceptance is a job on its way into the ledger.
type acceptance struct {
	job    *job.Job
	answer chan Answer
	// writing is set once the job is part of a commit.
	writing bool
	waiting int
}

// waiter waits until the phase of a job is recorded.
type waiter struct {
	id   job.ID
	done chan struct{}
}

// New returns an owner that owns nothing yet.
func New(c Config) *Owner {
	ctx, cancel := context.WithCancel(context.Background())
	o := &Owner{
		config: c, ctx: ctx, cancel: cancel,
		plan: make(chan struct{}, 1), commit: make(chan struct{}, 1), look: make(chan struct{}, 1),
		pending: make(map[job.ID]*acceptance), loops: make(map[string]*session),
	}
	o.done.Go(o.planLoop)
	o.done.Go(o.commitLoop)
	o.done.Go(o.machineLoop)
	return o
}

// Close stops all goroutines. What VMs run goes on.
func (o *Owner) Close() {
	o.cancel()
	o.done.Wait()
}

func wake(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// SetView takes the operators' configuration.
func (o *Owner) SetView(v schedule.View) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.view = v
	o.configured = true
	if o.core != nil {
		o.core.SetView(v, time.Now())
		wake(o.plan)
	}
}

// SetVMs takes the platform's list of VMs.
func (o *Owner) SetVMs(list []schedule.VM) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.vms = list
	o.list = true
	if o.core != nil && o.active {
		o.core.SetVMs(list, time.Now())
		o.keepSessions()
		wake(o.plan)
		wake(o.commit)
	}
}

// vm returns what is known of a VM.
func (o *Owner) vm(id string) (schedule.VM, bool) {
	if o.core == nil {
		return schedule.VM{}, false
	}
	return o.core.VM(id)
}

// planLoop carries out what the core decides.
func (o *Owner) planLoop() {
	tick := time.NewTicker(planEvery)
	defer tick.Stop()
	for {
		select {
		case <-o.ctx.Done():
			return
		case <-o.plan:
		case <-tick.C:
		}
		began := time.Now()
		if o.config.Valid() {
			o.planOnce()
		}
		if !delay.For(o.ctx, max(planGap, planRest*time.Since(began))) {
			return
		}
	}
}

func (o *Owner) planOnce() {
	o.mu.Lock()
	defer o.mu.Unlock()
	if !o.active {
		return
	}
	o.refuseQueued()
	for _, a := range o.core.Plan(time.Now()) {
		o.carryOut(a)
	}
	if o.core.NeedsMachineList() {
		wake(o.look)
	}
}

// Stats returns what the owner has counted, and its pools; both are empty while
// this entry owns nothing.
func (o *Owner) Stats() (schedule.Stats, []schedule.PoolState) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.core == nil || !o.active {
		return schedule.Stats{}, nil
	}
	return o.core.Stats(), o.core.Pools(time.Now())
}
