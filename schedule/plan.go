package schedule

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"almondcove/job"
)

// fullPacePercent is the pace of a task that is not slowed down.
const fullPacePercent = 100

// machinePlanIntervalPerVM, times the number of VMs, is the least time between two
// rounds of planning waves and moves. The cost of a round grows with the number of VMs.
const machinePlanIntervalPerVM = 100 * time.Microsecond

// tickInterval is the least time between two ticks.
const tickInterval = 20 * time.Millisecond

// Plan handles everything that has changed or is due, and returns the actions to
// carry out. It returns nothing between [Core.BeginHandover] and [Core.SetEpoch].
func (c *Core) Plan(now time.Time) []Action {
	if c.handingOver {
		return nil
	}
	c.restoreRuns(now)
	if now.Sub(c.lastTick) >= tickInterval {
		c.lastTick = now
		c.tick(now)
	}
	if now.Sub(c.lastMachinePlan) >= machinePlanIntervalPerVM*time.Duration(len(c.vms)) {
		c.lastMachinePlan = now
		if c.mayOrderMachines(now) {
			c.planWaves(now)
			c.planMoves(now)
		}
	}
	gatedPools := c.gatedPools(now)
	c.reviewSettings(now)
	if c.maxStartsInFlight > 0 {
		c.forgetLateStarts(now)
	}
	pools := c.sortedPools()
	for i := range pools {
		c.planPool(pools[(i+c.firstPool)%len(pools)], gatedPools, now)
	}
	// Each pool gets its turn when few starts may be in flight.
	c.firstPool++
	out := c.actions
	c.actions = nil
	return out
}

// sortedPools returns the pools by name.
func (c *Core) sortedPools() []*pool {
	return sortedValues(c.pools, func(a, b *pool) int { return cmp.Compare(a.name, b.name) })
}

// sortedValues returns the values of a map in the order of compare, so that the
// result does not depend on the map's iteration order.
func sortedValues[K comparable, V any](m map[K]V, compare func(a, b V) int) []V {
	out := slices.AppendSeq(make([]V, 0, len(m)), maps.Values(m))
	slices.SortFunc(out, compare)
	return out
}

// tick handles what is due by time alone: the expiry of leases, repeated stop orders, the
// removal of unlisted VMs, and the occurrences of timed jobs. It also finds out whether
// [Core.NeedsMachineList] has to report the need of a VM.
func (c *Core) tick(now time.Time) {
	for _, v := range c.vms {
		c.tickVM(v, now)
	}
	c.machineOfVMNeeded = c.needsMachineOfVM()
	c.boundGatedUse(now)
	c.settleCrashes(now)
	c.refreshSpeeds(now)
	c.copySlowRuns(now)
	c.endDeferrals(now)
	for id, tj := range c.active {
		switch {
		case tj.state.Phase().Final():
			delete(c.active, id)
		case tj.ScheduledOccurrences > 0:
			c.openDueStages(tj, now)
		}
	}
}

// tickVM handles what is due on one VM. It also stops the service tasks of a draining VM,
// and removes an unlisted VM once nothing can run on it.
func (c *Core) tickVM(v *vm, now time.Time) {
	if v.silent {
		c.expireRuns(v, now)
	}
	c.tickTrial(v, now)
	for _, r := range v.runs {
		if r.state == runStopping {
			c.stopRun(r, r.stopReason, now)
		}
		if r.task.stage.step.Service && r.state == runRunning && c.stopAllowed(r, stopDraining, now) {
			c.stopRun(r, stopDraining, now)
		}
	}
	if !v.listed && len(v.runs) == 0 && now.Sub(v.unlistedAt) > unlistedGracePeriod && now.After(v.leaseEnd) && c.gates[v.ID] == nil {
		c.removeVM(v)
		c.config.Log.Info("unlisted VM removed", "vm", v.ID)
	}
}

// LimitStarts sets how many start orders may be without an answer at a time; zero means no
// limit. An order that has had no answer for timeout no longer counts if one that was given no
// earlier has: a few VMs that don't answer must not keep all others waiting.
func (c *Core) LimitStarts(inFlight int, timeout time.Duration) {
	c.maxStartsInFlight, c.startTimeout = inFlight, timeout
}

// forgetLateStarts drops the start orders that no longer count as in flight.
func (c *Core) forgetLateStarts(now time.Time) {
	maps.DeleteFunc(c.startsInFlight, func(_ Run, sentAt time.Time) bool {
		return now.Sub(sentAt) > c.startTimeout && !c.lastAnsweredStart.Before(sentAt)
	})
}

// mayStart reports whether another start order may be given.
func (c *Core) mayStart() bool {
	return c.maxStartsInFlight == 0 || len(c.startsInFlight) < c.maxStartsInFlight
}

// StartsLimited reports whether no other start order may be given until one is answered.
func (c *Core) StartsLimited() bool { return !c.mayStart() }

// planPool starts waiting tasks of one pool, the most important first. gatedPools are those
// whose tasks may run on VMs that have not answered yet.
func (c *Core) planPool(p *pool, gatedPools poolSet, now time.Time) {
	if p.name == unknownPool {
		return
	}
	stages := c.rankedBacklog(p, now)
	if len(stages) == 0 {
		return
	}
	usable := c.usableVMs(p, now)
	room := largestRoom(usable)
	var notFitting []job.Resources
	for _, s := range stages {
		if !c.mayStart() {
			return
		}
		if c.gated(s, gatedPools) || !c.mayStartIn(s.trackedJob.queue, p) {
			continue
		}
		// A VM may be kept free for a suspect although other tasks fit nowhere, and advice is
		// requested for the time when a VM has room.
		arranges := s.trackedJob.state.HasCrashes() || c.advised(s)
		if !arranges && tooLarge(s.need(), notFitting) {
			continue
		}
		if !arranges && !s.step.Gang && !s.need().Within(room) && c.withinCap(s, 1) {
			if s.blockedSince.IsZero() && s.hasStartableTask(now) {
				s.block(now)
			}
			continue
		}
		switch c.planStage(s, usable, now).(type) {
		case noRoom:
			notFitting = append(notFitting, s.need())
			room = largestRoom(usable)
		case placed, unplaced, postponed:
		}
	}
}

// placement is the result of an attempt to start the waiting tasks of a stage.
type placement interface{ isPlacement() }

// placed means that all tasks were started that may start now.
type placed struct{}

// noRoom means that no usable VM has room for a task, so that no VM has room for another
// task that needs at least as much either.
type noRoom struct{}

// unplaced means that a task fits on none of the VMs on which it may run. A task that needs as
// much may still fit elsewhere.
type unplaced struct{}

// postponed means that a task waits for something other than a VM.
type postponed struct{}

func (placed) isPlacement()    {}
func (noRoom) isPlacement()    {}
func (unplaced) isPlacement()  {}
func (postponed) isPlacement() {}

// hasStartableTask reports whether a task of the stage waits for nothing but a VM.
func (s *stage) hasStartableTask(now time.Time) bool {
	return slices.ContainsFunc(s.tasks, func(t *task) bool {
		return !t.done && len(t.runs) == 0 && !now.Before(t.notBefore) && !t.underVerdict
	})
}

// largestRoom returns, for each resource, the most that is free on one of the VMs. A task
// that needs more of one of them fits on none.
func largestRoom(vms []*vm) job.Resources {
	var out job.Resources
	for _, v := range vms {
		free := v.Capacity.Minus(v.used)
		out.CPU, out.Memory, out.GPU = max(out.CPU, free.CPU), max(out.Memory, free.Memory), max(out.GPU, free.GPU)
	}
	return out
}

// block notes that a task of the stage fits on no VM.
func (s *stage) block(now time.Time) {
	if s.blockedSince.IsZero() {
		s.blockedSince = now
	}
}

// tooLarge reports whether need is at least as large as one of the needs that have
// already fitted on no VM.
func tooLarge(need job.Resources, notFitting []job.Resources) bool {
	return slices.ContainsFunc(notFitting, func(smaller job.Resources) bool { return smaller.Within(need) })
}

// need returns what a task of the stage needs on a VM. A filler uses only processor
// time that others leave, so it needs no CPU capacity.
func (s *stage) need() job.Resources {
	need := s.step.Need
	if s.step.Filler {
		need.CPU = 0
	}
	return need
}

// usableVMs returns the VMs of a pool on which tasks may start. The result is valid
// until the next call for the same pool.
func (c *Core) usableVMs(p *pool, now time.Time) []*vm {
	p.usableBuf = p.usableBuf[:0]
	for _, v := range p.sortedVMs() {
		if c.acceptsTasks(v, now) {
			p.usableBuf = append(p.usableBuf, v)
		}
	}
	return p.usableBuf
}

// sortedVMs returns the pool's VMs in the order of their ids.
func (p *pool) sortedVMs() []*vm {
	if p.sortedCache == nil {
		p.sortedCache = sortedValues(p.vms, func(a, b *vm) int { return cmp.Compare(a.ID, b.ID) })
	}
	return p.sortedCache
}

func (p *pool) add(v *vm) {
	p.vms[v.ID] = v
	p.sortedCache = nil
}

func (p *pool) remove(v *vm) {
	delete(p.vms, v.ID)
	p.sortedCache = nil
}

// acceptsTasks reports whether tasks may start on a VM now. The listed entry of an earlier
// process does not tell the capacity of the present one.
func (c *Core) acceptsTasks(v *vm, now time.Time) bool {
	return c.reasonAgainst(v, now) == noReason
}

// planStage starts the waiting tasks of a stage. It requests advice for a stage that lacks it.
func (c *Core) planStage(s *stage, usable []*vm, now time.Time) placement {
	permitted := c.permittedVMs(s, usable, now)
	result := c.placeStage(s, permitted, now)
	if c.advised(s) {
		result = c.considerAdvice(s, result, usable, now)
	}
	switch result.(type) {
	case noRoom:
		s.block(now)
	case unplaced:
		if !s.step.Gang && len(c.allowedVMs(s, usable)) > 0 {
			s.block(now)
		} else {
			s.blockedSince = time.Time{}
		}
	case placed, postponed:
		s.blockedSince = time.Time{}
	}
	return result
}

// placeStage starts the waiting tasks of a stage on the given VMs.
func (c *Core) placeStage(s *stage, vms []*vm, now time.Time) placement {
	if s.step.Gang {
		return c.planGang(s, vms, now)
	}
	started := 0
	// noTrial is set, by whether the trial is long, once no VM was found for a suspect. None is
	// found for the others of the stage either.
	noTrial := make(map[bool]bool)
	defer func() {
		if started > 0 {
			c.config.Log.Info("tasks placed", "job", s.id.Job, "occurrence", s.id.Occurrence, "step", s.id.Step,
				"count", started, "left", s.waitingTasks, "rank", s.rank, "age", now.Sub(s.due).Milliseconds(),
				"vms", len(vms), "version", c.view.Version)
		}
	}()
	near := c.nearSearch(s, vms, now)
	for _, t := range s.tasks {
		if t.done || len(t.runs) > 0 || now.Before(t.notBefore) || t.underVerdict || t.suspended() {
			continue
		}
		if !c.withinCap(s, 1) || !c.mayStart() {
			return postponed{}
		}
		if c.isSuspect(t) {
			long := t.needsLongTrial()
			if noTrial[long] {
				continue
			}
			v := c.trialVM(t, vms, now)
			if v == nil {
				noTrial[long] = true
				continue
			}
			c.startRun(t, v, t.runNumber+1, now)
			c.beginTrial(t, v, now)
			started++
			continue
		}
		v, room := c.chooseVM(t, vms, now)
		switch {
		case v == nil && room:
			return unplaced{}
		case v == nil:
			return noRoom{}
		case near.waits(t, v):
			continue
		}
		c.startRun(t, v, t.runNumber+1, now)
		c.noteStart(t, v.away(s.step), now)
		started++
	}
	return near.result()
}

// startRun creates a run of a task and orders the VM to start it.
func (c *Core) startRun(t *task, v *vm, number int, now time.Time) {
	r := c.newRun(t, v, number, now)
	tj := t.stage.trackedJob
	if !tj.state.Started() {
		tj.state.MarkStarted()
	}
	c.stats.Starts++
	c.startsInFlight[r.id] = now
	c.actions = append(c.actions, Start{
		VM: v.ID, Run: r.id, Spec: tj.Spec, Checkpoint: t.checkpoint, Fence: r.fence,
		Until: v.minClock(now) + startWindow, Ticket: t.stage.advice.answers[v.ID].ticket,
	})
	v.extendLease(now, startWindow)
}
