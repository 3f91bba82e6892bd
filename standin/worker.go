package standin

import (
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"almondcove/job"
	"almondcove/schedule"
)

// Worker is a stand-in for a VM that carries out the scheduler's orders. It checks
// fencing tokens, keeps runs only as long as its lease lasts, and reports ends until
// they are seen. It reads no clock: callers pass the time. It is safe for concurrent
// use.
type Worker struct {
	// VM is the worker's entry in the platform's list of VMs.
	VM schedule.VM
	// Checker checks the runs of all workers that share it; nil means no checks.
	Checker *Checker

	mu        sync.Mutex
	startedAt time.Time
	// fence is the highest fencing token of a hold or start so far.
	fence int64
	// leaseUntil is when the lease expires, counted from startedAt; zero means none.
	leaseUntil    time.Duration
	running       map[schedule.Run]*workerRun
	ended         []schedule.End
	lastEndNumber int64
	fault         WorkerFault
	runsFail      bool
	loadMs        int64
	// lastEndBeforeLapse is the number of the last end before a hold that found the
	// lease expired.
	lastEndBeforeLapse int64
	// stopTime is how long a run takes to stop.
	stopTime time.Duration
	// crashDelays holds the tasks whose runs crash the worker, with the time from the
	// beginning of a run to the crash.
	crashDelays map[job.Task]time.Duration
	// downUntil is when a crashed worker restarts; zero means that the worker is up.
	downUntil time.Time
	downtime  time.Duration
	// crashes is how often the worker has crashed.
	crashes int
}

// WorkerFault is how a Worker misbehaves.
type WorkerFault int

// The faults of a Worker. Each lasts until another one is set.
const (
	// WorkerHealthy means that every order is carried out and answered.
	WorkerHealthy WorkerFault = iota
	// WorkerDropsResponses means that orders are carried out and not answered.
	WorkerDropsResponses
	// WorkerDropsOrders means that no order or hold reaches the worker. Its runs
	// continue.
	WorkerDropsOrders
	// WorkerStalled means that orders are carried out and answered, but runs make no
	// progress. They end only by a stop.
	WorkerStalled
)

type workerRun struct {
	beganAt, endsAt time.Time
	need            job.Resources
	service         bool
	// stopRequested is set by an order to stop, which takes effect at stopsAt.
	stopRequested bool
	stopsAt       time.Time
	// crashesAt is when the run crashes its worker; zero means never.
	crashesAt time.Time
}

// percent returns the progress that a run reports: at most 99 for a batch run, which
// has not ended yet, and 100 for a service run.
func (r *workerRun) percent(now time.Time) int {
	if r.service {
		return 100
	}
	return min(int(100*now.Sub(r.beganAt)/max(r.endsAt.Sub(r.beganAt), 1)), 99)
}

// maxLease is the longest lease that a hold sets. It equals the schedule.Config.MaxLease
// with which the tests of the scheduler run.
const maxLease = 6 * time.Second

// defaultDowntime is how long a crashed worker is down if SetDowntime is not called.
const defaultDowntime = 3 * time.Second

// maxListedEnds is the number of ends that a worker lists in one report.
const maxListedEnds = 500

// NewWorker returns a worker that was started at startedAt and belongs to checker.
func NewWorker(vm schedule.VM, checker *Checker, startedAt time.Time) *Worker {
	w := &Worker{
		VM: vm, Checker: checker, startedAt: startedAt, running: make(map[schedule.Run]*workerRun),
		crashDelays: make(map[job.Task]time.Duration), downtime: defaultDowntime,
	}
	if checker != nil {
		checker.add(w)
	}
	return w
}

// SetFault replaces the current fault.
func (w *Worker) SetFault(f WorkerFault) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.fault = f
}

// SetRunsFail sets whether runs fail when their run time is over.
func (w *Worker) SetRunsFail(runsFail bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.runsFail = runsFail
}

// SetStopTime sets how long a run takes to stop. The time counts from the first call
// of Advance after the order to stop.
func (w *Worker) SetStopTime(d time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopTime = d
}

// SetLoad sets the load that all runs report. For service tasks it is the tail latency
// in milliseconds.
func (w *Worker) SetLoad(latencyMs int64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.loadMs = latencyMs
}

// SetCrash makes each later run of a task crash the worker the given time after the run
// begins, unless the run ends before then. With a delay of zero the worker crashes within
// the order to start the run.
func (w *Worker) SetCrash(t job.Task, after time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.crashDelays[t] = after
}

// SetDowntime sets how long the worker is down after a later crash.
func (w *Worker) SetDowntime(d time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.downtime = d
}

// Crash crashes the worker without a task as the cause. The worker runs nothing and
// answers no hold or order until Advance restarts it after its downtime. It loses what
// Restart loses. A worker that is down stays down as long as before.
func (w *Worker) Crash(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.crash(now)
}

func (w *Worker) crash(now time.Time) {
	if w.isDown() {
		return
	}
	w.crashes++
	w.downUntil = now.Add(w.downtime)
	w.running, w.ended = make(map[schedule.Run]*workerRun), nil
}

// crashIfDue crashes the worker if one of its runs does so by now, and reports whether
// that is the case.
func (w *Worker) crashIfDue(now time.Time) bool {
	var causes []schedule.Run
	for _, r := range w.sortedRuns() {
		if at := w.running[r].crashesAt; !at.IsZero() && !now.Before(at) {
			causes = append(causes, r)
		}
	}
	if len(causes) == 0 {
		return false
	}
	w.crash(now)
	if w.Checker != nil {
		w.Checker.recordCrash(causes)
	}
	return true
}

func (w *Worker) isDown() bool { return !w.downUntil.IsZero() }

// Down reports whether the worker has crashed and not restarted yet.
func (w *Worker) Down() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.isDown()
}

// Crashes returns how often the worker has crashed.
func (w *Worker) Crashes() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.crashes
}

// SetCapacity replaces the capacity in the worker's entry. Its runs continue, even if they
// need more.
func (w *Worker) SetCapacity(capacity job.Resources) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.VM.Capacity = capacity
}

// Restart restarts the worker under the same id. The worker loses its runs, ends, fencing
// token and lease.
func (w *Worker) Restart(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.restart(now)
}

func (w *Worker) restart(now time.Time) {
	w.VM.Born = now
	w.startedAt, w.fence, w.leaseUntil, w.lastEndNumber = now, 0, 0, 0
	w.running, w.ended = make(map[schedule.Run]*workerRun), nil
	w.downUntil = time.Time{}
}

// Advance ends the runs that are complete, have been stopped or whose lease has
// expired. It crashes the worker if a run is due to do so, and restarts a crashed worker
// whose downtime is over.
func (w *Worker) Advance(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.isDown() && !now.Before(w.downUntil) {
		w.restart(now)
	}
	if w.crashIfDue(now) {
		return
	}
	for _, r := range w.sortedRuns() {
		state := w.running[r]
		if state.stopRequested && state.stopsAt.IsZero() {
			state.stopsAt = now.Add(w.stopTime)
		}
		switch {
		case state.stopRequested && !now.Before(state.stopsAt):
			w.endRun(r, schedule.Stopped)
		case w.fault == WorkerStalled:
		case w.leaseUntil > 0 && now.Sub(w.startedAt) > w.leaseUntil:
			w.endRun(r, schedule.Lapsed)
		case !now.Before(w.running[r].endsAt) && w.runsFail:
			w.endRun(r, schedule.Failed)
		case !now.Before(w.running[r].endsAt):
			w.endRun(r, schedule.Done)
		}
	}
}

// Running returns the current runs in a fixed order.
func (w *Worker) Running() []schedule.Run {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.sortedRuns()
}

// Used returns the resources that the current runs need.
func (w *Worker) Used() job.Resources {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.usedLocked()
}

func (w *Worker) usedLocked() job.Resources {
	var sum job.Resources
	for _, r := range w.running {
		sum = sum.Plus(r.need)
	}
	return sum
}

func (w *Worker) sortedRuns() []schedule.Run {
	byName := make(map[string]schedule.Run, len(w.running))
	for r := range w.running {
		byName[r.String()] = r
	}
	out := make([]schedule.Run, 0, len(byName))
	for _, name := range slices.Sorted(maps.Keys(byName)) {
		out = append(out, byName[name])
	}
	return out
}

func (w *Worker) endRun(r schedule.Run, outcome schedule.Outcome) {
	delete(w.running, r)
	w.lastEndNumber++
	w.ended = append(w.ended, schedule.End{Number: w.lastEndNumber, Run: r, Outcome: outcome})
	if w.Checker != nil {
		w.Checker.recordEnd(r, outcome)
	}
}

// Hold carries out a hold: it renews the lease, discards the ends up to h.Seen and
// returns a report, with the first maxListedEnds of the other ends.
func (w *Worker) Hold(h schedule.Hold, now time.Time) (schedule.Report, schedule.Result) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.isDown() {
		return schedule.Report{}, schedule.Unsent
	}
	if w.fault == WorkerDropsOrders {
		return schedule.Report{}, schedule.Unanswered
	}
	if h.Fence < w.fence {
		return schedule.Report{}, schedule.Fenced
	}
	w.fence = h.Fence
	clock := now.Sub(w.startedAt)
	if w.leaseUntil > 0 && clock > w.leaseUntil {
		w.lastEndBeforeLapse = w.lastEndNumber
	}
	w.leaseUntil = max(w.leaseUntil, min(h.Until, clock+maxLease))
	if w.Checker != nil {
		w.Checker.checkSeen(w.ended, h.Seen, w.lastEndBeforeLapse)
	}
	w.ended = slices.DeleteFunc(w.ended, func(e schedule.End) bool { return e.Number <= h.Seen })
	if w.fault == WorkerDropsResponses {
		return schedule.Report{}, schedule.Unanswered
	}
	listed := w.ended[:min(len(w.ended), maxListedEnds)]
	out := schedule.Report{Clock: clock, Born: w.VM.Born, Ended: slices.Clone(listed), MoreEnds: len(listed) == maxListedEnds}
	for _, r := range w.sortedRuns() {
		p := schedule.Progress{Run: r, Percent: w.running[r].percent(now), Load: w.loadMs}
		if w.fault == WorkerStalled {
			p.Percent = 0
		}
		out.Running = append(out.Running, p)
	}
	return out, schedule.Accepted
}

// Start carries out an order to start a task of a step. A batch task runs for runTime,
// a service task for an hour.
func (w *Worker) Start(order schedule.Start, step job.Step, runTime time.Duration, now time.Time) schedule.Result {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case w.isDown():
		return schedule.Unsent
	case w.fault == WorkerDropsOrders:
		return schedule.Unanswered
	case order.Fence < w.fence:
		return schedule.Fenced
	case now.Sub(w.startedAt) > order.Until:
		return schedule.Late
	case w.running[order.Run] != nil:
		return schedule.Accepted
	}
	w.fence = order.Fence
	w.leaseUntil = max(w.leaseUntil, order.Until)
	endsAt := now.Add(runTime)
	if step.Service {
		endsAt = now.Add(time.Hour)
	}
	need := step.Need
	// A filler task uses only processor time that other tasks leave idle.
	if step.Filler {
		need.CPU = 0
	}
	state := &workerRun{beganAt: now, endsAt: endsAt, need: need, service: step.Service}
	if delay, ok := w.crashDelays[order.Run.Task]; ok && now.Add(delay).Before(endsAt) {
		state.crashesAt = now.Add(delay)
	}
	w.running[order.Run] = state
	if w.Checker != nil {
		w.Checker.checkStart(w, order.Run, step.Speculative)
	}
	if w.crashIfDue(now) {
		return schedule.Unanswered
	}
	if w.fault == WorkerDropsResponses {
		return schedule.Unanswered
	}
	return schedule.Accepted
}

// Stop carries out an order to stop a run. Without a stop time it ends at once.
func (w *Worker) Stop(order schedule.Stop) schedule.Result {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.isDown() {
		return schedule.Unsent
	}
	if w.fault == WorkerDropsOrders {
		return schedule.Unanswered
	}
	if order.Fence < w.fence {
		return schedule.Fenced
	}
	if state := w.running[order.Run]; state != nil {
		state.stopRequested = true
		if w.stopTime == 0 {
			w.endRun(order.Run, schedule.Stopped)
		}
	}
	return schedule.Accepted
}

// Break ends a run of a gang member as broken, because another member has ended. It does
// nothing if the worker does not run it.
func (w *Worker) Break(r schedule.Run) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.running[r] != nil {
		w.endRun(r, schedule.Broken)
	}
}

// Checker checks that the workers that share it keep four rules together:
//
//   - No task has two runs at once.
//   - No task starts again after one of its runs has ended as done and the owner
//     has seen that end. It is also a violation if the owner sees the end only
//     after the new start, unless the worker's lease expired before the owner saw it.
//   - No worker runs more than its capacity allows.
//   - No task starts three times more after its runs have crashed workers three times.
type Checker struct {
	mu      sync.Mutex
	workers []*Worker
	// doneSeen holds the tasks of which a run ended as done and the owner has seen that
	// end.
	doneSeen map[job.Task]bool
	// doneRuns holds the runs that ended as done, by task, and restartedAfter those of
	// them whose task was started again afterwards.
	doneRuns       map[job.Task][]schedule.Run
	restartedAfter map[schedule.Run]bool
	// crashes is how often the runs of a task have crashed a worker, and
	// startsAfterCrashes how often the task was started after the last crash that is
	// allowed.
	crashes, startsAfterCrashes map[job.Task]int
	// failures is how many runs of a task have ended as failed.
	failures   map[job.Task]int
	violations []string
}

// maxCrashes is how often the runs of a task may crash a worker before its starts are
// counted, and maxStartsAfterCrashes the greatest allowed number of these starts.
const (
	maxCrashes            = 3
	maxStartsAfterCrashes = 2
)

// NewChecker returns a checker without workers.
func NewChecker() *Checker {
	return &Checker{
		doneSeen: make(map[job.Task]bool),
		doneRuns: make(map[job.Task][]schedule.Run), restartedAfter: make(map[schedule.Run]bool),
		crashes: make(map[job.Task]int), startsAfterCrashes: make(map[job.Task]int),
		failures: make(map[job.Task]int),
	}
}

// Violations describes the violations found so far.
func (c *Checker) Violations() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.violations)
}

func (c *Checker) add(w *Worker) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.workers = append(c.workers, w)
}

// checkStart checks a run that w has just started. copies is set if the task may run on several
// workers at a time. The caller holds the lock of w.
func (c *Checker) checkStart(w *Worker, r schedule.Run, copies bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !w.usedLocked().Within(w.VM.Capacity) {
		c.violations = append(c.violations, fmt.Sprintf("%s has no capacity for %v", w.VM.ID, r))
	}
	c.checkCrashes(r)
	for _, before := range c.doneRuns[r.Task] {
		c.restartedAfter[before] = true
	}
	if c.doneSeen[r.Task] {
		c.violations = append(c.violations, fmt.Sprintf("%v starts although the end of its task was seen", r))
	}
	for other := range w.running {
		if other.Task == r.Task && other != r {
			c.violations = append(c.violations, fmt.Sprintf("%v runs at the same time as %v", r, other))
		}
	}
	for _, other := range c.workers {
		if !copies && other != w && other.runsTask(r.Task) {
			c.violations = append(c.violations, fmt.Sprintf("%v runs on %s and %s", r, w.VM.ID, other.VM.ID))
		}
	}
}

// checkCrashes checks a start of a task that may have crashed workers before. The caller
// holds the lock.
func (c *Checker) checkCrashes(r schedule.Run) {
	if c.crashes[r.Task] < maxCrashes {
		return
	}
	c.startsAfterCrashes[r.Task]++
	if n := c.startsAfterCrashes[r.Task]; n > maxStartsAfterCrashes {
		c.violations = append(c.violations, fmt.Sprintf("%v is start %d after its task has crashed %d VMs", r, n, maxCrashes))
	}
}

// recordCrash records that runs have crashed their worker.
func (c *Checker) recordCrash(causes []schedule.Run) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, r := range causes {
		c.crashes[r.Task]++
	}
}

// Crashes returns how often the runs of a task have crashed a worker.
func (c *Checker) Crashes(t job.Task) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.crashes[t]
}

// recordEnd records how a run has ended.
func (c *Checker) recordEnd(r schedule.Run, outcome schedule.Outcome) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch outcome {
	case schedule.Done:
		c.doneRuns[r.Task] = append(c.doneRuns[r.Task], r)
	case schedule.Failed:
		c.failures[r.Task]++
	case schedule.Stopped, schedule.Lapsed, schedule.Broken, schedule.Alone, schedule.Unknown:
	}
}

// Failures returns how many runs of a task have ended as failed.
func (c *Checker) Failures(t job.Task) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.failures[t]
}

// runsTask reports whether the worker runs a task. It only tries the worker's lock,
// because the caller holds the lock of another worker and two such callers could
// deadlock. If the lock is taken, it reports false.
func (w *Worker) runsTask(t job.Task) bool {
	if !w.mu.TryLock() {
		return false
	}
	defer w.mu.Unlock()
	for r := range w.running {
		if r.Task == t {
			return true
		}
	}
	return false
}

// checkSeen records the ends that an owner has seen, up to the number upTo, and checks
// that the tasks of runs that ended as done were not started again. It exempts the
// ends up to lastEndBeforeLapse: the lease expired before the owner saw them, so their
// tasks may have been started again.
func (c *Checker) checkSeen(ends []schedule.End, upTo, lastEndBeforeLapse int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, e := range ends {
		if e.Number > upTo || e.Outcome != schedule.Done {
			continue
		}
		c.doneSeen[e.Run.Task] = true
		if c.restartedAfter[e.Run] && e.Number > lastEndBeforeLapse {
			c.violations = append(c.violations, fmt.Sprintf("the task of %v ended as done and was started again", e.Run))
		}
	}
}
