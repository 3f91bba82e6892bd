package schedule

import (
	"slices"
	"time"

	"almondcove/job"
)

// withinCap reports whether the stage's team may run n more tasks of the stage. A
// cap of zero is no limit.
func (c *Core) withinCap(g *stage, n int64) bool {
	limit := c.view.Teams[g.trackedJob.Team].Cap
	total := c.team(g.trackedJob.Team).used.Plus(g.step.Need.Times(n))
	return (limit.CPU == 0 || total.CPU <= limit.CPU) &&
		(limit.Memory == 0 || total.Memory <= limit.Memory) &&
		(limit.GPU == 0 || total.GPU <= limit.GPU)
}

// chooseVM returns the VM with the lowest cost for a task, or nil if the task fits
// on none.
func (c *Core) chooseVM(t *task, vms []*vm) *vm {
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

// fits reports whether one more task of a stage may run on a VM: the VM has the
// capacity and the label, and the tasks of the stage stay spread.
func (c *Core) fits(g *stage, v *vm) bool {
	if !v.used.Plus(g.need()).Within(v.Capacity) {
		return false
	}
	if g.step.Label != "" && !slices.Contains(v.Labels, g.step.Label) {
		return false
	}
	return g.step.MaxPerVM == 0 || v.stageRuns(g.id) < g.step.MaxPerVM
}

// stageRuns returns the number of the stage's runs on the VM.
func (v *vm) stageRuns(id job.Stage) int {
	n := 0
	for k := range v.runs {
		if k.Task.Stage() == id {
			n++
		}
	}
	return n
}

// The costs of a placement, by which the VMs that a task fits on are compared.
const (
	// costOtherRack is the cost of a rack without the task's data.
	costOtherRack = 1.0
	// costFailed is the cost of a VM on which the task has failed before.
	costFailed = 4.0
	// costDoubtful is the cost of a VM on which the last jobs have failed.
	costDoubtful = 0.5
	// costIdle is the cost of an idle VM; the more cores of a VM are in use, the less
	// it costs. Packing leaves other VMs idle, so that they can be moved.
	costIdle = 0.3
)

// cost returns the cost of placing a task on a VM; the lowest is best.
func (c *Core) cost(t *task, v *vm) float64 {
	sum := costIdle * (1 - float64(v.used.CPU)/float64(max(v.Capacity.CPU, 1)))
	if t.stage.step.Service && len(v.runs) == 0 {
		// Service tasks are packed more tightly, so that other VMs become idle and can
		// be moved.
		sum += costIdle
	}
	if t.stage.step.PreferredRack != "" && !slices.Contains(v.Labels, t.stage.step.PreferredRack) {
		sum += costOtherRack
	}
	if slices.Contains(t.failedOn, v.ID) {
		sum += costFailed
	}
	if v.health.recentlyFailed() {
		sum += costDoubtful
		if len(t.failedOn) > 0 {
			sum += costFailed
		}
	}
	return sum + v.maintenanceCost()
}

// planGang starts all tasks of a gang at once, or none. It reports whether they
// were started or have no need of VMs now.
func (c *Core) planGang(g *stage, vms []*vm, now time.Time) bool {
	runNumber := 0
	for _, t := range g.tasks {
		if t.done || len(t.runs) > 0 || now.Before(t.notBefore) {
			return true
		}
		runNumber = max(runNumber, t.runNumber)
	}
	if !c.withinCap(g, int64(len(g.tasks))) {
		return false
	}
	places := c.placeGang(g, vms)
	if places == nil {
		return false
	}
	checkpoint := g.tasks[0].checkpoint
	for i, t := range g.tasks {
		t.checkpoint = checkpoint
		c.startRun(t, places[i], runNumber+1, now)
	}
	return true
}

// placeGang returns a VM for each task of a gang, or nil if they do not all fit. For
// a gang that asks for a single rack, or whose data lies on one, it tries to use the
// VMs of one rack before it uses all.
func (c *Core) placeGang(g *stage, vms []*vm) []*vm {
	if g.step.SingleRack || g.step.PreferredRack != "" {
		for _, rack := range racksOf(vms) {
			same := slices.DeleteFunc(slices.Clone(vms), func(v *vm) bool { return v.rack() != rack })
			if places := c.firstFit(g, same); places != nil {
				return places
			}
		}
	}
	return c.firstFit(g, vms)
}

// rack returns the name of the VM's rack, which is its last label.
func (v *vm) rack() string {
	if len(v.Labels) == 0 {
		return ""
	}
	return v.Labels[len(v.Labels)-1]
}

// racksOf returns the different racks of the VMs in the order of their first VM.
func racksOf(vms []*vm) []string {
	var out []string
	for _, v := range vms {
		if !slices.Contains(out, v.rack()) {
			out = append(out, v.rack())
		}
	}
	return out
}

// firstFit places the tasks of a gang by first-fit packing: each on the first of
// the VMs that still has room. It returns nil if they do not all fit.
func (c *Core) firstFit(g *stage, vms []*vm) []*vm {
	var out []*vm
	need := g.need()
	for _, v := range vms {
		used := v.used
		stageRuns := v.stageRuns(g.id)
		for len(out) < len(g.tasks) && used.Plus(need).Within(v.Capacity) {
			if g.step.Label != "" && !slices.Contains(v.Labels, g.step.Label) {
				break
			}
			if g.step.MaxPerVM > 0 && stageRuns >= g.step.MaxPerVM {
				break
			}
			used = used.Plus(need)
			stageRuns++
			out = append(out, v)
		}
	}
	if len(out) < len(g.tasks) {
		return nil
	}
	return out
}
