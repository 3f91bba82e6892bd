package schedule

import (
	"cmp"
	"math"
	"slices"
	"time"

	"almondcove/job"
)

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

// tellEvery is the time between two log lines on a pool's load.
const tellEvery = time.Second

// expect counts a VM that is on its way to the pool.
func (l *load) expect(capacity job.Resources) {
	l.have = l.have.Plus(capacity)
	l.vms++
	l.coming++
}

// lose counts a VM that the pool gives away.
func (l *load) lose(v *vm) {
	l.have = l.have.Minus(v.Capacity)
	l.vms--
}

// tell logs what each pool asks for and has.
func (c *Core) tell(loads []*load) {
	for _, l := range loads {
		services := 0
		for _, v := range l.pool.vms {
			if v.serves() {
				services++
			}
		}
		c.config.Log.Info("pool", "pool", l.pool.name, "vms", l.vms, "coming", l.coming, "idle", len(l.idle),
			"services", services, "least", l.least, "waiting", l.pool.waiting(),
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
			l.expect(m.capacity)
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
		g.rank = c.rankOf(g, now)
		if g.open && g.isDue(now) {
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
	// Work that comes in occupies as many processors as it brings seconds of work a
	// second; its tasks show that only once they have piled up.
	if coming := int64(1000 * p.offered.coming(now)); coming > l.want.CPU {
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

const (
	// steadyShare is the part of the work that comes in for which room is made ahead.
	steadyShare = 0.9
	// steadyOver is the time over which the steady rate of work is averaged.
	steadyOver = time.Second
	// risingOver is the time over which a rise is noticed. A machine takes over a
	// second to come, so what is not ordered at once is missed.
	risingOver = 400 * time.Millisecond
)

// offered follows the work that comes in.
type offered struct {
	steady, rising rate
}

func (o *offered) add(work float64, now time.Time) {
	o.steady.add(work, steadyOver, now)
	o.rising.add(work, risingOver, now)
}

// coming returns the processors that are needed if work goes on to come in as it
// does. The last moments count as far as they tell: that few jobs came says little.
func (o *offered) coming(now time.Time) float64 {
	steady, _ := o.steady.at(steadyOver, now)
	rising, jobs := o.rising.at(risingOver, now)
	if jobs <= 1 {
		return steadyShare * steady
	}
	return max(steadyShare*steady, rising*(1-1/math.Sqrt(jobs)))
}

// rate averages the work of jobs that come in, in core-seconds a second, and
// counts the jobs of the time over which it averages.
type rate struct {
	work, jobs float64
	last       time.Time
}

func (r *rate) add(work float64, over time.Duration, now time.Time) {
	r.work, r.jobs = r.at(over, now)
	r.work += work / over.Seconds()
	r.jobs++
	r.last = now
}

func (r *rate) at(over time.Duration, now time.Time) (work, jobs float64) {
	keep := math.Exp(-now.Sub(r.last).Seconds() / over.Seconds())
	return r.work * keep, r.jobs * keep
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
