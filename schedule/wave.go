package schedule

import (
	"cmp"
	"slices"
	"time"
)

// The planning of maintenance.
const (
	// waveSpare is the share of a wave's time that is kept as a reserve.
	waveSpare = 0.25
	// idleWait is how long a VM chosen for maintenance may finish its tasks.
	idleWait = 2500 * time.Millisecond
	// waveAvoid is the cost of starting a task on a VM whose machine is due.
	waveAvoid = 0.4
)

// wave is the progress of one maintenance wave.
type wave struct {
	Wave
	first time.Time
	// begun holds the machines whose maintenance has begun, and taken those
	// that are being emptied or are under maintenance.
	begun map[string]bool
	taken map[string]*take
}

// take is one machine of a wave on its way.
type take struct {
	machineOrder
}

// setWaves takes the waves that are asked for.
func (c *Core) setWaves(waves []Wave, now time.Time) {
	asked := make(map[int64]bool)
	for _, w := range waves {
		asked[w.Number] = true
		if known := c.waves[w.Number]; known != nil {
			known.Wave = w
			continue
		}
		fresh := &wave{Wave: w, first: now, begun: make(map[string]bool), taken: make(map[string]*take)}
		for _, m := range c.begun[w.Number] {
			fresh.begun[m] = true
		}
		c.waves[w.Number] = fresh
		c.config.Log.Info("wave", "wave", w.Number, "machines", len(w.Machines), "within", w.Within, "cap", w.Cap)
	}
	for n := range c.waves {
		if !asked[n] {
			delete(c.waves, n)
		}
	}
}

// Pressing reports whether the machines have to be looked at often, or now.
func (c *Core) Pressing() bool {
	if c.outdated {
		return true
	}
	for _, w := range c.waves {
		if !c.complete(w) {
			return true
		}
	}
	return len(c.moves) > 0
}

// WaveState tells how far a wave is.
type WaveState struct {
	Number   int64
	Complete bool
}

// WaveStates returns the waves that are asked for, in order.
func (c *Core) WaveStates() []WaveState {
	out := make([]WaveState, 0, len(c.waves))
	for _, w := range c.sortedWaves() {
		out = append(out, WaveState{w.Number, c.complete(w)})
	}
	return out
}

// complete reports whether every machine of a wave that is still there has
// begun its maintenance.
func (c *Core) complete(w *wave) bool {
	if len(c.machines) == 0 {
		return false
	}
	for _, m := range w.Machines {
		if _, there := c.machines[m]; there && !w.begun[m] {
			return false
		}
	}
	return len(w.taken) == 0
}

// planWaves takes machines out of service for maintenance.
func (c *Core) planWaves(now time.Time) {
	c.markDue()
	for _, w := range c.sortedWaves() {
		c.advance(w, now)
		for c.away(w) < max(w.Cap, 1) {
			name, ok := c.nextMachine(w)
			if !ok {
				break
			}
			m := c.machines[name]
			w.taken[name] = &take{machineOrder{since: now, vm: m.VM}}
			c.keep(m.VM, true)
			c.config.Log.Info("machine taken for maintenance", "machine", name, "wave", w.Number, "vm", m.VM)
			c.advance(w, now)
		}
	}
}

// away returns how many machines of a wave are taken, or under maintenance that
// an owner before this one has ordered.
func (c *Core) away(w *wave) int {
	n := len(w.taken)
	for _, name := range w.Machines {
		if w.taken[name] == nil && c.machines[name].State == InMaintenance {
			n++
		}
	}
	return n
}

func (c *Core) sortedWaves() []*wave {
	return sortedValues(c.waves, func(a, b *wave) int { return cmp.Compare(a.Number, b.Number) })
}

// nextMachine returns the machine of a wave that costs least to take now.
func (c *Core) nextMachine(w *wave) (string, bool) {
	best, bestCost, found := "", 0.0, false
	for _, name := range w.Machines {
		m, there := c.machines[name]
		if !there || w.begun[name] || w.taken[name] != nil || m.State != Up || c.takenElsewhere(name) {
			continue
		}
		v := c.vms[m.VM]
		if v != nil && v.Draining {
			continue
		}
		cost := takeCost(v)
		if !found || cost < bestCost {
			best, bestCost, found = name, cost, true
		}
	}
	return best, found
}

// takeCost is the work that a VM would lose, in thousandths of a core.
func takeCost(v *vm) float64 {
	if v == nil {
		return 0
	}
	sum := 0.0
	for _, r := range v.runs {
		sum += float64(r.asked.CPU)
		if r.task.stage.step.Service {
			sum += float64(r.asked.CPU)
		}
	}
	return sum
}

// advance empties the machines that a wave has taken and orders their maintenance.
func (c *Core) advance(w *wave, now time.Time) {
	for name, t := range w.taken {
		m, there := c.machines[name]
		switch {
		case !there:
			c.giveBack(w, name)
		case w.begun[name]:
			if m.State == Up && c.listed.Sub(t.ordered) > c.config.Maintenance {
				c.giveBack(w, name)
			}
		case t.ordered.IsZero():
			if c.mayTake(t, w, now) {
				c.orderMaintenance(w, t, name, now)
			}
		case t.refused(m, c.listed):
			// It was busy for another reason, such as leaving.
			c.giveBack(w, name)
		case t.overdue(now):
			c.orderMaintenance(w, t, name, now)
		}
	}
}

// unheardFor is how long a VM that is not listed is waited for.
const unheardFor = 2 * time.Second

// mayTake reports whether nothing runs any more on a machine that a wave has taken.
func (c *Core) mayTake(t *take, w *wave, now time.Time) bool {
	v := c.vms[t.vm]
	if v == nil {
		return t.vm == "" || now.Sub(t.since) > unheardFor
	}
	return c.empty(v, t, w, now) && c.heardOf(v, now)
}

// heardOf reports whether all that a VM may run is known.
func (c *Core) heardOf(v *vm, now time.Time) bool {
	if v.attached && !v.silent {
		return true
	}
	return c.gates[v.ID] == nil && now.After(v.lapse)
}

// giveBack ends what a wave had to do with a machine.
func (c *Core) giveBack(w *wave, name string) {
	c.keep(w.taken[name].vm, false)
	delete(w.taken, name)
}

func (c *Core) orderMaintenance(w *wave, t *take, name string, now time.Time) {
	t.ordered = now
	c.actions = append(c.actions, Maintain{Machine: name, Wave: w.Number})
}

// empty reports whether a VM's machine may be taken, and stops what runs there
// as far as budgets allow.
func (c *Core) empty(v *vm, t *take, w *wave, now time.Time) bool {
	patience := c.patience(w)
	late := now.Sub(w.first) > time.Duration(lateShare*float64(w.Within))
	for _, r := range v.list() {
		step := r.task.stage.step
		switch {
		case step.Service:
			if r.state == running && c.mayMiss(r.task, now) && (late || c.placeable(r.task, now)) {
				c.stop(r, now)
			}
		case step.Saves || now.Sub(t.since) > patience:
			if r.state == running {
				c.stop(r, now)
			}
		}
	}
	return len(v.runs) == 0
}

// lateShare is the part of a wave's time after which service tasks are stopped
// even when no other VM has room for them yet.
const lateShare = 0.6

// placeable reports whether a task could start on another VM now.
func (c *Core) placeable(t *task, now time.Time) bool {
	return c.choose(t, c.usable(c.poolOf(t.stage.work), now)) != nil
}

// patience is how long a VM of a wave may take to finish its tasks.
func (c *Core) patience(w *wave) time.Duration {
	turns := (len(w.Machines) + max(w.Cap, 1) - 1) / max(w.Cap, 1)
	each := time.Duration(float64(w.Within) * (1 - waveSpare) / float64(max(turns, 1)))
	return min(max(each-maintenanceTime, 0), idleWait)
}

// maintenanceTime is about how long a machine is away for maintenance.
const maintenanceTime = 2500 * time.Millisecond

// mayMiss reports whether a service task may be taken away by our own act.
func (c *Core) mayMiss(t *task, now time.Time) bool {
	if !t.stage.step.Budgeted {
		return true
	}
	away := 0
	for _, o := range t.stage.tasks {
		if o != t && !o.working(now) {
			away++
		}
	}
	return away < t.stage.step.Missing
}

// freshFor is how long after a VM's last answer its tasks count as at work.
const freshFor = 2500 * time.Millisecond

// working reports whether a service task is at work, as far as is known, and
// not being stopped.
func (t *task) working(now time.Time) bool {
	return !t.atWork.IsZero() && !slices.ContainsFunc(t.runs, func(r *run) bool {
		return r.state == stopping || now.Before(r.doubted) || r.vm.silent || now.Sub(r.vm.heard) > freshFor
	})
}

// waveCost is what it costs to start a task on a VM whose machine is due.
func (v *vm) waveCost() float64 {
	if v.due {
		return waveAvoid
	}
	return 0
}

// markDue notes on which VMs tasks would soon have to leave for maintenance.
func (c *Core) markDue() {
	for _, v := range c.vms {
		v.due = false
	}
	for _, w := range c.waves {
		for _, name := range w.Machines {
			if v := c.vms[c.machines[name].VM]; v != nil && !w.begun[name] {
				v.due = true
			}
		}
	}
}

// Maintained takes the result of an order for maintenance.
func (c *Core) Maintained(a Maintain, r MachineResult, now time.Time) {
	c.config.Log.Info("maintenance ordered", "machine", a.Machine, "wave", a.Wave, "result", r)
	w := c.waves[a.Wave]
	if w == nil || w.taken[a.Machine] == nil {
		return
	}
	t := w.taken[a.Machine]
	if t.accepted(r, now) {
		t.ordered = now
		w.begun[a.Machine] = true
		c.fleetChanged = true
		c.depart(t.vm, now)
	}
}
