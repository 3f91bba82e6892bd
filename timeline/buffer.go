package timeline

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"almondcove/task"
)

// DefaultSize is the default number of events that a buffer keeps.
const DefaultSize = 4096

// Event is one event in one process.
type Event struct {
	// Stamp is the position in the merged order; Add sets it.
	Stamp Stamp `json:"stamp"`
	// Time is the wall time of the process; Add sets it.
	Time time.Time `json:"time"`
	// Source is the name of the process; Add sets it.
	Source string `json:"source"`
	Kind   string `json:"kind"`
	Task   string `json:"task,omitempty"`
	VM     string `json:"vm,omitempty"`
	Team   string `json:"team,omitempty"`
	Key    string `json:"key,omitempty"`
	Note   string `json:"note,omitempty"`
}

// Filter selects events by exact values; an empty field matches every event. Task
// matches the events of a task under all its ids, which differ only in the suffix.
type Filter struct {
	Task string
	VM   string
	Team string
	Key  string
	Kind string
}

// Match reports whether the filter selects the event.
func (f Filter) Match(e Event) bool {
	return matches(baseID(f.Task), baseID(e.Task)) &&
		matches(f.VM, e.VM) &&
		matches(f.Team, e.Team) &&
		matches(f.Key, e.Key) &&
		matches(f.Kind, e.Kind)
}

// baseID returns the id of a task without its suffix.
func baseID(id string) string {
	return string(task.ID(id).Base())
}

func matches(want, got string) bool {
	return want == "" || want == got
}

// Config configures a buffer.
type Config struct {
	// Source is the name of the process, recorded in every event.
	Source string
	// Size is the number of events kept; zero means DefaultSize.
	Size int
	// Clock issues the stamps; nil means a new clock.
	Clock *Clock
}

// Buffer is a ring buffer of events. Its methods are safe for concurrent use.
type Buffer struct {
	source string
	clock  *Clock
	mu     sync.Mutex
	ring   []Event
	// oldest is the index of the oldest event once the ring is full.
	oldest int
}

// New returns an empty buffer.
func New(c Config) *Buffer {
	if c.Size <= 0 {
		c.Size = DefaultSize
	}
	if c.Clock == nil {
		c.Clock = &Clock{}
	}
	return &Buffer{source: c.Source, clock: c.Clock, ring: make([]Event, 0, c.Size)}
}

// Clock returns the clock that issues the stamps of the events.
func (b *Buffer) Clock() *Clock {
	return b.clock
}

// Add stamps the event and stores it. It overwrites the oldest event if the buffer
// is full.
func (b *Buffer) Add(e Event) {
	e.Stamp = b.clock.Now()
	e.Time = time.Now()
	e.Source = b.source
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.ring) < cap(b.ring) {
		b.ring = append(b.ring, e)
		return
	}
	b.ring[b.oldest] = e
	b.oldest = (b.oldest + 1) % len(b.ring)
}

// Events returns the stored events that the filter selects, oldest first.
func (b *Buffer) Events(f Filter) []Event {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []Event
	for i := range b.ring {
		e := b.ring[(b.oldest+i)%len(b.ring)]
		if f.Match(e) {
			out = append(out, e)
		}
	}
	return out
}

// Merge returns the events of all lists in the order of their stamps, and of their
// sources where stamps are equal.
func Merge(lists ...[]Event) []Event {
	out := slices.Concat(lists...)
	slices.SortStableFunc(out, func(a, b Event) int {
		return cmp.Or(cmp.Compare(a.Stamp, b.Stamp), cmp.Compare(a.Source, b.Source))
	})
	return out
}
