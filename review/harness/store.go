package main

import (
	"context"
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// maxPage is the greatest number of items in a page.
const maxPage = 500

// valueBytes is the greatest size of a value.
const valueBytes = 1 << 20

// historyBytes is the greatest size of the values in the history, of which the store
// forgets the oldest first.
const historyBytes = 64 << 20

// storeLatency is how long the store takes to answer.
const storeLatency = 4 * time.Millisecond

type storeItem struct {
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Rev     int64  `json:"rev"`
	Created int64  `json:"created,omitempty"`
	Lease   int64  `json:"lease"`
	Deleted bool   `json:"deleted,omitempty"`
}

type storeLease struct {
	ttl     time.Duration
	expires time.Time
}

// kvStore is a stand-in of the platform's metadata store. It has one address for each
// entry, so that it can serve some entries and not others.
type kvStore struct {
	rec *recorder

	mu      sync.Mutex
	rev     int64
	items   map[string]storeItem
	history []storeItem
	// historySize is the size of the values in the history, and forgotten the last revision
	// that is no longer there.
	historySize int
	forgotten   int64
	leases      map[int64]*storeLease
	// lastLease is the id of the last lease.
	lastLease int64
	changed   chan struct{}
	// isDown is set while the store is down.
	isDown bool
	// loseAnswer, if not nil, says which transactions are carried out and not answered.
	loseAnswer func(entry int, puts []string) bool
	// lost is the number of answers that were lost so.
	lost int
}

func newStore(rec *recorder) *kvStore {
	return &kvStore{
		rec: rec, rev: 100, items: make(map[string]storeItem), leases: make(map[int64]*storeLease),
		changed: make(chan struct{}),
	}
}

// put writes an item on behalf of the operator or a VM.
func (s *kvStore) put(key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rev++
	s.write(key, data, 0)
	s.notify()
}

// get returns the value of an item.
func (s *kvStore) get(key string) ([]byte, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	it, ok := s.items[key]
	return it.Value, ok
}

// write writes an item at the current revision. The caller holds s.mu.
func (s *kvStore) write(key string, value []byte, lease int64) {
	created := s.rev
	if before, ok := s.items[key]; ok {
		created = before.Created
	}
	it := storeItem{Key: key, Value: value, Rev: s.rev, Created: created, Lease: lease}
	s.items[key] = it
	s.history = append(s.history, it)
	s.historySize += len(value)
	for s.historySize > historyBytes {
		s.historySize -= len(s.history[0].Value)
		s.forgotten = s.history[0].Rev
		s.history = s.history[1:]
	}
}

// erase removes an item at the current revision. The caller holds s.mu.
func (s *kvStore) erase(key string) {
	if _, ok := s.items[key]; ok {
		delete(s.items, key)
		s.history = append(s.history, storeItem{Key: key, Rev: s.rev, Deleted: true})
	}
}

func (s *kvStore) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// down takes the store down: it does nothing and answers nothing, and leases run out.
func (s *kvStore) down() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.isDown = true
	s.rec.add("store down, leases run out")
}

// setLoseAnswer sets which transactions are carried out and not answered.
func (s *kvStore) setLoseAnswer(lose func(entry int, puts []string) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.loseAnswer = lose
}

// answersLost returns the number of transactions that were carried out and not answered.
func (s *kvStore) answersLost() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lost
}

// up ends the outage.
func (s *kvStore) up() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.isDown = false
	s.rec.add("store up")
}

// expireLeases removes leases and their keys as they run out, until ctx ends.
func (s *kvStore) expireLeases(ctx context.Context) {
	tick := time.NewTicker(20 * time.Millisecond)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		s.mu.Lock()
		for id, l := range s.leases {
			if time.Now().After(l.expires) {
				s.endLease(id)
			}
		}
		s.mu.Unlock()
	}
}

// endLease ends a lease and removes its keys. The caller holds s.mu.
func (s *kvStore) endLease(id int64) {
	delete(s.leases, id)
	s.rev++
	for key, it := range s.items {
		if it.Lease == id {
			s.erase(key)
			s.rec.add("store: %s removed with its lease", key)
		}
	}
	s.notify()
}

// handler serves the store to one entry.
func (s *kvStore) handler(entry int) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /-/kv-key", s.serveKey)
	mux.HandleFunc("GET /-/kv-range", s.serveRange)
	mux.HandleFunc("GET /-/kv-watch", s.serveWatch)
	mux.HandleFunc("POST /-/kv-txn", func(w http.ResponseWriter, r *http.Request) { s.serveTxn(entry, w, r) })
	mux.HandleFunc("POST /-/kv-lease", s.serveGrant)
	mux.HandleFunc("POST /-/kv-keep/{id}", s.serveKeep)
	mux.HandleFunc("DELETE /-/kv-lease-end/{id}", s.serveEnd)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(storeLatency)
		s.mu.Lock()
		down := s.isDown
		s.mu.Unlock()
		if down {
			<-r.Context().Done()
			panic(http.ErrAbortHandler)
		}
		mux.ServeHTTP(w, r)
	})
}

func (s *kvStore) serveKey(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	it, ok := s.items[r.URL.Query().Get("key")]
	rev := s.rev
	s.mu.Unlock()
	if !ok {
		reply(w, http.StatusNotFound, map[string]any{"currentRev": rev})
		return
	}
	reply(w, http.StatusOK, struct {
		storeItem
		CurrentRev int64 `json:"currentRev"`
	}{it, rev})
}

func (s *kvStore) serveRange(w http.ResponseWriter, r *http.Request) {
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
	s.mu.Lock()
	out := []storeItem{}
	for key, it := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			out = append(out, it)
		}
	}
	rev := s.rev
	s.mu.Unlock()
	sort.Slice(out, func(i, k int) bool { return out[i].Key < out[k].Key })
	more := len(out) > maxPage
	reply(w, http.StatusOK, map[string]any{"items": out[:min(len(out), maxPage)], "hasMore": more, "currentRev": rev})
}

func (s *kvStore) serveWatch(w http.ResponseWriter, r *http.Request) {
	prefix := r.URL.Query().Get("prefix")
	after, _ := strconv.ParseInt(r.URL.Query().Get("after"), 10, 64)
	wait, _ := strconv.ParseInt(r.URL.Query().Get("waitMs"), 10, 64)
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for {
		s.mu.Lock()
		events := []storeItem{}
		if after < s.forgotten {
			s.mu.Unlock()
			w.WriteHeader(http.StatusGone)
			return
		}
		first := sort.Search(len(s.history), func(i int) bool { return s.history[i].Rev > after })
		for _, it := range s.history[first:] {
			if strings.HasPrefix(it.Key, prefix) {
				events = append(events, it)
			}
		}
		rev, changed := s.rev, s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			reply(w, http.StatusOK, map[string]any{"events": events, "currentRev": rev})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			reply(w, http.StatusOK, map[string]any{"events": events, "currentRev": rev})
			return
		case <-r.Context().Done():
			return
		}
	}
}

// txnRequest is the body of a transaction.
type txnRequest struct {
	IfRev []struct {
		Key string `json:"key"`
		Rev int64  `json:"rev"`
	} `json:"ifRev"`
	Puts []struct {
		Key   string `json:"key"`
		Value []byte `json:"value"`
		Lease int64  `json:"lease"`
	} `json:"puts"`
	Remove []string `json:"remove"`
}

func (s *kvStore) serveTxn(entry int, w http.ResponseWriter, r *http.Request) {
	var in txnRequest
	if json.NewDecoder(r.Body).Decode(&in) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	code, body, puts := s.apply(in)
	s.mu.Lock()
	lost := code == http.StatusOK && s.loseAnswer != nil && s.loseAnswer(entry, puts)
	if lost {
		s.lost++
	}
	s.mu.Unlock()
	if lost {
		s.rec.add("store: answer to entry %d for %v lost", entry, puts)
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	reply(w, code, body)
}

// apply carries a transaction out. It returns the response and the keys that were written.
func (s *kvStore) apply(in txnRequest) (int, any, []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	held, current := true, []storeItem{}
	for _, g := range in.IfRev {
		it := s.items[g.Key]
		held = held && it.Rev == g.Rev
		if it.Rev != 0 {
			current = append(current, it)
		}
	}
	if !held {
		return http.StatusPreconditionFailed, map[string]any{"items": current}, nil
	}
	for _, p := range in.Puts {
		if len(p.Value) > valueBytes {
			s.rec.add("store: value of %s has %d bytes, which is refused", p.Key, len(p.Value))
			return http.StatusRequestEntityTooLarge, map[string]any{}, nil
		}
		if p.Lease != 0 && s.leases[p.Lease] == nil {
			return http.StatusNotFound, map[string]any{}, nil
		}
	}
	s.rev++
	var keys []string
	for _, p := range in.Puts {
		s.write(p.Key, p.Value, p.Lease)
		keys = append(keys, p.Key)
	}
	for _, key := range in.Remove {
		s.erase(key)
	}
	s.notify()
	return http.StatusOK, map[string]any{"rev": s.rev}, keys
}

func (s *kvStore) serveGrant(w http.ResponseWriter, r *http.Request) {
	var in struct {
		TTLMs int64 `json:"ttlMs"`
	}
	if json.NewDecoder(r.Body).Decode(&in) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	in.TTLMs = max(in.TTLMs, 1000)
	s.mu.Lock()
	s.lastLease++
	id, ttl := s.lastLease, time.Duration(in.TTLMs)*time.Millisecond
	s.leases[id] = &storeLease{ttl: ttl, expires: time.Now().Add(ttl)}
	s.mu.Unlock()
	reply(w, http.StatusOK, map[string]any{"lease": id, "ttlMs": in.TTLMs})
}

func (s *kvStore) serveKeep(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	l := s.leases[id]
	if l != nil {
		l.expires = time.Now().Add(l.ttl)
	}
	s.mu.Unlock()
	if l == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	reply(w, http.StatusOK, map[string]any{"ttlMs": l.ttl.Milliseconds()})
}

func (s *kvStore) serveEnd(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	known := s.leases[id] != nil
	if known {
		s.endLease(id)
	}
	s.mu.Unlock()
	if !known {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	reply(w, http.StatusOK, map[string]any{})
}

func reply(w http.ResponseWriter, code int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(code)
	// Encoding fails only if the connection is broken, which the caller notices.
	_ = json.NewEncoder(w).Encode(body)
}
