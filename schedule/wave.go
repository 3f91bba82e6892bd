package schedule

import (
	"cmp"
	"time"
)

// The limits and costs of maintenance planning.
const (
	// waveReserveFraction is the fraction of a wave's time limit that is kept in reserve
	// when drain timeouts are set.
	waveReserveFraction = 0.25
	// maxDrainTimeout bounds the time that the VM of a machine selected for maintenance
	// has to finish its tasks.
	maxDrainTimeout = 2500 * time.Millisecond
	// maintenanceDueCost is the placement cost of a VM whose machine is due for
	// maintenance: a task placed there would soon be evicted. For a service task, which
	// certainly outlasts the wave, maintenanceDueServiceCost exceeds what any other VM costs
	// that is idle or has failed.
	maintenanceDueCost        = 0.4
	maintenanceDueServiceCost = 2.0
)

// wave tracks the progress of one maintenance wave.
type wave struct {
	Wave
	// firstSeen is when this owner first saw the wave.
	firstSeen time.Time
	// maintenanceBegun holds the machines whose maintenance has begun or is over, and
	// inProgress those that this owner is draining or has under maintenance.
	maintenanceBegun map[string]bool
	inProgress       map[string]*machineMaintenance
	// begunByPart lists the machines in maintenanceBegun by the part of the record of the fleet
	// that holds them.
	begunByPart [FleetParts][]string
}

// addBegun notes that the maintenance of a machine has begun.
func (w *wave) addBegun(machine string) {
	if w.maintenanceBegun[machine] {
		return
	}
	w.maintenanceBegun[machine] = true
	n := partOf(machine)
	w.begunByPart[n] = append(w.begunByPart[n], machine)
}

// machineMaintenance is the maintenance of one machine, from the drain of its VM
// until the machine is back in service.
type machineMaintenance struct {
	machineOrder
}

// setWaves replaces the requested waves. Those that were requested before keep their
// progress.
func (c *Core) setWaves(waves []Wave, now time.Time) {
	requested := make(map[int64]bool)
	for _, w := range waves {
		requested[w.Number] = true
		if known := c.waves[w.Number]; known != nil {
			known.Wave = w
			continue
		}
		added := &wave{Wave: w, firstSeen: now, maintenanceBegun: make(map[string]bool), inProgress: make(map[string]*machineMaintenance)}
		for _, m := range c.restoredBegun[w.Number] {
			added.addBegun(m)
			c.placeChanged(m)
		}
		c.waves[w.Number] = added
		c.config.Log.Info("maintenance wave added", "wave", w.Number, "machines", len(w.Machines), "within", w.TimeLimit, "cap", w.Cap)
	}
	for n, w := range c.waves {
		if requested[n] {
			continue
		}
		for name := range w.inProgress {
			c.releaseMachine(w, name)
		}
		delete(c.waves, n)
	}
}

// NeedsMachineList reports whether a current list of the machines is needed: a move is due
// and the list is too old, a wave is incomplete, a machine is on its way to another pool, or
// a VM with runs is silent and may have crashed.
func (c *Core) NeedsMachineList() bool {
	if c.machinesStale {
		return true
	}
	for _, w := range c.waves {
		if !c.waveComplete(w) {
			return true
		}
	}
	return len(c.moves) > 0 || c.machineOfVMNeeded
}

// WaveState is the state of one maintenance wave.
type WaveState struct {
	Number   int64
	Complete bool
}

// WaveStates returns the states of the requested waves, ordered by number.
func (c *Core) WaveStates() []WaveState {
	out := make([]WaveState, 0, len(c.waves))
	for _, w := range c.sortedWaves() {
		out = append(out, WaveState{w.Number, c.waveComplete(w)})
	}
	return out
}

// waveComplete reports whether the maintenance of every listed machine of a wave has begun
// and none of the machines is in progress. No wave is complete before the machines have
// been listed.
func (c *Core) waveComplete(w *wave) bool {
	if len(c.machines) == 0 {
		return false
	}
	for _, m := range w.Machines {
		if _, listed := c.machines[m]; listed && !w.maintenanceBegun[m] {
			return false
		}
	}
	return len(w.inProgress) == 0
}

// planWaves advances each wave, and selects further machines for maintenance up to
// the wave's cap.
func (c *Core) planWaves(now time.Time) {
	c.markMaintenanceDue()
	for _, w := range c.sortedWaves() {
		c.advanceWave(w, now)
		free := max(w.Cap, 1) - c.unavailable(w)
		if free <= 0 {
			continue
		}
		selected := c.orderForMaintenance(w, c.dueMachines(w), free, now)
		for _, m := range selected[:min(free, len(selected))] {
			w.inProgress[m.Name] = &machineMaintenance{machineOrder{chosenAt: now, vm: m.VM}}
			c.setCordoned(m.VM, true)
			c.config.Log.Info("machine selected for maintenance", "machine", m.Name, "wave", w.Number, "vm", m.VM)
		}
		if len(selected) > 0 {
			c.advanceWave(w, now)
		}
	}
}

// unavailable returns how many machines of a wave are in progress or under maintenance,
// including maintenance that a previous owner ordered.
func (c *Core) unavailable(w *wave) int {
	n := len(w.inProgress)
	for _, name := range w.Machines {
		if w.inProgress[name] == nil && c.machines[name].State == InMaintenance {
			n++
		}
	}
	return n
}

func (c *Core) sortedWaves() []*wave {
	return sortedValues(c.waves, func(a, b *wave) int { return cmp.Compare(a.Number, b.Number) })
}

// dueMachines returns the machines of a wave whose maintenance has not begun. It leaves out
// machines that are not up, that a wave or a move has reserved, or whose VM the platform is
// already draining.
func (c *Core) dueMachines(w *wave) []Machine {
	var out []Machine
	for _, name := range w.Machines {
		m, listed := c.machines[name]
		if !listed || w.maintenanceBegun[name] || w.inProgress[name] != nil || m.State != Up || c.isReserved(name) {
			continue
		}
		v := c.vms[m.VM]
		if v != nil && v.Draining {
			continue
		}
		out = append(out, m)
	}
	return out
}

// evictionCost returns the work that a VM would lose: the processors that its runs
// request, in thousandths of a core. Service tasks count twice.
func evictionCost(v *vm) float64 {
	if v == nil {
		return 0
	}
	sum := 0.0
	for _, r := range v.runs {
		sum += float64(r.charged.CPU)
		if r.task.stage.step.Service {
			sum += float64(r.charged.CPU)
		}
	}
	return sum
}

// advanceWave drains the machines in progress, orders their maintenance once they are
// drained, and releases them when they are up again, or if they go down before the order.
func (c *Core) advanceWave(w *wave, now time.Time) {
	for name, mm := range w.inProgress {
		m, listed := c.machines[name]
		due := mm.orderedAt.IsZero() || mm.retryDue(now)
		switch {
		case !listed:
			c.releaseMachine(w, name)
		case w.maintenanceBegun[name]:
			if m.State == Up && c.machinesListedAt.Sub(mm.orderedAt) > c.config.MaintenanceTime {
				c.releaseMachine(w, name)
			}
		case mm.unanswered:
		case m.State == InMaintenance && mm.outcomeUnknown:
			c.maintenanceBegan(w, mm, name, now)
		case m.State != Up && !mm.outcomeUnknown, mm.rejected(m, c.machinesListedAt):
			// The machine is down or busy for another reason, such as its VM leaving.
			c.releaseMachine(w, name)
		case m.State != Up:
			if due {
				c.orderMaintenance(w, mm, name, now)
			}
		case due:
			c.followMachine(m, &mm.machineOrder, now)
			if c.drained(m, mm, w, now) {
				c.orderMaintenance(w, mm, name, now)
			}
		}
	}
}

// drained continues to drain a machine in progress, and reports whether nothing can run
// there any more.
func (c *Core) drained(m Machine, mm *machineMaintenance, w *wave, now time.Time) bool {
	if v := c.vms[mm.vm]; v != nil && !c.drain(v, mm, w, now) {
		return false
	}
	return c.machineIdle(m, &mm.machineOrder, now)
}

// releaseMachine ends a wave's progress on a machine and lets its VM take tasks again.
func (c *Core) releaseMachine(w *wave, name string) {
	c.setCordoned(w.inProgress[name].vm, false)
	delete(w.inProgress, name)
}

func (c *Core) orderMaintenance(w *wave, mm *machineMaintenance, name string, now time.Time) {
	mm.orderedAt, mm.unanswered = now, true
	c.logMachineOrder(name, mm.machineOrder, "maintenance", now)
	c.machineOrders[name] = now
	c.actions = append(c.actions, Maintain{Machine: name, Wave: w.Number})
}

// drain stops the runs on a VM and reports whether the VM is empty. It stops a service task
// only as far as the availability budget of its step allows, and only if another VM has
// room for the task or the wave is late. It stops other tasks at once if they write
// checkpoints, and after the drain timeout if they don't.
func (c *Core) drain(v *vm, mm *machineMaintenance, w *wave, now time.Time) bool {
	drainTimeout := c.drainTimeout(w)
	late := c.waveLate(w, now)
	for _, r := range v.sortedRuns() {
		step := r.task.stage.step
		switch {
		case step.Service:
			if r.state == runRunning && c.stopAllowed(r, stopMaintenance, now) && (late || c.placeable(r.task, now)) {
				c.stopRun(r, stopMaintenance, now)
			}
		case step.WritesCheckpoints || now.Sub(mm.chosenAt) > drainTimeout:
			if r.state == runRunning {
				c.stopRun(r, stopMaintenance, now)
			}
		}
	}
	return len(v.runs) == 0
}

// forcedStopFraction is the fraction of a wave's time limit after which service tasks
// are stopped even if no other VM has room for them yet.
const forcedStopFraction = 0.6

// waveLate reports whether so much of a wave's time limit is over that it goes on at any cost.
func (c *Core) waveLate(w *wave, now time.Time) bool {
	return now.Sub(w.firstSeen) > time.Duration(forcedStopFraction*float64(w.TimeLimit))
}

// placeable reports whether a task would fit on a usable VM now, one that the advice service
// has allowed if its queue is advised.
func (c *Core) placeable(t *task, now time.Time) bool {
	v, _ := c.chooseVM(t, c.allowedVMs(t.stage, c.usableVMs(c.poolOf(t.stage.trackedJob), now)), now)
	return v != nil
}

// drainTimeout returns how long a VM of a wave may take to finish its tasks. A wave handles
// at most as many machines at once as its cap allows, so it takes several turns. Each turn
// gets an equal part of the time limit less the reserve, for the drain and the
// maintenance.
func (c *Core) drainTimeout(w *wave) time.Duration {
	turns := (len(w.Machines) + max(w.Cap, 1) - 1) / max(w.Cap, 1)
	perTurn := time.Duration(float64(w.TimeLimit) * (1 - waveReserveFraction) / float64(max(turns, 1)))
	return min(max(perTurn-maintenanceEstimate, 0), maxDrainTimeout)
}

// maintenanceEstimate is the assumed time for which maintenance takes a machine out of
// service.
const maintenanceEstimate = 2500 * time.Millisecond

// maintenanceCost returns the placement cost that is added to a VM whose machine is due
// for maintenance.
func (v *vm) maintenanceCost(service bool) float64 {
	switch {
	case !v.maintenanceDue:
		return 0
	case service:
		return maintenanceDueServiceCost
	}
	return maintenanceDueCost
}

// markMaintenanceDue marks the VMs on machines of waves whose maintenance has not begun,
// so that placement avoids them.
func (c *Core) markMaintenanceDue() {
	for _, v := range c.vms {
		v.maintenanceDue = false
	}
	for _, w := range c.waves {
		for _, name := range w.Machines {
			if v := c.vms[c.machines[name].VM]; v != nil && !w.maintenanceBegun[name] {
				v.maintenanceDue = true
			}
		}
	}
}

// Maintained handles the result of a [Maintain] order.
func (c *Core) Maintained(a Maintain, r MachineResult, now time.Time) {
	c.config.Log.Info("maintenance order answered", "machine", a.Machine, "wave", a.Wave, "result", r)
	w := c.waves[a.Wave]
	if w == nil || w.inProgress[a.Machine] == nil {
		return
	}
	mm := w.inProgress[a.Machine]
	if mm.recordResult(r, now) {
		c.maintenanceBegan(w, mm, a.Machine, now)
	}
}

// maintenanceBegan records that the platform has carried out an order for maintenance.
func (c *Core) maintenanceBegan(w *wave, mm *machineMaintenance, machine string, now time.Time) {
	mm.orderedAt = now
	w.addBegun(machine)
	c.placeChanged(machine)
	c.retireVM(mm.vm, now)
}
