package entry

import (
	"bytes"
	"context"
	"encoding/json"
	"time"

	"almondcove/delay"
	"almondcove/peer"
)

// recordPause is the time between looks at what has to be recorded.
const recordPause = time.Second

// record lets the leader write down the data centre's entries, from which new
// ones find the others, and any entry the restrictions that the platform
// missed, until ctx ends.
func (e *Entry) record(ctx context.Context) {
	var written []byte
	var expired time.Time
	for delay.For(ctx, recordPause) {
		if e.leader.leads() {
			written = e.recordMembers(ctx, written)
			if time.Since(expired) > claimAge && e.claims.expire(ctx) == nil {
				expired = time.Now()
			}
		}
		e.recordRestrictions(ctx)
	}
}

// recordMembers writes the list of entries when it changed and returns what
// the platform holds.
func (e *Entry) recordMembers(ctx context.Context, written []byte) []byte {
	members := []peer.Member{e.config.Self}
	now := time.Now()
	for _, p := range e.mesh.Peers() {
		if p.From.Centre == e.config.Self.Centre && p.Live(now) {
			members = append(members, p.From)
		}
	}
	value, err := json.Marshal(members)
	if err != nil || bytes.Equal(value, written) {
		return written
	}
	if e.platform.Put(ctx, e.config.Prefix+"view/entry/"+e.config.Self.Centre, value) != nil {
		return written
	}
	return value
}

// recordRestrictions records what was put in force while the platform could
// not be reached. Several entries may do so at once: the second finds it done.
func (e *Entry) recordRestrictions(ctx context.Context) {
	for _, r := range e.keeper.pending() {
		if _, err := e.change(ctx, r.Change()); err != nil {
			return
		}
	}
}
