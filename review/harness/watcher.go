package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

// startSeen is a start that a VM has carried out.
type startSeen struct {
	vm   *vm
	run  int
	at   time.Time
	ends time.Time
	how  string
	// noted is set once the owner has taken note of the end.
	noted bool
}

// watcher sees what all VMs run, and finds what breaks a rule.
type watcher struct {
	rec *recorder
	mu  sync.Mutex
	// starts holds the starts of each task.
	starts map[string][]*startSeen
	count  int
}

func newWatcher(rec *recorder) *watcher {
	return &watcher{rec: rec, starts: make(map[string][]*startSeen)}
}

func (w *watcher) started(v *vm, task string, run int, fence int64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.starts[task] = append(w.starts[task], &startSeen{vm: v, run: run, at: time.Now()})
	w.count++
	w.rec.add("%s: starts %s run %d, fence %d.%d", v.id, task, run, fence>>20, fence&(1<<20-1))
}

func (w *watcher) find(v *vm, task string, run int) *startSeen {
	for _, s := range w.starts[task] {
		if s.vm == v && s.run == run && !s.noted {
			return s
		}
	}
	return nil
}

func (w *watcher) ended(v *vm, task string, run int, how string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if s := w.find(v, task, run); s != nil {
		s.ends, s.how = time.Now(), how
	}
	w.rec.add("%s: %s run %d ends %s", v.id, task, run, how)
}

func (w *watcher) noted(v *vm, e vmEnd) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if s := w.find(v, e.task, e.run); s != nil {
		s.noted = true
	}
	w.rec.add("%s: end %d of %s run %d taken note of", v.id, e.number, e.task, e.run)
}

// startsOf returns how many starts of tasks of a job there were after a time.
func (w *watcher) startsOf(id string, after time.Time) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := 0
	for task, starts := range w.starts {
		for _, s := range starts {
			if strings.HasPrefix(task, id+".") && s.at.After(after) {
				n++
			}
		}
	}
	return n
}

// total returns the number of starts.
func (w *watcher) total() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.count
}

// runs reports whether a task of a job runs.
func (w *watcher) runs(id string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	for task, starts := range w.starts {
		if strings.HasPrefix(task, id+".") && starts[len(starts)-1].ends.IsZero() {
			return true
		}
	}
	return false
}

// idleSince returns when the last run of a task ended, and whether it has none now.
func (w *watcher) idleSince(task string) (time.Time, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	last := w.rec.began
	for _, s := range w.starts[task] {
		if s.ends.IsZero() {
			return time.Time{}, false
		}
		last = s.ends
	}
	return last, true
}

// twice returns what breaks the rule TWICE: two runs of a task at the same time, or a start
// after a run has ended as done, if that end was taken note of.
func (w *watcher) twice() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	var out []string
	for task, starts := range w.starts {
		for i, first := range starts {
			for _, second := range starts[i+1:] {
				switch {
				case first.ends.IsZero() || second.at.Before(first.ends):
					out = append(out, fmt.Sprintf("TWICE: %s run %d starts on %s while run %d runs on %s", task, second.run, second.vm.id, first.run, first.vm.id))
				case first.how == "done" && first.noted:
					out = append(out, fmt.Sprintf("TWICE: %s run %d starts on %s %d ms after run %d has ended as done on %s, of which note was taken",
						task, second.run, second.vm.id, second.at.Sub(first.ends).Milliseconds(), first.run, first.vm.id))
				}
			}
		}
	}
	return out
}
