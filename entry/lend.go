package entry

import (
	"context"
	"crypto/rand"
	mrand "math/rand/v2"
	"net/netip"
	"time"

	"almondcove/delay"
	"almondcove/dispatch"
	"almondcove/limit"
	"almondcove/peer"
	"almondcove/timeline"
)

// Intervals and bounds of loans between entries.
const (
	// loanTerm is how long borrowed units may be used without a renewal.
	loanTerm = 4 * time.Second
	// loanCheckInterval is the time between checks for units to borrow, renew or
	// return.
	loanCheckInterval = 50 * time.Millisecond
	// maxRemoteLenders is how many entries of other data centres are asked in one
	// check.
	maxRemoteLenders = 4
)

// manageLoans borrows the units that waiting tasks lack, renews the loans that are
// still needed, and returns the others, until ctx ends.
func (e *Entry) manageLoans(ctx context.Context) {
	for delay.Sleep(ctx, loanCheckInterval) {
		e.renewLoans(ctx)
		e.returnExpiredLoans(ctx)
		e.borrow(ctx)
	}
}

// borrow asks other entries for the units that waiting tasks lack, those of its own
// data centre first.
func (e *Entry) borrow(ctx context.Context) {
	var shortages []dispatch.Shortage
	e.taskDispatcher.read(func(core *dispatch.Core, now time.Time) {
		if core.Waiting() > 0 {
			shortages = core.Shortages(now)
		}
	})
	if len(shortages) == 0 {
		return
	}
	for _, p := range e.lenders() {
		requests := make([]peer.LoanAmount, 0, len(shortages))
		for _, shortage := range shortages {
			if shortage.Units > 0 {
				requests = append(requests, peer.LoanAmount{ID: rand.Text(), Team: shortage.Team, Units: shortage.Units})
			}
		}
		if len(requests) == 0 {
			return
		}
		granted := e.borrowFrom(ctx, p, requests)
		for i := range shortages {
			shortages[i].Units -= granted[shortages[i].Team]
		}
	}
}

// lenders returns the live entries to ask for units: all of the entry's own data
// centre, then at most maxRemoteLenders of the others, both in random order.
func (e *Entry) lenders() []peer.Peer {
	now := time.Now()
	var local, remote []peer.Peer
	for _, p := range e.mesh.Peers() {
		switch {
		case !p.Live(now):
		case p.Identity.Centre == e.config.Self.Centre:
			local = append(local, p)
		default:
			remote = append(remote, p)
		}
	}
	shuffle(local)
	shuffle(remote)
	return append(local, remote[:min(len(remote), maxRemoteLenders)]...)
}

func shuffle(ps []peer.Peer) {
	mrand.Shuffle(len(ps), func(i, j int) { ps[i], ps[j] = ps[j], ps[i] })
}

// borrowFrom asks one entry for units and returns the units granted to each team.
func (e *Entry) borrowFrom(ctx context.Context, p peer.Peer, requests []peer.LoanAmount) map[string]int {
	sent := time.Now()
	grants, err := e.mesh.Borrow(ctx, p.Identity.Address, requests, loanTerm)
	if err != nil {
		// The lender may have lent the units although its answer did not arrive.
		e.returnUnconfirmed(ctx, p.Identity.Address, requests)
		return nil
	}
	e.credit(p, grants, sent)
	granted := make(map[string]int)
	for _, g := range grants {
		granted[g.Team] += g.Units
	}
	for team, n := range granted {
		e.eventLog.Add(timeline.Event{Kind: "borrow", Team: team, Note: itoa(uint64(n)) + " from " + p.Identity.Name})
	}
	return granted
}

// renewLoans renews the loans that are past half of their term and still needed.
// When no task of the team waits for units, it returns the team's idle borrowed
// units first.
func (e *Entry) renewLoans(ctx context.Context) {
	due := make(map[string][]peer.LoanAmount)
	returns := make(map[string][]peer.LoanAmount)
	e.taskDispatcher.read(func(core *dispatch.Core, now time.Time) {
		book := core.Book()
		for _, team := range book.Teams() {
			loans := book.LoansEndingBefore(team, now.Add(loanTerm/2), now)
			if len(loans) == 0 {
				continue
			}
			if !core.WaitsForUnits(team) {
				for _, l := range book.ReturnIdle(team, book.IdleBorrowed(team, now), now) {
					returns[l.Peer] = append(returns[l.Peer], peer.LoanAmount{ID: l.ID, Team: team, Units: l.Units})
				}
			}
			for _, l := range book.LoansEndingBefore(team, now.Add(loanTerm/2), now) {
				due[l.Peer] = append(due[l.Peer], peer.LoanAmount{ID: l.ID, Team: team, Units: l.Units})
			}
		}
	})
	for name, loans := range returns {
		e.returnToLender(ctx, name, loans)
	}
	for name, requests := range due {
		if p, ok := e.peerByName(name); ok {
			e.renewLoansWith(ctx, p, requests)
		}
	}
}

// renewLoansWith renews loans with their lender. A loan that the lender doesn't
// renew expires.
func (e *Entry) renewLoansWith(ctx context.Context, p peer.Peer, requests []peer.LoanAmount) {
	sent := time.Now()
	grants, err := e.mesh.Borrow(ctx, p.Identity.Address, requests, loanTerm)
	if err != nil {
		return
	}
	e.credit(p, grants, sent)
}

// credit books the units that a lender granted. The loans end one term after the
// request was sent, so that they end here before they end at the lender.
func (e *Entry) credit(p peer.Peer, grants []peer.LoanAmount, sent time.Time) {
	e.taskDispatcher.update(func(core *dispatch.Core, now time.Time) {
		for _, g := range grants {
			core.Book().Borrow(limit.Loan{
				ID: g.ID, Team: g.Team, Peer: p.Identity.Name, Units: g.Units, End: sent.Add(loanTerm),
			}, now)
			core.Wake(g.Team)
		}
	})
}

// returnExpiredLoans tells the lenders of loans that have expired and whose units no
// running task uses any more.
func (e *Entry) returnExpiredLoans(ctx context.Context) {
	returns := make(map[string][]peer.LoanAmount)
	e.taskDispatcher.read(func(core *dispatch.Core, now time.Time) {
		for _, team := range core.Book().Teams() {
			for _, l := range core.Book().TakeExpiredLoans(team, now) {
				returns[l.Peer] = append(returns[l.Peer], peer.LoanAmount{ID: l.ID, Team: team})
			}
		}
	})
	for name, loans := range returns {
		e.returnToLender(ctx, name, loans)
	}
}

// returnToLender tells a lender, if it is known and not proved dead, how many
// units remain of each loan.
func (e *Entry) returnToLender(ctx context.Context, name string, loans []peer.LoanAmount) {
	if p, ok := e.peerByName(name); ok {
		// When the call is lost, the lender gets the units back at the end of the
		// loan.
		_ = e.mesh.Return(ctx, p.Identity.Address, loans)
	}
}

// returnUnconfirmed returns all units of loans whose grants did not arrive. None of
// these units is in use.
func (e *Entry) returnUnconfirmed(ctx context.Context, lender netip.AddrPort, requests []peer.LoanAmount) {
	loans := make([]peer.LoanAmount, 0, len(requests))
	for _, request := range requests {
		loans = append(loans, peer.LoanAmount{ID: request.ID, Team: request.Team})
	}
	// When the call is lost, the lender gets the units back at the end of the
	// loan.
	_ = e.mesh.Return(ctx, lender, loans)
}

// peerByName returns the peer with the given name that is not proved dead.
func (e *Entry) peerByName(name string) (peer.Peer, bool) {
	for _, p := range e.mesh.Peers() {
		if p.Identity.Name == name && p.DeadSince.IsZero() {
			return p, true
		}
	}
	return peer.Peer{}, false
}
