// Package roll plans the maintenance of the VMs of a fleet within the periods of
// their pools, and moves between pools towards the targets of the preset in
// force. A planned step never makes more VMs of a pool unavailable than its
// availability budget allows; VMs that failed or can't be seen use the budget
// first.
//
// A plan is a list of single steps for one snapshot of the fleet. The caller
// carries steps out, records them and plans again from a new snapshot, so a
// leader that stops in the middle of a plan leaves no state behind except the
// records, from which the next leader continues.
//
// # Usage
//
//	for _, a := range roll.Plan(snapshot) {
//		switch a := a.(type) {
//		case roll.Drain:
//			// record that a.VM takes no new tasks
//		case roll.Reboot:
//			// a.VM runs no task: reboot it
//		case roll.FinishMaintenance:
//			// a.VM has rebooted and answers: let it take tasks again
//		}
//	}
//
// The package does no input or output and reads no clock.
package roll

import (
	"cmp"
	"slices"
	"time"
)

// dueFraction is the part of its pool's period after which a VM is due. The rest
// is a margin in which the whole pool can be maintained although failures delay
// some drains.
const dueFraction = 0.7

// Snapshot is the state of the fleet at one time, from which a plan is made.
type Snapshot struct {
	Now   time.Time
	Pools map[string]Pool
	// VMs are all VMs of the fleet.
	VMs []VM
}

// Pool is the state and the settings of a pool that planning uses.
type Pool struct {
	Spare bool
	// Budget is the number of VMs that may be unavailable at once.
	Budget int
	// Period is the time within which each VM is maintained; zero means that
	// there is no periodic maintenance.
	Period time.Duration
	// Wave is the time at which the last maintenance wave started: every VM that
	// was last maintained before it is due.
	Wave time.Time
	// Target is the number of VMs that the pool should have; negative means that
	// any number will do.
	Target int
}

// VM is the state of a VM that planning uses.
type VM struct {
	Name   string
	Centre string
	Rack   string
	Pool   string
	// MovingTo is the pool that the VM is moving to, if any.
	MovingTo string
	// HomePool is the pool that lent the VM to its present one, if any.
	HomePool string
	// InMaintenance marks a VM that takes no new tasks until its maintenance is
	// over.
	InMaintenance bool
	// Disabled marks a VM that operators took out of service, by itself or with
	// its data centre.
	Disabled bool
	// Down marks a VM that failed, or that can't be seen.
	Down bool
	// Idle marks a VM that is proved to run no task and to receive none.
	Idle bool
	// Rebooted marks a VM that has rebooted since its maintenance started and
	// answers again.
	Rebooted bool
	// MaintainedAt is when the VM was last maintained.
	MaintainedAt time.Time
}

// unavailable reports whether the VM uses its pool's budget.
func (v VM) unavailable() bool {
	return v.InMaintenance || v.Disabled || v.Down || v.MovingTo != ""
}

// Action is one step of a plan. The types below implement it.
type Action interface{ action() }

type (
	// Drain starts the maintenance of a VM: it takes no new tasks.
	Drain struct{ VM string }
	// Reboot carries out the maintenance of a drained VM.
	Reboot struct{ VM string }
	// FinishMaintenance lets a rebooted VM take tasks again.
	FinishMaintenance struct{ VM string }
	// Move starts the move of a VM to another pool. A move to the VM's own pool
	// cancels the one in progress.
	Move struct{ VM, Pool string }
	// FinishMove puts a drained VM into the pool that it is moving to.
	FinishMove struct{ VM string }
)

func (Drain) action()             {}
func (Reboot) action()            {}
func (FinishMaintenance) action() {}
func (Move) action()              {}
func (FinishMove) action()        {}

// Plan returns the steps that can be carried out now, in this order.
func Plan(snapshot Snapshot) []Action {
	s := newPlanState(snapshot)
	s.advanceOngoing()
	s.startMoves()
	s.startDrains()
	return s.actions
}

// planState is the state of a plan while it is made.
type planState struct {
	snapshot Snapshot
	vms      []VM
	// budgetUsed counts the unavailable VMs of each pool, including those that the
	// plan makes unavailable.
	budgetUsed map[string]int
	// poolSizes is the number of VMs of each pool once the moves are finished.
	poolSizes map[string]int
	// locationSizes divides poolSizes by data centre and by rack. In the key of a
	// rack, its name follows a slash; the key of a data centre has no rack.
	locationSizes map[locationKey]int
	actions       []Action
}

func newPlanState(snapshot Snapshot) *planState {
	s := &planState{snapshot: snapshot, vms: slices.Clone(snapshot.VMs), budgetUsed: make(map[string]int), poolSizes: make(map[string]int), locationSizes: make(map[locationKey]int)}
	slices.SortFunc(s.vms, func(a, b VM) int { return cmp.Compare(a.Name, b.Name) })
	for _, v := range s.vms {
		if v.unavailable() {
			s.budgetUsed[v.Pool]++
		}
		s.adjustSizes(v, 1)
	}
	return s
}

// hasBudget reports whether one more VM of the pool may become unavailable. A
// spare pool has no limit.
func (s *planState) hasBudget(pool string) bool {
	p := s.snapshot.Pools[pool]
	return p.Spare || s.budgetUsed[pool] < p.Budget
}

// advanceOngoing advances the maintenance and the moves in progress. It runs
// before the plan starts new ones, since it frees the budget of each VM whose
// maintenance or move ends. Only finishMove may use budget.
func (s *planState) advanceOngoing() {
	for i, v := range s.vms {
		switch {
		case v.Down || !v.Idle && !v.Rebooted:
		case v.InMaintenance && v.Rebooted:
			s.actions = append(s.actions, FinishMaintenance{VM: v.Name})
			s.vms[i].InMaintenance = false
			s.vms[i].MaintainedAt = s.snapshot.Now
			if !s.vms[i].unavailable() {
				s.budgetUsed[v.Pool]--
			}
		case v.InMaintenance && v.Idle:
			s.actions = append(s.actions, Reboot{VM: v.Name})
		case v.MovingTo != "" && v.Idle:
			s.finishMove(i)
		}
	}
}

// finishMove ends the move of a VM. A disabled VM uses the budget of its new pool
// from then on, so its move waits until that pool has budget left.
func (s *planState) finishMove(i int) {
	v := s.vms[i]
	if v.Disabled && !s.hasBudget(v.MovingTo) {
		return
	}
	s.actions = append(s.actions, FinishMove{VM: v.Name})
	s.budgetUsed[v.Pool]--
	s.vms[i].Pool, s.vms[i].MovingTo = v.MovingTo, ""
	if v.Disabled {
		s.budgetUsed[v.MovingTo]++
	}
}
