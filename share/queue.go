// Package share decides whose task starts next when a pool is full.
//
// Tasks wait in one [Queue] for each pool. Urgent tasks go before normal ones
// and normal before deferrable. Within a class, teams take turns in weighted
// fair order: each team has a virtual time that advances by the cost of its
// starts divided by its share, and the team with the least goes next. A team
// that was idle starts from the present virtual time, so it neither saves up
// turns nor loses the next one.
//
// # Usage
//
//	q := share.New(share.Config{Share: cfg.Share})
//	q.Push(&share.Item{Team: "till", Rank: fleet.Normal.Rank(), Value: req})
//	item := q.Next(share.Ranks, func(team string, _ int) bool { return book.Free(team, now) > 0 })
//
// The package does no input or output and reads no clock.
package share

import "container/heap"

// Ranks is the number of classes.
const Ranks = 3

// lastTurn is how many turns pass until one begins with the last class.
const lastTurn = 20

// Config configures a queue.
type Config struct {
	// Share returns a team's weight, at least 1.
	Share func(team string) int
}

// Queue orders the waiting tasks of one pool. It is not safe for concurrent use.
type Queue struct {
	share func(team string) int
	ranks [Ranks]rank
	teams map[string]*turn
	size  int
	// turns counts the calls of Next.
	turns int
}

// Item is one waiting task.
type Item struct {
	Team string
	Rank int
	// Cost is the expected use of a slot in seconds; it must be positive.
	Cost float64
	// Value belongs to the caller.
	Value any

	line *line
	prev *Item
	next *Item
}

// turn is a team's virtual time, common to all classes of the pool.
type turn struct {
	virtual float64
}

// rank holds the lines of one class.
type rank struct {
	active  lineHeap
	parked  map[string]*line
	lines   map[string]*line
	virtual float64
}

// line is the first-in first-out list of one team in one class.
type line struct {
	team  string
	turn  *turn
	first *Item
	last  *Item
	size  int
	index int
}

// New returns an empty queue.
func New(c Config) *Queue {
	q := &Queue{share: c.Share, teams: make(map[string]*turn)}
	for i := range q.ranks {
		q.ranks[i] = rank{parked: make(map[string]*line), lines: make(map[string]*line)}
	}
	return q
}

// Len returns the number of waiting tasks.
func (q *Queue) Len() int {
	return q.size
}

// Waiting returns the number of the team's waiting tasks of a class.
func (q *Queue) Waiting(team string, rank int) int {
	if l := q.ranks[rank].lines[team]; l != nil {
		return l.size
	}
	return 0
}

// Ahead returns the number of the team's waiting tasks that go before a new one
// of the class.
func (q *Queue) Ahead(team string, rank int) int {
	n := 0
	for i := range rank + 1 {
		n += q.Waiting(team, i)
	}
	return n
}

// Push adds the item behind its team's others of the same class.
func (q *Queue) Push(it *Item) {
	q.place(it, false)
}

// PushFront adds the item before its team's others, for a task that was chosen
// but could not start.
func (q *Queue) PushFront(it *Item) {
	q.place(it, true)
}

func (q *Queue) place(it *Item, front bool) {
	r := &q.ranks[it.Rank]
	l := r.lines[it.Team]
	if l == nil {
		l = &line{team: it.Team, turn: q.turn(it.Team), index: -1}
		r.lines[it.Team] = l
	}
	l.insert(it, front)
	q.size++
	if l.index < 0 && r.parked[it.Team] == nil {
		l.turn.virtual = max(l.turn.virtual, r.virtual)
		heap.Push(&r.active, l)
	}
}

func (q *Queue) turn(team string) *turn {
	t := q.teams[team]
	if t == nil {
		t = &turn{}
		q.teams[team] = t
	}
	return t
}

// Remove takes a waiting item out and reports whether it was waiting. It costs
// the same however many wait.
func (q *Queue) Remove(it *Item) bool {
	l := it.line
	if l == nil {
		return false
	}
	l.remove(it)
	q.size--
	if l.size == 0 {
		q.rest(&q.ranks[it.Rank], l)
	}
	return true
}

// Next takes the item that goes next among the teams for which ready returns
// true, and charges its team. Only the first ranks classes are served; one turn
// in twenty begins with the last of them, so that none starves. It returns nil
// when there is none. Teams that are not ready are set apart until [Queue.Wake].
func (q *Queue) Next(ranks int, ready func(team string, rank int) bool) *Item {
	ranks = min(ranks, Ranks)
	q.turns++
	reverse := q.turns%lastTurn == 0
	for i := range ranks {
		if reverse {
			i = ranks - 1 - i
		}
		if it := q.nextOf(i, ready); it != nil {
			return it
		}
	}
	return nil
}

func (q *Queue) nextOf(i int, ready func(team string, rank int) bool) *Item {
	r := &q.ranks[i]
	for len(r.active) > 0 {
		l := r.active[0]
		if !ready(l.team, i) {
			heap.Pop(&r.active)
			r.parked[l.team] = l
			continue
		}
		it := l.first
		l.remove(it)
		q.size--
		r.virtual = max(r.virtual, l.turn.virtual)
		q.Charge(it.Team, it.Cost)
		if l.size == 0 {
			q.rest(r, l)
		}
		return it
	}
	return nil
}

// Charge adds cost, in seconds of a slot, to the team's virtual time. A
// negative cost corrects an earlier estimate.
func (q *Queue) Charge(team string, cost float64) {
	t := q.turn(team)
	t.virtual += cost / float64(max(q.share(team), 1))
	for i := range q.ranks {
		if l := q.ranks[i].lines[team]; l != nil && l.index >= 0 {
			heap.Fix(&q.ranks[i].active, l.index)
		}
	}
}

// Wake lets the team be asked again after it was not ready, and reports
// whether it waits.
func (q *Queue) Wake(team string) bool {
	woken := false
	for i := range q.ranks {
		r := &q.ranks[i]
		l := r.parked[team]
		if l == nil {
			continue
		}
		delete(r.parked, team)
		l.turn.virtual = max(l.turn.virtual, r.virtual)
		heap.Push(&r.active, l)
		woken = true
	}
	return woken
}

// WakeAll lets every team be asked again.
func (q *Queue) WakeAll() {
	for i := range q.ranks {
		for team := range q.ranks[i].parked {
			q.Wake(team)
		}
	}
}

// Each calls f for each team and class with the number of its waiting tasks.
func (q *Queue) Each(f func(team string, rank, waiting int)) {
	for i := range q.ranks {
		for team, l := range q.ranks[i].lines {
			if l.size > 0 {
				f(team, i, l.size)
			}
		}
	}
}

// rest takes an empty line out of the order. It stays for the team's next task.
func (q *Queue) rest(r *rank, l *line) {
	if l.index >= 0 {
		heap.Remove(&r.active, l.index)
	}
	delete(r.parked, l.team)
}
