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
		pause := o.machinesOnce(&told)
		if !delay.For(o.ctx, pause) {
			return
		}
	}
}

func (o *Owner) machinesOnce(told *[]schedule.WaveState) time.Duration {
	o.mu.Lock()
	core, active := o.core, o.active
	o.mu.Unlock()
	if !active || !o.config.Valid() {
		*told = nil
		return machinesEvery
	}
	ctx, cancel := context.WithTimeout(o.ctx, machineTimeout)
	defer cancel()
	asked := time.Now()
	list, err := o.config.Machines.List(ctx)
	if err != nil {
		o.config.Log.Warn("machines not listed", "error", err)
		return machinesEvery
	}
	var states []schedule.WaveState
	var pressing bool
	o.tell(core, func(time.Time) {
		core.SetMachines(list, asked)
		states = core.WaveStates()
		pressing = core.Pressing()
	})
	if !slices.Equal(states, *told) && o.config.Valid() {
		if err := o.config.Report(ctx, states); err != nil {
			o.config.Log.Warn("waves not reported", "error", err)
			return machinesEvery
		}
		*told = states
	}
	if pressing {
		return machinesEvery
	}
	return machinesIdle
}
