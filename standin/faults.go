// Package standin holds test doubles for the systems that almondcove works with:
//
//   - [Platform] serves the platform's key-value service over HTTP. [KeyValue] is
//     such a service in memory, used as a [store.Store].
//   - [Upstream] serves one upstream VM over HTTP. [Worker] is a VM in memory, which
//     carries out the scheduler's orders. [Checker] checks what workers do together.
//   - [Machines] is the platform's machines, and [Network] is a TCP network in memory.
//
// Tests can inject faults into all of them except Machines and Checker. [Platform] and
// [Upstream] speak the protocols of the real systems. Their faults can also be set by
// PUT /faults with {"kind": "slow", "for": "5s"} and cleared by DELETE /faults. A fault
// without "for" lasts until it is cleared.
//
// # Usage
//
//	p := standin.NewPlatform()
//	u := standin.NewUpstream(standin.UpstreamConfig{VM: "vm-1", Centre: "east", Slots: 8})
//	srv := &http.Server{Handler: u}
//	go srv.Serve(u.Listener(listener))
//
// The stand-ins are meant for tests and for trying out almondcove. They keep all
// state in memory.
package standin

import (
	"encoding/json"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"almondcove/fleet"
)

// unlimitedDuration is how long a fault without a duration lasts if it is not
// cleared: 100 years, which no process outlives.
const unlimitedDuration = 100 * 365 * 24 * time.Hour

// faults holds the active faults of a stand-in and serves /faults.
type faults struct {
	kinds []string
	// onSet is called each time a fault is set, with the duration as given.
	onSet func(kind string, d time.Duration)
	mu    sync.Mutex
	// until is when each fault ends.
	until   map[string]time.Time
	changed chan struct{}
}

// fault is the body of PUT /faults.
type fault struct {
	Kind string         `json:"kind"`
	For  fleet.Duration `json:"for"`
}

func newFaults(onSet func(string, time.Duration), kinds ...string) *faults {
	return &faults{
		kinds:   kinds,
		onSet:   onSet,
		until:   make(map[string]time.Time),
		changed: make(chan struct{}),
	}
}

// active reports whether the fault is active.
func (f *faults) active(kind string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return time.Now().Before(f.until[kind])
}

// remaining returns the remaining time of the fault, and a channel that is closed
// when faults are set or cleared.
func (f *faults) remaining(kind string) (<-chan struct{}, time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.changed, time.Until(f.until[kind])
}

// waitWhileActive blocks while the fault is active, or until done is closed.
func (f *faults) waitWhileActive(kind string, done <-chan struct{}) {
	for f.active(kind) {
		changed, left := f.remaining(kind)
		timer := time.NewTimer(left)
		select {
		case <-changed:
		case <-timer.C:
		case <-done:
			timer.Stop()
			return
		}
		timer.Stop()
	}
}

// set starts a fault for d; zero means until it is cleared.
func (f *faults) set(kind string, d time.Duration) {
	duration := d
	if duration <= 0 {
		duration = unlimitedDuration
	}
	f.mu.Lock()
	f.until[kind] = time.Now().Add(duration)
	f.notifyWaiters()
	f.mu.Unlock()
	if f.onSet != nil {
		f.onSet(kind, d)
	}
}

func (f *faults) clear() {
	f.mu.Lock()
	defer f.mu.Unlock()
	clear(f.until)
	f.notifyWaiters()
}

func (f *faults) notifyWaiters() {
	close(f.changed)
	f.changed = make(chan struct{})
}

// ServeHTTP answers PUT, GET and DELETE of /faults.
func (f *faults) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.Method {
	case http.MethodPut:
		var in fault
		if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
			writeJSON(w, http.StatusBadRequest, problem{Title: "not a fault", Detail: err.Error()})
			return
		}
		if !slices.Contains(f.kinds, in.Kind) {
			writeJSON(w, http.StatusBadRequest, problem{Title: "unknown kind of fault", Detail: "expected one of " + strings.Join(f.kinds, ", ")})
			return
		}
		f.set(in.Kind, time.Duration(in.For))
	case http.MethodDelete:
		f.clear()
	}
	writeJSON(w, http.StatusOK, f.list())
}

// list returns the active faults with the remaining time of each.
func (f *faults) list() []fault {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := []fault{}
	for _, kind := range f.kinds {
		if left := time.Until(f.until[kind]); left > 0 {
			out = append(out, fault{Kind: kind, For: fleet.Duration(left)})
		}
	}
	return out
}

// problem is the body of an answer that reports an error or a state.
type problem struct {
	Title  string `json:"title"`
	Detail string `json:"detail,omitempty"`
	Run    string `json:"run,omitempty"`
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// Encoding fails only if the connection is broken, which the client notices.
	_ = json.NewEncoder(w).Encode(v)
}
