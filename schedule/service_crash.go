package schedule

import "time"

// delayServiceTask makes a service task wait after a crash in its trial, for longer after
// each crash. After [maxCrashes] it is suspended: it does not start again, and the rest of its
// service goes on without it.
func (c *Core) delayServiceTask(t *task, crash *vmCrash, now time.Time) {
	if t != crash.onTrial && !t.suspended() {
		return
	}
	known := t.crashes()
	pause := serviceCrashBackoff << max(known.Count-longTrialCrashes, 0)
	t.notBefore = now.Add(pause)
	if t.suspended() {
		c.stats.Suspended++
		c.explainCrashes(t)
	}
	c.config.Log.Warn("service task waits because its VMs crash", "run", Run{t.id, t.runNumber}, "vm", crash.vm,
		"crashes", known.Count, "total", known.Total, "trial", t == crash.onTrial, "pause", pause.Milliseconds(), "suspended", t.suspended())
}

// suspended reports whether a service task is not started any more because VMs crash under
// it.
func (t *task) suspended() bool {
	return t.stage.step.Service && t.crashes().Count >= maxCrashes
}

// excuseServices takes a crash back that was counted under service tasks if the VM was lost
// with many others or with its data centre, once the other VMs had time to miss their holds.
func (c *Core) excuseServices(crash *vmCrash, now time.Time) {
	if crash.servicesSettled || now.Sub(crash.foundAt) < serviceVerdictDelay {
		return
	}
	crash.servicesSettled = true
	if c.unpromptedCrashes(crash) < massCrash && !c.centreLost(crash) {
		return
	}
	for _, t := range crash.tasks {
		if t.stage.step.Service && !t.stage.trackedJob.state.Phase().Final() {
			c.uncount(t, true)
			t.notBefore = time.Time{}
		}
	}
}

// centreLost reports whether at least half of the VMs in the data centre of a crashed VM
// were lost at about the same time.
func (c *Core) centreLost(crash *vmCrash) bool {
	lost, all := 0, 0
	for _, v := range c.vms {
		if v.Centre != crash.centre || v.ID == crash.vm {
			continue
		}
		all++
		if c.lostNear(v, crash.at) {
			lost++
		}
	}
	return lost >= massCrash && 2*lost >= all
}

// lostNear reports whether a VM has crashed or stopped to answer at about the given time.
func (c *Core) lostNear(v *vm, at time.Time) bool {
	near := func(t time.Time) bool { return t.Sub(at).Abs() <= serviceVerdictDelay }
	crash := c.lastCrash[v.ID]
	return v.missedHolds > 0 && near(v.firstMissedAt) || crash != nil && near(crash.at) || len(v.pastProcessStarts) > 0 && near(v.processStart)
}
