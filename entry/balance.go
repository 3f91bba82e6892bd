package entry

import (
	"context"
	"time"

	"almondcove/delay"
	"almondcove/dispatch"
	"almondcove/peer"
)

// balanceStarts limits how many tasks the entry runs on contended pools according to
// the demands of the data centre's other entries, and publishes the entry's own
// demands to them, until ctx ends.
func (e *Entry) balanceStarts(ctx context.Context) {
	for delay.Sleep(ctx, peer.HeartbeatInterval) {
		others := e.peerDemands()
		var own []dispatch.Demand
		e.taskDispatcher.update(func(core *dispatch.Core, _ time.Time) {
			core.Balance(others)
			own = core.Demands(dispatch.WaitingPools(others))
		})
		e.demands.Store(&own)
	}
}

// peerDemands returns the demands last announced by the data centre's other live
// entries.
func (e *Entry) peerDemands() []dispatch.Demand {
	var out []dispatch.Demand
	now := time.Now()
	for _, p := range e.mesh.Peers() {
		if p.Identity.Centre == e.config.Self.Centre && p.Live(now) {
			out = append(out, p.Demands...)
		}
	}
	return out
}
