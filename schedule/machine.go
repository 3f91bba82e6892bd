package schedule

import (
	"maps"
	"slices"
	"time"
)

// SetMachines replaces the platform's list of machines, which was requested at
// requestedAt.
func (c *Core) SetMachines(list []Machine, requestedAt time.Time) {
	c.machinesListedAt = requestedAt
	c.machines = make(map[string]Machine, len(list))
	c.machineByVM = make(map[string]string, len(list))
	for _, m := range list {
		c.machines[m.Name] = m
		if m.VM != "" {
			c.machineByVM[m.VM] = m.Name
		}
		if v := c.vms[m.VM]; v != nil {
			v.lastMachine = m.Name
		}
	}
	c.machineNames = slices.Sorted(maps.Keys(c.machines))
	for _, v := range c.vms {
		m, ok := c.machines[v.lastMachine]
		switch {
		case ok && m.VM != v.ID:
			c.endVMWithoutMachine(v, m, requestedAt)
		case v.lastMachine == "" && len(list) > 0 && v.silent && requestedAt.After(v.firstMissedAt):
			// No machine runs the VM, and which one has run it is not known.
			c.endVMWithoutMachine(v, Machine{State: Down}, requestedAt)
		}
	}
}

// endVMWithoutMachine ends the runs on a VM that its machine no longer runs. While the
// machine runs no VM, the VM may come back under the same id and still carry out start
// orders without an answer, so the runs of these orders are kept. Once the machine runs
// another VM, they end too, and nothing that a previous owner has started there is left.
func (c *Core) endVMWithoutMachine(v *vm, m Machine, now time.Time) {
	if !v.terminated {
		c.config.Log.Info("VM ended because its machine no longer runs it", "vm", v.ID, "machine", m.Name, "state", m.State, "runs", len(v.runs), "next", m.VM)
		c.placeChanged(v.ID)
	}
	v.terminated = true
	if m.VM != "" {
		delete(c.gates, v.ID)
	}
	if m.State != Moving && m.State != InMaintenance && !c.isReserved(m.Name) {
		c.recordCrash(v, now)
	}
	for _, r := range v.sortedRuns() {
		if m.VM == "" && (r.state == runSent || r.startUnanswered) {
			continue
		}
		c.endRun(r, Lapsed, "", now)
		c.placeChanged(v.ID)
	}
}

// movableMachine returns the machine on which a VM runs, and whether the machine may be
// moved: it is up, and neither a wave nor a move has reserved it.
func (c *Core) movableMachine(vmID string) (Machine, bool) {
	m, ok := c.machines[c.machineByVM[vmID]]
	return m, ok && m.State == Up && !c.isReserved(m.Name)
}

// mayOrderMachines reports whether this owner may order moves and maintenance, as far as
// orders of the previous owner are concerned that may still be on their way.
func (c *Core) mayOrderMachines(now time.Time) bool {
	maps.DeleteFunc(c.blockedMachines, func(_ string, until time.Time) bool { return !now.Before(until) })
	maps.DeleteFunc(c.machineOrders, func(_ string, at time.Time) bool { return now.Sub(at) > c.config.MachineOrderGap })
	return !c.handOverRecorded && !now.Before(c.machineOrdersFrom)
}

// blockMachines keeps this owner from giving orders for machines too soon after the
// previous owner, whose record of the fleet was made before recordedBefore. An owner that
// has left has recorded for which machines it had given orders.
func (c *Core) blockMachines(f Fleet, recordedBefore time.Time) {
	if !f.HandedOver {
		c.machineOrdersFrom = recordedBefore.Add(c.config.LateMachineOrders)
		return
	}
	c.handOverRecorded = true
	for _, name := range f.Ordered {
		c.blockedMachines[name] = recordedBefore.Add(c.config.MachineOrderGap)
	}
}

// isReserved reports whether a wave or a move is in progress on a machine, or the previous
// owner may have given an order for it.
func (c *Core) isReserved(machine string) bool {
	if _, blocked := c.blockedMachines[machine]; blocked {
		return true
	}
	for _, w := range c.waves {
		if w.inProgress[machine] != nil {
			return true
		}
	}
	return c.moves[machine] != nil
}

// setCordoned sets whether new tasks are kept off a VM, which need not be known yet.
func (c *Core) setCordoned(vmID string, cordoned bool) {
	if cordoned {
		c.cordoned[vmID] = true
	} else {
		delete(c.cordoned, vmID)
	}
}

// followMachine lets an order that is still to be given apply to the VM that the machine
// runs by now.
func (c *Core) followMachine(m Machine, o *machineOrder, now time.Time) {
	if m.VM == o.vm {
		return
	}
	c.config.Log.Info("machine to be emptied runs another VM", "machine", m.Name, "vm", o.vm, "next", m.VM)
	c.setCordoned(o.vm, false)
	o.vm, o.chosenAt = m.VM, now
	c.setCordoned(o.vm, true)
}

// machineIdle reports whether an order for a machine would end no run. A VM that answers
// tells what it runs, and that it still runs on the machine. Otherwise the list of machines
// has to show that no other VM has started there, and no run may exist on a VM whose machine
// is not known.
func (c *Core) machineIdle(m Machine, o *machineOrder, now time.Time) bool {
	v := c.vms[o.vm]
	switch {
	case m.VM != o.vm:
		return false
	case v != nil && v.attached && !v.silent:
		return len(v.runs) == 0
	case m.VM == "" && m.Pool == c.view.Spare:
		return true
	case v == nil && now.Sub(o.chosenAt) <= unknownVMWait:
		return false
	case v != nil && (len(v.runs) > 0 || c.gates[v.ID] != nil || !now.After(v.leaseEnd)):
		return false
	}
	return now.Sub(c.machinesListedAt) <= machineListMaxAge && !c.hasUnlocatedRuns(m)
}

// unknownVMWait is how long an order for a machine waits for its VM to be listed. The list
// of VMs may lag behind that of the machines.
const unknownVMWait = 2 * time.Second

// hasUnlocatedRuns reports whether a VM that may run on the machine, since it is in the same
// pool and data centre and its own machine is not known yet, has runs.
func (c *Core) hasUnlocatedRuns(m Machine) bool {
	for _, v := range c.vms {
		if v.lastMachine == "" && len(v.runs) > 0 && v.Pool == m.Pool && v.Centre == m.Centre {
			return true
		}
	}
	return false
}

// machineOrder is the state of an order for a machine, either a move or maintenance. The
// order is retried until the platform accepts it or has rejected it for good.
type machineOrder struct {
	// vm is the id of the VM that ran on the machine.
	vm string
	// chosenAt is when the machine was chosen, and orderedAt when the order was last
	// given or accepted. orderedAt is zero while the VM is still being drained.
	chosenAt, orderedAt time.Time
	// unanswered is set from the order until its result.
	unanswered bool
	// outcomeUnknown is set once a try of the order got no answer, so that it may still be
	// carried out.
	outcomeUnknown bool
	// rejectedAt is when the platform last rejected the order; zero means never.
	rejectedAt time.Time
}

// machineOrderRetry is the time after which an order for a machine is retried.
const machineOrderRetry = 1500 * time.Millisecond

// recordResult records the result of the order and reports whether the platform has
// accepted it.
func (o *machineOrder) recordResult(r MachineResult, now time.Time) bool {
	o.unanswered = false
	switch r {
	case MachineDone:
		return true
	case MachineUnanswered:
		o.outcomeUnknown = true
	case MachineBusy, MachineWrong:
		o.rejectedAt = now
	case MachineRefused, MachineFenced:
	}
	return false
}

// rejected reports whether the order has failed for good: the platform rejected it, no
// earlier try can still be carried out, and the list of machines, which was requested at
// listedAt after the rejection, shows the machine as up.
func (o *machineOrder) rejected(machine Machine, listedAt time.Time) bool {
	return !o.rejectedAt.IsZero() && !o.outcomeUnknown && listedAt.After(o.rejectedAt) && machine.State == Up
}

// logMachineOrder logs an order that ends whatever runs on a machine, if the machine is not
// known to be empty: the list shows another VM on it than the one that was emptied, or that
// VM has runs.
func (c *Core) logMachineOrder(name string, o machineOrder, order string, now time.Time) {
	m := c.machines[name]
	runs := 0
	for _, id := range slices.Compact([]string{o.vm, m.VM}) {
		if v := c.vms[id]; v != nil {
			runs += len(v.runs)
		}
	}
	if m.VM == o.vm && runs == 0 {
		return
	}
	c.config.Log.Warn("order for a machine that may run tasks", "machine", name, "order", order, "vm", o.vm, "listed", m.VM,
		"state", m.State, "pool", m.Pool, "age", now.Sub(c.machinesListedAt).Milliseconds(), "runs", runs)
}

func (o *machineOrder) retryDue(now time.Time) bool { return now.Sub(o.orderedAt) > machineOrderRetry }

// MachineResult is the result of an order for a machine.
type MachineResult int

// The results of orders for machines.
const (
	// MachineDone is an order that the platform accepted.
	MachineDone MachineResult = iota
	// MachineBusy is an order that was rejected because the machine is busy.
	MachineBusy
	// MachineWrong is an order that was rejected as invalid, for example because of
	// its wave.
	MachineWrong
	// MachineFenced is an order that was rejected because of its fencing token.
	MachineFenced
	// MachineUnanswered is an order without an answer, which may still be carried out.
	MachineUnanswered
	// MachineRefused is an order that did not reach the platform, or that the platform
	// refused for another reason.
	MachineRefused
)

var machineResultNames = [...]string{"done", "busy", "wrong", "fenced", "unanswered", "refused"}

func (r MachineResult) String() string { return machineResultNames[r] }
