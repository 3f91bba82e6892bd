package schedule

import (
	"slices"
	"time"
)

// The parameters for pacing fillers, which slow down the service tasks on the same VM.
// The pace is halved when response times come near their target, and raised in small
// steps when they are well below it.
const (
	// Fillers are slowed down if the ratio of response time to target is at least
	// paceDownAt, and sped up if it is below paceUpAt.
	paceDownAt = 0.8
	paceUpAt   = 0.55
	// paceStepPercent is the step, in percent of full speed, by which fillers are sped
	// up.
	paceStepPercent = 10
	// adoptedPacePercent is the pace, in percent of full speed, of fillers that a
	// previous owner started.
	adoptedPacePercent = 50
	// paceInterval is the least time between two changes of pace on a VM. Reports lag
	// by half a second, so the effect of a change can't be seen any sooner.
	paceInterval = 700 * time.Millisecond
)

// paceFillers sets the pace of the fillers on a VM by the service task whose response
// times are worst against their target.
func (c *Core) paceFillers(v *vm, now time.Time) {
	if v.silent || !v.attached || now.Sub(v.pacedAt) < paceInterval {
		return
	}
	fillers, latencyRatio := v.fillersAndLatency()
	if len(fillers) == 0 {
		return
	}
	next := func(pace int) int { return pace }
	switch {
	case latencyRatio >= paceDownAt:
		next = func(pace int) int { return pace / 2 }
	case latencyRatio < paceUpAt:
		next = func(pace int) int { return min(pace+paceStepPercent, fullPacePercent) }
	}
	for _, r := range fillers {
		if pace := next(r.pace); pace != r.pace {
			v.pacedAt = now
			r.pace = pace
			c.actions = append(c.actions, Pace{VM: v.ID, Run: r.id, Percent: pace, Fence: v.fence(c.epoch)})
			c.config.Log.Info("pace of filler changed", "run", r.id, "vm", v.ID, "percent", pace, "strain", latencyRatio)
		}
	}
}

// fillersAndLatency returns the fillers on the VM, and the greatest ratio of response
// time to target among its service tasks.
func (v *vm) fillersAndLatency() ([]*run, float64) {
	var fillers []*run
	worst := 0.0
	for _, r := range v.runs {
		step := r.task.stage.step
		switch {
		case r.state != runRunning:
		case step.Filler:
			fillers = append(fillers, r)
		case step.LatencyTarget > 0:
			tail := time.Duration(r.load) * time.Millisecond
			worst = max(worst, tail.Seconds()/step.LatencyTarget.Seconds())
		}
	}
	slices.SortFunc(fillers, func(a, b *run) int { return compareRuns(a.id, b.id) })
	return fillers, worst
}

// Paced handles the result of a [Pace] order. If the order was not carried out, Paced sets
// the pace in the core to about twice the ordered one, which undoes a halving. A new order
// then follows with the next change of pace.
func (c *Core) Paced(p Pace, result Result, _ time.Time) {
	if result == Accepted {
		return
	}
	c.config.Log.Info("pace order not accepted", "run", p.Run, "vm", p.VM, "result", result)
	if v := c.vms[p.VM]; v != nil {
		if r := v.runs[p.Run]; r != nil && r.pace == p.Percent {
			r.pace = min(2*p.Percent+1, fullPacePercent)
		}
	}
}
