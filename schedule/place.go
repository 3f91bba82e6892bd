package schedule

import (
	"slices"
	"time"

	"almondcove/job"
)

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
	return g.step.MaxPerVM == 0 || v.count(g.id) < g.step.MaxPerVM
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
	if t.stage.step.PreferredRack != "" && !slices.Contains(v.Labels, t.stage.step.PreferredRack) {
		sum += costFar
	}
	if slices.Contains(t.failedOn, v.ID) {
		sum += costFailed
	}
	if v.health.recentlyFailed() {
		sum += costDoubt
		if len(t.failedOn) > 0 {
			sum += costFailed
		}
	}
	return sum + v.maintenanceCost()
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
	places := c.gangPlaces(g, vms)
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
func (c *Core) gangPlaces(g *stage, vms []*vm) []*vm {
	if g.step.SingleRack || g.step.PreferredRack != "" {
		for _, rack := range racksOf(vms) {
			same := slices.DeleteFunc(slices.Clone(vms), func(v *vm) bool { return v.rack() != rack })
			if places := c.fill(g, same); places != nil {
				return places
			}
		}
	}
	return c.fill(g, vms)
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
func (c *Core) fill(g *stage, vms []*vm) []*vm {
	var out []*vm
	need := g.need()
	for _, v := range vms {
		used := v.used
		count := v.count(g.id)
		for len(out) < len(g.tasks) && used.Plus(need).Within(v.Capacity) {
			if g.step.Label != "" && !slices.Contains(v.Labels, g.step.Label) {
				break
			}
			if g.step.MaxPerVM > 0 && count >= g.step.MaxPerVM {
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
