package entry

import (
	"context"
	"sync"
	"time"

	"almondcove/dispatch"
)

// dispatcher serializes access to the core and passes the current time to it.
type dispatcher struct {
	mu   sync.Mutex
	core *dispatch.Core
	// reschedule signals that wakeAt has changed.
	reschedule chan struct{}
	// wakeAt is when a VM's pause ends and waiting tasks may start without any
	// other event; zero means that no such time is set.
	wakeAt time.Time
}

func newDispatcher(centre string, seed uint64) *dispatcher {
	return &dispatcher{
		core:       dispatch.New(dispatch.Config{Centre: centre, Seed: seed}),
		reschedule: make(chan struct{}, 1),
	}
}

// update runs f with the core and then starts the tasks that may start.
func (d *dispatcher) update(f func(core *dispatch.Core, now time.Time)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	f(d.core, now)
	d.core.StartReady(now)
	at, ok := d.core.Table().NextPauseEnd()
	if !ok || d.core.Waiting() == 0 || !d.wakeAt.IsZero() && !at.Before(d.wakeAt) {
		return
	}
	d.wakeAt = at
	select {
	case d.reschedule <- struct{}{}:
	default:
	}
}

// read runs f with the core and starts no tasks.
func (d *dispatcher) read(f func(core *dispatch.Core, now time.Time)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	f(d.core, time.Now())
}

// run starts waiting tasks whenever a VM's pause ends, until ctx ends.
func (d *dispatcher) run(ctx context.Context) {
	// The first duration is arbitrary: a signal on reschedule resets the timer, and an
	// expiry without one only starts tasks that may start anyway.
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-d.reschedule:
			d.mu.Lock()
			timer.Reset(time.Until(d.wakeAt))
			d.mu.Unlock()
		case <-timer.C:
			d.mu.Lock()
			d.wakeAt = time.Time{}
			d.mu.Unlock()
			d.update(func(*dispatch.Core, time.Time) {})
		}
	}
}
