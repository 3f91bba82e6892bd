package entry

import (
	"context"
	"sync"
	"time"

	"almondcove/delay"
	"almondcove/dispatch"
	"almondcove/timeline"
)

// The times between looks at VMs that gave no sign of themselves.
const (
	probePause     = 100 * time.Millisecond
	probePauseMost = 2 * time.Second
)

// suspect stops new tasks on a VM until it answers a probe.
func (e *Entry) suspect(vm string) {
	fresh := false
	e.work.do(func(core *dispatch.Core, _ time.Time) {
		fresh = core.Table().Serves(vm) && !core.Table().Suspected(vm)
		core.Suspect(vm)
	})
	if fresh {
		e.note(timeline.Event{Kind: "suspect", VM: vm})
	}
}

// probe asks suspect VMs for their usage, without risking a task on them,
// until ctx ends.
func (e *Entry) probe(ctx context.Context) {
	var mu sync.Mutex
	probing := make(map[string]bool)
	var all sync.WaitGroup
	defer all.Wait()
	for delay.For(ctx, probePause) {
		var suspects []string
		e.work.read(func(core *dispatch.Core, _ time.Time) { suspects = core.Table().Suspects() })
		for _, vm := range suspects {
			mu.Lock()
			busy := probing[vm]
			probing[vm] = true
			mu.Unlock()
			if busy {
				continue
			}
			all.Go(func() {
				e.probeOne(ctx, vm)
				mu.Lock()
				defer mu.Unlock()
				delete(probing, vm)
			})
		}
	}
}

// probeOne asks one VM, less and less often, until it answers.
func (e *Entry) probeOne(ctx context.Context, vm string) {
	for wait := probePause; ; wait = min(2*wait, probePauseMost) {
		address, ok := e.list.address(vm)
		if !ok {
			return
		}
		if usage, ok := e.upstream.Usage(ctx, address); ok && usage.VM == vm {
			e.work.do(func(core *dispatch.Core, _ time.Time) {
				if usage.Leaving {
					core.MarkLeaving(vm)
				}
				core.Clear(vm)
			})
			e.note(timeline.Event{Kind: "clear", VM: vm})
			return
		}
		if !delay.For(ctx, wait) {
			return
		}
	}
}
