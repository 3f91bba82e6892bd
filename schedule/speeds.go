package schedule

import (
	"cmp"
	"hash/maphash"
	"math"
	"slices"
	"time"

	"almondcove/speed"
)

const (
	// speedRetention is how long the end of a run counts for the speed of its VM. A VM that gets
	// few tasks because it was slow is tried again after that.
	speedRetention = 30 * time.Second
	// speedRefreshInterval is the least time between two searches for speeds that are too old.
	speedRefreshInterval = time.Second
	// maxEndDelay is how late an end may be reported for its run to count.
	maxEndDelay = 1500 * time.Millisecond
	// costHalfSpeed is the cost of a VM of half the usual speed, twice that of one of a quarter,
	// and so on. Faster VMs cost less.
	costHalfSpeed = 1.0
)

// groupSeed is the seed for the hashes of stages that tell the groups of ends apart.
var groupSeed = maphash.MakeSeed()

// observeSpeed adds a run that is done to what is known of the speed of its VM. If the run is
// a copy, the run that it has overtaken took at least as long as it has run so far.
func (c *Core) observeSpeed(r *run, now time.Time) {
	if r.copyOfSlow {
		c.stats.CopiesWon++
		for _, overtaken := range r.task.runs {
			c.addSpeed(overtaken, now)
		}
	}
	if r.vm.answerGap <= maxEndDelay {
		c.addSpeed(r, now)
	}
}

// addSpeed adds the time that a run has taken until now, if it tells something about its VM.
func (c *Core) addSpeed(r *run, now time.Time) {
	s := r.task.stage
	switch {
	case s.step.Service || s.step.Filler || s.step.Gang:
		return
	case r.id.Number%runNumbersPerEpoch != 1 || r.acceptedAt.IsZero():
		// The run may have continued from a checkpoint, or its start is not known.
		return
	case s.step.PreferredRack != "" && !slices.Contains(r.vm.Labels, s.step.PreferredRack):
		// Tasks take longer far from their data.
		return
	}
	c.speeds.Observe(speed.End{
		Queue: s.trackedJob.Queue, VM: r.vm.ID, Group: maphash.Comparable(groupSeed, s.id),
		Share: 1 / float64(len(s.tasks)), Took: now.Sub(r.acceptedAt),
	}, now)
	c.updateSpeed(r.vm)
}

// updateSpeed takes over the speed of a VM.
func (c *Core) updateSpeed(v *vm) {
	relative, notable := c.speeds.Speed(v.ID)
	slowdown := 0.0
	if notable && !c.config.IgnoreSpeeds {
		slowdown = -math.Log2(relative)
	}
	if (slowdown != 0) != (v.slowdown != 0) {
		c.config.Log.Info("notable speed of a VM changed", "vm", v.ID, "pool", v.Pool, "notable", notable, "percent", int(100*relative), "runs", len(v.runs))
	}
	v.slowdown = slowdown
}

// refreshSpeeds drops what is too old to tell the speed of a VM.
func (c *Core) refreshSpeeds(now time.Time) {
	if now.Sub(c.speedsRefreshedAt) < speedRefreshInterval {
		return
	}
	c.speedsRefreshedAt = now
	c.speeds.Refresh(now)
	for _, v := range c.vms {
		c.updateSpeed(v)
	}
}

// slowVMs returns the notably slow VMs that answer, in the order of their ids.
func (c *Core) slowVMs() []*vm {
	var out []*vm
	for _, v := range c.vms {
		if v.slowdown > 0 && v.attached && !v.silent && v.trial == nil {
			out = append(out, v)
		}
	}
	slices.SortFunc(out, func(a, b *vm) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

// speedCost returns the part of the cost of a placement that follows from the VM's speed. Service
// tasks take no time that a speed could change.
func (v *vm) speedCost(s *stage) float64 {
	if v.slowdown == 0 || s.step.Service {
		return 0
	}
	return costHalfSpeed * v.slowdown
}

// ExpectedTime returns the time that a task of a queue is expected to take on a VM: the mean of
// the queue, unless the speed of the VM is notable.
func (c *Core) ExpectedTime(queue, vm string) time.Duration {
	mean := c.meanTaskTime(queue)
	if v := c.vms[vm]; v != nil && v.slowdown != 0 {
		return time.Duration(float64(mean) * math.Exp2(v.slowdown))
	}
	return mean
}
