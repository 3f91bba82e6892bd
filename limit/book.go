package limit

import (
	"maps"
	"slices"
	"time"
)

// ClockMargin is added to deadlines that another process measures on its own clock.
// It allows for clocks that run at different rates during one lease.
const ClockMargin = 500 * time.Millisecond

// Config configures a [Book].
type Config struct {
	// MaxTaskTime is the longest time that a task may run, counted from when it
	// was sent.
	MaxTaskTime time.Duration
}

// AttemptID identifies one attempt to run a task. It is unique within an entry.
type AttemptID uint64

// Book keeps the account of each team at one entry: the units that the team may
// use there, and the running tasks that use them. It is not safe for concurrent use.
type Book struct {
	maxTaskTime time.Duration
	// lowerAfter is when maxTaskTime may be lowered: by then, every task sent
	// under the present value has ended. It is zero if no lower value is pending.
	lowerAfter time.Time
	teams      map[string]*account
}

// account holds the units, loans and running tasks of one team.
type account struct {
	ownUnits int
	lent     map[string]*Loan
	borrowed map[string]*Loan
	// expired holds the borrowed loans that have ended and have not yet been reported
	// to their lenders as ended.
	expired map[string]*Loan
	// returned holds a tombstone for each borrowed loan that was returned in full: it
	// maps the loan's ID to the time from which no grant of the loan can still be
	// credited.
	returned      map[string]time.Time
	lentUnits     int
	borrowedUnits int
	// running maps an attempt to the time by which it has certainly ended. The
	// zero time means that its end will be reported.
	running map[AttemptID]time.Time
	// expiring is the number of attempts in running with a non-zero time.
	expiring int
}

// Loan is a number of units that one entry lends to another.
type Loan struct {
	ID   string
	Team string
	// Peer is the other party: the borrower in the lender's book, and the lender
	// in the borrower's.
	Peer  string
	Units int
	// End is, for the borrower, the time at which it stops using the units and,
	// for the lender, the latest time at which it gets them back. Each reads it on
	// its own clock.
	End time.Time
}

// New returns an empty [Book].
func New(c Config) *Book {
	return &Book{maxTaskTime: c.MaxTaskTime, teams: make(map[string]*account)}
}

// SetMaxTaskTime sets the longest time that a task may run, counted from when it
// was sent. A greater value takes effect at once. A lower value takes effect at
// the first call after every task sent under the greater value has ended.
func (b *Book) SetMaxTaskTime(d time.Duration, now time.Time) {
	switch {
	case d >= b.maxTaskTime:
		b.maxTaskTime, b.lowerAfter = d, time.Time{}
	case b.lowerAfter.IsZero():
		b.lowerAfter = now.Add(b.maxTaskTime + ClockMargin)
	case !now.Before(b.lowerAfter):
		b.maxTaskTime, b.lowerAfter = d, time.Time{}
	}
}

// MaxTaskTime returns the longest time that a task may run, counted from when it
// was sent.
func (b *Book) MaxTaskTime() time.Duration {
	return b.maxTaskTime
}

func (b *Book) account(team string) *account {
	a := b.teams[team]
	if a == nil {
		a = &account{
			lent:     make(map[string]*Loan),
			borrowed: make(map[string]*Loan),
			expired:  make(map[string]*Loan),
			returned: make(map[string]time.Time),
			running:  make(map[AttemptID]time.Time),
		}
		b.teams[team] = a
	}
	return a
}

// Teams returns the names of all teams that have an account, sorted.
func (b *Book) Teams() []string {
	return slices.Sorted(maps.Keys(b.teams))
}

// SetOwnUnits sets the units of the team that belong to the seats of the entry.
func (b *Book) SetOwnUnits(team string, units int) {
	b.account(team).ownUnits = units
}

// Start reports whether the attempt may run and, if so, counts it against the
// team. It refuses an attempt that is already counted.
func (b *Book) Start(team string, id AttemptID, now time.Time) bool {
	a := b.account(team)
	if _, ok := a.running[id]; ok {
		return false
	}
	if b.Free(team, now) <= 0 {
		return false
	}
	a.running[id] = time.Time{}
	return true
}

// ExpireAt sets the time at which the book stops counting the attempt, because its
// lease has certainly ended. It is used when the end of the attempt can't be proved.
// Only the first call for an attempt has an effect.
func (b *Book) ExpireAt(team string, id AttemptID, at time.Time) {
	a := b.account(team)
	if old, ok := a.running[id]; ok && old.IsZero() {
		a.running[id] = at
		a.expiring++
	}
}

// End stops counting the attempt. It is used when the end is proved.
func (b *Book) End(team string, id AttemptID) {
	a := b.account(team)
	if at, ok := a.running[id]; ok {
		if !at.IsZero() {
			a.expiring--
		}
		delete(a.running, id)
	}
}

// Free returns the number of the team's tasks that may start now. It is negative
// while more tasks run than the allowance covers.
func (b *Book) Free(team string, now time.Time) int {
	a := b.account(team)
	a.expire(now)
	return a.allowance() - len(a.running)
}

// Running returns the number of the team's attempts that are counted now.
func (b *Book) Running(team string, now time.Time) int {
	a := b.account(team)
	a.expire(now)
	return len(a.running)
}

// Allowance returns the units of the team that the entry may use now: its own
// units less those lent, plus those borrowed.
func (b *Book) Allowance(team string, now time.Time) int {
	a := b.account(team)
	a.expire(now)
	return a.allowance()
}

func (a *account) allowance() int {
	return max(a.ownUnits-a.lentUnits, 0) + a.borrowedUnits
}

// expire ends the loans and attempts whose time has passed, and removes tombstones
// that are no longer needed.
func (a *account) expire(now time.Time) {
	for id, l := range a.borrowed {
		if DeadlinePassed(l.End, now) {
			a.borrowedUnits -= l.Units
			delete(a.borrowed, id)
			a.expired[id] = l
		}
	}
	for id, l := range a.lent {
		if !now.Before(l.End) {
			a.lentUnits -= l.Units
			delete(a.lent, id)
		}
	}
	for id, at := range a.returned {
		if !now.Before(at) {
			delete(a.returned, id)
		}
	}
	if a.expiring == 0 {
		return
	}
	for id, at := range a.running {
		if !at.IsZero() && !now.Before(at) {
			a.expiring--
			delete(a.running, id)
		}
	}
}

// DeadlinePassed reports whether the deadline has passed on the monotonic clock or
// on the wall clock. Both are needed, since only the wall clock advances while the
// whole VM is suspended.
func DeadlinePassed(deadline, now time.Time) bool {
	return !now.Before(deadline) || !now.Round(0).Before(deadline.Round(0))
}
