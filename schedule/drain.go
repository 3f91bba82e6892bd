package schedule

import (
	"time"

	"almondcove/suspend"
)

const (
	// drainForMoveTimeout is how long a VM may take to finish its tasks before the move of
	// its machine is abandoned. A VM that is expected to take longer is not drained.
	drainForMoveTimeout = 2500 * time.Millisecond
	// drainPause is how long a VM whose drain was abandoned is not drained again.
	drainPause = 3 * time.Second
	// drainShortfall is the least shortfall of processors, in thousandths of a core, for
	// which VMs of other pools are drained.
	drainShortfall = 4000
	// suspensionsPerSecond bounds how many runs are suspended in a second, so that the stop
	// orders leave room for start orders.
	suspensionsPerSecond = 200
	// minProgress is the progress in percent from which on it tells how long a run takes.
	minProgress = 10
)

// suspendPolicy returns what a suspension of a run costs.
func (c Config) suspendPolicy() suspend.Policy {
	return suspend.Policy{StopTime: c.MaxStopTime, RestoreTime: c.RestoreTime}
}

// expectedRest returns how long a run is expected to go on: by its progress, or by the mean time
// of its queue's tasks.
func (c *Core) expectedRest(r *run, now time.Time) time.Duration {
	age := now.Sub(r.startSentAt)
	if r.percent >= minProgress && r.task.checkpoint == "" && r.progressedAt.After(r.startSentAt) {
		total := r.progressedAt.Sub(r.startSentAt) * 100 / time.Duration(r.percent)
		return max(total-age, 0)
	}
	mean := c.ExpectedTime(r.task.stage.trackedJob.Queue, r.vm.ID)
	return max(mean-age, mean/4)
}

// suspendable reports whether a run may be suspended for tasks of the most urgent queues.
func (r *run) suspendable() bool {
	s := r.task.stage
	return r.state == runRunning && s.rank > rankUrgent && s.step.WritesCheckpoints && !s.step.Service && !s.step.Gang &&
		!s.step.Filler && !s.trackedJob.queue.urgent() && r.vm.trial == nil
}

// estimateDrains estimates how long the VMs that may be drained take to fall empty.
func (c *Core) estimateDrains(loads []*poolLoad, now time.Time) {
	for _, l := range loads {
		for _, v := range l.drainable {
			c.estimateDrain(v, now)
		}
	}
}

// estimateDrain estimates how long the VM takes to fall empty.
func (c *Core) estimateDrain(v *vm, now time.Time) {
	runs := make([]suspend.Run, 0, len(v.runs))
	for _, r := range v.runs {
		runs = append(runs, suspend.Run{Rest: c.expectedRest(r, now), Suspendable: r.suspendable()})
	}
	v.emptyTime, v.emptyTimeSuspending = c.config.suspendPolicy().TimeToEmpty(runs)
}

// drainTimeFor returns how long the VM takes to fall empty for tasks of a pool.
func (v *vm) drainTimeFor(to *poolLoad) time.Duration {
	if to.urgent {
		return v.emptyTimeSuspending
	}
	return v.emptyTime
}

// mayDrain reports whether the VM can be expected to fall empty in time for a move to a pool.
func (v *vm) mayDrain(to *poolLoad, now time.Time) bool {
	return v.drainTimeFor(to) <= drainForMoveTimeout && now.Sub(v.drainAbandonedAt) > drainPause
}

// drainDonor starts to drain the VM that falls empty first, of those that other pools can spare,
// so that its machine moves to the pool. It reports whether there was one.
func (c *Core) drainDonor(to *poolLoad, loads []*poolLoad, now time.Time) bool {
	var best *vm
	var machine Machine
	var from *poolLoad
	for _, l := range loads {
		if l == to || l.lacksRoom() {
			continue
		}
		for _, v := range l.drainable {
			if best != nil && v.drainTimeFor(to) >= best.drainTimeFor(to) || !v.mayDrain(to, now) || !l.canSpare(v, to) {
				continue
			}
			if m, ok := c.movableMachine(v.ID); ok {
				best, machine, from = v, m, l
			}
		}
	}
	if best == nil {
		return false
	}
	from.removeDrainable(best)
	to.addIncoming(best.Capacity)
	c.beginMove(machine, to.pool.name, best.Capacity, now)
	c.config.Log.Info("draining VM for a machine move", "machine", machine.Name, "from", from.pool.name, "to", to.pool.name,
		"vm", best.ID, "runs", len(best.runs), "rest", best.drainTimeFor(to).Milliseconds(), "urgent", to.urgent)
	if to.urgent && c.config.RestoreTime > 0 {
		c.suspendRuns(best, to.pool.name, now)
	}
	return true
}

// suspendRuns orders the runs on a VM that is drained for urgent tasks of a pool to stop, if they
// lose less by it than they would keep these waiting.
func (c *Core) suspendRuns(v *vm, pool string, now time.Time) {
	c.suspensions.PerSecond = suspensionsPerSecond
	for _, r := range v.sortedRuns() {
		rest := c.expectedRest(r, now)
		if rest <= v.emptyTimeSuspending {
			// Another run keeps the VM for longer.
			continue
		}
		if !c.config.suspendPolicy().Pays(suspend.Run{Rest: rest, Suspendable: r.suspendable()}) || !c.suspensions.Take(now) {
			continue
		}
		c.stats.Suspensions++
		c.config.Log.Info("run suspended for urgent tasks", "run", r.id, "vm", v.ID, "pool", pool, "rest", rest.Milliseconds())
		c.stopRun(r, stopSuspended, now)
	}
}
