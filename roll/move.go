package roll

import (
	"cmp"
	"maps"
	"slices"
)

// startMoves starts moves from pools above their targets to pools below theirs,
// one for each VM that a pool lacks. It takes VMs from spare pools first. Before
// it starts a move to a pool, it cancels a move out of that pool if it can,
// which needs no budget.
func (s *planState) startMoves() {
	names := slices.Sorted(maps.Keys(s.snapshot.Pools))
	// Spare pools come last: they receive the surplus of the other pools.
	slices.SortStableFunc(names, func(a, b string) int {
		return cmp.Compare(boolToInt(s.snapshot.Pools[a].Spare), boolToInt(s.snapshot.Pools[b].Spare))
	})
	for _, to := range names {
		for s.deficit(to) > 0 {
			if s.cancelMove(to) {
				continue
			}
			if !s.startMove(to) {
				break
			}
		}
	}
}

// deficit returns how many VMs the pool is below its target; it is negative
// when the pool is above it.
func (s *planState) deficit(pool string) int {
	p := s.snapshot.Pools[pool]
	if p.Target < 0 {
		return 0
	}
	return p.Target - s.poolSizes[pool]
}

// surplus returns how many VMs the pool can give away: all of a spare pool, and
// none of a pool without a target.
func (s *planState) surplus(pool string) int {
	p := s.snapshot.Pools[pool]
	if p.Spare {
		return s.poolSizes[pool]
	}
	if p.Target < 0 {
		return 0
	}
	return s.poolSizes[pool] - p.Target
}

// cancelMove cancels one unfinished move out of the pool, if its destination has
// no target or a surplus, and reports whether it found one.
func (s *planState) cancelMove(pool string) bool {
	for i, v := range s.vms {
		if v.Pool != pool || v.MovingTo == "" || s.snapshot.Pools[v.MovingTo].Target >= 0 && s.surplus(v.MovingTo) <= 0 {
			continue
		}
		s.adjustSizes(v, -1)
		s.vms[i].MovingTo = ""
		s.adjustSizes(s.vms[i], 1)
		if !s.vms[i].unavailable() {
			s.budgetUsed[pool]--
		}
		s.actions = append(s.actions, Move{VM: v.Name, Pool: pool})
		return true
	}
	return false
}

// startMove starts one move to the pool and reports whether it found a VM to move.
func (s *planState) startMove(pool string) bool {
	best := -1
	for i, v := range s.vms {
		if v.unavailable() || v.Pool == pool || s.surplus(v.Pool) <= 0 || !s.hasBudget(v.Pool) {
			continue
		}
		if s.snapshot.Pools[pool].Spare && s.snapshot.Pools[v.Pool].Spare {
			continue
		}
		if best < 0 || s.preferred(v, s.vms[best], pool) {
			best = i
		}
	}
	if best < 0 {
		return false
	}
	v := s.vms[best]
	s.budgetUsed[v.Pool]++
	s.adjustSizes(v, -1)
	s.vms[best].MovingTo = pool
	s.adjustSizes(s.vms[best], 1)
	s.actions = append(s.actions, Move{VM: v.Name, Pool: pool})
	return true
}

// preferred reports whether a is a better VM than b to move to the pool. It
// prefers, in this order, a VM of a spare pool, the data centre and the rack in
// which the pool has the fewest VMs, and the data centre in which the VM's own
// pool has the most.
func (s *planState) preferred(a, b VM, pool string) bool {
	order := cmp.Or(
		cmp.Compare(boolToInt(!s.snapshot.Pools[a.Pool].Spare), boolToInt(!s.snapshot.Pools[b.Pool].Spare)),
		cmp.Compare(s.sizeInCentre(pool, a), s.sizeInCentre(pool, b)),
		cmp.Compare(s.sizeInRack(pool, a), s.sizeInRack(pool, b)),
		-cmp.Compare(s.sizeInCentre(a.Pool, a), s.sizeInCentre(b.Pool, b)),
	)
	return order < 0
}

// boolToInt returns 1 for true and 0 for false, so that false sorts first.
func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

// sizeInCentre returns how many VMs the pool has or will have in v's data centre.
func (s *planState) sizeInCentre(pool string, v VM) int {
	return s.locationSizes[locationKey{pool: pool, centre: v.Centre}]
}

// sizeInRack returns how many VMs the pool has or will have in v's rack.
func (s *planState) sizeInRack(pool string, v VM) int {
	return s.locationSizes[locationKey{pool, v.Centre, "/" + v.Rack}]
}

// adjustSizes adds delta to the sizes that count the VM: those of the pool that
// it is in or moving to.
func (s *planState) adjustSizes(v VM, delta int) {
	pool := cmp.Or(v.MovingTo, v.Pool)
	s.poolSizes[pool] += delta
	s.locationSizes[locationKey{pool: pool, centre: v.Centre}] += delta
	s.locationSizes[locationKey{pool, v.Centre, "/" + v.Rack}] += delta
}
