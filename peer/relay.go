package peer

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"almondcove/peer/wire"
	"almondcove/store"
)

// relayFor is how long calls go through another entry after the own way to the
// store has failed, before the own way is tried again.
const relayFor = 1500 * time.Millisecond

// The names of relayed calls.
const (
	callGet    = "get"
	callRange  = "range"
	callCommit = "commit"
	callGrant  = "grant"
	callKeep   = "keep"
	callEnd    = "end"
	callWatch  = "watch"
)

// RelayConfig configures a Relay.
type RelayConfig struct {
	// Direct is the store as this entry reaches it.
	Direct store.Store
	Links  *JobLinks
	// Peers returns the entries through which the store may be reached.
	Peers func() []netip.AddrPort
}

// Relay is the store, reached through another entry when the own way fails. All
// guards hold as on the direct way.
type Relay struct {
	config RelayConfig
	mu     sync.Mutex
	// until is when the own way is tried again.
	until time.Time
	// heard is when the store last answered directly.
	heard time.Time
}

var _ store.Store = (*Relay)(nil)

// NewRelay returns a relay. It makes no call.
func NewRelay(c RelayConfig) *Relay { return &Relay{config: c} }

// Heard returns when the store last answered directly.
func (r *Relay) Heard() time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.heard
}

// relayed is the form in which calls and answers travel.
type relayed struct {
	Key    string        `json:"key,omitempty"`
	Txn    *store.Txn    `json:"txn,omitempty"`
	TTL    time.Duration `json:"ttl,omitempty"`
	Lease  store.LeaseID `json:"lease,omitempty"`
	After  int64         `json:"after,omitempty"`
	Wait   time.Duration `json:"wait,omitempty"`
	Item   *store.Item   `json:"item,omitempty"`
	Items  []store.Item  `json:"items,omitempty"`
	Events []store.Event `json:"events,omitempty"`
	Rev    int64         `json:"rev,omitempty"`
}

// do makes a call directly, or through another entry.
func (r *Relay) do(ctx context.Context, name string, q relayed) (relayed, error) {
	r.mu.Lock()
	away := time.Now().Before(r.until)
	r.mu.Unlock()
	if away {
		if out, err := r.through(ctx, name, q); err == nil || !noEffect(err) {
			return out, err
		}
	}
	out, err := r.direct(ctx, name, q)
	if err == nil || answered(err) {
		r.mu.Lock()
		r.heard = time.Now()
		r.until = time.Time{}
		r.mu.Unlock()
		return out, err
	}
	r.mu.Lock()
	r.until = time.Now().Add(relayFor)
	r.mu.Unlock()
	if away || !noEffect(err) && name == callCommit || ctx.Err() != nil {
		return out, err
	}
	if out, second := r.through(ctx, name, q); second == nil || answered(second) {
		return out, second
	}
	return out, err
}

// directTimeout bounds a call on the own way, so that time is left for another.
const directTimeout = 600 * time.Millisecond

// rangeTimeout is the same for a list, which may be megabytes over a slow link.
const rangeTimeout = 2 * time.Second

func (r *Relay) direct(ctx context.Context, name string, q relayed) (relayed, error) {
	if name == callWatch {
		return invoke(ctx, r.config.Direct, name, q)
	}
	ctx, cancel := context.WithTimeout(ctx, boundOf(name))
	defer cancel()
	return invoke(ctx, r.config.Direct, name, q)
}

// boundOf returns how long one way of a call may take, its wait apart.
func boundOf(name string) time.Duration {
	if name == callRange {
		return rangeTimeout
	}
	return directTimeout
}

// remote is a failure that another entry has told of.
type remote struct {
	text string
}

func (e *remote) Error() string { return e.text }

// noEffect reports whether a failed call certainly changed nothing.
func noEffect(err error) bool {
	_, ok := errors.Into[*store.Unavailable](err)
	return ok
}

// answered reports whether an error is an answer of the store itself.
func answered(err error) bool {
	if _, ok := errors.Into[*store.Conflict](err); ok {
		return true
	}
	if _, ok := errors.Into[*store.Lapsed](err); ok {
		return true
	}
	if _, ok := errors.Into[*store.Compacted](err); ok {
		return true
	}
	_, ok := errors.Into[*store.Invalid](err)
	return ok
}

// through makes a call through another entry.
func (r *Relay) through(ctx context.Context, name string, q relayed) (relayed, error) {
	peers := r.config.Peers()
	if len(peers) == 0 {
		return relayed{}, &store.Unavailable{Call: name, Cause: &Unanswered{Cause: context.Canceled}}
	}
	to := peers[rand.IntN(len(peers))]
	ctx, cancel := context.WithTimeout(ctx, boundOf(name)+q.Wait)
	defer cancel()
	body, err := json.Marshal(q)
	if err != nil {
		return relayed{}, &store.Invalid{Call: name, Cause: err}
	}
	reply, err := call(r.config.Links, to, func(c wire.JobsClient, q *wire.RelayRequest) (*wire.RelayReply, error) {
		return c.Relay(ctx, q)
	}, &wire.RelayRequest{Call: name, Body: body})
	if err != nil {
		if maySent(err) {
			return relayed{}, &store.Uncertain{Call: name, Cause: err}
		}
		return relayed{}, &store.Unavailable{Call: name, Cause: err}
	}
	if reply.GetFailure() != "" {
		return relayed{}, decodeFailure(name, reply)
	}
	var out relayed
	if err := json.Unmarshal(reply.GetBody(), &out); err != nil {
		return out, &store.Uncertain{Call: name, Cause: err}
	}
	return out, nil
}

// perform makes a relayed call at the store.
func perform(ctx context.Context, s store.Store, name string, body []byte) ([]byte, error) {
	var q relayed
	if err := json.Unmarshal(body, &q); err != nil {
		return nil, &store.Invalid{Call: name, Cause: err}
	}
	out, err := invoke(ctx, s, name, q)
	if err != nil {
		return nil, err
	}
	return json.Marshal(out)
}

func invoke(ctx context.Context, s store.Store, name string, q relayed) (relayed, error) {
	var out relayed
	var err error
	switch name {
	case callGet:
		var it store.Item
		it, err = s.Get(ctx, q.Key)
		out.Item = &it
	case callRange:
		out.Items, out.Rev, err = s.Range(ctx, q.Key)
	case callCommit:
		if q.Txn == nil {
			return out, &store.Invalid{Call: name, Cause: &remote{"no transaction"}}
		}
		out.Rev, err = s.Commit(ctx, *q.Txn)
	case callGrant:
		out.Lease, out.TTL, err = s.Grant(ctx, q.TTL)
	case callKeep:
		err = s.Keep(ctx, q.Lease)
	case callEnd:
		err = s.End(ctx, q.Lease)
	case callWatch:
		out.Events, out.Rev, err = s.Watch(ctx, q.Key, q.After, q.Wait)
	default:
		err = &store.Invalid{Call: name, Cause: &remote{"unknown call"}}
	}
	return out, err
}

// The names of failures.
const (
	failUnavailable = "unavailable"
	failUncertain   = "uncertain"
	failConflict    = "conflict"
	failLapsed      = "lapsed"
	failCompacted   = "compacted"
	failInvalid     = "invalid"
)

func encodeFailure(err error) *wire.RelayReply {
	out := &wire.RelayReply{Failure: failUncertain, Detail: err.Error()}
	if conflict, ok := errors.Into[*store.Conflict](err); ok {
		// Keys and values always encode.
		out.Body, _ = json.Marshal(relayed{Items: conflict.Items})
		out.Failure = failConflict
		return out
	}
	if _, ok := errors.Into[*store.Unavailable](err); ok {
		out.Failure = failUnavailable
	}
	if _, ok := errors.Into[*store.Lapsed](err); ok {
		out.Failure = failLapsed
	}
	if _, ok := errors.Into[*store.Compacted](err); ok {
		out.Failure = failCompacted
	}
	if _, ok := errors.Into[*store.Invalid](err); ok {
		out.Failure = failInvalid
	}
	return out
}

func decodeFailure(name string, r *wire.RelayReply) error {
	cause := &remote{r.GetDetail()}
	switch r.GetFailure() {
	case failUnavailable:
		return &store.Unavailable{Call: name, Cause: cause}
	case failConflict:
		var out relayed
		if err := json.Unmarshal(r.GetBody(), &out); err != nil {
			return &store.Uncertain{Call: name, Cause: err}
		}
		return &store.Conflict{Items: out.Items}
	case failLapsed:
		return &store.Lapsed{}
	case failCompacted:
		return &store.Compacted{}
	case failInvalid:
		return &store.Invalid{Call: name, Cause: cause}
	}
	return &store.Uncertain{Call: name, Cause: cause}
}

// Get implements store.Store.
func (r *Relay) Get(ctx context.Context, key string) (store.Item, error) {
	out, err := r.do(ctx, callGet, relayed{Key: key})
	if err != nil || out.Item == nil {
		return store.Item{Key: key}, err
	}
	return *out.Item, nil
}

// Range implements store.Store.
func (r *Relay) Range(ctx context.Context, prefix string) ([]store.Item, int64, error) {
	out, err := r.do(ctx, callRange, relayed{Key: prefix})
	return out.Items, out.Rev, err
}

// Commit implements store.Store.
func (r *Relay) Commit(ctx context.Context, t store.Txn) (int64, error) {
	out, err := r.do(ctx, callCommit, relayed{Txn: &t})
	return out.Rev, err
}

// Grant implements store.Store.
func (r *Relay) Grant(ctx context.Context, ttl time.Duration) (store.LeaseID, time.Duration, error) {
	out, err := r.do(ctx, callGrant, relayed{TTL: ttl})
	return out.Lease, out.TTL, err
}

// Keep implements store.Store.
func (r *Relay) Keep(ctx context.Context, id store.LeaseID) error {
	_, err := r.do(ctx, callKeep, relayed{Lease: id})
	return err
}

// End implements store.Store.
func (r *Relay) End(ctx context.Context, id store.LeaseID) error {
	_, err := r.do(ctx, callEnd, relayed{Lease: id})
	return err
}

// Watch implements store.Store.
func (r *Relay) Watch(ctx context.Context, prefix string, after int64, wait time.Duration) ([]store.Event, int64, error) {
	out, err := r.do(ctx, callWatch, relayed{Key: prefix, After: after, Wait: wait})
	return out.Events, out.Rev, err
}
