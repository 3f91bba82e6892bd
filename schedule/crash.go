package schedule

import (
	"slices"
	"time"

	"almondcove/job"
)

// The parameters by which the tasks that crash their VMs are told from those that were
// running there. They suit loads in which some jobs have a task that crashes every VM that
// runs it, while VMs also crash by themselves, alone or many at a time.
//
// A crash makes suspects of the tasks that the VM had not yet reported as running, and of
// those that run through a second crash. A suspect runs on a VM that gets no other task
// meanwhile, which is its trial:
//
//	crashes | trial | given up
//	1, soon after the start | short, alone or with other suspects | if its VM crashes in the trial
//	2 and more | the whole run, alone | if its VM crashes in the trial and nothing else started there
//	maxCrashes | none | at once
//
// A job of batch tasks that is given up fails. A service goes on without the task: callers
// expect its tasks to be restarted however they end, and its other tasks are at work. The
// task starts again after a pause, see [Core.delayServiceTask].
//
// A suspect waits up to [trialPatience] for a VM without batch tasks, and then starts beside
// older runs. If all VMs of a pool are on trial, a long trial of a batch task keeps other
// tasks off its VM only for [trialTurn]. A crash with tasks that started later speaks
// against the suspect only through maxCrashes.
//
// A crash does not speak against a task if many VMs without a suspect crash at that time, or
// if the VM has run the task for [settledAge].
const (
	// longTrialCrashes is the number of crashes under a task from which on its trial lasts
	// as long as the run, on a VM without other batch tasks.
	longTrialCrashes = 2
	// suspectAge is the age that a run must not have reached for certain when its VM crashed
	// to be a suspect after a single crash.
	suspectAge = 50 * time.Millisecond
	// maxCrashes is the number of crashes under a task at which it is given up even if none
	// fell into a trial: it may start only twice more after the third one.
	maxCrashes = 5
	// minSureCrashes is the number of crashes that certainly came under a task before it is
	// given up in a trial, and minCrashes the number that suffices if not all are certain.
	minSureCrashes = 2
	minCrashes     = 3
	// settledAge is the age from which on a run does not count as the cause of a crash.
	settledAge = 30 * time.Second
	// maxServiceTrial bounds the long trial of a service task, and unknownCrashAge stands
	// for the age of its runs at a crash that a previous owner has recorded.
	maxServiceTrial = 10 * time.Second
	unknownCrashAge = time.Second
	// shortTrialTime is how long a VM gets no other task after the start of a task that is a
	// suspect after a single crash.
	shortTrialTime = 200 * time.Millisecond
	// trialTimeFactor is the length of the first long trial of a service task as a multiple
	// of the age at which a run of the task was when its VM crashed. Each long trial that was
	// passed doubles it, up to maxTrialDoublings times, since the task may crash ever later.
	trialTimeFactor   = 2
	maxTrialDoublings = 3
	// settledRunAge is the age from which on a run that began before the trial of a suspect
	// does not count as the cause of a crash in the trial.
	settledRunAge = 2 * time.Second
	// verdictDelay is how long after a crash the crashes of other VMs are awaited.
	verdictDelay = 300 * time.Millisecond
	// crashWindow is the time between two crashes that count as simultaneous.
	crashWindow = 300 * time.Millisecond
	// massCrash is the number of other VMs whose simultaneous crashes without a suspect show
	// that no task is the cause, and maxExcuses how often they speak for the same task.
	massCrash  = 2
	maxExcuses = 2
	// serviceCrashBackoff is the pause before a service task starts again after its VM has
	// crashed in its trial. It doubles with each crash.
	serviceCrashBackoff = time.Second
	// serviceVerdictDelay is how long after a crash the crashes of other VMs are awaited
	// before it is taken back for service tasks. VMs that are lost together are found as they
	// miss their holds, over up to this time.
	serviceVerdictDelay = 2 * time.Second
	// retrialGap is the time between the new trials of tasks whose trials were ended by
	// simultaneous crashes, so that the next ones are not simultaneous again.
	retrialGap = 400 * time.Millisecond
	// crashMemory is how long a VM that has crashed for an unknown reason is avoided for
	// trials. A crash during a trial there does not speak against the task.
	crashMemory = 10 * time.Second
	// explanationTime is how long after a crash the task that caused it may be found.
	explanationTime = time.Minute
	// trialPatience is how long a suspect waits for a VM without batch tasks, and a VM is
	// kept free of new tasks for it.
	trialPatience = 1800 * time.Millisecond
	// trialTurn is how long a long trial of a batch task keeps other tasks off its VM in a
	// pool whose VMs are all on trial. trialPause is the least time between two long trials
	// on a VM, in which other tasks may start there.
	trialTurn  = time.Second
	trialPause = 200 * time.Millisecond
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

// vmCrash is the crash of a VM that ran tasks.
type vmCrash struct {
	vm string
	// at is when the VM was first found not to answer, and foundAt when it was known to
	// have crashed.
	at, foundAt time.Time
	// tasks lists the tasks that the VM ran, with the first member for each gang. onTrial
	// is the one that was on trial; nil means none.
	tasks   []*task
	onTrial *task
	// settled is set once the verdict on the batch tasks has been given, and servicesSettled
	// once that on the service tasks has.
	settled, servicesSettled bool
	// centre is the data centre of the VM.
	centre string
	// prompted is set if one of the tasks was a suspect by then, so that the crash may have
	// a cause of its own.
	prompted bool
	// explained is set once one of the tasks was given up: the VM itself is sound.
	explained bool
}

// counted returns the task on which crashes are counted: for a member of a gang, the first
// member, since the gang runs as a whole.
func (t *task) counted() *task {
	if t.stage.step.Gang {
		return t.stage.tasks[0]
	}
	return t
}

// crashes returns what is known of the crashes under a task.
func (t *task) crashes() job.Crashes { return t.stage.trackedJob.state.Crashes(t.counted().id) }

// isSuspect reports whether a task may start only in a trial.
func (c *Core) isSuspect(t *task) bool {
	known := t.crashes()
	return known.Suspect || known.Count >= longTrialCrashes
}

// setCrashes changes what is known of the crashes under a task.
func (c *Core) setCrashes(t *task, known job.Crashes) {
	tj := t.stage.trackedJob
	tj.state.SetCrashes(t.id, known)
	c.markDirty(tj)
	tj.crashVersion = tj.version
}

// clear forgets the crashes under a task that has outlived them.
func (c *Core) clear(t *task) {
	if t.crashes() != (job.Crashes{}) {
		c.setCrashes(t, job.Crashes{})
	}
}

// crashesRecorded reports whether what is known of the crashes under a job's tasks is
// recorded, so that the next owner knows it too.
func (tj *trackedJob) crashesRecorded() bool { return tj.recordedVersion >= tj.crashVersion }

// recordCrash records that a VM has crashed with all its runs. It does nothing if that is
// recorded already, or if the VM was about to leave.
func (c *Core) recordCrash(v *vm, now time.Time) {
	if v.crashRecorded || v.Draining || len(v.runs)+len(v.lapsed) == 0 {
		return
	}
	v.crashRecorded = true
	crash := &vmCrash{vm: v.ID, centre: v.Centre, at: now, foundAt: now}
	if v.missedHolds > 0 {
		crash.at = v.firstMissedAt
	}
	onTrial := v.lapsedOnTrial
	if onTrial == nil {
		onTrial = v.taskOnTrial(crash.at)
	}
	if onTrial != nil && !c.crashedWithout(v, onTrial, now) {
		crash.onTrial = onTrial
	}
	suspects := 0
	for _, r := range append(v.sortedRuns(), v.lapsed...) {
		if r.task.done || r.state == runStopping {
			continue
		}
		t := r.task.counted()
		if crash.at.Sub(r.startSentAt) > settledAge {
			c.clear(t)
			continue
		}
		t.crashAge = max(t.crashAge, crash.at.Sub(r.startSentAt))
		known := t.crashes()
		if v.mayHaveCrashedUnder(r) {
			suspects++
			known.Suspect = true
		}
		if !slices.Contains(crash.tasks, t) {
			crash.tasks = append(crash.tasks, t)
			known.Count++
			known.Total++
			if r.reported || !r.acceptedAt.IsZero() {
				known.Sure++
			}
		}
		if t.stage.step.Service {
			c.setCrashes(t, known)
			c.delayServiceTask(t, crash, now)
			continue
		}
		t.underVerdict = t.underVerdict || t == crash.onTrial || known.Total >= maxCrashes
		c.setCrashes(t, known)
	}
	v.trial = nil
	crash.prompted = suspects > 0 || crash.onTrial != nil
	c.stats.Crashes++
	c.crashes = append(c.crashes, crash)
	c.unexplained = append(c.unexplained, crash)
	c.lastCrash[v.ID] = crash
	if v.lastMachine != "" {
		c.lastCrash[v.lastMachine] = crash
	}
	c.config.Log.Info("VM crashed", "vm", v.ID, "machine", v.lastMachine, "runs", len(v.runs)+len(v.lapsed), "suspects", suspects,
		"trial", crash.onTrial != nil, "found", now.Sub(crash.at).Milliseconds())
}

// mayHaveCrashedUnder reports whether a run may have crashed its VM soon after its start:
// nothing shows that the VM has outlived the start for [suspectAge].
func (v *vm) mayHaveCrashedUnder(r *run) bool {
	return !r.reported && (r.acceptedAt.IsZero() || v.lastAlive.Sub(r.acceptedAt) < suspectAge)
}

// taskOnTrial returns the task that is on trial on the VM if a crash at that time speaks
// against it: no other task can be the cause, or the task had just started and the others
// had not. Otherwise it returns nil.
func (v *vm) taskOnTrial(at time.Time) *task {
	if v.trial == nil || v.trial.startedAt.IsZero() || len(v.trial.tasks) != 1 {
		return nil
	}
	suspect := v.trial.tasks[0]
	present, young := false, false
	for _, r := range v.runs {
		if r.task.counted() == suspect {
			present = true
			young = young || v.mayHaveCrashedUnder(r)
		}
	}
	for _, r := range v.runs {
		if r.task.counted() != suspect && (v.mayHaveCrashedUnder(r) || v.trial.long && !young && !r.settled(v.trial, at)) {
			return nil
		}
	}
	if !present {
		return nil
	}
	return suspect
}

// settled reports whether the run began before a trial on its VM and has run for long enough
// not to be the cause of a crash.
func (r *run) settled(t *trial, at time.Time) bool {
	return !r.startSentAt.After(t.startedAt) && at.Sub(r.startSentAt) > settledRunAge
}

// settleCrashes decides about the crashes for which the crashes of other VMs have been
// awaited. Simultaneous crashes of many VMs speak against no task.
func (c *Core) settleCrashes(now time.Time) {
	retrials := 0
	for _, crash := range c.crashes {
		c.excuseServices(crash, now)
		if crash.settled || now.Sub(crash.foundAt) < verdictDelay {
			continue
		}
		crash.settled = true
		unprompted := c.unpromptedCrashes(crash)
		mass := unprompted >= massCrash
		c.logVerdict(crash, unprompted, mass)
		if t := crash.onTrial; mass && t != nil && t.excuses < maxExcuses {
			retrials++
			t.notBefore = now.Add(time.Duration(retrials) * retrialGap)
		}
		for _, t := range crash.tasks {
			t.underVerdict = false
			c.settleCrash(crash, t, mass, now)
		}
	}
	c.crashes = slices.DeleteFunc(c.crashes, func(crash *vmCrash) bool {
		return crash.settled && crash.servicesSettled && now.Sub(crash.foundAt) > verdictDelay+crashWindow
	})
	c.unexplained = slices.DeleteFunc(c.unexplained, func(crash *vmCrash) bool { return now.Sub(crash.at) > explanationTime })
	for name, crash := range c.lastCrash {
		if now.Sub(crash.at) > crashMemory {
			delete(c.lastCrash, name)
		}
	}
}

// logVerdict logs what a crash with a task on trial was compared with.
func (c *Core) logVerdict(crash *vmCrash, unprompted int, mass bool) {
	if crash.onTrial == nil {
		return
	}
	known := crash.onTrial.crashes()
	c.config.Log.Info("crash during a trial settled", "vm", crash.vm, "run", Run{crash.onTrial.id, crash.onTrial.runNumber}, "unprompted", unprompted,
		"mass", mass, "tasks", len(crash.tasks), "count", known.Count, "sure", known.Sure, "total", known.Total)
}

// settleCrash decides about one batch task that ran through a crash.
func (c *Core) settleCrash(crash *vmCrash, t *task, mass bool, now time.Time) {
	if t.stage.step.Service || t.done || t.stage.trackedJob.state.Phase().Final() {
		return
	}
	known := t.crashes()
	switch {
	case mass && t.excuses < maxExcuses && known.Total < maxCrashes:
		t.excuses++
		known.Count = max(known.Count-1, 0)
		c.setCrashes(t, known)
	case t == crash.onTrial && (known.Sure >= minSureCrashes || known.Total >= minCrashes) || known.Total >= maxCrashes:
		c.explainCrashes(t)
		c.giveUp(t, crash, now)
	}
}

// uncount takes back one of the crashes that were counted under a task. The total is kept
// unless the crash is certain not to be due to the task.
func (c *Core) uncount(t *task, certain bool) {
	known := t.crashes()
	known.Count, known.Sure = max(known.Count-1, 0), max(known.Sure-1, 0)
	known.Suspect = known.Suspect && known.Count > 0
	if certain {
		known.Total = max(known.Total-1, 0)
	}
	c.setCrashes(t, known)
}

// explainCrashes takes back the crashes that were counted under other tasks and had a task
// as their cause. It keeps their totals, since two causes may have met in one crash.
func (c *Core) explainCrashes(cause *task) {
	for _, crash := range c.unexplained {
		if crash.explained || !slices.Contains(crash.tasks, cause) {
			continue
		}
		crash.explained = true
		for _, t := range crash.tasks {
			if t != cause && !t.done && !t.stage.trackedJob.state.Phase().Final() {
				c.uncount(t, false)
			}
		}
	}
	c.unexplained = slices.DeleteFunc(c.unexplained, func(crash *vmCrash) bool { return crash.explained })
}

// unpromptedCrashes returns how many other VMs crashed without a suspect at about the time
// of a crash.
func (c *Core) unpromptedCrashes(crash *vmCrash) int {
	n := 0
	for _, other := range c.crashes {
		if other != crash && !other.prompted && other.at.Sub(crash.at).Abs() <= crashWindow {
			n++
		}
	}
	return n
}

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

// giveUp fails the job of a batch task that crashes its VMs.
func (c *Core) giveUp(t *task, crash *vmCrash, now time.Time) {
	c.stats.GivenUp++
	c.config.Log.Warn("job failed because a task crashes its VMs", "run", Run{t.id, t.runNumber}, "vm", crash.vm,
		"crashes", t.crashes().Count, "trial", t == crash.onTrial)
	c.finishJob(t.stage.trackedJob, job.Failed, now)
}

// trialVM returns the VM on which a suspect may start now; nil means none. It then reserves
// a VM if that will be fit for the trial once the tasks there have ended.
func (c *Core) trialVM(t *task, vms []*vm, now time.Time) *vm {
	if !t.stage.trackedJob.crashesRecorded() {
		return nil
	}
	long := t.crashes().Count >= longTrialCrashes
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
			if c.fits(t.stage, v) && v.trial.joinable() && (joint == nil || len(v.trial.tasks) < len(joint.trial.tasks)) {
				joint = v
			}
			continue
		}
		if c.fits(t.stage, v) && (!alone || v.batchRuns() == 0) && c.betterForTrial(v, best, now) {
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
	long := t.crashes().Count >= longTrialCrashes
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

// needsMachineOfVM reports whether the list of machines may show that a VM with runs has
// crashed, or on which machine it runs.
func (c *Core) needsMachineOfVM() bool {
	for _, v := range c.vms {
		unknown := v.lastMachine == "" && v.attached && len(c.machines) > 0
		if len(v.runs) > 0 && (unknown || v.silent && !v.terminated) {
			return true
		}
	}
	return false
}
