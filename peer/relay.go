package peer

import (
	"context"
	"encoding/json"
	"maps"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"almondcove/peer/wire"
	"almondcove/store"
)

// relayPeriod is how long calls go through another entry after a direct call to the
// store has failed. After it, a direct call is tried again.
const relayPeriod = 1500 * time.Millisecond

// relayAvoidPeriod is how long an entry through which a call got no answer is avoided. It may
// have lost the store itself, which others learn only with its next status.
const relayAvoidPeriod = 3 * time.Second

// Names of store calls in relay messages.
const (
	callGet  = "get"
	callPage = "page"
	// callRange reads all pages. Entries of earlier versions request it.
	callRange  = "range"
	callCommit = "commit"
	callGrant  = "grant"
	callRenew  = "keep"
	callRevoke = "end"
	callWatch  = "watch"
)

// RelayConfig configures a Relay.
type RelayConfig struct {
	// Direct is the store without a relay.
	Direct store.Store
	Links  *JobLinks
	// Peers returns the addresses of the entries that may relay calls.
	Peers func() []netip.AddrPort
}

// Relay is a store that sends its calls through another entry while direct calls
// fail. Guards hold for relayed transactions as for direct ones.
type Relay struct {
	config RelayConfig
	mu     sync.Mutex
	// directRetryAt is when direct calls are tried again after a failure. Pages have a time
	// of their own, because a page may fill a slow link so that other calls time out.
	directRetryAt, pageRetryAt time.Time
	// lastDirectAnswer is when the store last answered a direct call, and directFailed is set
	// while a later one has failed.
	lastDirectAnswer time.Time
	directFailed     bool
	// failedAt holds when a call through each entry last got no answer.
	failedAt map[netip.AddrPort]time.Time
}

var _ store.Store = (*Relay)(nil)

// NewRelay returns a relay. It makes no call.
func NewRelay(c RelayConfig) *Relay {
	return &Relay{config: c, failedAt: make(map[netip.AddrPort]time.Time)}
}

// LastDirectAnswer returns when the store last answered a direct call.
func (r *Relay) LastDirectAnswer() time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lastDirectAnswer
}

// relayMessage holds the arguments or the results of a relayed call.
type relayMessage struct {
	Key string `json:"key,omitempty"`
	// AfterKey is the last key of the page before, and More says that another one follows.
	AfterKey string `json:"afterKey,omitempty"`
	More     bool   `json:"more,omitempty"`

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

// callWithFallback makes a call directly or, for relayPeriod after a direct call has
// failed, through another entry. If this attempt gets no answer of the store, it may
// make a second one the other way:
//   - A direct attempt follows a relayed one only if that had no effect, or read a page.
//   - A relayed attempt follows a direct one unless ctx has ended, or the call is a
//     commit that may have taken effect, since a commit must not run twice.
func (r *Relay) callWithFallback(ctx context.Context, name string, req relayMessage) (relayMessage, error) {
	retryAt := &r.directRetryAt
	if name == callPage {
		retryAt = &r.pageRetryAt
	}
	r.mu.Lock()
	relaying := time.Now().Before(*retryAt)
	if name == callWatch {
		// Shorter calls find out when direct ones are answered again. A watch that isn't
		// answered would delay the changes that it waits for.
		relaying = relaying || r.directFailed
	}
	r.mu.Unlock()
	if relaying {
		if out, err := r.callViaPeer(ctx, name, req); err == nil || !mayRepeat(name, err) {
			return out, err
		}
	}
	out, err := r.callDirect(ctx, name, req)
	if err == nil || isStoreAnswer(err) {
		r.mu.Lock()
		r.lastDirectAnswer, r.directFailed = time.Now(), false
		*retryAt = time.Time{}
		r.mu.Unlock()
		return out, err
	}
	if errors.Is(ctx.Err(), context.Canceled) {
		// The caller has given up; nothing is known of the store.
		return out, err
	}
	r.mu.Lock()
	*retryAt = time.Now().Add(relayPeriod)
	r.directFailed = r.directFailed || name != callPage
	r.mu.Unlock()
	if relaying || !noEffect(err) && name == callCommit || ctx.Err() != nil {
		return out, err
	}
	relayed, relayErr := r.callViaPeer(ctx, name, req)
	if relayErr != nil && mayRepeat(name, relayErr) {
		return out, err
	}
	return relayed, relayErr
}

// mayRepeat reports whether a call whose relayed attempt has failed may be made directly. A
// page is only read, and an entry of an earlier version does not know the call.
func mayRepeat(name string, err error) bool { return name == callPage || noEffect(err) }

// directTimeout is the time limit of one attempt at a call other than a page, without the
// wait of a watch. It leaves time for a second attempt through another entry.
const directTimeout = 600 * time.Millisecond

// pageTimeout is the time limit of one attempt to read a page, which may take a megabyte.
// On the direct way it counts from the last part of the response that has arrived.
const pageTimeout = 2 * time.Second

// timePerMB is added to the time limit of a call for each megabyte that it sends.
const timePerMB = time.Second

// sendTime returns the time to add to the time limit of a call for what it sends.
func (m relayMessage) sendTime() time.Duration {
	if m.Txn == nil {
		return 0
	}
	bytes := 0
	for _, p := range m.Txn.Puts {
		bytes += len(p.Value)
	}
	return time.Duration(bytes) * timePerMB / 1e6
}

// callDirect makes a call to the store without a relay. The time limit of one that reads counts
// from the last part of the response that has arrived.
func (r *Relay) callDirect(ctx context.Context, name string, req relayMessage) (relayMessage, error) {
	var cancel context.CancelFunc
	switch name {
	case callPage:
		ctx, cancel = store.WithStallTimeout(ctx, pageTimeout)
	case callWatch:
		ctx, cancel = store.WithStallTimeout(ctx, directTimeout+req.Wait)
	default:
		ctx, cancel = context.WithTimeout(ctx, directTimeout+req.sendTime())
	}
	defer cancel()
	return invoke(ctx, r.config.Direct, name, req)
}

// relayedTimeout returns the time limit of one attempt at a call through another entry.
func relayedTimeout(name string, req relayMessage) time.Duration {
	if name == callPage {
		return pageTimeout
	}
	return directTimeout + req.Wait + 2*req.sendTime()
}

// remoteError is an error of a relayed call, of which only the text is known.
type remoteError struct {
	text string
}

func (e *remoteError) Error() string { return e.text }

// noEffect reports whether a failed call is certain to have changed nothing.
func noEffect(err error) bool {
	_, ok := errors.Into[*store.Unavailable](err)
	return ok
}

// isStoreAnswer reports whether an error is an answer of the store, which shows
// that the store is reachable.
func isStoreAnswer(err error) bool {
	if _, ok := errors.Into[*store.Conflict](err); ok {
		return true
	}
	if _, ok := errors.Into[*store.LeaseExpired](err); ok {
		return true
	}
	if _, ok := errors.Into[*store.Compacted](err); ok {
		return true
	}
	_, ok := errors.Into[*store.Invalid](err)
	return ok
}

// choosePeer picks an entry for a call at random, if possible one through which no call has
// failed within relayAvoidPeriod. It reports false if there is none at all.
func (r *Relay) choosePeer() (netip.AddrPort, bool) {
	peers := r.config.Peers()
	r.mu.Lock()
	defer r.mu.Unlock()
	maps.DeleteFunc(r.failedAt, func(_ netip.AddrPort, at time.Time) bool { return time.Since(at) > relayAvoidPeriod })
	sound := slices.DeleteFunc(slices.Clone(peers), func(p netip.AddrPort) bool {
		_, failed := r.failedAt[p]
		return failed
	})
	if len(sound) > 0 {
		peers = sound
	}
	if len(peers) == 0 {
		return netip.AddrPort{}, false
	}
	return peers[rand.IntN(len(peers))], true
}

// observePeer notes whether a call through an entry was answered by the store.
func (r *Relay) observePeer(p netip.AddrPort, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if err == nil || isStoreAnswer(err) {
		delete(r.failedAt, p)
		return
	}
	r.failedAt[p] = time.Now()
}

// callViaPeer makes a call through another entry. The error is one of the store's; it is
// *store.Unavailable if the call never arrived.
func (r *Relay) callViaPeer(ctx context.Context, name string, req relayMessage) (relayMessage, error) {
	to, ok := r.choosePeer()
	if !ok {
		return relayMessage{}, &store.Unavailable{Call: name, Cause: &JobCallError{Cause: context.Canceled}}
	}
	out, err := r.callVia(ctx, to, name, req)
	r.observePeer(to, err)
	return out, err
}

func (r *Relay) callVia(ctx context.Context, to netip.AddrPort, name string, req relayMessage) (relayMessage, error) {
	ctx, cancel := context.WithTimeout(ctx, relayedTimeout(name, req))
	defer cancel()
	body, err := json.Marshal(req)
	if err != nil {
		return relayMessage{}, &store.Invalid{Call: name, Cause: err}
	}
	reply, err := call(r.config.Links, to, func(c wire.JobsClient, req *wire.RelayRequest) (*wire.RelayReply, error) {
		return c.Relay(ctx, req)
	}, &wire.RelayRequest{Call: name, Body: body})
	if err != nil {
		if mayHaveArrived(err) {
			return relayMessage{}, &store.Uncertain{Call: name, Cause: err}
		}
		return relayMessage{}, &store.Unavailable{Call: name, Cause: err}
	}
	if reply.GetFailure() != "" {
		return relayMessage{}, decodeFailure(name, reply)
	}
	var out relayMessage
	if err := json.Unmarshal(reply.GetBody(), &out); err != nil {
		return out, &store.Uncertain{Call: name, Cause: err}
	}
	return out, nil
}

// serveRelayed makes a store call on behalf of another entry and returns the encoded
// result.
func serveRelayed(ctx context.Context, s store.Store, name string, body []byte) ([]byte, error) {
	var req relayMessage
	if err := json.Unmarshal(body, &req); err != nil {
		return nil, &store.Invalid{Call: name, Cause: err}
	}
	out, err := invoke(ctx, s, name, req)
	if err != nil {
		return nil, err
	}
	return json.Marshal(out)
}

// invoke makes the named call to a store.
func invoke(ctx context.Context, s store.Store, name string, req relayMessage) (relayMessage, error) {
	var out relayMessage
	var err error
	switch name {
	case callGet:
		var it store.Item
		it, err = s.Get(ctx, req.Key)
		out.Item = &it
	case callPage:
		var page store.Page
		page, err = s.ReadPage(ctx, req.Key, req.AfterKey)
		out.Items, out.More, out.Rev = page.Items, page.More, page.Rev
	case callRange:
		out.Items, out.Rev, err = store.ReadAll(ctx, s, req.Key)
	case callCommit:
		if req.Txn == nil {
			return out, &store.Invalid{Call: name, Cause: &remoteError{"no transaction"}}
		}
		out.Rev, err = s.Commit(ctx, *req.Txn)
	case callGrant:
		out.Lease, out.TTL, err = s.GrantLease(ctx, req.TTL)
	case callRenew:
		err = s.RenewLease(ctx, req.Lease)
	case callRevoke:
		err = s.RevokeLease(ctx, req.Lease)
	case callWatch:
		out.Events, out.Rev, err = s.Watch(ctx, req.Key, req.After, req.Wait)
	default:
		err = &store.Invalid{Call: name, Cause: &remoteError{"unknown call"}}
	}
	return out, err
}

// Names of store error types in relay messages.
const (
	failUnavailable  = "unavailable"
	failUncertain    = "uncertain"
	failConflict     = "conflict"
	failLeaseExpired = "lapsed"
	failCompacted    = "compacted"
	failInvalid      = "invalid"
)

// encodeFailure encodes an error of the store as a reply. An error of an unknown
// type is encoded as uncertain.
func encodeFailure(err error) *wire.RelayReply {
	out := &wire.RelayReply{Failure: failUncertain, Detail: err.Error()}
	if conflict, ok := errors.Into[*store.Conflict](err); ok {
		// Encoding cannot fail: the items consist of keys, values and numbers.
		out.Body, _ = json.Marshal(relayMessage{Items: conflict.Items})
		out.Failure = failConflict
		return out
	}
	if _, ok := errors.Into[*store.Unavailable](err); ok {
		out.Failure = failUnavailable
	}
	if _, ok := errors.Into[*store.LeaseExpired](err); ok {
		out.Failure = failLeaseExpired
	}
	if _, ok := errors.Into[*store.Compacted](err); ok {
		out.Failure = failCompacted
	}
	if _, ok := errors.Into[*store.Invalid](err); ok {
		out.Failure = failInvalid
	}
	return out
}

// decodeFailure returns the store error that a reply describes.
func decodeFailure(name string, reply *wire.RelayReply) error {
	cause := &remoteError{reply.GetDetail()}
	switch reply.GetFailure() {
	case failUnavailable:
		return &store.Unavailable{Call: name, Cause: cause}
	case failConflict:
		var out relayMessage
		if err := json.Unmarshal(reply.GetBody(), &out); err != nil {
			return &store.Uncertain{Call: name, Cause: err}
		}
		return &store.Conflict{Items: out.Items}
	case failLeaseExpired:
		return &store.LeaseExpired{}
	case failCompacted:
		return &store.Compacted{}
	case failInvalid:
		return &store.Invalid{Call: name, Cause: cause}
	}
	return &store.Uncertain{Call: name, Cause: cause}
}

// Get implements store.Store.
func (r *Relay) Get(ctx context.Context, key string) (store.Item, error) {
	out, err := r.callWithFallback(ctx, callGet, relayMessage{Key: key})
	if err != nil || out.Item == nil {
		return store.Item{Key: key}, err
	}
	return *out.Item, nil
}

// ReadPage implements store.Store.
func (r *Relay) ReadPage(ctx context.Context, prefix, after string) (store.Page, error) {
	out, err := r.callWithFallback(ctx, callPage, relayMessage{Key: prefix, AfterKey: after})
	return store.Page{Items: out.Items, More: out.More, Rev: out.Rev}, err
}

// Commit implements store.Store.
func (r *Relay) Commit(ctx context.Context, t store.Txn) (int64, error) {
	out, err := r.callWithFallback(ctx, callCommit, relayMessage{Txn: &t})
	return out.Rev, err
}

// GrantLease implements store.Store.
func (r *Relay) GrantLease(ctx context.Context, ttl time.Duration) (store.LeaseID, time.Duration, error) {
	out, err := r.callWithFallback(ctx, callGrant, relayMessage{TTL: ttl})
	return out.Lease, out.TTL, err
}

// RenewLease implements store.Store.
func (r *Relay) RenewLease(ctx context.Context, id store.LeaseID) error {
	_, err := r.callWithFallback(ctx, callRenew, relayMessage{Lease: id})
	return err
}

// RevokeLease implements store.Store.
func (r *Relay) RevokeLease(ctx context.Context, id store.LeaseID) error {
	_, err := r.callWithFallback(ctx, callRevoke, relayMessage{Lease: id})
	return err
}

// Watch implements store.Store.
func (r *Relay) Watch(ctx context.Context, prefix string, after int64, wait time.Duration) ([]store.Event, int64, error) {
	out, err := r.callWithFallback(ctx, callWatch, relayMessage{Key: prefix, After: after, Wait: wait})
	return out.Events, out.Rev, err
}
