package schedule

import (
	"time"
)

// The judging of runs by their progress. It answers VMs on which tasks stand
// still while they answer.
const (
	// stallAfter is how long a run may make no progress at all.
	stallAfter = 900 * time.Millisecond
	// slowFor is how long a VM on which a run stood still gets no new task.
	slowFor = 2 * time.Second
	// mostAgain bounds how often a task is started elsewhere for slowness.
	mostAgain = 2
)

// advanced notes the progress of a run.
func (r *run) advanced(percent int, now time.Time) {
	if percent != r.percent || r.moved.IsZero() {
		r.moved = now
	}
	r.percent = percent
}

// stuck reports whether a run makes no progress.
func (c *Core) stuck(r *run, now time.Time) bool {
	step := r.task.stage.step
	if r.state != running || step.Service || step.Gang || step.Filler || r.moved.IsZero() || r.pace < fullPace {
		return false
	}
	return now.Sub(r.moved) > stallAfter
}

// hasten starts the tasks elsewhere that are stuck on a VM.
func (c *Core) hasten(v *vm, now time.Time) {
	if v.silent || !v.attached || now.Sub(v.heard) > stallAfter {
		return
	}
	for _, r := range v.list() {
		t := r.task
		if len(t.runs) != 1 || t.again >= mostAgain || !c.stuck(r, now) {
			continue
		}
		t.again++
		t.failedOn = append(t.failedOn, v.ID)
		v.health.until = now.Add(slowFor)
		c.config.Log.Info("run stuck", "run", r.id, "vm", v.ID, "percent", r.percent,
			"after", now.Sub(r.sent).Milliseconds(), "still", now.Sub(r.moved).Milliseconds(), "copies", t.stage.step.Copies)
		if !t.stage.step.Copies {
			c.stop(r, now)
			continue
		}
		c.copyTask(t, now)
	}
}

// copyTask starts one more run of a task of which copies are allowed.
func (c *Core) copyTask(t *task, now time.Time) {
	g := t.stage
	vms := c.usable(c.poolOf(g.work), now)
	if !c.withinCap(g, 1) {
		return
	}
	if v := c.choose(t, vms); v != nil && v != t.runs[0].vm {
		c.start(t, v, t.number+1, now)
	}
}
