package schedule

import (
	"cmp"
	"slices"
	"time"

	"almondcove/job"
)

// poolLoad holds the demand and the supply of a pool.
type poolLoad struct {
	pool *pool
	// demand is what the pool's running and waiting tasks need, except those of jobs that
	// can no longer meet their objective. It is at least what arriving work needs.
	demand job.Resources
	// lateDemand is what the waiting tasks of jobs that can no longer meet their objective
	// need.
	lateDemand job.Resources
	// drainable lists the VMs that run tasks but no service task, the least used first.
	drainable []*vm
	// peakDemand is the recent peak of demand. It rises at once and decays slowly.
	peakDemand job.Resources
	// supply is the capacity of the pool's VMs, including those of machines on their way
	// to the pool.
	supply job.Resources
	// vms is the number of the VMs that supply counts.
	vms int
	// idle lists the VMs that run nothing, the longest idle first.
	idle []*vm
	// minVMs is the least number of VMs that the pool keeps: [minPoolVMs], or as many as
	// its tasks need to be spread as their steps require.
	minVMs int
	// blocked is set when a task has fitted on no VM for [blockedTimeout], even though the
	// pool as a whole may have room.
	blocked bool
	// incoming is the number of machines on their way to the pool.
	incoming int
	// urgent is set when tasks of the most urgent queues wait.
	urgent bool
	// timely is the number of waiting tasks of jobs that can still meet their objective.
	timely int
}

// cpuShortfall returns the processors that the pool lacks, in thousandths of a core. It
// is negative if the pool has more than it needs.
func (l *poolLoad) cpuShortfall() int64 {
	return int64(headroom*float64(l.demand.CPU)) - l.supply.CPU
}

// lacksRoom reports whether the pool needs another VM: it lacks processors or memory,
// it has too few VMs to spread its tasks, or a task is blocked and no VM is on its way.
func (l *poolLoad) lacksRoom() bool {
	return l.cpuShortfall() > 0 || int64(headroom*float64(l.demand.Memory)) > l.supply.Memory ||
		l.vms < l.minVMs || l.blocked && l.incoming == 0
}

// canSpare reports whether the pool, without a VM, would still cover its recent peak of
// demand. If another pool has tasks waiting that can be in time, the present demand counts
// instead. A nil pool stands for none.
func (l *poolLoad) canSpare(v *vm, to *poolLoad) bool {
	remaining, demand := l.supply.Minus(v.Capacity), l.peakDemand
	if to != nil && to.timely > 0 {
		demand = l.demand
	}
	enough := int64(headroom*float64(demand.CPU)) <= remaining.CPU && int64(headroom*float64(demand.Memory)) <= remaining.Memory
	return l.vms > l.minVMs && enough && !l.blocked
}

// loadLogInterval is the least time between two log lines on the load of a pool.
const loadLogInterval = time.Second

// addIncoming adds a machine that is on its way to the pool.
func (l *poolLoad) addIncoming(capacity job.Resources) {
	l.supply = l.supply.Plus(capacity)
	l.vms++
	l.incoming++
}

// removeVM removes a VM whose machine leaves the pool.
func (l *poolLoad) removeVM(v *vm) {
	l.supply = l.supply.Minus(v.Capacity)
	l.vms--
}

// removeDrainable removes a VM that is drained so that its machine leaves the pool.
func (l *poolLoad) removeDrainable(v *vm) {
	l.drainable = slices.DeleteFunc(l.drainable, func(o *vm) bool { return o == v })
	l.removeVM(v)
}

// logLoads logs the demand and the supply of each pool: the VMs with service tasks and those
// that accept tasks, the cores in use, and how many of the waiting tasks can still be in time.
func (c *Core) logLoads(loads []*poolLoad, now time.Time) {
	for _, l := range loads {
		services, usable, used := 0, 0, int64(0)
		for _, v := range l.pool.vms {
			if v.runsService() {
				services++
			}
			if c.acceptsTasks(v, now) {
				usable++
			}
			used += v.used.CPU
		}
		c.config.Log.Info("pool load", "pool", l.pool.name, "vms", l.vms, "coming", l.incoming, "idle", len(l.idle),
			"services", services, "least", l.minVMs, "usable", usable, "used", used/1000, "waiting", l.pool.waitingTasks(), "timely", l.timely, "suspects", c.waitingSuspects(l.pool),
			"want", l.demand.CPU/1000, "lately", l.peakDemand.CPU/1000, "have", l.supply.CPU/1000)
	}
}

// waitingSuspects returns the number of suspects that wait for a VM of the pool.
func (c *Core) waitingSuspects(p *pool) int {
	n := 0
	for _, s := range p.stages {
		if !s.ready || !s.trackedJob.state.HasCrashes() {
			continue
		}
		for _, t := range s.tasks {
			if !t.done && len(t.runs) == 0 && c.isSuspect(t) {
				n++
			}
		}
	}
	return n
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

// loads returns the load of each pool but the spare one and the one without a name,
// which holds the stages of queues that are not configured.
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
	machine := c.machines[name]
	if machine.VM == "" || machine.VM == m.vm || machine.Pool != m.toPool {
		return nil
	}
	return c.vms[machine.VM]
}

// loadOf returns the load of a pool, without the machines that are on their way to it. It
// also updates the ranks of the pool's stages and its peak demand.
func (c *Core) loadOf(p *pool, now time.Time) *poolLoad {
	l := &poolLoad{pool: p, minVMs: minPoolVMs}
	for _, s := range p.stages {
		s.rank = c.rankOf(s, now)
		if s.ready && s.isDue(now) {
			l.addStage(s, now)
		}
	}
	for _, v := range p.vms {
		if v.listed && !v.Draining && !c.cordoned[v.ID] && !c.view.CentresOut[v.Centre] {
			l.addVM(v)
		}
	}
	slices.SortFunc(l.idle, func(a, b *vm) int {
		return cmp.Or(a.idleSince.Compare(b.idleSince), cmp.Compare(a.ID, b.ID))
	})
	slices.SortFunc(l.drainable, func(a, b *vm) int {
		return cmp.Or(cmp.Compare(a.used.CPU, b.used.CPU), cmp.Compare(a.ID, b.ID))
	})
	// The rate of arriving work, in core-seconds per second, is the number of cores that
	// it keeps busy. The number of waiting tasks shows that demand only after they have
	// piled up.
	l.demand.CPU = max(l.demand.CPU, int64(1000*p.offeredLoad.Expected(c.config.MoveTime, now)))
	l.peakDemand = p.peak.Update(l.demand, now)
	return l
}

// addVM adds a VM that counts towards the supply, and the demand of its runs. A VM whose
// runs are not known for certain counts as neither idle nor drainable.
func (l *poolLoad) addVM(v *vm) {
	l.supply = l.supply.Plus(v.Capacity)
	l.vms++
	for _, r := range v.runs {
		if r.task.stage.rank < rankLate {
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

// addStage adds the demand of a stage's waiting tasks, and the number of VMs over which
// its tasks have to be spread.
func (l *poolLoad) addStage(s *stage, now time.Time) {
	l.minVMs = max(l.minVMs, s.minSpreadVMs())
	if s.waitingTasks == 0 {
		return
	}
	need := s.need().Times(int64(s.waitingTasks))
	if s.rank >= rankLate {
		l.lateDemand = l.lateDemand.Plus(need)
		return
	}
	l.demand = l.demand.Plus(need)
	l.timely += s.waitingTasks
	l.urgent = l.urgent || s.rank == rankUrgent
	l.blocked = l.blocked || !s.blockedSince.IsZero() && now.Sub(s.blockedSince) > blockedTimeout
}

// blockedTimeout is how long a task must have fitted on no VM before its pool gets
// another one.
const blockedTimeout = 150 * time.Millisecond

// minSpreadVMs returns the least number of VMs over which the stage's remaining tasks
// have to be spread, or zero for a stage without such a bound.
func (s *stage) minSpreadVMs() int {
	if s.step.MaxPerVM == 0 {
		return 0
	}
	left := 0
	for _, t := range s.tasks {
		if !t.done {
			left++
		}
	}
	return (left + s.step.MaxPerVM - 1) / s.step.MaxPerVM
}

// PoolState is the state of one pool.
type PoolState struct {
	Name string
	// Usable is the number of VMs that accept tasks, Silent the number of VMs that do
	// not answer holds, and Closed the number of all other VMs.
	Usable, Silent, Closed int
	// Waiting is the number of tasks that wait for a VM.
	Waiting int
	// Slow and Fast are the numbers of VMs of notable speed.
	Slow, Fast int
	// Contended is set if tasks wait that fit on no VM.
	Contended bool
}

// Pools returns the states of all pools, ordered by name.
func (c *Core) Pools(now time.Time) []PoolState {
	var out []PoolState
	for _, p := range c.sortedPools() {
		s := PoolState{Name: p.name}
		for _, v := range p.vms {
			switch {
			case v.silent:
				s.Silent++
			case c.acceptsTasks(v, now):
				s.Usable++
			default:
				s.Closed++
			}
			switch {
			case v.slowdown > 0:
				s.Slow++
			case v.slowdown < 0:
				s.Fast++
			}
		}
		s.Waiting, s.Contended = p.waitingTasks(), p.lacksRoom()
		out = append(out, s)
	}
	return out
}
