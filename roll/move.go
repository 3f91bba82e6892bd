package roll

import (
	"cmp"
	"maps"
	"slices"
)

// moves starts moves from pools above their target to pools below it, as few
// as there are VMs missing. Spare pools give first, and a VM that moves back
// before it has left costs nothing.
func (s *state) moves() {
	names := slices.Sorted(maps.Keys(s.picture.Pools))
	// Spare pools are filled last, from what the others have too many.
	slices.SortStableFunc(names, func(a, b string) int {
		return cmp.Compare(rank(s.picture.Pools[a].Spare), rank(s.picture.Pools[b].Spare))
	})
	for _, to := range names {
		for s.missing(to) > 0 {
			if s.turnBack(to) {
				continue
			}
			if !s.moveTo(to) {
				break
			}
		}
	}
}

// missing returns how many VMs a pool lacks.
func (s *state) missing(pool string) int {
	p := s.picture.Pools[pool]
	if p.Target < 0 {
		return 0
	}
	return p.Target - s.count[pool]
}

// surplus returns how many VMs a pool can give.
func (s *state) surplus(pool string) int {
	p := s.picture.Pools[pool]
	if p.Spare {
		return s.count[pool]
	}
	if p.Target < 0 {
		return 0
	}
	return s.count[pool] - p.Target
}

// turnBack ends a move out of the pool that has not been carried out, towards
// a pool that can do without.
func (s *state) turnBack(pool string) bool {
	for i, v := range s.vms {
		if v.Pool != pool || v.To == "" || s.picture.Pools[v.To].Target >= 0 && s.surplus(v.To) <= 0 {
			continue
		}
		s.tally(v, -1)
		s.vms[i].To = ""
		s.tally(s.vms[i], 1)
		if !s.vms[i].unavailable() {
			s.used[pool]--
		}
		s.actions = append(s.actions, Move{VM: v.Name, Pool: pool})
		return true
	}
	return false
}

// moveTo starts one move to the pool and reports whether it could.
func (s *state) moveTo(pool string) bool {
	best := -1
	for i, v := range s.vms {
		if v.unavailable() || v.Pool == pool || s.surplus(v.Pool) <= 0 || !s.room(v.Pool) {
			continue
		}
		if s.picture.Pools[pool].Spare && s.picture.Pools[v.Pool].Spare {
			continue
		}
		if best < 0 || s.better(v, s.vms[best], pool) {
			best = i
		}
	}
	if best < 0 {
		return false
	}
	v := s.vms[best]
	s.used[v.Pool]++
	s.tally(v, -1)
	s.vms[best].To = pool
	s.tally(s.vms[best], 1)
	s.actions = append(s.actions, Move{VM: v.Name, Pool: pool})
	return true
}

// better reports whether a is a better VM than b to move to the pool: from a
// spare pool, into the data centre and then the rack where the pool has least.
func (s *state) better(a, b VM, pool string) bool {
	order := cmp.Or(
		cmp.Compare(rank(!s.picture.Pools[a.Pool].Spare), rank(!s.picture.Pools[b.Pool].Spare)),
		cmp.Compare(s.inCentre(pool, a), s.inCentre(pool, b)),
		cmp.Compare(s.inRack(pool, a), s.inRack(pool, b)),
		-cmp.Compare(s.inCentre(a.Pool, a), s.inCentre(b.Pool, b)),
	)
	return order < 0
}

func rank(last bool) int {
	if last {
		return 1
	}
	return 0
}

// inCentre returns how many VMs the pool has or will have in the VM's data centre.
func (s *state) inCentre(pool string, like VM) int {
	return s.spread[rackKey{pool: pool, centre: like.Centre}]
}

// inRack returns how many it has or will have in the VM's rack.
func (s *state) inRack(pool string, like VM) int {
	return s.spread[rackKey{pool, like.Centre, "/" + like.Rack}]
}

// tally counts a VM, or with -1 takes it off the count, where it is or goes.
func (s *state) tally(v VM, sign int) {
	pool := cmp.Or(v.To, v.Pool)
	s.count[pool] += sign
	s.spread[rackKey{pool: pool, centre: v.Centre}] += sign
	s.spread[rackKey{pool, v.Centre, "/" + v.Rack}] += sign
}
