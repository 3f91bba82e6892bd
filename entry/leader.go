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

// The times of a leader.
const (
	// leadTerm is the lease under which an entry leads its data centre.
	leadTerm = 6 * time.Second
	// leadPause is the time between renewals, and between looks for a leader.
	leadPause = 2 * time.Second
	// readPause is the time between comparisons of the head with the one held,
	// which find a watch that has gone silent.
	readPause = 5 * time.Second
)

// leader reads the platform for its data centre while it holds the lease. Two
// leaders at once only read twice.
type leader struct {
	entry *Entry
	mu    sync.Mutex
	lease int64
	// until is when the lease has certainly not ended yet.
	until time.Time
}

// leads reports whether the entry leads its data centre.
func (l *leader) leads() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return time.Now().Before(l.until)
}

func (l *leader) key() string {
	return l.entry.config.Prefix + "lead/" + l.entry.config.Self.Centre
}

func (l *leader) prefix() string {
	return l.entry.config.Prefix + "view/"
}

// run seeks to lead and leads until ctx ends.
func (l *leader) run(ctx context.Context) {
	// The first look comes at once, so that a new data centre starts quickly.
	for wait := time.Duration(0); delay.For(ctx, wait); wait = leadPause {
		if l.entry.Leaving() || l.otherLeads() {
			continue
		}
		if l.elect(ctx) {
			l.lead(ctx)
		}
	}
}

// otherLeads reports whether a live entry of the data centre says it leads.
func (l *leader) otherLeads() bool {
	now := time.Now()
	for _, p := range l.entry.mesh.Peers() {
		if p.From.Centre == l.entry.config.Self.Centre && p.Leader && p.Live(now) {
			return true
		}
	}
	return false
}

// elect tries to take the lease.
func (l *leader) elect(ctx context.Context) bool {
	begun := time.Now()
	lease, err := l.entry.platform.Grant(ctx, leadTerm)
	if err != nil {
		return false
	}
	done, err := l.entry.platform.Commit(ctx, etcd.TxnRequest{
		Compare: []etcd.Compare{etcd.Absent(l.key())},
		Success: []etcd.Op{etcd.PutLeased(l.key(), []byte(l.entry.config.Self.Name), lease)},
	})
	if err != nil || !done.Succeeded {
		// Whatever was written ends with the lease, at the latest by time.
		_ = l.entry.platform.Revoke(ctx, lease)
		return false
	}
	l.hold(lease, begun.Add(leadTerm))
	l.entry.note(timeline.Event{Kind: "lead"})
	return true
}

func (l *leader) hold(lease int64, until time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lease, l.until = lease, until
}

// lead reads the platform while the lease lasts.
func (l *leader) lead(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var reading sync.WaitGroup
	reading.Go(func() { l.follow(ctx) })
	reading.Go(func() { l.compare(ctx, cancel) })
	for delay.For(ctx, leadPause) && !l.entry.Leaving() {
		begun := time.Now()
		l.mu.Lock()
		lease := l.lease
		l.mu.Unlock()
		if l.entry.platform.KeepAlive(ctx, lease) == nil {
			l.hold(lease, begun.Add(leadTerm))
			continue
		}
		if !l.leads() {
			break
		}
	}
	cancel()
	reading.Wait()
	l.hold(0, time.Time{})
	l.entry.note(timeline.Event{Kind: "unlead"})
}

// resign ends the lease at once.
func (l *leader) resign(ctx context.Context) {
	l.mu.Lock()
	lease := l.lease
	l.lease, l.until = 0, time.Time{}
	l.mu.Unlock()
	if lease != 0 {
		// An answer is not needed: the lease ends by itself.
		_ = l.entry.platform.Revoke(ctx, lease)
	}
}

// follow reads everything and then every change, again and again when the
// stream breaks.
func (l *leader) follow(ctx context.Context) {
	for wait := time.Duration(0); delay.For(ctx, wait); wait = leadPause / 4 {
		kvs, rev, err := l.entry.platform.List(ctx, l.prefix())
		if err != nil {
			continue
		}
		l.readAll(kvs)
		// The reason for the break does not matter: all is read again.
		_ = l.entry.platform.Watch(ctx, l.prefix(), rev+1, func(events []etcd.Event, _ int64) error {
			l.readEvents(events)
			return nil
		})
	}
}

// compare reads the head from time to time, and ends the leadership when it is
// not the one held, since then the watch has missed something.
func (l *leader) compare(ctx context.Context, cancel context.CancelFunc) {
	missed := 0
	for delay.For(ctx, readPause) {
		kv, err := l.entry.platform.Get(ctx, l.headKey())
		if err != nil || kv.Mod == 0 {
			continue
		}
		head, err := decodeHead(kv.Value)
		if err != nil {
			l.entry.note(timeline.Event{Kind: "unreadable", Note: err.Error()})
			continue
		}
		held := l.entry.keeper.held().Head
		l.alarm(head, held)
		if head.Rev <= held.Rev {
			missed = 0
			continue
		}
		missed++
		if missed > 1 {
			cancel()
			return
		}
	}
}

// alarm tells operators of a platform that has lost or forked its history.
func (l *leader) alarm(head, held fleet.Head) {
	rewound := head.Rev < held.Rev
	forked := head.Rev == held.Rev && head.Stamp != held.Stamp
	l.entry.metrics.setAlarm("rewound", rewound)
	l.entry.metrics.setAlarm("forked", forked)
	if rewound || forked {
		l.entry.note(timeline.Event{Kind: "rewound", Note: "platform holds revision " + itoa(head.Rev) + ", held is " + itoa(held.Rev)})
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

// readAll takes over everything that the platform holds for the entries.
func (l *leader) readAll(kvs []etcd.KV) {
	var records []fleet.Record
	var vms []peer.VM
	for _, kv := range kvs {
		switch kind, name := l.split(kv.Key); kind {
		case "conf":
			records = l.appendRecord(records, kv)
		case "list":
			vms = l.appendVM(vms, name, kv)
		case "entry":
			l.readMembers(kv)
		}
	}
	if len(records) > 0 {
		l.entry.acceptRecords(records, "platform")
	}
	l.entry.list.applyPlatformList(l.entry.config.Self.Run, vms, true)
	l.entry.updateVMList()
}

// readEvents takes over what changed at one revision.
func (l *leader) readEvents(events []etcd.Event) {
	var records []fleet.Record
	var vms []peer.VM
	for _, ev := range events {
		kind, name := l.split(ev.KV.Key)
		switch {
		case kind == "conf" && !ev.Deleted():
			records = l.appendRecord(records, ev.KV)
		case kind == "list" && ev.Deleted():
			vms = append(vms, peer.VM{Name: name, State: peer.Gone})
		case kind == "list":
			vms = l.appendVM(vms, name, ev.KV)
		case kind == "entry" && !ev.Deleted():
			l.readMembers(ev.KV)
		}
	}
	if len(records) > 0 {
		l.entry.acceptRecords(records, "platform")
	}
	if len(vms) > 0 {
		l.entry.list.applyPlatformList(l.entry.config.Self.Run, vms, false)
		l.entry.updateVMList()
		l.entry.mesh.Kick()
	}
}

// split returns the kind and the last part of a key below the view.
func (l *leader) split(key []byte) (kind, name string) {
	rest := strings.TrimPrefix(string(key), l.prefix())
	kind, rest, _ = strings.Cut(rest, "/")
	if i := strings.LastIndexByte(rest, '/'); i >= 0 {
		rest = rest[i+1:]
	}
	return kind, rest
}

func (l *leader) appendRecord(out []fleet.Record, kv etcd.KV) []fleet.Record {
	var r fleet.Record
	if err := json.Unmarshal(kv.Value, &r); err != nil {
		l.entry.note(timeline.Event{Kind: "unreadable", Note: string(kv.Key) + ": " + err.Error()})
		return out
	}
	return append(out, r)
}

func (l *leader) appendVM(out []peer.VM, name string, kv etcd.KV) []peer.VM {
	var v peer.VM
	if err := json.Unmarshal(kv.Value, &v); err != nil {
		l.entry.note(timeline.Event{Kind: "unreadable", Note: string(kv.Key) + ": " + err.Error()})
		return out
	}
	v.Name = name
	return append(out, v)
}

func (l *leader) readMembers(kv etcd.KV) {
	var members []peer.Member
	if err := json.Unmarshal(kv.Value, &members); err != nil {
		l.entry.note(timeline.Event{Kind: "unreadable", Note: string(kv.Key) + ": " + err.Error()})
		return
	}
	l.entry.mesh.Learn(members)
}
