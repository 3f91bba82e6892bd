package schedule

import (
	"cmp"
	"slices"
	"time"
)

// The parameters of advice. For an advised queue, an external advice service decides which
// VMs run a step: its tasks start only on VMs for which the service has given a ticket. What
// it says of a step and a VM does not change while the VM's process lives.
const (
	// maxAdvisedVMs bounds the VMs in one request, because the time that the service takes
	// grows with their number. The other VMs of a pool are named in later requests.
	maxAdvisedVMs = 30
	// maxAdviceRequests bounds the requests without an answer. The service handles the
	// requests of one caller one at a time; the next ones wait there, so that it is not idle.
	maxAdviceRequests = 4
	// adviceTimeout is the time after which a request counts as lost.
	adviceTimeout = 3 * time.Second
	// adviceBackoff is the pause of a stage after a request that failed.
	adviceBackoff = time.Second
	// ticketMargin is subtracted from the validity of a ticket, to allow for the time that
	// the start order takes to reach the VM.
	ticketMargin = 300 * time.Millisecond
)

// advice is what the advice service has said about a stage.
type advice struct {
	// answers holds the last answer about each VM, by VM id.
	answers map[string]vmAdvice
	// notBefore is the earliest time of the next request after one that failed.
	notBefore time.Time
}

// vmAdvice is the answer of the advice service about one VM.
type vmAdvice struct {
	// born is when the VM's process started; another process may be of another kind.
	born time.Time
	// ticket is empty if the stage may not run on the VM.
	ticket     string
	validUntil time.Time
}

// about returns the answer about the present process of a VM, and whether there is one.
func (a *advice) about(v *vm) (vmAdvice, bool) {
	answer, ok := a.answers[v.ID]
	return answer, ok && answer.born.Equal(v.processStart)
}

// discardTickets forgets the tickets, but not which VMs are not allowed.
func (a *advice) discardTickets() {
	for id, answer := range a.answers {
		if answer.ticket != "" {
			delete(a.answers, id)
		}
	}
}

// advised reports whether the advice service decides which VMs run a stage.
func (c *Core) advised(s *stage) bool {
	q, known := s.trackedJob.queue.settings()
	return known && q.Advised
}

// Advised handles the advice service's answer to a request: the tickets of the VMs that may
// run the stage, by VM id, and how long they are valid. VMs that the request named and that
// have no ticket may not run it.
func (c *Core) Advised(a Advise, tickets map[string]string, valid time.Duration, now time.Time) {
	askedAt, ok := c.adviceRequests[a.Stage]
	delete(c.adviceRequests, a.Stage)
	tj := c.jobs[a.Stage.Job]
	if !ok || tj == nil || tj.stages[a.Stage] == nil {
		return
	}
	s := tj.stages[a.Stage]
	c.config.Log.Info("advice received", "job", a.Stage.Job, "step", a.Stage.Step, "asked", len(a.VMs), "vms", len(tickets), "valid", valid,
		"took", now.Sub(askedAt).Milliseconds())
	if s.advice.answers == nil {
		s.advice.answers = make(map[string]vmAdvice)
	}
	for _, id := range a.VMs {
		if v := c.vms[id]; v != nil {
			s.advice.answers[id] = vmAdvice{born: v.processStart, ticket: tickets[id], validUntil: askedAt.Add(valid - ticketMargin)}
		}
	}
}

// AdviceFailed handles a request for advice that got no answer.
func (c *Core) AdviceFailed(a Advise, now time.Time) {
	delete(c.adviceRequests, a.Stage)
	if tj := c.jobs[a.Stage.Job]; tj != nil && tj.stages[a.Stage] != nil {
		tj.stages[a.Stage].advice.notBefore = now.Add(adviceBackoff)
	}
}

// permittedVMs returns those of the VMs on which tasks of a stage may start now: all, or those
// with a valid ticket if its queue is advised.
func (c *Core) permittedVMs(s *stage, vms []*vm, now time.Time) []*vm {
	return c.advisedVMs(s, vms, func(a vmAdvice) bool { return a.ticket != "" && now.Before(a.validUntil) })
}

// allowedVMs returns those of the VMs that may run tasks of a stage, also if their tickets
// have to be renewed.
func (c *Core) allowedVMs(s *stage, vms []*vm) []*vm {
	return c.advisedVMs(s, vms, func(a vmAdvice) bool { return a.ticket != "" })
}

// advisedVMs returns those of the VMs for which the answer about a stage is accepted, or all if
// its queue is not advised.
func (c *Core) advisedVMs(s *stage, vms []*vm, accepted func(vmAdvice) bool) []*vm {
	if !c.advised(s) {
		return vms
	}
	return slices.DeleteFunc(slices.Clone(vms), func(v *vm) bool {
		answer, ok := s.advice.about(v)
		return !ok || !accepted(answer)
	})
}

// considerAdvice returns the result of an attempt to start the tasks of an advised stage on the
// permitted VMs, and requests advice if other VMs could run them.
func (c *Core) considerAdvice(s *stage, result placement, usable []*vm, now time.Time) placement {
	switch result.(type) {
	case postponed:
		return result
	case placed:
		// A suspect may still wait for a VM for its trial.
		if s.hasStartableTask(now) {
			c.requestAdvice(s, usable, now)
		}
		return result
	case noRoom, unplaced:
	}
	asked := c.requestAdvice(s, usable, now)
	switch {
	case !slices.ContainsFunc(usable, func(v *vm) bool { return v.hasRoom(s) }):
		return noRoom{}
	case asked:
		return postponed{}
	}
	return unplaced{}
}

// requestAdvice requests advice about the usable VMs of which nothing is known, and about those
// with room whose tickets have expired. It reports whether there are any.
func (c *Core) requestAdvice(s *stage, usable []*vm, now time.Time) bool {
	var unknown []*vm
	for _, v := range usable {
		answer, ok := s.advice.about(v)
		if !ok || answer.ticket != "" && !now.Before(answer.validUntil) && v.hasRoom(s) {
			unknown = append(unknown, v)
		}
	}
	if len(unknown) == 0 {
		return false
	}
	if now.Before(s.advice.notBefore) || !c.mayRequestAdvice(s, now) {
		return true
	}
	slices.SortFunc(unknown, func(a, b *vm) int {
		return cmp.Or(
			compareBools(b.fits(s), a.fits(s)),
			compareBools(s.advice.allows(b), s.advice.allows(a)),
			cmp.Compare(b.Capacity.CPU-b.used.CPU, a.Capacity.CPU-a.used.CPU),
			cmp.Compare(a.ID, b.ID),
		)
	})
	request := Advise{Stage: s.id}
	for _, v := range unknown[:min(len(unknown), maxAdvisedVMs)] {
		request.VMs = append(request.VMs, v.ID)
	}
	c.adviceRequests[s.id] = now
	c.actions = append(c.actions, request)
	return true
}

// allows reports whether the advice service has allowed a VM, even if the ticket has expired.
func (a *advice) allows(v *vm) bool {
	answer, ok := a.about(v)
	return ok && answer.ticket != ""
}

// compareBools orders false before true.
func compareBools(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}

// mayRequestAdvice reports whether another request for advice may be given for a stage. It
// drops requests that count as lost.
func (c *Core) mayRequestAdvice(s *stage, now time.Time) bool {
	for id, askedAt := range c.adviceRequests {
		if now.Sub(askedAt) >= adviceTimeout {
			delete(c.adviceRequests, id)
		}
	}
	_, asked := c.adviceRequests[s.id]
	return !asked && len(c.adviceRequests) < maxAdviceRequests
}
