package schedule

import (
	"cmp"
	"slices"
	"time"

	"almondcove/job"
)

// fullPace is the pace of a task that is not slowed down, in percent.
const fullPace = 100

// arrangePause is the least time between two looks at machines, for each VM:
// looking costs as much as there are VMs.
const arrangePause = 100 * time.Microsecond

// gate closes a pool for starts until a VM has answered a new owner, or until
// whatever it may run has lapsed.
type gate struct {
	pool  string
	until time.Time
}

// Gate takes over the record of the owner before. It closes the pools of the VMs
// that may run tasks; each opens when all of its VMs have answered, or at until.
//
// Calls since began lie after the record was made; hold is the longest that a VM
// may go on with what it was given.
func (c *Core) Gate(f Fleet, began time.Time, hold time.Duration) {
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
		v.silent = true
		v.lapse = began.Add(min(l.Left, hold))
		for _, id := range l.Held {
			c.presumed = append(c.presumed, presumed{v, id})
		}
	}
}

// presumed is a run of the record whose job is not known yet.
type presumed struct {
	vm *vm
	id Run
}

// book makes runs of those that the record of the owner before names.
func (c *Core) book(now time.Time) {
	for _, p := range c.presumed {
		w := c.jobs[p.id.Task.Job]
		if w == nil || !w.has(p.id.Task) || c.vms[p.vm.ID] != p.vm || p.vm.runs[p.id] != nil {
			continue
		}
		var t *task
		if !w.state.Phase().Final() {
			t = c.taskOf(w, p.id.Task)
		}
		if t == nil {
			t = ghost(w, p.id.Task)
		}
		r := c.newRun(t, p.vm, p.id.Number, now)
		r.state = running
		r.fence = 0
	}
	c.presumed = nil
}

// closed reports whether a pool's tasks may run on VMs that have not answered yet.
func (c *Core) closed(pool string, now time.Time) bool {
	for id, g := range c.gates {
		if now.After(g.until) {
			c.config.Log.Warn("VM given up after a change of owner", "vm", id)
			delete(c.gates, id)
			continue
		}
		if g.pool == pool {
			return true
		}
	}
	return false
}

// Plan looks at everything that has changed or is due and returns what to do.
func (c *Core) Plan(now time.Time) []Action {
	if c.closing {
		return nil
	}
	c.book(now)
	c.tick(now)
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
	out := make([]*pool, 0, len(c.pools))
	for _, p := range c.pools {
		out = append(out, p)
	}
	slices.SortFunc(out, func(a, b *pool) int { return cmp.Compare(a.name, b.name) })
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
		if !c.planStage(g, free, now) && !g.constrained() {
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
	return len(g.advice.tickets) > 0 || s.Spread > 0 || s.Label != "" || s.Gang || s.Together || s.Filler || g.work.Team != ""
}

// order returns the stages with waiting tasks, the most important first.
//
// It answers loads that exceed the room: tasks of jobs that can still be in time
// go before those that can't, and among these the ones that are worth most for
// the work that is left. Jobs that have come far go before those that have not begun.
func (c *Core) order(p *pool, now time.Time) []*stage {
	var out []*stage
	for _, g := range p.stages {
		if g.open && g.waiting > 0 && !g.due.After(now) {
			g.rank = c.rank(g, now)
			g.value = c.value(g)
			out = append(out, g)
		}
	}
	slices.SortFunc(out, func(a, b *stage) int {
		return cmp.Or(
			cmp.Compare(a.rank, b.rank),
			cmp.Compare(b.value, a.value),
			a.work.Accepted.Compare(b.work.Accepted),
			cmp.Compare(a.id.Job, b.id.Job),
			cmp.Compare(a.id.Step, b.id.Step),
		)
	})
	return out
}

// The ranks of stages; lower ones go first.
const (
	rankService = iota
	rankUrgent
	rankLater
	rankMissed
)

// rank sorts service tasks first, then tasks by their queue's priority, and
// those of jobs that can't be in time any more last.
func (c *Core) rank(g *stage, now time.Time) int {
	switch {
	case g.step.Service && !g.step.Filler:
		return rankService
	case !g.step.Service && now.Add(c.remaining(g)).After(g.objective(c)):
		return rankMissed
	case c.view.Queues[g.work.Queue].Priority == 0:
		return rankUrgent
	}
	return rankLater
}

// objective returns when the stage's occurrence has to be completed.
func (g *stage) objective(c *Core) time.Time {
	return g.due.Add(c.allowance(g.work))
}

// remaining returns how long the rest of a job takes at the least, from the
// start of a stage.
func (c *Core) remaining(g *stage) time.Duration {
	d := c.duration(g.work.Queue)
	return time.Duration(float64(d) * float64(g.work.depth[g.id.Step]))
}

// value returns what is earned by a job for each second of a core that it still
// needs: a part is earned by each job, the rest by its work.
func (c *Core) value(g *stage) float64 {
	w := g.work
	d := c.duration(w.Queue).Seconds()
	size := w.cores * d
	mean := c.learned[w.Queue].size()
	left := max(w.coresLeft()*d, 0.01)
	if mean <= 0 {
		mean = size
	}
	return (jobShare + (1-jobShare)*min(size/max(mean, 0.01), mostWork)) / left
}

// The worth of a job: a part for each, the rest by its work against the mean of
// its queue, up to a bound.
const (
	jobShare = 0.3
	mostWork = 5.3
)

// usable returns the VMs of a pool on which something may start.
func (c *Core) usable(p *pool, now time.Time) []*vm {
	var out []*vm
	for _, v := range p.vms {
		if c.takes(v, now) {
			out = append(out, v)
		}
	}
	slices.SortFunc(out, func(a, b *vm) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

func (c *Core) takes(v *vm, now time.Time) bool {
	return v.attached && v.recorded && v.listed && !v.silent && !v.raise && !v.stray && !v.Draining && !v.kept &&
		!c.view.Out[v.Centre] && v.health.open(now)
}

// planStage starts the waiting tasks of a stage and reports whether all of them
// have found a VM.
func (c *Core) planStage(g *stage, vms []*vm, now time.Time) bool {
	vms = c.advised(g, vms, now)
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

// withinCap reports whether the stage's team may run n more of its tasks.
func (c *Core) withinCap(g *stage, n int64) bool {
	most := c.view.Teams[g.work.Team].Cap
	next := c.team(g.work.Team).used.Plus(g.step.Need.Times(n))
	return (most.CPU == 0 || next.CPU <= most.CPU) &&
		(most.Memory == 0 || next.Memory <= most.Memory) &&
		(most.GPU == 0 || next.GPU <= most.GPU)
}

// choose returns the VM for a task, or nil when none fits.
func (c *Core) choose(t *task, vms []*vm) *vm {
	var best *vm
	var bestCost float64
	for _, v := range vms {
		if !c.fits(t.stage, v) {
			continue
		}
		cost := c.cost(t, v)
		if best == nil || cost < bestCost {
			best, bestCost = v, cost
		}
	}
	return best
}

// fits reports whether a VM has room for one more task of a stage.
func (c *Core) fits(g *stage, v *vm) bool {
	if !v.used.Plus(g.need()).Within(v.Capacity) {
		return false
	}
	if g.step.Label != "" && !slices.Contains(v.Labels, g.step.Label) {
		return false
	}
	return g.step.Spread == 0 || v.count(g.id) < g.step.Spread
}

// count returns the runs of a stage on the VM.
func (v *vm) count(id job.Stage) int {
	n := 0
	for k := range v.runs {
		if k.Task.Stage() == id {
			n++
		}
	}
	return n
}

// The costs of a placement. They compare the VMs that have room.
const (
	// costFar is that of a rack without the task's data.
	costFar = 1.0
	// costFailed is that of a VM on which the task has failed before.
	costFailed = 4.0
	// costDoubt is that of a VM whose last task failed or that is not proven.
	costDoubt = 0.5
	// costFree is that of a VM that is idle: packing leaves VMs free to be moved.
	costFree = 0.3
)

// cost returns how unwelcome a VM is for a task.
func (c *Core) cost(t *task, v *vm) float64 {
	sum := costFree * (1 - float64(v.used.CPU)/float64(max(v.Capacity.CPU, 1)))
	if t.stage.step.Service && len(v.runs) == 0 {
		// Service tasks gather, so that other VMs fall idle and can be moved.
		sum += costFree
	}
	if t.stage.step.Rack != "" && !slices.Contains(v.Labels, t.stage.step.Rack) {
		sum += costFar
	}
	if slices.Contains(t.failedOn, v.ID) {
		sum += costFailed
	}
	if v.health.doubtful() {
		sum += costDoubt
		if len(t.failedOn) > 0 {
			sum += costFailed
		}
	}
	return sum + v.waveCost()
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

// planGang starts all tasks of a gang at once, or none.
func (c *Core) planGang(g *stage, vms []*vm, now time.Time) bool {
	number := 0
	for _, t := range g.tasks {
		if t.done || len(t.runs) > 0 || now.Before(t.notBefore) {
			return true
		}
		number = max(number, t.number)
	}
	if !c.withinCap(g, int64(len(g.tasks))) {
		return false
	}
	places := c.gangPlaces(g, vms, now)
	if places == nil {
		return false
	}
	checkpoint := g.tasks[0].checkpoint
	for i, t := range g.tasks {
		t.checkpoint = checkpoint
		c.start(t, places[i], number+1, now)
	}
	return true
}

// gangPlaces returns a VM for each task of a gang, or nil. It tries single racks
// first where the gang wants to stay together.
func (c *Core) gangPlaces(g *stage, vms []*vm, now time.Time) []*vm {
	if g.step.Together || g.step.Rack != "" {
		for _, rack := range racksOf(vms) {
			same := slices.DeleteFunc(slices.Clone(vms), func(v *vm) bool { return v.rack() != rack })
			if places := c.fill(g, same, now); places != nil {
				return places
			}
		}
	}
	return c.fill(g, vms, now)
}

// rack returns the label that names the VM's rack: the last one.
func (v *vm) rack() string {
	if len(v.Labels) == 0 {
		return ""
	}
	return v.Labels[len(v.Labels)-1]
}

func racksOf(vms []*vm) []string {
	var out []string
	for _, v := range vms {
		if !slices.Contains(out, v.rack()) {
			out = append(out, v.rack())
		}
	}
	return out
}

// fill spreads a gang over the VMs by their room, or returns nil.
func (c *Core) fill(g *stage, vms []*vm, now time.Time) []*vm {
	var out []*vm
	need := g.need()
	for _, v := range vms {
		used := v.used
		count := v.count(g.id)
		for len(out) < len(g.tasks) && used.Plus(need).Within(v.Capacity) {
			if g.step.Label != "" && !slices.Contains(v.Labels, g.step.Label) {
				break
			}
			if g.step.Spread > 0 && count >= g.step.Spread {
				break
			}
			used = used.Plus(need)
			count++
			out = append(out, v)
		}
	}
	if len(out) < len(g.tasks) {
		return nil
	}
	return out
}
