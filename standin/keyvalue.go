package standin

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"almondcove/store"
)

// KeyValue stands in for a key-value service inside one process, for tests with
// a paused clock. Its faults are those of [store.Store]: calls that are refused,
// that get no answer, that are carried out without an answer or late.
type KeyValue struct {
	mu      sync.Mutex
	rev     int64
	items   map[string]store.Item
	log     []store.Event
	leases  map[store.LeaseID]*grant
	last    store.LeaseID
	first   int64
	changed chan struct{}
	// stalls counts how often the watches that waited were stalled.
	stalls int
	fault  KeyValueFault
	calls  int
}

type grant struct {
	ttl time.Duration
	end time.Time
}

// KeyValueFault is how a KeyValue misbehaves.
type KeyValueFault int

// The faults. All but Lapse and Late hold until another one is set.
const (
	// Sound carries out and answers every call.
	Sound KeyValueFault = iota
	// Refuse carries out nothing and says so.
	Refuse
	// Mute carries out nothing and answers nothing.
	Mute
	// Lose carries out every call and answers nothing.
	Lose
	// Late answers nothing and carries transactions out after lateFor.
	Late
)

// lateFor is how long a Late transaction is on its way.
const lateFor = 3 * time.Second

// Injected is the cause of a failure that a fault brings about.
type Injected struct{}

func (*Injected) Error() string { return "standin: fault" }

// NewKeyValue returns an empty service.
func NewKeyValue() *KeyValue {
	return &KeyValue{
		rev: 1, items: make(map[string]store.Item), leases: make(map[store.LeaseID]*grant),
		changed: make(chan struct{}),
	}
}

// Set brings a fault about.
func (k *KeyValue) Set(f KeyValueFault) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.fault = f
	k.wake()
}

// Lapse ends all leases.
func (k *KeyValue) Lapse() {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, g := range k.leases {
		g.end = time.Now()
	}
	k.expire()
}

// Compact forgets the history.
func (k *KeyValue) Compact() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.log = nil
	k.first = k.rev
	k.wake()
}

// Stall makes the watches that wait now hear nothing for good.
func (k *KeyValue) Stall() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.stalls++
	k.wake()
}

// Calls returns the number of calls.
func (k *KeyValue) Calls() int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.calls
}

// Write writes a key without a condition, as the operators and VMs do.
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

func (k *KeyValue) wake() {
	close(k.changed)
	k.changed = make(chan struct{})
}

// expire removes the keys of leases that have ended.
func (k *KeyValue) expire() {
	for id, g := range k.leases {
		if time.Now().Before(g.end) {
			continue
		}
		delete(k.leases, id)
		var gone []string
		for key, it := range k.items {
			if it.Lease == id {
				gone = append(gone, key)
			}
		}
		slices.Sort(gone)
		if len(gone) > 0 {
			k.apply(store.Txn{Removes: gone})
		}
	}
}

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
	k.wake()
}

// enter begins a call. With an error the call ends; with mute set it is carried
// out and not answered.
func (k *KeyValue) enter(ctx context.Context, call string) (mute bool, err error) {
	k.mu.Lock()
	k.calls++
	k.expire()
	fault := k.fault
	k.mu.Unlock()
	switch fault {
	case Refuse:
		return false, &store.Unavailable{Call: call, Refused: true, Cause: &Injected{}}
	case Mute, Late:
		<-ctx.Done()
		return false, &store.Uncertain{Call: call, Cause: ctx.Err()}
	case Lose:
		return true, nil
	case Sound:
	}
	return false, nil
}

// leave ends a call that was carried out.
func leave(ctx context.Context, call string, mute bool) error {
	if !mute {
		return nil
	}
	<-ctx.Done()
	return &store.Uncertain{Call: call, Cause: ctx.Err()}
}

// Get implements store.Store.
func (k *KeyValue) Get(ctx context.Context, key string) (store.Item, error) {
	mute, err := k.enter(ctx, "get")
	if err != nil {
		return store.Item{Key: key}, err
	}
	k.mu.Lock()
	it, ok := k.items[key]
	k.mu.Unlock()
	if !ok {
		it = store.Item{Key: key}
	}
	return it, leave(ctx, "get", mute)
}

// Range implements store.Store.
func (k *KeyValue) Range(ctx context.Context, prefix string) ([]store.Item, int64, error) {
	mute, err := k.enter(ctx, "range")
	if err != nil {
		return nil, 0, err
	}
	k.mu.Lock()
	var out []store.Item
	for key, it := range k.items {
		if strings.HasPrefix(key, prefix) {
			out = append(out, it)
		}
	}
	rev := k.rev
	k.mu.Unlock()
	slices.SortFunc(out, func(a, b store.Item) int { return strings.Compare(a.Key, b.Key) })
	return out, rev, leave(ctx, "range", mute)
}

// Commit implements store.Store.
func (k *KeyValue) Commit(ctx context.Context, t store.Txn) (int64, error) {
	k.mu.Lock()
	late := k.fault == Late
	k.mu.Unlock()
	if late {
		time.AfterFunc(lateFor, func() {
			// Nobody waits for what comes of it.
			_, _ = k.commit(t)
		})
	}
	mute, err := k.enter(ctx, "commit")
	if err != nil {
		return 0, err
	}
	rev, err := k.commit(t)
	if lost := leave(ctx, "commit", mute); lost != nil {
		return 0, lost
	}
	return rev, err
}

func (k *KeyValue) commit(t store.Txn) (int64, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.expire()
	if len(t.Guards)+len(t.Puts)+len(t.Removes) > 3*store.MaxTxn {
		return 0, &store.Invalid{Call: "commit", Cause: &Injected{}}
	}
	conflict := &store.Conflict{}
	holds := true
	for _, g := range t.Guards {
		it := k.items[g.Key]
		holds = holds && it.Rev == g.Rev
		if it.Rev != 0 {
			conflict.Items = append(conflict.Items, it)
		}
	}
	if !holds {
		return 0, conflict
	}
	for _, p := range t.Puts {
		if p.Lease != 0 && k.leases[p.Lease] == nil {
			return 0, &store.Lapsed{ID: p.Lease}
		}
	}
	k.apply(t)
	return k.rev, nil
}

// Grant implements store.Store.
func (k *KeyValue) Grant(ctx context.Context, ttl time.Duration) (store.LeaseID, time.Duration, error) {
	mute, err := k.enter(ctx, "grant")
	if err != nil {
		return 0, 0, err
	}
	k.mu.Lock()
	k.last++
	id := k.last
	k.leases[id] = &grant{ttl: ttl, end: time.Now().Add(ttl)}
	k.mu.Unlock()
	time.AfterFunc(ttl, k.tick)
	return id, ttl, leave(ctx, "grant", mute)
}

func (k *KeyValue) tick() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.expire()
}

// Keep implements store.Store.
func (k *KeyValue) Keep(ctx context.Context, id store.LeaseID) error {
	mute, err := k.enter(ctx, "keep")
	if err != nil {
		return err
	}
	k.mu.Lock()
	g := k.leases[id]
	if g != nil {
		g.end = time.Now().Add(g.ttl)
		time.AfterFunc(g.ttl, k.tick)
	}
	k.mu.Unlock()
	if g == nil {
		return &store.Lapsed{ID: id}
	}
	return leave(ctx, "keep", mute)
}

// End implements store.Store.
func (k *KeyValue) End(ctx context.Context, id store.LeaseID) error {
	mute, err := k.enter(ctx, "end")
	if err != nil {
		return err
	}
	k.mu.Lock()
	if g := k.leases[id]; g != nil {
		g.end = time.Now()
		k.expire()
	}
	k.mu.Unlock()
	return leave(ctx, "end", mute)
}

// Watch implements store.Store.
func (k *KeyValue) Watch(
	ctx context.Context, prefix string, after int64, wait time.Duration,
) ([]store.Event, int64, error) {
	mute, err := k.enter(ctx, "watch")
	if err != nil {
		return nil, after, err
	}
	deadline := time.NewTimer(wait)
	defer deadline.Stop()
	k.mu.Lock()
	stalls := k.stalls
	k.mu.Unlock()
	for {
		k.mu.Lock()
		events, gone := k.since(prefix, after)
		rev, changed, fault := k.rev, k.changed, k.fault
		stalled := k.stalls != stalls
		k.mu.Unlock()
		switch {
		case stalled:
			<-ctx.Done()
			return nil, after, &store.Uncertain{Call: "watch", Cause: ctx.Err()}
		case fault != Sound && fault != Lose:
			return nil, after, &store.Uncertain{Call: "watch", Cause: &Injected{}}
		case gone:
			return nil, after, &store.Compacted{After: after}
		case len(events) > 0:
			return events, rev, leave(ctx, "watch", mute)
		}
		select {
		case <-changed:
		case <-deadline.C:
			return nil, rev, leave(ctx, "watch", mute)
		case <-ctx.Done():
			return nil, after, &store.Uncertain{Call: "watch", Cause: ctx.Err()}
		}
	}
}

func (k *KeyValue) since(prefix string, after int64) ([]store.Event, bool) {
	if after < k.first {
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
