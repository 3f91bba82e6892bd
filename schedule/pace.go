package schedule

import (
	"slices"
	"time"
)

// The pacing of fillers beside service tasks. It answers fillers that slow down
// the responses of the service tasks on their VM: fast down, slowly up.
const (
	// paceDownAt and paceUpAt are the shares of a target at which fillers are
	// slowed down and let go on.
	paceDownAt = 0.8
	paceUpAt   = 0.55
	// paceStep is how much faster, in percent, fillers may become at once.
	paceStep = 10
	// adoptedPace is the pace of fillers that an owner before has started.
	adoptedPace = 50
	// paceEvery is the time between two changes: reports lag by half a second.
	paceEvery = 700 * time.Millisecond
)

// paceVM sets the pace of the fillers on a VM by the worst of its service tasks.
func (c *Core) paceVM(v *vm, now time.Time) {
	if v.silent || !v.attached || now.Sub(v.paced) < paceEvery {
		return
	}
	fillers, worst := v.strain()
	if len(fillers) == 0 {
		return
	}
	next := func(pace int) int { return pace }
	switch {
	case worst >= paceDownAt:
		next = func(pace int) int { return pace / 2 }
	case worst < paceUpAt:
		next = func(pace int) int { return min(pace+paceStep, fullPace) }
	}
	for _, r := range fillers {
		if pace := next(r.pace); pace != r.pace {
			v.paced = now
			r.pace = pace
			c.actions = append(c.actions, Pace{VM: v.ID, Run: r.id, Percent: pace, Fence: v.fence(c.epoch)})
			c.config.Log.Info("filler paced", "run", r.id, "vm", v.ID, "percent", pace, "strain", worst)
		}
	}
}

// strain returns the fillers on the VM, and the greatest share of its target
// that a service task's response times take.
func (v *vm) strain() ([]*run, float64) {
	var fillers []*run
	worst := 0.0
	for _, r := range v.runs {
		step := r.task.stage.step
		switch {
		case r.state != running:
		case step.Filler:
			fillers = append(fillers, r)
		case step.Target > 0:
			tail := time.Duration(r.load) * time.Millisecond
			worst = max(worst, tail.Seconds()/step.Target.Seconds())
		}
	}
	slices.SortFunc(fillers, func(a, b *run) int { return compareRuns(a.id, b.id) })
	return fillers, worst
}

// Paced takes the result of an order to pace. One that was not carried out is
// given again with the next change.
func (c *Core) Paced(p Pace, result Result, _ time.Time) {
	if result == Accepted {
		return
	}
	c.config.Log.Info("pace not accepted", "run", p.Run, "vm", p.VM, "result", result)
	if v := c.vms[p.VM]; v != nil {
		if r := v.runs[p.Run]; r != nil && r.pace == p.Percent {
			r.pace = min(2*p.Percent+1, fullPace)
		}
	}
}
