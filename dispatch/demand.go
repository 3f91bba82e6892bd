package dispatch

import (
	"cmp"
	"maps"
	"math"
	"slices"

	"almondcove/share"
)

// overCommit is how many times the slots of a contended pool are given out, so
// that few stay idle between two looks at the demand.
const overCommit = 1.04

// Demand is what one entry could use of a pool for one team and class.
type Demand struct {
	Pool string
	Team string
	Rank int
	// Count is the number of its tasks that run or wait.
	Count int
	// Waits is true when some of them wait.
	Waits bool
}

// demandKey names one line of demand.
type demandKey struct {
	team string
	rank int
}

// contention is the state of a pool that has more work than slots.
type contention struct {
	// caps bounds the entry's running tasks while the pool is contended.
	caps map[demandKey]int
}

// Demands returns the entry's demand on the pools that are contended: those in
// which its own tasks wait, and those named by others.
func (c *Core) Demands(named map[string]bool) []Demand {
	var out []Demand
	for pool, q := range c.queues {
		if q.Len() == 0 && !named[pool] {
			continue
		}
		waiting := make(map[demandKey]int)
		q.Each(func(team string, rank, n int) {
			waiting[demandKey{team, rank}] = n
		})
		for key, n := range c.active[pool] {
			if n += waiting[key]; n > 0 {
				out = append(out, Demand{Pool: pool, Team: key.team, Rank: key.rank, Count: n, Waits: waiting[key] > 0})
			}
			delete(waiting, key)
		}
		for key, n := range waiting {
			out = append(out, Demand{Pool: pool, Team: key.team, Rank: key.rank, Count: n, Waits: true})
		}
	}
	slices.SortFunc(out, func(a, b Demand) int {
		return cmp.Or(cmp.Compare(a.Pool, b.Pool), cmp.Compare(a.Rank, b.Rank), cmp.Compare(a.Team, b.Team))
	})
	return out
}

// Named returns the pools in which others' tasks wait.
func Named(others []Demand) map[string]bool {
	out := make(map[string]bool)
	for _, d := range others {
		if d.Waits {
			out[d.Pool] = true
		}
	}
	return out
}

// Balance takes the demands of the data centre's other entries and bounds the
// entry's own starts on contended pools, so that each team gets its share of the
// data centre's slots through all entries together. The demands are hints: a
// late one costs fairness for a while and nothing else.
func (c *Core) Balance(others []Demand) {
	if c.config == nil {
		return
	}
	byPool := make(map[string][]Demand)
	for _, d := range others {
		byPool[d.Pool] = append(byPool[d.Pool], d)
	}
	own := make(map[string][]Demand)
	for _, d := range c.Demands(Named(others)) {
		own[d.Pool] = append(own[d.Pool], d)
	}
	contended := make(map[string]contention)
	for _, pool := range slices.Sorted(maps.Keys(own)) {
		mine := own[pool]
		if p, ok := c.contend(pool, mine, byPool[pool]); ok {
			contended[pool] = p
		}
	}
	c.contended = contended
	c.wakeAll()
}

// contend returns the caps for one pool, or false when its slots suffice.
func (c *Core) contend(pool string, mine, others []Demand) (contention, bool) {
	slots := c.table.Near(pool)
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
	parts := share.Fill(overCommit*float64(slots), claims)
	for i, cl := range claims {
		key := demandKey{cl.Team, cl.Rank}
		out.caps[key] = c.portion(parts[i], countOf(mine, key), cl.Want)
	}
	return out, true
}

func countOf(ds []Demand, key demandKey) int {
	for _, d := range ds {
		if d.Team == key.team && d.Rank == key.rank {
			return d.Count
		}
	}
	return 0
}

// portion returns the entry's part of a team's slots, in proportion to its
// part of the demand. What is left of a slot is rounded at random, so that the
// entries together come to the whole.
func (c *Core) portion(slots float64, mine, all int) int {
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

// within reports whether the caps of a contended pool allow one more start.
func (c *Core) within(pool, team string, rank int) bool {
	return c.room(pool, team, rank) > 0
}

// room returns how many more tasks of the team and class the caps of a
// contended pool allow.
func (c *Core) room(pool, team string, rank int) int {
	p, ok := c.contended[pool]
	if !ok {
		return math.MaxInt
	}
	key := demandKey{team, rank}
	most, ok := p.caps[key]
	if !ok {
		// New demand is not in the caps yet and gets its first slot.
		most = 1
	}
	return most - c.active[pool][key]
}

// count adds n to the entry's running tasks.
func (c *Core) count(t *Task, n int) {
	active := c.active[t.pool]
	if active == nil {
		active = make(map[demandKey]int)
		c.active[t.pool] = active
	}
	active[demandKey{t.Team, t.item.Rank}] += n
}
