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
	"encoding/json"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"almondcove/job"
	"almondcove/ledger"
	"almondcove/schedule"
	"almondcove/shard"
	"almondcove/store"
)

// The times of an owner.
const (
	// planEvery is how often the core looks at what is due by time alone.
	planEvery = 100 * time.Millisecond
	// planGap is the least time between two looks, so that events gather.
	planGap = 4 * time.Millisecond
	// commitGap is the least time between two commits, so that records gather.
	commitGap = 12 * time.Millisecond
	// orderTimeout bounds an order to a VM.
	orderTimeout = 800 * time.Millisecond
	// holdTimeout bounds a hold beyond the time that the VM may wait.
	holdTimeout = 700 * time.Millisecond
	// holdGap is the least time between two holds of a VM, so that ends gather.
	holdGap = 60 * time.Millisecond
	// holdRetry is the pause after a hold that failed.
	holdRetry = 250 * time.Millisecond
	// loadRetry is the pause after records could not be read.
	loadRetry = 150 * time.Millisecond
	// loadTimeout bounds one try to read the records.
	loadTimeout = 4 * time.Second
	// machinesEvery and machinesIdle are how often the machines are listed while
	// some are to be taken, and otherwise.
	machinesEvery = 500 * time.Millisecond
	machinesIdle  = 5 * time.Second
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

	mu sync.Mutex
	// core is nil until the first election.
	core *schedule.Core
	// active is set while this entry is the owner and has read the records.
	active bool
	// term is that of the last election; a recovery of an earlier one is void.
	term    shard.Term
	view    schedule.View
	vms     []schedule.VM
	list    bool
	pending map[job.ID]*acceptance
	queue   []*acceptance
	waiters []*waiter
	// loops holds the VMs with which a session is kept.
	loops map[string]*session
	// since is when the commit on its way was begun; zero means none.
	since time.Time
	// lost is when the store last refused a commit; zero after one that it took.
	lost time.Time
}

// session is the goroutine of one VM.
type session struct {
	look chan struct{}
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
		plan: make(chan struct{}, 1), commit: make(chan struct{}, 1),
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

func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}

// SetView takes the operators' configuration.
func (o *Owner) SetView(v schedule.View) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.view = v
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

// Elected makes the owner act under a new term.
func (o *Owner) Elected(t shard.Term) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.term = t
	o.config.Ledger.Take(t.Tail)
	if t.Again && o.core != nil {
		o.core.SetEpoch(t.Epoch)
		if o.list {
			o.core.SetVMs(o.vms, time.Now())
		}
		o.active = true
		o.keepSessions()
		wake(o.plan)
		wake(o.commit)
		return
	}
	o.core = nil
	o.done.Go(func() { o.recover(t) })
}

// Deposed makes the owner stop at once.
func (o *Owner) Deposed() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.active = false
	o.list = false
	for _, a := range o.queue {
		if !a.writing {
			o.settle(a, Answer{Outcome: Refused, Retry: retrySoon, Reason: "owner replaced"})
		}
	}
	o.queue = nil
}

// HandOver records what runs where, so that the next owner can go on at once,
// and stops giving orders. ctx bounds it.
func (o *Owner) HandOver(ctx context.Context) {
	o.mu.Lock()
	if o.active {
		o.core.Close()
		wake(o.commit)
	}
	o.mu.Unlock()
	for ctx.Err() == nil {
		o.mu.Lock()
		left := o.active && (o.core.Unrecorded() || !o.since.IsZero() || len(o.queue) > 0)
		o.mu.Unlock()
		if !left {
			return
		}
		sleep(ctx, commitGap)
	}
}

// current reports whether a term is still the one of the last election.
func (o *Owner) current(t shard.Term) bool {
	return o.term.Epoch == t.Epoch
}

// recover reads the records and begins to act.
func (o *Owner) recover(t shard.Term) {
	began := time.Now()
	for o.ctx.Err() == nil {
		o.mu.Lock()
		current := o.current(t)
		o.mu.Unlock()
		if !current {
			return
		}
		ctx, cancel := context.WithTimeout(o.ctx, loadTimeout)
		content, err := o.config.Ledger.Load(ctx)
		cancel()
		if err == nil {
			err = o.begin(t, content, began)
		}
		if err == nil {
			return
		}
		o.config.Log.Warn("records not read", "epoch", t.Epoch, "error", err)
		sleep(o.ctx, loadRetry)
	}
}

// begin makes a core of the records.
func (o *Owner) begin(t shard.Term, content ledger.Content, began time.Time) error {
	var fleet schedule.Fleet
	if content.Fleet != nil {
		if err := json.Unmarshal(content.Fleet, &fleet); err != nil {
			return &store.Invalid{Call: "fleet", Cause: err}
		}
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if !o.current(t) {
		return nil
	}
	now := time.Now()
	c := o.config.Schedule
	c.Epoch = t.Epoch
	c.Log = o.config.Log
	o.core = schedule.New(c)
	o.core.SetView(o.view, now)
	o.core.Gate(fleet, began, c.Hold+c.Hold/50+gateMargin)
	for _, k := range content.Jobs {
		o.core.Add(k.Job, k.State, now)
	}
	if o.list {
		o.core.SetVMs(o.vms, now)
	}
	o.active = true
	o.keepSessions()
	o.config.Log.Info("records read", "epoch", t.Epoch, "jobs", len(content.Jobs), "vms", len(fleet.VMs), "took", time.Since(began))
	wake(o.plan)
	wake(o.commit)
	return nil
}

// keepSessions starts a goroutine for each VM that has none.
func (o *Owner) keepSessions() {
	for _, v := range o.core.Sessions() {
		if o.loops[v.ID] != nil {
			continue
		}
		s := &session{look: make(chan struct{}, 1)}
		o.loops[v.ID] = s
		o.done.Go(func() { o.hold(v.ID, s) })
		o.done.Go(func() { o.lookAfter(v.ID, s) })
	}
}

// vm returns what is known of a VM.
func (o *Owner) vm(id string) (schedule.VM, bool) {
	if o.core == nil {
		return schedule.VM{}, false
	}
	return o.core.VM(id)
}

// hold keeps the session with one VM.
func (o *Owner) hold(id string, s *session) {
	for o.ctx.Err() == nil {
		began := time.Now()
		ok, there := o.holdOnce(id)
		if !there {
			close(s.look)
			return
		}
		pause := holdGap - time.Since(began)
		if !ok {
			pause = holdRetry
		}
		if pause > 0 && !sleep(o.ctx, pause) {
			return
		}
	}
}

// lookAfter makes the holds that can't wait until the one on its way returns.
func (o *Owner) lookAfter(id string, s *session) {
	for {
		select {
		case <-o.ctx.Done():
			return
		case _, open := <-s.look:
			if !open {
				return
			}
			o.holdOnce(id)
		}
	}
}

// holdOnce makes one hold. It reports whether it was answered, and whether the
// VM is still there.
func (o *Owner) holdOnce(id string) (bool, bool) {
	if !o.config.Valid() {
		return false, true
	}
	o.mu.Lock()
	if !o.active {
		o.mu.Unlock()
		return false, true
	}
	v, _ := o.vm(id)
	h, there := o.core.Hold(id, time.Now())
	core := o.core
	if !there {
		delete(o.loops, id)
	}
	o.mu.Unlock()
	if !there {
		return false, false
	}
	ctx, cancel := context.WithTimeout(o.ctx, h.Wait+holdTimeout)
	defer cancel()
	report, result := o.config.VMs.Hold(ctx, v, h)
	o.config.Ordered("hold", result.String())
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.core != core {
		return false, true
	}
	if result == schedule.Accepted {
		core.Held(h, report, time.Now())
	} else {
		core.HoldFailed(h, result, time.Now())
	}
	wake(o.plan)
	wake(o.commit)
	return result == schedule.Accepted, true
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
		if o.config.Valid() {
			o.planOnce()
		}
		if !sleep(o.ctx, planGap) {
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
}

// carryOut begins an action. It is called with the lock held.
func (o *Owner) carryOut(a schedule.Action) {
	core, epoch := o.core, o.term.Epoch
	switch a := a.(type) {
	case schedule.Look:
		if s := o.loops[a.VM]; s != nil {
			wake(s.look)
		}
	case schedule.Start:
		v, _ := o.vm(a.VM)
		o.done.Go(func() { o.start(core, v, a) })
	case schedule.Stop:
		v, _ := o.vm(a.VM)
		o.done.Go(func() { o.stop(core, v, a) })
	case schedule.Pace:
		v, _ := o.vm(a.VM)
		o.done.Go(func() { o.pace(core, v, a) })
	case schedule.Maintain:
		o.done.Go(func() { o.maintain(core, epoch, a) })
	case schedule.Move:
		o.done.Go(func() { o.move(core, epoch, a) })
	case schedule.Advise:
		o.done.Go(func() { o.advise(core, a) })
	}
}

// tell passes a result to the core that asked for it, unless it was replaced.
func (o *Owner) tell(core *schedule.Core, f func(now time.Time)) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.core == core {
		f(time.Now())
		wake(o.plan)
		wake(o.commit)
	}
}

func (o *Owner) start(core *schedule.Core, v schedule.VM, a schedule.Start) {
	ctx, cancel := context.WithTimeout(o.ctx, orderTimeout)
	defer cancel()
	result := schedule.Unsent
	if o.config.Valid() {
		result = o.config.VMs.Start(ctx, v, a)
	}
	o.config.Ordered("start", result.String())
	o.tell(core, func(now time.Time) { core.Started(a, result, now) })
}

func (o *Owner) stop(core *schedule.Core, v schedule.VM, a schedule.Stop) {
	ctx, cancel := context.WithTimeout(o.ctx, orderTimeout)
	defer cancel()
	result := schedule.Unsent
	if o.config.Valid() {
		result = o.config.VMs.Stop(ctx, v, a)
	}
	o.config.Ordered("stop", result.String())
	o.tell(core, func(now time.Time) { core.Stopped(a, result, now) })
}

func (o *Owner) pace(core *schedule.Core, v schedule.VM, a schedule.Pace) {
	ctx, cancel := context.WithTimeout(o.ctx, orderTimeout)
	defer cancel()
	result := schedule.Unsent
	if o.config.Valid() {
		result = o.config.VMs.Pace(ctx, v, a)
	}
	o.config.Ordered("pace", result.String())
	o.tell(core, func(now time.Time) { core.Paced(a, result, now) })
}

// adviceTimeout bounds a question to the advice service, which takes its
// questions in turn.
const adviceTimeout = 2500 * time.Millisecond

func (o *Owner) advise(core *schedule.Core, a schedule.Advise) {
	ctx, cancel := context.WithTimeout(o.ctx, adviceTimeout)
	defer cancel()
	tickets, valid, err := o.config.Advisor.Advise(ctx, a)
	if err != nil {
		o.config.Log.Warn("no advice", "job", a.Stage.Job, "step", a.Stage.Step, "error", err)
	}
	o.tell(core, func(now time.Time) { core.Advised(a.Stage, tickets, valid, now) })
}

func (o *Owner) maintain(core *schedule.Core, epoch int64, a schedule.Maintain) {
	ctx, cancel := context.WithTimeout(o.ctx, machineTimeout)
	defer cancel()
	result := schedule.MachineUnanswered
	if o.config.Valid() {
		result = o.config.Machines.Maintain(ctx, epoch, a)
	}
	o.config.Ordered("maintain", result.String())
	o.tell(core, func(now time.Time) { core.Maintained(a, result, now) })
}

func (o *Owner) move(core *schedule.Core, epoch int64, a schedule.Move) {
	ctx, cancel := context.WithTimeout(o.ctx, machineTimeout)
	defer cancel()
	result := schedule.MachineUnanswered
	if o.config.Valid() {
		result = o.config.Machines.Move(ctx, epoch, a)
	}
	o.config.Ordered("move", result.String())
	o.tell(core, func(now time.Time) { core.Moved(a, result, now) })
}

// machineLoop lists the machines and reports on maintenance.
func (o *Owner) machineLoop() {
	var told []schedule.WaveState
	for o.ctx.Err() == nil {
		pause := o.machinesOnce(&told)
		if !sleep(o.ctx, pause) {
			return
		}
	}
}

func (o *Owner) machinesOnce(told *[]schedule.WaveState) time.Duration {
	o.mu.Lock()
	core, active := o.core, o.active
	o.mu.Unlock()
	if !active || !o.config.Valid() {
		*told = nil
		return machinesEvery
	}
	ctx, cancel := context.WithTimeout(o.ctx, machineTimeout)
	defer cancel()
	asked := time.Now()
	list, err := o.config.Machines.List(ctx)
	if err != nil {
		o.config.Log.Warn("machines not listed", "error", err)
		return machinesEvery
	}
	var states []schedule.WaveState
	var pressing bool
	o.tell(core, func(time.Time) {
		core.SetMachines(list, asked)
		states = core.WaveStates()
		pressing = core.Pressing()
	})
	if !equalStates(states, *told) && o.config.Valid() {
		if err := o.config.Report(ctx, states); err != nil {
			o.config.Log.Warn("waves not reported", "error", err)
			return machinesEvery
		}
		*told = states
	}
	if pressing {
		return machinesEvery
	}
	return machinesIdle
}

func equalStates(a, b []schedule.WaveState) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		if a[i] != b[i] {
			return false
		}
	}
	return true
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
