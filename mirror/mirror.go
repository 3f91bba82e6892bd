// Package mirror keeps a copy of all keys of the store with one prefix.
//
// The copy follows a watch and starts over when the history is gone. It may
// also take a copy from elsewhere that is newer, while the store is out of reach.
//
// # Usage
//
//	m := mirror.New(mirror.Config{Store: s, Prefix: "vms/", Changed: func(mirror.Copy) { wake() }})
//	defer m.Close()
//	copy := m.Copy()
package mirror

import (
	"context"
	"maps"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/hashicorp/go-hclog"

	"almondcove/delay"
	"almondcove/store"
)

// The times of a mirror.
const (
	// DefaultWait is how long a watch waits: a shorter wait finds a silent
	// connection sooner, a longer one costs fewer calls.
	DefaultWait = 1500 * time.Millisecond
	// callTimeout bounds a call beyond its wait.
	callTimeout = 1200 * time.Millisecond
	// retryPause is the pause after a call that failed.
	retryPause = 200 * time.Millisecond
)

// Copy is the state of all keys with the prefix.
type Copy struct {
	Items map[string]store.Item
	// Rev is the revision of the last change that the copy contains.
	Rev int64
	// Read is set once the copy is complete.
	Read bool
}

// Config configures a mirror.
type Config struct {
	Store  store.Store
	Prefix string
	// Wait is how long a watch waits; zero means DefaultWait.
	Wait time.Duration
	// Gap is the least time between two watches, so that many small changes
	// cost one call.
	Gap time.Duration
	// Active tells whether the copy is needed; nil means always.
	Active func() bool
	// Changed is called after each change; it may not block.
	Changed func(Copy)
	Log     hclog.Logger
}

// Mirror keeps the copy. Its methods may be called from any goroutine.
type Mirror struct {
	config Config
	ctx    context.Context
	cancel context.CancelFunc
	done   sync.WaitGroup
	mu     sync.Mutex
	copy   Copy
	// heard is when the store last answered.
	heard time.Time
}

// New starts the goroutine that follows the store.
func New(c Config) *Mirror {
	if c.Wait == 0 {
		c.Wait = DefaultWait
	}
	if c.Active == nil {
		c.Active = func() bool { return true }
	}
	ctx, cancel := context.WithCancel(context.Background())
	m := &Mirror{config: c, ctx: ctx, cancel: cancel}
	m.done.Go(m.run)
	return m
}

// Close stops following.
func (m *Mirror) Close() {
	m.cancel()
	m.done.Wait()
}

// Copy returns the current copy, which must not be changed.
func (m *Mirror) Copy() Copy {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.copy
}

// Heard returns when the store last answered.
func (m *Mirror) Heard() time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.heard
}

// Offer takes a complete copy from elsewhere if it is newer.
func (m *Mirror) Offer(c Copy) {
	m.mu.Lock()
	newer := c.Read && c.Rev > m.copy.Rev
	if newer {
		m.copy = c
	}
	m.mu.Unlock()
	if newer {
		m.config.Changed(c)
	}
}

func (m *Mirror) run() {
	after, failed := int64(0), false
	for m.ctx.Err() == nil {
		if !m.config.Active() {
			after = 0
			delay.For(m.ctx, retryPause)
			continue
		}
		next, err := m.step(after)
		if err != nil {
			if !failed {
				m.config.Log.Warn("store lost", "prefix", m.config.Prefix, "revision", after, "error", err)
			}
			failed = true
			if _, ok := errors.Into[*store.Compacted](err); ok {
				next = 0
			}
			delay.For(m.ctx, retryPause)
		} else if failed {
			m.config.Log.Info("store regained", "prefix", m.config.Prefix, "revision", next)
			failed = false
		}
		after = next
	}
}

// step reads everything, or waits for changes after a revision. It returns the
// revision to go on from.
func (m *Mirror) step(after int64) (int64, error) {
	if after == 0 {
		return m.list()
	}
	ctx, cancel := context.WithTimeout(m.ctx, m.config.Wait+callTimeout)
	defer cancel()
	began := time.Now()
	events, next, err := m.config.Store.Watch(ctx, m.config.Prefix, after, m.config.Wait)
	if err != nil {
		return after, err
	}
	m.apply(events)
	if len(events) > 0 {
		delay.For(m.ctx, m.config.Gap-time.Since(began))
	}
	return next, nil
}

func (m *Mirror) list() (int64, error) {
	ctx, cancel := context.WithTimeout(m.ctx, callTimeout)
	defer cancel()
	items, rev, err := m.config.Store.Range(ctx, m.config.Prefix)
	if err != nil {
		return 0, err
	}
	c := Copy{Items: make(map[string]store.Item, len(items)), Read: true}
	for _, it := range items {
		c.Items[it.Key] = it
		c.Rev = max(c.Rev, it.Rev)
	}
	m.mu.Lock()
	// A removal leaves no trace in a list: the copy is as new as the call.
	if len(c.Items) != len(m.copy.Items) {
		c.Rev = rev
	}
	c.Rev = max(c.Rev, m.copy.Rev)
	m.copy = c
	m.heard = time.Now()
	m.mu.Unlock()
	m.config.Changed(c)
	return rev, nil
}

func (m *Mirror) apply(events []store.Event) {
	m.mu.Lock()
	m.heard = time.Now()
	if len(events) == 0 {
		m.mu.Unlock()
		return
	}
	c := Copy{Items: maps.Clone(m.copy.Items), Rev: m.copy.Rev, Read: true}
	for _, e := range events {
		if held, ok := c.Items[e.Key]; ok && held.Rev > e.Rev {
			continue
		}
		c.Rev = max(c.Rev, e.Rev)
		if e.Deleted {
			delete(c.Items, e.Key)
		} else {
			c.Items[e.Key] = e.Item
		}
	}
	m.copy = c
	m.mu.Unlock()
	m.config.Changed(c)
}
