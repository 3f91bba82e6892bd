package standin

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"almondcove/etcd"
)

// The faults of the platform.
const (
	faultDown   = "down"
	faultSlow   = "slow"
	faultLost   = "lost"
	faultLapse  = "lapse"
	faultRewind = "rewind"
)

// The times that faults take.
const (
	// platformDelay is what a slow platform adds to each call.
	platformDelay = 1500 * time.Millisecond
	// rewindDefault is how much history is lost when the fault names no time.
	rewindDefault = 10 * time.Second
)

// Platform stands in for the key-value service. It is an [http.Handler].
type Platform struct {
	mux    *http.ServeMux
	faults *faults
	mu     sync.Mutex
	store  *keyspace
	// wake is closed and replaced after each write.
	wake chan struct{}
	// age grows with each rewind, which ends all watches.
	age int
}

// NewPlatform returns an empty store.
func NewPlatform() *Platform {
	p := &Platform{mux: http.NewServeMux(), store: newKeyspace(), wake: make(chan struct{})}
	p.faults = newFaults(p.fault, faultDown, faultSlow, faultLost, faultLapse, faultRewind)
	handle(p, "/v3/kv/range", func(in *etcd.RangeRequest) any { return p.store.scan(in) })
	handle(p, "/v3/kv/put", p.put)
	handle(p, "/v3/kv/deleterange", p.remove)
	handle(p, "/v3/kv/txn", p.txn)
	handle(p, "/v3/lease/grant", p.grant)
	handle(p, "/v3/lease/keepalive", p.keepAlive)
	handle(p, "/v3/lease/revoke", p.revoke)
	p.mux.HandleFunc("/v3/watch", p.watch)
	p.mux.Handle("/faults", p.faults)
	return p
}

// ServeHTTP answers one call.
func (p *Platform) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	p.mux.ServeHTTP(w, r)
}

// Put writes a key as the platform itself would, past all faults.
func (p *Platform) Put(key string, value []byte) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.store.put(&etcd.PutRequest{Key: []byte(key), Value: value}, p.store.rev+1, time.Now())
	p.changed()
}

// Fault starts a fault for d; zero means until it is cleared.
func (p *Platform) Fault(kind string, d time.Duration) {
	p.faults.set(kind, d)
}

// Clear ends all faults.
func (p *Platform) Clear() {
	p.faults.clear()
}

// fault does what happens once at the start of a fault.
func (p *Platform) fault(kind string, d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch kind {
	case faultDown:
		p.age++
	case faultLapse:
		p.store.expire(time.Now(), true)
	case faultRewind:
		if d <= 0 {
			d = rewindDefault
		}
		p.store.rewind(time.Now().Add(-d), time.Now())
		p.age++
	}
	p.changed()
}

func (p *Platform) changed() {
	close(p.wake)
	p.wake = make(chan struct{})
}

// handle serves one call that decodes T, runs f under the lock and encodes its result.
func handle[T any](p *Platform, path string, f func(*T) any) {
	p.mux.HandleFunc(path, func(w http.ResponseWriter, r *http.Request) {
		if !p.admit(w, r) {
			return
		}
		var in T
		if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
			reply(w, http.StatusBadRequest, etcd.ErrorResponse{Code: 3, Message: err.Error()})
			return
		}
		p.mu.Lock()
		p.store.expire(time.Now(), false)
		rev := p.store.rev
		out := f(&in)
		wrote := p.store.rev != rev
		if wrote {
			p.changed()
		}
		p.mu.Unlock()
		if wrote && p.faults.active(faultLost) {
			hangUp(w)
			return
		}
		if refused, ok := out.(etcd.ErrorResponse); ok {
			reply(w, http.StatusNotFound, refused)
			return
		}
		reply(w, http.StatusOK, out)
	})
}

// txn runs a transaction. One that puts a key under a lease that is not there is
// refused.
func (p *Platform) txn(in *etcd.TxnRequest) any {
	for _, op := range in.Success {
		if op.Put != nil && op.Put.Lease != 0 && p.store.leases[op.Put.Lease] == nil {
			return etcd.ErrorResponse{Code: 5, Message: "requested lease not found"}
		}
	}
	return p.store.txn(in, time.Now())
}

// admit applies the faults that come before a call and reports whether it goes on.
func (p *Platform) admit(w http.ResponseWriter, r *http.Request) bool {
	if p.faults.active(faultDown) {
		hangUp(w)
		return false
	}
	if p.faults.active(faultSlow) {
		timer := time.NewTimer(platformDelay)
		defer timer.Stop()
		select {
		case <-timer.C:
		case <-r.Context().Done():
			return false
		}
	}
	return true
}

// hangUp closes the connection without an answer.
func hangUp(http.ResponseWriter) {
	panic(http.ErrAbortHandler)
}

func (p *Platform) put(in *etcd.PutRequest) any {
	p.store.put(in, p.store.rev+1, time.Now())
	return etcd.PutResponse{Header: etcd.Header{Revision: p.store.rev}}
}

func (p *Platform) remove(in *etcd.DeleteRequest) any {
	n := p.store.remove(in, p.store.rev+1, time.Now())
	return etcd.DeleteResponse{Header: etcd.Header{Revision: p.store.rev}, Deleted: n}
}

func (p *Platform) grant(in *etcd.GrantRequest) any {
	id := p.store.grant(time.Duration(in.TTL)*time.Second, time.Now())
	return etcd.LeaseResponse{ID: id, TTL: in.TTL}
}

func (p *Platform) keepAlive(in *etcd.LeaseRequest) any {
	ttl := p.store.renew(in.ID, time.Now())
	return etcd.KeepAliveResponse{Result: &etcd.LeaseResponse{ID: in.ID, TTL: int64(ttl / time.Second)}}
}

func (p *Platform) revoke(in *etcd.LeaseRequest) any {
	p.store.revoke(in.ID, time.Now())
	return etcd.LeaseResponse{ID: in.ID}
}

// watch streams the events of a range of keys.
func (p *Platform) watch(w http.ResponseWriter, r *http.Request) {
	if !p.admit(w, r) {
		return
	}
	var in etcd.WatchRequest
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
		reply(w, http.StatusBadRequest, etcd.ErrorResponse{Code: 3, Message: err.Error()})
		return
	}
	p.mu.Lock()
	age := p.age
	next := in.Create.Start
	if next == 0 {
		next = p.store.rev + 1
	}
	p.mu.Unlock()
	stream := json.NewEncoder(w)
	result := etcd.WatchResult{Created: true}
	for {
		if err := stream.Encode(etcd.WatchResponse{Result: &result}); err != nil {
			return
		}
		if err := http.NewResponseController(w).Flush(); err != nil || result.Canceled {
			return
		}
		events, rev, same := p.await(r, age, next, in.Create)
		if !same {
			hangUp(w)
		}
		if events == nil {
			return
		}
		next = rev + 1
		result = etcd.WatchResult{Header: etcd.Header{Revision: rev}, Events: events}
	}
}

// await blocks until there are events from revision next on. It returns no
// events when the request ended, and false when the history was rewound.
func (p *Platform) await(r *http.Request, age int, next int64, c etcd.WatchCreate) ([]etcd.Event, int64, bool) {
	for {
		p.mu.Lock()
		p.store.expire(time.Now(), false)
		events, rev, wake := p.store.events(next, c.Key, c.End), p.store.rev, p.wake
		same := p.age == age
		p.mu.Unlock()
		if !same || len(events) > 0 {
			return events, rev, same
		}
		select {
		case <-wake:
		case <-time.After(time.Second):
			// Leases end by time alone.
		case <-r.Context().Done():
			return nil, 0, true
		}
	}
}
