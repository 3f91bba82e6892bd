package main

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"sync"
	"time"
)

// maxEnds is the greatest number of ends that a response to a hold lists.
const maxEnds = 500

// vmRun is a run on a VM.
type vmRun struct {
	number int
	began  time.Time
	// work is how long the run takes; zero means that it lasts until it is stopped.
	work     time.Duration
	stopping time.Time
}

// vmEnd is the end of a run, as a VM lists it.
type vmEnd struct {
	number int64
	task   string
	run    int
	how    string
	// lapsed is set once the VM's lease has run out after the end.
	lapsed bool
}

// vm is a stand-in of a VM that runs tasks.
type vm struct {
	rec     *recorder
	watcher *watcher
	id      string
	machine string
	pool    string
	zone    string
	rack    string
	address string
	cpu     int64
	// maxLease and stopTime are the bounds of the platform.
	maxLease, stopTime time.Duration
	// workOf returns how long a run of a task takes.
	workOf func(task string, run int) time.Duration

	mu   sync.Mutex
	born time.Time
	// down is set from a crash until the VM starts again.
	down  bool
	fence int64
	// lease is the time on the VM's clock at which everything is killed; zero means none.
	lease   time.Duration
	runs    map[string]*vmRun
	highest map[string]int
	ends    []vmEnd
	lastEnd int64
	changed chan struct{}
}

func newVM(v *vm) *vm {
	v.born = time.Now()
	v.runs, v.highest = make(map[string]*vmRun), make(map[string]int)
	v.changed = make(chan struct{})
	return v
}

// entry is what the VM writes into the platform's store.
func (v *vm) entry() map[string]any {
	return map[string]any{
		"service": v.pool, "addr": v.address, "zone": v.zone, "version": "v1", "slots": 8, "state": "ready", "coldLeftMs": 0,
		"capacity": map[string]any{"cpu": v.cpu, "memMb": 131072, "gpu": 0}, "labels": []string{"a", v.rack}, "seq": 1,
		"born": v.born.UnixMilli(),
	}
}

func (v *vm) clock() time.Duration { return time.Since(v.born) }

// crash ends everything on the VM, which then is down.
func (v *vm) crash() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.down = true
	for task, r := range v.runs {
		v.watcher.ended(v, task, r.number, "crash")
	}
	v.runs, v.ends = make(map[string]*vmRun), nil
	v.rec.add("%s: crashed", v.id)
}

// restart brings a crashed VM back under its id, as a new process.
func (v *vm) restart() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.down, v.born = false, time.Now()
	v.fence, v.lease, v.lastEnd = 0, 0, 0
	v.highest = make(map[string]int)
	v.rec.add("%s: started again", v.id)
}

// advance ends what is due, until ctx ends.
func (v *vm) advance(ctx context.Context) {
	tick := time.NewTicker(5 * time.Millisecond)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		v.mu.Lock()
		if !v.down {
			v.endDue(time.Now())
		}
		v.mu.Unlock()
	}
}

// endDue ends the runs that are complete or stopped, and all if the lease has run out. The
// caller holds v.mu.
func (v *vm) endDue(now time.Time) {
	if v.lease > 0 && v.clock() > v.lease {
		for i := range v.ends {
			v.ends[i].lapsed = true
		}
		for task := range v.runs {
			v.end(task, "lapsed")
		}
		v.lease = 0
	}
	for task, r := range v.runs {
		switch {
		case !r.stopping.IsZero() && now.Sub(r.stopping) >= v.stopTime/2:
			v.end(task, "stopped")
		case r.work > 0 && now.Sub(r.began) >= r.work:
			v.end(task, "done")
		}
	}
}

// end ends a run. The caller holds v.mu.
func (v *vm) end(task, how string) {
	r := v.runs[task]
	delete(v.runs, task)
	v.lastEnd++
	v.ends = append(v.ends, vmEnd{number: v.lastEnd, task: task, run: r.number, how: how})
	v.highest[task] = max(v.highest[task], r.number)
	v.watcher.ended(v, task, r.number, how)
	close(v.changed)
	v.changed = make(chan struct{})
}

// order is the body of a call to a VM.
type order struct {
	Task    string `json:"task"`
	Run     int    `json:"run"`
	Spec    string `json:"spec"`
	UntilMs int64  `json:"untilMs"`
	Fence   int64  `json:"fence"`
	Seen    int64  `json:"seenUpto"`
	WaitMs  int64  `json:"waitMs"`
}

// ServeHTTP implements http.Handler.
func (v *vm) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	v.mu.Lock()
	down := v.down
	v.mu.Unlock()
	if down {
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	if want := r.Header.Get("Expect-Instance"); want != "" && want != v.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	var in order
	if json.NewDecoder(r.Body).Decode(&in) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	if in.Fence < v.fence {
		v.reject(w, "fence")
		return
	}
	v.fence = in.Fence
	switch strings.TrimPrefix(r.URL.Path, "/-/") {
	case "run-start":
		v.start(w, in)
	case "run-stop":
		v.stop(w, in)
	case "hold":
		v.hold(w, r, in)
	case "pace":
		reply(w, http.StatusOK, map[string]any{"clockMs": v.clock().Milliseconds()})
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (v *vm) reject(w http.ResponseWriter, reason string) {
	reply(w, http.StatusConflict, map[string]any{"clockMs": v.clock().Milliseconds(), "reason": reason, "born": v.born.UnixMilli()})
}

// grant extends the lease to a time on the VM's clock. The caller holds v.mu.
func (v *vm) grant(untilMs int64) {
	until := min(time.Duration(untilMs)*time.Millisecond, v.clock()+v.maxLease)
	v.lease = max(v.lease, until)
}

func (v *vm) start(w http.ResponseWriter, in order) {
	running := v.runs[in.Task]
	switch {
	case time.Duration(in.UntilMs)*time.Millisecond < v.clock():
		v.reject(w, "late")
		return
	case running != nil && running.number == in.Run:
	case running != nil || in.Run <= v.highest[in.Task]:
		v.grant(in.UntilMs)
		v.reject(w, "old")
		return
	default:
		v.grant(in.UntilMs)
		v.runs[in.Task] = &vmRun{number: in.Run, began: time.Now(), work: v.workOf(in.Task, in.Run)}
		v.watcher.started(v, in.Task, in.Run, in.Fence)
	}
	reply(w, http.StatusOK, map[string]any{"clockMs": v.clock().Milliseconds(), "born": v.born.UnixMilli()})
}

func (v *vm) stop(w http.ResponseWriter, in order) {
	v.highest[in.Task] = max(v.highest[in.Task], in.Run)
	if running := v.runs[in.Task]; running != nil && running.number == in.Run && running.stopping.IsZero() {
		running.stopping = time.Now()
	}
	reply(w, http.StatusOK, map[string]any{"clockMs": v.clock().Milliseconds(), "born": v.born.UnixMilli()})
}

// hold renews the lease and lists what runs and has ended. The caller holds v.mu, which is
// released while the response waits for an end.
func (v *vm) hold(w http.ResponseWriter, r *http.Request, in order) {
	if in.UntilMs > 0 {
		v.grant(in.UntilMs)
	}
	n := 0
	for n < len(v.ends) && v.ends[n].number <= in.Seen {
		if !v.ends[n].lapsed {
			v.watcher.noted(v, v.ends[n])
		}
		n++
	}
	v.ends = v.ends[n:]
	timer := time.NewTimer(time.Duration(min(in.WaitMs, 2000)) * time.Millisecond)
	defer timer.Stop()
	for waiting := in.WaitMs > 0; waiting && len(v.ends) == 0; {
		changed := v.changed
		v.mu.Unlock()
		select {
		case <-changed:
		case <-timer.C:
			waiting = false
		case <-r.Context().Done():
			waiting = false
		}
		v.mu.Lock()
	}
	running, ended := [][]any{}, [][]any{}
	for task, r := range v.runs {
		percent := 100
		if r.work > 0 {
			percent = min(int(100*time.Since(r.began)/r.work), 99)
		}
		running = append(running, []any{task, r.number, "", percent, 0})
	}
	for _, e := range v.ends[:min(len(v.ends), maxEnds)] {
		ended = append(ended, []any{e.number, e.task, e.run, e.how, ""})
	}
	reply(w, http.StatusOK, map[string]any{"clockMs": v.clock().Milliseconds(), "born": v.born.UnixMilli(), "running": running, "ended": ended})
}
