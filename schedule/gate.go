package schedule

import (
	"time"
)

// gate keeps the older jobs of a pool from starting until one VM has answered the new
// owner, or until everything that this VM may run has lapsed.
type gate struct {
	pool  string
	until time.Time
}

// RestoreFleet restores the fleet that the previous owner recorded. A VM whose runs the
// record lists exactly is restored as silent with these runs. Every other VM gates its
// pool until it has answered, or until everything that it was granted has lapsed.
//
// The record was made before began, and hold is the longest time that a VM may go on
// with what it was granted.
func (c *Core) RestoreFleet(f Fleet, began time.Time, hold time.Duration) {
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
		v.silent, v.noRenewal = true, true
		v.leaseEnd = began.Add(min(l.Left, hold))
		for _, id := range l.Held {
			c.presumed = append(c.presumed, presumed{v, id})
		}
	}
}

// presumed is a run in the restored record that has yet to be matched with its job.
type presumed struct {
	vm *vm
	id Run
}

// restoreRuns adds the runs of the restored record once the jobs have been added.
func (c *Core) restoreRuns(now time.Time) {
	for _, p := range c.presumed {
		w := c.jobs[p.id.Task.Job]
		if w == nil || !w.hasTask(p.id.Task) || c.vms[p.vm.ID] != p.vm || p.vm.runs[p.id] != nil {
			continue
		}
		var t *task
		if !w.state.Phase().Final() {
			t = c.taskOf(w, p.id.Task)
		}
		if t == nil {
			t = placeholderTask(w, p.id.Task)
		}
		r := c.newRun(t, p.vm, p.id.Number, now)
		r.state = running
		r.fence = 0
		r.maybeStoppingUntil = now.Add(c.config.Stop + stopReportMargin)
	}
	c.presumed = nil
}

// closed reports whether a VM of the pool has not answered the new owner yet, so that
// tasks of older jobs may still run there. It removes gates whose time is over.
func (c *Core) closed(pool string, now time.Time) bool {
	for id, g := range c.gates {
		if now.After(g.until) {
			c.config.Log.Warn("VM did not answer the new owner before its runs lapsed; its pool stops waiting for it", "vm", id)
			delete(c.gates, id)
			continue
		}
		if g.pool == pool {
			return true
		}
	}
	return false
}
