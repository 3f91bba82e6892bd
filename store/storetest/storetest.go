// Package storetest checks that a client behaves as [store.Store] says.
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

// wait bounds each call of the checks.
const wait = 5 * time.Second

// Run checks a client that open returns; the service behind it must be empty.
func Run(t *testing.T, open func(t *testing.T) store.Store) {
	t.Helper()
	for _, c := range []struct {
		name  string
		check func(ctx context.Context, s store.Store) error
	}{
		{"guards", guards},
		{"range", ranges},
		{"leases", leases},
		{"watch", watch},
	} {
		t.Run(c.name, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(t.Context(), wait)
			defer cancel()
			if err := c.check(ctx, open(t)); err != nil {
				t.Error(err)
			}
		})
	}
}

// broken reports what a client did against the contract.
type broken struct {
	text string
}

func (e *broken) Error() string { return e.text }

func breach(format string, args ...any) error {
	return &broken{fmt.Sprintf(format, args...)}
}

func put(key, value string) store.Txn {
	return store.Txn{Puts: []store.Put{{Key: key, Value: []byte(value)}}}
}

func guards(ctx context.Context, s store.Store) error {
	none, err := s.Get(ctx, "a")
	if err != nil || none.Rev != 0 || none.Key != "a" {
		return breach("a key that is not there: %+v, %v", none, err)
	}
	create := put("a", "1")
	create.Guards = []store.Guard{{Key: "a"}}
	rev, err := s.Commit(ctx, create)
	if err != nil || rev <= 0 {
		return breach("create: revision %d, %v", rev, err)
	}
	_, err = s.Commit(ctx, create)
	var conflict *store.Conflict
	if !errors.As(err, &conflict) || conflict.Find("a").Rev != rev || string(conflict.Find("a").Value) != "1" {
		return breach("create again: %v, expected the key at revision %d", err, rev)
	}
	next := put("a", "2")
	next.Guards = []store.Guard{{Key: "a", Rev: rev}}
	next.Removes = []string{"b"}
	if _, err := s.Commit(ctx, next); err != nil {
		return breach("change: %v", err)
	}
	if it, err := s.Get(ctx, "a"); err != nil || string(it.Value) != "2" || it.Rev <= rev {
		return breach("changed: %+v, %v", it, err)
	}
	return nil
}

func ranges(ctx context.Context, s store.Store) error {
	const count = 600 // More than one page.
	for i := 0; i < count; i += 20 {
		var t store.Txn
		for k := range 20 {
			t.Puts = append(t.Puts, store.Put{Key: fmt.Sprintf("p/%04d", i+k), Value: []byte("v")})
		}
		if _, err := s.Commit(ctx, t); err != nil {
			return breach("fill: %v", err)
		}
	}
	if _, err := s.Commit(ctx, put("q/1", "v")); err != nil {
		return breach("fill: %v", err)
	}
	items, rev, err := s.Range(ctx, "p/")
	if err != nil || len(items) != count || rev <= 0 {
		return breach("range: %d items at revision %d, %v", len(items), rev, err)
	}
	return nil
}

func leases(ctx context.Context, s store.Store) error {
	id, ttl, err := s.Grant(ctx, time.Second)
	if err != nil || id == 0 || ttl < time.Second {
		return breach("grant: lease %d for %v, %v", id, ttl, err)
	}
	bound := put("l", "v")
	bound.Puts[0].Lease = id
	if _, err := s.Commit(ctx, bound); err != nil {
		return breach("put under a lease: %v", err)
	}
	if err := s.Keep(ctx, id); err != nil {
		return breach("keep: %v", err)
	}
	if err := s.End(ctx, id); err != nil {
		return breach("end: %v", err)
	}
	if it, err := s.Get(ctx, "l"); err != nil || it.Rev != 0 {
		return breach("after the end of its lease a key is there: %+v, %v", it, err)
	}
	var lapsed *store.Lapsed
	if err := s.Keep(ctx, id); !errors.As(err, &lapsed) {
		return breach("keep after the end: %v", err)
	}
	if _, err := s.Commit(ctx, bound); !errors.As(err, &lapsed) {
		return breach("put under an ended lease: %v", err)
	}
	return nil
}

func watch(ctx context.Context, s store.Store) error {
	rev, err := s.Commit(ctx, put("w/1", "v"))
	if err != nil {
		return breach("put: %v", err)
	}
	if _, err := s.Commit(ctx, put("x/1", "v")); err != nil {
		return breach("put: %v", err)
	}
	if _, err := s.Commit(ctx, store.Txn{Removes: []string{"w/1"}}); err != nil {
		return breach("remove: %v", err)
	}
	events, next, err := s.Watch(ctx, "w/", rev-1, time.Second)
	if err != nil || len(events) != 2 || events[0].Deleted || !events[1].Deleted || events[1].Key != "w/1" {
		return breach("watch: %+v, %v", events, err)
	}
	events, _, err = s.Watch(ctx, "w/", next, 100*time.Millisecond)
	if err != nil || len(events) != 0 {
		return breach("watch from the end: %+v, %v", events, err)
	}
	return nil
}
