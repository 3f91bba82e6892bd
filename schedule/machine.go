package schedule

import (
	"maps"
	"slices"
	"time"
)

// SetMachines replaces what the platform says of its machines.
// The list was asked for at asked.
func (c *Core) SetMachines(list []Machine, asked time.Time) {
	c.listed = asked
	c.machines = make(map[string]Machine, len(list))
	c.runsOn = make(map[string]string, len(list))
	for _, m := range list {
		c.machines[m.Name] = m
		if m.VM != "" {
			c.runsOn[m.VM] = m.Name
		}
		if v := c.vms[m.VM]; v != nil {
			v.machine = m.Name
		}
	}
	c.names = slices.Sorted(maps.Keys(c.machines))
	for _, v := range c.vms {
		if m, ok := c.machines[v.machine]; ok && m.VM != v.ID {
			c.outlived(v, m, asked)
		}
	}
}

// outlived ends what ran on a VM that its machine does not run any more. Orders
// without an answer may be carried out by a VM that comes back under the same id,
// but not once the machine runs another one.
func (c *Core) outlived(v *vm, m Machine, now time.Time) {
	if !v.over {
		c.config.Log.Info("VM over", "vm", v.ID, "machine", m.Name, "state", m.State, "runs", len(v.runs), "next", m.VM)
		c.fleetChanged = true
	}
	v.over = true
	for _, r := range v.list() {
		if m.VM == "" && (r.state == sent || r.unsure) {
			continue
		}
		c.ended(r, Lapsed, "", now)
		c.fleetChanged = true
	}
}

// machineOf returns the machine on which a VM runs, if it can be moved.
func (c *Core) machineOf(id string) (Machine, bool) {
	m, ok := c.machines[c.runsOn[id]]
	return m, ok && m.State == Up && !c.takenElsewhere(m.Name)
}

func (c *Core) takenElsewhere(machine string) bool {
	for _, w := range c.waves {
		if w.taken[machine] != nil {
			return true
		}
	}
	return c.moves[machine] != nil
}

// keep sets whether a VM is kept free of new tasks.
func (c *Core) keep(id string, kept bool) {
	if v := c.vms[id]; v != nil {
		v.kept = kept
	}
}

// machineOrder is an order for a machine that may have to be given again.
type machineOrder struct {
	// vm is the id of the VM that ran on the machine.
	vm string
	// since is when the machine was chosen. Ordered is when the order was last
	// given, zero while its VM is still being emptied.
	since, ordered time.Time
	// unsure is set while an order without an answer may still be carried out.
	unsure bool
	// denied is when the platform last refused the order; zero means never.
	denied time.Time
}

// machineAgain is when an order for a machine is given once more.
const machineAgain = 1500 * time.Millisecond

// accepted takes the result of the order and reports whether it is carried out.
func (o *machineOrder) accepted(r MachineResult, now time.Time) bool {
	switch r {
	case MachineDone:
		return true
	case MachineUnanswered:
		o.unsure = true
	case MachineBusy, MachineWrong:
		o.denied = now
	case MachineRefused, MachineFenced:
	}
	return false
}

// refused reports whether the machine is up, by a list that was asked for at
// listed, after the platform has refused the order for good.
func (o *machineOrder) refused(at Machine, listed time.Time) bool {
	return !o.denied.IsZero() && !o.unsure && listed.After(o.denied) && at.State == Up
}

// overdue reports whether the order is to be given once more.
func (o *machineOrder) overdue(now time.Time) bool { return now.Sub(o.ordered) > machineAgain }

// MachineResult is what came of an order for a machine.
type MachineResult int

// The results of orders for machines.
const (
	MachineDone MachineResult = iota
	MachineBusy
	MachineWrong
	MachineFenced
	MachineUnanswered
	MachineRefused
)

var machineResults = [...]string{"done", "busy", "wrong", "fenced", "unanswered", "refused"}

func (r MachineResult) String() string { return machineResults[r] }
