package dispatch

import (
	"cmp"
	"maps"
	"math"
	"slices"

	"almondcove/share"
)

// overcommitFactor is the ratio of allocated slots to existing slots of a contended
// pool. A value above 1 keeps most slots busy between two calls of [Core.Balance].
const overcommitFactor = 1.04

// Demand is one entry's demand for slots of a pool, for one team and class.
type Demand struct {
	Pool string
	Team string
	Rank int
	// Count is the number of tasks that run or wait.
	Count int
	// AnyWaiting reports whether at least one of these tasks waits.
	AnyWaiting bool
}

// demandKey identifies the demand of one team and class in a pool.
type demandKey struct {
	team string
	rank int
}

// contention is the state of a pool whose demand exceeds its slots.
type contention struct {
	// caps limits the number of the entry's running tasks, by team and class.
	caps map[demandKey]int
}

// Demands returns the entry's demands on the pools that may be contended: those in
// which its own tasks wait, and those in waitingPools, in which tasks of other
// entries wait.
func (c *Core) Demands(waitingPools map[string]bool) []Demand {
	var out []Demand
	for pool, q := range c.poolQueues {
		if q.Len() == 0 && !waitingPools[pool] {
			continue
		}
		waiting := make(map[demandKey]int)
		q.ForEachBacklog(func(team string, rank, n int) {
			waiting[demandKey{team, rank}] = n
		})
		for key, n := range c.running[pool] {
			if n += waiting[key]; n > 0 {
				out = append(out, Demand{Pool: pool, Team: key.team, Rank: key.rank, Count: n, AnyWaiting: waiting[key] > 0})
			}
			delete(waiting, key)
		}
		for key, n := range waiting {
			out = append(out, Demand{Pool: pool, Team: key.team, Rank: key.rank, Count: n, AnyWaiting: true})
		}
	}
	slices.SortFunc(out, func(a, b Demand) int {
		return cmp.Or(cmp.Compare(a.Pool, b.Pool), cmp.Compare(a.Rank, b.Rank), cmp.Compare(a.Team, b.Team))
	})
	return out
}

// WaitingPools returns the pools in which tasks of other entries wait, given the
// demands of those entries.
func WaitingPools(others []Demand) map[string]bool {
	out := make(map[string]bool)
	for _, d := range others {
		if d.AnyWaiting {
			out[d.Pool] = true
		}
	}
	return out
}

// Balance caps the entry's own running tasks on contended pools according to the
// demands of the data centre's other entries, so that each team gets its share of
// the data centre's slots over all entries together. The demands are hints: stale
// ones only make the shares unfair for a while.
func (c *Core) Balance(others []Demand) {
	if c.config == nil {
		return
	}
	byPool := make(map[string][]Demand)
	for _, d := range others {
		byPool[d.Pool] = append(byPool[d.Pool], d)
	}
	own := make(map[string][]Demand)
	for _, d := range c.Demands(WaitingPools(others)) {
		own[d.Pool] = append(own[d.Pool], d)
	}
	contended := make(map[string]contention)
	for _, pool := range slices.Sorted(maps.Keys(own)) {
		mine := own[pool]
		if caps, ok := c.poolCaps(pool, mine, byPool[pool]); ok {
			contended[pool] = caps
		}
	}
	c.contended = contended
	c.wakeAll()
}

// poolCaps returns the caps for one pool. It returns false when the pool needs none:
// no other entry has a demand, the data centre has no slots in the pool, or its slots
// suffice for all demands.
func (c *Core) poolCaps(pool string, mine, others []Demand) (contention, bool) {
	slots := c.table.LocalSlots(pool)
	if slots == 0 || len(others) == 0 {
		return contention{}, false
	}
	total := make(map[demandKey]int)
	for _, d := range slices.Concat(mine, others) {
		total[demandKey{d.Team, d.Rank}] += d.Count
	}
	claims := make([]share.Claim, 0, len(total))
	want := 0
	for key, n := range total {
		claims = append(claims, share.Claim{Team: key.team, Rank: key.rank, Weight: c.config.Share(key.team), Want: n})
		want += n
	}
	if want <= slots {
		return contention{}, false
	}
	slices.SortFunc(claims, func(a, b share.Claim) int {
		return cmp.Or(cmp.Compare(a.Rank, b.Rank), cmp.Compare(a.Team, b.Team))
	})
	out := contention{caps: make(map[demandKey]int)}
	parts := share.Fill(overcommitFactor*float64(slots), claims)
	for i, cl := range claims {
		key := demandKey{cl.Team, cl.Rank}
		out.caps[key] = c.ownPortion(parts[i], countOf(mine, key), cl.Want)
	}
	return out, true
}

// countOf returns the count of the demand with the given key, or 0.
func countOf(ds []Demand, key demandKey) int {
	for _, d := range ds {
		if d.Team == key.team && d.Rank == key.rank {
			return d.Count
		}
	}
	return 0
}

// ownPortion returns the entry's portion of a team's slots, in proportion to its
// part of the team's demand. The fraction of a slot is rounded up or down at random
// with matching probability, so that on average the portions of all entries add up
// to the team's slots.
func (c *Core) ownPortion(slots float64, mine, all int) int {
	if all == 0 {
		return 0
	}
	exact := slots * float64(mine) / float64(all)
	whole := math.Floor(exact)
	if c.random.Float64() < exact-whole {
		whole++
	}
	return int(whole)
}

// belowCap reports whether the pool's caps, if any, allow one more start.
func (c *Core) belowCap(pool, team string, rank int) bool {
	return c.headroom(pool, team, rank) > 0
}

// headroom returns how many more tasks of the team and class the pool's caps allow.
// A pool that is not contended has no caps.
func (c *Core) headroom(pool, team string, rank int) int {
	p, ok := c.contended[pool]
	if !ok {
		return math.MaxInt
	}
	key := demandKey{team, rank}
	allowed, ok := p.caps[key]
	if !ok {
		// A new demand has no cap until the next Balance; it may run one task.
		allowed = 1
	}
	return allowed - c.running[pool][key]
}

// addRunning adds n to the number of running tasks in the task's pool, team and class.
func (c *Core) addRunning(t *Task, n int) {
	running := c.running[t.pool]
	if running == nil {
		running = make(map[demandKey]int)
		c.running[t.pool] = running
	}
	running[demandKey{t.Team, t.item.Rank}] += n
}
