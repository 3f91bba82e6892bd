package schedule

import (
	"cmp"
	"encoding/json"
	"slices"
	"time"

	"almondcove/job"
)

// changed marks a job whose state has to be recorded.
func (c *Core) changed(w *work) {
	w.version++
	c.dirty[w.ID] = w
}

// Recorded is a set of states on their way to the store.
type Recorded struct {
	States  []StateRecord
	Removed []job.ID
	// Fleet lists the VMs that may run tasks; nil when that is recorded already.
	Fleet *Fleet
	seen  map[*vm]seen
}

// StateRecord is the state of one job as it is to be written.
type StateRecord struct {
	Job     job.ID
	Data    []byte
	version int64
	phase   job.Phase
}

type seen struct {
	born   time.Time
	number int64
}

// Final reports whether the job has ended.
func (r StateRecord) Final() bool { return r.phase.Final() }

// Take returns states that have to be recorded and take up at most that many keys,
// those of jobs that have ended two each. They come first.
func (c *Core) Take(keys int, now time.Time) (Recorded, error) {
	var out Recorded
	list := sortedValues(c.dirty, func(a, b *work) int {
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
	out.seen = c.settled()
	return out, nil
}

// mark is an end that a VM may not forget yet, and the job that it belongs to.
type mark struct {
	number int64
	job    job.ID
}

// settled returns, for each VM, the last end up to which nothing has to be
// recorded any more once the states that were taken are written.
func (c *Core) settled() map[*vm]seen {
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

// Expired returns at most most jobs that have been kept long enough.
func (c *Core) Expired(now time.Time, most int) []job.ID {
	var out []job.ID
	for id, w := range c.jobs {
		if len(out) == most {
			break
		}
		if w.shown.Final() && now.Sub(w.state.Ended()) > c.config.Keep && w.recorded == w.version {
			out = append(out, id)
		}
	}
	return out
}

// Written takes note that states were recorded.
func (c *Core) Written(r Recorded) {
	for _, s := range r.States {
		w := c.jobs[s.Job]
		if w == nil {
			continue
		}
		w.recorded = s.version
		w.shown = s.phase
		if s.phase.Final() {
			w.forget()
		}
	}
	for v, s := range r.seen {
		if v.born.Equal(s.born) {
			v.seen = max(v.seen, s.number)
			v.ends = slices.DeleteFunc(v.ends, func(m mark) bool { return m.number <= v.seen })
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
			v.exact = l.Exact
		}
	}
}

// forget drops what a job that has ended needs no more.
func (w *work) forget() {
	w.Job = &job.Job{ID: w.ID, Queue: w.Queue, Team: w.Team, Epoch: w.Epoch, Accepted: w.Accepted}
	w.state.Forget(w.Job)
	w.stages, w.depth = nil, nil
}

// Unwritten takes back states that were not recorded.
func (c *Core) Unwritten(r Recorded) {
	for _, s := range r.States {
		if w := c.jobs[s.Job]; w != nil {
			c.dirty[s.Job] = w
		}
	}
	c.fleetChanged = c.fleetChanged || r.Fleet != nil
}

// Fleet is what the next owner has to know beside the jobs.
type Fleet struct {
	// VMs lists the VMs that may run tasks.
	VMs []Place `json:"vms"`
	// Begun lists the machines of each wave whose maintenance has begun.
	Begun map[int64][]string `json:"begun,omitempty"`
}

// Place is one VM that may run tasks.
type Place struct {
	VM
	// Exact is set when the VM can run nothing but Held: it answers nothing, and
	// so is given nothing, or the owner gives up its ownership.
	Exact bool  `json:"exact,omitempty"`
	Held  []Run `json:"held,omitempty"`
	// Left is how long Held may go on after the record was made, at the most.
	Left time.Duration `json:"left,omitempty"`
}

// Fleet returns what is to be recorded beside the jobs. VMs of which it says that
// they are given no more time are given none from now on.
func (c *Core) Fleet(now time.Time) Fleet {
	out := Fleet{Begun: make(map[int64][]string)}
	for _, l := range c.Sessions() {
		v := c.vms[l.ID]
		p := Place{VM: l, Exact: c.closing || v.silent}
		if p.Exact {
			v.exact = true
			for _, r := range v.list() {
				p.Held = append(p.Held, r.id)
			}
			p.Left = max(v.lapse.Sub(now), 0)
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

// Close prepares the record for the next owner; nothing is started any more.
func (c *Core) Close() {
	c.closing = true
	c.fleetChanged = true
}

// Unrecorded reports whether states or the fleet have still to be recorded.
func (c *Core) Unrecorded() bool { return len(c.dirty) > 0 || c.fleetChanged }
