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
	return t.crashes().Suspect || t.needsLongTrial()
}

// needsLongTrial reports whether the trial of a task lasts as long as its run. The third crash
// under a batch task counts for that also if it was put down to another one, since two causes
// may have met and few starts are left.
func (t *task) needsLongTrial() bool {
	known := t.crashes()
	return known.Count >= longTrialCrashes || known.Total >= minCrashes && !t.stage.step.Service
}

// crashLimit returns the number of crashes under a batch task at which it is given up in any
// case. A change of owner may have lost the record of one.
func (c *Core) crashLimit(t *task) int {
	if t.stage.trackedJob.Epoch < c.epoch {
		return maxCrashes - 1
	}
	return maxCrashes
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
		t.underVerdict = t.underVerdict || t == crash.onTrial || known.Total >= c.crashLimit(t)
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
	case mass && t.excuses < maxExcuses && known.Total < c.crashLimit(t):
		t.excuses++
		known.Count = max(known.Count-1, 0)
		c.setCrashes(t, known)
	case t == crash.onTrial && (known.Sure >= minSureCrashes || known.Total >= minCrashes) || known.Total >= c.crashLimit(t):
		c.explainCrashes(t)
		c.giveUp(t, crash, now)
	}
}

// uncount takes back one of the crashes that were counted under a task. The total of the
// task is kept unless the crash is certain not to be due to it.
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

// giveUp fails the job of a batch task that crashes its VMs.
func (c *Core) giveUp(t *task, crash *vmCrash, now time.Time) {
	c.stats.GivenUp++
	c.config.Log.Warn("job failed because a task crashes its VMs", "run", Run{t.id, t.runNumber}, "vm", crash.vm,
		"crashes", t.crashes().Count, "trial", t == crash.onTrial)
	c.finishJob(t.stage.trackedJob, job.Failed, now)
}

// needsMachineOfVM reports whether the list of machines may show that a VM with runs has
// crashed, or on which machine it runs, or that a silent VM with a gate is no more.
func (c *Core) needsMachineOfVM() bool {
	for _, v := range c.vms {
		unknown := v.lastMachine == "" && v.attached && len(c.machines) > 0
		gone := v.silent && !v.terminated
		if len(v.runs) > 0 && (unknown || gone) || gone && c.gates[v.ID] != nil {
			return true
		}
	}
	return false
}
