package standin

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"almondcove/store"
)

// KeyValue is a key-value service in memory, for tests with a fake clock. It can
// inject the faults that callers of a [store.Store] have to expect: calls that are
// refused, that get no answer, or that take effect without an answer or late.
type KeyValue struct {
	mu           sync.Mutex
	rev          int64
	items        map[string]store.Item
	log          []store.Event
	leases       map[store.LeaseID]*keyValueLease
	lastLeaseID  store.LeaseID
	compactedRev int64
	// changed is closed and replaced to wake the watches.
	changed chan struct{}
	// stallCount is the number of calls of StallWatches. A watch that was in progress
	// when it changed reports no more events.
	stallCount int
	fault      KeyValueFault
	calls      int
	// limits are the sizes that transactions must keep, and invalid counts those that don't.
	limits  store.Limits
	invalid int
}

type keyValueLease struct {
	ttl       time.Duration
	expiresAt time.Time
}

// KeyValueFault is how a KeyValue misbehaves.
type KeyValueFault int

// The faults of a KeyValue. Each lasts until another one is set.
const (
	// KeyValueHealthy means that every call is carried out and answered.
	KeyValueHealthy KeyValueFault = iota
	// KeyValueRefuses means that every call fails with an error which says that it had
	// no effect.
	KeyValueRefuses
	// KeyValueDropsRequests means that no call takes effect and none is answered.
	KeyValueDropsRequests
	// KeyValueDropsResponses means that every call takes effect and none is answered.
	KeyValueDropsResponses
	// KeyValueDelaysCommits means that no call is answered, and that only transactions
	// take effect, after commitDelay.
	KeyValueDelaysCommits
)

// commitDelay is the time until a transaction takes effect under KeyValueDelaysCommits.
const commitDelay = 3 * time.Second

// InjectedFault is the cause in the errors of calls that fail because of a fault.
type InjectedFault struct{}

func (*InjectedFault) Error() string { return "standin: injected fault" }

// NewKeyValue returns an empty key-value service.
func NewKeyValue() *KeyValue {
	return &KeyValue{
		rev: 1, items: make(map[string]store.Item), leases: make(map[store.LeaseID]*keyValueLease),
		changed: make(chan struct{}), limits: store.Limits{KeyBytes: defaultKeyBytes, ValueBytes: defaultValueBytes},
	}
}

// The limits of a new KeyValue, which are those of the users' platform.
const (
	defaultKeyBytes   = 200
	defaultValueBytes = 1 << 20
)

// SetLimits replaces the sizes that transactions must keep.
func (k *KeyValue) SetLimits(l store.Limits) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.limits = l
}

// Invalid returns how many transactions were refused because they exceed a limit.
func (k *KeyValue) Invalid() int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.invalid
}

// refuse returns the error of a transaction that exceeds a limit. The caller holds k.mu.
func (k *KeyValue) refuse(cause error) error {
	k.invalid++
	return &store.Invalid{Call: "commit", Cause: cause}
}

// SetFault replaces the current fault.
func (k *KeyValue) SetFault(f KeyValueFault) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.fault = f
	k.notifyWatchers()
}

// ExpireLeases ends all leases and removes their keys.
func (k *KeyValue) ExpireLeases() {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, l := range k.leases {
		l.expiresAt = time.Now()
	}
	k.expire()
}

// Compact discards the history, so that watches from an earlier revision fail.
func (k *KeyValue) Compact() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.log = nil
	k.compactedRev = k.rev
	k.notifyWatchers()
}

// StallWatches makes the watches in progress hang until their context ends.
func (k *KeyValue) StallWatches() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.stallCount++
	k.notifyWatchers()
}

// Calls returns the number of calls of the methods of [store.Store] so far.
func (k *KeyValue) Calls() int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.calls
}

// Write writes a key without a condition, as operators and VMs do.
func (k *KeyValue) Write(key string, value []byte) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.apply(store.Txn{Puts: []store.Put{{Key: key, Value: value}}})
}

// Delete removes a key without a condition.
func (k *KeyValue) Delete(key string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.apply(store.Txn{Removes: []string{key}})
}

// notifyWatchers wakes the watches that wait for a change.
func (k *KeyValue) notifyWatchers() {
	close(k.changed)
	k.changed = make(chan struct{})
}

// expire ends the leases that have expired and removes their keys.
func (k *KeyValue) expire() {
	for id, l := range k.leases {
		if time.Now().Before(l.expiresAt) {
			continue
		}
		delete(k.leases, id)
		var keys []string
		for key, it := range k.items {
			if it.Lease == id {
				keys = append(keys, key)
			}
		}
		slices.Sort(keys)
		if len(keys) > 0 {
			k.apply(store.Txn{Removes: keys})
		}
	}
}

// apply carries out a transaction without checking its guards.
func (k *KeyValue) apply(t store.Txn) {
	k.rev++
	for _, p := range t.Puts {
		it := store.Item{Key: p.Key, Value: p.Value, Rev: k.rev, Lease: p.Lease}
		k.items[p.Key] = it
		k.log = append(k.log, store.Event{Item: it})
	}
	for _, key := range t.Removes {
		if _, ok := k.items[key]; ok {
			delete(k.items, key)
			k.log = append(k.log, store.Event{Item: store.Item{Key: key, Rev: k.rev}, Deleted: true})
		}
	}
	k.notifyWatchers()
}

// beginCall applies the current fault to the start of a call. If it returns an error,
// the call fails with that error without being carried out. If dropResponse is set,
// the call takes effect without an answer.
func (k *KeyValue) beginCall(ctx context.Context, call string) (dropResponse bool, err error) {
	k.mu.Lock()
	k.calls++
	k.expire()
	fault := k.fault
	k.mu.Unlock()
	switch fault {
	case KeyValueRefuses:
		return false, &store.Unavailable{Call: call, Refused: true, Cause: &InjectedFault{}}
	case KeyValueDropsRequests, KeyValueDelaysCommits:
		<-ctx.Done()
		return false, &store.Uncertain{Call: call, Cause: ctx.Err()}
	case KeyValueDropsResponses:
		return true, nil
	case KeyValueHealthy:
	}
	return false, nil
}

// endCall ends a call that has taken effect. If dropResponse is set, it blocks until
// ctx ends and returns an error.
func endCall(ctx context.Context, call string, dropResponse bool) error {
	if !dropResponse {
		return nil
	}
	<-ctx.Done()
	return &store.Uncertain{Call: call, Cause: ctx.Err()}
}

// Get implements store.Store.
func (k *KeyValue) Get(ctx context.Context, key string) (store.Item, error) {
	dropResponse, err := k.beginCall(ctx, "get")
	if err != nil {
		return store.Item{Key: key}, err
	}
	k.mu.Lock()
	it, ok := k.items[key]
	k.mu.Unlock()
	if !ok {
		it = store.Item{Key: key}
	}
	return it, endCall(ctx, "get", dropResponse)
}

// pageItems is how many items a page holds.
const pageItems = 500

// ReadPage implements store.Store.
func (k *KeyValue) ReadPage(ctx context.Context, prefix, after string) (store.Page, error) {
	dropResponse, err := k.beginCall(ctx, "range")
	if err != nil {
		return store.Page{}, err
	}
	k.mu.Lock()
	page := store.Page{Rev: k.rev}
	for key, it := range k.items {
		if strings.HasPrefix(key, prefix) && key > after {
			page.Items = append(page.Items, it)
		}
	}
	k.mu.Unlock()
	slices.SortFunc(page.Items, func(a, b store.Item) int { return strings.Compare(a.Key, b.Key) })
	if page.More = len(page.Items) > pageItems; page.More {
		page.Items = page.Items[:pageItems]
	}
	return page, endCall(ctx, "range", dropResponse)
}

// Commit implements store.Store.
func (k *KeyValue) Commit(ctx context.Context, t store.Txn) (int64, error) {
	k.mu.Lock()
	delayed := k.fault == KeyValueDelaysCommits
	k.mu.Unlock()
	if delayed {
		time.AfterFunc(commitDelay, func() {
			// The caller gets no answer, so the result is dropped.
			_, _ = k.commit(t)
		})
	}
	dropResponse, err := k.beginCall(ctx, "commit")
	if err != nil {
		return 0, err
	}
	rev, err := k.commit(t)
	if lost := endCall(ctx, "commit", dropResponse); lost != nil {
		return 0, lost
	}
	return rev, err
}

// commit carries out a transaction if its guards hold and its leases exist.
func (k *KeyValue) commit(t store.Txn) (int64, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.expire()
	if len(t.Guards)+len(t.Puts)+len(t.Removes) > store.MaxTxnOps {
		return 0, k.refuse(&InjectedFault{})
	}
	if err := k.limits.Check(t); err != nil {
		return 0, k.refuse(err)
	}
	conflict := &store.Conflict{}
	guardsHold := true
	for _, g := range t.Guards {
		it := k.items[g.Key]
		guardsHold = guardsHold && it.Rev == g.Rev
		if it.Rev != 0 {
			conflict.Items = append(conflict.Items, it)
		}
	}
	if !guardsHold {
		return 0, conflict
	}
	for _, p := range t.Puts {
		if p.Lease != 0 && k.leases[p.Lease] == nil {
			return 0, &store.LeaseExpired{ID: p.Lease}
		}
	}
	k.apply(t)
	return k.rev, nil
}

// GrantLease implements store.Store.
func (k *KeyValue) GrantLease(ctx context.Context, ttl time.Duration) (store.LeaseID, time.Duration, error) {
	dropResponse, err := k.beginCall(ctx, "grant")
	if err != nil {
		return 0, 0, err
	}
	k.mu.Lock()
	k.lastLeaseID++
	id := k.lastLeaseID
	k.leases[id] = &keyValueLease{ttl: ttl, expiresAt: time.Now().Add(ttl)}
	k.mu.Unlock()
	time.AfterFunc(ttl, k.lockAndExpire)
	return id, ttl, endCall(ctx, "grant", dropResponse)
}

// lockAndExpire ends the leases that have expired. Timers call it when a lease may
// have expired.
func (k *KeyValue) lockAndExpire() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.expire()
}

// RenewLease implements store.Store.
func (k *KeyValue) RenewLease(ctx context.Context, id store.LeaseID) error {
	dropResponse, err := k.beginCall(ctx, "keep")
	if err != nil {
		return err
	}
	k.mu.Lock()
	l := k.leases[id]
	if l != nil {
		l.expiresAt = time.Now().Add(l.ttl)
		time.AfterFunc(l.ttl, k.lockAndExpire)
	}
	k.mu.Unlock()
	if l == nil {
		return &store.LeaseExpired{ID: id}
	}
	return endCall(ctx, "keep", dropResponse)
}

// RevokeLease implements store.Store.
func (k *KeyValue) RevokeLease(ctx context.Context, id store.LeaseID) error {
	dropResponse, err := k.beginCall(ctx, "end")
	if err != nil {
		return err
	}
	k.mu.Lock()
	if l := k.leases[id]; l != nil {
		l.expiresAt = time.Now()
		k.expire()
	}
	k.mu.Unlock()
	return endCall(ctx, "end", dropResponse)
}

// Watch implements store.Store.
func (k *KeyValue) Watch(
	ctx context.Context, prefix string, after int64, wait time.Duration,
) ([]store.Event, int64, error) {
	dropResponse, err := k.beginCall(ctx, "watch")
	if err != nil {
		return nil, after, err
	}
	deadline := time.NewTimer(wait)
	defer deadline.Stop()
	k.mu.Lock()
	stallCount := k.stallCount
	k.mu.Unlock()
	for {
		k.mu.Lock()
		events, compacted := k.eventsAfter(prefix, after)
		rev, changed, fault := k.rev, k.changed, k.fault
		stalled := k.stallCount != stallCount
		k.mu.Unlock()
		switch {
		case stalled:
			<-ctx.Done()
			return nil, after, &store.Uncertain{Call: "watch", Cause: ctx.Err()}
		case fault != KeyValueHealthy && fault != KeyValueDropsResponses:
			return nil, after, &store.Uncertain{Call: "watch", Cause: &InjectedFault{}}
		case compacted:
			return nil, after, &store.Compacted{After: after}
		case len(events) > 0:
			return events, rev, endCall(ctx, "watch", dropResponse)
		}
		select {
		case <-changed:
		case <-deadline.C:
			return nil, rev, endCall(ctx, "watch", dropResponse)
		case <-ctx.Done():
			return nil, after, &store.Uncertain{Call: "watch", Cause: ctx.Err()}
		}
	}
}

// eventsAfter returns the events after a revision for keys with the prefix, and
// whether the history after that revision has been discarded.
func (k *KeyValue) eventsAfter(prefix string, after int64) ([]store.Event, bool) {
	if after < k.compactedRev {
		return nil, true
	}
	var out []store.Event
	for _, e := range k.log {
		if e.Rev > after && strings.HasPrefix(e.Key, prefix) {
			out = append(out, e)
		}
	}
	return out, false
}
