// Package share decides whose task starts next when a pool is full.
//
// Tasks wait in one [Queue] per pool. Urgent tasks start before normal ones and
// normal ones before deferrable ones; a class's rank is its position in this
// order, from 0. Within a class, the order is weighted fair queueing over the
// teams: each team has a virtual time that advances by the cost of its starts
// divided by its share, and the team with the lowest virtual time is next. A
// team that was idle resumes at the class's current virtual time if its own is
// lower, so it neither gains credit while idle nor loses its next turn.
//
// # Usage
//
//	q := share.New(share.Config{Share: cfg.Share})
//	q.Push(&share.Item{Team: "till", Rank: fleet.Normal.Rank(), Value: req})
//	item := q.Next(share.NumRanks, func(team string, _ int) bool { return book.Free(team, now) > 0 })
//
// The package does no input or output and reads no clock.
package share

import "container/heap"

// NumRanks is the number of classes.
const NumRanks = 3

// lowRankInterval keeps the later classes from starving: one in lowRankInterval
// calls of [Queue.Next] tries the classes in reverse order, and [Fill] reserves up
// to 1/lowRankInterval of the slots for them.
const lowRankInterval = 20

// Config configures a queue.
type Config struct {
	// Share returns a team's weight, at least 1.
	Share func(team string) int
}

// Queue orders the waiting tasks of one pool. It is not safe for concurrent use.
type Queue struct {
	share   func(team string) int
	classes [NumRanks]class
	clocks  map[string]*clock
	size    int
	// calls counts the calls of Next.
	calls int
}

// Item is one waiting task.
type Item struct {
	Team string
	Rank int
	// Cost is the expected run time in a slot, in seconds; it must be positive.
	Cost float64
	// Value is for the caller's use.
	Value any

	teamQueue *teamQueue
	prev      *Item
	next      *Item
}

// clock holds a team's virtual time, which all classes of the pool share.
type clock struct {
	virtualTime float64
}

// class holds the waiting tasks of one class.
type class struct {
	// active holds the team queues that Next considers.
	active teamHeap
	// parked holds the team queues whose teams were not ready, by team.
	parked map[string]*teamQueue
	// teamQueues holds all team queues, including the empty ones.
	teamQueues map[string]*teamQueue
	// virtualTime is the highest virtual time of a team at a start in this class.
	virtualTime float64
}

// teamQueue is the first-in first-out queue of one team in one class.
type teamQueue struct {
	team      string
	clock     *clock
	first     *Item
	last      *Item
	size      int
	heapIndex int
}

// New returns an empty queue.
func New(c Config) *Queue {
	q := &Queue{share: c.Share, clocks: make(map[string]*clock)}
	for i := range q.classes {
		q.classes[i] = class{parked: make(map[string]*teamQueue), teamQueues: make(map[string]*teamQueue)}
	}
	return q
}

// Len returns the number of waiting tasks.
func (q *Queue) Len() int {
	return q.size
}

// Waiting returns the number of the team's waiting tasks in a class.
func (q *Queue) Waiting(team string, rank int) int {
	if tq := q.classes[rank].teamQueues[team]; tq != nil {
		return tq.size
	}
	return 0
}

// WaitingAhead returns the number of the team's waiting tasks that start before
// a new one of the class.
func (q *Queue) WaitingAhead(team string, rank int) int {
	n := 0
	for i := range rank + 1 {
		n += q.Waiting(team, i)
	}
	return n
}

// Push adds the item behind its team's other items of the same class.
func (q *Queue) Push(it *Item) {
	q.enqueue(it, false)
}

// PushFront adds the item before its team's other items of the same class. It
// is meant for a task that was taken from the queue but could not start.
func (q *Queue) PushFront(it *Item) {
	q.enqueue(it, true)
}

func (q *Queue) enqueue(it *Item, front bool) {
	cl := &q.classes[it.Rank]
	tq := cl.teamQueues[it.Team]
	if tq == nil {
		tq = &teamQueue{team: it.Team, clock: q.clock(it.Team), heapIndex: -1}
		cl.teamQueues[it.Team] = tq
	}
	tq.insert(it, front)
	q.size++
	if tq.heapIndex < 0 && cl.parked[it.Team] == nil {
		tq.clock.virtualTime = max(tq.clock.virtualTime, cl.virtualTime)
		heap.Push(&cl.active, tq)
	}
}

func (q *Queue) clock(team string) *clock {
	t := q.clocks[team]
	if t == nil {
		t = &clock{}
		q.clocks[team] = t
	}
	return t
}

// Remove removes the item if it is waiting, and reports whether it was. The time
// that this takes does not depend on the number of the team's waiting items.
func (q *Queue) Remove(it *Item) bool {
	tq := it.teamQueue
	if tq == nil {
		return false
	}
	tq.remove(it)
	q.size--
	if tq.size == 0 {
		q.deactivate(&q.classes[it.Rank], tq)
	}
	return true
}

// Next removes and returns the next item among the teams for which ready returns
// true, and charges the item's cost to its team. It returns nil when there is no
// such item. Only the first numRanks classes are served. One call in
// lowRankInterval (20) tries them in reverse order, so that no class starves. A
// team that is not ready in a class is parked there until [Queue.Wake].
func (q *Queue) Next(numRanks int, ready func(team string, rank int) bool) *Item {
	numRanks = min(numRanks, NumRanks)
	q.calls++
	reverse := q.calls%lowRankInterval == 0
	for i := range numRanks {
		if reverse {
			i = numRanks - 1 - i
		}
		if it := q.nextInClass(i, ready); it != nil {
			return it
		}
	}
	return nil
}

func (q *Queue) nextInClass(i int, ready func(team string, rank int) bool) *Item {
	cl := &q.classes[i]
	for len(cl.active) > 0 {
		tq := cl.active[0]
		if !ready(tq.team, i) {
			heap.Pop(&cl.active)
			cl.parked[tq.team] = tq
			continue
		}
		it := tq.first
		tq.remove(it)
		q.size--
		cl.virtualTime = max(cl.virtualTime, tq.clock.virtualTime)
		q.Charge(it.Team, it.Cost)
		if tq.size == 0 {
			q.deactivate(cl, tq)
		}
		return it
	}
	return nil
}

// Charge advances the team's virtual time by cost, in slot seconds, divided by
// the team's share. A negative cost corrects an earlier estimate.
func (q *Queue) Charge(team string, cost float64) {
	t := q.clock(team)
	t.virtualTime += cost / float64(max(q.share(team), 1))
	for i := range q.classes {
		if tq := q.classes[i].teamQueues[team]; tq != nil && tq.heapIndex >= 0 {
			heap.Fix(&q.classes[i].active, tq.heapIndex)
		}
	}
}

// Wake makes [Queue.Next] consider a parked team again, and reports whether the
// team was parked in any class.
func (q *Queue) Wake(team string) bool {
	woken := false
	for i := range q.classes {
		cl := &q.classes[i]
		tq := cl.parked[team]
		if tq == nil {
			continue
		}
		delete(cl.parked, team)
		tq.clock.virtualTime = max(tq.clock.virtualTime, cl.virtualTime)
		heap.Push(&cl.active, tq)
		woken = true
	}
	return woken
}

// WakeAll wakes every parked team.
func (q *Queue) WakeAll() {
	for i := range q.classes {
		for team := range q.classes[i].parked {
			q.Wake(team)
		}
	}
}

// ForEachBacklog calls f for each team and class that has waiting tasks, with
// their number.
func (q *Queue) ForEachBacklog(f func(team string, rank, waiting int)) {
	for i := range q.classes {
		for team, tq := range q.classes[i].teamQueues {
			if tq.size > 0 {
				f(team, i, tq.size)
			}
		}
	}
}

// deactivate removes an empty team queue from the heap or from the parked team
// queues. The class keeps the team queue for the team's next task.
func (q *Queue) deactivate(cl *class, tq *teamQueue) {
	if tq.heapIndex >= 0 {
		heap.Remove(&cl.active, tq.heapIndex)
	}
	delete(cl.parked, tq.team)
}
