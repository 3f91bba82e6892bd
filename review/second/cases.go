package main

import (
	"errors"
	"fmt"
	"time"
)

// Pools, queues and jobs of the cases.
const (
	poolA  = "huvo11a"
	poolB  = "kafi81c"
	queueA = "puxa400"
	jobOne = "5c0e7a21d94b36f8"
	jobTwo = "71aa03bd5ef92c64"
)

// start starts three entries with a configuration and waits until they are ready.
func (w *world) start(capCPU int64, routes ...route) {
	w.configure(3, capCPU, routes...)
	w.startEntries(3)
	w.ready()
	time.Sleep(2 * time.Second)
}

// mustSubmit hands a job in, and waits until the given number of its tasks run.
func (w *world) mustSubmit(queue, id string, running int, steps ...step) {
	if !w.submit(queue, id, 10*time.Second, steps...) {
		w.fatal(errors.New("job not accepted"))
	}
	if !until(10*time.Second, func() bool { return len(w.runsOf(id)) >= running }) {
		w.fatal(errors.New("job not started"))
	}
}

// cutMinionsOf cuts the minions that run a job off from the system for a time.
func (w *world) cutMinionsOf(id string, cutFor time.Duration) {
	seen := make(map[*minion]bool)
	for _, r := range w.runsOf(id) {
		if !seen[r.minion] {
			seen[r.minion] = true
			r.minion.setCut(true)
			time.AfterFunc(cutFor, func() { r.minion.setCut(false) })
		}
	}
}

// quota has a tenant at its cap when the owner is killed and the minion that runs its tasks
// is cut off from the system. The tenant then hands another job in.
func quota(w *world) verdict {
	const cpu, width, capCPU = 1000, 8, 8000
	w.addMachines(poolA, 8, 16000)
	w.start(capCPU, route{queueA, poolA, 3})
	most := int64(0)
	w.onStart = func(liveRun) {
		sum := int64(0)
		for _, r := range w.live {
			sum += r.cpu
		}
		most = max(most, sum)
	}
	long := step{count: width, cpu: cpu, plan: taskPlan{work: 15 * time.Second}}
	w.mustSubmit(queueA, jobOne, width, long)
	time.Sleep(2 * time.Second)
	if w.trouble {
		w.cutMinionsOf(jobOne, 8*time.Second)
		w.killLeader()
	}
	if !w.submit(queueA, jobTwo, 10*time.Second, long) {
		w.fatal(errors.New("second job not accepted"))
	}
	time.Sleep(12 * time.Second)
	w.runsMu.Lock()
	defer w.runsMu.Unlock()
	limit := int64(capCPU*11/10 + cpu)
	return verdict{most > limit, fmt.Sprintf("QUOTA: at most %d of cpu at a start; the limit is %d", most, limit)}
}

// twice sends a queue to another service while a task runs. Then the owner is killed and the
// minion that runs the task is cut off from the system.
func twice(w *world) verdict {
	w.addMachines(poolA, 8, 16000)
	w.addMachines(poolB, 8, 16000)
	w.start(0, route{queueA, poolA, 3})
	found := ""
	w.onStart = func(started liveRun) {
		for _, r := range w.live {
			if r.task == started.task && r != started {
				found = fmt.Sprintf("run %s#%d on %s starts while #%d runs on %s", r.task, started.number, started.minion.id, r.number, r.minion.id)
				w.rec.printf("%s", found)
			}
		}
	}
	w.mustSubmit(queueA, jobOne, 1, step{count: 1, cpu: 1000, plan: taskPlan{work: 20 * time.Second}})
	time.Sleep(time.Second)
	w.configure(7, 0, route{queueA, poolB, 3})
	time.Sleep(4 * time.Second)
	if w.trouble {
		w.cutMinionsOf(jobOne, 8*time.Second)
		w.killLeader()
	}
	time.Sleep(10 * time.Second)
	w.runsMu.Lock()
	defer w.runsMu.Unlock()
	if found == "" {
		return verdict{false, "TWICE: no task had two runs at the same time"}
	}
	return verdict{true, "TWICE: " + found}
}

// crashes crashes the minion that runs a batch task, three times.
func crashes(w *world) verdict {
	w.addMachines(poolA, 8, 16000)
	w.start(0, route{queueA, poolA, 3})
	w.mustSubmit(queueA, jobOne, 1, step{count: 1, cpu: 1000, plan: taskPlan{work: 12 * time.Second}})
	for range 3 {
		if !until(20*time.Second, func() bool { return len(w.runsOf(jobOne)) > 0 }) {
			break
		}
		time.Sleep(2500 * time.Millisecond)
		if runs := w.runsOf(jobOne); w.trouble && len(runs) > 0 {
			w.crash(runs[0].minion, 5*time.Second)
		}
	}
	state := ""
	until(35*time.Second, func() bool {
		state = w.state(queueA, jobOne, 3*time.Second)
		time.Sleep(500 * time.Millisecond)
		return state == "failed" || state == "completed"
	})
	failed := w.countEnds(jobOne, "failed")
	return verdict{state == "failed" && failed < 3, fmt.Sprintf("LOST: the job is shown as %q; %d runs ended failed, 3 attempts", state, failed)}
}

func (w *world) countEnds(id, how string) int {
	w.runsMu.Lock()
	defer w.runsMu.Unlock()
	n := 0
	for task, ends := range w.ends {
		if jobOf(task) == id {
			n += ends[how]
		}
	}
	return n
}

// droppedRoute drops the route of a job while a run of its task fails, and adds it again.
func droppedRoute(w *world) verdict {
	w.addMachines(poolA, 8, 16000)
	kept := route{"tije37", poolB, 3}
	w.addMachines(poolB, 2, 16000)
	w.start(0, route{queueA, poolA, 3}, kept)
	w.mustSubmit(queueA, jobOne, 1, step{count: 1, cpu: 1000, plan: taskPlan{work: 4 * time.Second, failAfter: 6 * time.Second, failRuns: 1}})
	time.Sleep(time.Second)
	if w.trouble {
		w.configure(7, 0, kept)
	}
	time.Sleep(7 * time.Second)
	if w.trouble {
		w.configure(9, 0, route{queueA, poolA, 3}, kept)
	}
	time.Sleep(2500 * time.Millisecond)
	state := ""
	until(15*time.Second, func() bool {
		state = w.state(queueA, jobOne, 3*time.Second)
		time.Sleep(500 * time.Millisecond)
		return state == "failed" || state == "completed"
	})
	failed := w.countEnds(jobOne, "failed")
	return verdict{state == "failed" && failed < 3, fmt.Sprintf("LOST: the job is shown as %q; %d runs ended failed, 3 attempts", state, failed)}
}

// suspended crashes the minion that runs a task that lasts, five times, and then leaves the
// system alone.
func suspended(w *world) verdict {
	w.addMachines(poolA, 8, 16000)
	w.start(0, route{queueA, poolA, 3})
	w.mustSubmit(queueA, jobOne, 1, step{count: 1, cpu: 1000, daemon: true})
	for range 5 {
		if !until(20*time.Second, func() bool { return len(w.runsOf(jobOne)) > 0 }) {
			break
		}
		time.Sleep(2500 * time.Millisecond)
		if runs := w.runsOf(jobOne); w.trouble && len(runs) > 0 {
			w.crash(runs[0].minion, 3*time.Second)
		}
	}
	restarted := until(30*time.Second, func() bool { return len(w.runsOf(jobOne)) > 0 })
	return verdict{!restarted, fmt.Sprintf("LOST: the task that lasts runs within 30 s of the last crash: %v", restarted)}
}
