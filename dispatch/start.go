package dispatch

import (
	"cmp"
	"slices"
	"time"

	"almondcove/route"
	"almondcove/share"
	"almondcove/task"
)

// Next starts every task that may start now, by calling its Ready, and refuses
// those whose key or queue is gone, by calling their Refuse.
func (c *Core) Next(now time.Time) {
	if c.config == nil {
		return
	}
	if at, ok := c.table.Next(); ok && !now.Before(at) {
		c.table.Wake(now)
		for pool := range c.queues {
			c.dirty[pool] = true
		}
	}
	for pool := range c.dirty {
		delete(c.dirty, pool)
		c.drain(pool, now)
	}
}

// drain starts tasks of one pool until no VM or no team is ready.
func (c *Core) drain(pool string, now time.Time) {
	q := c.queue(pool)
	ready := func(team string, rank int) bool {
		return c.book.Free(team, now) > 0 && c.within(pool, team, rank)
	}
	for q.Len() > 0 && c.table.Ready(pool) {
		item := q.Next(c.ranks(), ready)
		if item == nil {
			return
		}
		if !c.start(q, item, now) {
			return
		}
	}
}

// ranks returns how many classes may start under the preset in force.
func (c *Core) ranks() int {
	if c.config.Presets[c.config.Head.Preset].Hold {
		return share.Ranks - 1
	}
	return share.Ranks
}

// start gives one task to a VM and reports whether the pool may have more.
func (c *Core) start(q *share.Queue, item *share.Item, now time.Time) bool {
	t := item.Value.(*Task)
	if why := c.barred(t, now); why != "" {
		q.Charge(t.Team, -item.Cost)
		c.depth[t.Queue]--
		t.Refuse(task.NotRun{Reason: why})
		return true
	}
	vm, ok := c.table.Choose(t.pool, t.failed, now)
	if !ok && len(t.failed) > 0 {
		vm, ok = c.table.Choose(t.pool, nil, now)
	}
	if !ok {
		q.Charge(t.Team, -item.Cost)
		q.PushFront(item)
		return false
	}
	c.tries++
	t.number = c.tries
	c.book.Start(t.Team, t.number, now)
	c.depth[t.Queue]--
	c.count(t, 1)
	t.vm, t.start = vm, now
	t.Ready(vm)
	return true
}

// barred says why a waiting task may no longer start, or returns "".
func (c *Core) barred(t *Task, now time.Time) task.Reason {
	if _, ok := c.config.Queues[t.Queue]; !ok {
		return task.Absent
	}
	if !now.Before(t.Deadline) {
		return task.Deadline
	}
	if t.Key == "" {
		return ""
	}
	if k, ok := c.config.Keys[t.Key]; !ok || k.Gone {
		return task.Revoked
	}
	return ""
}

// End is how one try of a task ended.
type End struct {
	Proof task.Proof
	// Good is false for a task that ended in a failure of the VM or of itself.
	Good bool
	// Leaving marks a VM that refused because it is leaving.
	Leaving bool
	// Skipped marks a task that was not sent for a reason of the entry's own.
	Skipped bool
	// Load is what the VM reported; negative means unknown.
	Load int
	// Lapse is when a task without a proved end has certainly ended.
	Lapse time.Time
}

// Finish takes note of the end of a try.
func (c *Core) Finish(t *Task, e End, now time.Time) {
	if e.Leaving {
		c.Leave(t.vm)
	}
	c.table.Finish(t.vm, route.Report{Result: resultOf(t, e), Load: e.Load}, now)
	switch e.Proof {
	case task.Nothing, task.Running, task.Unseen:
		c.book.Lapse(t.Team, t.number, e.Lapse)
	default:
		c.book.End(t.Team, t.number)
	}
	if e.Proof == task.Done && e.Good {
		c.learn(t, now)
	} else {
		c.queue(t.pool).Charge(t.Team, -t.item.Cost)
	}
	if e.Proof == task.Done && !e.Good {
		t.repeated = slices.Contains(t.failed, t.vm)
		t.failed = append(t.failed, t.vm)
	}
	c.count(t, -1)
	c.dirty[t.pool] = true
	c.Wake(t.Team)
}

// Wake lets a team be asked again after its limit may have room.
func (c *Core) Wake(team string) {
	for pool, q := range c.queues {
		if q.Wake(team) {
			c.dirty[pool] = true
		}
	}
}

// learn corrects the team's charge by the true run time and updates the mean.
func (c *Core) learn(t *Task, now time.Time) {
	took := now.Sub(t.start).Seconds()
	c.queue(t.pool).Charge(t.Team, took-t.item.Cost)
	mean := c.costOf(t.Queue)
	c.cost[t.Queue] = mean + costWeight*(took-mean)
}

func resultOf(t *Task, e End) route.Result {
	if e.Skipped {
		return route.Neutral
	}
	switch e.Proof {
	case task.Done:
		if e.Good {
			return route.Good
		}
		if len(t.failed) > 0 {
			// A task that failed elsewhere too says little about this VM.
			return route.Neutral
		}
		return route.Bad
	case task.Refused:
		if !e.Leaving {
			return route.Busy
		}
	case task.Unsent, task.Nothing:
		return route.Silent
	}
	return route.Neutral
}

// Retry puts a task back in front of its team's queue. The task must not run
// anywhere. It reports false when the retry budget is used up; a task that no
// VM began costs nothing.
func (c *Core) Retry(t *Task, began bool) bool {
	if _, ok := c.config.Queues[t.Queue]; !ok {
		return false
	}
	if began {
		if c.retries < 1 {
			return false
		}
		c.retries--
	}
	t.item = share.Item{Team: t.Team, Rank: t.item.Rank, Cost: c.costOf(t.Queue), Value: t}
	c.queue(t.pool).PushFront(&t.item)
	c.depth[t.Queue]++
	c.dirty[t.pool] = true
	return true
}

// Want is how many units of a team's limit the waiting tasks lack.
type Want struct {
	Team  string
	Units int
}

// Wants returns the teams whose tasks wait for nothing but their limit.
func (c *Core) Wants(now time.Time) []Want {
	lack := make(map[string]int)
	for pool, q := range c.queues {
		q.Each(func(team string, rank, waiting int) {
			if c.book.Free(team, now) <= 0 {
				lack[team] += c.startable(pool, team, rank, waiting)
			}
		})
	}
	out := make([]Want, 0, len(lack))
	for team, n := range lack {
		if n > 0 {
			out = append(out, Want{Team: team, Units: n})
		}
	}
	slices.SortFunc(out, func(a, b Want) int { return cmp.Or(b.Units-a.Units, cmp.Compare(a.Team, b.Team)) })
	return out
}

// WaitsForUnits reports whether the team has tasks that wait for nothing but
// its limit.
func (c *Core) WaitsForUnits(team string) bool {
	for pool, q := range c.queues {
		for rank := range share.Ranks {
			if c.startable(pool, team, rank, q.Waiting(team, rank)) > 0 {
				return true
			}
		}
	}
	return false
}

// startable returns how many of a team's waiting tasks of a class its limit alone
// may keep from starting: their pool has a free slot, the class may start, and
// their part of a contended pool is not used up.
func (c *Core) startable(pool, team string, rank, waiting int) int {
	if waiting == 0 || rank >= c.ranks() || !c.table.Ready(pool) {
		return 0
	}
	return max(min(waiting, c.room(pool, team, rank)), 0)
}
