package owner

import (
	"context"
	"time"

	"almondcove/delay"
	"almondcove/schedule"
)

// session sends holds to one VM, from the two goroutines holdLoop and urgentHoldLoop.
type session struct {
	// urgent requests a hold at once. It is closed when the core no longer knows the
	// VM.
	urgent chan struct{}
}

// keepSessions starts a session for each VM that has none. The caller holds o.mu.
func (o *Owner) keepSessions() {
	for _, v := range o.core.VMs() {
		if o.sessions[v.ID] != nil {
			continue
		}
		s := &session{urgent: make(chan struct{}, 1)}
		o.sessions[v.ID] = s
		o.done.Go(func() { o.holdLoop(v.ID, s) })
		o.done.Go(func() { o.urgentHoldLoop(v.ID, s) })
	}
}

// holdLoop sends one hold after another to a VM until the core no longer knows it.
func (o *Owner) holdLoop(id string, s *session) {
	for o.ctx.Err() == nil {
		began := time.Now()
		accepted, known := o.holdOnce(id)
		if !known {
			close(s.urgent)
			return
		}
		pause := o.holdInterval() - time.Since(began)
		if !accepted {
			pause = holdRetryDelay
		}
		if pause > 0 && !delay.Sleep(o.ctx, pause) {
			return
		}
	}
}

// holdInterval returns the minimum time between the starts of two holds of a VM. It
// is minHoldInterval plus holdIntervalPerVM for each VM, less with carriers, and longer during
// congestion.
func (o *Owner) holdInterval() time.Duration {
	cost := o.callCost()
	o.mu.Lock()
	defer o.mu.Unlock()
	perVM := time.Duration(cost * float64(holdIntervalPerVM))
	return o.congestion.Interval(minHoldInterval + time.Duration(len(o.sessions))*perVM)
}

// urgentHoldLoop sends a hold whenever one is requested through s.urgent. It does not
// wait for the answer to a hold that holdLoop has in flight.
func (o *Owner) urgentHoldLoop(id string, s *session) {
	for {
		select {
		case <-o.ctx.Done():
			return
		case _, open := <-s.urgent:
			if !open {
				return
			}
			o.holdOnce(id)
		}
	}
}

// holdOnce sends one hold and applies the answer. It reports whether the VM accepted
// the hold, and whether the core still knows the VM; while this entry is not the
// active owner, it sends nothing and reports the VM as known.
func (o *Owner) holdOnce(id string) (bool, bool) {
	if !o.config.HoldsOwnership() {
		return false, true
	}
	o.mu.Lock()
	if !o.active {
		o.mu.Unlock()
		return false, true
	}
	vm, _ := o.vm(id)
	hold, known := o.core.Hold(id, time.Now())
	core, timeout := o.core, o.congestion.Timeout(callTimeout)
	if !known {
		delete(o.sessions, id)
	}
	o.mu.Unlock()
	if !known {
		return false, false
	}
	ctx, cancel := context.WithTimeout(o.ctx, hold.Wait+timeout)
	defer cancel()
	sent := time.Now()
	report, result := o.config.VMs.Hold(ctx, vm, hold)
	delay := time.Since(sent) - hold.Wait
	o.config.Ordered("hold", result.String())
	o.mu.Lock()
	defer o.mu.Unlock()
	o.load.addHold(result)
	// An answer that comes before the wait is over does not tell its delay.
	if delay >= 0 {
		o.observeCall(result, delay, time.Now())
	}
	if o.core != core {
		return false, true
	}
	if result == schedule.Accepted {
		core.Held(hold, report, time.Now())
	} else {
		core.HoldFailed(hold, result, time.Now())
	}
	wake(o.planWake)
	wake(o.commitWake)
	return result == schedule.Accepted, true
}
