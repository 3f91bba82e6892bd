package schedule

import (
	"cmp"
	"math"
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
	// moveAgain is when an order to move is given once more.
	moveAgain = 1500 * time.Millisecond
	// leastVMs is the number of VMs that stay in a pool that asks for nothing.
	leastVMs = 1
)

// move is one machine on its way to another pool.
type move struct {
	to       string
	vm       string
	capacity job.Resources
	// since is when the machine was chosen. Ordered is when the order was last
	// given, zero while its VM is still being emptied.
	since, ordered time.Time
	// done is when the platform accepted the order; zero means not yet.
	done time.Time
	// unsure is set while an order without an answer may still be carried out.
	unsure bool
	denied time.Time
}

// load is what a pool asks for and has.
type load struct {
	pool *pool
	// want is what its tasks need whose jobs can be in time, and its service tasks.
	want job.Resources
	// missed is what the waiting tasks need whose jobs can't be in time any more.
	missed job.Resources
	// full lists its VMs that run only tasks with an end, the least used first.
	full []*vm
	// lately is the want with peaks that fall off slowly.
	lately job.Resources
	// have is the room of its VMs, with those on their way.
	have job.Resources
	// vms is the number of its VMs, with those on their way.
	vms int
	// idle lists its VMs that run nothing, the longest idle first.
	idle []*vm
	// least is the number of VMs below which its tasks can't spread as they have to.
	least int
	// blocked is set when a task has found no VM for a while, though room is left
	// in sum.
	blocked bool
	// coming is the number of VMs on their way.
	coming int
	// urgent is set when tasks of the most urgent queues wait.
	urgent bool
}

// missing returns the room that the pool lacks, in processors.
func (l *load) missing() int64 {
	return int64(headroom*float64(l.want.CPU)) - l.have.CPU
}

// short reports whether the pool lacks room.
func (l *load) short() bool {
	return l.missing() > 0 || int64(headroom*float64(l.want.Memory)) > l.have.Memory ||
		l.vms < l.least || l.blocked && l.coming == 0
}

// spares reports whether the pool can do without a VM.
func (l *load) spares(v *vm) bool {
	rest := l.have.Minus(v.Capacity)
	enough := int64(headroom*float64(l.lately.CPU)) <= rest.CPU && int64(headroom*float64(l.lately.Memory)) <= rest.Memory
	return l.vms > l.least && enough && !l.blocked
}

// planMoves moves machines of idle VMs to the pools that lack room, first those
// of other pools, then those that are switched off; and switches off what stays idle.
func (c *Core) planMoves(now time.Time) {
	c.trackMoves(now)
	if len(c.machines) == 0 || now.Sub(c.listed) > machinesFresh {
		return
	}
	loads := c.loads(now)
	if now.Sub(c.told) >= tellEvery {
		c.told = now
		c.tell(loads)
	}
	c.feed(loads, now)
	c.park(loads, now)
}

// tellEvery is the time between two log lines on a pool's load.
const tellEvery = time.Second

// tell logs what each pool asks for and has.
func (c *Core) tell(loads []*load) {
	for _, l := range loads {
		services, waiting := 0, 0
		for _, v := range l.pool.vms {
			if v.serves() {
				services++
			}
		}
		for _, g := range l.pool.stages {
			if g.open {
				waiting += g.waiting
			}
		}
		c.config.Log.Info("pool", "pool", l.pool.name, "vms", l.vms, "coming", l.coming, "idle", len(l.idle),
			"services", services, "least", l.least, "waiting", waiting,
			"want", l.want.CPU/1000, "lately", l.lately.CPU/1000, "have", l.have.CPU/1000)
	}
}

// serves reports whether a service task runs on the VM.
func (v *vm) serves() bool {
	for _, r := range v.runs {
		if r.task.stage.step.Service {
			return true
		}
	}
	return false
}

// machinesFresh bounds the age of the list of machines by which moves are planned.
const machinesFresh = 2500 * time.Millisecond

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
		case !m.denied.IsZero() && !m.unsure && c.listed.After(m.denied) && at.State == Up:
			c.endMove(name)
		case now.Sub(m.ordered) > moveAgain:
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
	switch r {
	case MachineDone:
		m.done = now
		c.depart(m.vm, now)
	case MachineUnanswered:
		m.unsure = true
	case MachineBusy, MachineWrong:
		m.denied = now
	case MachineRefused, MachineFenced:
	}
}

// loads returns what each pool asks for and has.
func (c *Core) loads(now time.Time) []*load {
	var out []*load
	byName := make(map[string]*load)
	for _, p := range c.sortedPools() {
		if p.name == c.view.Spare || p.name == "" {
			continue
		}
		l := c.loadOf(p, now)
		out = append(out, l)
		byName[p.name] = l
	}
	for name, m := range c.moves {
		if l := byName[m.to]; l != nil && c.vmOf(name, m) == nil {
			l.have = l.have.Plus(m.capacity)
			l.vms++
			l.coming++
		}
	}
	return out
}

// vmOf returns the new VM of a machine that has moved, once it is listed.
func (c *Core) vmOf(name string, m *move) *vm {
	at := c.machines[name]
	if at.VM == "" || at.VM == m.vm || at.Pool != m.to {
		return nil
	}
	return c.vms[at.VM]
}

func (c *Core) loadOf(p *pool, now time.Time) *load {
	l := &load{pool: p, least: leastVMs}
	for _, g := range p.stages {
		g.rank = c.rank(g, now)
		if g.open && !g.due.After(now) {
			l.addStage(g, now)
		}
	}
	for _, v := range p.vms {
		if v.listed && !v.Draining && !v.kept && !c.view.Out[v.Centre] {
			l.addVM(v)
		}
	}
	slices.SortFunc(l.idle, func(a, b *vm) int {
		return cmp.Or(a.idleSince.Compare(b.idleSince), cmp.Compare(a.ID, b.ID))
	})
	slices.SortFunc(l.full, func(a, b *vm) int {
		return cmp.Or(cmp.Compare(a.used.CPU, b.used.CPU), cmp.Compare(a.ID, b.ID))
	})
	// Work that comes in at a steady rate occupies as many processors as it brings
	// seconds of work a second; its tasks show that only once they have piled up.
	if coming := int64(1000 * steadyShare * p.offered.rate(now)); coming > l.want.CPU {
		l.want.CPU = coming
	}
	l.lately = p.peak.follow(l.want, now)
	return l
}

// addVM adds a VM that may take tasks.
func (l *load) addVM(v *vm) {
	l.have = l.have.Plus(v.Capacity)
	l.vms++
	for _, r := range v.runs {
		if r.task.stage.rank != rankMissed {
			l.want = l.want.Plus(r.need)
		}
	}
	if !v.attached || v.silent || v.raise {
		return
	}
	switch {
	case len(v.runs) == 0:
		l.idle = append(l.idle, v)
	case !v.serves():
		l.full = append(l.full, v)
	}
}

// addStage adds the tasks of a stage that wait.
func (l *load) addStage(g *stage, now time.Time) {
	l.least = max(l.least, g.leastVMs())
	if g.waiting == 0 {
		return
	}
	need := g.need().Times(int64(g.waiting))
	if g.rank == rankMissed {
		l.missed = l.missed.Plus(need)
		return
	}
	l.want = l.want.Plus(need)
	l.urgent = l.urgent || g.rank == rankUrgent
	l.blocked = l.blocked || !g.blocked.IsZero() && now.Sub(g.blocked) > blockedFor
}

// blockedFor is how long a task finds no VM before its pool gets one more.
const blockedFor = 150 * time.Millisecond

// leastVMs returns the number of VMs on which the stage has to spread.
func (g *stage) leastVMs() int {
	if g.step.Spread == 0 {
		return 0
	}
	left := 0
	for _, t := range g.tasks {
		if !t.done {
			left++
		}
	}
	return (left + g.step.Spread - 1) / g.step.Spread
}

// steadyShare is the part of the work that comes in for which room is made ahead.
const steadyShare = 0.9

// offeredOver is the time over which the rate of incoming work is averaged.
const offeredOver = time.Second

// offered averages the work that comes in, in core-seconds a second.
type offered struct {
	sum float64
	at  time.Time
}

func (o *offered) add(work float64, now time.Time) {
	o.sum = o.rate(now) + work/offeredOver.Seconds()
	o.at = now
}

func (o *offered) rate(now time.Time) float64 {
	return o.sum * math.Exp(-now.Sub(o.at).Seconds()/offeredOver.Seconds())
}

// peak follows a want upwards at once and downwards slowly.
type peak struct {
	cpu, memory float64
	at          time.Time
}

func (p *peak) follow(want job.Resources, now time.Time) job.Resources {
	keep := math.Exp(-now.Sub(p.at).Seconds() / wantFalls.Seconds())
	p.cpu = max(float64(want.CPU), float64(want.CPU)+(p.cpu-float64(want.CPU))*keep)
	p.memory = max(float64(want.Memory), float64(want.Memory)+(p.memory-float64(want.Memory))*keep)
	p.at = now
	return job.Resources{CPU: int64(p.cpu), Memory: int64(p.memory), GPU: want.GPU}
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
	for _, l := range loads {
		if l == to || l.short() {
			continue
		}
		for i, v := range l.full {
			m, ok := c.machineOf(v.ID)
			if !ok || !l.spares(v) {
				continue
			}
			l.full = slices.Delete(l.full, i, i+1)
			l.have = l.have.Minus(v.Capacity)
			l.vms--
			to.have = to.have.Plus(v.Capacity)
			to.vms++
			to.coming++
			c.moves[m.Name] = &move{to: to.pool.name, vm: v.ID, capacity: v.Capacity, since: now}
			c.keep(v.ID, true)
			c.config.Log.Info("machine to move", "machine", m.Name, "from", l.pool.name, "to", to.pool.name,
				"vm", v.ID, "runs", len(v.runs))
			return true
		}
	}
	return false
}

// source returns the machine that another pool misses least.
func (c *Core) source(to *load, loads []*load) (Machine, bool) {
	for _, l := range loads {
		if l == to || l.short() {
			continue
		}
		for i, v := range l.idle {
			m, ok := c.machineOf(v.ID)
			if !ok || !l.spares(v) || c.due(m.Name) {
				continue
			}
			l.idle = slices.Delete(l.idle, i, i+1)
			l.have = l.have.Minus(v.Capacity)
			l.vms--
			return m, true
		}
	}
	for _, name := range c.machineNames() {
		m := c.machines[name]
		if m.Pool == c.view.Spare && m.State == Up && !c.takenElsewhere(name) && !c.due(name) && !c.view.Out[m.Centre] {
			return m, true
		}
	}
	return Machine{}, false
}

func (c *Core) machineNames() []string {
	out := make([]string, 0, len(c.machines))
	for name := range c.machines {
		out = append(out, name)
	}
	slices.Sort(out)
	return out
}

// due reports whether a machine is about to be taken for maintenance.
func (c *Core) due(name string) bool {
	for _, w := range c.waves {
		if w.taken[name] != nil {
			return true
		}
	}
	return false
}

// machineOf returns the machine on which a VM runs, if it can be moved.
func (c *Core) machineOf(id string) (Machine, bool) {
	m, ok := c.machines[c.runsOn[id]]
	return m, ok && m.State == Up && !c.takenElsewhere(m.Name)
}

func (c *Core) moveTo(m Machine, l *load, now time.Time) {
	l.coming++
	l.have = l.have.Plus(m.Capacity)
	l.vms++
	c.orderMove(m, l.pool.name, now)
}

func (c *Core) orderMove(m Machine, to string, now time.Time) {
	c.moves[m.Name] = &move{to: to, vm: m.VM, capacity: m.Capacity, since: now, ordered: now}
	c.keep(m.VM, true)
	c.actions = append(c.actions, Move{Machine: m.Name, Pool: to})
	c.config.Log.Info("machine moves", "machine", m.Name, "from", m.Pool, "to", to, "vm", m.VM)
}

// park switches off the machines of VMs that stay idle.
func (c *Core) park(loads []*load, now time.Time) {
	if c.view.Spare == "" {
		return
	}
	for _, l := range loads {
		if l.missing() > 0 {
			continue
		}
		for _, v := range l.idle {
			m, ok := c.machineOf(v.ID)
			if !ok || v.idleSince.IsZero() || now.Sub(v.idleSince) < parkAfter || !l.spares(v) {
				continue
			}
			l.have = l.have.Minus(v.Capacity)
			l.vms--
			c.orderMove(m, c.view.Spare, now)
		}
	}
}
