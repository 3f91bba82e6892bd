package schedule

import (
	"cmp"
	"slices"
	"time"

	"almondcove/job"
)

// A queue may have an advice service decide which VMs run a step. The tasks of the step
// then start only on VMs for which the service has given a ticket.
const (
	// maxAdvisedVMs bounds the VMs in one request, because each VM takes the service
	// time.
	maxAdvisedVMs = 30
	// adviceRetry is the time after which a request without an answer is sent again.
	adviceRetry = 3 * time.Second
	// ticketMargin is subtracted from the validity of a ticket to allow for the time
	// that the order to start takes.
	ticketMargin = 300 * time.Millisecond
)

// advice is the advice service's answer for a stage.
type advice struct {
	// tickets holds the tickets of the VMs that may run the stage, by VM id.
	tickets    map[string]string
	validUntil time.Time
	// askedAt is when the pending request was sent; zero means that none is pending.
	askedAt time.Time
}

// Advised handles the advice service's answer to an [Advise] request: the tickets of the
// VMs that may run a stage, and how long they are valid. A failed request yields no
// tickets.
func (c *Core) Advised(id job.Stage, tickets map[string]string, valid time.Duration, now time.Time) {
	w := c.jobs[id.Job]
	if w == nil || w.stages[id] == nil {
		return
	}
	g := w.stages[id]
	c.config.Log.Info("advice received", "job", id.Job, "step", id.Step, "vms", len(tickets), "valid", valid,
		"took", now.Sub(g.advice.askedAt).Milliseconds())
	g.advice = advice{tickets: tickets, validUntil: g.advice.askedAt.Add(valid - ticketMargin)}
}

// advisedVMs returns those of the VMs that may run a stage. For a queue with an advice
// service these are the VMs with a valid ticket. If there is none, it requests advice
// for the VMs with the most free processors.
func (c *Core) advisedVMs(g *stage, vms []*vm, now time.Time) []*vm {
	if !c.view.Queues[g.trackedJob.Queue].Advised {
		return vms
	}
	if now.Before(g.advice.validUntil) {
		good := slices.DeleteFunc(slices.Clone(vms), func(v *vm) bool { return g.advice.tickets[v.ID] == "" })
		if len(good) > 0 {
			return good
		}
	}
	if now.Sub(g.advice.askedAt) < adviceRetry || len(vms) == 0 {
		return nil
	}
	ask := slices.Clone(vms)
	slices.SortFunc(ask, func(a, b *vm) int {
		return cmp.Or(cmp.Compare(b.Capacity.CPU-b.used.CPU, a.Capacity.CPU-a.used.CPU), cmp.Compare(a.ID, b.ID))
	})
	var ids []string
	for _, v := range ask[:min(len(ask), maxAdvisedVMs)] {
		ids = append(ids, v.ID)
	}
	g.advice.askedAt = now
	c.actions = append(c.actions, Advise{Stage: g.id, VMs: ids})
	return nil
}
