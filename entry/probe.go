package entry

import (
	"context"
	"sync"
	"time"

	"almondcove/delay"
	"almondcove/dispatch"
	"almondcove/timeline"
)

// Intervals of probing.
const (
	// probeInterval is the time between searches for new suspect VMs, and the
	// first backoff after a probe without an answer. The backoff doubles up to
	// maxProbeInterval.
	probeInterval    = 100 * time.Millisecond
	maxProbeInterval = 2 * time.Second
)

// markSuspect stops new tasks on an unresponsive VM until it answers a probe.
func (e *Entry) markSuspect(vm string) {
	fresh := false
	e.taskDispatcher.update(func(core *dispatch.Core, _ time.Time) {
		fresh = core.Table().Serves(vm) && !core.Table().Suspected(vm)
		core.Suspect(vm)
	})
	if fresh {
		e.recordEvent(timeline.Event{Kind: "suspect", VM: vm})
	}
}

// probeSuspects probes suspect VMs until ctx ends. A probe asks for the VM's
// usage, so that no task is put at risk.
func (e *Entry) probeSuspects(ctx context.Context) {
	var mu sync.Mutex
	probing := make(map[string]bool)
	var probes sync.WaitGroup
	defer probes.Wait()
	for delay.Sleep(ctx, probeInterval) {
		var suspects []string
		e.taskDispatcher.read(func(core *dispatch.Core, _ time.Time) { suspects = core.Table().Suspects() })
		for _, vm := range suspects {
			mu.Lock()
			busy := probing[vm]
			probing[vm] = true
			mu.Unlock()
			if busy {
				continue
			}
			probes.Go(func() {
				e.probeVM(ctx, vm)
				mu.Lock()
				defer mu.Unlock()
				delete(probing, vm)
			})
		}
	}
}

// probeVM probes one VM with exponential backoff until it answers.
func (e *Entry) probeVM(ctx context.Context, vm string) {
	for backoff := probeInterval; ; backoff = min(2*backoff, maxProbeInterval) {
		address, ok := e.list.address(vm)
		if !ok {
			return
		}
		if usage, ok := e.upstream.Usage(ctx, address); ok && usage.VM == vm {
			e.taskDispatcher.update(func(core *dispatch.Core, _ time.Time) {
				if usage.Leaving {
					core.MarkLeaving(vm)
				}
				core.ClearSuspect(vm)
			})
			e.recordEvent(timeline.Event{Kind: "clear", VM: vm})
			return
		}
		if !delay.Sleep(ctx, backoff) {
			return
		}
	}
}
