package schedule

import (
	"time"
)

// The limits for the detection of stalled runs, which guards against VMs that answer while
// their tasks make no progress.
const (
	// stallTimeout is how long a run may make no progress before it counts as stalled.
	stallTimeout = 900 * time.Millisecond
	// stalledVMBackoff is how long a VM on which a run stalled gets no new task.
	stalledVMBackoff = 2 * time.Second
	// maxStallRestarts bounds how often a task is restarted because a run stalled.
	maxStallRestarts = 2
)

// recordProgress records the progress of a run, and when it last changed.
func (r *run) recordProgress(percent int, now time.Time) {
	if percent != r.percent || r.progressedAt.IsZero() {
		r.progressedAt = now
	}
	r.percent = percent
}

// isStalled reports whether a run has made no progress for [stallTimeout]. Service
// tasks, members of gangs, fillers and runs at a reduced pace never count as stalled.
func (c *Core) isStalled(r *run, now time.Time) bool {
	step := r.task.stage.step
	if r.state != runRunning || step.Service || step.Gang || step.Filler || r.progressedAt.IsZero() || r.pace < fullPacePercent {
		return false
	}
	return now.Sub(r.progressedAt) > stallTimeout
}

// restartStalled restarts the tasks whose only run is on this VM and has stalled. A task
// that allows copies gets a second run on another VM. For any other task the stalled run
// is stopped first, and the task is then placed again at a higher cost for this VM. While the
// VM has further ends to list, a run without progress may have ended.
func (c *Core) restartStalled(v *vm, now time.Time) {
	if v.silent || !v.attached || v.moreEnds || now.Sub(v.lastAnswer) > stallTimeout {
		return
	}
	for _, r := range v.sortedRuns() {
		t := r.task
		if len(t.runs) != 1 || t.stallRestarts >= maxStallRestarts || !c.isStalled(r, now) {
			continue
		}
		t.stallRestarts++
		t.failedOn = append(t.failedOn, v.ID)
		v.health.excludedUntil = now.Add(stalledVMBackoff)
		c.config.Log.Info("run stalled", "run", r.id, "vm", v.ID, "percent", r.percent,
			"after", now.Sub(r.startSentAt).Milliseconds(), "still", now.Sub(r.progressedAt).Milliseconds(), "copies", t.stage.step.Speculative)
		if !t.stage.step.Speculative {
			c.stopRun(r, stopStalled, now)
			continue
		}
		c.startCopy(t, now)
	}
}

// startCopy starts a second run of a task on another VM, if the team's cap and the VMs
// have room for it.
func (c *Core) startCopy(t *task, now time.Time) {
	if v := c.vmForCopy(t, now); v != nil {
		c.startRun(t, v, t.runNumber+1, now)
	}
}

// vmForCopy returns another VM for a second run of a task, or nil if the team's cap or the VMs
// have no room for it.
func (c *Core) vmForCopy(t *task, now time.Time) *vm {
	s := t.stage
	p := c.poolOf(s.trackedJob)
	vms := c.permittedVMs(s, c.usableVMs(p, now), now)
	if !c.withinCap(s, 1) || !c.mayStartIn(s.trackedJob.queue, p) {
		return nil
	}
	if v, _ := c.chooseVM(t, vms, now); v != t.runs[0].vm {
		return v
	}
	return nil
}

// The limits for second runs of tasks whose runs are on slow VMs.
const (
	// copyInterval is the least time between two such runs, and between two searches for one.
	copyInterval = 100 * time.Millisecond
	// copyShare is the part of the runs, as a divisor, that may be such runs. One always may.
	copyShare = 20
	// copyGain is the least ratio of the expected rest of a run to the expected time of a whole
	// new one for a second run to be worth its work.
	copyGain = 1.25
)

// copySlowRuns starts a second run of a task whose only run is on a notably slow VM, where the
// step allows copies, nobody waits for the room, and the second run is expected to end first.
func (c *Core) copySlowRuns(now time.Time) {
	if now.Sub(c.lastCopyAt) < copyInterval || !c.mayStart() {
		return
	}
	c.lastCopyAt = now
	for _, v := range c.slowVMs() {
		for _, r := range v.sortedRuns() {
			if c.allowsCopy(r) && c.copySlowRun(r, now) {
				return
			}
		}
	}
}

// mayCopy reports whether the share of runs that copies may be allows another one.
func (c *Core) mayCopy() bool {
	runs, copies := 0, 0
	for _, v := range c.vms {
		runs += len(v.runs)
		for _, r := range v.runs {
			if r.copyOfSlow {
				copies++
			}
		}
	}
	return copies < max(runs/copyShare, 1)
}

// allowsCopy reports whether a run may get a copy because its VM is slow.
func (c *Core) allowsCopy(r *run) bool {
	t := r.task
	step := t.stage.step
	return step.Speculative && c.averages[t.stage.trackedJob.Queue].known() && !step.Service && !step.Gang && !step.Filler && r.state == runRunning && !t.done && len(t.runs) == 1 &&
		!t.underVerdict && !c.isSuspect(t) && c.poolOf(t.stage.trackedJob).waitingTasks() == 0
}

// copySlowRun starts a copy of a run if the copy is expected to end first, and reports whether
// it did.
func (c *Core) copySlowRun(r *run, now time.Time) bool {
	t := r.task
	queue, rest := t.stage.trackedJob.Queue, c.leastRest(r, now)
	wins := func(whole time.Duration) bool { return float64(rest) >= copyGain*float64(whole) }
	if !wins(c.meanTaskTime(queue)) || !c.mayCopy() {
		return false
	}
	v := c.vmForCopy(t, now)
	if v == nil || !wins(c.ExpectedTime(queue, v.ID)) {
		return false
	}
	c.startRun(t, v, t.runNumber+1, now)
	t.runs[len(t.runs)-1].copyOfSlow = true
	c.stats.Copies++
	c.config.Log.Info("run on a slow VM copied", "run", r.id, "vm", r.vm.ID, "to", v.ID, "rest", rest.Milliseconds(), "whole", c.ExpectedTime(queue, v.ID).Milliseconds())
	return true
}

// leastRest returns how much longer a run is expected to take at the least: by the speed of its VM, or by
// its reported progress if that is less.
func (c *Core) leastRest(r *run, now time.Time) time.Duration {
	elapsed := now.Sub(r.startSentAt)
	rest := c.ExpectedTime(r.task.stage.trackedJob.Queue, r.vm.ID) - elapsed
	if r.percent > 0 {
		rest = min(rest, elapsed*time.Duration(100-r.percent)/time.Duration(r.percent))
	}
	return max(rest, 0)
}
