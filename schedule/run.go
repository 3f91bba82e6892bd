package schedule

import (
	"slices"
	"time"

	"almondcove/job"
)

// runState is what is known of a run.
type runState int

const (
	sent runState = iota
	running
	unsettled
	stopping
)

var runStates = [...]string{"sent", "running", "unsettled", "stopping"}

func (s runState) String() string { return runStates[s] }

// run is one start of a task, from the order to its end.
type run struct {
	id    Run
	task  *task
	vm    *vm
	fence int64
	state runState
	sent  time.Time
	// need is what the run uses of the VM, and asked what the team is charged.
	need, asked job.Resources
	checkpoint  string
	percent     int
	load        int64
	pace        int
	// moved is when the run last made progress.
	moved time.Time
	// stopSent is when the last order to stop was given.
	stopSent time.Time
	// doubted is until when a run of the owner before may be one that it has told to
	// stop.
	doubted time.Time
	// unsure is set when the order to start was not answered.
	unsure bool
}

// adopt takes a run that an owner before this one has started. One that must not
// go on is stopped; until it has ended it takes up room like any other.
func (c *Core) adopt(v *vm, p Progress, now time.Time) {
	w := c.jobs[p.Run.Task.Job]
	if w == nil || !w.has(p.Run.Task) {
		c.config.Log.Info("stray run stopped", "run", p.Run, "vm", v.ID)
		v.stray = true
		c.actions = append(c.actions, Stop{VM: v.ID, Run: p.Run, Fence: v.fence(c.epoch)})
		return
	}
	var t *task
	if !w.state.Phase().Final() {
		t = c.taskOf(w, p.Run.Task)
	}
	wanted := t != nil && (len(t.runs) == 0 || t.stage.step.Copies)
	if !wanted {
		t = ghost(w, p.Run.Task)
	}
	r := c.newRun(t, v, p.Run.Number, now)
	r.state = running
	r.checkpoint, r.percent, r.load = p.Checkpoint, p.Percent, p.Load
	r.doubted = now.Add(c.config.Stop + stopSpare)
	v.granted(now, c.config.Hold)
	if !wanted {
		c.config.Log.Info("unwanted run stopped", "run", p.Run, "vm", v.ID, "phase", w.state.Phase())
		c.stop(r, now)
		return
	}
	w.state.Start()
	if t.stage.step.Filler {
		// The owner before may have paced it; what it said is not known.
		r.pace = adoptedPacePercent
		c.actions = append(c.actions, Pace{VM: v.ID, Run: r.id, Percent: r.pace, Fence: v.fence(c.epoch)})
	}
}

// stopSpare is the time in which the end of a stopped run is heard of.
const stopSpare = 400 * time.Millisecond

// ghost returns a task that stands for a run which is only to be stopped.
func ghost(w *work, id job.Task) *task {
	g := &stage{work: w, id: id.Stage(), step: &w.Steps[id.Step]}
	return &task{stage: g, id: id, done: true}
}

// has reports whether the job has such a task.
func (w *work) has(id job.Task) bool {
	return id.Step >= 0 && id.Step < len(w.Steps) && id.Index >= 0 && id.Index < w.Steps[id.Step].Count &&
		id.Occurrence >= 0 && id.Occurrence < w.Occurrences()
}

// newRun books a run on a VM.
func (c *Core) newRun(t *task, v *vm, number int, now time.Time) *run {
	r := &run{
		id: Run{t.id, number}, task: t, vm: v, fence: v.fence(c.epoch), sent: now,
		need: t.stage.step.Need, asked: t.stage.step.Need, pace: fullPace,
	}
	if t.stage.step.Filler {
		r.need.CPU = 0
	}
	t.number = max(t.number, number)
	if len(t.runs) == 0 {
		t.stage.waiting--
	}
	t.runs = append(t.runs, r)
	v.runs[r.id] = r
	v.used = v.used.Plus(r.need)
	owner := c.team(t.stage.work.Team)
	owner.used = owner.used.Plus(r.asked)
	return r
}

// release removes a run from all books.
func (c *Core) release(r *run) {
	v, t := r.vm, r.task
	if v.runs[r.id] != r {
		return
	}
	delete(v.runs, r.id)
	v.used = v.used.Minus(r.need)
	owner := c.team(t.stage.work.Team)
	owner.used = owner.used.Minus(r.asked)
	t.runs = slices.DeleteFunc(t.runs, func(o *run) bool { return o == r })
	if len(t.runs) == 0 {
		t.atWork = time.Time{}
		if !t.done {
			t.stage.waiting++
		}
	}
}

// end takes an end that a VM lists.
func (c *Core) end(v *vm, e End, now time.Time) {
	if e.Number <= v.read {
		return
	}
	v.read = e.Number
	c.stats.Ends++
	if r := v.runs[e.Run]; r != nil {
		c.ended(r, e.Outcome, e.Checkpoint, now)
	} else {
		c.lateEnd(v, e, now)
	}
	v.ends = append(v.ends, unseenEnd{e.Number, e.Run.Task.Job})
}

// lateEnd takes the end of a run that the core doesn't know, such as one that
// an owner before this one has started.
func (c *Core) lateEnd(v *vm, e End, now time.Time) {
	w := c.jobs[e.Run.Task.Job]
	if w == nil || w.state.Phase().Final() {
		return
	}
	t := c.taskOf(w, e.Run.Task)
	if t == nil {
		return
	}
	t.number = max(t.number, e.Run.Number)
	c.config.Log.Info("end of an unknown run", "run", e.Run, "how", e.Outcome, "vm", v.ID)
	c.outcome(t, e.Run.Number, v, e.Outcome, now)
}

// ended takes the end of a run.
func (c *Core) ended(r *run, how Outcome, checkpoint string, now time.Time) {
	t := r.task
	if checkpoint == "" {
		checkpoint = r.checkpoint
	}
	c.release(r)
	r.vm.idleSince = now
	if checkpoint != "" {
		t.checkpoint = checkpoint
	}
	if how != Done || t.stage.step.Service {
		c.config.Log.Info("run ended", "run", r.id, "vm", r.vm.ID, "how", how, "state", r.state,
			"after", now.Sub(r.sent).Milliseconds())
	}
	r.vm.recordEnd(t.id.Job, how, now)
	if how == Done {
		c.observeEnd(r, now)
	}
	c.outcome(t, r.id.Number, r.vm, how, now)
}

// outcome records what the end of a run means for its task.
func (c *Core) outcome(t *task, number int, v *vm, how Outcome, now time.Time) {
	w := t.stage.work
	if w.state.Phase().Final() || t.done {
		return
	}
	switch how {
	case Done:
		c.taskDone(t, number, now)
	case Failed:
		c.taskFailed(t, number, v, now)
	case Lapsed, Unknown:
		c.stats.Lapses++
	case Stopped, Broken, Alone:
	}
}

func (c *Core) taskDone(t *task, number int, now time.Time) {
	g, w := t.stage, t.stage.work
	if g.step.Service {
		return
	}
	members := []*task{t}
	if g.step.Gang {
		members = g.tasks
	}
	for _, m := range members {
		c.markDone(m, now)
	}
	c.markDirty(w)
	if !w.state.StageDone(g.id) {
		return
	}
	c.closeStage(g)
	if w.state.Phase() == job.Completed {
		w.state.MarkCompleted(now)
		c.config.Log.Info("job completed", "job", w.ID, "queue", w.Queue, "run", number,
			"late", now.Sub(g.due.Add(c.allowance(w))).Milliseconds(), "took", now.Sub(w.Accepted).Milliseconds())
		return
	}
	c.open(w, now)
}

func (c *Core) markDone(t *task, now time.Time) {
	if t.done {
		return
	}
	t.done = true
	t.stage.work.state.MarkDone(t.id)
	if len(t.runs) == 0 {
		t.stage.waiting--
	}
	if t.stage.step.Gang {
		// The other members list their own ends.
		return
	}
	for _, r := range slices.Clone(t.runs) {
		c.stop(r, now)
	}
}

func (c *Core) taskFailed(t *task, number int, v *vm, now time.Time) {
	g, w := t.stage, t.stage.work
	c.stats.Failures++
	t.failedOn = append(t.failedOn, v.ID)
	if g.step.Service {
		t.notBefore = now.Add(serviceBackoff)
		return
	}
	counted := t
	if g.step.Gang {
		counted = g.tasks[0]
	}
	if !w.state.RecordFailure(counted.id, number) {
		return
	}
	c.markDirty(w)
	failures := w.state.Failures(counted.id)
	attempts := max(c.view.Queues[w.Queue].Attempts, 1)
	c.config.Log.Info("task failed", "run", Run{t.id, number}, "vm", v.ID, "failures", failures, "attempts", attempts)
	if failures >= attempts {
		c.finish(w, job.Failed, now)
	}
}

// serviceBackoff is the pause before a service task that has failed starts anew.
const serviceBackoff = 100 * time.Millisecond

// Started takes the result of an order to start.
func (c *Core) Started(s Start, result Result, now time.Time) {
	v := c.vms[s.VM]
	if v == nil {
		return
	}
	r := v.runs[s.Run]
	if r == nil {
		return
	}
	if result != Accepted {
		c.config.Log.Info("start not accepted", "run", s.Run, "vm", s.VM, "result", result)
	}
	switch result {
	case Accepted:
		r.unsure = false
		if r.state == sent || r.state == unsettled {
			r.state = running
		}
		return
	case Unanswered:
		c.stats.Unanswered++
		if r.state == running {
			return
		}
		r.unsure = true
		if r.state == sent {
			r.state = unsettled
		}
		v.raise = true
		c.look(v)
		return
	}
	if r.state == running {
		// A hold has shown it running meanwhile.
		return
	}
	c.release(r)
	r.task.notBefore = now.Add(retryPause)
	c.refused(v, r, result, now)
}

// retryPause is the pause before a task whose start was refused is tried again.
const retryPause = 50 * time.Millisecond

// refused draws the consequences of an order that was not carried out.
func (c *Core) refused(v *vm, r *run, result Result, now time.Time) {
	switch result {
	case Outdated:
		r.task.number += runSpan / 100
	case Unhealthy:
		v.health.refused(now)
	case Unsent, Gone, Fenced:
		v.raise = true
		c.look(v)
	case Full:
		v.health.full(now)
	case NoTicket:
		r.task.stage.advice = advice{}
	case Refused:
		r.task.notBefore = now.Add(time.Second)
	case Accepted, Unanswered, Late:
	}
}

// stop orders the end of a run.
func (c *Core) stop(r *run, now time.Time) {
	if r.state == stopping && now.Sub(r.stopSent) < stopAgain {
		return
	}
	if r.state == sent || r.state == unsettled {
		// The order to start may still be on its way: a higher fence settles it.
		r.vm.raise = true
		c.look(r.vm)
	}
	r.state = stopping
	r.stopSent = now
	c.actions = append(c.actions, Stop{VM: r.vm.ID, Run: r.id, Fence: r.vm.fence(c.epoch)})
}

// Stopped takes the result of an order to stop.
func (c *Core) Stopped(s Stop, result Result, _ time.Time) {
	if result == Accepted {
		return
	}
	c.config.Log.Info("stop not accepted", "run", s.Run, "vm", s.VM, "result", result)
	if v := c.vms[s.VM]; v != nil {
		v.raise = v.raise || result == Fenced
	}
}
