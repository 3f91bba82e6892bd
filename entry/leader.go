package entry

import (
	"context"
	"encoding/json"
	"strings"
	"sync"
	"time"

	"almondcove/delay"
	"almondcove/etcd"
	"almondcove/fleet"
	"almondcove/peer"
	"almondcove/timeline"
)

// Intervals and timeouts of leadership.
const (
	// leaderLeaseTTL is the lifetime of the lease under which an entry leads its
	// data centre.
	leaderLeaseTTL = 6 * time.Second
	// leaderInterval is the time between lease renewals, and between checks
	// whether the data centre has a leader. It is a third of leaderLeaseTTL, so
	// that the lease outlasts a failed renewal.
	leaderInterval = 2 * time.Second
	// headCheckInterval is the time between reads of the configuration head,
	// which detect a watch that has stopped delivering events.
	headCheckInterval = 5 * time.Second
)

// leader reads the platform on behalf of its data centre while it holds the
// leader lease. Two leaders at the same time only cause duplicate reads.
type leader struct {
	entry *Entry
	mu    sync.Mutex
	lease int64
	// leaseValidUntil is the time until which the lease is certainly valid. It is
	// leaderLeaseTTL after the sending of the request that granted or last renewed
	// the lease, so it is never later than the end of the lease in the platform.
	leaseValidUntil time.Time
}

// isLeading reports whether the entry leads its data centre, which it does while its
// lease is certainly valid.
func (l *leader) isLeading() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return time.Now().Before(l.leaseValidUntil)
}

func (l *leader) leaseKey() string {
	return l.entry.config.Prefix + "lead/" + l.entry.config.Self.Centre
}

// viewPrefix returns the prefix of the view: the keys that leaders read and watch on
// behalf of their data centres. These are the configuration records, the list of
// VMs, and the entries of each data centre.
func (l *leader) viewPrefix() string {
	return l.entry.config.Prefix + "view/"
}

// run takes part in leader elections, and leads when elected, until ctx ends.
func (l *leader) run(ctx context.Context) {
	// The first attempt comes at once, so that a new data centre starts quickly.
	for wait := time.Duration(0); delay.Sleep(ctx, wait); wait = leaderInterval {
		if l.entry.Leaving() || l.peerIsLeading() {
			continue
		}
		if l.acquireLease(ctx) {
			l.runAsLeader(ctx)
		}
	}
}

// peerIsLeading reports whether a live peer in the data centre announces that it leads.
func (l *leader) peerIsLeading() bool {
	now := time.Now()
	for _, p := range l.entry.mesh.Peers() {
		if p.Identity.Centre == l.entry.config.Self.Centre && p.Leader && p.Live(now) {
			return true
		}
	}
	return false
}

// acquireLease tries to take the leader lease and reports whether it did.
func (l *leader) acquireLease(ctx context.Context) bool {
	requested := time.Now()
	lease, err := l.entry.platform.Grant(ctx, leaderLeaseTTL)
	if err != nil {
		return false
	}
	done, err := l.entry.platform.Commit(ctx, etcd.TxnRequest{
		Compare: []etcd.Compare{etcd.Absent(l.leaseKey())},
		Success: []etcd.Op{etcd.OpPutWithLease(l.leaseKey(), []byte(l.entry.config.Self.Name), lease)},
	})
	if err != nil || !done.Succeeded {
		// The key, if it was written, disappears with the lease, which expires
		// even when the revocation fails.
		_ = l.entry.platform.Revoke(ctx, lease)
		return false
	}
	l.setLease(lease, requested.Add(leaderLeaseTTL))
	l.entry.recordEvent(timeline.Event{Kind: "lead"})
	return true
}

func (l *leader) setLease(lease int64, leaseValidUntil time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lease, l.leaseValidUntil = lease, leaseValidUntil
}

// runAsLeader renews the lease and reads the platform until the lease is lost, checkHead
// finds that the watch has missed a change, the entry shuts down or ctx ends.
func (l *leader) runAsLeader(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var readers sync.WaitGroup
	readers.Go(func() { l.listAndWatch(ctx) })
	readers.Go(func() { l.checkHead(ctx, cancel) })
	for delay.Sleep(ctx, leaderInterval) && !l.entry.Leaving() {
		requested := time.Now()
		l.mu.Lock()
		lease := l.lease
		l.mu.Unlock()
		if l.entry.platform.KeepAlive(ctx, lease) == nil {
			l.setLease(lease, requested.Add(leaderLeaseTTL))
			continue
		}
		if !l.isLeading() {
			break
		}
	}
	cancel()
	readers.Wait()
	l.setLease(0, time.Time{})
	l.entry.recordEvent(timeline.Event{Kind: "unlead"})
}

// resign gives up leadership and revokes the lease.
func (l *leader) resign(ctx context.Context) {
	l.mu.Lock()
	lease := l.lease
	l.lease, l.leaseValidUntil = 0, time.Time{}
	l.mu.Unlock()
	if lease != 0 {
		// A failed revocation is harmless: the lease expires.
		_ = l.entry.platform.Revoke(ctx, lease)
	}
}

// listAndWatch reads the whole view and then watches it for changes. When the
// watch breaks, it starts again.
func (l *leader) listAndWatch(ctx context.Context) {
	for wait := time.Duration(0); delay.Sleep(ctx, wait); wait = leaderInterval / 4 {
		kvs, rev, err := l.entry.platform.List(ctx, l.viewPrefix())
		if err != nil {
			continue
		}
		l.applySnapshot(kvs)
		// The error is ignored: whatever broke the watch, the next round reads the
		// whole view again.
		_ = l.entry.platform.Watch(ctx, l.viewPrefix(), rev+1, func(events []etcd.Event, _ int64) error {
			l.applyEvents(events)
			return nil
		})
	}
}

// checkHead periodically compares the configuration head in the platform with the
// one that the entry holds. When the platform is ahead twice in a row, the watch
// has missed a change, and checkHead ends the leadership by calling cancel.
func (l *leader) checkHead(ctx context.Context, cancel context.CancelFunc) {
	timesAhead := 0
	for delay.Sleep(ctx, headCheckInterval) {
		kv, err := l.entry.platform.Get(ctx, l.headKey())
		if err != nil || kv.ModRevision == 0 {
			continue
		}
		head, err := decodeHead(kv.Value)
		if err != nil {
			l.entry.recordEvent(timeline.Event{Kind: "unreadable", Note: err.Error()})
			continue
		}
		held := l.entry.configStore.recorded().Head
		l.updateAlarms(head, held)
		if head.Rev <= held.Rev {
			timesAhead = 0
			continue
		}
		timesAhead++
		if timesAhead > 1 {
			cancel()
			return
		}
	}
}

// updateAlarms raises or clears the alarms for a platform whose configuration is
// older than the entry's (rewound), or differs from it under the same revision
// (forked). It records an event on each check while one of them is raised.
func (l *leader) updateAlarms(head, held fleet.Head) {
	rewound := head.Rev < held.Rev
	forked := head.Rev == held.Rev && head.Stamp != held.Stamp
	l.entry.metrics.setAlarm("rewound", rewound)
	l.entry.metrics.setAlarm("forked", forked)
	if rewound || forked {
		l.entry.recordEvent(timeline.Event{Kind: "rewound", Note: "platform holds revision " + itoa(head.Rev) + ", held is " + itoa(held.Rev)})
	}
}

func (l *leader) headKey() string {
	return l.entry.configKey(fleet.HeadKey)
}

func decodeHead(value []byte) (fleet.Head, error) {
	var r fleet.Record
	var head fleet.Head
	err := json.Unmarshal(value, &r)
	if err == nil {
		err = json.Unmarshal(r.Body, &head)
	}
	if err != nil {
		return head, &fleet.UnreadableRecordError{Key: fleet.HeadKey, Reason: err.Error()}
	}
	return head, nil
}

// applySnapshot applies the whole view as read from the platform.
func (l *leader) applySnapshot(kvs []etcd.KV) {
	var records []fleet.Record
	var vms []peer.VM
	for _, kv := range kvs {
		switch kind, name := l.splitKey(kv.Key); kind {
		case "conf":
			records = l.appendRecord(records, kv)
		case "list":
			vms = l.appendVM(vms, name, kv)
		case "entry":
			l.learnMembers(kv)
		}
	}
	if len(records) > 0 {
		l.entry.acceptRecords(records, "platform")
	}
	l.entry.list.applyPlatformList(l.entry.config.Self.Run, vms, true)
	l.entry.updateVMList()
}

// applyEvents applies the changes that the watch delivers for one revision.
func (l *leader) applyEvents(events []etcd.Event) {
	var records []fleet.Record
	var vms []peer.VM
	for _, ev := range events {
		kind, name := l.splitKey(ev.KV.Key)
		switch {
		case kind == "conf" && !ev.Deleted():
			records = l.appendRecord(records, ev.KV)
		case kind == "list" && ev.Deleted():
			vms = append(vms, peer.VM{Name: name, State: peer.VMGone})
		case kind == "list":
			vms = l.appendVM(vms, name, ev.KV)
		case kind == "entry" && !ev.Deleted():
			l.learnMembers(ev.KV)
		}
	}
	if len(records) > 0 {
		l.entry.acceptRecords(records, "platform")
	}
	if len(vms) > 0 {
		l.entry.list.applyPlatformList(l.entry.config.Self.Run, vms, false)
		l.entry.updateVMList()
		l.entry.mesh.TriggerHeartbeats()
	}
}

// splitKey returns the kind, which is the first path segment below the view
// prefix, and the last segment of a key.
func (l *leader) splitKey(key []byte) (kind, name string) {
	rest := strings.TrimPrefix(string(key), l.viewPrefix())
	kind, rest, _ = strings.Cut(rest, "/")
	if i := strings.LastIndexByte(rest, '/'); i >= 0 {
		rest = rest[i+1:]
	}
	return kind, rest
}

func (l *leader) appendRecord(out []fleet.Record, kv etcd.KV) []fleet.Record {
	var r fleet.Record
	if err := json.Unmarshal(kv.Value, &r); err != nil {
		l.entry.recordEvent(timeline.Event{Kind: "unreadable", Note: string(kv.Key) + ": " + err.Error()})
		return out
	}
	return append(out, r)
}

func (l *leader) appendVM(out []peer.VM, name string, kv etcd.KV) []peer.VM {
	var v peer.VM
	if err := json.Unmarshal(kv.Value, &v); err != nil {
		l.entry.recordEvent(timeline.Event{Kind: "unreadable", Note: string(kv.Key) + ": " + err.Error()})
		return out
	}
	v.Name = name
	return append(out, v)
}

func (l *leader) learnMembers(kv etcd.KV) {
	var members []peer.Member
	if err := json.Unmarshal(kv.Value, &members); err != nil {
		l.entry.recordEvent(timeline.Event{Kind: "unreadable", Note: string(kv.Key) + ": " + err.Error()})
		return
	}
	l.entry.mesh.AddMembers(members)
}
