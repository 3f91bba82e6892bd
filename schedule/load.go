package schedule

import (
	"cmp"
	"math"
	"slices"
	"time"

	"almondcove/job"
)

// poolLoad holds the demand and the supply of a pool.
type poolLoad struct {
	pool *pool
	// demand is what the pool's service tasks need, and its other tasks whose jobs can
	// still be in time.
	demand job.Resources
	// lateDemand is what waiting tasks need whose jobs can't be in time any more.
	lateDemand job.Resources
	// drainable lists the VMs that run only tasks with an end, the least used first.
	drainable []*vm
	// peakDemand is the recent peak of demand. It rises at once and decays slowly.
	peakDemand job.Resources
	// supply is the capacity of the pool's VMs, including those on their way.
	supply job.Resources
	// vms is the number of the pool's VMs, including those on their way.
	vms int
	// idle lists the VMs that run nothing, the longest idle first.
	idle []*vm
	// minVMs is the least number of VMs that the pool keeps. Over fewer VMs, its tasks
	// can't be spread as their steps require.
	minVMs int
	// blocked is set when a task has found no VM for a while, even though the pool as a
	// whole may have room.
	blocked bool
	// incoming is the number of VMs on their way to the pool.
	incoming int
	// urgent is set when tasks of the most urgent queues wait.
	urgent bool
}

// cpuShortfall returns the processors that the pool lacks, in thousandths of a core. It
// is negative when the pool has more than it needs.
func (l *poolLoad) cpuShortfall() int64 {
	return int64(headroom*float64(l.demand.CPU)) - l.supply.CPU
}

// lacksRoom reports whether the pool needs another VM: it lacks processors or memory,
// it has too few VMs to spread its tasks, or a task is blocked and no VM is on its way.
func (l *poolLoad) lacksRoom() bool {
	return l.cpuShortfall() > 0 || int64(headroom*float64(l.demand.Memory)) > l.supply.Memory ||
		l.vms < l.minVMs || l.blocked && l.incoming == 0
}

// canSpare reports whether the pool can do without a VM at its recent peak of demand.
func (l *poolLoad) canSpare(v *vm) bool {
	rest := l.supply.Minus(v.Capacity)
	enough := int64(headroom*float64(l.peakDemand.CPU)) <= rest.CPU && int64(headroom*float64(l.peakDemand.Memory)) <= rest.Memory
	return l.vms > l.minVMs && enough && !l.blocked
}

// loadLogInterval is the least time between two log lines on the load of a pool.
const loadLogInterval = time.Second

// addIncoming adds a VM that is on its way to the pool.
func (l *poolLoad) addIncoming(capacity job.Resources) {
	l.supply = l.supply.Plus(capacity)
	l.vms++
	l.incoming++
}

// removeVM removes a VM that the pool gives away.
func (l *poolLoad) removeVM(v *vm) {
	l.supply = l.supply.Minus(v.Capacity)
	l.vms--
}

// logLoads logs the demand and the supply of each pool.
func (c *Core) logLoads(loads []*poolLoad) {
	for _, l := range loads {
		services := 0
		for _, v := range l.pool.vms {
			if v.runsService() {
				services++
			}
		}
		c.config.Log.Info("pool load", "pool", l.pool.name, "vms", l.vms, "coming", l.incoming, "idle", len(l.idle),
			"services", services, "least", l.minVMs, "waiting", l.pool.waitingTasks(),
			"want", l.demand.CPU/1000, "lately", l.peakDemand.CPU/1000, "have", l.supply.CPU/1000)
	}
}

// runsService reports whether a service task runs on the VM.
func (v *vm) runsService() bool {
	for _, r := range v.runs {
		if r.task.stage.step.Service {
			return true
		}
	}
	return false
}

// loads returns the load of each pool but the spare one.
func (c *Core) loads(now time.Time) []*poolLoad {
	var out []*poolLoad
	byName := make(map[string]*poolLoad)
	for _, p := range c.sortedPools() {
		if p.name == c.view.Spare || p.name == "" {
			continue
		}
		l := c.loadOf(p, now)
		out = append(out, l)
		byName[p.name] = l
	}
	for name, m := range c.moves {
		if l := byName[m.toPool]; l != nil && c.movedVM(name, m) == nil {
			l.addIncoming(m.capacity)
		}
	}
	return out
}

// movedVM returns the VM that a moved machine runs in its new pool, or nil until that
// VM is listed.
func (c *Core) movedVM(name string, m *move) *vm {
	at := c.machines[name]
	if at.VM == "" || at.VM == m.vm || at.Pool != m.toPool {
		return nil
	}
	return c.vms[at.VM]
}

func (c *Core) loadOf(p *pool, now time.Time) *poolLoad {
	l := &poolLoad{pool: p, minVMs: minPoolVMs}
	for _, g := range p.stages {
		g.rank = c.rankOf(g, now)
		if g.ready && g.isDue(now) {
			l.addStage(g, now)
		}
	}
	for _, v := range p.vms {
		if v.listed && !v.Draining && !v.kept && !c.view.CentresOut[v.Centre] {
			l.addVM(v)
		}
	}
	slices.SortFunc(l.idle, func(a, b *vm) int {
		return cmp.Or(a.idleSince.Compare(b.idleSince), cmp.Compare(a.ID, b.ID))
	})
	slices.SortFunc(l.drainable, func(a, b *vm) int {
		return cmp.Or(cmp.Compare(a.used.CPU, b.used.CPU), cmp.Compare(a.ID, b.ID))
	})
	// Arriving work occupies as many cores as it brings core-seconds a second. The
	// waiting tasks show that demand only once they have piled up.
	if expectedCPU := int64(1000 * p.offered.expectedCPU(now)); expectedCPU > l.demand.CPU {
		l.demand.CPU = expectedCPU
	}
	l.peakDemand = p.peak.update(l.demand, now)
	return l
}

// addVM adds a VM that may take tasks, and the demand of what it runs. A VM whose runs
// are not known for certain counts as neither idle nor drainable.
func (l *poolLoad) addVM(v *vm) {
	l.supply = l.supply.Plus(v.Capacity)
	l.vms++
	for _, r := range v.runs {
		if r.task.stage.rank != rankMissed {
			l.demand = l.demand.Plus(r.need)
		}
	}
	if !v.attached || v.silent || v.needsNewFence {
		return
	}
	switch {
	case len(v.runs) == 0:
		l.idle = append(l.idle, v)
	case !v.runsService():
		l.drainable = append(l.drainable, v)
	}
}

// addStage adds the demand of a stage's waiting tasks.
func (l *poolLoad) addStage(g *stage, now time.Time) {
	l.minVMs = max(l.minVMs, g.minSpreadVMs())
	if g.waitingTasks == 0 {
		return
	}
	need := g.need().Times(int64(g.waitingTasks))
	if g.rank == rankMissed {
		l.lateDemand = l.lateDemand.Plus(need)
		return
	}
	l.demand = l.demand.Plus(need)
	l.urgent = l.urgent || g.rank == rankUrgent
	l.blocked = l.blocked || !g.blocked.IsZero() && now.Sub(g.blocked) > blockedTimeout
}

// blockedTimeout is how long a task has to find no VM before its pool gets another one.
const blockedTimeout = 150 * time.Millisecond

// minSpreadVMs returns the least number of VMs over which the stage's remaining tasks
// have to be spread, or zero for a stage without such a bound.
func (g *stage) minSpreadVMs() int {
	if g.step.MaxPerVM == 0 {
		return 0
	}
	left := 0
	for _, t := range g.tasks {
		if !t.done {
			left++
		}
	}
	return (left + g.step.MaxPerVM - 1) / g.step.MaxPerVM
}

const (
	// steadyFraction is the fraction of the steady rate of arriving work for which room
	// is provided ahead.
	steadyFraction = 0.9
	// steadyWindow is the averaging window of the steady rate.
	steadyWindow = time.Second
	// risingWindow is the averaging window in which a rise is detected. A machine takes
	// more than a second to arrive, so it has to be ordered at once to be in time.
	risingWindow = 400 * time.Millisecond
)

// offered is the offered load: it averages the rate of arriving work over a long and a
// short window.
type offered struct {
	steady, rising rate
}

func (o *offered) add(work float64, now time.Time) {
	o.steady.add(work, steadyWindow, now)
	o.rising.add(work, risingWindow, now)
}

// expectedCPU returns the number of cores that are needed if work goes on arriving at
// the present rate. The rate over the short window is discounted by its sampling error,
// because a few jobs are weak evidence of a rise.
func (o *offered) expectedCPU(now time.Time) float64 {
	steady, _ := o.steady.decayed(steadyWindow, now)
	rising, jobs := o.rising.decayed(risingWindow, now)
	if jobs <= 1 {
		return steadyFraction * steady
	}
	return max(steadyFraction*steady, rising*(1-1/math.Sqrt(jobs)))
}

// rate is an exponential moving average of the work of arriving jobs, in core-seconds a
// second. It also counts the jobs in the averaging window.
type rate struct {
	work, jobs float64
	last       time.Time
}

func (r *rate) add(work float64, window time.Duration, now time.Time) {
	r.work, r.jobs = r.decayed(window, now)
	r.work += work / window.Seconds()
	r.jobs++
	r.last = now
}

// decayed returns the average and the count of jobs as of now.
func (r *rate) decayed(window time.Duration, now time.Time) (work, jobs float64) {
	decay := math.Exp(-now.Sub(r.last).Seconds() / window.Seconds())
	return r.work * decay, r.jobs * decay
}

// peak tracks the peak of a demand: it rises with the demand at once and decays towards
// it exponentially.
type peak struct {
	cpu, memory float64
	updatedAt   time.Time
}

// update returns the peak after a new value of the demand. GPUs have no peak: their
// demand is returned as it is.
func (p *peak) update(demand job.Resources, now time.Time) job.Resources {
	decay := math.Exp(-now.Sub(p.updatedAt).Seconds() / peakDecayTime.Seconds())
	p.cpu = max(float64(demand.CPU), float64(demand.CPU)+(p.cpu-float64(demand.CPU))*decay)
	p.memory = max(float64(demand.Memory), float64(demand.Memory)+(p.memory-float64(demand.Memory))*decay)
	p.updatedAt = now
	return job.Resources{CPU: int64(p.cpu), Memory: int64(p.memory), GPU: demand.GPU}
}
