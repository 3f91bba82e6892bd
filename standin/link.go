package standin

import (
	"context"
	"sync/atomic"
	"time"

	"almondcove/store"
)

// StoreLink is the way of one process to a store that others reach too. Its faults affect
// that process alone. Its methods are safe for concurrent use.
type StoreLink struct {
	store store.Store
	fault atomic.Int32
}

var _ store.Store = (*StoreLink)(nil)

// LinkFault is how a StoreLink misbehaves.
type LinkFault int32

// The faults of a StoreLink. Each lasts until another one is set.
const (
	// LinkHealthy means that every call reaches the store.
	LinkHealthy LinkFault = iota
	// LinkCut means that no call reaches the store, as its error says.
	LinkCut
	// LinkLossy means that no call reaches the store, and that its error leaves this open.
	LinkLossy
	// LinkSlow means that transactions reach the store after slowCommitDelay.
	LinkSlow
)

// slowCommitDelay is the delay of a transaction under LinkSlow.
const slowCommitDelay = time.Second

// NewStoreLink returns a healthy link to a store.
func NewStoreLink(s store.Store) *StoreLink { return &StoreLink{store: s} }

// SetFault replaces the current fault.
func (l *StoreLink) SetFault(f LinkFault) { l.fault.Store(int32(f)) }

// err returns the error with which a call fails under the current fault, or nil.
func (l *StoreLink) err(call string) error {
	switch LinkFault(l.fault.Load()) {
	case LinkCut:
		return &store.Unavailable{Call: call, Cause: &InjectedFault{}}
	case LinkLossy:
		return &store.Uncertain{Call: call, Cause: &InjectedFault{}}
	case LinkHealthy, LinkSlow:
	}
	return nil
}

// Get implements store.Store.
func (l *StoreLink) Get(ctx context.Context, key string) (store.Item, error) {
	if err := l.err("get"); err != nil {
		return store.Item{Key: key}, err
	}
	return l.store.Get(ctx, key)
}

// ReadPage implements store.Store.
func (l *StoreLink) ReadPage(ctx context.Context, prefix, after string) (store.Page, error) {
	if err := l.err("range"); err != nil {
		return store.Page{}, err
	}
	return l.store.ReadPage(ctx, prefix, after)
}

// Commit implements store.Store.
func (l *StoreLink) Commit(ctx context.Context, t store.Txn) (int64, error) {
	if err := l.err("commit"); err != nil {
		return 0, err
	}
	if LinkFault(l.fault.Load()) == LinkSlow {
		time.Sleep(slowCommitDelay)
	}
	return l.store.Commit(ctx, t)
}

// GrantLease implements store.Store.
func (l *StoreLink) GrantLease(ctx context.Context, ttl time.Duration) (store.LeaseID, time.Duration, error) {
	if err := l.err("grant"); err != nil {
		return 0, 0, err
	}
	return l.store.GrantLease(ctx, ttl)
}

// RenewLease implements store.Store.
func (l *StoreLink) RenewLease(ctx context.Context, id store.LeaseID) error {
	if err := l.err("renew"); err != nil {
		return err
	}
	return l.store.RenewLease(ctx, id)
}

// RevokeLease implements store.Store.
func (l *StoreLink) RevokeLease(ctx context.Context, id store.LeaseID) error {
	if err := l.err("revoke"); err != nil {
		return err
	}
	return l.store.RevokeLease(ctx, id)
}

// Watch implements store.Store.
func (l *StoreLink) Watch(ctx context.Context, prefix string, after int64, wait time.Duration) ([]store.Event, int64, error) {
	if err := l.err("watch"); err != nil {
		return nil, after, err
	}
	return l.store.Watch(ctx, prefix, after, wait)
}
