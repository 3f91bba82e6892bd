package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is a key of the store.
type item struct {
	Key     string `json:"key"`
	Value   []byte `json:"value"`
	Rev     int64  `json:"rev"`
	Created int64  `json:"created"`
	Lease   int64  `json:"lease"`
}

// storeEvent is an item as it was written, or the removal of one.
type storeEvent struct {
	item
	Deleted bool `json:"deleted,omitempty"`
}

type lease struct {
	ttl time.Duration
	end time.Time
}

// kvStore is a stand-in for the platform's metadata store. It loses nothing and answers
// every call.
type kvStore struct {
	mu      sync.Mutex
	rev     int64
	items   map[string]item
	log     []storeEvent
	leases  map[int64]*lease
	lastID  int64
	changed chan struct{}
	// lastWriter is the name of the entry that last wrote under a condition.
	lastWriter string
}

func newStore() *kvStore {
	s := &kvStore{rev: 1, items: make(map[string]item), leases: make(map[int64]*lease), changed: make(chan struct{})}
	go func() {
		for range time.Tick(20 * time.Millisecond) {
			s.mu.Lock()
			s.expire()
			s.mu.Unlock()
		}
	}()
	return s
}

// expire removes the keys of leases that have ended. The caller holds s.mu.
func (s *kvStore) expire() {
	for id, l := range s.leases {
		if time.Now().After(l.end) {
			s.endLease(id)
		}
	}
}

func (s *kvStore) endLease(id int64) {
	delete(s.leases, id)
	var keys []string
	for k, it := range s.items {
		if it.Lease == id {
			keys = append(keys, k)
		}
	}
	if len(keys) > 0 {
		s.write(nil, keys)
	}
}

type putRow struct {
	Key   string `json:"key"`
	Value []byte `json:"value"`
	Lease int64  `json:"lease"`
}

// write carries out a transaction. The caller holds s.mu.
func (s *kvStore) write(puts []putRow, removes []string) {
	s.rev++
	for _, p := range puts {
		it := item{Key: p.Key, Value: p.Value, Rev: s.rev, Created: s.rev, Lease: p.Lease}
		if old, ok := s.items[p.Key]; ok {
			it.Created = old.Created
		}
		s.items[p.Key] = it
		s.log = append(s.log, storeEvent{item: it})
	}
	for _, k := range removes {
		if _, ok := s.items[k]; ok {
			delete(s.items, k)
			s.log = append(s.log, storeEvent{item: item{Key: k, Rev: s.rev}, Deleted: true})
		}
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// put writes a key as the operator or a minion does.
func (s *kvStore) put(key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write([]putRow{{Key: key, Value: data}}, nil)
}

// remove deletes a key as the operator or the platform does.
func (s *kvStore) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(nil, []string{key})
}

// leader returns the name of the entry that last wrote under a condition.
func (s *kvStore) leader() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lastWriter
}

func reply(w http.ResponseWriter, code int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(code)
	if body != nil {
		_ = json.NewEncoder(w).Encode(body)
	}
}

// handler returns the store's handler for the calls of one entry.
func (s *kvStore) handler(entry string) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /-/kv-key", s.serveKey)
	mux.HandleFunc("GET /-/kv-range", s.serveRange)
	mux.HandleFunc("GET /-/kv-watch", s.serveWatch)
	mux.HandleFunc("POST /-/kv-txn", func(w http.ResponseWriter, r *http.Request) { s.serveTxn(w, r, entry) })
	mux.HandleFunc("POST /-/kv-lease", s.serveLease)
	mux.HandleFunc("POST /-/kv-keep/{id}", s.serveKeep)
	mux.HandleFunc("DELETE /-/kv-lease-end/{id}", s.serveLeaseEnd)
	return mux
}

func (s *kvStore) serveKey(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	it, ok := s.items[r.URL.Query().Get("key")]
	if !ok {
		reply(w, http.StatusNotFound, map[string]any{"currentRev": s.rev})
		return
	}
	reply(w, http.StatusOK, struct {
		item
		CurrentRev int64 `json:"currentRev"`
	}{it, s.rev})
}

func (s *kvStore) serveRange(w http.ResponseWriter, r *http.Request) {
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
	s.mu.Lock()
	defer s.mu.Unlock()
	out := []item{}
	for k, it := range s.items {
		if strings.HasPrefix(k, prefix) && k > after {
			out = append(out, it)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Key < out[j].Key })
	more := len(out) > 500
	if more {
		out = out[:500]
	}
	reply(w, http.StatusOK, map[string]any{"items": out, "hasMore": more, "currentRev": s.rev})
}

func (s *kvStore) serveWatch(w http.ResponseWriter, r *http.Request) {
	prefix := r.URL.Query().Get("prefix")
	after, _ := strconv.ParseInt(r.URL.Query().Get("after"), 10, 64)
	wait, _ := strconv.ParseInt(r.URL.Query().Get("waitMs"), 10, 64)
	deadline := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		events := []storeEvent{}
		for i := len(s.log) - 1; i >= 0 && s.log[i].Rev > after; i-- {
			if strings.HasPrefix(s.log[i].Key, prefix) {
				events = append(events, s.log[i])
			}
		}
		for i, j := 0, len(events)-1; i < j; i, j = i+1, j-1 {
			events[i], events[j] = events[j], events[i]
		}
		rev, changed := s.rev, s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			reply(w, http.StatusOK, map[string]any{"events": events, "currentRev": rev})
			return
		}
		select {
		case <-changed:
		case <-deadline:
			reply(w, http.StatusOK, map[string]any{"events": events, "currentRev": rev})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *kvStore) serveTxn(w http.ResponseWriter, r *http.Request, entry string) {
	var in struct {
		IfRev []struct {
			Key string `json:"key"`
			Rev int64  `json:"rev"`
		} `json:"ifRev"`
		Puts   []putRow `json:"puts"`
		Remove []string `json:"remove"`
	}
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil || len(in.IfRev)+len(in.Puts)+len(in.Remove) > 96 {
		reply(w, http.StatusBadRequest, nil)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	current, holds := []item{}, true
	for _, g := range in.IfRev {
		it := s.items[g.Key]
		holds = holds && it.Rev == g.Rev
		if it.Rev != 0 {
			current = append(current, it)
		}
	}
	if !holds {
		reply(w, http.StatusPreconditionFailed, map[string]any{"items": current, "currentRev": s.rev})
		return
	}
	for _, p := range in.Puts {
		if p.Lease != 0 && s.leases[p.Lease] == nil {
			reply(w, http.StatusNotFound, nil)
			return
		}
		if strings.HasPrefix(p.Key, "op/") || strings.HasPrefix(p.Key, "servers/") {
			reply(w, http.StatusForbidden, nil)
			return
		}
	}
	if len(in.IfRev) > 0 {
		s.lastWriter = entry
	}
	s.write(in.Puts, in.Remove)
	reply(w, http.StatusOK, map[string]any{"rev": s.rev})
}

func (s *kvStore) serveLease(w http.ResponseWriter, r *http.Request) {
	var in struct {
		TTLMs int64 `json:"ttlMs"`
	}
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
		reply(w, http.StatusBadRequest, nil)
		return
	}
	ttl := time.Duration(max(in.TTLMs, 1000)) * time.Millisecond
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastID++
	s.leases[s.lastID] = &lease{ttl: ttl, end: time.Now().Add(ttl)}
	reply(w, http.StatusOK, map[string]any{"lease": s.lastID, "ttlMs": ttl.Milliseconds()})
}

func (s *kvStore) serveKeep(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	l := s.leases[id]
	if l == nil {
		reply(w, http.StatusNotFound, nil)
		return
	}
	l.end = time.Now().Add(l.ttl)
	reply(w, http.StatusOK, map[string]any{"ttlMs": l.ttl.Milliseconds()})
}

func (s *kvStore) serveLeaseEnd(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.endLease(id)
	reply(w, http.StatusOK, map[string]any{})
}

// serve serves a handler on a free port of an address and returns the full address.
func serve(ip string, h http.Handler) (string, error) {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: h, ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(l) }()
	return l.Addr().String(), nil
}
