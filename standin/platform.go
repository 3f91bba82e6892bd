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
	// faultDown ends all watches and closes the connection of each call.
	faultDown = "down"
	// faultSlow delays each call by slowCallDelay.
	faultSlow = "slow"
	// faultLost carries out writes without an answer.
	faultLost = "lost"
	// faultLapse ends all leases when it is set.
	faultLapse = "lapse"
	// faultRewind ends all watches and undoes the writes of a past period, whose length
	// is the fault's duration, when it is set.
	faultRewind = "rewind"
)

// The durations of faults.
const (
	// slowCallDelay is the delay of each call while the platform is slow. It is shorter
	// than etcd.DefaultTimeout, so that slow calls succeed with that time limit.
	slowCallDelay = 1500 * time.Millisecond
	// defaultRewind is how far the store is rewound if the fault has no duration.
	defaultRewind = 10 * time.Second
)

// Platform is a stand-in for the platform's key-value service, which speaks the JSON
// mapping of the etcd v3 API. It is an [http.Handler].
type Platform struct {
	mux    *http.ServeMux
	faults *faults
	mu     sync.Mutex
	store  *keyspace
	// changed is closed and replaced after each write and when a fault is set.
	changed chan struct{}
	// watchGeneration is incremented when the platform goes down or the store is
	// rewound. Either ends all watches.
	watchGeneration int
}

// NewPlatform returns a platform with an empty store.
func NewPlatform() *Platform {
	p := &Platform{mux: http.NewServeMux(), store: newKeyspace(), changed: make(chan struct{})}
	p.faults = newFaults(p.applyFault, faultDown, faultSlow, faultLost, faultLapse, faultRewind)
	handle(p, "/v3/kv/range", func(in *etcd.RangeRequest) any { return p.store.scan(in) })
	handle(p, "/v3/kv/put", p.put)
	handle(p, "/v3/kv/deleterange", p.deleteRange)
	handle(p, "/v3/kv/txn", p.txn)
	handle(p, "/v3/lease/grant", p.grant)
	handle(p, "/v3/lease/keepalive", p.keepAlive)
	handle(p, "/v3/lease/revoke", p.revoke)
	p.mux.HandleFunc("/v3/watch", p.watch)
	p.mux.Handle("/faults", p.faults)
	return p
}

// ServeHTTP serves the calls of the key-value service and /faults.
func (p *Platform) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	p.mux.ServeHTTP(w, r)
}

// Put writes a key as the platform itself would. Faults have no effect on it.
func (p *Platform) Put(key string, value []byte) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.store.put(&etcd.PutRequest{Key: []byte(key), Value: value}, p.store.rev+1, time.Now())
	p.notifyWatchers()
}

// Fault starts a fault for d; zero means until it is cleared.
func (p *Platform) Fault(kind string, d time.Duration) {
	p.faults.set(kind, d)
}

// Clear ends all faults.
func (p *Platform) Clear() {
	p.faults.clear()
}

// applyFault carries out the one-time effects of a fault when it is set: it ends
// watches or leases, or rewinds the store.
func (p *Platform) applyFault(kind string, d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch kind {
	case faultDown:
		p.watchGeneration++
	case faultLapse:
		p.store.expire(time.Now(), true)
	case faultRewind:
		if d <= 0 {
			d = defaultRewind
		}
		p.store.rewind(time.Now().Add(-d), time.Now())
		p.watchGeneration++
	}
	p.notifyWatchers()
}

func (p *Platform) notifyWatchers() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// handle registers a handler that decodes a T, calls f with the lock held and encodes
// its result. Under the fault "lost" a call that wrote something gets no answer.
func handle[T any](p *Platform, path string, f func(*T) any) {
	p.mux.HandleFunc(path, func(w http.ResponseWriter, r *http.Request) {
		if !p.admitCall(w, r) {
			return
		}
		var in T
		if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
			writeJSON(w, http.StatusBadRequest, etcd.ErrorResponse{Code: 3, Message: err.Error()})
			return
		}
		p.mu.Lock()
		p.store.expire(time.Now(), false)
		rev := p.store.rev
		out := f(&in)
		wrote := p.store.rev != rev
		if wrote {
			p.notifyWatchers()
		}
		p.mu.Unlock()
		if wrote && p.faults.active(faultLost) {
			abortConnection(w)
			return
		}
		if refused, ok := out.(etcd.ErrorResponse); ok {
			writeJSON(w, http.StatusNotFound, refused)
			return
		}
		writeJSON(w, http.StatusOK, out)
	})
}

// txn runs a transaction. It rejects one that puts a key with a lease that does not
// exist.
func (p *Platform) txn(in *etcd.TxnRequest) any {
	for _, op := range in.Success {
		if op.Put != nil && op.Put.Lease != 0 && p.store.leases[op.Put.Lease] == nil {
			return etcd.ErrorResponse{Code: 5, Message: "requested lease not found"}
		}
	}
	return p.store.txn(in, time.Now())
}

// admitCall applies the faults "down" and "slow" to a call, and reports whether to
// carry out the call.
func (p *Platform) admitCall(w http.ResponseWriter, r *http.Request) bool {
	if p.faults.active(faultDown) {
		abortConnection(w)
		return false
	}
	if p.faults.active(faultSlow) {
		timer := time.NewTimer(slowCallDelay)
		defer timer.Stop()
		select {
		case <-timer.C:
		case <-r.Context().Done():
			return false
		}
	}
	return true
}

// abortConnection closes the connection without completing the answer.
func abortConnection(http.ResponseWriter) {
	panic(http.ErrAbortHandler)
}

func (p *Platform) put(in *etcd.PutRequest) any {
	p.store.put(in, p.store.rev+1, time.Now())
	return etcd.PutResponse{Header: etcd.Header{Revision: p.store.rev}}
}

func (p *Platform) deleteRange(in *etcd.DeleteRequest) any {
	n := p.store.deleteRange(in, p.store.rev+1, time.Now())
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

// watch streams the events of a range of keys until the request ends. It aborts the
// connection when the platform goes down or the store is rewound.
func (p *Platform) watch(w http.ResponseWriter, r *http.Request) {
	if !p.admitCall(w, r) {
		return
	}
	var in etcd.WatchRequest
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
		writeJSON(w, http.StatusBadRequest, etcd.ErrorResponse{Code: 3, Message: err.Error()})
		return
	}
	p.mu.Lock()
	watchGeneration := p.watchGeneration
	next := in.Create.StartRevision
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
		events, rev, sameGeneration := p.awaitEvents(r, watchGeneration, next, in.Create)
		if !sameGeneration {
			abortConnection(w)
		}
		if events == nil {
			return
		}
		next = rev + 1
		result = etcd.WatchResult{Header: etcd.Header{Revision: rev}, Events: events}
	}
}

// awaitEvents blocks until there are events with revision next or later. It returns no
// events if the request has ended, and false if the watch generation has changed.
func (p *Platform) awaitEvents(r *http.Request, watchGeneration int, next int64, c etcd.WatchCreate) ([]etcd.Event, int64, bool) {
	for {
		p.mu.Lock()
		p.store.expire(time.Now(), false)
		events, rev, changed := p.store.events(next, c.Key, c.RangeEnd), p.store.rev, p.changed
		sameGeneration := p.watchGeneration == watchGeneration
		p.mu.Unlock()
		if !sameGeneration || len(events) > 0 {
			return events, rev, sameGeneration
		}
		select {
		case <-changed:
		case <-time.After(time.Second):
			// A lease may have expired. That closes no channel, so the loop checks for it.
		case <-r.Context().Done():
			return nil, 0, true
		}
	}
}
