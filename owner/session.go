package owner

import (
	"context"
	"time"

	"almondcove/delay"
	"almondcove/schedule"
)

// session is the pair of goroutines that hold one VM.
type session struct {
	// urgent requests a hold at once. It is closed when the VM is gone.
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

// holdLoop holds one VM again and again until it is gone.
func (o *Owner) holdLoop(id string, s *session) {
	for o.ctx.Err() == nil {
		began := time.Now()
		ok, there := o.holdOnce(id)
		if !there {
			close(s.urgent)
			return
		}
		pause := o.minHoldInterval() - time.Since(began)
		if !ok {
			pause = holdRetryDelay
		}
		if pause > 0 && !delay.Sleep(o.ctx, pause) {
			return
		}
	}
}

// minHoldInterval returns the minimum time between the starts of two holds of a VM,
// which grows with the number of VMs.
func (o *Owner) minHoldInterval() time.Duration {
	o.mu.Lock()
	defer o.mu.Unlock()
	return minHoldInterval + time.Duration(len(o.sessions))*holdIntervalPerVM
}

// urgentHoldLoop makes the holds that can't wait until the one in flight returns.
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

// holdOnce makes one hold. It reports whether the VM accepted the hold, and whether
// the core still knows the VM.
func (o *Owner) holdOnce(id string) (bool, bool) {
	if !o.config.HoldsOwnership() {
		return false, true
	}
	o.mu.Lock()
	if !o.active {
		o.mu.Unlock()
		return false, true
	}
	v, _ := o.vm(id)
	h, there := o.core.Hold(id, time.Now())
	core := o.core
	if !there {
		delete(o.sessions, id)
	}
	o.mu.Unlock()
	if !there {
		return false, false
	}
	ctx, cancel := context.WithTimeout(o.ctx, h.Wait+holdTimeout)
	defer cancel()
	report, result := o.config.VMs.Hold(ctx, v, h)
	o.config.Ordered("hold", result.String())
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.core != core {
		return false, true
	}
	if result == schedule.Accepted {
		core.Held(h, report, time.Now())
	} else {
		core.HoldFailed(h, result, time.Now())
	}
	wake(o.planWake)
	wake(o.commitWake)
	return result == schedule.Accepted, true
}
