package schedule

import (
	"cmp"
	"slices"
	"time"

	"almondcove/job"
)

// The parameters of advice. For an advised queue, an external advice service decides which
// VMs run a step: its tasks start only on VMs for which the service has given a ticket.
const (
	// maxAdvisedVMs bounds the VMs in one request, because the time that the service takes
	// grows with their number.
	maxAdvisedVMs = 30
	// adviceRetry is the time after which a request without an answer is repeated.
	adviceRetry = 3 * time.Second
	// ticketMargin is subtracted from the validity of a ticket, to allow for the time that
	// the start order takes to reach the VM.
	ticketMargin = 300 * time.Millisecond
)

// advice is the advice service's answer for a stage.
type advice struct {
	// tickets holds the tickets of the VMs that may run the stage, by VM id.
	tickets    map[string]string
	validUntil time.Time
	// askedAt is when the pending request was given; zero means that none is pending.
	askedAt time.Time
}

// Advised handles the advice service's answer to an [Advise] request: the tickets of the
// VMs that may run a stage, and how long they are valid. A failed request yields no
// tickets.
func (c *Core) Advised(id job.Stage, tickets map[string]string, valid time.Duration, now time.Time) {
	tj := c.jobs[id.Job]
	if tj == nil || tj.stages[id] == nil {
		return
	}
	s := tj.stages[id]
	c.config.Log.Info("advice received", "job", id.Job, "step", id.Step, "vms", len(tickets), "valid", valid,
		"took", now.Sub(s.advice.askedAt).Milliseconds())
	s.advice = advice{tickets: tickets, validUntil: s.advice.askedAt.Add(valid - ticketMargin)}
}

// advisedVMs returns those of the VMs that may run a stage. For an advised queue these are
// the VMs with a valid ticket. If there are none, it requests advice for the VMs with the
// most free processors.
func (c *Core) advisedVMs(s *stage, vms []*vm, now time.Time) []*vm {
	if !c.view.Queues[s.trackedJob.Queue].Advised {
		return vms
	}
	if now.Before(s.advice.validUntil) {
		withTicket := slices.DeleteFunc(slices.Clone(vms), func(v *vm) bool { return s.advice.tickets[v.ID] == "" })
		if len(withTicket) > 0 {
			return withTicket
		}
	}
	if now.Sub(s.advice.askedAt) < adviceRetry || len(vms) == 0 {
		return nil
	}
	candidates := slices.Clone(vms)
	slices.SortFunc(candidates, func(a, b *vm) int {
		return cmp.Or(cmp.Compare(b.Capacity.CPU-b.used.CPU, a.Capacity.CPU-a.used.CPU), cmp.Compare(a.ID, b.ID))
	})
	var ids []string
	for _, v := range candidates[:min(len(candidates), maxAdvisedVMs)] {
		ids = append(ids, v.ID)
	}
	s.advice.askedAt = now
	c.actions = append(c.actions, Advise{Stage: s.id, VMs: ids})
	return nil
}
