package owner

import (
	"context"
	"slices"
	"time"

	"almondcove/delay"
	"almondcove/schedule"
)

// machineLoop lists the machines and reports on maintenance.
func (o *Owner) machineLoop() {
	var told []schedule.WaveState
	for o.ctx.Err() == nil {
		o.machinesOnce(&told)
		if !delay.For(o.ctx, machinesEvery) {
			return
		}
		select {
		case <-o.ctx.Done():
		case <-o.look:
		case <-time.After(machinesIdle):
		}
	}
}

// machinesOnce lists the machines once.
func (o *Owner) machinesOnce(told *[]schedule.WaveState) {
	o.mu.Lock()
	core, active := o.core, o.active
	o.mu.Unlock()
	if !active || !o.config.Valid() {
		*told = nil
		return
	}
	ctx, cancel := context.WithTimeout(o.ctx, machineTimeout)
	defer cancel()
	asked := time.Now()
	list, err := o.config.Machines.List(ctx)
	if err != nil {
		o.config.Log.Warn("machines not listed", "error", err)
		wake(o.look)
		return
	}
	var states []schedule.WaveState
	o.tell(core, func(time.Time) {
		core.SetMachines(list, asked)
		states = core.WaveStates()
	})
	if !slices.Equal(states, *told) && o.config.Valid() {
		if err := o.config.Report(ctx, states); err != nil {
			o.config.Log.Warn("waves not reported", "error", err)
			wake(o.look)
			return
		}
		*told = states
	}
}
