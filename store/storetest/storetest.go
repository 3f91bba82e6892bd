// Package storetest checks that a client fulfils the contract of [store.Store].
//
// # Usage
//
//	func TestStore(t *testing.T) {
//		storetest.Run(t, func(t *testing.T) store.Store { return open(t) })
//	}
package storetest

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"almondcove/store"
)

// checkTimeout limits each check.
const checkTimeout = 5 * time.Second

// Run checks the clients that open returns, one for each check. The service behind
// each must be empty.
func Run(t *testing.T, open func(t *testing.T) store.Store) {
	t.Helper()
	for _, c := range []struct {
		name  string
		check func(ctx context.Context, s store.Store) error
	}{
		{"guards", checkGuards},
		{"range", checkRange},
		{"leases", checkLeases},
		{"watch", checkWatch},
	} {
		t.Run(c.name, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(t.Context(), checkTimeout)
			defer cancel()
			if err := c.check(ctx, open(t)); err != nil {
				t.Error(err)
			}
		})
	}
}

// contractError reports a violation of the contract by a client.
type contractError struct {
	text string
}

func (e *contractError) Error() string { return e.text }

func violation(format string, args ...any) error {
	return &contractError{fmt.Sprintf(format, args...)}
}

func put(key, value string) store.Txn {
	return store.Txn{Puts: []store.Put{{Key: key, Value: []byte(value)}}}
}

func checkGuards(ctx context.Context, s store.Store) error {
	none, err := s.Get(ctx, "a")
	if err != nil || none.Rev != 0 || none.Key != "a" {
		return violation("get a missing key: %+v, %v", none, err)
	}
	create := put("a", "1")
	create.Guards = []store.Guard{{Key: "a"}}
	rev, err := s.Commit(ctx, create)
	if err != nil || rev <= 0 {
		return violation("create: revision %d, %v", rev, err)
	}
	_, err = s.Commit(ctx, create)
	var conflict *store.Conflict
	if !errors.As(err, &conflict) || conflict.Find("a").Rev != rev || string(conflict.Find("a").Value) != "1" {
		return violation("create again: %v, expected the key at revision %d", err, rev)
	}
	next := put("a", "2")
	next.Guards = []store.Guard{{Key: "a", Rev: rev}}
	next.Removes = []string{"b"}
	if _, err := s.Commit(ctx, next); err != nil {
		return violation("change: %v", err)
	}
	if it, err := s.Get(ctx, "a"); err != nil || string(it.Value) != "2" || it.Rev <= rev {
		return violation("get after the change: %+v, %v", it, err)
	}
	return nil
}

func checkRange(ctx context.Context, s store.Store) error {
	const count = 600 // More items than one page of a response holds.
	for i := 0; i < count; i += 20 {
		var t store.Txn
		for k := range 20 {
			t.Puts = append(t.Puts, store.Put{Key: fmt.Sprintf("p/%04d", i+k), Value: []byte("v")})
		}
		if _, err := s.Commit(ctx, t); err != nil {
			return violation("fill: %v", err)
		}
	}
	if _, err := s.Commit(ctx, put("q/1", "v")); err != nil {
		return violation("fill: %v", err)
	}
	items, rev, err := store.ReadAll(ctx, s, "p/")
	if err != nil || len(items) != count || rev <= 0 {
		return violation("range: %d items at revision %d, %v", len(items), rev, err)
	}
	return nil
}

func checkLeases(ctx context.Context, s store.Store) error {
	id, ttl, err := s.GrantLease(ctx, time.Second)
	if err != nil || id == 0 || ttl < time.Second {
		return violation("grant lease: lease %d for %v, %v", id, ttl, err)
	}
	leasedPut := put("l", "v")
	leasedPut.Puts[0].Lease = id
	if _, err := s.Commit(ctx, leasedPut); err != nil {
		return violation("put under a lease: %v", err)
	}
	if err := s.RenewLease(ctx, id); err != nil {
		return violation("renew lease: %v", err)
	}
	if err := s.RevokeLease(ctx, id); err != nil {
		return violation("revoke lease: %v", err)
	}
	if it, err := s.Get(ctx, "l"); err != nil || it.Rev != 0 {
		return violation("key still exists after its lease was revoked: %+v, %v", it, err)
	}
	var expired *store.LeaseExpired
	if err := s.RenewLease(ctx, id); !errors.As(err, &expired) {
		return violation("renew after the lease was revoked: %v", err)
	}
	if _, err := s.Commit(ctx, leasedPut); !errors.As(err, &expired) {
		return violation("put under a revoked lease: %v", err)
	}
	return nil
}

func checkWatch(ctx context.Context, s store.Store) error {
	rev, err := s.Commit(ctx, put("w/1", "v"))
	if err != nil {
		return violation("put: %v", err)
	}
	if _, err := s.Commit(ctx, put("x/1", "v")); err != nil {
		return violation("put: %v", err)
	}
	if _, err := s.Commit(ctx, store.Txn{Removes: []string{"w/1"}}); err != nil {
		return violation("remove: %v", err)
	}
	events, next, err := s.Watch(ctx, "w/", rev-1, time.Second)
	if err != nil || len(events) != 2 || events[0].Deleted || !events[1].Deleted || events[1].Key != "w/1" {
		return violation("watch: %+v, %v", events, err)
	}
	events, _, err = s.Watch(ctx, "w/", next, 100*time.Millisecond)
	if err != nil || len(events) != 0 {
		return violation("watch after the last change: %+v, %v", events, err)
	}
	return nil
}
