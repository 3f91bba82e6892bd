package schedule

import (
	"cmp"
	"encoding/json"
	"slices"
	"time"

	"almondcove/job"
)

// markDirty marks a job as changed, so that its state is recorded.
func (c *Core) markDirty(w *trackedJob) {
	w.version++
	c.dirty[w.ID] = w
}

// RecordBatch is a set of changes to be written to the store in one commit.
type RecordBatch struct {
	States  []StateRecord
	Removed []job.ID
	// Fleet is the new record of the fleet; nil when that has not changed.
	Fleet *Fleet
	// seen holds the ends that each VM may forget once the batch is written.
	seen map[*vm]seen
}

// StateRecord is the state of one job as it is to be written.
type StateRecord struct {
	Job     job.ID
	Data    []byte
	version int64
	phase   job.Phase
}

// seen is the number of an end, in the numbering of the VM process started at born. The
// VM may forget its ends up to that one.
type seen struct {
	born   time.Time
	number int64
}

// Final reports whether the job has ended.
func (r StateRecord) Final() bool { return r.phase.Final() }

// TakeRecords returns changed states to be recorded, which take up at most the given
// number of keys. States of jobs that have ended take two keys each and come first. The
// batch also holds the record of the fleet if that has changed.
func (c *Core) TakeRecords(keys int, now time.Time) (RecordBatch, error) {
	var out RecordBatch
	list := sortedValues(c.dirty, func(a, b *trackedJob) int {
		return cmp.Or(cmp.Compare(b.state.Phase(), a.state.Phase()), cmp.Compare(a.ID, b.ID))
	})
	for _, w := range list {
		if w.state.Phase().Final() {
			keys--
		}
		if keys--; keys < 0 {
			break
		}
		data, err := json.Marshal(w.state)
		if err != nil {
			return out, err
		}
		out.States = append(out.States, StateRecord{w.ID, data, w.version, w.state.Phase()})
		delete(c.dirty, w.ID)
	}
	if c.fleetChanged {
		c.fleetChanged = false
		fleet := c.Fleet(now)
		out.Fleet = &fleet
	}
	out.seen = c.forgettableEnds()
	return out, nil
}

// unseenEnd is the number of an end that its VM must not forget yet, and the job that it
// belongs to.
type unseenEnd struct {
	number int64
	job    job.ID
}

// forgettableEnds returns, for each VM, the last end up to which every end is recorded
// once the states that were taken are written.
func (c *Core) forgettableEnds() map[*vm]seen {
	out := make(map[*vm]seen)
	for _, v := range c.vms {
		n := 0
		for n < len(v.ends) && c.dirty[v.ends[n].job] == nil {
			n++
		}
		if n > 0 {
			out[v] = seen{v.born, v.ends[n-1].number}
		}
	}
	return out
}

// Expired returns up to limit ended jobs whose retention period is over.
func (c *Core) Expired(now time.Time, limit int) []job.ID {
	var out []job.ID
	for id, w := range c.jobs {
		if len(out) == limit {
			break
		}
		if w.recordedPhase.Final() && now.Sub(w.state.Ended()) > c.config.Retention && w.recorded == w.version {
			out = append(out, id)
		}
	}
	return out
}

// Written handles a batch that was committed to the store.
func (c *Core) Written(r RecordBatch) {
	for _, s := range r.States {
		w := c.jobs[s.Job]
		if w == nil {
			continue
		}
		w.recorded = s.version
		w.recordedPhase = s.phase
		if s.phase.Final() {
			w.forget()
		}
	}
	for v, s := range r.seen {
		if v.born.Equal(s.born) {
			v.seen = max(v.seen, s.number)
			v.ends = slices.DeleteFunc(v.ends, func(m unseenEnd) bool { return m.number <= v.seen })
		}
	}
	for _, id := range r.Removed {
		delete(c.jobs, id)
	}
	if r.Fleet == nil {
		return
	}
	for _, l := range r.Fleet.VMs {
		if v := c.vms[l.ID]; v != nil {
			v.recorded = !l.Exact && !v.silent
			v.noRenewal = l.Exact
		}
	}
}

// forget drops what is no longer needed of a job that has ended.
func (w *trackedJob) forget() {
	w.Job = &job.Job{ID: w.ID, Queue: w.Queue, Team: w.Team, Epoch: w.Epoch, Accepted: w.Accepted}
	w.state.Prune(w.Job)
	w.stages, w.depth = nil, nil
}

// Unwritten handles a batch that was not committed: its states are to be recorded again.
func (c *Core) Unwritten(r RecordBatch) {
	for _, s := range r.States {
		if w := c.jobs[s.Job]; w != nil {
			c.dirty[s.Job] = w
		}
	}
	c.fleetChanged = c.fleetChanged || r.Fleet != nil
}

// Fleet is the record of the VMs and the maintenance waves, which the next owner needs
// besides the jobs.
type Fleet struct {
	// VMs lists the VMs that may run tasks.
	VMs []Place `json:"vms"`
	// Begun lists the machines of each wave whose maintenance has begun.
	Begun map[int64][]string `json:"begun,omitempty"`
}

// Place is one VM that may run tasks.
type Place struct {
	VM
	// Exact is set when the VM can run nothing but Held. That is so for a VM that does
	// not answer, since it is given no new runs and no more time, and for every VM when
	// the owner is about to give up its ownership.
	Exact bool `json:"exact,omitempty"`
	// Held lists the runs that the VM may hold. It is empty unless Exact is set.
	Held []Run `json:"held,omitempty"`
	// Left is the longest time that the runs in Held may go on after the record was
	// made.
	Left time.Duration `json:"left,omitempty"`
}

// Fleet returns the record of the fleet. From now on the core renews no lease of a VM
// that the record lists as exact, so that the next owner can rely on Left.
func (c *Core) Fleet(now time.Time) Fleet {
	out := Fleet{Begun: make(map[int64][]string)}
	for _, l := range c.Sessions() {
		v := c.vms[l.ID]
		p := Place{VM: l, Exact: c.closing || v.silent}
		if p.Exact {
			v.noRenewal = true
			for _, r := range v.sortedRuns() {
				p.Held = append(p.Held, r.id)
			}
			p.Left = max(v.leaseEnd.Sub(now), 0)
		}
		out.VMs = append(out.VMs, p)
	}
	for n, w := range c.waves {
		for m := range w.begun {
			out.Begun[n] = append(out.Begun[n], m)
		}
		slices.Sort(out.Begun[n])
	}
	return out
}

// BeginHandover prepares for a change of owner. The record of the fleet lists every VM as
// exact, and the core plans nothing more until [Core.SetEpoch].
func (c *Core) BeginHandover() {
	c.closing = true
	c.fleetChanged = true
}

// Unrecorded reports whether changes to jobs or to the fleet have yet to be recorded.
func (c *Core) Unrecorded() bool { return len(c.dirty) > 0 || c.fleetChanged }
