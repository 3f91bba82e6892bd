package roll

import (
	"cmp"
	"slices"
	"time"
)

// The hysteresis of following demand. A move costs a drain and two changes, so
// demand has to stand for a while before it is followed, and longer before a
// lent VM goes home.
const (
	riseTime = 15 * time.Second
	fallTime = 2 * time.Minute
	// riseLoad and fallLoad are the demand for each slot above which a pool
	// gets a VM and below which it gives one back.
	riseLoad = 1.2
	fallLoad = 0.5
)

// Load is what one data centre's entries ask of a pool there.
type Load struct {
	Pool string
	// Want is the number of tasks that run or wait, Slots that of the pool's slots.
	Want  int
	Slots int
}

// Follower lends spare VMs of one data centre to pools that have more work than
// slots, and takes them back. The zero value is ready to use.
type Follower struct {
	// high and low are since when each pool's load is above or below its bounds.
	high map[string]time.Time
	low  map[string]time.Time
}

// Follow returns the VMs to lend and to take back now: at most one for each
// pool, and none while one is on its way to the pool.
func (f *Follower) Follow(p Picture, centre string, loads []Load) []Action {
	f.watch(p.Now, loads)
	vms := slices.Clone(p.VMs)
	slices.SortFunc(vms, func(a, b VM) int { return cmp.Compare(a.Name, b.Name) })
	loads = slices.Clone(loads)
	slices.SortFunc(loads, func(a, b Load) int { return cmp.Compare(a.Pool, b.Pool) })
	taken := make(map[string]bool)
	var out []Action
	for _, l := range loads {
		if onTheWay(vms, centre, l.Pool) {
			continue
		}
		if v, ok := f.pick(p, vms, centre, l, taken); ok {
			taken[v.VM] = true
			out = append(out, v)
			// The next move waits for the demand to stand once more.
			delete(f.high, l.Pool)
			delete(f.low, l.Pool)
		}
	}
	return out
}

// watch takes note of since when each pool is loaded as it is.
func (f *Follower) watch(now time.Time, loads []Load) {
	high, low := make(map[string]time.Time), make(map[string]time.Time)
	for _, l := range loads {
		load := float64(l.Want) / float64(max(l.Slots, 1))
		switch {
		case load > riseLoad:
			high[l.Pool] = since(f.high, l.Pool, now)
		case load < fallLoad:
			low[l.Pool] = since(f.low, l.Pool, now)
		}
	}
	f.high, f.low = high, low
}

func since(m map[string]time.Time, pool string, now time.Time) time.Time {
	if at, ok := m[pool]; ok {
		return at
	}
	return now
}

// onTheWay reports whether a VM of the data centre is moving to or from the pool.
func onTheWay(vms []VM, centre, pool string) bool {
	return slices.ContainsFunc(vms, func(v VM) bool {
		return v.Centre == centre && v.To != "" && (v.To == pool || v.Pool == pool)
	})
}

// pick returns the move that a pool's load asks for.
func (f *Follower) pick(p Picture, vms []VM, centre string, l Load, taken map[string]bool) (Move, bool) {
	at, high := f.high[l.Pool]
	if high && p.Now.Sub(at) >= riseTime {
		for _, v := range vms {
			if v.Centre == centre && p.Pools[v.Pool].Spare && !v.unavailable() && !taken[v.Name] {
				return Move{VM: v.Name, Pool: l.Pool}, true
			}
		}
	}
	at, low := f.low[l.Pool]
	if low && p.Now.Sub(at) >= fallTime {
		for _, v := range vms {
			if v.Centre == centre && v.Pool == l.Pool && v.Home != "" && !v.unavailable() {
				return Move{VM: v.Name, Pool: v.Home}, true
			}
		}
	}
	return Move{}, false
}
