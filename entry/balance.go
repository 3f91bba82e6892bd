package entry

import (
	"context"
	"time"

	"almondcove/delay"
	"almondcove/dispatch"
	"almondcove/peer"
)

// balance keeps the entry's starts on contended pools in proportion to those of
// the data centre's other entries, and tells them its own demands, until ctx ends.
func (e *Entry) balance(ctx context.Context) {
	for delay.For(ctx, peer.Beat) {
		others := e.othersDemands()
		var own []dispatch.Demand
		e.work.do(func(core *dispatch.Core, _ time.Time) {
			core.Balance(others)
			own = core.Demands(dispatch.WaitingPools(others))
		})
		e.demands.Store(&own)
	}
}

// othersDemands returns what the live entries of the data centre last told.
func (e *Entry) othersDemands() []dispatch.Demand {
	var out []dispatch.Demand
	now := time.Now()
	for _, p := range e.mesh.Peers() {
		if p.From.Centre == e.config.Self.Centre && p.Live(now) {
			out = append(out, p.Demands...)
		}
	}
	return out
}
