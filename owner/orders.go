package owner

import (
	"context"
	"fmt"
	"time"

	"almondcove/schedule"
)

// carryOut begins an action. It is called with the lock held.
func (o *Owner) carryOut(a schedule.Action) {
	core, epoch := o.core, o.term.Epoch
	switch a := a.(type) {
	case schedule.ImmediateHold:
		if s := o.loops[a.VM]; s != nil {
			wake(s.look)
		}
	case schedule.Start:
		v, _ := o.vm(a.VM)
		o.done.Go(func() { o.start(core, v, a) })
	case schedule.Stop:
		v, _ := o.vm(a.VM)
		o.done.Go(func() { o.stop(core, v, a) })
	case schedule.Pace:
		v, _ := o.vm(a.VM)
		o.done.Go(func() { o.pace(core, v, a) })
	case schedule.Maintain:
		o.done.Go(func() { o.maintain(core, epoch, a) })
	case schedule.Move:
		o.done.Go(func() { o.move(core, epoch, a) })
	case schedule.Advise:
		o.done.Go(func() { o.advise(core, a) })
	}
}

// tell passes a result to the core that asked for it, unless it was replaced.
func (o *Owner) tell(core *schedule.Core, f func(now time.Time)) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.core == core {
		f(time.Now())
		wake(o.plan)
		wake(o.commit)
	}
}

// give gives one order, unless this entry is no longer the owner; the result is
// then unsent. It counts the result and passes it to the core that asked for it.
func give[R fmt.Stringer](
	o *Owner, core *schedule.Core, name string, timeout time.Duration, unsent R,
	order func(context.Context) R, take func(R, time.Time),
) {
	ctx, cancel := context.WithTimeout(o.ctx, timeout)
	defer cancel()
	result := unsent
	if o.config.Valid() {
		result = order(ctx)
	}
	o.config.Ordered(name, result.String())
	o.tell(core, func(now time.Time) { take(result, now) })
}

func (o *Owner) start(core *schedule.Core, v schedule.VM, a schedule.Start) {
	give(o, core, "start", orderTimeout, schedule.Unsent,
		func(ctx context.Context) schedule.Result { return o.config.VMs.Start(ctx, v, a) },
		func(r schedule.Result, now time.Time) { core.Started(a, r, now) })
}

func (o *Owner) stop(core *schedule.Core, v schedule.VM, a schedule.Stop) {
	give(o, core, "stop", orderTimeout, schedule.Unsent,
		func(ctx context.Context) schedule.Result { return o.config.VMs.Stop(ctx, v, a) },
		func(r schedule.Result, now time.Time) { core.Stopped(a, r, now) })
}

func (o *Owner) pace(core *schedule.Core, v schedule.VM, a schedule.Pace) {
	give(o, core, "pace", orderTimeout, schedule.Unsent,
		func(ctx context.Context) schedule.Result { return o.config.VMs.Pace(ctx, v, a) },
		func(r schedule.Result, now time.Time) { core.Paced(a, r, now) })
}

func (o *Owner) maintain(core *schedule.Core, epoch int64, a schedule.Maintain) {
	give(o, core, "maintain", machineTimeout, schedule.MachineUnanswered,
		func(ctx context.Context) schedule.MachineResult { return o.config.Machines.Maintain(ctx, epoch, a) },
		func(r schedule.MachineResult, now time.Time) { core.Maintained(a, r, now) })
}

func (o *Owner) move(core *schedule.Core, epoch int64, a schedule.Move) {
	give(o, core, "move", machineTimeout, schedule.MachineUnanswered,
		func(ctx context.Context) schedule.MachineResult { return o.config.Machines.Move(ctx, epoch, a) },
		func(r schedule.MachineResult, now time.Time) { core.Moved(a, r, now) })
}

// adviceTimeout bounds a question to the advice service, which takes its
// questions in turn.
const adviceTimeout = 2500 * time.Millisecond

func (o *Owner) advise(core *schedule.Core, a schedule.Advise) {
	ctx, cancel := context.WithTimeout(o.ctx, adviceTimeout)
	defer cancel()
	tickets, valid, err := o.config.Advisor.Advise(ctx, a)
	if err != nil {
		o.config.Log.Warn("no advice", "job", a.Stage.Job, "step", a.Stage.Step, "error", err)
	}
	o.tell(core, func(now time.Time) { core.Advised(a.Stage, tickets, valid, now) })
}
