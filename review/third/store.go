package main

import (
	"cmp"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// The limits of the key-value service, as the settings file and the protocol page give them.
const (
	valueBytes   = 1 << 20
	maxTxnOps    = 32
	pageItems    = 500
	pageBytes    = 1 << 20
	historyKept  = 20 * time.Second
	maxWatchWait = 30 * time.Second
	storeDelay   = 4 * time.Millisecond
)

// kvItem is an item of the store, and an event of a watch.
type kvItem struct {
	Key     string `json:"key"`
	Value   []byte `json:"value"`
	Rev     int64  `json:"rev"`
	Created int64  `json:"created"`
	Lease   int64  `json:"lease"`
	Deleted bool   `json:"deleted,omitempty"`
	// CurrentRev is set in the answer for a single key.
	CurrentRev int64 `json:"currentRev,omitempty"`
	at         time.Time
}

type kvLease struct {
	ttl     time.Duration
	expires time.Time
}

// kvStore is a stand-in for the platform's store.
type kvStore struct {
	mu        sync.Mutex
	rev       int64
	items     map[string]kvItem
	log       []kvItem
	compacted int64
	leases    map[int64]*kvLease
	lastLease int64
	changed   chan struct{}
	// rejected counts the transactions that were answered with 400.
	rejected int
	// report is called with a line for the record.
	report func(format string, args ...any)
}

func newKVStore(report func(string, ...any)) *kvStore {
	s := &kvStore{rev: 1, items: make(map[string]kvItem), leases: make(map[int64]*kvLease), changed: make(chan struct{}), report: report}
	go func() {
		for range time.Tick(20 * time.Millisecond) {
			s.mu.Lock()
			s.expire(time.Now())
			s.mu.Unlock()
		}
	}()
	return s
}

// write writes a key as the operator or a minion does; a nil value removes it.
func (s *kvStore) write(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if value == nil {
		s.apply(nil, []string{key})
		return
	}
	s.apply([]kvItem{{Key: key, Value: value}}, nil)
}

func (s *kvStore) apply(puts []kvItem, removes []string) {
	s.rev++
	now := time.Now()
	for _, p := range puts {
		p.Rev, p.Created, p.at = s.rev, s.rev, now
		if old, ok := s.items[p.Key]; ok {
			p.Created = old.Created
		}
		s.items[p.Key] = p
		s.log = append(s.log, p)
	}
	for _, key := range removes {
		if _, ok := s.items[key]; ok {
			delete(s.items, key)
			s.log = append(s.log, kvItem{Key: key, Rev: s.rev, Deleted: true, at: now})
		}
	}
	n := 0
	for n < len(s.log) && now.Sub(s.log[n].at) > historyKept {
		s.compacted = s.log[n].Rev
		n++
	}
	s.log = slices.Delete(s.log, 0, n)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *kvStore) expire(now time.Time) {
	for id, l := range s.leases {
		if now.Before(l.expires) {
			continue
		}
		delete(s.leases, id)
		var keys []string
		for key, it := range s.items {
			if it.Lease == id {
				keys = append(keys, key)
			}
		}
		if len(keys) > 0 {
			s.apply(nil, keys)
		}
	}
}

// ServeHTTP implements http.Handler.
func (s *kvStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	time.Sleep(storeDelay)
	path := r.URL.Path
	switch {
	case path == "/-/kv-key":
		s.serveKey(w, r.URL.Query().Get("key"))
	case path == "/-/kv-range":
		s.serveRange(w, r.URL.Query().Get("prefix"), r.URL.Query().Get("after"))
	case path == "/-/kv-watch":
		s.serveWatch(w, r)
	case path == "/-/kv-txn":
		s.serveTxn(w, body)
	case path == "/-/kv-lease":
		s.serveLease(w, body)
	case strings.HasPrefix(path, "/-/kv-keep/"):
		s.serveKeep(w, strings.TrimPrefix(path, "/-/kv-keep/"))
	case strings.HasPrefix(path, "/-/kv-lease-end/"):
		s.serveLeaseEnd(w, strings.TrimPrefix(path, "/-/kv-lease-end/"))
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func writeJSON(w http.ResponseWriter, code int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(code)
	// A failed write means that the caller has gone.
	_, _ = w.Write(data)
}

func (s *kvStore) serveKey(w http.ResponseWriter, key string) {
	s.mu.Lock()
	it, ok := s.items[key]
	it.CurrentRev = s.rev
	s.mu.Unlock()
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	writeJSON(w, http.StatusOK, it)
}

type rangeAnswer struct {
	Items      []kvItem `json:"items"`
	HasMore    bool     `json:"hasMore"`
	CurrentRev int64    `json:"currentRev"`
}

func (s *kvStore) serveRange(w http.ResponseWriter, prefix, after string) {
	out := rangeAnswer{Items: []kvItem{}}
	s.mu.Lock()
	out.CurrentRev = s.rev
	for key, it := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			out.Items = append(out.Items, it)
		}
	}
	s.mu.Unlock()
	slices.SortFunc(out.Items, func(a, b kvItem) int { return cmp.Compare(a.Key, b.Key) })
	size := 0
	for i, it := range out.Items {
		size += len(it.Value)
		if i > 0 && (i >= pageItems || size > pageBytes) {
			out.Items, out.HasMore = out.Items[:i], true
			break
		}
	}
	writeJSON(w, http.StatusOK, out)
}

type watchAnswer struct {
	Events     []kvItem `json:"events"`
	CurrentRev int64    `json:"currentRev"`
}

func (s *kvStore) serveWatch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
	ms, _ := strconv.ParseInt(q.Get("waitMs"), 10, 64)
	deadline := time.NewTimer(min(time.Duration(ms)*time.Millisecond, maxWatchWait))
	defer deadline.Stop()
	for done := false; ; {
		s.mu.Lock()
		out, gone := watchAnswer{Events: []kvItem{}, CurrentRev: s.rev}, after < s.compacted
		from, _ := slices.BinarySearchFunc(s.log, after+1, func(it kvItem, rev int64) int { return cmp.Compare(it.Rev, rev) })
		for _, it := range s.log[from:] {
			if strings.HasPrefix(it.Key, q.Get("prefix")) {
				out.Events = append(out.Events, it)
			}
		}
		changed := s.changed
		s.mu.Unlock()
		if gone {
			w.WriteHeader(http.StatusGone)
			return
		}
		if len(out.Events) > 0 || done {
			writeJSON(w, http.StatusOK, out)
			return
		}
		select {
		case <-changed:
		case <-deadline.C:
			done = true
		case <-r.Context().Done():
			return
		}
	}
}

type txnRequest struct {
	IfRev []struct {
		Key string `json:"key"`
		Rev int64  `json:"rev"`
	} `json:"ifRev"`
	Puts   []kvItem `json:"puts"`
	Remove []string `json:"remove"`
}

type txnAnswer struct {
	Rev   int64    `json:"rev,omitempty"`
	Items []kvItem `json:"items,omitempty"`
}

// checkTxn returns the status code for a transaction that is not allowed, and why, or zero.
func checkTxn(t txnRequest) (int, string) {
	if n := len(t.IfRev) + len(t.Puts) + len(t.Remove); n > maxTxnOps {
		return http.StatusBadRequest, strconv.Itoa(n) + " entries"
	}
	for _, p := range t.Puts {
		if len(p.Value) > valueBytes || len(p.Key) > 200 {
			return http.StatusBadRequest, "the value of " + p.Key + " has " + strconv.Itoa(len(p.Value)) + " bytes"
		}
		if strings.HasPrefix(p.Key, "op/") || strings.HasPrefix(p.Key, "servers/") {
			return http.StatusForbidden, p.Key
		}
	}
	return 0, ""
}

func (s *kvStore) serveTxn(w http.ResponseWriter, body []byte) {
	var t txnRequest
	if err := json.Unmarshal(body, &t); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if code, why := checkTxn(t); code != 0 {
		s.rejected++
		if s.rejected <= 5 || s.rejected%100 == 0 {
			s.report("store: transaction %d that is not allowed, answered with %d: %s", s.rejected, code, why)
		}
		w.WriteHeader(code)
		return
	}
	s.expire(time.Now())
	var current []kvItem
	hold := true
	for _, g := range t.IfRev {
		it := s.items[g.Key]
		hold = hold && it.Rev == g.Rev
		if it.Rev != 0 {
			current = append(current, it)
		}
	}
	if !hold {
		writeJSON(w, http.StatusPreconditionFailed, txnAnswer{Items: current})
		return
	}
	for _, p := range t.Puts {
		if p.Lease != 0 && s.leases[p.Lease] == nil {
			w.WriteHeader(http.StatusNotFound)
			return
		}
	}
	s.apply(t.Puts, t.Remove)
	writeJSON(w, http.StatusOK, txnAnswer{Rev: s.rev})
}

type leaseMessage struct {
	Lease int64 `json:"lease"`
	TTLMs int64 `json:"ttlMs"`
}

func (s *kvStore) serveLease(w http.ResponseWriter, body []byte) {
	var in leaseMessage
	if err := json.Unmarshal(body, &in); err != nil || in.TTLMs < 1000 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastLease++
	ttl := time.Duration(in.TTLMs) * time.Millisecond
	s.leases[s.lastLease] = &kvLease{ttl: ttl, expires: time.Now().Add(ttl)}
	writeJSON(w, http.StatusOK, leaseMessage{s.lastLease, in.TTLMs})
}

func (s *kvStore) serveKeep(w http.ResponseWriter, id string) {
	n, _ := strconv.ParseInt(id, 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire(time.Now())
	l := s.leases[n]
	if l == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	l.expires = time.Now().Add(l.ttl)
	writeJSON(w, http.StatusOK, leaseMessage{n, l.ttl.Milliseconds()})
}

func (s *kvStore) serveLeaseEnd(w http.ResponseWriter, id string) {
	n, _ := strconv.ParseInt(id, 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	if l := s.leases[n]; l != nil {
		l.expires = time.Now()
		s.expire(time.Now())
	}
	w.WriteHeader(http.StatusOK)
}
