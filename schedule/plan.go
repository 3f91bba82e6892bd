package schedule

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"almondcove/job"
)

// fullPace is the pace of a task that is not slowed down, in percent.
const fullPace = 100

// arrangePause is the least time between two looks at machines, for each VM:
// looking costs as much as there are VMs.
const arrangePause = 100 * time.Microsecond

// tickEvery is the least time between two looks at what depends on time alone.
const tickEvery = 20 * time.Millisecond

// Plan looks at everything that has changed or is due and returns what to do.
func (c *Core) Plan(now time.Time) []Action {
	if c.closing {
		return nil
	}
	c.restoreRuns(now)
	if now.Sub(c.ticked) >= tickEvery {
		c.ticked = now
		c.tick(now)
	}
	if now.Sub(c.arranged) >= arrangePause*time.Duration(len(c.vms)) {
		c.arranged = now
		c.planWaves(now)
		c.planMoves(now)
	}
	for _, p := range c.sortedPools() {
		c.planPool(p, now)
	}
	out := c.actions
	c.actions = nil
	return out
}

func (c *Core) sortedPools() []*pool {
	return sortedValues(c.pools, func(a, b *pool) int { return cmp.Compare(a.name, b.name) })
}

// sortedValues returns the values of a map in an order that does not depend on
// the map's.
func sortedValues[K comparable, V any](m map[K]V, compare func(a, b V) int) []V {
	out := slices.AppendSeq(make([]V, 0, len(m)), maps.Values(m))
	slices.SortFunc(out, compare)
	return out
}

// tick does what depends on time alone.
func (c *Core) tick(now time.Time) {
	for _, v := range c.vms {
		c.tickVM(v, now)
	}
	for _, w := range c.jobs {
		if w.Times > 0 && !w.state.Phase().Final() {
			c.open(w, now)
		}
	}
}

func (c *Core) tickVM(v *vm, now time.Time) {
	if v.silent {
		c.expire(v, now)
	}
	for _, r := range v.runs {
		if r.state == stopping {
			c.stop(r, now)
		}
		if v.Draining && r.task.stage.step.Service && r.state == running {
			c.stop(r, now)
		}
	}
	if !v.listed && len(v.runs) == 0 && now.Sub(v.unlisted) > unlistedFor && now.After(v.lapse) && c.gates[v.ID] == nil {
		c.remove(v)
		c.config.Log.Info("VM gone", "vm", v.ID)
	}
}

// planPool starts waiting tasks of one pool.
func (c *Core) planPool(p *pool, now time.Time) {
	stages := c.order(p, now)
	if len(stages) == 0 {
		return
	}
	free := c.usable(p, now)
	closed := c.closed(p.name, now)
	var failed []job.Resources
	for _, g := range stages {
		// What was accepted in this epoch can't run on VMs that are not heard of.
		if closed && g.work.Epoch < c.epoch && !g.step.Copies {
			continue
		}
		if tooLarge(g.step.Need, failed) {
			continue
		}
		if !c.planStage(g, free, now) && !g.constrained() && c.withinCap(g, 1) {
			failed = append(failed, g.need())
		}
	}
}

// tooLarge reports whether a need at least as small has already not fitted.
func tooLarge(need job.Resources, failed []job.Resources) bool {
	return slices.ContainsFunc(failed, func(f job.Resources) bool { return f.Within(need) })
}

func (g *stage) need() job.Resources {
	need := g.step.Need
	if g.step.Filler {
		need.CPU = 0
	}
	return need
}

// constrained reports whether only some VMs are allowed, so that a miss says
// nothing about others.
func (g *stage) constrained() bool {
	s := g.step
	return len(g.advice.tickets) > 0 || s.MaxPerVM > 0 || s.Label != "" || s.Gang || s.SingleRack || s.Filler
}

// usable returns the VMs of a pool on which something may start, until it is
// called for the pool again.
func (c *Core) usable(p *pool, now time.Time) []*vm {
	p.free = p.free[:0]
	for _, v := range p.sorted() {
		if c.takes(v, now) {
			p.free = append(p.free, v)
		}
	}
	return p.free
}

// sorted returns the pool's VMs by id.
func (p *pool) sorted() []*vm {
	if p.ordered == nil {
		p.ordered = sortedValues(p.vms, func(a, b *vm) int { return cmp.Compare(a.ID, b.ID) })
	}
	return p.ordered
}

func (p *pool) add(v *vm) {
	p.vms[v.ID] = v
	p.ordered = nil
}

func (p *pool) drop(v *vm) {
	delete(p.vms, v.ID)
	p.ordered = nil
}

func (c *Core) takes(v *vm, now time.Time) bool {
	return v.attached && v.recorded && v.listed && !v.silent && !v.over && !v.raise && !v.stray && !v.Draining && !v.kept &&
		!c.view.CentresOut[v.Centre] && v.health.allowsStarts(now)
}

// planStage starts the waiting tasks of a stage and reports whether all of them
// have found a VM.
func (c *Core) planStage(g *stage, vms []*vm, now time.Time) bool {
	vms = c.advisedVMs(g, vms, now)
	if g.step.Gang {
		return c.planGang(g, vms, now)
	}
	since := g.blocked
	g.blocked = time.Time{}
	placed := 0
	defer func() {
		if placed > 0 {
			c.config.Log.Info("tasks placed", "job", g.id.Job, "occurrence", g.id.Occurrence, "step", g.id.Step,
				"count", placed, "left", g.waiting, "rank", g.rank, "age", now.Sub(g.due).Milliseconds(),
				"vms", len(vms), "version", c.view.Version)
		}
	}()
	for _, t := range g.tasks {
		if t.done || len(t.runs) > 0 || now.Before(t.notBefore) {
			continue
		}
		if !c.withinCap(g, 1) {
			return false
		}
		v := c.choose(t, vms)
		if v == nil {
			g.blocked = since
			if since.IsZero() {
				g.blocked = now
			}
			return false
		}
		c.start(t, v, t.number+1, now)
		placed++
	}
	return true
}

// start orders a task's run.
func (c *Core) start(t *task, v *vm, number int, now time.Time) {
	r := c.newRun(t, v, number, now)
	w := t.stage.work
	if !w.state.Started() {
		w.state.Start()
	}
	c.stats.Starts++
	c.actions = append(c.actions, Start{
		VM: v.ID, Run: r.id, Spec: w.Spec, Checkpoint: t.checkpoint, Fence: r.fence,
		Until: v.at(now) + startWindow, Ticket: t.stage.advice.tickets[v.ID],
	})
	v.granted(now, startWindow)
}
