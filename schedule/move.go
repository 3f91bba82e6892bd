package schedule

import (
	"cmp"
	"slices"
	"time"

	"almondcove/job"
)

// The following of demand with machines. It answers loads in which pools ask by
// turns for several times their mean, while others ask for little.
const (
	// headroom is how much more room than its tasks need a pool is given.
	headroom = 1.05
	// parkAfter is how long a VM has to be idle in a pool that does not need it
	// before its machine is switched off.
	parkAfter = 400 * time.Millisecond
	// wantFalls is the time in which a pool's want falls to a third of its peak, as
	// far as giving VMs away goes: demand swings from one job to the next.
	wantFalls = 1500 * time.Millisecond
	// leastVMs is the number of VMs that stay in a pool that asks for nothing.
	leastVMs = 1
)

// move is one machine on its way to another pool.
type move struct {
	machineOrder
	to       string
	capacity job.Resources
	// done is when the platform accepted the order; zero means not yet.
	done time.Time
}

// planMoves moves machines of idle VMs to the pools that lack room, first those
// of other pools, then those that are switched off; and switches off what stays idle.
func (c *Core) planMoves(now time.Time) {
	c.trackMoves(now)
	if len(c.machines) == 0 {
		c.outdated = c.listed.IsZero()
		return
	}
	loads := c.loads(now)
	if now.Sub(c.told) >= tellEvery {
		c.told = now
		c.tell(loads)
	}
	c.outdated = now.Sub(c.listed) > machinesFresh && c.wantsMoves(loads, now)
	if now.Sub(c.listed) > machinesFresh {
		return
	}
	c.feed(loads, now)
	c.park(loads, now)
}

// machinesFresh bounds the age of the list of machines by which moves are planned.
const machinesFresh = 2500 * time.Millisecond

// wantsMoves reports whether a pool lacks room, or could do without a VM.
func (c *Core) wantsMoves(loads []*load, now time.Time) bool {
	return slices.ContainsFunc(loads, func(l *load) bool {
		return l.short() || slices.ContainsFunc(l.idle, func(v *vm) bool { return l.parks(v, now) })
	})
}

// parks reports whether the machine of an idle VM is to be switched off.
func (l *load) parks(v *vm, now time.Time) bool {
	return l.missing() <= 0 && !v.idleSince.IsZero() && now.Sub(v.idleSince) >= parkAfter && l.spares(v)
}

// trackMoves follows the machines that are on their way.
func (c *Core) trackMoves(now time.Time) {
	for name, m := range c.moves {
		at, there := c.machines[name]
		switch {
		case !there:
			c.endMove(name)
		case m.ordered.IsZero():
			c.emptyForMove(name, m, now)
		case !m.done.IsZero():
			if at.State == Up && at.Pool == m.to && c.listed.After(m.done) && now.Sub(m.done) > c.config.Move {
				c.endMove(name)
			}
		case m.refused(at, c.listed):
			c.endMove(name)
		case m.overdue(now):
			m.ordered = now
			c.actions = append(c.actions, Move{Machine: name, Pool: m.to})
		}
	}
}

// emptyForMove orders the move of a machine once its VM runs nothing.
func (c *Core) emptyForMove(name string, m *move, now time.Time) {
	v := c.vms[m.vm]
	switch {
	case v == nil || v.silent || now.Sub(m.since) > emptyWithin:
		c.endMove(name)
	case len(v.runs) == 0:
		m.ordered = now
		c.actions = append(c.actions, Move{Machine: name, Pool: m.to})
	}
}

func (c *Core) endMove(name string) {
	c.keep(c.moves[name].vm, false)
	delete(c.moves, name)
}

// Moved takes the result of an order to move a machine.
func (c *Core) Moved(a Move, r MachineResult, now time.Time) {
	c.config.Log.Info("move ordered", "machine", a.Machine, "pool", a.Pool, "result", r)
	m := c.moves[a.Machine]
	if m == nil || m.to != a.Pool {
		return
	}
	if m.accepted(r, now) {
		m.done = now
		c.depart(m.vm, now)
	}
}

// feed moves machines to the pools that lack room, the most urgent first. Those
// that lack it only for jobs which are late anyway get what nobody else needs.
func (c *Core) feed(loads []*load, now time.Time) {
	for _, l := range shortOf(loads) {
		for l.short() {
			m, ok := c.source(l, loads)
			if ok {
				c.moveTo(m, l, now)
				continue
			}
			if l.missing() < emptyFor || !c.emptyOne(l, loads, now) {
				break
			}
		}
	}
	for _, l := range loads {
		l.want = l.want.Plus(l.missed)
		for l.missing() > 0 {
			m, ok := c.source(l, loads)
			if !ok {
				return
			}
			c.moveTo(m, l, now)
		}
	}
}

// shortOf returns the pools that lack room, the most urgent first.
func shortOf(loads []*load) []*load {
	out := slices.DeleteFunc(slices.Clone(loads), func(l *load) bool { return !l.short() })
	slices.SortStableFunc(out, func(a, b *load) int {
		if a.urgent != b.urgent {
			if a.urgent {
				return -1
			}
			return 1
		}
		return cmp.Compare(b.missing(), a.missing())
	})
	return out
}

const (
	// emptyWithin bounds the time in which a VM that is to move ends its tasks.
	emptyWithin = 2500 * time.Millisecond
	// emptyFor is the room, in thousandths of a core, from which a pool that lacks
	// it has VMs of others emptied.
	emptyFor = 4000
)

// emptyOne begins to empty a VM of a pool that has more than it needs in time.
func (c *Core) emptyOne(to *load, loads []*load, now time.Time) bool {
	v, m, from := c.donor(to, loads, func(l *load) *[]*vm { return &l.full })
	if v == nil {
		return false
	}
	to.expect(v.Capacity)
	c.beginMove(m, to.pool.name, v.Capacity, now)
	c.config.Log.Info("machine to move", "machine", m.Name, "from", from.pool.name, "to", to.pool.name,
		"vm", v.ID, "runs", len(v.runs))
	return true
}

// source returns the machine that another pool misses least.
func (c *Core) source(to *load, loads []*load) (Machine, bool) {
	if v, m, _ := c.donor(to, loads, func(l *load) *[]*vm { return &l.idle }); v != nil {
		return m, true
	}
	for _, name := range c.names {
		m := c.machines[name]
		if m.Pool == c.view.Spare && m.State == Up && !c.takenElsewhere(name) && !c.view.Out[m.Centre] {
			return m, true
		}
	}
	return Machine{}, false
}

// donor takes the first VM with its machine that another pool can do without out
// of the list that of names. It returns nil when there is none.
func (c *Core) donor(to *load, loads []*load, of func(*load) *[]*vm) (*vm, Machine, *load) {
	for _, l := range loads {
		if l == to || l.short() {
			continue
		}
		list := of(l)
		for i, v := range *list {
			m, ok := c.machineOf(v.ID)
			if !ok || !l.spares(v) {
				continue
			}
			*list = slices.Delete(*list, i, i+1)
			l.lose(v)
			return v, m, l
		}
	}
	return nil, Machine{}, nil
}

func (c *Core) moveTo(m Machine, l *load, now time.Time) {
	l.expect(m.Capacity)
	c.orderMove(m, l.pool.name, now)
}

func (c *Core) orderMove(m Machine, to string, now time.Time) {
	c.beginMove(m, to, m.Capacity, now).ordered = now
	c.actions = append(c.actions, Move{Machine: m.Name, Pool: to})
	c.config.Log.Info("machine moves", "machine", m.Name, "from", m.Pool, "to", to, "vm", m.VM)
}

// beginMove notes that a machine is to move, and keeps its VM free of new tasks.
func (c *Core) beginMove(m Machine, to string, capacity job.Resources, now time.Time) *move {
	out := &move{machineOrder: machineOrder{since: now, vm: m.VM}, to: to, capacity: capacity}
	c.moves[m.Name] = out
	c.keep(m.VM, true)
	return out
}

// park switches off the machines of VMs that stay idle.
func (c *Core) park(loads []*load, now time.Time) {
	if c.view.Spare == "" {
		return
	}
	for _, l := range loads {
		for _, v := range l.idle {
			m, ok := c.machineOf(v.ID)
			if !ok || !l.parks(v, now) {
				continue
			}
			l.lose(v)
			c.orderMove(m, c.view.Spare, now)
		}
	}
}
