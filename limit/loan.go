package limit

import (
	"cmp"
	"slices"
	"time"
)

// closedTime is longer than any grant can be on its way and still be credited.
const closedTime = 30 * time.Second

// Lend debits up to want units for the peer and returns the loan, whose Units
// are zero when nothing is free. The borrower may use the units for term from
// the moment at which it sent its request. A repeated id renews the same loan.
func (b *Book) Lend(id, team, peer string, want int, term time.Duration, now time.Time) Loan {
	a := b.account(team)
	a.expire(now)
	end := now.Add(term + b.task + Margin)
	if old, ok := a.lent[id]; ok {
		old.End = end
		return *old
	}
	// Borrowed units are never lent on, since their end is not ours to extend.
	units := min(want, a.own-a.lentSum-max(len(a.running)-a.heldSum, 0))
	if units <= 0 {
		return Loan{ID: id, Team: team, Peer: peer}
	}
	loan := &Loan{ID: id, Team: team, Peer: peer, Units: units, End: end}
	a.lent[id] = loan
	a.lentSum += units
	return *loan
}

// Restore credits units that the borrower has given up. The loan's remaining
// units stay debited. An unknown id is a loan that has ended already.
func (b *Book) Restore(id, team string, remaining int) {
	a := b.account(team)
	l, ok := a.lent[id]
	if !ok || remaining >= l.Units {
		return
	}
	a.lentSum -= l.Units - remaining
	l.Units = remaining
	if remaining == 0 {
		delete(a.lent, id)
	}
}

// Borrow credits a loan until l.End. A repeated id is credited once and moves
// the end.
func (b *Book) Borrow(l Loan, now time.Time) {
	a := b.account(l.Team)
	a.expire(now)
	if l.Units <= 0 || Passed(l.End, now) {
		return
	}
	if old, ok := a.held[l.ID]; ok {
		old.End = l.End
		return
	}
	if _, ok := a.closed[l.ID]; ok {
		// The lender may have its units back already.
		return
	}
	if old, ok := a.owed[l.ID]; ok {
		// The lender may not know yet of units that were given back before.
		l.Units = min(l.Units, old.Units)
		delete(a.owed, l.ID)
	}
	a.held[l.ID] = &l
	a.heldSum += l.Units
}

// Return gives up as many idle borrowed units as it can, at most spare in all,
// and returns the loans that changed with the units that remain of each.
func (b *Book) Return(team string, spare int, now time.Time) []Loan {
	a := b.account(team)
	a.expire(now)
	idle := min(spare, a.allowance()-len(a.running))
	var out []Loan
	for _, l := range a.heldLoans() {
		if idle <= 0 {
			break
		}
		n := min(idle, l.Units)
		idle -= n
		a.heldSum -= n
		l.Units -= n
		out = append(out, *l)
		if l.Units == 0 {
			delete(a.held, l.ID)
			a.closed[l.ID] = l.End.Add(closedTime)
		}
	}
	return out
}

// Owed returns the loans that have ended here but not yet at their lenders, as
// soon as no running task needs them, and forgets them.
func (b *Book) Owed(team string, now time.Time) []Loan {
	a := b.account(team)
	a.expire(now)
	if len(a.owed) == 0 || len(a.running) > a.allowance() {
		return nil
	}
	var out []Loan
	for _, l := range a.owed {
		a.closed[l.ID] = now.Add(closedTime)
		l.Units = 0
		out = append(out, *l)
	}
	clear(a.owed)
	sortLoans(out)
	return out
}

// Due returns the team's borrowed loans that end before the given time.
func (b *Book) Due(team string, before, now time.Time) []Loan {
	a := b.account(team)
	a.expire(now)
	var out []Loan
	for _, l := range a.held {
		if l.End.Before(before) {
			out = append(out, *l)
		}
	}
	sortLoans(out)
	return out
}

// Settled reports whether the entry could do with the given own units of the
// team at once: what it lent and what it runs fit into them.
func (b *Book) Settled(team string, own int, now time.Time) bool {
	a := b.account(team)
	a.expire(now)
	return own >= a.lentSum+max(len(a.running)-a.heldSum, 0)
}

// Held returns the units of the team that are borrowed now.
func (b *Book) Held(team string, now time.Time) int {
	a := b.account(team)
	a.expire(now)
	return a.heldSum
}

// Idle returns the borrowed units that no running task needs.
func (b *Book) Idle(team string, now time.Time) int {
	a := b.account(team)
	a.expire(now)
	return max(min(a.heldSum, a.allowance()-len(a.running)), 0)
}

func (a *account) heldLoans() []*Loan {
	out := make([]*Loan, 0, len(a.held))
	for _, l := range a.held {
		out = append(out, l)
	}
	slices.SortFunc(out, func(x, y *Loan) int { return cmp.Compare(x.ID, y.ID) })
	return out
}

func sortLoans(ls []Loan) {
	slices.SortFunc(ls, func(x, y Loan) int {
		return cmp.Or(x.End.Compare(y.End), cmp.Compare(x.ID, y.ID))
	})
}
