package owner

import (
	"context"
	"time"

	"almondcove/delay"
	"almondcove/schedule"
)

// session is the goroutine of one VM.
type session struct {
	look chan struct{}
}

// keepSessions starts a goroutine for each VM that has none.
func (o *Owner) keepSessions() {
	for _, v := range o.core.Sessions() {
		if o.loops[v.ID] != nil {
			continue
		}
		s := &session{look: make(chan struct{}, 1)}
		o.loops[v.ID] = s
		o.done.Go(func() { o.hold(v.ID, s) })
		o.done.Go(func() { o.lookAfter(v.ID, s) })
	}
}

// hold keeps the session with one VM.
func (o *Owner) hold(id string, s *session) {
	for o.ctx.Err() == nil {
		began := time.Now()
		ok, there := o.holdOnce(id)
		if !there {
			close(s.look)
			return
		}
		pause := o.holdGap() - time.Since(began)
		if !ok {
			pause = holdRetry
		}
		if pause > 0 && !delay.For(o.ctx, pause) {
			return
		}
	}
}

// holdGap returns the least time between two holds of a VM.
func (o *Owner) holdGap() time.Duration {
	o.mu.Lock()
	defer o.mu.Unlock()
	return holdGap + time.Duration(len(o.loops))*holdGapEach
}

// lookAfter makes the holds that can't wait until the one on its way returns.
func (o *Owner) lookAfter(id string, s *session) {
	for {
		select {
		case <-o.ctx.Done():
			return
		case _, open := <-s.look:
			if !open {
				return
			}
			o.holdOnce(id)
		}
	}
}

// holdOnce makes one hold. It reports whether it was answered, and whether the
// VM is still there.
func (o *Owner) holdOnce(id string) (bool, bool) {
	if !o.config.Valid() {
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
		delete(o.loops, id)
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
	wake(o.plan)
	wake(o.commit)
	return result == schedule.Accepted, true
}
