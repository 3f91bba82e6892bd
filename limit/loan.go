package limit

import (
	"cmp"
	"slices"
	"time"
)

// returnedRetention is how long the tombstone of a returned loan is kept. It
// exceeds the longest time that a grant can be in transit and still be credited.
const returnedRetention = 30 * time.Second

// Lend debits up to want units for the peer and returns the loan. The loan has
// zero units if none are free. The borrower may use the units for term, counted
// from when it sent its request. A call with the id of a current loan renews that
// loan.
func (b *Book) Lend(id, team, peer string, want int, term time.Duration, now time.Time) Loan {
	a := b.account(team)
	a.expire(now)
	end := now.Add(term + b.maxTaskTime + ClockMargin)
	if old, ok := a.lent[id]; ok {
		old.End = end
		return *old
	}
	// Borrowed units are never lent again: this entry can't extend their loan.
	units := min(want, a.ownUnits-a.lentUnits-max(len(a.running)-a.borrowedUnits, 0))
	if units <= 0 {
		return Loan{ID: id, Team: team, Peer: peer}
	}
	loan := &Loan{ID: id, Team: team, Peer: peer, Units: units, End: end}
	a.lent[id] = loan
	a.lentUnits += units
	return *loan
}

// AcceptReturn credits the units of a loan that the borrower has returned. The
// remaining units of the loan stay debited. An unknown id has no effect: that loan
// has already ended.
func (b *Book) AcceptReturn(id, team string, remaining int) {
	a := b.account(team)
	l, ok := a.lent[id]
	if !ok || remaining >= l.Units {
		return
	}
	a.lentUnits -= l.Units - remaining
	l.Units = remaining
	if remaining == 0 {
		delete(a.lent, id)
	}
}

// Borrow credits a loan until l.End. A call with the id of a current loan renews that
// loan: it sets the loan's end to l.End and credits no more units. Borrow ignores a
// grant that has no units or has ended, and one of a loan that was returned.
func (b *Book) Borrow(l Loan, now time.Time) {
	a := b.account(l.Team)
	a.expire(now)
	if l.Units <= 0 || DeadlinePassed(l.End, now) {
		return
	}
	if old, ok := a.borrowed[l.ID]; ok {
		old.End = l.End
		return
	}
	if _, ok := a.returned[l.ID]; ok {
		// The lender may already have credited the returned units.
		return
	}
	if old, ok := a.expired[l.ID]; ok {
		// The grant may still include units that were returned before the loan
		// ended here: the lender may not have processed that return yet.
		l.Units = min(l.Units, old.Units)
		delete(a.expired, l.ID)
	}
	a.borrowed[l.ID] = &l
	a.borrowedUnits += l.Units
}

// ReturnIdle removes idle borrowed units from the book, at most maxUnits. It returns
// the loans that changed, each with its remaining units, so that the lenders can be
// notified.
func (b *Book) ReturnIdle(team string, maxUnits int, now time.Time) []Loan {
	a := b.account(team)
	a.expire(now)
	idle := min(maxUnits, a.allowance()-len(a.running))
	var out []Loan
	for _, l := range a.borrowedByID() {
		if idle <= 0 {
			break
		}
		n := min(idle, l.Units)
		idle -= n
		a.borrowedUnits -= n
		l.Units -= n
		out = append(out, *l)
		if l.Units == 0 {
			delete(a.borrowed, l.ID)
			a.returned[l.ID] = l.End.Add(returnedRetention)
		}
	}
	return out
}

// TakeExpiredLoans returns the borrowed loans that have ended here, so that their
// lenders can be notified, and removes them from the book. A lender that is not
// notified keeps the units debited until the loan ends there. TakeExpiredLoans
// returns nothing while more of the team's tasks run than its allowance covers,
// since some of them still use the units of expired loans.
func (b *Book) TakeExpiredLoans(team string, now time.Time) []Loan {
	a := b.account(team)
	a.expire(now)
	if len(a.expired) == 0 || len(a.running) > a.allowance() {
		return nil
	}
	var out []Loan
	for _, l := range a.expired {
		a.returned[l.ID] = now.Add(returnedRetention)
		l.Units = 0
		out = append(out, *l)
	}
	clear(a.expired)
	sortLoans(out)
	return out
}

// LoansEndingBefore returns the team's borrowed loans that end before the cutoff.
func (b *Book) LoansEndingBefore(team string, cutoff, now time.Time) []Loan {
	a := b.account(team)
	a.expire(now)
	var out []Loan
	for _, l := range a.borrowed {
		if l.End.Before(cutoff) {
			out = append(out, *l)
		}
	}
	sortLoans(out)
	return out
}

// FitsWithin reports whether the given number of own units would cover the units
// that the entry has lent and the running tasks that borrowed units don't cover.
func (b *Book) FitsWithin(team string, units int, now time.Time) bool {
	a := b.account(team)
	a.expire(now)
	return units >= a.lentUnits+max(len(a.running)-a.borrowedUnits, 0)
}

// Borrowed returns the number of units of the team that are borrowed now.
func (b *Book) Borrowed(team string, now time.Time) int {
	a := b.account(team)
	a.expire(now)
	return a.borrowedUnits
}

// IdleBorrowed returns the number of borrowed units that no running task needs.
func (b *Book) IdleBorrowed(team string, now time.Time) int {
	a := b.account(team)
	a.expire(now)
	return max(min(a.borrowedUnits, a.allowance()-len(a.running)), 0)
}

// borrowedByID returns the borrowed loans, sorted by ID.
func (a *account) borrowedByID() []*Loan {
	out := make([]*Loan, 0, len(a.borrowed))
	for _, l := range a.borrowed {
		out = append(out, l)
	}
	slices.SortFunc(out, func(x, y *Loan) int { return cmp.Compare(x.ID, y.ID) })
	return out
}

// sortLoans sorts the loans by end and then by ID.
func sortLoans(ls []Loan) {
	slices.SortFunc(ls, func(x, y Loan) int {
		return cmp.Or(x.End.Compare(y.End), cmp.Compare(x.ID, y.ID))
	})
}
