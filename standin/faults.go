// Package standin holds small stand-ins for the systems that almondcove works
// with: the platform's key-value service and the upstream VMs. They speak the
// same protocols and can be told to fail.
//
// Faults are set by PUT /faults with {"kind": "slow", "for": "5s"} and cleared
// by DELETE /faults. A fault without "for" lasts until it is cleared.
//
// # Usage
//
//	p := standin.NewPlatform()
//	u := standin.NewUpstream(standin.UpstreamConfig{VM: "vm-1", Centre: "east", Slots: 8})
//	srv := &http.Server{Handler: u}
//	go srv.Serve(u.Listener(listener))
//
// The stand-ins are for tests and first use and keep everything in memory.
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

// forever is how long a fault without a duration lasts.
const forever = 100 * 365 * 24 * time.Hour

// faults holds the faults in force.
type faults struct {
	kinds []string
	// once is called for a fault when it is set.
	once  func(kind string, d time.Duration)
	mu    sync.Mutex
	until map[string]time.Time
	wake  chan struct{}
}

// fault is the body of PUT /faults.
type fault struct {
	Kind string         `json:"kind"`
	For  fleet.Duration `json:"for"`
}

func newFaults(once func(string, time.Duration), kinds ...string) *faults {
	return &faults{
		kinds: kinds,
		once:  once,
		until: make(map[string]time.Time),
		wake:  make(chan struct{}),
	}
}

// active reports whether the fault is in force.
func (f *faults) active(kind string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return time.Now().Before(f.until[kind])
}

// ended returns a channel that is closed when the fault ends or faults change.
func (f *faults) ended(kind string) (<-chan struct{}, time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.wake, time.Until(f.until[kind])
}

// hold blocks while the fault is in force, or until done is closed.
func (f *faults) hold(kind string, done <-chan struct{}) {
	for f.active(kind) {
		wake, left := f.ended(kind)
		timer := time.NewTimer(left)
		select {
		case <-wake:
		case <-timer.C:
		case <-done:
			timer.Stop()
			return
		}
		timer.Stop()
	}
}

// set starts a fault.
func (f *faults) set(kind string, d time.Duration) {
	lasts := d
	if lasts <= 0 {
		lasts = forever
	}
	f.mu.Lock()
	f.until[kind] = time.Now().Add(lasts)
	f.changed()
	f.mu.Unlock()
	if f.once != nil {
		f.once(kind, d)
	}
}

func (f *faults) clear() {
	f.mu.Lock()
	defer f.mu.Unlock()
	clear(f.until)
	f.changed()
}

func (f *faults) changed() {
	close(f.wake)
	f.wake = make(chan struct{})
}

// ServeHTTP answers PUT, GET and DELETE of /faults.
func (f *faults) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.Method {
	case http.MethodPut:
		var in fault
		if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
			reply(w, http.StatusBadRequest, problem{Title: "not a fault", Detail: err.Error()})
			return
		}
		if !slices.Contains(f.kinds, in.Kind) {
			reply(w, http.StatusBadRequest, problem{Title: "unknown kind of fault", Detail: "expected one of " + strings.Join(f.kinds, ", ")})
			return
		}
		f.set(in.Kind, time.Duration(in.For))
	case http.MethodDelete:
		f.clear()
	}
	reply(w, http.StatusOK, f.list())
}

// list returns the faults in force with the time that is left of each.
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

// problem is a problem document.
type problem struct {
	Title  string `json:"title"`
	Detail string `json:"detail,omitempty"`
	Run    string `json:"run,omitempty"`
}

func reply(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// The peer that broke the connection learns of it by itself.
	_ = json.NewEncoder(w).Encode(v)
}
