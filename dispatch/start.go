package dispatch

import (
	"cmp"
	"slices"
	"time"

	"almondcove/route"
	"almondcove/share"
	"almondcove/task"
)

// StartReady starts every task that may start now, by calling its OnReady. When a
// task whose deadline has passed, or whose key or queue no longer exists, is the next
// to start, StartReady refuses it by calling its OnRefused.
func (c *Core) StartReady(now time.Time) {
	if c.config == nil {
		return
	}
	if at, ok := c.table.NextPauseEnd(); ok && !now.Before(at) {
		c.table.EndPauses(now)
		for pool := range c.poolQueues {
			c.dirty[pool] = true
		}
	}
	for pool := range c.dirty {
		delete(c.dirty, pool)
		c.dispatchPool(pool, now)
	}
}

// dispatchPool starts tasks of one pool until no VM has a free slot or no team is
// ready.
func (c *Core) dispatchPool(pool string, now time.Time) {
	q := c.poolQueue(pool)
	ready := func(team string, rank int) bool {
		return c.book.Free(team, now) > 0 && c.belowCap(pool, team, rank)
	}
	for q.Len() > 0 && c.table.HasCandidate(pool) {
		item := q.Next(c.allowedRanks(), ready)
		if item == nil {
			return
		}
		if !c.start(q, item, now) {
			return
		}
	}
}

// allowedRanks returns the number of classes whose tasks may start under the preset
// in force.
func (c *Core) allowedRanks() int {
	if c.config.Presets[c.config.Head.Preset].HoldDeferrable {
		return share.NumRanks - 1
	}
	return share.NumRanks
}

// start assigns one task to a VM, or refuses it. It returns false when no VM can
// take the task, which then goes back to the front of its team's queue.
func (c *Core) start(q *share.Queue, item *share.Item, now time.Time) bool {
	t := item.Value.(*Task)
	if why := c.refusalReason(t, now); why != "" {
		q.Charge(t.Team, -item.Cost)
		c.depth[t.Queue]--
		t.OnRefused(task.NotRun{Reason: why})
		return true
	}
	vm, ok := c.table.Choose(t.pool, t.failedVMs, now)
	if !ok && len(t.failedVMs) > 0 {
		vm, ok = c.table.Choose(t.pool, nil, now)
	}
	if !ok {
		q.Charge(t.Team, -item.Cost)
		q.PushFront(item)
		return false
	}
	c.lastAttempt++
	t.attempt = c.lastAttempt
	c.book.Start(t.Team, t.attempt, now)
	c.depth[t.Queue]--
	c.addRunning(t, 1)
	t.vm, t.startedAt = vm, now
	t.OnReady(vm)
	return true
}

// refusalReason returns why a waiting task may no longer start, or "".
func (c *Core) refusalReason(t *Task, now time.Time) task.Reason {
	if _, ok := c.config.Queues[t.Queue]; !ok {
		return task.ReasonQueueRemoved
	}
	if !now.Before(t.Deadline) {
		return task.ReasonDeadline
	}
	if t.Key == "" {
		return ""
	}
	if k, ok := c.config.Keys[t.Key]; !ok || k.Withdrawn {
		return task.ReasonKeyRevoked
	}
	return ""
}

// AttemptEnd describes how one attempt of a task ended.
type AttemptEnd struct {
	Proof task.Proof
	// Succeeded is false when the VM or the task itself failed. It matters only when
	// Proof is task.Done.
	Succeeded bool
	// Leaving is true when the VM refused the task because it is leaving.
	Leaving bool
	// Skipped is true when the entry did not send the task, for a reason that says
	// nothing about the VM.
	Skipped bool
	// Load is the load that the VM reported; negative means unknown.
	Load int
	// EndedBy is the time by which a task whose end is not proved has certainly
	// ended, because its lease has expired.
	EndedBy time.Time
}

// Finish records the end of an attempt.
func (c *Core) Finish(t *Task, e AttemptEnd, now time.Time) {
	if e.Leaving {
		c.MarkLeaving(t.vm)
	}
	c.table.Finish(t.vm, route.Report{Result: healthResult(t, e), Load: e.Load}, now)
	switch e.Proof {
	case task.Inconclusive, task.Running, task.NotFound:
		c.book.ExpireAt(t.Team, t.attempt, e.EndedBy)
	default:
		c.book.End(t.Team, t.attempt)
	}
	if e.Proof == task.Done && e.Succeeded {
		c.recordRunTime(t, now)
	} else {
		c.poolQueue(t.pool).Charge(t.Team, -t.item.Cost)
	}
	if e.Proof == task.Done && !e.Succeeded {
		t.failedAgain = slices.Contains(t.failedVMs, t.vm)
		t.failedVMs = append(t.failedVMs, t.vm)
	}
	c.addRunning(t, -1)
	c.dirty[t.pool] = true
	c.Wake(t.Team)
}

// Wake makes the core consider a team's waiting tasks again. It is called when the
// team's upper limit may allow another start.
func (c *Core) Wake(team string) {
	for pool, q := range c.poolQueues {
		if q.Wake(team) {
			c.dirty[pool] = true
		}
	}
}

// recordRunTime replaces the expected cost in the team's charge by the actual run
// time and updates the queue's moving average.
func (c *Core) recordRunTime(t *Task, now time.Time) {
	runTime := now.Sub(t.startedAt).Seconds()
	c.poolQueue(t.pool).Charge(t.Team, runTime-t.item.Cost)
	mean := c.expectedCost(t.Queue)
	c.meanCost[t.Queue] = mean + costSmoothing*(runTime-mean)
}

// healthResult returns what the end of an attempt shows about the VM's health.
func healthResult(t *Task, e AttemptEnd) route.Result {
	if e.Skipped {
		return route.Neutral
	}
	switch e.Proof {
	case task.Done:
		if e.Succeeded {
			return route.Succeeded
		}
		if len(t.failedVMs) > 0 {
			// The task also failed elsewhere, so this failure says little about the VM.
			return route.Neutral
		}
		return route.Failed
	case task.Refused:
		if !e.Leaving {
			return route.Busy
		}
	case task.Unsent, task.Inconclusive:
		return route.Unreachable
	}
	return route.Neutral
}

// Retry puts a task back at the front of its team's queue. The task must not be
// running anywhere. Retry returns false when the queue no longer exists or the retry
// budget is used up. A retry takes a token from the budget only if a VM began the
// task.
func (c *Core) Retry(t *Task, began bool) bool {
	if _, ok := c.config.Queues[t.Queue]; !ok {
		return false
	}
	if began {
		if c.retryTokens < 1 {
			return false
		}
		c.retryTokens--
	}
	t.item = share.Item{Team: t.Team, Rank: t.item.Rank, Cost: c.expectedCost(t.Queue), Value: t}
	c.poolQueue(t.pool).PushFront(&t.item)
	c.depth[t.Queue]++
	c.dirty[t.pool] = true
	return true
}

// Shortage is the number of units that a team's waiting tasks need at this entry
// beyond those that the entry may use.
type Shortage struct {
	Team  string
	Units int
}

// Shortages returns the shortage of each team that has tasks waiting only for units
// of its limit, the largest first.
func (c *Core) Shortages(now time.Time) []Shortage {
	units := make(map[string]int)
	for pool, q := range c.poolQueues {
		q.ForEachBacklog(func(team string, rank, waiting int) {
			if c.book.Free(team, now) <= 0 {
				units[team] += c.startable(pool, team, rank, waiting)
			}
		})
	}
	out := make([]Shortage, 0, len(units))
	for team, n := range units {
		if n > 0 {
			out = append(out, Shortage{Team: team, Units: n})
		}
	}
	slices.SortFunc(out, func(a, b Shortage) int { return cmp.Or(b.Units-a.Units, cmp.Compare(a.Team, b.Team)) })
	return out
}

// WaitsForUnits reports whether the team has waiting tasks that could start if its
// limit allowed it.
func (c *Core) WaitsForUnits(team string) bool {
	for pool, q := range c.poolQueues {
		for rank := range share.NumRanks {
			if c.startable(pool, team, rank, q.Waiting(team, rank)) > 0 {
				return true
			}
		}
	}
	return false
}

// startable returns how many of a team's waiting tasks of a class could start if the
// team's limit allowed it: the pool has a free slot, the preset allows the class, and
// the caps of a contended pool are not reached.
func (c *Core) startable(pool, team string, rank, waiting int) int {
	if waiting == 0 || rank >= c.allowedRanks() || !c.table.HasCandidate(pool) {
		return 0
	}
	return max(min(waiting, c.headroom(pool, team, rank)), 0)
}
