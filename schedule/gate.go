package schedule

import (
	"cmp"
	"time"
)

// gate blocks starts for jobs of earlier epochs, because a VM may still run their tasks. It
// lasts until that VM has answered the new owner, or until all leases that the VM was granted
// have expired.
type gate struct {
	// pools holds the pools whose tasks may run on the VM. The gate concerns the jobs that
	// may have been started in one of them, wherever their tasks would start now.
	pools poolSet
	until time.Time
}

// RestoreFleet restores the fleet that the previous owner recorded. A VM whose runs the
// record lists exactly is restored as silent with these runs. Every other VM gets a gate
// until it has answered, or until all leases that it was granted have expired.
//
// The record was made before recordedBefore, and maxLease is the longest time that a
// VM may continue its runs from then on.
func (c *Core) RestoreFleet(f Fleet, recordedBefore time.Time, maxLease time.Duration) {
	c.blockMachines(f, recordedBefore)
	c.fleetChanged = c.fleetChanged || f.HandedOver || len(f.VMs) > 0
	c.replacesList = f.EarlierList
	until := recordedBefore.Add(maxLease)
	c.restoredBegun = f.Begun
	for n, machines := range f.Begun {
		if w := c.waves[n]; w != nil {
			for _, m := range machines {
				w.addBegun(m)
				c.placeChanged(m)
			}
		}
	}
	for _, r := range f.Retired {
		c.retired[r.ID] = retirement{born: r.Born, at: recordedBefore.Add(min(r.Left, retiredGracePeriod) - retiredGracePeriod)}
	}
	c.restoreQueues(f.Queues, recordedBefore)
	c.restoreTeams(f.Teams, recordedBefore)
	c.restoreLearned(f.Learned, recordedBefore)
	defer c.allPlacesChanged()
	for _, place := range f.VMs {
		// The start time was read from JSON, which changes its location. Start times are
		// also compared as keys of maps.
		place.Born = place.Born.Local()
		v := c.vms[place.ID]
		if v == nil {
			v = c.addVM(place.VM)
		}
		v.lastMachine = cmp.Or(v.lastMachine, place.Machine)
		if !place.Exact {
			c.gates[place.ID] = &gate{pools: poolSetOf(place.Pools), until: until}
			continue
		}
		v.silent, v.noRenewal = true, true
		v.leaseEnd = recordedBefore.Add(min(place.Left, maxLease))
		for _, id := range place.Held {
			c.restoredRuns = append(c.restoredRuns, restoredRun{v, id})
		}
	}
}

// restoredRun is a run in the previous owner's record that is yet to be added to its task.
type restoredRun struct {
	vm *vm
	id Run
}

// restoreRuns adds the runs in the previous owner's record to their tasks and VMs, once the
// jobs have been added. A run whose task is done or whose job has ended gets a placeholder
// task.
func (c *Core) restoreRuns(now time.Time) {
	for _, restored := range c.restoredRuns {
		if c.vms[restored.vm.ID] != restored.vm || restored.vm.runs[restored.id] != nil {
			continue
		}
		tj := c.jobs[restored.id.Task.Job]
		var t *task
		if tj != nil && !tj.state.Phase().Final() {
			t = c.taskOf(tj, restored.id.Task)
		}
		if t == nil {
			t = placeholderTask(tj, restored.id.Task)
		}
		if t == nil || restored.id.Number < t.reportedNumber {
			continue
		}
		r := c.newRun(t, restored.vm, restored.id.Number, now)
		r.state, r.reported, r.fromRecord = runRunning, true, true
		// The lowest fencing token lets the next report settle whether the run exists.
		r.fence = 0
		r.maybeStoppingUntil = now.Add(c.config.MaxStopTime + stopReportMargin)
	}
	c.restoredRuns = nil
}

// gatedPools returns the pools whose tasks may run on VMs that have not answered the new owner
// yet. It removes gates that have timed out.
func (c *Core) gatedPools(now time.Time) poolSet {
	var out poolSet
	for id, g := range c.gates {
		if now.After(g.until) {
			c.config.Log.Warn("VM did not answer the new owner before its leases expired; jobs stop waiting for it", "vm", id)
			delete(c.gates, id)
			continue
		}
		out = out.union(g.pools)
	}
	return out
}

// gated reports whether tasks of a stage may run on a VM that has not answered the new owner
// yet. Its tasks wait unless the step allows copies.
func (c *Core) gated(s *stage, gatedPools poolSet) bool {
	tj := s.trackedJob
	return tj.Epoch < c.epoch && !s.step.Speculative && tj.queue.pools.overlaps(gatedPools)
}

// endGate removes the gate of a VM whose runs are known. If its record says that tasks of other
// pools may run there, it is written anew.
func (c *Core) endGate(v *vm) {
	g := c.gates[v.ID]
	if g == nil {
		return
	}
	delete(c.gates, v.ID)
	if !g.pools.equal(poolSet{names: []string{v.Pool}}) {
		c.placeChanged(v.ID)
	}
}
