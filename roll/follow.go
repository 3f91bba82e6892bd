package roll

import (
	"cmp"
	"slices"
	"time"
)

// The hysteresis of lending. A move costs a drain and two configuration changes,
// so a pool's load must stay high for lendDelay before the pool gets a VM, and
// low for the longer returnDelay before it returns one.
const (
	lendDelay   = 15 * time.Second
	returnDelay = 2 * time.Minute
	// lendThreshold and returnThreshold are loads in tasks per slot: above the
	// first a pool gets a VM, below the second it returns one.
	lendThreshold   = 1.2
	returnThreshold = 0.5
)

// Load is the demand of one data centre's entries for a pool there.
type Load struct {
	Pool string
	// Tasks is the number of running and waiting tasks, Slots the number of
	// slots of the pool.
	Tasks int
	Slots int
}

// DemandFollower plans moves of VMs of one data centre as the demand changes: it
// lends spare VMs to pools that have more tasks than slots, and returns them when
// the demand falls. The zero value is ready to use.
type DemandFollower struct {
	// highSince and lowSince hold, for each pool, the time since which its load
	// has been above lendThreshold or below returnThreshold.
	highSince map[string]time.Time
	lowSince  map[string]time.Time
}

// PlanMoves returns the moves that lend and return VMs now: at most one for each
// pool, and none while a VM is moving to or from the pool.
func (f *DemandFollower) PlanMoves(snapshot Snapshot, centre string, loads []Load) []Action {
	f.trackLoads(snapshot.Now, loads)
	vms := slices.Clone(snapshot.VMs)
	slices.SortFunc(vms, func(a, b VM) int { return cmp.Compare(a.Name, b.Name) })
	loads = slices.Clone(loads)
	slices.SortFunc(loads, func(a, b Load) int { return cmp.Compare(a.Pool, b.Pool) })
	taken := make(map[string]bool)
	var out []Action
	for _, l := range loads {
		if moveInProgress(vms, centre, l.Pool) {
			continue
		}
		if move, ok := f.nextMove(snapshot, vms, centre, l, taken); ok {
			taken[move.VM] = true
			out = append(out, move)
			// The load must stay beyond its threshold for the full delay again
			// before the next move.
			delete(f.highSince, l.Pool)
			delete(f.lowSince, l.Pool)
		}
	}
	return out
}

// trackLoads records since when each pool's load has been beyond a threshold.
func (f *DemandFollower) trackLoads(now time.Time, loads []Load) {
	highSince, lowSince := make(map[string]time.Time), make(map[string]time.Time)
	for _, l := range loads {
		load := float64(l.Tasks) / float64(max(l.Slots, 1))
		switch {
		case load > lendThreshold:
			highSince[l.Pool] = sinceOrNow(f.highSince, l.Pool, now)
		case load < returnThreshold:
			lowSince[l.Pool] = sinceOrNow(f.lowSince, l.Pool, now)
		}
	}
	f.highSince, f.lowSince = highSince, lowSince
}

// sinceOrNow returns the pool's time in m, or now if m has none.
func sinceOrNow(m map[string]time.Time, pool string, now time.Time) time.Time {
	if at, ok := m[pool]; ok {
		return at
	}
	return now
}

// moveInProgress reports whether a VM of the data centre is moving to or from
// the pool.
func moveInProgress(vms []VM, centre, pool string) bool {
	return slices.ContainsFunc(vms, func(v VM) bool {
		return v.Centre == centre && v.MovingTo != "" && (v.MovingTo == pool || v.Pool == pool)
	})
}

// nextMove returns the move that the pool's load calls for, if any. It does not
// lend a VM in taken, which an earlier move of the same plan uses.
func (f *DemandFollower) nextMove(snapshot Snapshot, vms []VM, centre string, l Load, taken map[string]bool) (Move, bool) {
	at, high := f.highSince[l.Pool]
	if high && snapshot.Now.Sub(at) >= lendDelay {
		for _, v := range vms {
			if v.Centre == centre && snapshot.Pools[v.Pool].Spare && !v.unavailable() && !taken[v.Name] {
				return Move{VM: v.Name, Pool: l.Pool}, true
			}
		}
	}
	at, low := f.lowSince[l.Pool]
	if low && snapshot.Now.Sub(at) >= returnDelay {
		for _, v := range vms {
			if v.Centre == centre && v.Pool == l.Pool && v.HomePool != "" && !v.unavailable() {
				return Move{VM: v.Name, Pool: v.HomePool}, true
			}
		}
	}
	return Move{}, false
}
