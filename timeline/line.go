package timeline

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"almondcove/task"
)

// DefaultSize is the number of events that a line keeps unless configured.
const DefaultSize = 4096

// Event is one thing that happened in one process.
type Event struct {
	// Stamp orders the event; Add sets it.
	Stamp Stamp `json:"stamp"`
	// Time is the wall clock of the process; Add sets it.
	Time time.Time `json:"time"`
	// Source names the process; Add sets it.
	Source string `json:"source"`
	Kind   string `json:"kind"`
	Task   string `json:"task,omitempty"`
	VM     string `json:"vm,omitempty"`
	Team   string `json:"team,omitempty"`
	Key    string `json:"key,omitempty"`
	Note   string `json:"note,omitempty"`
}

// Filter selects events; an empty member selects all.
type Filter struct {
	Task string
	VM   string
	Team string
	Key  string
	Kind string
}

// Match reports whether the event passes the filter.
func (f Filter) Match(e Event) bool {
	return matches(base(f.Task), base(e.Task)) &&
		matches(f.VM, e.VM) &&
		matches(f.Team, e.Team) &&
		matches(f.Key, e.Key) &&
		matches(f.Kind, e.Kind)
}

// base returns the id that a task had first.
func base(id string) string {
	return string(task.ID(id).Base())
}

func matches(want, got string) bool {
	return want == "" || want == got
}

// Config configures a line.
type Config struct {
	// Source names the process in every event.
	Source string
	// Size is the number of events kept; zero means DefaultSize.
	Size int
	// Clock issues the stamps; nil means a new one.
	Clock *Clock
}

// Line is a bounded ring of events. Its methods may be called from any goroutine.
type Line struct {
	source string
	clock  *Clock
	mu     sync.Mutex
	ring   []Event
	next   int
}

// New returns an empty line.
func New(c Config) *Line {
	if c.Size <= 0 {
		c.Size = DefaultSize
	}
	if c.Clock == nil {
		c.Clock = &Clock{}
	}
	return &Line{source: c.Source, clock: c.Clock, ring: make([]Event, 0, c.Size)}
}

// Clock returns the clock that stamps the events.
func (l *Line) Clock() *Clock {
	return l.clock
}

// Add stamps the event and stores it, dropping the oldest when the line is full.
func (l *Line) Add(e Event) {
	e.Stamp = l.clock.Now()
	e.Time = time.Now()
	e.Source = l.source
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.ring) < cap(l.ring) {
		l.ring = append(l.ring, e)
		return
	}
	l.ring[l.next] = e
	l.next = (l.next + 1) % len(l.ring)
}

// Events returns the stored events that match, oldest first.
func (l *Line) Events(f Filter) []Event {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []Event
	for i := range l.ring {
		e := l.ring[(l.next+i)%len(l.ring)]
		if f.Match(e) {
			out = append(out, e)
		}
	}
	return out
}

// Merge returns the events of all lines in the order of their stamps.
func Merge(lines ...[]Event) []Event {
	out := slices.Concat(lines...)
	slices.SortStableFunc(out, func(a, b Event) int {
		return cmp.Or(cmp.Compare(a.Stamp, b.Stamp), cmp.Compare(a.Source, b.Source))
	})
	return out
}
