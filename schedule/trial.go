package schedule

import (
	"slices"
	"time"

	"almondcove/job"
)

// trial is the run of a suspect on a VM that gets no other task meanwhile. If there are more
// suspects than VMs, several have a short trial together.
type trial struct {
	// tasks lists the suspects, with the first member for a gang.
	tasks []*task
	// reservedAt is when the VM was chosen, and startedAt when the task was started there;
	// zero means that the VM still runs other tasks.
	reservedAt, startedAt time.Time
	// long is set for a task that has run through several crashes: no other suspect may join
	// it.
	long bool
	// until is when the trial is passed; zero means that it lasts as long as the run.
	until time.Time
	// reportRequested is set once a report was requested at the end of the trial.
	reportRequested bool
}

// trialVM returns the VM on which a suspect may start now; nil means none. It then reserves
// a VM if that will be fit for the trial once the tasks there have ended.
func (c *Core) trialVM(t *task, vms []*vm, now time.Time) *vm {
	if !t.stage.trackedJob.crashesRecorded() {
		return nil
	}
	long := t.needsLongTrial()
	if long && t.trialAwaitedSince.IsZero() {
		t.trialAwaitedSince = now
	}
	// A suspect that has waited for long also takes a VM with other runs, or one that may
	// crash by itself, where a crash tells less.
	alone := long && now.Sub(t.trialAwaitedSince) < trialPatience
	var best, reserved, candidate, joint *vm
	for _, v := range vms {
		switch {
		case v.trial == nil:
			if long && now.Sub(v.trialEndedAt) < trialPause {
				continue
			}
		case v.trial.reservedFor(t):
			reserved = v
		default:
			if v.fits(t.stage) && v.trial.joinable() && (joint == nil || len(v.trial.tasks) < len(joint.trial.tasks)) {
				joint = v
			}
			continue
		}
		if v.fits(t.stage) && (!alone || v.batchRuns() == 0) && c.betterForTrial(v, best, now) {
			best = v
		}
		if c.couldFit(t.stage, v) && c.betterForTrial(v, candidate, now) {
			candidate = v
		}
	}
	avoided := alone && best != nil && c.crashedLately(best, now) && !c.crashedLately(candidate, now)
	if best != nil && !avoided {
		if reserved != nil {
			reserved.trial = nil
		}
		return best
	}
	if !long && joint != nil {
		return joint
	}
	switch {
	case alone && reserved == nil && candidate != nil:
		candidate.trial = &trial{tasks: []*task{t}, reservedAt: now}
	case !alone && reserved != nil:
		reserved.endTrial(now)
	}
	return nil
}

// closedForTrial reports whether no other tasks start on a VM because of a trial, or because
// it is reserved for one.
func (c *Core) closedForTrial(v *vm, now time.Time) bool {
	switch {
	case v.trial == nil:
		return false
	case !v.trial.long, !v.trial.until.IsZero(), now.Sub(v.trial.startedAt) < trialTurn:
		return true
	}
	return !c.pool(v.Pool).allOnTrial()
}

// allOnTrial reports whether every listed VM of the pool has a trial or is reserved for one.
func (p *pool) allOnTrial() bool {
	for _, v := range p.vms {
		if v.listed && v.trial == nil {
			return false
		}
	}
	return true
}

// reservedFor reports whether the VM is kept free for the trial of a task.
func (t *trial) reservedFor(suspect *task) bool { return t.startedAt.IsZero() && t.tasks[0] == suspect }

// joinable reports whether another suspect may have its short trial on the same VM.
func (t *trial) joinable() bool {
	return !t.startedAt.IsZero() && !t.long && !t.tasks[0].stage.step.Gang
}

// couldFit reports whether a VM has the capacity and the label for a task of a stage once
// its batch tasks have ended.
func (c *Core) couldFit(s *stage, v *vm) bool {
	used := job.Resources{}
	for _, r := range v.runs {
		if r.task.stage.step.Service {
			used = used.Plus(r.need)
		}
	}
	return used.Plus(s.need()).Within(v.Capacity) && (s.step.Label == "" || slices.Contains(v.Labels, s.step.Label)) &&
		(s.step.MaxPerVM == 0 || v.stageRuns(s.id) < s.step.MaxPerVM)
}

// betterForTrial reports whether a VM is better for a trial than the best one so far, which
// may be nil: one that has not crashed lately, whose machine is not due for maintenance, with
// no run that could be the cause of a crash, and with the least work to lose.
func (c *Core) betterForTrial(v, best *vm, now time.Time) bool {
	if best == nil {
		return true
	}
	if a, b := c.crashedLately(v, now), c.crashedLately(best, now); a != b {
		return !a
	}
	if v.maintenanceDue != best.maintenanceDue {
		return best.maintenanceDue
	}
	if a, b := v.youngRuns(now), best.youngRuns(now); a != b {
		return a < b
	}
	return v.used.CPU < best.used.CPU
}

// crashedLately reports whether a VM or its machine has crashed lately for a reason that is
// not known.
func (c *Core) crashedLately(v *vm, now time.Time) bool {
	return c.unexplainedCrash(v, now) != nil
}

// crashedWithout reports whether a VM or its machine has crashed lately for a reason that is
// not known, while it did not run a task.
func (c *Core) crashedWithout(v *vm, t *task, now time.Time) bool {
	crash := c.unexplainedCrash(v, now)
	return crash != nil && !slices.Contains(crash.tasks, t)
}

// unexplainedCrash returns the last crash of a VM or its machine, or nil if that is long
// ago or one of its tasks was given up.
func (c *Core) unexplainedCrash(v *vm, now time.Time) *vmCrash {
	for _, name := range []string{v.ID, v.lastMachine} {
		crash := c.lastCrash[name]
		if crash != nil && !crash.explained && now.Sub(crash.at) < crashMemory {
			return crash
		}
	}
	return nil
}

// youngRuns returns the number of runs that could be the cause of a crash now.
func (v *vm) youngRuns(now time.Time) int {
	n := 0
	for _, r := range v.runs {
		if !r.reported || now.Sub(r.startSentAt) < settledRunAge {
			n++
		}
	}
	return n
}

// batchRuns returns the number of runs that are not of service tasks.
func (v *vm) batchRuns() int {
	n := 0
	for _, r := range v.runs {
		if !r.task.stage.step.Service {
			n++
		}
	}
	return n
}

// gangVMs returns the VMs on which the tasks of a gang may start: all without a trial, or,
// if the gang is a suspect, those without other tasks if the gang fits on them. A gang that
// is no suspect may also start on VMs that a trial no longer closes.
func (c *Core) gangVMs(s *stage, vms []*vm, now time.Time) []*vm {
	open := slices.DeleteFunc(slices.Clone(vms), func(v *vm) bool { return v.trial != nil })
	if !c.isSuspect(s.tasks[0]) {
		notClosed := slices.DeleteFunc(slices.Clone(vms), func(v *vm) bool { return c.closedForTrial(v, now) })
		if len(notClosed) == len(open) || c.placeGang(s, open) != nil {
			return open
		}
		return notClosed
	}
	if !s.trackedJob.crashesRecorded() {
		return nil
	}
	idle := slices.DeleteFunc(slices.Clone(open), func(v *vm) bool { return len(v.runs) > 0 })
	sound := slices.DeleteFunc(slices.Clone(idle), func(v *vm) bool { return c.crashedLately(v, now) })
	for _, choice := range [][]*vm{sound, idle} {
		if c.placeGang(s, choice) != nil {
			return choice
		}
	}
	return open
}

// beginTrial begins the trial of a suspect that was started on a VM, or adds the suspect to
// the trial there.
func (c *Core) beginTrial(t *task, v *vm, now time.Time) {
	c.stats.Trials++
	t.trialAwaitedSince = time.Time{}
	long := t.needsLongTrial()
	if !long && v.trial != nil && v.trial.joinable() {
		v.trial.tasks = append(v.trial.tasks, t)
		v.trial.until, v.trial.reportRequested = now.Add(shortTrialTime), false
		return
	}
	v.trial = &trial{tasks: []*task{t.counted()}, startedAt: now, long: long}
	switch {
	case !long:
		v.trial.until = now.Add(shortTrialTime)
	case t.stage.step.Service:
		age := t.counted().crashAge
		if age == 0 {
			age = unknownCrashAge
		}
		factor := time.Duration(trialTimeFactor << t.longTrialsPassed)
		v.trial.until = now.Add(min(max(factor*age, shortTrialTime), maxServiceTrial))
	}
	c.config.Log.Info("suspect started on a VM that gets no other task meanwhile", "run", Run{t.id, t.runNumber}, "vm", v.ID,
		"crashes", t.crashes().Count, "long", long)
}

// resumeTrial goes on with the trial of a suspect that a previous owner has started.
func (c *Core) resumeTrial(r *run, now time.Time) {
	if c.isSuspect(r.task) && (r.vm.trial == nil || r.vm.trial.joinable()) {
		c.beginTrial(r.task, r.vm, now)
	}
}

// tickTrial ends the trial on a VM if it was passed or its runs have ended, and a reservation
// that is no longer needed.
func (c *Core) tickTrial(v *vm, now time.Time) {
	current := v.trial
	if current == nil {
		return
	}
	if current.startedAt.IsZero() {
		t := current.tasks[0]
		if t.done || len(t.runs) > 0 || t.stage.trackedJob.state.Phase().Final() || now.Sub(current.reservedAt) > trialPatience+trialPause {
			v.endTrial(now)
		}
		return
	}
	running, reported := false, true
	for _, r := range v.runs {
		if slices.Contains(current.tasks, r.task.counted()) {
			running = true
			reported = reported && r.reported
		}
	}
	switch {
	case !running:
		v.endTrial(now)
	case current.until.IsZero() || now.Before(current.until):
	case reported && v.lastAnswer.After(current.until):
		c.passTrial(v, now)
	case !current.reportRequested:
		current.reportRequested = true
		c.requestHold(v)
	}
}

// passTrial ends the trial on a VM that has outlived it.
func (c *Core) passTrial(v *vm, now time.Time) {
	for _, t := range v.trial.tasks {
		known := t.crashes()
		known.Suspect = false
		if v.trial.long {
			t.longTrialsPassed = min(t.longTrialsPassed+1, maxTrialDoublings)
		}
		if !t.stage.step.Service {
			// The trial of a batch task lasts as long as its run.
			known.Count = min(known.Count, longTrialCrashes-1)
		}
		if v.trial.long && !t.stage.step.Service {
			known.Total, known.Sure = known.Count, min(known.Sure, known.Count)
		}
		c.setCrashes(t, known)
	}
	v.endTrial(now)
}

// endTrial ends the trial or the reservation on a VM.
func (v *vm) endTrial(now time.Time) { v.trial, v.trialEndedAt = nil, now }
