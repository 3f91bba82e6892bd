// Package store is the key-value service in which everything lasting is kept:
// keys with revisions, transactions under conditions, leases and watches.
//
// Every error says whether a write may have taken effect: [*Unavailable],
// [*Conflict] and [*Lapsed] mean that it has not, [*Uncertain] that it may have,
// or may still do so later while its conditions hold.
//
// # Usage
//
//	item, err := s.Get(ctx, "almondcove/owner")
//	rev, err := s.Commit(ctx, store.Txn{
//		Guards: []store.Guard{{Key: item.Key, Rev: item.Rev}},
//		Puts:   []store.Put{{Key: item.Key, Value: next, Lease: lease}},
//	})
//	if conflict, ok := errors.Into[*store.Conflict](err); ok {
//		// somebody else has written the key
//	}
package store

import (
	"context"
	"fmt"
	"time"
)

// MaxTxn is the greatest number of guards, puts and removals of a transaction.
const MaxTxn = 32

// LeaseID names a lease; zero means none.
type LeaseID int64

// Item is one key with its value.
type Item struct {
	Key   string
	Value []byte
	// Rev is the revision of the last write; zero means that there is no such key.
	Rev   int64
	Lease LeaseID
}

// Event is one change of a watched key.
type Event struct {
	Item
	// Deleted marks a removal; the item then has no value.
	Deleted bool
}

// Guard is the condition that a key was last written at a revision. A revision
// of zero means that the key must not exist.
type Guard struct {
	Key string
	Rev int64
}

// Put writes a key.
type Put struct {
	Key   string
	Value []byte
	// Lease removes the key when it ends; zero means none.
	Lease LeaseID
}

// Txn is a transaction: all of it happens or nothing.
type Txn struct {
	Guards  []Guard
	Puts    []Put
	Removes []string
}

// Store is the client's view of the service.
type Store interface {
	// Get returns the item of a key; its Rev is zero when there is none.
	Get(ctx context.Context, key string) (Item, error)
	// Range returns all items with the prefix, and the revision from which a
	// watch misses nothing.
	Range(ctx context.Context, prefix string) ([]Item, int64, error)
	// Commit runs a transaction and returns its revision.
	Commit(ctx context.Context, t Txn) (int64, error)
	// Grant creates a lease and returns the time to live that applies.
	Grant(ctx context.Context, ttl time.Duration) (LeaseID, time.Duration, error)
	// Keep renews a lease. The error is *Lapsed when it has ended.
	Keep(ctx context.Context, id LeaseID) error
	// End ends a lease and removes its keys.
	End(ctx context.Context, id LeaseID) error
	// Watch waits for changes after a revision and returns them with the
	// revision to go on from; there are none when wait has passed. The error is
	// *Compacted when the history is gone.
	Watch(ctx context.Context, prefix string, after int64, wait time.Duration) ([]Event, int64, error)
}

// Unavailable reports a call that had no effect.
type Unavailable struct {
	Call string
	// Refused is set when the service itself answered that it won't.
	Refused bool
	Cause   error
}

func (e *Unavailable) Error() string {
	return fmt.Sprintf("store: %s had no effect: %v", e.Call, e.Cause)
}

// Unwrap returns the cause.
func (e *Unavailable) Unwrap() error { return e.Cause }

// Uncertain reports a call without an answer; a write may have taken effect or
// may take effect later.
type Uncertain struct {
	Call  string
	Cause error
}

func (e *Uncertain) Error() string {
	return fmt.Sprintf("store: %s was not answered: %v", e.Call, e.Cause)
}

// Unwrap returns the cause.
func (e *Uncertain) Unwrap() error { return e.Cause }

// Conflict reports a transaction whose guards did not hold.
type Conflict struct {
	// Items are the guarded keys as they are now.
	Items []Item
}

func (e *Conflict) Error() string {
	return fmt.Sprintf("store: the guards of a transaction did not hold (%d keys)", len(e.Items))
}

// Find returns the state of a guarded key; its Rev is zero when there is none.
func (e *Conflict) Find(key string) Item {
	for _, it := range e.Items {
		if it.Key == key {
			return it
		}
	}
	return Item{Key: key}
}

// Lapsed reports a lease that has ended.
type Lapsed struct {
	ID LeaseID
}

func (e *Lapsed) Error() string { return fmt.Sprintf("store: lease %d has ended", e.ID) }

// Compacted reports a watch whose start lies before the history that is kept.
type Compacted struct {
	After int64
}

func (e *Compacted) Error() string {
	return fmt.Sprintf("store: the history after revision %d is gone", e.After)
}

// Invalid reports a request that the service will never take.
type Invalid struct {
	Call  string
	Cause error
}

func (e *Invalid) Error() string { return fmt.Sprintf("store: %s is not valid: %v", e.Call, e.Cause) }

// Unwrap returns the cause.
func (e *Invalid) Unwrap() error { return e.Cause }
