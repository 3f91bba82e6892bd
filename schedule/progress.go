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
	s := t.stage
	p := c.poolOf(s.trackedJob)
	vms := c.permittedVMs(s, c.usableVMs(p, now), now)
	if !c.withinCap(s, 1) || !c.mayStartIn(s.trackedJob.queue, p) {
		return
	}
	if v, _ := c.chooseVM(t, vms, now); v != nil && v != t.runs[0].vm {
		c.startRun(t, v, t.runNumber+1, now)
	}
}
