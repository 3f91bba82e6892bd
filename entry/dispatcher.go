package entry

import (
	"context"
	"sync"
	"time"

	"almondcove/dispatch"
)

// dispatcher guards the core and gives it the time.
type dispatcher struct {
	mu   sync.Mutex
	core *dispatch.Core
	// due is told when the core next has to be asked by time alone.
	due  chan struct{}
	next time.Time
}

func newDispatcher(centre string, seed uint64) *dispatcher {
	return &dispatcher{
		core: dispatch.New(dispatch.Config{Centre: centre, Seed: seed}),
		due:  make(chan struct{}, 1),
	}
}

// do runs f with the core and starts whatever may start after it.
func (d *dispatcher) do(f func(core *dispatch.Core, now time.Time)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	f(d.core, now)
	d.core.Next(now)
	at, ok := d.core.Table().NextPauseEnd()
	if !ok || d.core.Waiting() == 0 || !d.next.IsZero() && !at.Before(d.next) {
		return
	}
	d.next = at
	select {
	case d.due <- struct{}{}:
	default:
	}
}

// read runs f with the core without starting anything.
func (d *dispatcher) read(f func(core *dispatch.Core, now time.Time)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	f(d.core, time.Now())
}

// run asks the core again when a pause of a VM ends, until ctx ends.
func (d *dispatcher) run(ctx context.Context) {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-d.due:
			d.mu.Lock()
			timer.Reset(time.Until(d.next))
			d.mu.Unlock()
		case <-timer.C:
			d.mu.Lock()
			d.next = time.Time{}
			d.mu.Unlock()
			d.do(func(*dispatch.Core, time.Time) {})
		}
	}
}
