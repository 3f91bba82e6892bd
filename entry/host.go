package entry

import (
	"time"

	"almondcove/dispatch"
	"almondcove/fleet"
	"almondcove/peer"
	"almondcove/timeline"
)

// host is the entry as the mesh sees it.
type host Entry

func (h *host) entry() *Entry { return (*Entry)(h) }

// State describes the entry.
func (h *host) State() peer.State {
	var demands []dispatch.Demand
	if told := h.demands.Load(); told != nil {
		demands = *told
	}
	return peer.State{
		Rev:          h.keeper.held().Head.Rev,
		Seats:        h.seats.held(),
		Leader:       h.leader.leads(),
		Leaving:      h.entry().Leaving(),
		Restrictions: h.keeper.pending(),
		List:         h.list.at(),
		Demands:      demands,
	}
}

// Records returns the configuration records after a revision.
func (h *host) Records(since uint64) []fleet.Record {
	return h.keeper.held().Records(since)
}

// Offer takes records from another entry.
func (h *host) Offer(records []fleet.Record) {
	h.entry().offer(records, "peer")
}

// Restrict takes restrictions from another entry.
func (h *host) Restrict(rs []fleet.Restriction) {
	h.entry().restrict(rs)
}

// List returns what changed in the list of VMs.
func (h *host) List(since peer.Position) peer.List {
	return h.list.since(since)
}

// OfferList takes another entry's list.
func (h *host) OfferList(l peer.List) {
	h.list.take(l)
	h.entry().relist()
}

// Lend lends units that no task of the entry needs.
func (h *host) Lend(from peer.Member, asks []peer.Ask, term time.Duration) []peer.Ask {
	var out []peer.Ask
	if term <= 0 || term > loanTerm {
		return nil
	}
	h.work.do(func(core *dispatch.Core, now time.Time) {
		for _, a := range asks {
			if core.Config() == nil || core.WaitsForUnits(a.Team) {
				continue
			}
			loan := core.Book().Lend(a.ID, a.Team, from.Name, a.Units, term, now)
			if loan.Units > 0 {
				out = append(out, peer.Ask{ID: loan.ID, Team: loan.Team, Units: loan.Units})
			}
		}
	})
	return out
}

// Restore takes lent units back.
func (h *host) Restore(loans []peer.Ask) {
	h.work.do(func(core *dispatch.Core, _ time.Time) {
		for _, l := range loans {
			core.Book().AcceptReturn(l.ID, l.Team, l.Units)
			core.Wake(l.Team)
		}
	})
}

// Events returns the entry's own time line.
func (h *host) Events(f timeline.Filter) []timeline.Event {
	return h.line.Events(f)
}

// offer takes configuration records over when they are newer, puts them in
// force and tells the others.
func (e *Entry) offer(records []fleet.Record, from string) {
	newer, err := e.keeper.offer(records)
	if err != nil {
		e.note(timeline.Event{Kind: "unreadable", Note: err.Error()})
		return
	}
	if newer {
		e.inForce(from)
	}
}

// inForce puts the held configuration in force and tells the others.
func (e *Entry) inForce(from string) {
	cfg := e.keeper.now()
	e.configure()
	e.metrics.revision.Set(float64(cfg.Head.Rev))
	e.note(timeline.Event{Kind: "config", Note: "revision " + itoa(cfg.Head.Rev) + " from " + from})
	e.mesh.Kick()
}

// configure gives configuration and seats to the dispatcher.
func (e *Entry) configure() {
	e.work.do(func(core *dispatch.Core, now time.Time) {
		cfg := e.keeper.now()
		if cfg.Head.Rev > 0 {
			core.Configure(cfg, e.seats.usable(), now)
		}
	})
}

// relist gives the list of VMs to the dispatcher.
func (e *Entry) relist() {
	e.work.do(func(core *dispatch.Core, _ time.Time) {
		core.SetListedVMs(e.list.view())
	})
}

// restrict puts restrictions in force and passes the new ones on.
func (e *Entry) restrict(rs []fleet.Restriction) {
	fresh := e.keeper.restrict(rs)
	if len(fresh) == 0 {
		return
	}
	e.configure()
	for _, r := range fresh {
		e.note(timeline.Event{Kind: "restrict", Note: r.Kind + " " + r.Name})
	}
	e.mesh.Kick()
}
