package etcd

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"almondcove/store"
)

// Store implements store.Store over a key-value service with the etcd API.
type Store struct {
	client *Client
}

var _ store.Store = (*Store)(nil)

// NewStore returns a Store that uses the client.
func NewStore(c *Client) *Store { return &Store{client: c} }

// translate converts an error of the client to one of package store.
func translate(call string, err error) error {
	if err == nil {
		return nil
	}
	if expired, ok := errors.Into[*LeaseExpired](err); ok {
		return &store.LeaseExpired{ID: store.LeaseID(expired.ID)}
	}
	if _, ok := errors.Into[*Uncertain](err); ok {
		return &store.Uncertain{Call: call, Cause: err}
	}
	if _, ok := errors.Into[*Rejected](err); ok {
		return &store.Invalid{Call: call, Cause: err}
	}
	return &store.Unavailable{Call: call, Cause: err}
}

func itemOf(kv KV) store.Item {
	return store.Item{Key: string(kv.Key), Value: kv.Value, Rev: kv.ModRevision, Lease: store.LeaseID(kv.Lease)}
}

// Get implements store.Store.
func (s *Store) Get(ctx context.Context, key string) (store.Item, error) {
	kv, err := s.client.Get(ctx, key)
	if err != nil {
		return store.Item{Key: key}, translate("get", err)
	}
	return itemOf(kv), nil
}

// pageItems is how many items a page holds.
const pageItems = 500

// ReadPage implements store.Store.
func (s *Store) ReadPage(ctx context.Context, prefix, after string) (store.Page, error) {
	response, err := s.client.ListAfter(ctx, prefix, after, pageItems)
	if err != nil {
		return store.Page{}, translate("range", err)
	}
	page := store.Page{More: response.More, Rev: response.Header.Revision}
	for _, kv := range response.KVs {
		page.Items = append(page.Items, itemOf(kv))
	}
	return page, nil
}

// Commit implements store.Store. If the service rejects a transaction that attaches
// keys to a lease, Commit assumes that the lease has ended and returns
// *store.LeaseExpired.
func (s *Store) Commit(ctx context.Context, t store.Txn) (int64, error) {
	var in TxnRequest
	for _, g := range t.Guards {
		in.Compare = append(in.Compare, Unchanged(KV{Key: []byte(g.Key), ModRevision: g.Rev}))
		in.Failure = append(in.Failure, OpGet(g.Key))
	}
	lease := store.LeaseID(0)
	for _, p := range t.Puts {
		in.Success = append(in.Success, OpPutWithLease(p.Key, p.Value, int64(p.Lease)))
		lease = max(lease, p.Lease)
	}
	for _, key := range t.Removes {
		in.Success = append(in.Success, OpDelete(key))
	}
	out, err := s.client.Commit(ctx, in)
	if _, ok := errors.Into[*Rejected](err); ok && lease != 0 {
		return 0, &store.LeaseExpired{ID: lease}
	}
	if err != nil {
		return 0, translate("commit", err)
	}
	if !out.Succeeded {
		return 0, conflictOf(out)
	}
	return out.Header.Revision, nil
}

// conflictOf converts the response to a transaction whose guards did not hold to a
// conflict. The transaction read the guarded keys when it failed.
func conflictOf(out TxnResponse) *store.Conflict {
	conflict := &store.Conflict{}
	for _, r := range out.Responses {
		if r.Range == nil {
			continue
		}
		for _, kv := range r.Range.KVs {
			conflict.Items = append(conflict.Items, itemOf(kv))
		}
	}
	return conflict
}

// GrantLease implements store.Store.
func (s *Store) GrantLease(ctx context.Context, ttl time.Duration) (store.LeaseID, time.Duration, error) {
	id, err := s.client.Grant(ctx, ttl)
	return store.LeaseID(id), max(ttl.Round(time.Second), time.Second), translate("grant", err)
}

// RenewLease implements store.Store.
func (s *Store) RenewLease(ctx context.Context, id store.LeaseID) error {
	return translate("keep", s.client.KeepAlive(ctx, int64(id)))
}

// RevokeLease implements store.Store.
func (s *Store) RevokeLease(ctx context.Context, id store.LeaseID) error {
	return translate("end", s.client.Revoke(ctx, int64(id)))
}

// changesFoundError is the error with which a watch callback ends the watch after the
// first changes.
type changesFoundError struct{}

func (changesFoundError) Error() string { return "etcd: changes found" }

// Watch implements store.Store.
func (s *Store) Watch(
	ctx context.Context, prefix string, after int64, wait time.Duration,
) ([]store.Event, int64, error) {
	waitCtx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	var out []store.Event
	next := after
	err := s.client.Watch(waitCtx, prefix, after+1, func(events []Event, rev int64) error {
		for _, e := range events {
			out = append(out, store.Event{Item: itemOf(e.KV), Deleted: e.Deleted()})
		}
		next = max(next, rev)
		return changesFoundError{}
	})
	switch {
	case len(out) > 0, ctx.Err() == nil && waitCtx.Err() != nil:
		// Changes were found, or wait passed without any.
		return out, next, nil
	}
	if canceled, ok := errors.Into[*WatchCanceled](err); ok && canceled.CompactRevision > 0 {
		return nil, after, &store.Compacted{After: after}
	}
	return nil, after, translate("watch", err)
}
