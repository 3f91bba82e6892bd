package owner

import (
	"context"
	"slices"
	"time"

	"almondcove/delay"
	"almondcove/schedule"
)

// machineLoop regularly reads the machine list and reports the progress of
// maintenance waves.
func (o *Owner) machineLoop() {
	var reported []schedule.WaveState
	for o.ctx.Err() == nil {
		o.listMachines(&reported)
		if !delay.Sleep(o.ctx, machineListInterval) {
			return
		}
		select {
		case <-o.ctx.Done():
		case <-o.machinesWake:
		case <-time.After(machineListIdleDelay):
		}
	}
}

// listMachines reads the machine list once, passes it to the core, and reports the
// wave states if they differ from those reported last. After an error it wakes
// machineLoop, so that the next attempt follows soon.
func (o *Owner) listMachines(reported *[]schedule.WaveState) {
	o.mu.Lock()
	core, active := o.core, o.active
	o.mu.Unlock()
	if !active || !o.config.HoldsOwnership() {
		*reported = nil
		return
	}
	ctx, cancel := context.WithTimeout(o.ctx, machineTimeout)
	defer cancel()
	asked := time.Now()
	machines, err := o.config.Machines.List(ctx)
	if err != nil {
		o.config.Log.Warn("failed to list machines", "error", err)
		wake(o.machinesWake)
		return
	}
	var states []schedule.WaveState
	o.updateCore(core, func(time.Time) {
		core.SetMachines(machines, asked)
		states = core.WaveStates()
	})
	if !slices.Equal(states, *reported) && o.config.HoldsOwnership() {
		if err := o.config.ReportWaves(ctx, states); err != nil {
			o.config.Log.Warn("failed to report maintenance waves", "error", err)
			wake(o.machinesWake)
			return
		}
		*reported = states
	}
}
