// Package roll plans what happens to the VMs of a fleet: maintenance within
// its period, and moves between pools towards the targets of the preset in
// force. It never lets a planned act pass a pool's availability budget, which
// failed and unseen VMs use up first.
//
// A plan is a list of single steps for the present picture. Whoever carries
// them out looks again afterwards, so that a leader that stops in the middle
// leaves nothing behind but records that the next one reads.
//
// # Usage
//
//	for _, a := range roll.Plan(picture) {
//		switch a := a.(type) {
//		case roll.Drain:
//			// record that a.VM takes no new tasks
//		case roll.Reboot:
//			// it has none left: reboot it
//		case roll.Return:
//			// it is proved healthy: let it take tasks again
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

// early is the part of a period after which a VM is due, so that the whole
// pool is done before the period ends although failures hold some drains up.
const early = 0.7

// Picture is what a planner knows of the fleet.
type Picture struct {
	Now   time.Time
	Pools map[string]Pool
	// VMs are all VMs of the fleet.
	VMs []VM
}

// Pool is a pool as a planner sees it.
type Pool struct {
	Spare bool
	// Budget is the number of VMs that may be unavailable at once.
	Budget int
	// Period is the time within which each VM is maintained; zero means never.
	Period time.Duration
	// Wave makes every VM due that was maintained before it.
	Wave time.Time
	// Target is the wished number of VMs; negative means that any will do.
	Target int
}

// VM is a VM as a planner sees it.
type VM struct {
	Name   string
	Centre string
	Rack   string
	Pool   string
	// To is the pool that the VM moves to, if any.
	To string
	// Home is the pool that lent the VM to its present one, if any.
	Home string
	// Out marks a VM that is out for maintenance.
	Out bool
	// Leave marks a VM that operators took out, or whose data centre is out.
	Leave bool
	// Down marks a VM that failed, or that can't be seen.
	Down bool
	// Idle is true when the VM is proved to run no task and to get none.
	Idle bool
	// Fresh is true when the VM has been rebooted since it was taken out and
	// answers.
	Fresh bool
	// Done is when the VM was last maintained.
	Done time.Time
}

// unavailable reports whether the VM counts against its pool's budget.
func (v VM) unavailable() bool {
	return v.Out || v.Leave || v.Down || v.To != ""
}

// Action is one step. The implementations are the types below.
type Action interface{ action() }

type (
	// Drain takes a VM out for maintenance.
	Drain struct{ VM string }
	// Reboot maintains a VM that runs nothing.
	Reboot struct{ VM string }
	// Return lets a maintained VM take tasks again.
	Return struct{ VM string }
	// Move starts the move of a VM to another pool.
	Move struct{ VM, Pool string }
	// Place ends the move of a VM that runs nothing.
	Place struct{ VM string }
)

func (Drain) action()  {}
func (Reboot) action() {}
func (Return) action() {}
func (Move) action()   {}
func (Place) action()  {}

// Plan returns the steps that may be taken now, in their order.
func Plan(p Picture) []Action {
	s := newState(p)
	s.finish()
	s.moves()
	s.drains()
	return s.actions
}

// state is a plan in the making.
type state struct {
	picture Picture
	vms     []VM
	// used counts the unavailable VMs of each pool, planned ones included.
	used map[string]int
	// count is the number of VMs that each pool has or will have.
	count map[string]int
	// spread is the same for each data centre and, after a slash, each rack.
	spread  map[rackKey]int
	actions []Action
}

func newState(p Picture) *state {
	s := &state{picture: p, vms: slices.Clone(p.VMs), used: make(map[string]int), count: make(map[string]int), spread: make(map[rackKey]int)}
	slices.SortFunc(s.vms, func(a, b VM) int { return cmp.Compare(a.Name, b.Name) })
	for _, v := range s.vms {
		if v.unavailable() {
			s.used[v.Pool]++
		}
		s.tally(v, 1)
	}
	return s
}

// room reports whether one more VM of the pool may become unavailable.
func (s *state) room(pool string) bool {
	p := s.picture.Pools[pool]
	return p.Spare || s.used[pool] < p.Budget
}

// finish brings what is under way to its end. It needs no budget, and what
// returns makes room for others.
func (s *state) finish() {
	for i, v := range s.vms {
		switch {
		case v.Down || !v.Idle && !v.Fresh:
		case v.Out && v.Fresh:
			s.actions = append(s.actions, Return{VM: v.Name})
			s.vms[i].Out = false
			s.vms[i].Done = s.picture.Now
			if !s.vms[i].unavailable() {
				s.used[v.Pool]--
			}
		case v.Out && v.Idle:
			s.actions = append(s.actions, Reboot{VM: v.Name})
		case v.To != "" && v.Idle:
			s.place(i)
		}
	}
}

// place ends the move of a VM. One that operators took out uses the budget of
// its new pool from then on.
func (s *state) place(i int) {
	v := s.vms[i]
	if v.Leave && !s.room(v.To) {
		return
	}
	s.actions = append(s.actions, Place{VM: v.Name})
	s.used[v.Pool]--
	s.vms[i].Pool, s.vms[i].To = v.To, ""
	if v.Leave {
		s.used[v.To]++
	}
}
