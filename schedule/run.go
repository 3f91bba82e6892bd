package schedule

import (
	"slices"
	"time"

	"almondcove/job"
)

// runState is what the core knows about a run.
type runState int

// The states of a run.
const (
	// sent is a run whose start order was given and has no result yet.
	sent runState = iota
	// running is a run that its VM has accepted or reported.
	running
	// unsettled is a run whose start order got no answer, so that the VM may still
	// carry it out.
	unsettled
	// stopping is a run for which a stop order was given.
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
	// sent is when the start order was given.
	sent time.Time
	// need is what the run uses on its VM, and charged is what its team is charged.
	need, charged job.Resources
	// checkpoint, percent and load are from the last report; see [Progress].
	checkpoint string
	percent    int
	load       int64
	// pace is the share of its speed at which the run may work, in percent.
	pace int
	// progressedAt is when the reported progress last changed.
	progressedAt time.Time
	// stopSentAt is when the last stop order was given.
	stopSentAt time.Time
	// maybeStoppingUntil is set for a run of a previous owner, which may have ordered
	// it to stop. Until then the run may be stopping although it is reported as
	// running.
	maybeStoppingUntil time.Time
	// startUnanswered is set while a start order without an answer may still be
	// carried out.
	startUnanswered bool
}

// adoptRun takes over a run that a previous owner has started. It stops the run if
// its job is unknown or has ended, its task is done, or its task already has a run
// and allows no copies. A stopped run of a known job uses the VM's capacity until
// it has ended.
func (c *Core) adoptRun(v *vm, p Progress, now time.Time) {
	w := c.jobs[p.Run.Task.Job]
	if w == nil || !w.hasTask(p.Run.Task) {
		c.config.Log.Info("run of an unknown task stopped", "run", p.Run, "vm", v.ID)
		v.hasUnknownRun = true
		c.actions = append(c.actions, Stop{VM: v.ID, Run: p.Run, Fence: v.fence(c.epoch)})
		return
	}
	var t *task
	if !w.state.Phase().Final() {
		t = c.taskOf(w, p.Run.Task)
	}
	wanted := t != nil && (len(t.runs) == 0 || t.stage.step.Copies)
	if !wanted {
		t = placeholderTask(w, p.Run.Task)
	}
	r := c.newRun(t, v, p.Run.Number, now)
	r.state = running
	r.checkpoint, r.percent, r.load = p.Checkpoint, p.Percent, p.Load
	r.maybeStoppingUntil = now.Add(c.config.Stop + stopReportMargin)
	v.extendLease(now, c.config.Hold)
	if !wanted {
		c.config.Log.Info("unneeded run of a previous owner stopped", "run", p.Run, "vm", v.ID, "phase", w.state.Phase())
		c.stopRun(r, now)
		return
	}
	w.state.Start()
	if t.stage.step.Filler {
		// The previous owner may have paced the run, but its last pace is not recorded.
		r.pace = adoptedPacePercent
		c.actions = append(c.actions, Pace{VM: v.ID, Run: r.id, Percent: r.pace, Fence: v.fence(c.epoch)})
	}
}

// stopReportMargin is the time allowed for the end of a stopped run to be reported.
const stopReportMargin = 400 * time.Millisecond

// placeholderTask returns a task, not part of its job's stages, for a run that is
// only kept until it has stopped.
func placeholderTask(w *trackedJob, id job.Task) *task {
	g := &stage{trackedJob: w, id: id.Stage(), step: &w.Steps[id.Step]}
	return &task{stage: g, id: id, done: true}
}

// hasTask reports whether id names a task of the job.
func (w *trackedJob) hasTask(id job.Task) bool {
	return id.Step >= 0 && id.Step < len(w.Steps) && id.Index >= 0 && id.Index < w.Steps[id.Step].Count &&
		id.Occurrence >= 0 && id.Occurrence < w.Occurrences()
}

// newRun adds a run to its task and VM, and charges its team. A filler uses only
// processor time that others leave, so it takes no CPU capacity on the VM.
func (c *Core) newRun(t *task, v *vm, runNumber int, now time.Time) *run {
	r := &run{
		id: Run{t.id, runNumber}, task: t, vm: v, fence: v.fence(c.epoch), sent: now,
		need: t.stage.step.Need, charged: t.stage.step.Need, pace: fullPacePercent,
	}
	if t.stage.step.Filler {
		r.need.CPU = 0
	}
	t.runNumber = max(t.runNumber, runNumber)
	if len(t.runs) == 0 {
		t.stage.waitingTasks--
	}
	t.runs = append(t.runs, r)
	v.runs[r.id] = r
	v.used = v.used.Plus(r.need)
	jobTeam := c.team(t.stage.trackedJob.Team)
	jobTeam.used = jobTeam.used.Plus(r.charged)
	return r
}

// releaseRun removes a run from its task and VM, and releases its resources.
func (c *Core) releaseRun(r *run) {
	v, t := r.vm, r.task
	if v.runs[r.id] != r {
		return
	}
	delete(v.runs, r.id)
	v.used = v.used.Minus(r.need)
	jobTeam := c.team(t.stage.trackedJob.Team)
	jobTeam.used = jobTeam.used.Minus(r.charged)
	t.runs = slices.DeleteFunc(t.runs, func(o *run) bool { return o == r })
	if len(t.runs) == 0 {
		t.workingSince = time.Time{}
		if !t.done {
			t.stage.waitingTasks++
		}
	}
}

// handleEnd handles an end that a VM reports. VMs report an end until it is
// recorded, so ends that were read before are ignored.
func (c *Core) handleEnd(v *vm, e End, now time.Time) {
	if e.Number <= v.lastEndRead {
		return
	}
	v.lastEndRead = e.Number
	c.stats.Ends++
	if r := v.runs[e.Run]; r != nil {
		c.endRun(r, e.Outcome, e.Checkpoint, now)
	} else {
		c.handleUnknownEnd(v, e, now)
	}
	v.ends = append(v.ends, unseenEnd{e.Number, e.Run.Task.Job})
}

// handleUnknownEnd handles the end of a run that the core does not know, such as
// one that a previous owner has started.
func (c *Core) handleUnknownEnd(v *vm, e End, now time.Time) {
	w := c.jobs[e.Run.Task.Job]
	if w == nil || w.state.Phase().Final() {
		return
	}
	t := c.taskOf(w, e.Run.Task)
	if t == nil {
		return
	}
	t.runNumber = max(t.runNumber, e.Run.Number)
	c.config.Log.Info("unknown run ended", "run", e.Run, "how", e.Outcome, "vm", v.ID)
	c.applyOutcome(t, e.Run.Number, v, e.Outcome, now)
}

// endRun removes a run that has ended, keeps its last checkpoint, and applies the
// outcome to its task.
func (c *Core) endRun(r *run, how Outcome, checkpoint string, now time.Time) {
	t := r.task
	if checkpoint == "" {
		checkpoint = r.checkpoint
	}
	c.releaseRun(r)
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
	c.applyOutcome(t, r.id.Number, r.vm, how, now)
}

// applyOutcome updates a task and its job for the end of a run.
func (c *Core) applyOutcome(t *task, number int, v *vm, how Outcome, now time.Time) {
	w := t.stage.trackedJob
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

// taskDone marks a task as done, or all tasks of its gang. If that completes the
// stage, taskDone closes it and opens the stages that depend on it, or completes
// the job. The end of a service task completes nothing.
func (c *Core) taskDone(t *task, number int, now time.Time) {
	g, w := t.stage, t.stage.trackedJob
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
	c.openDueStages(w, now)
}

// markDone marks a task as done and stops its other runs.
func (c *Core) markDone(t *task, now time.Time) {
	if t.done {
		return
	}
	t.done = true
	t.stage.trackedJob.state.MarkDone(t.id)
	if len(t.runs) == 0 {
		t.stage.waitingTasks--
	}
	if t.stage.step.Gang {
		// The other members of the gang end by themselves and report their own ends.
		return
	}
	for _, r := range slices.Clone(t.runs) {
		c.stopRun(r, now)
	}
}

// taskFailed counts a failed run. The job fails once a task has had as many
// failures as its queue allows attempts; a gang counts as one task. A service
// task never fails its job, but starts again after a pause.
func (c *Core) taskFailed(t *task, number int, v *vm, now time.Time) {
	g, w := t.stage, t.stage.trackedJob
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
		c.finishJob(w, job.Failed, now)
	}
}

// serviceBackoff is the pause before a failed service task starts again.
const serviceBackoff = 100 * time.Millisecond

// Started handles the result of a start order. A run whose order was not carried
// out is removed; one whose order got no answer is kept until a hold settles it.
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
		c.config.Log.Info("start order not accepted", "run", s.Run, "vm", s.VM, "result", result)
	}
	switch result {
	case Accepted:
		r.startUnanswered = false
		if r.state == sent || r.state == unsettled {
			r.state = running
		}
		return
	case Unanswered:
		c.stats.Unanswered++
		if r.state == running {
			return
		}
		r.startUnanswered = true
		if r.state == sent {
			r.state = unsettled
		}
		v.needsNewFence = true
		c.requestHold(v)
		return
	}
	if r.state == running {
		// A hold has meanwhile reported the run as running.
		return
	}
	c.releaseRun(r)
	r.task.notBefore = now.Add(startRefusedBackoff)
	c.refused(v, r, result, now)
}

// startRefusedBackoff is the pause before a task is started again after a start
// order that was not carried out.
const startRefusedBackoff = 50 * time.Millisecond

// refused handles the reason for which a start order was not carried out.
func (c *Core) refused(v *vm, r *run, result Result, now time.Time) {
	switch result {
	case Outdated:
		r.task.runNumber += runNumbersPerEpoch / 100
	case Unhealthy:
		v.health.refused(now)
	case Unsent, Gone, Fenced:
		v.needsNewFence = true
		c.requestHold(v)
	case Full:
		v.health.full(now)
	case NoTicket:
		r.task.stage.advice = advice{}
	case Refused:
		r.task.notBefore = now.Add(time.Second)
	case Accepted, Unanswered, Late:
	}
}

// stopRun orders a VM to stop a run. It does not repeat the order within
// [stopRetryInterval].
func (c *Core) stopRun(r *run, now time.Time) {
	if r.state == stopping && now.Sub(r.stopSentAt) < stopRetryInterval {
		return
	}
	if r.state == sent || r.state == unsettled {
		// The start order may still be in transit; a hold under a higher fencing
		// token settles it.
		r.vm.needsNewFence = true
		c.requestHold(r.vm)
	}
	r.state = stopping
	r.stopSentAt = now
	c.actions = append(c.actions, Stop{VM: r.vm.ID, Run: r.id, Fence: r.vm.fence(c.epoch)})
}

// Stopped handles the result of a stop order. The order is repeated every
// [stopRetryInterval] until the run has ended, so that a failed one needs no other
// handling. If its fencing token was too low, the next hold uses a higher one.
func (c *Core) Stopped(s Stop, result Result, _ time.Time) {
	if result == Accepted {
		return
	}
	c.config.Log.Info("stop order not accepted", "run", s.Run, "vm", s.VM, "result", result)
	if v := c.vms[s.VM]; v != nil {
		v.needsNewFence = v.needsNewFence || result == Fenced
	}
}
