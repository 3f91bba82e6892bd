package standin

import (
	"bytes"
	"sort"
	"time"

	"almondcove/etcd"
)

// keyspace is a key-value store with revisions, leases and a history of writes, as
// etcd has them. It is not safe for concurrent use.
type keyspace struct {
	rev         int64
	keys        map[string]etcd.KV
	log         []logEntry
	leases      map[int64]*lease
	lastLeaseID int64
}

// logEntry is one write or deletion of a key, with the value that it replaced.
type logEntry struct {
	writtenAt time.Time
	rev       int64
	event     etcd.Event
	// previous is nil if the key did not exist.
	previous *etcd.KV
}

// restoredLeaseTTL is the time to live of a lease that had ended and is restored by
// a rewind. The log does not hold the original one.
const restoredLeaseTTL = 10 * time.Second

type lease struct {
	ttl       time.Duration
	expiresAt time.Time
}

func newKeyspace() *keyspace {
	return &keyspace{rev: 1, keys: make(map[string]etcd.KV), leases: make(map[int64]*lease)}
}

// scan returns the items of a key or of a range of keys, in the order of the keys.
func (s *keyspace) scan(r *etcd.RangeRequest) *etcd.RangeResponse {
	out := &etcd.RangeResponse{Header: etcd.Header{Revision: s.rev}}
	if len(r.RangeEnd) == 0 {
		if kv, ok := s.keys[string(r.Key)]; ok {
			out.KVs = append(out.KVs, kv)
		}
		return out
	}
	for _, kv := range s.keys {
		if inRange(kv.Key, r.Key, r.RangeEnd) {
			out.KVs = append(out.KVs, kv)
		}
	}
	sort.Slice(out.KVs, func(i, j int) bool { return bytes.Compare(out.KVs[i].Key, out.KVs[j].Key) < 0 })
	if limit := int(r.Limit); limit > 0 && len(out.KVs) > limit {
		out.KVs, out.More = out.KVs[:limit], true
	}
	return out
}

// inRange reports whether a key lies in a range. An empty end means the start key
// alone, and an end of one zero byte all keys from start on.
func inRange(key, start, end []byte) bool {
	if len(end) == 0 {
		return bytes.Equal(key, start)
	}
	unbounded := len(end) == 1 && end[0] == 0
	return bytes.Compare(key, start) >= 0 && (unbounded || bytes.Compare(key, end) < 0)
}

// txn runs a transaction. All its writes get the same new revision.
func (s *keyspace) txn(t *etcd.TxnRequest, now time.Time) *etcd.TxnResponse {
	return s.txnAt(t, s.rev+1, now)
}

// txnAt runs a transaction, which may be nested in another. All its writes get
// revision rev.
func (s *keyspace) txnAt(t *etcd.TxnRequest, rev int64, now time.Time) *etcd.TxnResponse {
	holds := true
	for _, c := range t.Compare {
		holds = holds && s.conditionHolds(c)
	}
	ops := t.Success
	if !holds {
		ops = t.Failure
	}
	out := &etcd.TxnResponse{Succeeded: holds}
	for _, op := range ops {
		out.Responses = append(out.Responses, s.runOp(op, rev, now))
	}
	out.Header.Revision = s.rev
	return out
}

// conditionHolds evaluates a condition. Targets other than those that the client
// uses never hold.
func (s *keyspace) conditionHolds(c etcd.Compare) bool {
	kv := s.keys[string(c.Key)]
	switch c.Target {
	case etcd.TargetMod:
		return kv.ModRevision == c.ModRevision
	case etcd.TargetVersion:
		return kv.Version == c.Version
	case etcd.TargetValue:
		return kv.Version > 0 && bytes.Equal(kv.Value, c.Value)
	}
	return false
}

func (s *keyspace) runOp(op etcd.Op, rev int64, now time.Time) etcd.OpResponse {
	switch {
	case op.Txn != nil:
		return etcd.OpResponse{Txn: s.txnAt(op.Txn, rev, now)}
	case op.Put != nil:
		s.put(op.Put, rev, now)
		return etcd.OpResponse{Put: &etcd.PutResponse{}}
	case op.Delete != nil:
		n := s.deleteRange(op.Delete, rev, now)
		return etcd.OpResponse{Delete: &etcd.DeleteResponse{Deleted: n}}
	case op.Range != nil:
		return etcd.OpResponse{Range: s.scan(op.Range)}
	}
	return etcd.OpResponse{}
}

func (s *keyspace) put(p *etcd.PutRequest, rev int64, now time.Time) {
	kv := etcd.KV{Key: p.Key, Value: p.Value, Lease: p.Lease, CreateRevision: rev, ModRevision: rev, Version: 1}
	if old, ok := s.keys[string(p.Key)]; ok {
		kv.CreateRevision = old.CreateRevision
		kv.Version = old.Version + 1
	}
	s.logWrite(etcd.NewEvent(kv, false), rev, now)
	s.keys[string(p.Key)] = kv
}

func (s *keyspace) deleteRange(d *etcd.DeleteRequest, rev int64, now time.Time) int64 {
	var n int64
	for key, kv := range s.keys {
		if inRange(kv.Key, d.Key, d.RangeEnd) {
			s.logWrite(etcd.NewEvent(etcd.KV{Key: kv.Key, ModRevision: rev}, true), rev, now)
			delete(s.keys, key)
			n++
		}
	}
	return n
}

// logWrite appends an event to the log, with the value that it replaces, and sets
// the store's revision. It is called before the key changes.
func (s *keyspace) logWrite(e etcd.Event, rev int64, now time.Time) {
	entry := logEntry{writtenAt: now, rev: rev, event: e}
	if previous, ok := s.keys[string(e.KV.Key)]; ok {
		entry.previous = &previous
	}
	s.log = append(s.log, entry)
	s.rev = rev
}

// rewind undoes all writes after the given time. It also restores the leases that have
// ended since then and to which a restored key is attached.
func (s *keyspace) rewind(to, now time.Time) {
	s.undoWritesAfter(to)
	for _, kv := range s.keys {
		if kv.Lease != 0 && s.leases[kv.Lease] == nil {
			s.leases[kv.Lease] = &lease{ttl: restoredLeaseTTL, expiresAt: now.Add(restoredLeaseTTL)}
		}
	}
}

func (s *keyspace) undoWritesAfter(to time.Time) {
	for len(s.log) > 0 {
		last := s.log[len(s.log)-1]
		if !last.writtenAt.After(to) {
			return
		}
		key := string(last.event.KV.Key)
		delete(s.keys, key)
		if last.previous != nil {
			s.keys[key] = *last.previous
		}
		s.rev = last.rev - 1
		s.log = s.log[:len(s.log)-1]
	}
}

// events returns the events for a range of keys, beginning with revision start.
func (s *keyspace) events(start int64, key, end []byte) []etcd.Event {
	i := sort.Search(len(s.log), func(i int) bool { return s.log[i].rev >= start })
	var out []etcd.Event
	for _, entry := range s.log[i:] {
		if inRange(entry.event.KV.Key, key, end) {
			out = append(out, entry.event)
		}
	}
	return out
}

func (s *keyspace) grant(ttl time.Duration, now time.Time) int64 {
	s.lastLeaseID++
	s.leases[s.lastLeaseID] = &lease{ttl: ttl, expiresAt: now.Add(ttl)}
	return s.lastLeaseID
}

// renew renews a lease and returns its time to live, or zero if it has ended.
func (s *keyspace) renew(id int64, now time.Time) time.Duration {
	l := s.leases[id]
	if l == nil {
		return 0
	}
	l.expiresAt = now.Add(l.ttl)
	return l.ttl
}

// expire ends the leases that have expired, or all leases.
func (s *keyspace) expire(now time.Time, all bool) {
	for id, l := range s.leases {
		if all || !now.Before(l.expiresAt) {
			s.revoke(id, now)
		}
	}
}

// revoke ends a lease and removes its keys. Unlike in etcd, each removal gets its own
// revision.
func (s *keyspace) revoke(id int64, now time.Time) {
	delete(s.leases, id)
	for _, kv := range s.keys {
		if kv.Lease == id {
			s.deleteRange(&etcd.DeleteRequest{Key: kv.Key}, s.rev+1, now)
		}
	}
}
