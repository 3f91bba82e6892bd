package standin

import (
	"bytes"
	"sort"
	"time"

	"almondcove/etcd"
)

// keyspace is a key-value store with revisions, leases and history. It is not
// safe for concurrent use.
type keyspace struct {
	rev    int64
	keys   map[string]etcd.KV
	log    []logged
	leases map[int64]*lease
	lease  int64
}

// logged is one write with what it replaced.
type logged struct {
	at    time.Time
	rev   int64
	event etcd.Event
	old   *etcd.KV
}

// revived is the time to live of a lease that a rewind brings back.
const revived = 10 * time.Second

type lease struct {
	ttl time.Duration
	end time.Time
}

func newKeyspace() *keyspace {
	return &keyspace{rev: 1, keys: make(map[string]etcd.KV), leases: make(map[int64]*lease)}
}

func (s *keyspace) scan(r *etcd.RangeRequest) *etcd.RangeResponse {
	out := &etcd.RangeResponse{Header: etcd.Header{Revision: s.rev}}
	if len(r.End) == 0 {
		if kv, ok := s.keys[string(r.Key)]; ok {
			out.KVs = append(out.KVs, kv)
		}
		return out
	}
	for _, kv := range s.keys {
		if within(kv.Key, r.Key, r.End) {
			out.KVs = append(out.KVs, kv)
		}
	}
	sort.Slice(out.KVs, func(i, j int) bool { return bytes.Compare(out.KVs[i].Key, out.KVs[j].Key) < 0 })
	return out
}

func within(key, start, end []byte) bool {
	if len(end) == 0 {
		return bytes.Equal(key, start)
	}
	open := len(end) == 1 && end[0] == 0
	return bytes.Compare(key, start) >= 0 && (open || bytes.Compare(key, end) < 0)
}

// txn runs a transaction at one new revision.
func (s *keyspace) txn(t *etcd.TxnRequest, now time.Time) *etcd.TxnResponse {
	return s.txnAt(t, s.rev+1, now)
}

func (s *keyspace) txnAt(t *etcd.TxnRequest, rev int64, now time.Time) *etcd.TxnResponse {
	ok := true
	for _, c := range t.Compare {
		ok = ok && s.holds(c)
	}
	ops := t.Success
	if !ok {
		ops = t.Failure
	}
	out := &etcd.TxnResponse{Succeeded: ok}
	for _, op := range ops {
		out.Responses = append(out.Responses, s.run(op, rev, now))
	}
	out.Header.Revision = s.rev
	return out
}

func (s *keyspace) holds(c etcd.Compare) bool {
	kv := s.keys[string(c.Key)]
	switch c.Target {
	case etcd.TargetMod:
		return kv.Mod == c.Mod
	case etcd.TargetVersion:
		return kv.Version == c.Version
	case etcd.TargetValue:
		return kv.Version > 0 && bytes.Equal(kv.Value, c.Value)
	}
	return false
}

func (s *keyspace) run(op etcd.Op, rev int64, now time.Time) etcd.OpResponse {
	switch {
	case op.Txn != nil:
		return etcd.OpResponse{Txn: s.txnAt(op.Txn, rev, now)}
	case op.Put != nil:
		s.put(op.Put, rev, now)
		return etcd.OpResponse{Put: &etcd.PutResponse{}}
	case op.Delete != nil:
		n := s.remove(op.Delete, rev, now)
		return etcd.OpResponse{Delete: &etcd.DeleteResponse{Deleted: n}}
	case op.Range != nil:
		return etcd.OpResponse{Range: s.scan(op.Range)}
	}
	return etcd.OpResponse{}
}

func (s *keyspace) put(p *etcd.PutRequest, rev int64, now time.Time) {
	kv := etcd.KV{Key: p.Key, Value: p.Value, Lease: p.Lease, Created: rev, Mod: rev, Version: 1}
	if old, ok := s.keys[string(p.Key)]; ok {
		kv.Created = old.Created
		kv.Version = old.Version + 1
	}
	s.write(etcd.NewEvent(kv, false), rev, now)
	s.keys[string(p.Key)] = kv
}

func (s *keyspace) remove(d *etcd.DeleteRequest, rev int64, now time.Time) int64 {
	var n int64
	for key, kv := range s.keys {
		if within(kv.Key, d.Key, d.End) {
			s.write(etcd.NewEvent(etcd.KV{Key: kv.Key, Mod: rev}, true), rev, now)
			delete(s.keys, key)
			n++
		}
	}
	return n
}

// write logs an event with what it replaces.
func (s *keyspace) write(e etcd.Event, rev int64, now time.Time) {
	entry := logged{at: now, rev: rev, event: e}
	if old, ok := s.keys[string(e.KV.Key)]; ok {
		entry.old = &old
	}
	s.log = append(s.log, entry)
	s.rev = rev
}

// rewind takes back all writes after the given time. Leases that had not ended
// then live once more.
func (s *keyspace) rewind(to, now time.Time) {
	s.takeBack(to)
	for _, kv := range s.keys {
		if kv.Lease != 0 && s.leases[kv.Lease] == nil {
			s.leases[kv.Lease] = &lease{ttl: revived, end: now.Add(revived)}
		}
	}
}

func (s *keyspace) takeBack(to time.Time) {
	for len(s.log) > 0 {
		last := s.log[len(s.log)-1]
		if !last.at.After(to) {
			return
		}
		key := string(last.event.KV.Key)
		delete(s.keys, key)
		if last.old != nil {
			s.keys[key] = *last.old
		}
		s.rev = last.rev - 1
		s.log = s.log[:len(s.log)-1]
	}
}

// events returns the events from revision start on for a range of keys.
func (s *keyspace) events(start int64, key, end []byte) []etcd.Event {
	i := sort.Search(len(s.log), func(i int) bool { return s.log[i].rev >= start })
	var out []etcd.Event
	for _, l := range s.log[i:] {
		if within(l.event.KV.Key, key, end) {
			out = append(out, l.event)
		}
	}
	return out
}

func (s *keyspace) grant(ttl time.Duration, now time.Time) int64 {
	s.lease++
	s.leases[s.lease] = &lease{ttl: ttl, end: now.Add(ttl)}
	return s.lease
}

// renew returns the lease's time to live, or zero when it has ended.
func (s *keyspace) renew(id int64, now time.Time) time.Duration {
	l := s.leases[id]
	if l == nil {
		return 0
	}
	l.end = now.Add(l.ttl)
	return l.ttl
}

// expire ends the leases whose time has come, or all.
func (s *keyspace) expire(now time.Time, all bool) {
	for id, l := range s.leases {
		if all || !now.Before(l.end) {
			s.revoke(id, now)
		}
	}
}

func (s *keyspace) revoke(id int64, now time.Time) {
	delete(s.leases, id)
	for _, kv := range s.keys {
		if kv.Lease == id {
			s.remove(&etcd.DeleteRequest{Key: kv.Key}, s.rev+1, now)
		}
	}
}
