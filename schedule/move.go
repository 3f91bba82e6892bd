package schedule

import (
	"cmp"
	"slices"
	"time"

	"almondcove/job"
)

// The parameters for moving machines between pools as demand changes. They suit loads in
// which one pool after another needs several times its mean demand, while the others
// need little.
const (
	// headroom is the ratio of a pool's target supply to its demand.
	headroom = 1.05
	// powerOffAfter is how long a VM has to be idle in a pool that does not need it
	// before its machine is switched off.
	powerOffAfter = 400 * time.Millisecond
	// demandSettleTime is how long after jobs were refused idle VMs say nothing about the
	// demand, because refused callers come back only after a while.
	demandSettleTime = 3 * time.Second
	// minPoolVMs is the least number of VMs that stay in a pool, even without demand.
	minPoolVMs = 1
)

// move tracks a machine on its way to another pool.
type move struct {
	machineOrder
	toPool   string
	capacity job.Resources
	// acceptedAt is when the platform accepted the order; zero means that it has not.
	acceptedAt time.Time
}

// planMoves moves machines to the pools that lack room, first those of idle VMs in
// other pools, then those that are switched off. It switches off machines whose VMs
// stay idle.
func (c *Core) planMoves(now time.Time) {
	c.trackMoves(now)
	if len(c.machines) == 0 {
		c.machinesStale = c.machinesListedAt.IsZero()
		return
	}
	loads := c.loads(now)
	if now.Sub(c.lastLoadLog) >= loadLogInterval {
		c.lastLoadLog = now
		c.logLoads(loads, now)
	}
	c.machinesStale = now.Sub(c.machinesListedAt) > machineListMaxAge && c.needsMoves(loads, now)
	if now.Sub(c.machinesListedAt) > machineListMaxAge {
		return
	}
	c.moveToShortPools(loads, now)
	c.powerOffIdle(loads, now)
}

// machineListMaxAge is the greatest age of the list of machines by which moves are
// planned.
const machineListMaxAge = 2500 * time.Millisecond

// needsMoves reports whether a pool lacks room, or has a VM whose machine is to be
// switched off.
func (c *Core) needsMoves(loads []*poolLoad, now time.Time) bool {
	return slices.ContainsFunc(loads, func(l *poolLoad) bool {
		return l.lacksRoom() || c.demandSettled(now) && slices.ContainsFunc(l.idle, func(v *vm) bool { return l.powersOff(v, now) })
	})
}

// JobsRefused records that new jobs are refused now, for reasons other than the load of the
// pools. Machines are not switched off for being idle until callers have had time to return.
func (c *Core) JobsRefused(now time.Time) { c.lastRefusal = now }

// demandSettled reports whether VMs are idle for want of jobs.
func (c *Core) demandSettled(now time.Time) bool { return now.Sub(c.lastRefusal) >= demandSettleTime }

// powersOff reports whether the machine of an idle VM is to be switched off.
func (l *poolLoad) powersOff(v *vm, now time.Time) bool {
	return l.cpuShortfall() <= 0 && !v.idleSince.IsZero() && now.Sub(v.idleSince) >= powerOffAfter && l.canSpare(v, nil)
}

// trackMoves advances the moves in progress, and ends those that are complete, that the
// platform has rejected, or whose machine has gone down or runs another VM before the order
// was accepted.
func (c *Core) trackMoves(now time.Time) {
	for name, m := range c.moves {
		machine, listed := c.machines[name]
		switch {
		case !listed:
			c.endMove(name)
		case m.unanswered:
		case !m.acceptedAt.IsZero():
			if machine.State == Up && machine.Pool == m.toPool && c.machinesListedAt.After(m.acceptedAt) && now.Sub(m.acceptedAt) > c.config.MoveTime {
				c.endMove(name)
			}
		case m.outcomeUnknown:
			c.trackUncertainMove(machine, m, now)
		case machine.State != Up, machine.VM != m.vm, m.rejected(machine, c.machinesListedAt):
			c.endMove(name)
		case m.orderedAt.IsZero():
			c.drainForMove(name, m, now)
		case m.retryDue(now) && c.machineIdle(machine, &m.machineOrder, now):
			c.sendMove(name, m, now)
		}
	}
}

// trackUncertainMove advances a move whose order may or may not have been carried out. It
// repeats the order once nothing runs on the machine, and ends the move if the list of
// machines shows that it was carried out.
func (c *Core) trackUncertainMove(machine Machine, m *move, now time.Time) {
	moved := machine.Pool == m.toPool && machine.State == Up && c.machinesListedAt.After(m.orderedAt)
	switch {
	case moved:
		c.endMove(machine.Name)
	case !m.retryDue(now):
	case machine.State != Up:
		c.sendMove(machine.Name, m, now)
	default:
		c.followMachine(machine, &m.machineOrder, now)
		if c.machineIdle(machine, &m.machineOrder, now) {
			c.sendMove(machine.Name, m, now)
		}
	}
}

// drainForMove orders the move of a machine once its VM runs nothing. It abandons the
// move if the VM is gone or silent, or is not empty within [drainForMoveTimeout].
func (c *Core) drainForMove(name string, m *move, now time.Time) {
	v := c.vms[m.vm]
	switch {
	case v == nil || v.silent:
		c.endMove(name)
	case now.Sub(m.chosenAt) > drainForMoveTimeout && len(v.runs) > 0:
		v.drainAbandonedAt = now
		c.endMove(name)
	case len(v.runs) == 0:
		c.sendMove(name, m, now)
	}
}

// endMove stops tracking the move of a machine and lets its VM take tasks again.
func (c *Core) endMove(name string) {
	c.setCordoned(c.moves[name].vm, false)
	delete(c.moves, name)
}

// Moved handles the result of a [Move] order.
func (c *Core) Moved(a Move, r MachineResult, now time.Time) {
	c.config.Log.Info("machine move answered", "machine", a.Machine, "pool", a.Pool, "result", r)
	m := c.moves[a.Machine]
	if m == nil || m.toPool != a.Pool {
		return
	}
	if m.recordResult(r, now) {
		m.acceptedAt = now
		c.retireVM(m.vm, now)
	}
}

// moveToShortPools moves machines to the pools that lack room, the most urgent pool
// first. If no machine can move at once and a pool lacks many processors, it drains VMs
// of other pools. The demand of jobs that can no longer meet their objective comes last,
// and gets only machines that no other pool needs.
func (c *Core) moveToShortPools(loads []*poolLoad, now time.Time) {
	short := shortPools(loads)
	if len(short) > 0 {
		c.estimateDrains(loads, now)
	}
	for _, l := range short {
		for l.lacksRoom() {
			m, ok := c.sourceMachine(l, loads)
			if ok {
				c.moveToPool(m, l, now)
				continue
			}
			if l.cpuShortfall() < drainShortfall || !c.drainDonor(l, loads, now) {
				break
			}
		}
	}
	for _, l := range loads {
		l.demand = l.demand.Plus(l.lateDemand)
		for l.cpuShortfall() > 0 {
			m, ok := c.sourceMachine(l, loads)
			if !ok {
				return
			}
			c.moveToPool(m, l, now)
		}
	}
}

// shortPools returns the pools that lack room: first those with urgent tasks, among
// these the ones that lack the most processors first.
func shortPools(loads []*poolLoad) []*poolLoad {
	out := slices.DeleteFunc(slices.Clone(loads), func(l *poolLoad) bool { return !l.lacksRoom() })
	slices.SortStableFunc(out, func(a, b *poolLoad) int {
		if a.urgent != b.urgent {
			if a.urgent {
				return -1
			}
			return 1
		}
		return cmp.Compare(b.cpuShortfall(), a.cpuShortfall())
	})
	return out
}

// sourceMachine returns a machine that can move at once: that of the longest idle VM
// that another pool can spare, or else one that is switched off.
func (c *Core) sourceMachine(to *poolLoad, loads []*poolLoad) (Machine, bool) {
	if m, ok := c.idleDonor(to, loads); ok {
		return m, true
	}
	for _, name := range c.machineNames {
		m := c.machines[name]
		if m.Pool == c.view.Spare && m.State == Up && !c.isReserved(name) && !c.view.CentresOut[m.Centre] {
			return m, true
		}
	}
	return Machine{}, false
}

// idleDonor returns the machine of an idle VM that another pool can spare, and takes it from
// that pool.
func (c *Core) idleDonor(to *poolLoad, loads []*poolLoad) (Machine, bool) {
	for _, l := range loads {
		if l == to || l.lacksRoom() {
			continue
		}
		for i, v := range l.idle {
			m, ok := c.movableMachine(v.ID)
			if !ok || !l.canSpare(v, to) {
				continue
			}
			l.idle = slices.Delete(l.idle, i, i+1)
			l.removeVM(v)
			return m, true
		}
	}
	return Machine{}, false
}

func (c *Core) moveToPool(m Machine, l *poolLoad, now time.Time) {
	l.addIncoming(m.Capacity)
	c.orderMove(m, l.pool.name, now)
}

func (c *Core) orderMove(m Machine, toPool string, now time.Time) {
	c.sendMove(m.Name, c.beginMove(m, toPool, m.Capacity, now), now)
	c.config.Log.Info("machine move ordered", "machine", m.Name, "from", m.Pool, "to", toPool, "vm", m.VM)
}

// sendMove orders a move, or repeats the order.
func (c *Core) sendMove(machine string, m *move, now time.Time) {
	m.orderedAt, m.unanswered = now, true
	c.logMachineOrder(machine, m.machineOrder, "move", now)
	c.machineOrders[machine] = now
	c.actions = append(c.actions, Move{Machine: machine, Pool: m.toPool})
}

// beginMove records that a machine is to move, and keeps new tasks off its VM.
func (c *Core) beginMove(m Machine, toPool string, capacity job.Resources, now time.Time) *move {
	begun := &move{machineOrder: machineOrder{chosenAt: now, vm: m.VM}, toPool: toPool, capacity: capacity}
	c.moves[m.Name] = begun
	c.setCordoned(m.VM, true)
	return begun
}

// powerOffIdle switches off the machines of idle VMs by moving them to the spare pool,
// if one is configured.
func (c *Core) powerOffIdle(loads []*poolLoad, now time.Time) {
	if c.view.Spare == "" || !c.demandSettled(now) {
		return
	}
	for _, l := range loads {
		for _, v := range l.idle {
			m, ok := c.movableMachine(v.ID)
			if !ok || !l.powersOff(v, now) {
				continue
			}
			l.removeVM(v)
			c.orderMove(m, c.view.Spare, now)
		}
	}
}
