package store

import (
	"context"
	"time"
)

// Page is a part of the items with a prefix.
type Page struct {
	// Items are in the order of their keys.
	Items []Item
	// More is set if items after the last one may follow.
	More bool
	// Rev is the store's revision when the page was read.
	Rev int64
}

// Reader reads all items with a prefix, page by page. Pages that were read before a call
// failed are kept, so that the next attempt continues after them. It is not safe for
// concurrent use.
type Reader struct {
	store         Store
	prefix, after string
	items         []Item
	rev           int64
	bytes         int
	complete      bool
}

// NewReader returns a reader that has read nothing yet.
func NewReader(s Store, prefix string) *Reader { return &Reader{store: s, prefix: prefix} }

// Read reads the pages that are missing. It returns all items, and the revision to pass to
// [Store.Watch] so that it misses no change: items may change between two pages, so it is
// that of the first one.
func (r *Reader) Read(ctx context.Context) ([]Item, int64, error) {
	for !r.complete {
		page, err := r.store.ReadPage(ctx, r.prefix, r.after)
		if err != nil {
			return nil, 0, err
		}
		Progress(ctx)
		r.add(page)
	}
	return r.items, r.rev, nil
}

func (r *Reader) add(page Page) {
	if r.rev == 0 {
		r.rev = page.Rev
	}
	for _, it := range page.Items {
		r.items = append(r.items, it)
		r.bytes += len(it.Key) + len(it.Value)
		r.after = it.Key
	}
	r.complete = !page.More || len(page.Items) == 0
}

// Bytes returns the size of the keys and values that have been read.
func (r *Reader) Bytes() int { return r.bytes }

// ReadAll reads all items with a prefix; see [Reader.Read].
func ReadAll(ctx context.Context, s Store, prefix string) ([]Item, int64, error) {
	return NewReader(s, prefix).Read(ctx)
}

// stallGuard cancels a context when a call makes no progress.
type stallGuard struct {
	parent  *stallGuard
	timer   *time.Timer
	timeout time.Duration
}

type stallKey struct{}

// WithStallTimeout returns a context that ends once timeout has passed without progress of
// the call that uses it. Unlike a deadline it does not bound the time of a large response
// over a slow link. [Progress] tells of progress.
func WithStallTimeout(ctx context.Context, timeout time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	g := &stallGuard{timeout: timeout, timer: time.AfterFunc(timeout, func() { cancel(context.DeadlineExceeded) })}
	g.parent, _ = ctx.Value(stallKey{}).(*stallGuard)
	return context.WithValue(ctx, stallKey{}, g), func() {
		g.timer.Stop()
		cancel(context.Canceled)
	}
}

// Progress records that the call with this context has received something. Implementations
// of [Store] call it for each part of a response that arrives.
func Progress(ctx context.Context) {
	g, _ := ctx.Value(stallKey{}).(*stallGuard)
	for ; g != nil; g = g.parent {
		// A timer that has fired has ended the context already, and must not run again.
		if g.timer.Stop() {
			g.timer.Reset(g.timeout)
		}
	}
}
