// Package mirror keeps a local snapshot of all keys of the store with one prefix.
//
// A mirror reads the keys once, then applies the events of a watch, and reads
// the keys again if the store has compacted the history that the watch needs.
// While the store is unreachable, [Mirror.ReplaceIfNewer] installs a newer
// snapshot from another source, such as another entry.
//
// # Usage
//
//	m := mirror.New(mirror.Config{Store: s, Prefix: "vms/", OnChange: func(mirror.Snapshot) { wake() }, Log: log})
//	defer m.Close()
//	current := m.Snapshot()
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

const (
	// DefaultWait is how long a watch call waits for changes. A shorter wait
	// detects a broken connection sooner; a longer one needs fewer calls.
	DefaultWait = 1500 * time.Millisecond
	// callTimeout is the time limit of a call, in addition to the wait of a watch. The
	// call that reads all keys may take longer while its response arrives.
	callTimeout = 1200 * time.Millisecond
	// retryDelay is the pause after a failed call, and between two checks of
	// Config.Active while it reports false.
	retryDelay = 200 * time.Millisecond
)

// Snapshot is the state of all keys with the prefix.
type Snapshot struct {
	Items map[string]store.Item
	// Rev is the revision of the last change that the snapshot contains.
	Rev int64
	// Complete is set once all keys have been read.
	Complete bool
}

// Config configures a mirror.
type Config struct {
	Store  store.Store
	Prefix string
	// Wait is how long a watch call waits for changes; zero means DefaultWait.
	Wait time.Duration
	// MinInterval is the shortest time from the start of a watch call that
	// returned changes to the start of the next one. Changes in between are
	// batched into one call.
	MinInterval time.Duration
	// Active reports whether the snapshot is needed; nil means always. While it
	// reports false the mirror makes no calls, and afterwards it reads all keys anew.
	Active func() bool
	// OnChange is called with the new snapshot after each change; it must not block.
	OnChange func(Snapshot)
	// Clock is the clock of [Mirror.Age]; nil means one that starts with the mirror and
	// stands still while the machine is suspended.
	Clock func() time.Duration
	Log   hclog.Logger
}

// Mirror follows the keys with one prefix. Its methods are safe for concurrent use.
type Mirror struct {
	config   Config
	ctx      context.Context
	cancel   context.CancelFunc
	wg       sync.WaitGroup
	mu       sync.Mutex
	snapshot Snapshot
	// currentAt is a time of Config.Clock at which the snapshot was known to be current.
	// It is valid while the snapshot is complete and came from the store.
	currentAt time.Duration
	// everCurrent is set once currentAt is valid.
	everCurrent bool
}

// New returns a mirror and starts the goroutine that follows the store.
func New(c Config) *Mirror {
	if c.Wait == 0 {
		c.Wait = DefaultWait
	}
	if c.Active == nil {
		c.Active = func() bool { return true }
	}
	if c.Clock == nil {
		began := time.Now()
		c.Clock = func() time.Duration { return time.Since(began) }
	}
	ctx, cancel := context.WithCancel(context.Background())
	m := &Mirror{config: c, ctx: ctx, cancel: cancel}
	m.wg.Go(m.run)
	return m
}

// Close stops the mirror and waits for its goroutine to end.
func (m *Mirror) Close() {
	m.cancel()
	m.wg.Wait()
}

// Snapshot returns the current snapshot. The caller must not modify it.
func (m *Mirror) Snapshot() Snapshot {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.snapshot
}

// Age returns how long ago the snapshot was last known to contain every change. It
// counts from when the last call that the store answered was sent, and reports false
// before the first answer. Snapshots from other sources make it no younger.
func (m *Mirror) Age() (time.Duration, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.config.Clock() - m.currentAt, m.everCurrent
}

// ReplaceIfNewer installs a snapshot from another source if it is complete and
// newer than the current one.
func (m *Mirror) ReplaceIfNewer(s Snapshot) {
	m.mu.Lock()
	newer := s.Complete && s.Rev > m.snapshot.Rev
	if newer {
		m.snapshot = s
	}
	m.mu.Unlock()
	if newer {
		m.config.OnChange(s)
	}
}

// run polls the store until the mirror is closed.
func (m *Mirror) run() {
	after, failed := int64(0), false
	for m.ctx.Err() == nil {
		if !m.config.Active() {
			after = 0
			delay.Sleep(m.ctx, retryDelay)
			continue
		}
		next, err := m.poll(after)
		if err != nil {
			if !failed {
				m.config.Log.Warn("call to the store failed; keeping the last snapshot and retrying", "prefix", m.config.Prefix, "revision", after, "error", err)
			}
			failed = true
			if _, ok := errors.Into[*store.Compacted](err); ok {
				next = 0
			}
			delay.Sleep(m.ctx, retryDelay)
		} else if failed {
			m.config.Log.Info("store answers again; updating the snapshot", "prefix", m.config.Prefix, "revision", next)
			failed = false
		}
		after = next
	}
}

// poll makes one call: it reads all keys if after is zero, and otherwise waits
// for changes after that revision. It returns the revision to continue from.
func (m *Mirror) poll(after int64) (int64, error) {
	if after == 0 {
		return m.list()
	}
	ctx, cancel := store.WithStallTimeout(m.ctx, m.config.Wait+callTimeout)
	defer cancel()
	start, sent := time.Now(), m.config.Clock()
	events, next, err := m.config.Store.Watch(ctx, m.config.Prefix, after, m.config.Wait)
	if err != nil {
		return after, err
	}
	m.apply(events, sent)
	if len(events) > 0 {
		delay.Sleep(m.ctx, m.config.MinInterval-time.Since(start))
	}
	return next, nil
}

// list replaces the snapshot with all keys of the store.
func (m *Mirror) list() (int64, error) {
	ctx, cancel := store.WithStallTimeout(m.ctx, callTimeout)
	defer cancel()
	sent := m.config.Clock()
	items, rev, err := store.ReadAll(ctx, m.config.Store, m.config.Prefix)
	if err != nil {
		return 0, err
	}
	s := Snapshot{Items: make(map[string]store.Item, len(items)), Complete: true}
	for _, it := range items {
		s.Items[it.Key] = it
		s.Rev = max(s.Rev, it.Rev)
	}
	m.mu.Lock()
	keepNewer(s.Items, m.snapshot, rev)
	// A removed key is not in the list, so the items alone do not show the
	// revision of its removal. The store's revision rev includes it.
	if len(s.Items) != len(m.snapshot.Items) {
		s.Rev = rev
	}
	s.Rev = max(s.Rev, m.snapshot.Rev)
	m.snapshot = s
	m.currentAt, m.everCurrent = sent, true
	m.mu.Unlock()
	m.config.OnChange(s)
	return rev, nil
}

// keepNewer corrects listed items, of which the first were read at revision rev, by a
// snapshot that another source has provided meanwhile.
func keepNewer(listed map[string]store.Item, s Snapshot, rev int64) {
	if !s.Complete || s.Rev <= rev {
		return
	}
	for key, it := range listed {
		if _, ok := s.Items[key]; !ok && it.Rev <= s.Rev {
			delete(listed, key)
		}
	}
	for key, held := range s.Items {
		if it, ok := listed[key]; ok && held.Rev > it.Rev || !ok && held.Rev > rev {
			listed[key] = held
		}
	}
}

// apply adds the events of a watch, which was sent at sent, to the snapshot. It skips events that are
// older than the item in the snapshot, which ReplaceIfNewer may have installed.
func (m *Mirror) apply(events []store.Event, sent time.Duration) {
	m.mu.Lock()
	if len(events) == 0 {
		m.currentAt = sent
		m.mu.Unlock()
		return
	}
	s := Snapshot{Items: maps.Clone(m.snapshot.Items), Rev: m.snapshot.Rev, Complete: true}
	for _, e := range events {
		if held, ok := s.Items[e.Key]; ok && held.Rev > e.Rev {
			continue
		}
		s.Rev = max(s.Rev, e.Rev)
		if e.Deleted {
			delete(s.Items, e.Key)
		} else {
			s.Items[e.Key] = e.Item
		}
	}
	m.snapshot = s
	m.currentAt = sent
	m.mu.Unlock()
	m.config.OnChange(s)
}
