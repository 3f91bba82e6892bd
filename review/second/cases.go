package main

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"math"
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
	w.start(capCPU, route{queueA, poolA, 3, 0, false})
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
		w.cutMinionsOf(jobOne, 5500*time.Millisecond)
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
	w.start(0, route{queueA, poolA, 3, 0, false})
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
	w.configure(7, 0, route{queueA, poolB, 3, 0, false})
	time.Sleep(4 * time.Second)
	if w.trouble {
		w.cutMinionsOf(jobOne, 5500*time.Millisecond)
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
	w.start(0, route{queueA, poolA, 3, 0, false})
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

// droppedRoute drops the route of two jobs, and adds it again after 30 s. Meanwhile the first
// run of one of them fails, and the first step of the other ends.
func droppedRoute(w *world) verdict {
	w.addMachines(poolA, 8, 16000)
	kept := route{"tije37", poolB, 3, 0, false}
	w.addMachines(poolB, 2, 16000)
	w.start(0, route{queueA, poolA, 3, 0, false}, kept)
	w.mustSubmit(queueA, jobOne, 1, step{count: 1, cpu: 1000, plan: taskPlan{work: 4 * time.Second, failAfter: 6 * time.Second, failRuns: 1}})
	w.mustSubmit(queueA, jobTwo, 1,
		step{count: 1, cpu: 1000, plan: taskPlan{work: 4 * time.Second}},
		step{count: 1, cpu: 1000, after: []int{0}, plan: taskPlan{work: time.Second}})
	time.Sleep(time.Second)
	if w.trouble {
		w.configure(7, 0, kept)
	}
	time.Sleep(30 * time.Second)
	begun := w.hasStarted(jobTwo + ".0.1.0")
	w.rec.printf("the second step of %s has begun: %v", jobTwo, begun)
	if w.trouble {
		w.configure(9, 0, route{queueA, poolA, 3, 0, false}, kept)
	}
	time.Sleep(2500 * time.Millisecond)
	state := ""
	until(15*time.Second, func() bool {
		state = w.state(queueA, jobOne, 3*time.Second)
		time.Sleep(500 * time.Millisecond)
		return state == "failed" || state == "completed"
	})
	w.state(queueA, jobTwo, 3*time.Second)
	failed := w.countEnds(jobOne, "failed")
	return verdict{
		state == "failed" && failed < 3 || !begun,
		fmt.Sprintf("LOST: the first job is shown as %q; %d runs ended failed, 3 attempts. The second step of the other had begun 30 s after the drop: %v", state, failed, begun),
	}
}

// suspended crashes the minion that runs a task that lasts, five times, and then leaves the
// system alone.
func suspended(w *world) verdict {
	w.addMachines(poolA, 8, 16000)
	w.start(0, route{queueA, poolA, 3, 0, false})
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

// hopeless hands in a job whose task needs more than any minion has, so that it can never be
// done, and then ordinary jobs.
func hopeless(w *world) verdict {
	const cpu, capacity = 1000, 16000
	w.addMachines(poolA, 4, capacity)
	w.start(0, route{queueA, poolA, 3, 0, false})
	over, most := "", int64(0)
	w.onStart = func(started liveRun) {
		ordinary, all := int64(0), uint64(0)
		for _, r := range w.live {
			if r.minion == started.minion {
				all += uint64(r.cpu)
				if r.cpu == cpu {
					ordinary += r.cpu
				}
			}
		}
		most = max(most, ordinary)
		if all > capacity && over == "" {
			over = fmt.Sprintf("run %s#%d brings %s to %d of cpu", started.task, started.number, started.minion.id, all)
			w.rec.printf("%s", over)
		}
	}
	long := taskPlan{work: 12 * time.Second}
	w.mustSubmit(queueA, jobOne, 8, step{count: 8, cpu: cpu, plan: long})
	if w.trouble {
		w.submit(queueA, jobTwo, 5*time.Second, step{count: 1, cpu: math.MaxInt64, apart: 1, plan: long})
		time.Sleep(time.Second)
	}
	w.submit(queueA, "0b7d2f6619c8ae35", 5*time.Second, step{count: 90, cpu: cpu, plan: long})
	time.Sleep(8 * time.Second)
	w.runsMu.Lock()
	defer w.runsMu.Unlock()
	return verdict{over != "", fmt.Sprintf("LIMIT: %s; at most %d in ordinary tasks on one minion of %d", cmp.Or(over, "no start above a capacity"), most, capacity)}
}

// cancelled has a tenant at its cap, with a second job that waits. The tenant cancels the
// first job, and the owner is stopped.
func cancelled(w *world) verdict {
	const cpu, width, capCPU = 1000, 8, 8000
	w.stopTime = 800 * time.Millisecond
	w.addMachines(poolA, 8, 16000)
	w.start(capCPU, route{queueA, poolA, 3, 0, false})
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
	w.submit(queueA, jobTwo, 5*time.Second, long)
	time.Sleep(2 * time.Second)
	w.call(w.entries[0], "DELETE", "/"+queueA+"/"+jobOne, nil)
	if w.trouble {
		w.leader().terminate()
	}
	time.Sleep(8 * time.Second)
	w.runsMu.Lock()
	defer w.runsMu.Unlock()
	limit := int64(capCPU*11/10 + cpu)
	return verdict{most > limit, fmt.Sprintf("QUOTA: at most %d of cpu at a start; the limit is %d", most, limit)}
}

// upkeep begins a wave with a cap of one. The first call for an upkeep gets no answer and is
// carried out two seconds later; meanwhile the owner is stopped.
func upkeep(w *world) verdict {
	w.addMachines(poolA, 8, 16000)
	w.start(0, route{queueA, poolA, 3, 0, false})
	w.mu.Lock()
	if w.trouble {
		w.lateUpkeep = 2 * time.Second
	}
	w.onLate = func() {
		time.AfterFunc(200*time.Millisecond, func() { w.leader().terminate() })
	}
	machines := []string{}
	for _, m := range w.machines[:6] {
		machines = append(machines, m.name)
	}
	w.mu.Unlock()
	w.store.put("op/wave/1", map[string]any{"wave": 1, "machines": machines, "withinS": 26, "cap": 1})
	w.rec.printf("the operator asks for wave 1 of %v with a cap of 1", machines)
	time.Sleep(26 * time.Second)
	w.mu.Lock()
	defer w.mu.Unlock()
	return verdict{w.mostUpkeeps > 1, fmt.Sprintf("LIMIT: at most %d machines of the wave down for upkeep at once; its cap is 1", w.mostUpkeeps)}
}

// waiting has a full pool but for one minion, which refuses to start tasks for seven seconds.
// Meanwhile sixteen jobs wait.
func waiting(w *world) verdict {
	const cpu, minions, perMinion = 1000, 10, 16
	w.addMachines(poolA, minions, perMinion*cpu)
	w.start(0, route{queueA, poolA, 3, 0, false})
	long := taskPlan{work: 60 * time.Second}
	w.mustSubmit(queueA, jobOne, (minions-1)*perMinion, step{count: (minions - 1) * perMinion, cpu: cpu, plan: long})
	var idle *minion
	for _, n := range w.minions {
		n.mu.Lock()
		if len(n.running) == 0 {
			idle = n
		}
		n.mu.Unlock()
	}
	if idle == nil {
		w.fatal(errors.New("no idle minion"))
	}
	setUnhealthy := func(unhealthy bool) {
		idle.mu.Lock()
		defer idle.mu.Unlock()
		idle.unhealthy = unhealthy
		w.rec.printf("minion %s refuses starts: %v", idle.id, unhealthy)
	}
	setUnhealthy(w.trouble)
	var ids []string
	for i := range perMinion {
		id := fmt.Sprintf("00000000abcd%04x", i)
		if w.submit(queueA, id, 2*time.Second, step{count: 1, cpu: cpu, plan: long}) {
			ids = append(ids, id)
		}
	}
	time.Sleep(5500 * time.Millisecond)
	w.runsMu.Lock()
	begun := 0
	for _, id := range ids {
		for task := range w.startedTasks {
			if jobOf(task) == id {
				begun++
			}
		}
	}
	w.runsMu.Unlock()
	_, text := w.call(w.entries[1], "GET", "/"+queueA+"/", nil)
	var body struct {
		Waiting int `json:"waiting"`
	}
	if err := json.Unmarshal([]byte(text), &body); err != nil {
		w.fatal(err)
	}
	w.state(queueA, ids[0], time.Second)
	setUnhealthy(false)
	time.Sleep(2 * time.Second)
	unbegun := len(ids) - begun
	return verdict{2*body.Waiting < unbegun, fmt.Sprintf("MIXED: %d jobs shown as waiting; %d were accepted over 5 s before and have not begun", body.Waiting, unbegun)}
}

// policy has a job on a queue with advice that only one minion may run, and another job, on
// another queue of the same service, that any minion may run. The first minion is lost for
// good before.
func policy(w *world) verdict {
	const free = "tije37"
	w.addMachines(poolA, 8, 16000)
	w.start(0, route{queueA, poolA, 3, 0, true}, route{free, poolA, 3, 0, false})
	only := w.minions[0]
	w.onlyOn[jobTwo] = only.id
	if w.trouble {
		w.crash(only, 0)
	}
	time.Sleep(8 * time.Second)
	second := step{count: 1, cpu: 1000, plan: taskPlan{work: time.Second}}
	if !w.submit(queueA, jobTwo, 5*time.Second, second) {
		w.fatal(errors.New("first job not accepted"))
	}
	if !w.submit(free, jobOne, 5*time.Second, second) {
		w.fatal(errors.New("second job not accepted"))
	}
	accepted := time.Now()
	begun := until(40*time.Second, func() bool { return len(w.runsOf(jobOne)) > 0 || w.countEnds(jobOne, "done") > 0 })
	waited := time.Since(accepted).Round(time.Millisecond)
	state := w.state(free, jobOne, 3*time.Second)
	return verdict{!begun, fmt.Sprintf("LOST: the job that any minion may run has begun: %v, after %v, and is shown as %q", begun, waited, state)}
}
