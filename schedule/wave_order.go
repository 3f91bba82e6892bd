package schedule

import (
	"cmp"
	"slices"
	"time"

	"almondcove/job"
)

// serviceTurns tells how the availability budgets of services bind a wave. The tasks of a step
// move to other VMs one after the other, as its budget allows, so the machines with the step
// that takes the most turns come first. Machines whose turn is far off keep taking tasks.
type serviceTurns struct {
	// due is the number of runs, by stage, on machines whose maintenance has not begun, and
	// draining that on machines in progress.
	due, draining map[job.Stage]int
}

// turnsAhead is for how many turns of a step machines are drained at the same time, so that
// their other tasks have ended when the turn of the service task comes.
const turnsAhead = 2

// serviceTurnsOf counts the service tasks on the machines of a wave.
func (c *Core) serviceTurnsOf(w *wave) serviceTurns {
	turns := serviceTurns{due: make(map[job.Stage]int), draining: make(map[job.Stage]int)}
	for _, name := range w.Machines {
		v := c.vms[c.machines[name].VM]
		if v == nil || w.maintenanceBegun[name] {
			continue
		}
		for _, s := range v.budgetedStages() {
			turns.due[s.id]++
			if w.inProgress[name] != nil {
				turns.draining[s.id]++
			}
		}
	}
	return turns
}

// budgetedStages returns the stages of the service tasks on the VM that have an availability
// budget, one for each run.
func (v *vm) budgetedStages() []*stage {
	var out []*stage
	for _, r := range v.runs {
		if s := r.task.stage; s.step.Service && s.step.Budgeted {
			out = append(out, s)
		}
	}
	return out
}

// left returns the number of turns that the service tasks on a VM may have to wait for: those that
// their steps take.
func (t serviceTurns) left(v *vm) int {
	most := 0
	for _, s := range v.budgetedStages() {
		budget := max(s.step.MaxUnavailable, 1)
		most = max(most, (t.due[s.id]+budget-1)/budget)
	}
	return most
}

// take reports whether the turns of all service tasks on a VM are near, and if so counts them as
// being drained.
func (t serviceTurns) take(v *vm) bool {
	stages := v.budgetedStages()
	for _, s := range stages {
		if t.draining[s.id] >= turnsAhead*s.step.MaxUnavailable {
			return false
		}
	}
	for _, s := range stages {
		t.draining[s.id]++
	}
	return true
}

// orderForMaintenance returns the machines in the order in which a wave takes them: first those
// with service tasks whose turns are near, the most turns first; then those without budgeted
// tasks, by their eviction cost; and last those with a budget of zero. Of the free places, one is left to other machines while there are any, so that
// a service whose tasks can't move holds up nothing else. It leaves out machines whose turns
// are far off, unless the wave is late.
func (c *Core) orderForMaintenance(w *wave, machines []Machine, free int, now time.Time) []Machine {
	turns, late := c.serviceTurnsOf(w), c.waveLate(w, now)
	var bound, others, stuck []Machine
	costs, left := make(map[string]float64), make(map[string]int)
	for _, m := range machines {
		v := c.vms[m.VM]
		costs[m.Name] = evictionCost(v)
		switch {
		case v == nil || late || len(v.budgetedStages()) == 0:
			others = append(others, m)
		case v.hasFixedService():
			stuck = append(stuck, m)
		default:
			left[m.Name] = turns.left(v)
			bound = append(bound, m)
		}
	}
	byCost := func(a, b Machine) int { return cmp.Compare(costs[a.Name], costs[b.Name]) }
	slices.SortStableFunc(bound, func(a, b Machine) int {
		return cmp.Or(cmp.Compare(left[b.Name], left[a.Name]), byCost(a, b))
	})
	slices.SortStableFunc(others, byCost)
	slices.SortStableFunc(stuck, byCost)
	bound = slices.DeleteFunc(bound, func(m Machine) bool { return !turns.take(c.vms[m.VM]) })
	if n := max(free-1, 0); len(others) > 0 && len(bound) > n {
		bound, others = bound[:n], append(others, bound[n:]...)
	}
	return slices.Concat(bound, others, stuck)
}

// hasFixedService reports whether the VM runs a service task whose step has a budget of zero.
func (v *vm) hasFixedService() bool {
	return slices.ContainsFunc(v.budgetedStages(), func(s *stage) bool { return s.step.MaxUnavailable == 0 })
}
