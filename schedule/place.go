package schedule

import (
	"slices"
	"time"

	"almondcove/job"
)

// withinCap reports whether n more tasks of the stage stay within the cap of its team. A
// cap of zero means no limit.
func (c *Core) withinCap(s *stage, n int64) bool {
	return c.team(s.trackedJob.Team).allows(s, n)
}

// allows reports whether n more tasks of a stage stay within the team's cap.
func (t *team) allows(s *stage, n int64) bool {
	if t.cap == nil {
		return true
	}
	teamCap, total := *t.cap, t.used.Plus(t.gatedUse).Plus(s.step.Need.Times(n))
	return (teamCap.CPU == 0 || total.CPU <= teamCap.CPU) &&
		(teamCap.Memory == 0 || total.Memory <= teamCap.Memory) &&
		(teamCap.GPU == 0 || total.GPU <= teamCap.GPU)
}

// chooseVM returns the VM with the lowest cost for a task, or nil if the task fits
// on none. It also reports whether a VM has room for the task, even if it does not fit there
// for another reason.
func (c *Core) chooseVM(t *task, vms []*vm, now time.Time) (best *vm, room bool) {
	var bestCost float64
	for _, v := range vms {
		if c.closedForTrial(v, now) || !v.hasRoom(t.stage) {
			continue
		}
		room = true
		if !v.suits(t.stage) {
			continue
		}
		cost := c.cost(t, v)
		if best == nil || cost < bestCost {
			best, bestCost = v, cost
		}
	}
	return best, room
}

// fits reports whether one more task of a stage may run on a VM.
func (v *vm) fits(s *stage) bool { return v.hasRoom(s) && v.suits(s) }

// hasRoom reports whether the VM has the capacity for one more task of a stage.
func (v *vm) hasRoom(s *stage) bool { return v.used.Plus(s.need()).Within(v.Capacity) }

// suits reports whether the VM has the label that a stage requires, and fewer tasks of the
// stage than its MaxPerVM.
func (v *vm) suits(s *stage) bool {
	if s.step.Label != "" && !slices.Contains(v.Labels, s.step.Label) {
		return false
	}
	return s.step.MaxPerVM == 0 || v.stageRuns(s.id) < s.step.MaxPerVM
}

// stageRuns returns the number of the stage's runs on the VM.
func (v *vm) stageRuns(id job.Stage) int {
	n := 0
	for runID := range v.runs {
		if runID.Task.Stage() == id {
			n++
		}
	}
	return n
}

// The costs of a placement, which are added up to compare the VMs that a task fits on.
const (
	// costOtherRack is the cost of a VM outside the task's preferred rack, which holds its
	// data.
	costOtherRack = 1.0
	// costTaskFailed is the cost of a VM on which the task itself has failed or stalled.
	costTaskFailed = 4.0
	// costFailingVM is the cost of a VM on which a run has failed since the last success.
	// If the task itself has failed anywhere, costTaskFailed is added.
	costFailingVM = 0.5
	// costIdle is the cost of an idle VM. It falls to zero as the VM's cores are used, so
	// that tasks are packed and other VMs become idle, whose machines can then move.
	costIdle = 0.3
	// costTrial is the cost of a VM on which a suspect is on trial. It exceeds all others.
	costTrial = 100.0
)

// cost returns the cost of placing a task on a VM; the lowest is best.
func (c *Core) cost(t *task, v *vm) float64 {
	sum := costIdle * (1 - float64(v.used.CPU)/float64(max(v.Capacity.CPU, 1)))
	if t.stage.step.Service && len(v.runs) == 0 {
		// Service tasks are packed even more tightly, because a VM can't be drained for a
		// move while it runs one.
		sum += costIdle
	}
	if t.stage.step.PreferredRack != "" && !slices.Contains(v.Labels, t.stage.step.PreferredRack) {
		sum += costOtherRack
	}
	if slices.Contains(t.failedOn, v.ID) {
		sum += costTaskFailed
	}
	if v.health.recentlyFailed() {
		sum += costFailingVM
		if len(t.failedOn) > 0 {
			sum += costTaskFailed
		}
	}
	if v.trial != nil {
		sum += costTrial
	}
	return sum + v.speedCost(t.stage) + v.maintenanceCost(t.stage.step.Service)
}

// planGang starts all tasks of a gang at once, or none. If one of the tasks is done, has a
// run or is in its backoff, no task may start now.
func (c *Core) planGang(s *stage, vms []*vm, now time.Time) placement {
	runNumber := 0
	for _, t := range s.tasks {
		if t.done || len(t.runs) > 0 || now.Before(t.notBefore) || t.underVerdict {
			return placed{}
		}
		runNumber = max(runNumber, t.runNumber)
	}
	if !c.withinCap(s, int64(len(s.tasks))) {
		return postponed{}
	}
	places := c.placeGang(s, c.gangVMs(s, vms, now))
	if places == nil {
		return unplaced{}
	}
	if c.gangWaits(s, vms, places, now) {
		return postponed{}
	}
	checkpoint, away := s.tasks[0].checkpoint, gangAway(s.step, places)
	for i, t := range s.tasks {
		t.checkpoint = checkpoint
		c.startRun(t, places[i], runNumber+1, now)
		c.noteStart(t, away, now)
	}
	if c.isSuspect(s.tasks[0]) {
		for _, v := range places {
			c.beginTrial(s.tasks[0], v, now)
		}
	}
	return placed{}
}

// placeGang returns a VM for each task of a gang, or nil if they do not all fit. For a
// gang that asks for a single rack or prefers one, it first tries each rack by itself and
// then all VMs.
func (c *Core) placeGang(s *stage, vms []*vm) []*vm {
	if s.step.SingleRack || s.step.PreferredRack != "" {
		for _, rack := range c.preferRack(s.step, racksOf(vms)) {
			inRack := slices.DeleteFunc(slices.Clone(vms), func(v *vm) bool { return v.rack() != rack })
			if places := c.firstFit(s, inRack); places != nil {
				return places
			}
		}
	}
	return c.firstFit(s, vms)
}

// rack returns the name of the VM's rack, which is its last label.
func (v *vm) rack() string {
	if len(v.Labels) == 0 {
		return ""
	}
	return v.Labels[len(v.Labels)-1]
}

// racksOf returns the distinct racks of the VMs in the order of their first VMs.
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
func (c *Core) firstFit(s *stage, vms []*vm) []*vm {
	var out []*vm
	need := s.need()
	for _, v := range vms {
		used := v.used
		stageRuns := v.stageRuns(s.id)
		for len(out) < len(s.tasks) && used.Plus(need).Within(v.Capacity) {
			if s.step.Label != "" && !slices.Contains(v.Labels, s.step.Label) {
				break
			}
			if s.step.MaxPerVM > 0 && stageRuns >= s.step.MaxPerVM {
				break
			}
			used = used.Plus(need)
			stageRuns++
			out = append(out, v)
		}
	}
	if len(out) < len(s.tasks) {
		return nil
	}
	return out
}
