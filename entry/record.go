package entry

import (
	"bytes"
	"context"
	"encoding/json"
	"time"

	"almondcove/delay"
	"almondcove/peer"
)

// recordInterval is the time between checks for changes that the platform has not
// recorded.
const recordInterval = time.Second

// maintainRecords keeps the platform's records up to date until ctx ends. The
// leader records the live entries of its data centre, so that new entries find them,
// and deletes expired claims. Every entry records the restrictions that the platform
// has not recorded.
func (e *Entry) maintainRecords(ctx context.Context) {
	var written []byte
	var lastExpiry time.Time
	for delay.Sleep(ctx, recordInterval) {
		if e.leader.isLeading() {
			written = e.recordMembers(ctx, written)
			if time.Since(lastExpiry) > claimGenerationLength && e.claims.expire(ctx) == nil {
				lastExpiry = time.Now()
			}
		}
		e.recordRestrictions(ctx)
	}
}

// recordMembers writes the data centre's live entries to the platform if they
// differ from written, and returns the value last written.
func (e *Entry) recordMembers(ctx context.Context, written []byte) []byte {
	members := []peer.Member{e.config.Self}
	now := time.Now()
	for _, p := range e.mesh.Peers() {
		if p.Identity.Centre == e.config.Self.Centre && p.Live(now) {
			members = append(members, p.Identity)
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

// recordRestrictions records the restrictions that were put in force while the
// platform could not be reached. Several entries may record the same one at once:
// all but the first find it recorded already.
func (e *Entry) recordRestrictions(ctx context.Context) {
	for _, r := range e.configStore.pending() {
		if _, err := e.applyChange(ctx, r.Change()); err != nil {
			return
		}
	}
}
