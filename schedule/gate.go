package schedule

import (
	"time"
)

// gate closes a pool for starts until a VM has answered a new owner, or until
// whatever it may run has lapsed.
type gate struct {
	pool  string
	until time.Time
}

// Gate takes over the record of the owner before. It closes the pools of the VMs
// that may run tasks; each opens when all of its VMs have answered, or at until.
//
// Calls since began lie after the record was made; hold is the longest that a VM
// may go on with what it was given.
func (c *Core) Gate(f Fleet, began time.Time, hold time.Duration) {
	until := began.Add(hold)
	c.begun = f.Begun
	for n, machines := range f.Begun {
		if w := c.waves[n]; w != nil {
			for _, m := range machines {
				w.begun[m] = true
			}
		}
	}
	for _, l := range f.VMs {
		v := c.vms[l.ID]
		if v == nil {
			v = c.addVM(l.VM)
		}
		if !l.Exact {
			c.gates[l.ID] = &gate{pool: l.Pool, until: until}
			continue
		}
		v.silent, v.exact = true, true
		v.lapse = began.Add(min(l.Left, hold))
		for _, id := range l.Held {
			c.presumed = append(c.presumed, presumed{v, id})
		}
	}
}

// presumed is a run of the record whose job is not known yet.
type presumed struct {
	vm *vm
	id Run
}

// book makes runs of those that the record of the owner before names.
func (c *Core) book(now time.Time) {
	for _, p := range c.presumed {
		w := c.jobs[p.id.Task.Job]
		if w == nil || !w.has(p.id.Task) || c.vms[p.vm.ID] != p.vm || p.vm.runs[p.id] != nil {
			continue
		}
		var t *task
		if !w.state.Phase().Final() {
			t = c.taskOf(w, p.id.Task)
		}
		if t == nil {
			t = ghost(w, p.id.Task)
		}
		r := c.newRun(t, p.vm, p.id.Number, now)
		r.state = running
		r.fence = 0
		r.doubted = now.Add(c.config.Stop + stopSpare)
	}
	c.presumed = nil
}

// closed reports whether a pool's tasks may run on VMs that have not answered yet.
func (c *Core) closed(pool string, now time.Time) bool {
	for id, g := range c.gates {
		if now.After(g.until) {
			c.config.Log.Warn("VM given up after a change of owner", "vm", id)
			delete(c.gates, id)
			continue
		}
		if g.pool == pool {
			return true
		}
	}
	return false
}
