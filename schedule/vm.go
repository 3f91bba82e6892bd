package schedule

import (
	"maps"
	"time"

	"almondcove/job"
)

// The parameters of the sessions with VMs. A session is the exchange of holds, start
// orders and stop orders with one VM.
const (
	// fenceSerialBits is the number of bits below the epoch in a fencing token.
	fenceSerialBits = 20
	// maxFenceSerial is the greatest serial number, and fenceReserve how many of the last
	// ones are kept for the time until the next election.
	maxFenceSerial = 1<<fenceSerialBits - 1
	fenceReserve   = 1 << 16
	// maxClockDrift is how much slower than the owner's clock a VM's clock may run,
	// as a fraction.
	maxClockDrift = 0.02
	// startWindow is how long a start order is valid after it was given.
	startWindow = 1500 * time.Millisecond
	// maxOrderDelay is how long after it was given a start order without an answer may
	// still be carried out.
	maxOrderDelay = 13 * time.Second
	// A VM may delay its answer to a hold until a run ends, but at most by
	// maxHoldWait, or by batchHoldWait if it runs batch tasks. A lost answer is noticed
	// only after the delay, so the limit is lower where ends are expected.
	maxHoldWait   = time.Second
	batchHoldWait = 300 * time.Millisecond
	// maxMissedHolds is how many holds in a row a VM may leave unanswered before it
	// counts as silent. Single answers get lost on healthy VMs.
	maxMissedHolds = 1
	// stopRetryInterval is the time after which a stop order is repeated.
	stopRetryInterval = 700 * time.Millisecond
	// unlistedGracePeriod is how long a VM may be missing from the platform's list
	// before it is removed. A VM that may still run something is kept longer.
	unlistedGracePeriod = 2 * time.Second
)

// vm is a VM with the state of the session that the core keeps with it.
type vm struct {
	VM
	// listed is set while the platform lists the VM; unlistedAt is when the VM was first
	// missing from the list.
	listed     bool
	unlistedAt time.Time
	// attached is set once the VM has answered under a fencing token of this owner,
	// so that all its runs are known.
	attached bool
	// silent is set while the VM does not answer holds.
	silent bool
	// missedHolds is the number of holds in a row that were not answered, and
	// firstMissedAt when the first of them failed.
	missedHolds   int
	firstMissedAt time.Time
	// crashRecorded is set once the crash of the VM's current process is recorded.
	crashRecorded bool
	// lapsed lists the runs of the VM's current process that ended with their lease while the
	// VM was silent, and may have ended earlier by its crash.
	lapsed []*run
	// lapsedOnTrial is the task that was on trial when the runs in lapsed ended; nil means
	// none.
	lapsedOnTrial *task
	// trial is the trial of a suspect on the VM; nil means that there is none.
	trial *trial
	// trialEndedAt is when the last trial or reservation on the VM ended.
	trialEndedAt time.Time
	// terminated is set when the list of machines shows that the machine no longer runs
	// the VM, until the VM answers a hold.
	terminated bool
	// lastMachine is the machine on which the VM was last listed.
	lastMachine string
	// lastAnswer is when the last answer to a hold arrived.
	lastAnswer time.Time
	// answerGap is the time between the last two answers.
	answerGap time.Duration
	// lastAlive is when the last answer to a hold or a start order arrived.
	lastAlive time.Time
	// serial is the serial number in the VM's current fencing token. needsNewFence is
	// set when the next hold has to use a higher token.
	serial        int64
	needsNewFence bool
	// processStart is when the VM's current process started, as first learned from the
	// platform's list or from a report. [VM.Born] is the time in the list alone, which
	// may lag behind the reports.
	processStart time.Time
	// clock is a lower bound of the VM's clock at clockAt. A zero clockAt means that the
	// clock has not been read since the VM's process started.
	clock   time.Duration
	clockAt time.Time
	// reportStamp is the stamp of the newest report.
	reportStamp reportStamp
	// leaseEnd is when the leases of all the VM's runs have certainly expired.
	leaseEnd time.Time
	runs     map[Run]*run
	// used is the sum of the needs of the runs.
	used job.Resources
	// slowdown is the binary logarithm of the time that a task takes on the VM relative to
	// usual; zero unless the VM's speed is notable.
	slowdown float64
	// lastEndRead is the number of the last end that was read from a report.
	// lastEndRecorded is the number up to which all ends are recorded, so that the VM
	// may forget them.
	lastEndRead, lastEndRecorded int64
	// unrecordedEnds lists the ends after lastEndRecorded, up to lastEndRead.
	unrecordedEnds []unrecordedEnd
	// moreEnds is set while the VM may have ends after lastEndRead. Until they are read, a
	// run that its reports don't list may have ended.
	moreEnds bool
	health   health
	// noRenewal is set while the recorded fleet may list the VM as exact (see [Place]).
	// The next owner relies on the remaining lease in that record, so the lease must
	// not be renewed.
	noRenewal bool
	// recorded is set while the recorded fleet lists the VM as not exact, so that the
	// next owner expects any runs of its pool there. Only then may the VM get tasks.
	recorded bool
	// runsUnrecorded is set if the record of the VM says that tasks of any pool may run there,
	// because the record of a queue lacked the pool of a run.
	runsUnrecorded bool
	// pastProcessStarts holds the start times of the VM's earlier processes, whose late
	// reports are ignored.
	pastProcessStarts map[time.Time]bool
	// idleSince is when the last run ended, or when the VM was attached.
	idleSince time.Time
	// emptyTime is how long the VM was last expected to take to fall empty if it gets no
	// further tasks, and emptyTimeSuspending the same if runs are suspended.
	emptyTime, emptyTimeSuspending time.Duration
	// drainAbandonedAt is when the VM was last not empty in time for a move.
	drainAbandonedAt time.Time
	// pacedAt is when the pace of the VM's fillers was last changed.
	pacedAt time.Time
	// maintenanceDue is set while the VM's machine waits for maintenance.
	maintenanceDue bool
	// hasUnknownRun is set while the VM runs a task that the core does not know.
	hasUnknownRun bool
	// holdRequested is set from the request for an immediate hold until that hold is
	// prepared.
	holdRequested bool
}

// requireNewFence makes the next hold use a higher fencing token. Until the VM
// answers that hold, it counts as not attached.
func (v *vm) requireNewFence() {
	v.needsNewFence = true
	v.attached = false
}

// fence returns the VM's current fencing token.
func (v *vm) fence(epoch int64) int64 { return epoch<<fenceSerialBits + v.serial }

// FencesUsedUp reports whether the fencing tokens of this epoch are nearly used up, so that
// a new epoch is needed.
func (c *Core) FencesUsedUp() bool { return c.serial >= maxFenceSerial-fenceReserve }

// SetVMs replaces the platform's list of VMs. A VM in a pool that no configuration has had is not
// used until one has it.
func (c *Core) SetVMs(list []VM, now time.Time) {
	present := make(map[string]bool, len(list))
	unknown := len(c.ofUnknownPools)
	c.ofUnknownPools = nil
	for _, listed := range list {
		if c.listVM(listed, now) {
			present[listed.ID] = true
		}
	}
	if n := len(c.ofUnknownPools); n != unknown {
		c.config.Log.Info("VMs of unknown pools listed by the platform; not using them", "vms", n, "before", unknown)
	}
	maps.DeleteFunc(c.retired, func(_ string, r retirement) bool { return now.Sub(r.at) >= retiredGracePeriod })
	for id, v := range c.vms {
		if !present[id] && v.listed {
			v.listed = false
			v.unlistedAt = now
			c.config.Log.Info("VM no longer listed by the platform", "vm", id, "runs", len(v.runs))
		}
	}
}

// listVM takes over the entry of a VM in the platform's list, and reports whether the entry names
// a VM to use.
func (c *Core) listVM(listed VM, now time.Time) bool {
	if r, ok := c.retired[listed.ID]; ok && listed.Born.Equal(r.born) && now.Sub(r.at) < retiredGracePeriod {
		return false
	}
	if !c.knownPools[listed.Pool] {
		c.ofUnknownPools = append(c.ofUnknownPools, listed)
		return false
	}
	v := c.vms[listed.ID]
	if v == nil {
		v = c.addVM(listed)
	}
	c.updateVM(v, listed, now)
	return true
}

// retiredGracePeriod is how long the platform's list may still show a VM after its
// machine was moved or sent to maintenance.
const retiredGracePeriod = 10 * time.Second

// retirement is the removal of a VM whose machine was moved or sent to maintenance.
type retirement struct {
	// born is the start time of the VM's process in the platform's list.
	born, at time.Time
}

// retireVM removes a VM whose machine is moved or sent to maintenance, unless the
// VM still has runs.
func (c *Core) retireVM(id string, now time.Time) {
	v := c.vms[id]
	if v == nil || len(v.runs) > 0 {
		return
	}
	c.retired[id] = retirement{born: v.Born, at: now}
	c.removeVM(v)
}

func (c *Core) removeVM(v *vm) {
	delete(c.vms, v.ID)
	delete(c.gates, v.ID)
	c.pool(v.Pool).remove(v)
	c.placeChanged(v.ID)
}

func (c *Core) addVM(listed VM) *vm {
	v := &vm{VM: listed, needsNewFence: true, runs: make(map[Run]*run), pastProcessStarts: make(map[time.Time]bool), processStart: listed.Born}
	c.placeChanged(listed.ID)
	c.vms[listed.ID] = v
	c.pool(listed.Pool).add(v)
	return v
}

// updateVM replaces the listed attributes of a VM.
func (c *Core) updateVM(v *vm, listed VM, now time.Time) {
	if listed.Draining != v.Draining || !v.listed {
		c.config.Log.Info("VM listed by the platform", "vm", listed.ID, "pool", listed.Pool, "draining", listed.Draining, "centre", listed.Centre, "address", listed.Address)
	}
	if v.Pool != listed.Pool {
		c.pool(v.Pool).remove(v)
		c.pool(listed.Pool).add(v)
		// The next owner does not expect tasks of the new pool there until that is recorded.
		v.recorded = false
		c.placeChanged(v.ID)
	}
	if v.isNewProcess(listed.Born) {
		// The listed entry of the earlier process tells whether it was about to leave.
		c.handleRestart(v, listed.Born, now)
	}
	v.VM = listed
	v.listed = true
}

// isNewProcess reports whether born is the start time of a process of the VM that
// the core does not know yet.
func (v *vm) isNewProcess(born time.Time) bool {
	return !born.IsZero() && !born.Equal(v.processStart) && !v.pastProcessStarts[born]
}

// handleRestart resets the session after the VM's process has restarted. The runs
// of the earlier process have ended, but the new process may still carry out start
// orders without an answer.
func (c *Core) handleRestart(v *vm, born, now time.Time) {
	if !v.processStart.IsZero() {
		c.config.Log.Info("VM restarted", "vm", v.ID, "runs", len(v.runs))
		v.pastProcessStarts[v.processStart] = true
		c.recordCrash(v, now)
	}
	v.crashRecorded, v.lapsed, v.lapsedOnTrial = false, nil, nil
	v.processStart = born
	v.lastEndRead, v.lastEndRecorded, v.unrecordedEnds, v.moreEnds = 0, 0, nil, false
	v.reportStamp = reportStamp{}
	v.clockAt = time.Time{}
	v.needsNewFence = true
	v.attached = false
	v.health = health{}
	for _, r := range v.sortedRuns() {
		if r.state != runSent && !r.startUnanswered {
			c.endRun(r, Lapsed, "", now)
		}
	}
	c.requestHold(v)
}

// sortedRuns returns the VM's runs in a stable order.
func (v *vm) sortedRuns() []*run {
	return sortedValues(v.runs, func(a, b *run) int { return compareRuns(a.id, b.id) })
}

// requestHold requests an immediate hold of a VM, unless such a request is pending.
func (c *Core) requestHold(v *vm) {
	if !v.holdRequested {
		v.holdRequested = true
		c.actions = append(c.actions, ImmediateHold{VM: v.ID})
	}
}

// Hold prepares the next hold of a VM. It reports false if the VM was removed.
func (c *Core) Hold(id string, now time.Time) (Hold, bool) {
	v := c.vms[id]
	if v == nil {
		return Hold{}, false
	}
	v.holdRequested = false
	h := Hold{VM: id, Seen: v.lastEndRecorded, Sent: now}
	if v.needsNewFence && c.serial < maxFenceSerial {
		v.needsNewFence = false
		c.serial++
		v.serial = c.serial
	} else if !v.needsNewFence && v.attached && !v.silent && !v.moreEnds && v.missedHolds == 0 {
		h.Wait = v.holdWait()
	}
	h.Fence = v.fence(c.epoch)
	// A silent VM's lease is not renewed, or its runs could never count as ended.
	if !v.clockAt.IsZero() && !v.silent && !v.noRenewal {
		h.Until = v.minClock(now) + c.config.MaxLease
		v.extendLease(now, c.config.MaxLease)
	}
	return h, true
}

// holdWait returns how long the VM may wait for the end of a run before it answers
// a hold.
func (v *vm) holdWait() time.Duration {
	for _, r := range v.runs {
		if !r.task.stage.step.Service {
			return batchHoldWait
		}
	}
	return maxHoldWait
}

// minClock returns a lower bound of the VM's clock at now, derived from the last
// reading. It ignores drift since that reading; [vm.clockUncertainty] bounds it.
func (v *vm) minClock(now time.Time) time.Duration {
	return v.clock + now.Sub(v.clockAt)
}

// extendLease records that the VM is granted a lease of d from now on. It sets
// leaseEnd by the owner's clock, late enough for a VM's clock that is behind or slow.
func (v *vm) extendLease(now time.Time, d time.Duration) {
	leaseEnd := now.Add(withDrift(d) + v.clockUncertainty(now))
	if leaseEnd.After(v.leaseEnd) {
		v.leaseEnd = leaseEnd
	}
}

// withDrift returns the longest time by the owner's clock in which a VM's clock
// advances by d.
func withDrift(d time.Duration) time.Duration { return d + time.Duration(maxClockDrift*float64(d)) }

// clockUncertainty returns how far the VM's clock may have fallen behind [vm.minClock]
// since it was last read, plus a margin of 50 ms.
func (v *vm) clockUncertainty(now time.Time) time.Duration {
	return time.Duration(maxClockDrift*float64(now.Sub(v.clockAt))) + 50*time.Millisecond
}

// HoldFailed handles a hold that failed. The VM then counts as silent, except that
// an attached VM may leave up to [maxMissedHolds] holds in a row unanswered.
func (c *Core) HoldFailed(h Hold, result Result, now time.Time) {
	v := c.vms[h.VM]
	if v == nil || h.Fence < v.fence(c.epoch) {
		return
	}
	if v.missedHolds == 0 {
		v.firstMissedAt = now
	}
	v.missedHolds++
	if result == Unanswered && v.attached && !v.silent && v.missedHolds <= maxMissedHolds {
		return
	}
	if !v.silent {
		c.placeChanged(v.ID)
		c.config.Log.Warn("VM does not answer, its lease is no longer renewed", "vm", v.ID, "result", result, "runs", len(v.runs), "fence", h.Fence)
	}
	v.silent = true
	v.needsNewFence = true
	if result == Fenced && v.fence(c.epoch) <= h.Fence {
		// Only a later owner can have used a higher fencing token.
		c.config.Log.Warn("VM has seen the fencing token of a later owner", "vm", v.ID, "fence", h.Fence)
	}
	c.expireRuns(v, now)
}

// expireRuns ends the runs of a VM once its lease has expired. A run whose start
// order may still be carried out is kept until [maxOrderDelay] after the order.
func (c *Core) expireRuns(v *vm, now time.Time) {
	if now.Before(v.leaseEnd) {
		return
	}
	if v.lapsedOnTrial == nil {
		v.lapsedOnTrial = v.taskOnTrial(v.firstMissedAt)
	}
	for _, r := range v.sortedRuns() {
		if (r.state == runSent || r.startUnanswered) && now.Sub(r.startSentAt) < maxOrderDelay {
			continue
		}
		v.lapsed = append(v.lapsed, r)
		c.endRun(r, Lapsed, "", now)
		c.placeChanged(v.ID)
	}
}

// Held handles a VM's answer to a hold.
func (c *Core) Held(h Hold, r Report, now time.Time) {
	v := c.vms[h.VM]
	if v == nil {
		return
	}
	if v.pastProcessStarts[r.Born] {
		return
	}
	if v.isNewProcess(r.Born) {
		c.handleRestart(v, r.Born, now)
	}
	if v.silent {
		c.config.Log.Info("silent VM answers again", "vm", v.ID, "fence", h.Fence, "running", len(r.Running))
		// The recorded fleet may still list the VM as exact, with the runs and the
		// remaining lease that it had when it became silent. That record has to be
		// replaced before the VM may get tasks or a longer lease.
		v.recorded = false
		c.placeChanged(v.ID)
		c.requestHold(v)
	}
	v.silent, v.terminated, v.crashRecorded, v.lapsed, v.lapsedOnTrial = false, false, false, nil, nil
	v.missedHolds = 0
	v.answerGap = now.Sub(v.lastAnswer)
	v.lastAnswer, v.lastAlive = now, now
	// A reading below the bound comes from a late answer or a slow clock. It is taken
	// only if the last reading is more than a second old.
	if v.clockAt.IsZero() || r.Clock > v.minClock(now) || now.Sub(v.clockAt) > time.Second {
		v.clock, v.clockAt = r.Clock, now
	}
	for _, e := range r.Ended {
		c.handleEnd(v, e, now)
	}
	if (v.attached || v.moreEnds) && !v.reportStamp.before(h, r) {
		// A newer report was handled first. The runs in this one may have ended since,
		// and the VM may have forgotten their ends already.
		return
	}
	v.reportStamp = reportStamp{h.Fence, r.Clock}
	c.noteMoreEnds(v, r.MoreEnds)
	c.updateProgress(v, r, now)
	c.restartStalled(v, now)
	c.paceFillers(v, now)
	if h.Fence == v.fence(c.epoch) && !v.needsNewFence && !v.moreEnds {
		c.settleRuns(v, h, r, now)
	}
	if g := c.gates[v.ID]; g != nil && v.leaseEnd.After(g.until) {
		// The hold has renewed the lease of runs that are not known yet.
		g.until = v.leaseEnd
	}
}

// noteMoreEnds records whether the newest report of a VM leaves out ends.
func (c *Core) noteMoreEnds(v *vm, more bool) {
	if more && !v.moreEnds {
		c.config.Log.Info("VM has more ends than it lists", "vm", v.ID, "read", v.lastEndRead, "attached", v.attached, "runs", len(v.runs))
	}
	v.moreEnds = more
}

// reportStamp orders the reports of one process of a VM. Answers on different
// connections may overtake each other, but the fencing token and the VM's clock
// only increase.
type reportStamp struct {
	fence int64
	clock time.Duration
}

// before reports whether the stamp is older than the answer r to the hold h.
func (s reportStamp) before(h Hold, r Report) bool {
	return s.fence < h.Fence || s.fence == h.Fence && s.clock < r.Clock
}

// updateProgress takes over the reported progress of the known runs. A run in the
// report is running, even if its start order got no answer.
func (c *Core) updateProgress(v *vm, report Report, now time.Time) {
	for _, p := range report.Running {
		r := v.runs[p.Run]
		if r == nil {
			continue
		}
		if r.state == runSent || r.state == runUnsettled {
			r.state = runRunning
		}
		r.startUnanswered, r.reported, r.fromRecord = false, true, false
		r.checkpoint, r.load = p.Checkpoint, p.Load
		r.recordProgress(p.Percent, now)
		c.updateWorkingSince(r, now)
	}
}

// updateWorkingSince sets the time since which a run of a service task has been at work. It
// is at work while its reported progress is 100 percent and no stop was ordered.
func (c *Core) updateWorkingSince(r *run, now time.Time) {
	switch {
	case !r.task.stage.step.Service:
	case r.percent < 100 || r.state == runStopping:
		r.workingSince = time.Time{}
	case r.workingSince.IsZero():
		r.workingSince = now
		c.config.Log.Info("service task at work", "run", r.id, "vm", r.vm.ID, "after", now.Sub(r.startSentAt).Milliseconds())
	}
}

// settleRuns compares the runs that the core knows with a report under the current
// fencing token that leaves out no end. A run that was ordered under a lower token and is not in the report
// does not run and will never start, so it counts as ended. Runs that the core does
// not know are adopted or stopped.
func (c *Core) settleRuns(v *vm, h Hold, report Report, now time.Time) {
	listed := make(map[Run]bool, len(report.Running))
	for _, p := range report.Running {
		listed[p.Run] = true
	}
	for _, r := range v.sortedRuns() {
		switch {
		case r.fence < h.Fence && !listed[r.id]:
			c.config.Log.Info("run not found on its VM", "run", r.id, "vm", v.ID, "state", r.state)
			c.endRun(r, Unknown, "", now)
		case r.task.done && !r.task.stage.step.Gang && r.state == runRunning:
			// The previous owner may not have stopped the run.
			c.stopRun(r, stopUnneeded, now)
		}
	}
	v.hasUnknownRun = false
	for _, p := range report.Running {
		if v.runs[p.Run] == nil {
			c.adoptRun(v, p, now)
		}
	}
	if !v.attached {
		v.attached = true
		v.idleSince = now
		c.endGate(v)
		c.config.Log.Info("VM attached", "vm", v.ID, "fence", h.Fence, "running", len(report.Running))
		c.requestHold(v)
	}
}
