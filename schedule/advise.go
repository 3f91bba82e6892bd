package schedule

import (
	"cmp"
	"slices"
	"time"

	"almondcove/job"
)

// Queues may leave it to an advice service which VMs run a step. A step's tasks
// then start only on VMs for which the service has given a ticket.
const (
	// mostAdvised bounds the VMs of one question: each takes the service time.
	mostAdvised = 30
	// adviceTimeout is when a question without an answer is asked again.
	adviceTimeout = 3 * time.Second
	// adviceSpare is kept of a ticket's validity for the way of the order.
	adviceSpare = 300 * time.Millisecond
)

// advice is what the service said of a stage.
type advice struct {
	tickets map[string]string
	until   time.Time
	// asked is when the question on its way was sent; zero means none is.
	asked time.Time
}

// Advised takes the answer of the advice service: the tickets of the VMs that may
// run a stage, and how long they hold. A failed question has no tickets.
func (c *Core) Advised(id job.Stage, tickets map[string]string, valid time.Duration, now time.Time) {
	w := c.jobs[id.Job]
	if w == nil || w.stages[id] == nil {
		return
	}
	g := w.stages[id]
	c.config.Log.Info("advice", "job", id.Job, "step", id.Step, "vms", len(tickets), "valid", valid,
		"took", now.Sub(g.advice.asked).Milliseconds())
	g.advice = advice{tickets: tickets, until: g.advice.asked.Add(valid - adviceSpare)}
}

// advised returns the VMs that may run a stage. It asks the advice service when
// that is not known.
func (c *Core) advised(g *stage, vms []*vm, now time.Time) []*vm {
	if !c.view.Queues[g.work.Queue].Advised {
		return vms
	}
	if now.Before(g.advice.until) {
		good := slices.DeleteFunc(slices.Clone(vms), func(v *vm) bool { return g.advice.tickets[v.ID] == "" })
		if len(good) > 0 {
			return good
		}
	}
	if now.Sub(g.advice.asked) < adviceTimeout || len(vms) == 0 {
		return nil
	}
	ask := slices.Clone(vms)
	slices.SortFunc(ask, func(a, b *vm) int {
		return cmp.Or(cmp.Compare(b.Capacity.CPU-b.used.CPU, a.Capacity.CPU-a.used.CPU), cmp.Compare(a.ID, b.ID))
	})
	var ids []string
	for _, v := range ask[:min(len(ask), mostAdvised)] {
		ids = append(ids, v.ID)
	}
	g.advice.asked = now
	c.actions = append(c.actions, Advise{Stage: g.id, VMs: ids})
	return nil
}
