// Package owner runs the jobs at the entry that owns them. It records accepted jobs
// and their states in the ledger, keeps a session with each VM, and executes the
// actions that package schedule decides on.
//
// # Usage
//
//	o := owner.New(owner.Config{Ledger: l, HoldsOwnership: s.HoldsOwnership, VMs: vms, Machines: machines})
//	o.Elected(term)
//	answer := o.Submit(ctx, j)
package owner

import (
	"context"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"almondcove/congestion"
	"almondcove/delay"
	"almondcove/job"
	"almondcove/ledger"
	"almondcove/schedule"
	"almondcove/shard"
)

// Intervals, timeouts and retry times.
const (
	// planInterval is how often the core plans without an event, so that it also acts
	// when only time has passed.
	planInterval = 100 * time.Millisecond
	// minPlanPause is the minimum pause between two plans, so that events are
	// batched.
	minPlanPause = 4 * time.Millisecond
	// planPauseFactor makes the pause after a plan at least this many times as long
	// as the plan took, up to maxPlanPause, so that orders and answers get their share of
	// a busy processor. A single long plan must not keep tasks from starting for longer.
	planPauseFactor = 4
	maxPlanPause    = planInterval
	// commitPause is the pause between two commits, so that records are batched.
	commitPause = 12 * time.Millisecond
	// callTimeout bounds an order to a VM, and a hold in addition to the time that the VM
	// may wait before it answers. Both may take longer during congestion.
	callTimeout = 500 * time.Millisecond
	// minHoldInterval is the minimum time between the starts of two holds of a VM, so
	// that ended runs are batched. holdIntervalPerVM is added for each VM, since one
	// processor handles all reports.
	minHoldInterval   = 50 * time.Millisecond
	holdIntervalPerVM = 400 * time.Microsecond
	// carriedCallCost is the least that a call counts, as a fraction of one that this entry
	// makes itself, however many carriers there are.
	carriedCallCost = 0.2
	// startSlotTime is how long a start order without an answer counts as in flight. During
	// congestion it counts for longer.
	startSlotTime = 100 * time.Millisecond
	// holdRetryDelay is the pause after a failed hold.
	holdRetryDelay = 100 * time.Millisecond
	// loadRetryDelay is the pause after a failed attempt to read the records.
	loadRetryDelay = 150 * time.Millisecond
	// loadStallTimeout is how long an attempt to read the records may receive nothing.
	loadStallTimeout = 4 * time.Second
	// recoveryTimeout is how long an owner tries to read the records without progress
	// before it steps down, because another entry may reach the store.
	recoveryTimeout = 5 * time.Second
	// machineListInterval is the pause between two reads of the machine list while
	// machines are to be maintained or moved. At other times machineListIdleDelay is
	// added to it.
	machineListInterval  = 500 * time.Millisecond
	machineListIdleDelay = 4500 * time.Millisecond
	// machineTimeout bounds an order for a machine, and one round of reading the
	// machine list and reporting the waves.
	machineTimeout = 1200 * time.Millisecond
	// congestionLogInterval is the least time between two log lines on congestion.
	congestionLogInterval = time.Second
	// commitStuckAfter is the age at which an unfinished commit means that the store
	// is unavailable.
	commitStuckAfter = 400 * time.Millisecond
	// refusedCommitBackoff is how long after a refused commit new jobs are refused
	// without another attempt.
	refusedCommitBackoff = 300 * time.Millisecond
	// maxQueueTime is how long a job may have waited to be recorded before others are
	// refused at once: those behind it would be accepted too late to be in time.
	maxQueueTime = 500 * time.Millisecond
	// retryAfterFullQueue tells callers when to retry while jobs wait to be recorded.
	retryAfterFullQueue = time.Second
	// retryAfterStoreLoss tells callers when to retry while the store is unavailable.
	retryAfterStoreLoss = 2 * time.Second
	// retryAfterOwnerChange tells callers when to retry after a change of owner.
	retryAfterOwnerChange = time.Second
	// gateMargin is added to the longest lease of a VM. The sum is how long a VM that
	// doesn't answer a new owner blocks starts in its pool for jobs of earlier epochs,
	// because it may still be running their tasks.
	gateMargin = 500 * time.Millisecond
)

// Config configures an owner.
type Config struct {
	Ledger *ledger.Ledger
	// Schedule configures the core. The owner itself sets its Epoch and Log.
	Schedule schedule.Config
	// HoldsOwnership reports whether this entry is the owner and may send orders.
	HoldsOwnership func() bool
	VMs            VMs
	// Carriers returns the number of entries through which VMs makes its calls; nil means
	// that it makes all of them from this entry.
	Carriers func() int
	Machines Machines
	Advisor  Advisor
	// ReportWaves writes the progress of maintenance waves.
	ReportWaves func(ctx context.Context, states []schedule.WaveState) error
	// StepDown is called if the owner can't read the records. It must give up the
	// ownership, so that another entry can try.
	StepDown func(reason string)
	// Committed is called after each commit, and Ordered after each order with its
	// kind and result.
	Committed func(took time.Duration, err error)
	Ordered   func(order, result string)
	Log       hclog.Logger
}

// Owner accepts jobs and executes the schedule. Its methods may be called from any
// goroutine.
type Owner struct {
	config Config
	ctx    context.Context
	cancel context.CancelFunc
	done   sync.WaitGroup
	// planWake and commitWake wake planLoop and commitLoop.
	planWake, commitWake chan struct{}
	// machinesWake wakes machineLoop.
	machinesWake chan struct{}

	mu sync.Mutex
	// core is nil until the records of the first term have been read, and while those
	// of a later one are read.
	core *schedule.Core
	// active is set while this entry owns the jobs and has read the records.
	active bool
	// tail is the tail of the records that core holds.
	tail ledger.Tail
	// commit is the last one until its outcome is known, which may be only when the next term
	// begins; nil means that there is none.
	commit *pendingCommit
	// divided lists the parts, of one record each, of a commit that the store did not accept.
	divided []*pendingCommit
	// term is that of the last election won. The result of a recovery for an earlier
	// term is dropped.
	term shard.Term
	// endedEpoch is the highest epoch whose term has ended.
	endedEpoch int64
	// stopReading ends the reading of the records for the last term.
	stopReading context.CancelFunc
	// view is the operators' configuration. It is valid while configured is set.
	view       schedule.View
	configured bool
	// vms is the platform's list of VMs. It is valid while listed is set.
	vms    []schedule.VM
	listed bool
	// listAwaited is set from a reelection until the list of VMs has arrived. Until then
	// nothing is planned, because the core's list is that of an earlier term.
	listAwaited bool
	// pending holds all acceptances without an answer, and commitQueue those of them
	// that are not yet part of a commit.
	pending     map[job.ID]*acceptance
	commitQueue []*acceptance
	// waiters holds the requests that are woken when the next commit ends.
	waiters []*waiter
	// sessions holds the sessions by VM.
	sessions map[string]*session
	// congestion limits the load on this entry's link and processor.
	congestion *congestion.Controller
	// congestionLoggedAt is when congestion was last logged.
	congestionLoggedAt time.Time
	// load counts what the owner did since it was last logged.
	load load
	// commitStartedAt is when the commit in flight began; zero means none.
	commitStartedAt time.Time
	// commitRefusedAt is when the store last refused a commit; a successful commit
	// resets it to zero.
	commitRefusedAt time.Time
	// explainedAt is when the last explanation was given.
	explainedAt time.Time
}

// acceptance is a submitted job that is not recorded in the ledger yet.
type acceptance struct {
	job    *job.Job
	answer chan Answer
	// inCommit is set once the job is part of a commit.
	inCommit bool
	// callers counts the requests that wait for the answer.
	callers int
}

// waiter is a request that waits for the end of a commit, which may have recorded
// the phase of a job.
type waiter struct {
	id   job.ID
	done chan struct{}
}

// New returns an inactive owner and starts its goroutines. It becomes active after
// [Owner.Elected].
func New(c Config) *Owner {
	ctx, cancel := context.WithCancel(context.Background())
	o := &Owner{
		config: c, ctx: ctx, cancel: cancel,
		planWake: make(chan struct{}, 1), commitWake: make(chan struct{}, 1), machinesWake: make(chan struct{}, 1),
		pending: make(map[job.ID]*acceptance), sessions: make(map[string]*session), congestion: congestion.New(),
		stopReading: func() {},
	}
	o.done.Go(o.planLoop)
	o.done.Go(o.commitLoop)
	o.done.Go(o.machineLoop)
	return o
}

// Close stops all goroutines. VMs continue the runs that they were given.
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

// SetView sets the operators' configuration.
func (o *Owner) SetView(v schedule.View) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.view = v
	o.configured = true
	if o.core != nil {
		o.core.SetView(v, time.Now())
		if o.active {
			o.keepSessions()
		}
		wake(o.planWake)
		wake(o.commitWake)
	}
}

// SetVMs sets the platform's list of VMs. While this entry is not the owner, it ignores the
// list, which will be out of date when the next term begins, and reports false.
func (o *Owner) SetVMs(listed []schedule.VM) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if !o.config.HoldsOwnership() {
		return false
	}
	o.vms = listed
	o.listed, o.listAwaited = true, false
	if o.core != nil && o.active {
		o.core.SetVMs(listed, time.Now())
		o.keepSessions()
		wake(o.planWake)
		wake(o.commitWake)
	}
	return true
}

// vm returns the VM with an ID and whether the core knows it. The caller holds o.mu.
func (o *Owner) vm(id string) (schedule.VM, bool) {
	if o.core == nil {
		return schedule.VM{}, false
	}
	return o.core.VM(id)
}

// planLoop plans whenever it is woken, and every planInterval.
func (o *Owner) planLoop() {
	tick := time.NewTicker(planInterval)
	defer tick.Stop()
	for {
		select {
		case <-o.ctx.Done():
			return
		case <-o.planWake:
		case <-tick.C:
		}
		took := time.Duration(0)
		if o.config.HoldsOwnership() {
			took = o.planOnce()
		}
		pause, began := planPause(took), time.Now()
		if !delay.Sleep(o.ctx, pause) {
			return
		}
		o.recordLateness(time.Since(began) - pause)
	}
}

// recordLateness records how long planLoop waited for the processor after a pause.
func (o *Owner) recordLateness(late time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.load.late = max(o.load.late, late)
}

// planPause returns the pause after a plan that took that long, without its wait for o.mu:
// while others hold the lock, they have their share of the processor.
func planPause(took time.Duration) time.Duration {
	return min(max(minPlanPause, planPauseFactor*took), maxPlanPause)
}

// planOnce makes one plan and starts its actions. It returns how long that took.
func (o *Owner) planOnce() time.Duration {
	o.mu.Lock()
	defer o.mu.Unlock()
	if !o.active || o.listAwaited {
		return 0
	}
	if o.core.FencesUsedUp() {
		o.config.StepDown("fencing tokens used up")
		return 0
	}
	began := time.Now()
	if o.storeUnavailable() || o.queueTooOld() {
		o.core.JobsRefused(began)
	}
	o.refuseQueued()
	o.congestion.SetCost(o.callCost())
	o.core.LimitStarts(o.congestion.Window(), o.congestion.Timeout(startSlotTime))
	o.logCongestion()
	for _, a := range o.core.Plan(began) {
		o.execute(a)
	}
	took := time.Since(began)
	o.load.addPlan(took)
	if o.core.StartsLimited() {
		o.load.full++
	}
	o.logLoad(began)
	if o.core.NeedsMachineList() {
		wake(o.machinesWake)
	}
	if o.core.Deferred() > 0 {
		wake(o.commitWake)
	}
	return took
}

// callCost returns what a call to a VM costs this entry, as a fraction of what it costs
// without carriers.
func (o *Owner) callCost() float64 {
	return max(1/float64(max(o.carriers(), 1)), carriedCallCost)
}

// logCongestion logs congestion, at most once in congestionLogInterval. The caller holds
// o.mu.
func (o *Owner) logCongestion() {
	if !o.congestion.Congested() || time.Since(o.congestionLoggedAt) < congestionLogInterval {
		return
	}
	o.congestionLoggedAt = time.Now()
	o.config.Log.Warn("calls to VMs are delayed; holds are rarer and fewer starts in flight", "delay", o.congestion.Delay(),
		"interval", o.congestion.Interval(minHoldInterval), "window", o.congestion.Window())
}

// Congestion returns the mean delay of calls to VMs, and how many start orders may be in
// flight. Both are zero while this entry is not the active owner.
func (o *Owner) Congestion() (time.Duration, int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if !o.active {
		return 0, 0
	}
	return o.congestion.Delay(), o.congestion.Window()
}

// Stats returns the owner's counters and the states of its pools. Both are empty
// while this entry is not the active owner.
func (o *Owner) Stats() (schedule.Stats, []schedule.PoolState) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.core == nil || !o.active {
		return schedule.Stats{}, nil
	}
	return o.core.Stats(), o.core.Pools(time.Now())
}

// Deferred returns how many records the store does not take. It is zero while this entry is
// not the active owner.
func (o *Owner) Deferred() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.core == nil || !o.active {
		return 0
	}
	return o.core.Deferred()
}
