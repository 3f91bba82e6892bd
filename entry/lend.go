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

// The times and bounds of loans between entries.
const (
	// loanTerm is how long borrowed units may be used without a renewal.
	loanTerm = 4 * time.Second
	// lendPause is the time between looks at what is lacking.
	lendPause = 50 * time.Millisecond
	// farAsked is how many entries of other data centres are asked in one look.
	farAsked = 4
)

// lend borrows units that waiting tasks lack, renews loans that are in use and
// returns the others, until ctx ends.
func (e *Entry) lend(ctx context.Context) {
	for delay.For(ctx, lendPause) {
		e.renew(ctx)
		e.returnOwed(ctx)
		e.borrow(ctx)
	}
}

// borrow asks other entries for what waiting tasks lack, the nearest first.
func (e *Entry) borrow(ctx context.Context) {
	var wants []dispatch.Shortage
	e.work.read(func(core *dispatch.Core, now time.Time) {
		if core.Waiting() > 0 {
			wants = core.Shortages(now)
		}
	})
	if len(wants) == 0 {
		return
	}
	for _, p := range e.lenders() {
		asks := make([]peer.Ask, 0, len(wants))
		for _, w := range wants {
			if w.Units > 0 {
				asks = append(asks, peer.Ask{ID: rand.Text(), Team: w.Team, Units: w.Units})
			}
		}
		if len(asks) == 0 {
			return
		}
		got := e.ask(ctx, p, asks)
		for i := range wants {
			wants[i].Units -= got[wants[i].Team]
		}
	}
}

// lenders returns the entries to ask: those of the own data centre and a few
// of the others.
func (e *Entry) lenders() []peer.Peer {
	now := time.Now()
	var near, far []peer.Peer
	for _, p := range e.mesh.Peers() {
		switch {
		case !p.Live(now):
		case p.From.Centre == e.config.Self.Centre:
			near = append(near, p)
		default:
			far = append(far, p)
		}
	}
	shuffle(near)
	shuffle(far)
	return append(near, far[:min(len(far), farAsked)]...)
}

func shuffle(ps []peer.Peer) {
	mrand.Shuffle(len(ps), func(i, j int) { ps[i], ps[j] = ps[j], ps[i] })
}

// ask borrows from one entry and returns the units got for each team.
func (e *Entry) ask(ctx context.Context, p peer.Peer, asks []peer.Ask) map[string]int {
	sent := time.Now()
	grants, err := e.mesh.Borrow(ctx, p.From.Address, asks, loanTerm)
	if err != nil {
		// What the lender may have lent meanwhile goes back unused.
		e.giveBack(ctx, p.From.Address, asks)
		return nil
	}
	e.credit(p, grants, sent)
	got := make(map[string]int)
	for _, g := range grants {
		got[g.Team] += g.Units
	}
	for team, n := range got {
		e.line.Add(timeline.Event{Kind: "borrow", Team: team, Note: itoa(uint64(n)) + " from " + p.From.Name})
	}
	return got
}

// renew extends the loans that are half over and still needed, and returns the
// others.
func (e *Entry) renew(ctx context.Context) {
	due := make(map[string][]peer.Ask)
	back := make(map[string][]peer.Ask)
	e.work.read(func(core *dispatch.Core, now time.Time) {
		book := core.Book()
		for _, team := range book.Teams() {
			loans := book.LoansEndingBefore(team, now.Add(loanTerm/2), now)
			if len(loans) == 0 {
				continue
			}
			if !core.WaitsForUnits(team) {
				for _, l := range book.ReturnIdle(team, book.IdleBorrowed(team, now), now) {
					back[l.Peer] = append(back[l.Peer], peer.Ask{ID: l.ID, Team: team, Units: l.Units})
				}
			}
			for _, l := range book.LoansEndingBefore(team, now.Add(loanTerm/2), now) {
				due[l.Peer] = append(due[l.Peer], peer.Ask{ID: l.ID, Team: team, Units: l.Units})
			}
		}
	})
	for name, loans := range back {
		e.giveBackTo(ctx, name, loans)
	}
	for name, asks := range due {
		if p, ok := e.peer(name); ok {
			e.extend(ctx, p, asks)
		}
	}
}

// extend renews loans at their lender. One that the lender refuses runs out.
func (e *Entry) extend(ctx context.Context, p peer.Peer, asks []peer.Ask) {
	sent := time.Now()
	grants, err := e.mesh.Borrow(ctx, p.From.Address, asks, loanTerm)
	if err != nil {
		return
	}
	e.credit(p, grants, sent)
}

// credit takes over what a lender granted to a request sent at that time.
func (e *Entry) credit(p peer.Peer, grants []peer.Ask, sent time.Time) {
	e.work.update(func(core *dispatch.Core, now time.Time) {
		for _, g := range grants {
			core.Book().Borrow(limit.Loan{
				ID: g.ID, Team: g.Team, Peer: p.From.Name, Units: g.Units, End: sent.Add(loanTerm),
			}, now)
			core.Wake(g.Team)
		}
	})
}

// returnOwed tells lenders of loans that have run out and are not used any more.
func (e *Entry) returnOwed(ctx context.Context) {
	back := make(map[string][]peer.Ask)
	e.work.read(func(core *dispatch.Core, now time.Time) {
		for _, team := range core.Book().Teams() {
			for _, l := range core.Book().TakeExpiredLoans(team, now) {
				back[l.Peer] = append(back[l.Peer], peer.Ask{ID: l.ID, Team: team})
			}
		}
	})
	for name, loans := range back {
		e.giveBackTo(ctx, name, loans)
	}
}

func (e *Entry) giveBackTo(ctx context.Context, name string, loans []peer.Ask) {
	if p, ok := e.peer(name); ok {
		// A lender that misses this gets the units back when the loan ends there.
		_ = e.mesh.Return(ctx, p.From.Address, loans)
	}
}

// giveBack returns all units of loans that were asked for and not used.
func (e *Entry) giveBack(ctx context.Context, to netip.AddrPort, asks []peer.Ask) {
	loans := make([]peer.Ask, 0, len(asks))
	for _, a := range asks {
		loans = append(loans, peer.Ask{ID: a.ID, Team: a.Team})
	}
	// As above: a lost return only delays the units.
	_ = e.mesh.Return(ctx, to, loans)
}

func (e *Entry) peer(name string) (peer.Peer, bool) {
	for _, p := range e.mesh.Peers() {
		if p.From.Name == name && p.Dead.IsZero() {
			return p, true
		}
	}
	return peer.Peer{}, false
}
