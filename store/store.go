// Package store defines the client interface of the key-value service that holds
// all persistent state: keys with revisions, conditional transactions, leases and
// watches.
//
// The type of an error shows whether a write took effect. After [*Unavailable],
// [*Conflict] and [*LeaseExpired] it did not. After [*Uncertain] it may have, or it
// may still take effect later while its guards hold.
//
// # Usage
//
//	item, err := s.Get(ctx, "almondcove/owner")
//	rev, err := s.Commit(ctx, store.Txn{
//		Guards: []store.Guard{{Key: item.Key, Rev: item.Rev}},
//		Puts:   []store.Put{{Key: item.Key, Value: next, Lease: lease}},
//	})
//	if conflict, ok := errors.Into[*store.Conflict](err); ok {
//		// another client has written the key
//	}
package store

import (
	"context"
	"fmt"
	"time"
)

// MaxTxnOps is the largest number of guards, puts and removals in a transaction.
const MaxTxnOps = 32

// LeaseID identifies a lease; zero means no lease.
type LeaseID int64

// Item is a key with its value.
type Item struct {
	Key   string
	Value []byte
	// Rev is the revision of the last write; zero means that the key does not
	// exist.
	Rev   int64
	Lease LeaseID
}

// Event is one change to a watched key.
type Event struct {
	Item
	// Deleted is set if the key was removed; the item then has no value.
	Deleted bool
}

// Guard is the condition that the last write of a key has the revision Rev. If Rev
// is zero, the key must not exist.
type Guard struct {
	Key string
	Rev int64
}

// Put is the write of a key.
type Put struct {
	Key   string
	Value []byte
	// Lease is the lease whose end removes the key; zero means no lease.
	Lease LeaseID
}

// Txn is an atomic transaction. It takes effect only if all guards hold.
type Txn struct {
	Guards  []Guard
	Puts    []Put
	Removes []string
}

// Store is a client of the key-value service.
type Store interface {
	// Get returns the item of a key. Its Rev is zero if the key does not exist.
	Get(ctx context.Context, key string) (Item, error)
	// ReadPage returns the first items, as many as the service returns at once, whose
	// keys have the prefix and come after the key after. [ReadAll] reads all of them.
	ReadPage(ctx context.Context, prefix, after string) (Page, error)
	// Commit executes a transaction and returns its revision. The error is
	// *Conflict if a guard does not hold, and *LeaseExpired if a lease of a put
	// has ended.
	Commit(ctx context.Context, t Txn) (int64, error)
	// GrantLease creates a lease and returns its id and the time to live that the
	// service granted.
	GrantLease(ctx context.Context, ttl time.Duration) (LeaseID, time.Duration, error)
	// RenewLease extends a lease by its time to live. The error is *LeaseExpired if
	// the lease has ended.
	RenewLease(ctx context.Context, id LeaseID) error
	// RevokeLease ends a lease and removes the keys attached to it.
	RevokeLease(ctx context.Context, id LeaseID) error
	// Watch waits for changes after a revision. It returns them and the revision
	// from which the next watch continues. It returns no events if there is no
	// change within wait. The error is *Compacted if the service no longer has the
	// history after that revision.
	Watch(ctx context.Context, prefix string, after int64, wait time.Duration) ([]Event, int64, error)
}

// Unavailable reports a call that had no effect.
type Unavailable struct {
	Call string
	// Refused is set if the service itself rejected the call.
	Refused bool
	Cause   error
}

func (e *Unavailable) Error() string {
	return fmt.Sprintf("store: %s had no effect: %v", e.Call, e.Cause)
}

// Unwrap returns the cause.
func (e *Unavailable) Unwrap() error { return e.Cause }

// Uncertain reports a call without a usable response. A write may have taken effect,
// or may take effect later.
type Uncertain struct {
	Call  string
	Cause error
}

func (e *Uncertain) Error() string {
	return fmt.Sprintf("store: %s was not answered: %v", e.Call, e.Cause)
}

// Unwrap returns the cause.
func (e *Uncertain) Unwrap() error { return e.Cause }

// Conflict reports a transaction that had no effect because at least one guard did
// not hold.
type Conflict struct {
	// Items holds the current state of the guarded keys. A key that does not exist
	// may be missing.
	Items []Item
}

func (e *Conflict) Error() string {
	return fmt.Sprintf("store: the guards of a transaction did not hold (%d keys)", len(e.Items))
}

// Find returns the current state of a guarded key. Its Rev is zero if the key does
// not exist.
func (e *Conflict) Find(key string) Item {
	for _, it := range e.Items {
		if it.Key == key {
			return it
		}
	}
	return Item{Key: key}
}

// LeaseExpired reports that a lease has expired or was revoked.
type LeaseExpired struct {
	ID LeaseID
}

func (e *LeaseExpired) Error() string { return fmt.Sprintf("store: lease %d has ended", e.ID) }

// Compacted reports a watch from a revision that is older than the history that the
// service keeps.
type Compacted struct {
	After int64
}

func (e *Compacted) Error() string {
	return fmt.Sprintf("store: the history after revision %d is gone", e.After)
}

// Invalid reports a request that the service will never accept.
type Invalid struct {
	Call  string
	Cause error
}

func (e *Invalid) Error() string { return fmt.Sprintf("store: %s is not valid: %v", e.Call, e.Cause) }

// Unwrap returns the cause.
func (e *Invalid) Unwrap() error { return e.Cause }
