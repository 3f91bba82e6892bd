package schedule

import (
	"cmp"
	"slices"
	"time"

	"almondcove/job"
	"almondcove/record"
)

// markDirty marks the state of a job as changed, so that it is recorded.
func (c *Core) markDirty(tj *trackedJob) {
	tj.version++
	if c.dirty[tj.ID] == nil {
		c.dirtySerial++
		tj.dirtySince = c.dirtySerial
	}
	c.dirty[tj.ID] = tj
}

// UnrecordedKeys returns how many keys the changes take that [Core.TakeRecords] has yet to
// return: those of states, and those of parts of the fleet.
func (c *Core) UnrecordedKeys() (states, parts int) {
	for _, tj := range c.dirty {
		if !c.defersState(tj) {
			states += stateKeys(tj.state.Phase())
		}
	}
	return states, c.partsToTake()
}

// stateKeys returns how many keys the record of a state takes: that of a job that has ended
// also removes the record of the job.
func stateKeys(p job.Phase) int {
	if p.Final() {
		return 2
	}
	return 1
}

// RecordBatch is a set of changes to be written to the store in one commit.
type RecordBatch struct {
	States []StateRecord
	// Removed lists ended jobs whose records are deleted. The caller fills it from
	// [Core.Expired].
	Removed []job.ID
	// Fleet is the new record of the fleet without its VMs; nil if that has not changed.
	// Parts are the changed parts of the VMs.
	Fleet *Fleet
	Parts []FleetPart
	// forgettable holds, for each VM, the last end that the VM may forget once the batch
	// is committed.
	forgettable map[*vm]endPosition
}

// StateRecord is the state of one job as it is to be written.
type StateRecord struct {
	Job     job.ID
	Data    []byte
	version int64
	phase   job.Phase
}

// endPosition is the number of an end, in the numbering of the VM process that started at
// processStart.
type endPosition struct {
	processStart time.Time
	number       int64
}

// Final reports whether the job has ended.
func (r StateRecord) Final() bool { return r.phase.Final() }

// maxBatchBytes bounds the states of a batch, and likewise its parts of the fleet, so that a commit
// gets through a slow link in time. A single record may be longer.
const maxBatchBytes = 256 << 10

// TakeRecords returns a batch of changes, which take up at most the given numbers of keys in
// the store: states, see [Core.statesToTake], and parts of the fleet. It may hold fewer if these
// are long.
// The batch also holds the rest of the record of the fleet, which does not count towards
// the limits, if that has changed and may be recorded.
func (c *Core) TakeRecords(stateLimit, partLimit int, now time.Time) (RecordBatch, error) {
	var out RecordBatch
	var err error
	if out.Parts, err = c.takeParts(partLimit, now); err != nil {
		return out, err
	}
	if out.States, err = c.takeStates(stateLimit); err != nil {
		return out, err
	}
	writes := len(out.States) > 0 || len(out.Parts) > 0
	if (c.fleetChanged || writes && c.learnedOutdated(now)) && c.mayTakeFleet() {
		learned, err := c.takeLearned(now)
		if err != nil {
			return out, err
		}
		c.fleetChanged = false
		out.Fleet = c.fleetWithoutVMs()
		out.Fleet.Learned = learned
	}
	out.forgettable = c.forgettableEnds()
	return out, nil
}

// takeStates returns the changed states that a batch holds.
func (c *Core) takeStates(limit int) ([]StateRecord, error) {
	var out []StateRecord
	bytes := 0
	for _, tj := range c.statesToTake(limit) {
		data, err := record.Encode(tj.state)
		if err != nil {
			return out, err
		}
		if bytes += len(data); bytes > maxBatchBytes && len(out) > 0 {
			break
		}
		out = append(out, StateRecord{tj.ID, data, tj.version, tj.state.Phase()})
		delete(c.dirty, tj.ID)
	}
	return out, nil
}

// mayTakeFleet reports whether the record of the fleet without its VMs may be in a batch.
func (c *Core) mayTakeFleet() bool { return !c.defers(fleetName) && !c.PartsMissing() }

// unendedShare is the part of the keys for states, as a divisor, that jobs that have not
// ended may take however many have ended.
const unendedShare = 4

// statesToTake returns the jobs whose states a batch with that many keys for states holds:
// those of jobs that have ended before the others, and of each kind the oldest changes. The
// others keep a share, because VMs may not forget the ends of their tasks before.
func (c *Core) statesToTake(limit int) []*trackedJob {
	list := sortedValues(c.dirty, func(a, b *trackedJob) int { return cmp.Compare(a.dirtySince, b.dirtySince) })
	var ended, others []*trackedJob
	for _, tj := range list {
		switch {
		case c.defersState(tj):
		case tj.state.Phase().Final():
			ended = append(ended, tj)
		default:
			others = append(others, tj)
		}
	}
	room := limit - min(len(others), limit/unendedShare)
	ended = ended[:min(len(ended), room/stateKeys(job.Completed))]
	others = others[:min(len(others), limit-len(ended)*stateKeys(job.Completed))]
	return append(ended, others...)
}

// unrecordedEnd is an end that is not recorded yet, so that its VM must not forget it.
type unrecordedEnd struct {
	number int64
	run    Run
	// readAt is when the end was reported.
	readAt time.Time
}

// forgettableEnds returns the last end that each VM may forget once every batch taken so
// far is committed. All ends up to that one are then recorded.
func (c *Core) forgettableEnds() map[*vm]endPosition {
	out := make(map[*vm]endPosition)
	for v := range c.withUnrecordedEnds {
		if len(v.unrecordedEnds) == 0 || c.vms[v.ID] != v {
			delete(c.withUnrecordedEnds, v)
			continue
		}
		n := 0
		for n < len(v.unrecordedEnds) && c.dirty[v.unrecordedEnds[n].run.Task.Job] == nil {
			n++
		}
		if n > 0 {
			out[v] = endPosition{v.processStart, v.unrecordedEnds[n-1].number}
		}
	}
	return out
}

// Expired returns at most limit jobs that have ended and whose retention period is over.
// It searches for them only once in [expirySearchInterval].
func (c *Core) Expired(now time.Time, limit int) []job.ID {
	if len(c.expired) == 0 && now.Sub(c.expiredFoundAt) >= expirySearchInterval {
		c.expiredFoundAt = now
		for id, tj := range c.jobs {
			if c.hasExpired(tj, now) {
				c.expired = append(c.expired, id)
			}
		}
	}
	var out []job.ID
	for len(c.expired) > 0 && len(out) < limit {
		id := c.expired[0]
		c.expired = c.expired[1:]
		if tj := c.jobs[id]; tj != nil && c.hasExpired(tj, now) {
			out = append(out, id)
		}
	}
	return out
}

// expirySearchInterval is the least time between two searches for expired jobs. A search
// visits all jobs, most of which have ended.
const expirySearchInterval = time.Second

// hasExpired reports whether a job has ended and its retention period is over.
func (c *Core) hasExpired(tj *trackedJob, now time.Time) bool {
	return tj.recordedPhase.Final() && now.Sub(tj.state.EndedAt()) > c.config.Retention && tj.recordedVersion == tj.version
}

// Committed handles a batch that was committed to the store: it notes what is recorded now,
// and drops the removed jobs.
func (c *Core) Committed(r RecordBatch) {
	c.endDeferralsOf(r)
	for _, s := range r.States {
		tj := c.jobs[s.Job]
		if tj == nil {
			continue
		}
		tj.recordedVersion = s.version
		tj.recordedPhase = s.phase
		if s.phase.Final() {
			tj.prune()
		}
	}
	for v, last := range r.forgettable {
		if v.processStart.Equal(last.processStart) {
			v.lastEndRecorded = max(v.lastEndRecorded, last.number)
			v.unrecordedEnds = slices.DeleteFunc(v.unrecordedEnds, func(e unrecordedEnd) bool { return e.number <= v.lastEndRecorded })
			if v.moreEnds {
				// The VM can list the next ends now.
				c.requestHold(v)
			}
		}
	}
	for _, id := range r.Removed {
		delete(c.jobs, id)
	}
	if r.Fleet != nil {
		c.handOverRecorded, c.replacesList = r.Fleet.HandedOver, false
	}
	for _, part := range r.Parts {
		c.queuesCommitted(part.Queues)
		c.teamsCommitted(part.Teams)
		for _, place := range part.VMs {
			if v := c.vms[place.ID]; v != nil {
				v.recorded = !place.Exact && !v.silent && poolSetOf(place.Pools).has(v.Pool)
				v.noRenewal = place.Exact
			}
		}
	}
}

// prune drops what is not needed of a job that has ended.
func (tj *trackedJob) prune() {
	tj.Job = &job.Job{ID: tj.ID, Queue: tj.Queue, Team: tj.Team, Epoch: tj.Epoch, Accepted: tj.Accepted}
	tj.state.Prune(tj.Job)
	tj.stages, tj.depth = nil, nil
}

// CommitFailed handles a batch whose commit failed or has an unknown result: its changes are
// recorded again with a later batch.
func (c *Core) CommitFailed(r RecordBatch) {
	for _, s := range r.States {
		if tj := c.jobs[s.Job]; tj != nil {
			// It keeps its place among the others.
			c.dirty[s.Job] = tj
		}
	}
	c.fleetChanged = c.fleetChanged || r.Fleet != nil
	for _, part := range r.Parts {
		// Zero puts the part before all others.
		c.changedParts[part.Number] = 0
	}
}

// Unrecorded reports whether there are changes to jobs or to the fleet that
// [Core.TakeRecords] has yet to return, other than those of records that the store does not
// take.
func (c *Core) Unrecorded() bool {
	if len(c.deferrals) == 0 {
		return len(c.dirty) > 0 || c.fleetChanged || len(c.changedParts) > 0
	}
	states, parts := c.UnrecordedKeys()
	return states > 0 || parts > 0 || c.fleetChanged && c.mayTakeFleet()
}
