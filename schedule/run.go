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
	// runSent is a run whose start order was given and has no result yet.
	runSent runState = iota
	// runRunning is a run that its VM has accepted or reported.
	runRunning
	// runUnsettled is a run whose start order got no answer, so that the VM may have
	// carried it out or may still do so.
	runUnsettled
	// runStopping is a run for which a stop order was given.
	runStopping
)

var runStateNames = [...]string{"sent", "running", "unsettled", "stopping"}

func (s runState) String() string { return runStateNames[s] }

// run is one start of a task, from the order to its end.
type run struct {
	id   Run
	task *task
	vm   *vm
	// pool is the pool of the VM when the run was started, or when this owner took it over.
	pool  string
	fence int64
	state runState
	// startSentAt is when the start order was given, or when this owner took over the
	// run of a previous one.
	startSentAt time.Time
	// need is what the run uses on its VM, and charged is what counts towards its team's
	// cap.
	need, charged job.Resources
	// checkpoint, percent and load are from the last report; see [Progress].
	checkpoint string
	percent    int
	load       int64
	// pace is the speed at which the run may work, in percent of full speed.
	pace int
	// progressedAt is when the reported progress last changed.
	progressedAt time.Time
	// stopSentAt is when the last stop order was given, and stopReason why.
	stopSentAt time.Time
	stopReason stopReason
	// maybeStoppingUntil is set for a run of a previous owner, which may have ordered
	// the run to stop. Until that time the run may be stopping although the VM reports
	// it as running.
	maybeStoppingUntil time.Time
	// startUnanswered is set while a start order without an answer may still be carried
	// out. Unlike runUnsettled, it stays set when a stop is ordered.
	startUnanswered bool
	// acceptedAt is when the VM accepted the start order; zero means not, or not known.
	acceptedAt time.Time
	// reported is set once a report has listed the run.
	reported bool
	// fromRecord is set for a run that the previous owner has recorded, until a report lists
	// it.
	fromRecord bool
	// copyOfSlow is set for a second run that was started because the VM of the first is slow.
	copyOfSlow bool
	// workingSince is the time since which the run of a service task has been at work; zero
	// while it is not.
	workingSince time.Time
	// away is set if the run takes [Config.FarFactor] times as long, because it is away from its
	// data or in another rack than others of its gang.
	away bool
}

// adoptRun takes over a run that a previous owner has started. It stops the run if
// its job is unknown or has ended, or its task is done. If the task has another run and
// allows no copies, the one with the lower number is stopped: the owner that started the
// other one knew that the lower one had ended, or would do nothing any more. A stopped run
// of a known job uses the VM's capacity and counts for its team until it has ended.
func (c *Core) adoptRun(v *vm, p Progress, now time.Time) {
	tj := c.jobs[p.Run.Task.Job]
	var t *task
	if tj != nil && !tj.state.Phase().Final() {
		t = c.taskOf(tj, p.Run.Task)
	}
	wanted := t != nil
	if wanted {
		c.dropSuperseded(t, p.Run.Number)
		wanted = t.stage.step.Speculative || !slices.ContainsFunc(t.runs, func(other *run) bool { return other.id.Number >= p.Run.Number })
	} else if t = placeholderTask(tj, p.Run.Task); t == nil {
		c.config.Log.Info("run of an unknown task stopped", "run", p.Run, "vm", v.ID)
		v.hasUnknownRun = true
		c.actions = append(c.actions, Stop{VM: v.ID, Run: p.Run, Fence: v.fence(c.epoch)})
		return
	}
	if wanted && !t.stage.step.Speculative {
		for _, lower := range t.runs {
			c.stopRun(lower, stopUnneeded, now)
		}
	}
	r := c.newRun(t, v, p.Run.Number, now)
	r.state, r.reported = runRunning, true
	r.checkpoint, r.percent, r.load = p.Checkpoint, p.Percent, p.Load
	r.maybeStoppingUntil = now.Add(c.config.MaxStopTime + stopReportMargin)
	v.extendLease(now, c.config.MaxLease)
	if !wanted {
		c.config.Log.Info("unneeded run of a previous owner stopped", "run", p.Run, "vm", v.ID, "phase", tj.state.Phase())
		c.stopRun(r, stopUnneeded, now)
		return
	}
	tj.state.MarkStarted()
	c.resumeTrial(r, now)
	if t.stage.step.Filler {
		// The previous owner may have throttled the run, but the pace is not recorded.
		r.pace = adoptedPacePercent
		c.actions = append(c.actions, Pace{VM: v.ID, Run: r.id, Percent: r.pace, Fence: v.fence(c.epoch)})
	}
}

// dropSuperseded drops the runs of a task that are known only from the record, which may be
// old, if a VM has reported a run with a higher number. The owner that started that one knew
// that the others had ended.
func (c *Core) dropSuperseded(t *task, reported int) {
	t.reportedNumber = max(t.reportedNumber, reported)
	for _, r := range slices.Clone(t.runs) {
		if r.fromRecord && r.id.Number < reported {
			c.config.Log.Info("run in the record dropped for a later one", "run", r.id, "vm", r.vm.ID, "later", reported)
			c.releaseRun(r)
			c.placeChanged(r.vm.ID)
		}
	}
}

// stopReportMargin is the time allowed for the end of a stopped run to be reported.
const stopReportMargin = 400 * time.Millisecond

// placeholderTask returns a task, not part of its job's stages, for a run that is kept only
// until it has stopped. It returns nil if it is not known what the run uses: the job may be nil,
// or may have ended with no runs of that step.
func placeholderTask(tj *trackedJob, id job.Task) *task {
	if tj == nil {
		return nil
	}
	s := &stage{trackedJob: tj, id: id.Stage()}
	if tj.hasTask(id) {
		s.step = &tj.Steps[id.Step]
	} else if kept, ok := tj.state.KeptStep(id.Step); ok {
		s.step = &kept
	} else {
		return nil
	}
	return &task{stage: s, id: id, done: true}
}

// hasTask reports whether id names a task of the job.
func (tj *trackedJob) hasTask(id job.Task) bool {
	return id.Step >= 0 && id.Step < len(tj.Steps) && id.Index >= 0 && id.Index < tj.Steps[id.Step].Count &&
		id.Occurrence >= 0 && id.Occurrence < tj.Occurrences()
}

// newRun adds a run to its task and VM, and charges its team. A filler uses only
// processor time that others leave, so it takes no CPU capacity on the VM, but its
// team is charged for it.
func (c *Core) newRun(t *task, v *vm, runNumber int, now time.Time) *run {
	r := &run{
		id: Run{t.id, runNumber}, task: t, vm: v, pool: v.Pool, fence: v.fence(c.epoch), startSentAt: now,
		need: t.stage.step.Need, charged: t.stage.step.Need, pace: fullPacePercent,
		away: v.away(t.stage.step),
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
	jobTeam.used, jobTeam.startedAt = jobTeam.used.Plus(r.charged), now
	c.pool(r.pool).use.add(r)
	if q := t.stage.trackedJob.queue; q != nil && q.pools.add(r.pool) {
		c.queueChanged(q)
	}
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
	c.pool(r.pool).use.subtract(r)
	t.runs = slices.DeleteFunc(t.runs, func(o *run) bool { return o == r })
	if len(t.runs) == 0 && !t.done {
		t.stage.waitingTasks++
	}
}

// handleEnd handles an end that a VM reports. VMs report an end until it is
// recorded, so handleEnd ignores those that were read before.
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
	v.unrecordedEnds = append(v.unrecordedEnds, unrecordedEnd{e.Number, e.Run, now})
	c.withUnrecordedEnds[v] = true
}

// handleUnknownEnd handles the end of a run that the core does not know, such as
// one that a previous owner started.
func (c *Core) handleUnknownEnd(v *vm, e End, now time.Time) {
	tj := c.jobs[e.Run.Task.Job]
	if tj == nil || tj.state.Phase().Final() {
		return
	}
	t := c.taskOf(tj, e.Run.Task)
	if t == nil {
		return
	}
	t.runNumber = max(t.runNumber, e.Run.Number)
	c.dropSuperseded(t, e.Run.Number)
	c.config.Log.Info("unknown run ended", "run", e.Run, "how", e.Outcome, "vm", v.ID)
	c.applyOutcome(t, e.Run.Number, v, e.Outcome, now)
}

// endRun removes a run that has ended, keeps its last checkpoint, and applies the
// outcome to its task.
func (c *Core) endRun(r *run, outcome Outcome, checkpoint string, now time.Time) {
	t := r.task
	if checkpoint == "" {
		checkpoint = r.checkpoint
	}
	c.releaseRun(r)
	r.vm.idleSince = now
	if checkpoint != "" {
		t.checkpoint = checkpoint
	}
	if outcome != Done || t.stage.step.Service {
		c.config.Log.Info("run ended", "run", r.id, "vm", r.vm.ID, "how", outcome, "state", r.state,
			"after", now.Sub(r.startSentAt).Milliseconds())
	}
	r.vm.recordEnd(t.id.Job, outcome, now)
	if t.stage.step.Service && now.Sub(r.startSentAt) > settledAge {
		c.clear(t)
	}
	if outcome == Done {
		c.observeEnd(r, now)
	}
	c.applyOutcome(t, r.id.Number, r.vm, outcome, now)
}

// applyOutcome updates a task and its job for the end of a run. After any outcome but
// Done and Failed, the task waits for a new run.
func (c *Core) applyOutcome(t *task, number int, v *vm, outcome Outcome, now time.Time) {
	tj := t.stage.trackedJob
	if tj.state.Phase().Final() || t.done {
		return
	}
	switch outcome {
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
	s, tj := t.stage, t.stage.trackedJob
	if s.step.Service {
		return
	}
	members := []*task{t}
	if s.step.Gang {
		members = s.tasks
	}
	for _, m := range members {
		c.markDone(m, now)
	}
	c.markDirty(tj)
	if !tj.state.StageDone(s.id) {
		return
	}
	c.closeStage(s)
	if tj.state.Phase() == job.Completed {
		tj.keepStepsWithRuns()
		tj.state.MarkCompleted(now)
		c.config.Log.Info("job completed", "job", tj.ID, "queue", tj.Queue, "run", number,
			"late", now.Sub(s.due.Add(c.allowance(tj))).Milliseconds(), "took", now.Sub(tj.Accepted).Milliseconds())
		return
	}
	c.openDueStages(tj, now)
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
		c.stopRun(r, stopTaskDone, now)
	}
}

// taskFailed counts a failed run. The job fails once a task has had as many
// failures as its queue allows attempts; a gang counts as one task. A service
// task never fails its job, but starts again after a pause.
func (c *Core) taskFailed(t *task, number int, v *vm, now time.Time) {
	s, tj := t.stage, t.stage.trackedJob
	c.stats.Failures++
	t.failedOn = append(t.failedOn, v.ID)
	if s.step.Service {
		t.notBefore = now.Add(serviceBackoff)
		return
	}
	// Failures of a gang are counted on its first member.
	counted := t
	if s.step.Gang {
		counted = s.tasks[0]
	}
	if !tj.state.RecordFailure(counted.id, number) {
		return
	}
	c.markDirty(tj)
	failures := tj.state.Failures(counted.id)
	attempts, known := tj.queue.attempts()
	c.config.Log.Info("task failed", "run", Run{t.id, number}, "vm", v.ID, "failures", failures, "attempts", attempts, "known", known)
	if known && failures >= attempts {
		c.finishJob(tj, job.Failed, now)
	}
}

// attempts returns the number of failed runs of one task after which a job of the queue fails,
// and whether it is known.
func (q *queue) attempts() (int, bool) {
	s, known := q.settings()
	return max(s.Attempts, 1), known
}

// usedUpUnknownAttempts reports whether a task of a job has failed as often as its queue allows,
// which was not known when the last of its runs failed.
func (c *Core) usedUpUnknownAttempts(tj *trackedJob) bool {
	attempts, known := tj.queue.attempts()
	if !known {
		return false
	}
	for id, s := range tj.stages {
		if c.pools[unknownPool].stages[id] != s {
			continue
		}
		for _, t := range s.tasks {
			if tj.state.Failures(t.id) >= attempts {
				return true
			}
		}
	}
	return false
}

// serviceBackoff is the pause before a failed service task starts again.
const serviceBackoff = 100 * time.Millisecond

// Started handles the result of a start order. It removes the run if the order was
// not carried out. If the order got no answer, it keeps the run until a hold settles
// it.
func (c *Core) Started(s Start, result Result, now time.Time) {
	if sentAt := c.startsInFlight[s.Run]; result != Unanswered && result != Unsent && sentAt.After(c.lastAnsweredStart) {
		c.lastAnsweredStart = sentAt
	}
	delete(c.startsInFlight, s.Run)
	v := c.vms[s.VM]
	if v == nil {
		return
	}
	r := v.runs[s.Run]
	if r == nil {
		return
	}
	if result != Unsent && result != Unanswered {
		v.lastAlive = now
	}
	if result != Accepted {
		c.config.Log.Info("start order not accepted", "run", s.Run, "vm", s.VM, "result", result)
	}
	switch result {
	case Accepted:
		r.startUnanswered = false
		r.acceptedAt = now
		if r.state == runSent || r.state == runUnsettled {
			r.state = runRunning
		}
		return
	case Unanswered:
		c.stats.Unanswered++
		if r.state == runRunning {
			return
		}
		r.startUnanswered = true
		if r.state == runSent {
			r.state = runUnsettled
		}
		v.needsNewFence = true
		c.requestHold(v)
		return
	}
	if r.state == runRunning {
		// A report has meanwhile listed the run as running.
		return
	}
	c.releaseRun(r)
	r.task.notBefore = now.Add(startRefusedBackoff)
	c.handleStartRefused(v, r, result, now)
}

// startRefusedBackoff is the pause before a task starts again if its start order was
// not carried out.
const startRefusedBackoff = 50 * time.Millisecond

// handleStartRefused reacts to the reason why a start order was not carried out.
func (c *Core) handleStartRefused(v *vm, r *run, result Result, now time.Time) {
	switch result {
	case Outdated:
		// A run of the task with a higher number has ended on the VM. Its number is not
		// known, so the next run skips a hundred numbers.
		r.task.runNumber += runNumbersPerEpoch / 100
	case Unhealthy:
		v.health.excludeUnhealthy(now)
	case Unsent, Gone, Fenced:
		v.needsNewFence = true
		c.requestHold(v)
	case Full:
		v.health.excludeFull(now)
	case NoTicket:
		// Another plan requests advice again.
		r.task.stage.advice.discardTickets()
	case Refused:
		r.task.notBefore = now.Add(time.Second)
	case Accepted, Unanswered, Late:
	}
}

// stopRun orders a VM to stop a run. It does not repeat the order within
// [stopRetryInterval].
func (c *Core) stopRun(r *run, reason stopReason, now time.Time) {
	if r.state == runStopping && now.Sub(r.stopSentAt) < stopRetryInterval {
		return
	}
	if r.state != runStopping {
		c.logServiceStop(r, reason, now)
	}
	if r.state == runSent || r.state == runUnsettled {
		// The start order may still be in transit; a hold under a higher fencing
		// token settles it.
		r.vm.needsNewFence = true
		c.requestHold(r.vm)
	}
	r.state = runStopping
	r.stopSentAt, r.stopReason = now, reason
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
