package owner

import (
	"context"
	"fmt"
	"time"

	"almondcove/schedule"
)

// execute starts an action in a new goroutine. An immediate hold is sent by the VM's
// session instead, which execute wakes. The caller holds o.mu.
func (o *Owner) execute(a schedule.Action) {
	core, epoch := o.core, o.term.Epoch
	switch a := a.(type) {
	case schedule.ImmediateHold:
		if s := o.sessions[a.VM]; s != nil {
			wake(s.urgent)
		}
	case schedule.Start:
		v, _ := o.vm(a.VM)
		o.done.Go(func() { o.orderStart(core, v, a) })
	case schedule.Stop:
		v, _ := o.vm(a.VM)
		o.done.Go(func() { o.orderStop(core, v, a) })
	case schedule.Pace:
		v, _ := o.vm(a.VM)
		o.done.Go(func() { o.orderPace(core, v, a) })
	case schedule.Maintain:
		o.done.Go(func() { o.orderMaintenance(core, epoch, a) })
	case schedule.Move:
		o.done.Go(func() { o.orderMove(core, epoch, a) })
	case schedule.Advise:
		o.done.Go(func() { o.requestAdvice(core, a) })
	}
}

// updateCore calls f, which passes a result to the core that requested it. If that
// core has been replaced, the result is dropped.
func (o *Owner) updateCore(core *schedule.Core, f func(now time.Time)) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.core == core {
		f(time.Now())
		wake(o.planWake)
		wake(o.commitWake)
	}
}

// sendOrder sends one order, counts its result and applies it to the core that
// requested the order. If this entry is no longer the owner, it sends nothing, and
// the result is unsent.
func sendOrder[R fmt.Stringer](
	o *Owner, core *schedule.Core, name string, timeout time.Duration, unsent R,
	send func(context.Context) R, apply func(R, time.Time),
) {
	ctx, cancel := context.WithTimeout(o.ctx, timeout)
	defer cancel()
	result := unsent
	if o.config.HoldsOwnership() {
		result = send(WithSendCheck(ctx, o.config.HoldsOwnership))
	}
	o.config.Ordered(name, result.String())
	o.updateCore(core, func(now time.Time) { apply(result, now) })
}

// callTimeout returns how long a call to a VM may take.
func (o *Owner) callTimeout() time.Duration {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.congestion.Timeout(callTimeout)
}

// observeCall tells the congestion control how long an answer took, or that there was
// none. The caller holds o.mu.
func (o *Owner) observeCall(r schedule.Result, took time.Duration, now time.Time) {
	switch r {
	case schedule.Accepted:
		o.congestion.Observe(took, now)
	case schedule.Unanswered:
		o.congestion.ObserveLost(took, now)
	}
}

func (o *Owner) orderStart(core *schedule.Core, v schedule.VM, a schedule.Start) {
	sent := time.Now()
	sendOrder(o, core, "start", o.callTimeout(), schedule.Unsent,
		func(ctx context.Context) schedule.Result { return o.config.VMs.Start(ctx, v, a) },
		func(r schedule.Result, now time.Time) {
			o.observeCall(r, now.Sub(sent), now)
			if r == schedule.Accepted {
				o.load.starts++
			}
			core.Started(a, r, now)
		})
}

func (o *Owner) orderStop(core *schedule.Core, v schedule.VM, a schedule.Stop) {
	sendOrder(o, core, "stop", o.callTimeout(), schedule.Unsent,
		func(ctx context.Context) schedule.Result { return o.config.VMs.Stop(ctx, v, a) },
		func(r schedule.Result, now time.Time) { core.Stopped(a, r, now) })
}

func (o *Owner) orderPace(core *schedule.Core, v schedule.VM, a schedule.Pace) {
	sendOrder(o, core, "pace", o.callTimeout(), schedule.Unsent,
		func(ctx context.Context) schedule.Result { return o.config.VMs.Pace(ctx, v, a) },
		func(r schedule.Result, now time.Time) { core.Paced(a, r, now) })
}

func (o *Owner) orderMaintenance(core *schedule.Core, epoch int64, a schedule.Maintain) {
	sendOrder(o, core, "maintain", machineTimeout, schedule.MachineUnanswered,
		func(ctx context.Context) schedule.MachineResult { return o.config.Machines.Maintain(ctx, epoch, a) },
		func(r schedule.MachineResult, now time.Time) { core.Maintained(a, r, now) })
}

func (o *Owner) orderMove(core *schedule.Core, epoch int64, a schedule.Move) {
	sendOrder(o, core, "move", machineTimeout, schedule.MachineUnanswered,
		func(ctx context.Context) schedule.MachineResult { return o.config.Machines.Move(ctx, epoch, a) },
		func(r schedule.MachineResult, now time.Time) { core.Moved(a, r, now) })
}

// adviceTimeout bounds a request to the advice service. It allows for a wait, because
// the service handles requests one at a time.
const adviceTimeout = 2500 * time.Millisecond

func (o *Owner) requestAdvice(core *schedule.Core, a schedule.Advise) {
	ctx, cancel := context.WithTimeout(o.ctx, adviceTimeout)
	defer cancel()
	tickets, valid, err := o.config.Advisor.Advise(ctx, a)
	if err != nil {
		o.config.Log.Warn("failed to get advice", "job", a.Stage.Job, "step", a.Stage.Step, "error", err)
		o.updateCore(core, func(now time.Time) { core.AdviceFailed(a, now) })
		return
	}
	o.updateCore(core, func(now time.Time) { core.Advised(a, tickets, valid, now) })
}
