package schedule

import (
	"cmp"
	"encoding/json"
	"hash/fnv"
	"maps"
	"slices"
	"time"

	"almondcove/job"
)

// markDirty marks the state of a job as changed, so that it is recorded.
func (c *Core) markDirty(tj *trackedJob) {
	tj.version++
	c.dirty[tj.ID] = tj
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

// TakeRecords returns a batch of changes, which take up at most the given number of keys in
// the store: first the parts of the fleet, then states, those of jobs that have ended,
// which take two keys each, before the others. The batch also holds the rest of the record
// of the fleet, which does not count towards the limit, if that has changed and may be
// recorded.
func (c *Core) TakeRecords(keys int, now time.Time) (RecordBatch, error) {
	var out RecordBatch
	out.Parts = c.takeParts(min(keys, maxPartsPerBatch), now)
	keys -= len(out.Parts)
	list := sortedValues(c.dirty, func(a, b *trackedJob) int {
		return cmp.Or(cmp.Compare(b.state.Phase(), a.state.Phase()), cmp.Compare(a.ID, b.ID))
	})
	for _, tj := range list {
		if tj.state.Phase().Final() {
			keys--
		}
		if keys--; keys < 0 {
			break
		}
		data, err := json.Marshal(tj.state)
		if err != nil {
			return out, err
		}
		out.States = append(out.States, StateRecord{tj.ID, data, tj.version, tj.state.Phase()})
		delete(c.dirty, tj.ID)
	}
	if c.fleetChanged && !c.partsMissing() {
		c.fleetChanged = false
		out.Fleet = c.fleetWithoutVMs()
	}
	out.forgettable = c.forgettableEnds()
	return out, nil
}

// unrecordedEnd is an end that is not recorded yet, so that its VM must not forget it.
type unrecordedEnd struct {
	number int64
	run    Run
}

// forgettableEnds returns the last end that each VM may forget once every batch taken so
// far is committed. All ends up to that one are then recorded.
func (c *Core) forgettableEnds() map[*vm]endPosition {
	out := make(map[*vm]endPosition)
	for _, v := range c.vms {
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
func (c *Core) Expired(now time.Time, limit int) []job.ID {
	var out []job.ID
	for id, tj := range c.jobs {
		if len(out) == limit {
			break
		}
		if tj.recordedPhase.Final() && now.Sub(tj.state.EndedAt()) > c.config.Retention && tj.recordedVersion == tj.version {
			out = append(out, id)
		}
	}
	return out
}

// Committed handles a batch that was committed to the store: it notes what is recorded now,
// and drops the removed jobs.
func (c *Core) Committed(r RecordBatch) {
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
		}
	}
	for _, id := range r.Removed {
		delete(c.jobs, id)
	}
	if r.Fleet != nil {
		c.handOverRecorded = r.Fleet.HandedOver
	}
	for _, part := range r.Parts {
		for _, place := range part.VMs {
			if v := c.vms[place.ID]; v != nil {
				v.recorded = !place.Exact && !v.silent
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
			c.dirty[s.Job] = tj
		}
	}
	c.fleetChanged = c.fleetChanged || r.Fleet != nil
	for _, part := range r.Parts {
		// Zero puts the part before all others.
		c.changedParts[part.Number] = 0
	}
}

// Fleet is the record of the VMs and the maintenance waves, which the next owner needs in
// addition to the jobs.
type Fleet struct {
	// VMs lists the VMs that may run tasks.
	VMs []Place `json:"vms"`
	// Begun lists, by wave, the machines whose maintenance has begun.
	Begun map[int64][]string `json:"begun,omitempty"`
	// HandedOver is set if the owner has left and gives no more orders. Ordered then lists
	// the machines that it has given orders for within [Config.MachineOrderGap].
	HandedOver bool     `json:"left,omitempty"`
	Ordered    []string `json:"ordered,omitempty"`
}

// Place is the record of one VM that may run tasks.
type Place struct {
	VM
	// Exact is set if the VM can run nothing but Held. That holds for a VM that does not
	// answer, because it gets no new runs and no lease renewal, and for every VM during a
	// handover.
	Exact bool `json:"exact,omitempty"`
	// Held lists the runs that may exist on the VM, and those whose ends may not be
	// recorded. It is empty unless Exact is set.
	Held []Run `json:"held,omitempty"`
	// Left is the longest time that the runs in Held may continue after the record was
	// made.
	Left time.Duration `json:"left,omitempty"`
}

// FleetPart is a part of the record of the VMs. The part of a VM follows from its id, so
// that a change of one VM rewrites few others.
type FleetPart struct {
	Number int     `json:"number"`
	VMs    []Place `json:"vms"`
}

const (
	// FleetParts is the number of parts of the record of the VMs.
	FleetParts = 32
	// maxPartsPerBatch bounds the parts in one batch, so that states also find room.
	maxPartsPerBatch = 16
)

// partOf returns the number of the part of a VM.
func partOf(vm string) int {
	h := fnv.New32a()
	// Writing to a hash never fails.
	_, _ = h.Write([]byte(vm))
	return int(h.Sum32() % FleetParts)
}

// placeChanged marks the record of a VM as out of date.
func (c *Core) placeChanged(vm string) {
	n := partOf(vm)
	if _, marked := c.changedParts[n]; !marked {
		c.lastChange++
		c.changedParts[n] = c.lastChange
	}
}

// allPlacesChanged marks the records of all VMs as out of date. The rest of the record of
// the fleet follows them.
func (c *Core) allPlacesChanged() {
	for id := range c.vms {
		c.placeChanged(id)
	}
	c.recordAfter = c.lastChange
}

// partsMissing reports whether parts are not recorded yet that the rest of the record of
// the fleet relies on: an owner that has left must have recorded all VMs, and so must one
// that replaces the record of an earlier version.
func (c *Core) partsMissing() bool {
	for _, change := range c.changedParts {
		if change <= c.recordAfter {
			return true
		}
	}
	return false
}

// takeParts returns at most limit of the changed parts of the record of the VMs, those
// first that have been out of date for longest.
func (c *Core) takeParts(limit int, now time.Time) []FleetPart {
	numbers := slices.SortedFunc(maps.Keys(c.changedParts), func(a, b int) int {
		return cmp.Or(cmp.Compare(c.changedParts[a], c.changedParts[b]), cmp.Compare(a, b))
	})
	numbers = numbers[:max(min(limit, len(numbers)), 0)]
	if len(numbers) == 0 {
		return nil
	}
	index := make(map[int]int, len(numbers))
	out := make([]FleetPart, len(numbers))
	for i, n := range numbers {
		delete(c.changedParts, n)
		index[n] = i
		out[i] = FleetPart{Number: n, VMs: []Place{}}
	}
	for _, v := range c.vms {
		if i, ok := index[partOf(v.ID)]; ok {
			out[i].VMs = append(out[i].VMs, c.place(v, now))
		}
	}
	for _, part := range out {
		slices.SortFunc(part.VMs, func(a, b Place) int { return cmp.Compare(a.ID, b.ID) })
	}
	return out
}

// place returns the record of a VM. From then on the core does not renew the lease of a VM
// that the record lists as exact, so that the next owner can rely on Left.
func (c *Core) place(v *vm, now time.Time) Place {
	out := Place{VM: v.VM, Exact: c.handingOver || v.silent}
	if !out.Exact {
		return out
	}
	v.noRenewal = true
	for _, r := range v.sortedRuns() {
		out.Held = append(out.Held, r.id)
	}
	// The next owner must not start these tasks again before the VM has told it of their
	// ends, unless a record does.
	for _, e := range v.unrecordedEnds {
		out.Held = append(out.Held, e.run)
	}
	out.Left = max(v.leaseEnd.Sub(now), 0)
	return out
}

// fleetWithoutVMs returns the record of the fleet without its VMs.
func (c *Core) fleetWithoutVMs() *Fleet {
	out := &Fleet{Begun: make(map[int64][]string), HandedOver: c.handingOver}
	if c.handingOver {
		out.Ordered = slices.Sorted(maps.Keys(c.machineOrders))
	}
	for n, w := range c.waves {
		for m := range w.maintenanceBegun {
			out.Begun[n] = append(out.Begun[n], m)
		}
		slices.Sort(out.Begun[n])
	}
	return out
}

// BeginHandover prepares for a planned change of owner. From then until [Core.SetEpoch],
// the core plans nothing, and the record of the fleet lists every VM as exact.
func (c *Core) BeginHandover() {
	c.handingOver = true
	c.fleetChanged = true
	c.allPlacesChanged()
}

// Unrecorded reports whether there are changes to jobs or to the fleet that
// [Core.TakeRecords] has yet to return.
func (c *Core) Unrecorded() bool {
	return len(c.dirty) > 0 || c.fleetChanged || len(c.changedParts) > 0
}
