package entry

import (
	"time"

	"almondcove/dispatch"
	"almondcove/fleet"
	"almondcove/peer"
	"almondcove/timeline"
)

// meshHost implements peer.Host, through which the mesh reads and updates the
// entry.
type meshHost Entry

func (h *meshHost) entry() *Entry { return (*Entry)(h) }

// State returns what the entry tells the other entries about itself.
func (h *meshHost) State() peer.State {
	var demands []dispatch.Demand
	if published := h.demands.Load(); published != nil {
		demands = *published
	}
	return peer.State{
		Rev:          h.configStore.recorded().Head.Rev,
		Seats:        h.seats.held(),
		Leader:       h.leader.isLeading(),
		Leaving:      h.entry().Leaving(),
		Restrictions: h.configStore.pending(),
		ListPosition: h.list.currentPosition(),
		Demands:      demands,
	}
}

// Records returns the configuration records after a revision.
func (h *meshHost) Records(since uint64) []fleet.Record {
	return h.configStore.recorded().Records(since)
}

// ApplyRecords takes configuration records from another entry.
func (h *meshHost) ApplyRecords(records []fleet.Record) {
	h.entry().acceptRecords(records, "peer")
}

// ApplyRestrictions takes restrictions from another entry.
func (h *meshHost) ApplyRestrictions(rs []fleet.Restriction) {
	h.entry().applyRestrictions(rs)
}

// VMList returns the changes in the list of VMs after a position.
func (h *meshHost) VMList(since peer.Position) peer.VMList {
	return h.list.changesSince(since)
}

// ApplyVMList takes the list of VMs, or the changes in it, from another entry.
func (h *meshHost) ApplyVMList(l peer.VMList) {
	h.list.applyPeerList(l)
	h.entry().updateVMList()
}

// Lend lends units to another entry, but only units of teams that have no task
// waiting for units on this entry. It refuses a term longer than loanTerm.
func (h *meshHost) Lend(borrower peer.Member, requests []peer.LoanAmount, term time.Duration) []peer.LoanAmount {
	var out []peer.LoanAmount
	if term <= 0 || term > loanTerm {
		return nil
	}
	h.taskDispatcher.update(func(core *dispatch.Core, now time.Time) {
		for _, request := range requests {
			if core.Config() == nil || core.WaitsForUnits(request.Team) {
				continue
			}
			loan := core.Book().Lend(request.ID, request.Team, borrower.Name, request.Units, term, now)
			if loan.Units > 0 {
				out = append(out, peer.LoanAmount{ID: loan.ID, Team: loan.Team, Units: loan.Units})
			}
		}
	})
	return out
}

// ReduceLoans takes back the lent units that the borrower returns, and lets the
// entry's own tasks use them.
func (h *meshHost) ReduceLoans(loans []peer.LoanAmount) {
	h.taskDispatcher.update(func(core *dispatch.Core, _ time.Time) {
		for _, l := range loans {
			core.Book().AcceptReturn(l.ID, l.Team, l.Units)
			core.Wake(l.Team)
		}
	})
}

// Events returns the matching events of the entry's own timeline.
func (h *meshHost) Events(f timeline.Filter) []timeline.Event {
	return h.eventLog.Events(f)
}

// acceptRecords puts configuration records in force if they are newer than those
// held, and notifies the other entries. The parameter from names their source in the
// recorded event.
func (e *Entry) acceptRecords(records []fleet.Record, from string) {
	newer, err := e.configStore.applyRecords(records)
	if err != nil {
		e.recordEvent(timeline.Event{Kind: "unreadable", Note: err.Error()})
		return
	}
	if newer {
		e.activateConfig(from)
	}
}

// activateConfig puts the held configuration in force and notifies the other
// entries.
func (e *Entry) activateConfig(from string) {
	cfg := e.configStore.effective()
	e.configureDispatcher()
	e.metrics.revision.Set(float64(cfg.Head.Rev))
	e.recordEvent(timeline.Event{Kind: "config", Note: "revision " + itoa(cfg.Head.Rev) + " from " + from})
	e.mesh.TriggerHeartbeats()
}

// configureDispatcher passes the configuration in force and the usable seats to
// the dispatcher. It does nothing until the entry holds a configuration.
func (e *Entry) configureDispatcher() {
	e.taskDispatcher.update(func(core *dispatch.Core, now time.Time) {
		cfg := e.configStore.effective()
		if cfg.Head.Rev > 0 {
			core.Configure(cfg, e.seats.usable(), now)
		}
	})
}

// updateVMList passes the list of VMs to the dispatcher.
func (e *Entry) updateVMList() {
	e.taskDispatcher.update(func(core *dispatch.Core, _ time.Time) {
		core.SetListedVMs(e.list.dispatchView())
	})
}

// applyRestrictions puts restrictions in force and notifies the other entries if
// any of them is new.
func (e *Entry) applyRestrictions(rs []fleet.Restriction) {
	fresh := e.configStore.restrict(rs)
	if len(fresh) == 0 {
		return
	}
	e.configureDispatcher()
	for _, r := range fresh {
		e.recordEvent(timeline.Event{Kind: "restrict", Note: r.Kind + " " + r.Name})
	}
	e.mesh.TriggerHeartbeats()
}
