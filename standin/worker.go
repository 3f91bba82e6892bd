package standin

import (
	"cmp"
	"fmt"
	"slices"
	"sync"
	"time"

	"almondcove/job"
	"almondcove/schedule"
)

// Worker stands in for a VM that runs tasks: it checks fences, runs what it is
// told for as long as its lease lasts, and lists ends until they are seen. It
// reads no clock and is safe for concurrent use.
type Worker struct {
	// VM is what the platform's list says of it.
	VM schedule.VM
	// Fleet checks what all workers run together; nil checks nothing.
	Fleet *Fleet

	mu      sync.Mutex
	start   time.Time
	fence   int64
	until   time.Duration
	running map[schedule.Run]*workerRun
	ended   []schedule.End
	number  int64
	fault   WorkerFault
	fails   bool
	load    int64
	// lapsed is the number of the last end after which the lease has lapsed.
	lapsed int64
	// stops is how long a stop takes.
	stops time.Duration
}

// WorkerFault is how a worker misbehaves.
type WorkerFault int

// The faults of a worker.
const (
	// Obedient carries out and answers every order.
	Obedient WorkerFault = iota
	// Dumb carries out orders and answers nothing.
	Dumb
	// Deaf gets no order, and what it runs goes on.
	Deaf
	// Stalled obeys, and nothing that it runs makes any progress.
	Stalled
)

type workerRun struct {
	began, ends time.Time
	need        job.Resources
	service     bool
	// stopping is set by an order to stop, stopped is when it has taken effect.
	stopping bool
	stopped  time.Time
}

// percent returns how far a run has come.
func (r *workerRun) percent(now time.Time) int {
	if r.service {
		return 100
	}
	return min(int(100*now.Sub(r.began)/max(r.ends.Sub(r.began), 1)), 99)
}

// hold is the longest lease that a worker grants.
const hold = 6 * time.Second

// NewWorker returns a worker that was started at start.
func NewWorker(vm schedule.VM, fleet *Fleet, start time.Time) *Worker {
	w := &Worker{VM: vm, Fleet: fleet, start: start, running: make(map[schedule.Run]*workerRun)}
	if fleet != nil {
		fleet.add(w)
	}
	return w
}

// Set brings a fault about.
func (w *Worker) Set(f WorkerFault) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.fault = f
}

// Fail makes all runs fail, or end well again.
func (w *Worker) Fail(fails bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.fails = fails
}

// StopsIn makes stops take some time, from the next look at the work on.
func (w *Worker) StopsIn(d time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stops = d
}

// Load sets the response times that service tasks report, in milliseconds.
func (w *Worker) Load(tail int64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.load = tail
}

// Restart ends everything and starts the worker anew under its id.
func (w *Worker) Restart(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.VM.Born = now
	w.start, w.fence, w.until, w.number = now, 0, 0, 0
	w.running, w.ended = make(map[schedule.Run]*workerRun), nil
}

// Work ends what is done or has lapsed.
func (w *Worker) Work(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, r := range w.runs() {
		run := w.running[r]
		if run.stopping && run.stopped.IsZero() {
			run.stopped = now.Add(w.stops)
		}
		switch {
		case run.stopping && !now.Before(run.stopped):
			w.end(r, schedule.Stopped)
		case w.fault == Stalled:
		case w.until > 0 && now.Sub(w.start) > w.until:
			w.end(r, schedule.Lapsed)
		case !now.Before(w.running[r].ends) && w.fails:
			w.end(r, schedule.Failed)
		case !now.Before(w.running[r].ends):
			w.end(r, schedule.Done)
		}
	}
}

// Running returns what runs.
func (w *Worker) Running() []schedule.Run {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.runs()
}

// Used returns what the runs need.
func (w *Worker) Used() job.Resources {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.used()
}

func (w *Worker) used() job.Resources {
	var sum job.Resources
	for _, r := range w.running {
		sum = sum.Plus(r.need)
	}
	return sum
}

func (w *Worker) runs() []schedule.Run {
	out := make([]schedule.Run, 0, len(w.running))
	for r := range w.running {
		out = append(out, r)
	}
	slices.SortFunc(out, func(a, b schedule.Run) int { return cmp.Compare(fmt.Sprint(a), fmt.Sprint(b)) })
	return out
}

func (w *Worker) end(r schedule.Run, how schedule.Outcome) {
	delete(w.running, r)
	w.number++
	w.ended = append(w.ended, schedule.End{Number: w.number, Run: r, Outcome: how})
	if w.Fleet != nil && how == schedule.Done {
		w.Fleet.finished(r)
	}
}

// Hold carries out a hold.
func (w *Worker) Hold(h schedule.Hold, now time.Time) (schedule.Report, schedule.Result) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.fault == Deaf {
		return schedule.Report{}, schedule.Unanswered
	}
	if h.Fence < w.fence {
		return schedule.Report{}, schedule.Fenced
	}
	w.fence = h.Fence
	clock := now.Sub(w.start)
	if w.until > 0 && clock > w.until {
		w.lapsed = w.number
	}
	w.until = max(w.until, min(h.Until, clock+hold))
	if w.Fleet != nil {
		w.Fleet.seen(w.ended, h.Seen, w.lapsed)
	}
	w.ended = slices.DeleteFunc(w.ended, func(e schedule.End) bool { return e.Number <= h.Seen })
	if w.fault == Dumb {
		return schedule.Report{}, schedule.Unanswered
	}
	out := schedule.Report{Clock: clock, Born: w.VM.Born, Ended: slices.Clone(w.ended)}
	for _, r := range w.runs() {
		p := schedule.Progress{Run: r, Percent: w.running[r].percent(now), Load: w.load}
		if w.fault == Stalled {
			p.Percent = 0
		}
		out.Running = append(out.Running, p)
	}
	return out, schedule.Accepted
}

// Start carries out an order to start a task of a step, which works for works.
func (w *Worker) Start(a schedule.Start, s job.Step, works time.Duration, now time.Time) schedule.Result {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case w.fault == Deaf:
		return schedule.Unanswered
	case a.Fence < w.fence:
		return schedule.Fenced
	case now.Sub(w.start) > a.Until:
		return schedule.Late
	case w.running[a.Run] != nil:
		return schedule.Accepted
	}
	w.fence = a.Fence
	w.until = max(w.until, a.Until)
	ends := now.Add(works)
	if s.Service {
		ends = now.Add(time.Hour)
	}
	need := s.Need
	if s.Filler {
		need.CPU = 0
	}
	w.running[a.Run] = &workerRun{began: now, ends: ends, need: need, service: s.Service}
	if w.Fleet != nil {
		w.Fleet.started(w, a.Run)
	}
	if w.fault == Dumb {
		return schedule.Unanswered
	}
	return schedule.Accepted
}

// Stop carries out an order to stop.
func (w *Worker) Stop(a schedule.Stop) schedule.Result {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.fault == Deaf {
		return schedule.Unanswered
	}
	if a.Fence < w.fence {
		return schedule.Fenced
	}
	if run := w.running[a.Run]; run != nil {
		run.stopping = true
		if w.stops == 0 {
			w.end(a.Run, schedule.Stopped)
		}
	}
	return schedule.Accepted
}

// Fleet checks what must hold of all workers together: no task runs twice at
// once, none starts again after an end that is seen then or later, and no worker
// runs more than it has room for.
type Fleet struct {
	mu      sync.Mutex
	workers []*Worker
	// done holds the tasks whose end as done was seen.
	done map[job.Task]bool
	// ended holds the runs that have ended as done by their tasks, outdone those
	// whose task was started again after that.
	ended    map[job.Task][]schedule.Run
	outdone  map[schedule.Run]bool
	breaches []string
}

// NewFleet returns a fleet without workers.
func NewFleet() *Fleet {
	return &Fleet{
		done:  make(map[job.Task]bool),
		ended: make(map[job.Task][]schedule.Run), outdone: make(map[schedule.Run]bool),
	}
}

// Breaches returns what was found.
func (f *Fleet) Breaches() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.breaches)
}

func (f *Fleet) add(w *Worker) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.workers = append(f.workers, w)
}

// started checks a start. It is called with the lock of the worker held.
func (f *Fleet) started(w *Worker, r schedule.Run) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !w.used().Within(w.VM.Capacity) {
		f.breaches = append(f.breaches, fmt.Sprintf("%s has no room for %v", w.VM.ID, r))
	}
	for _, before := range f.ended[r.Task] {
		f.outdone[before] = true
	}
	if f.done[r.Task] {
		f.breaches = append(f.breaches, fmt.Sprintf("%v starts though its end was seen", r))
	}
	for other := range w.running {
		if other.Task == r.Task && other != r {
			f.breaches = append(f.breaches, fmt.Sprintf("%v runs beside %v", r, other))
		}
	}
	for _, o := range f.workers {
		if o != w && o.has(r.Task) {
			f.breaches = append(f.breaches, fmt.Sprintf("%v runs on %s and %s", r, w.VM.ID, o.VM.ID))
		}
	}
}

// finished takes note of a run that has ended as done.
func (f *Fleet) finished(r schedule.Run) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.ended[r.Task] = append(f.ended[r.Task], r)
}

// has reports whether the worker runs a task. Workers are looked at while the
// one that starts a task is locked, so this one is only tried.
func (w *Worker) has(t job.Task) bool {
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

// seen takes note of the ends that an owner has seen. After a lapse nobody could
// know of the earlier ones, so their tasks may have been started again.
func (f *Fleet) seen(ends []schedule.End, upto, lapsed int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, e := range ends {
		if e.Number > upto || e.Outcome != schedule.Done {
			continue
		}
		f.done[e.Run.Task] = true
		if f.outdone[e.Run] && e.Number > lapsed {
			f.breaches = append(f.breaches, fmt.Sprintf("%v has ended as done and was started again", e.Run))
		}
	}
}
