package limit

import (
	"maps"
	"slices"
	"time"
)

// Margin covers clocks that run at different rates during one lease.
const Margin = 500 * time.Millisecond

// Config configures a book.
type Config struct {
	// Task is the longest time that a task may go on after it was sent.
	Task time.Duration
}

// Task numbers one try of one task at this entry.
type Task uint64

// Book is one entry's account of the units that it may use. It is not safe for
// concurrent use.
type Book struct {
	task time.Duration
	// lower is when the longest time may fall, since tasks that started before
	// have ended by then; zero while it need not fall.
	lower time.Time
	teams map[string]*account
}

// account is the state of one team.
type account struct {
	own  int
	lent map[string]*Loan
	held map[string]*Loan
	// owed holds ended loans whose lenders have not been told.
	owed map[string]*Loan
	// closed holds loans that were given back whole, until no grant of them can
	// still be on its way.
	closed  map[string]time.Time
	lentSum int
	heldSum int
	// running maps a task to the time at which it has certainly ended; the
	// zero time means that its end will be reported.
	running map[Task]time.Time
	// lapses counts the tasks that have a time in running.
	lapses int
}

// Loan is a number of units lent by one entry to another.
type Loan struct {
	ID   string
	Team string
	// Peer is the other party.
	Peer  string
	Units int
	// End is when the borrower stops using the units, on its own clock, or
	// when the lender gets them back at the latest, on its own.
	End time.Time
}

// New returns an empty book.
func New(c Config) *Book {
	return &Book{task: c.Task, teams: make(map[string]*account)}
}

// SetTask replaces the longest time that a task may go on after it was sent. A
// shorter time counts only once every task sent under the longer has ended.
func (b *Book) SetTask(d time.Duration, now time.Time) {
	switch {
	case d >= b.task:
		b.task, b.lower = d, time.Time{}
	case b.lower.IsZero():
		b.lower = now.Add(b.task + Margin)
	case !now.Before(b.lower):
		b.task, b.lower = d, time.Time{}
	}
}

// Task returns the longest time that a task may go on after it was sent.
func (b *Book) Task() time.Duration {
	return b.task
}

func (b *Book) account(team string) *account {
	a := b.teams[team]
	if a == nil {
		a = &account{
			lent:    make(map[string]*Loan),
			held:    make(map[string]*Loan),
			owed:    make(map[string]*Loan),
			closed:  make(map[string]time.Time),
			running: make(map[Task]time.Time),
		}
		b.teams[team] = a
	}
	return a
}

// Teams returns the names of all teams that the book knows, sorted.
func (b *Book) Teams() []string {
	return slices.Sorted(maps.Keys(b.teams))
}

// SetOwn sets the units that the entry's seats give the team.
func (b *Book) SetOwn(team string, units int) {
	b.account(team).own = units
}

// Start counts the task against the team and reports whether it may run. A
// task that is counted already is refused.
func (b *Book) Start(team string, task Task, now time.Time) bool {
	a := b.account(team)
	if _, ok := a.running[task]; ok {
		return false
	}
	if b.Free(team, now) <= 0 {
		return false
	}
	a.running[task] = time.Time{}
	return true
}

// Lapse keeps the task counted until at, when its lease has certainly ended.
// It is used when the end of the task can't be proved.
func (b *Book) Lapse(team string, task Task, at time.Time) {
	a := b.account(team)
	if old, ok := a.running[task]; ok && old.IsZero() {
		a.running[task] = at
		a.lapses++
	}
}

// End stops counting the task, whose end is proved.
func (b *Book) End(team string, task Task) {
	a := b.account(team)
	if at, ok := a.running[task]; ok {
		if !at.IsZero() {
			a.lapses--
		}
		delete(a.running, task)
	}
}

// Free returns the number of tasks that may start now.
func (b *Book) Free(team string, now time.Time) int {
	a := b.account(team)
	a.expire(now)
	return a.allowance() - len(a.running)
}

// Running returns the number of tasks that count now.
func (b *Book) Running(team string, now time.Time) int {
	a := b.account(team)
	a.expire(now)
	return len(a.running)
}

// Allowance returns the units that the entry may use now.
func (b *Book) Allowance(team string, now time.Time) int {
	a := b.account(team)
	a.expire(now)
	return a.allowance()
}

func (a *account) allowance() int {
	return max(a.own-a.lentSum, 0) + a.heldSum
}

// expire drops loans and tasks whose time has passed.
func (a *account) expire(now time.Time) {
	for id, l := range a.held {
		if Passed(l.End, now) {
			a.heldSum -= l.Units
			delete(a.held, id)
			a.owed[id] = l
		}
	}
	for id, l := range a.lent {
		if !now.Before(l.End) {
			a.lentSum -= l.Units
			delete(a.lent, id)
		}
	}
	for id, at := range a.closed {
		if !now.Before(at) {
			delete(a.closed, id)
		}
	}
	if a.lapses == 0 {
		return
	}
	for id, at := range a.running {
		if !at.IsZero() && !now.Before(at) {
			a.lapses--
			delete(a.running, id)
		}
	}
}

// Passed reports whether end has come on the monotonic or on the wall clock.
// Only the wall clock runs on while the whole VM is suspended.
func Passed(end, now time.Time) bool {
	return !now.Before(end) || !now.Round(0).Before(end.Round(0))
}
