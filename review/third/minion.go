package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// holdMax is the longest lease, and stopTime how long a stop takes.
	holdMax  = 6 * time.Second
	stopTime = 100 * time.Millisecond
	// heartbeat is the interval of a minion's entries in the store.
	heartbeat = 1500 * time.Millisecond
	// maxEnds is how many ends a minion lists at a time.
	maxEnds = 500
)

// minion is a stand-in for a minion that guards neither its capacity nor anything else.
type minion struct {
	id, machine, service, addr, zone, rack string
	cpu, memMb                             int64
	ground                                 *ground

	mu        sync.Mutex
	started   time.Time
	fence     int64
	lease     time.Duration
	running   map[runID]*minionRun
	highest   map[string]int
	ends      []minionEnd
	lastEnd   int64
	listed    int64
	doneTotal int64
	seen      int64
	seq       int64
	changed   chan struct{}
}

// runID names a run of a task.
type runID struct {
	task string
	run  int
}

type minionRun struct {
	began, endsAt, stopAt time.Time
	daemon                bool
}

type minionEnd struct {
	number int64
	id     runID
	how    string
}

func newMinion(g *ground, n int, service, addr, zone string) *minion {
	m := &minion{
		id: fmt.Sprintf("i-%04d%s", n, g.suffix), machine: fmt.Sprintf("m-%04d", n), service: service, addr: addr, zone: zone,
		rack: fmt.Sprintf("r1-%d", n/4), cpu: 64000, memMb: 131072, ground: g, started: time.Now(),
		running: make(map[runID]*minionRun), highest: make(map[string]int), changed: make(chan struct{}),
	}
	go func() {
		for range time.Tick(10 * time.Millisecond) {
			m.advance(time.Now())
		}
	}()
	go func() {
		for {
			m.register()
			time.Sleep(heartbeat)
		}
	}()
	return m
}

// register writes the minion's entry.
func (m *minion) register() {
	m.mu.Lock()
	m.seq++
	entry := map[string]any{
		"service": m.service, "addr": m.addr, "zone": m.zone, "version": "v1", "slots": 8, "state": "ready", "coldLeftMs": 0,
		"capacity": map[string]int64{"cpu": m.cpu, "memMb": m.memMb, "gpu": 0}, "labels": []string{"a", m.rack},
		"clockMs": time.Since(m.started).Milliseconds(), "seq": m.seq, "born": m.started.UnixMilli(),
	}
	m.mu.Unlock()
	m.ground.store.write("servers/"+m.id, mustJSON(entry))
}

func mustJSON(v any) []byte {
	data, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return data
}

// advance ends the runs that are due to end.
func (m *minion) advance(now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	lapsed := m.lease > 0 && now.Sub(m.started) > m.lease
	for id, r := range m.running {
		switch {
		case lapsed:
			m.end(id, "lapsed")
		case !r.stopAt.IsZero() && !now.Before(r.stopAt):
			m.end(id, "stopped")
		case !r.daemon && !now.Before(r.endsAt):
			m.end(id, "done")
		}
	}
}

func (m *minion) end(id runID, how string) {
	delete(m.running, id)
	m.lastEnd++
	m.ends = append(m.ends, minionEnd{m.lastEnd, id, how})
	if how == "done" {
		m.doneTotal++
	}
	m.ground.ended(id, how)
	close(m.changed)
	m.changed = make(chan struct{})
}

type orderRequest struct {
	Task    string `json:"task"`
	Run     int    `json:"run"`
	Spec    string `json:"spec"`
	UntilMs int64  `json:"untilMs"`
	Fence   int64  `json:"fence"`
	Seen    int64  `json:"seenUpto"`
	WaitMs  int64  `json:"waitMs"`
}

type orderAnswer struct {
	ClockMs int64   `json:"clockMs"`
	Born    int64   `json:"born"`
	Reason  string  `json:"reason,omitempty"`
	Running [][]any `json:"running,omitempty"`
	Ended   [][]any `json:"ended,omitempty"`
}

// ServeHTTP implements http.Handler.
func (m *minion) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if want := r.Header.Get("Expect-Instance"); want != "" && want != m.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if r.URL.Path == "/health" {
		w.Header().Set("Instance-Id", m.id)
		return
	}
	var in orderRequest
	if err := json.Unmarshal(body, &in); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	m.advance(time.Now())
	code, out := http.StatusOK, orderAnswer{}
	switch r.URL.Path {
	case "/-/run-start":
		code, out = m.start(in, time.Now())
	case "/-/run-stop":
		code, out = m.stop(in, time.Now())
	case "/-/pace":
		out = m.answer(time.Now(), "")
	case "/-/hold":
		code, out = m.hold(in)
	default:
		code = http.StatusNotFound
	}
	writeJSON(w, code, out)
}

func (m *minion) answer(now time.Time, reason string) orderAnswer {
	return orderAnswer{ClockMs: now.Sub(m.started).Milliseconds(), Born: m.started.UnixMilli(), Reason: reason}
}

// extend extends the lease up to a time of the minion's clock.
func (m *minion) extend(untilMs int64, now time.Time) {
	m.lease = max(m.lease, min(time.Duration(untilMs)*time.Millisecond, now.Sub(m.started)+holdMax))
}

func (m *minion) start(in orderRequest, now time.Time) (int, orderAnswer) {
	m.mu.Lock()
	defer m.mu.Unlock()
	id := runID{in.Task, in.Run}
	switch {
	case in.Fence < m.fence:
		return http.StatusConflict, m.answer(now, "fence")
	case now.Sub(m.started).Milliseconds() > in.UntilMs:
		return http.StatusConflict, m.answer(now, "late")
	case m.running[id] != nil:
		return http.StatusOK, m.answer(now, "")
	}
	m.fence = in.Fence
	m.extend(in.UntilMs, now)
	if in.Run <= m.highest[in.Task] {
		return http.StatusConflict, m.answer(now, "old")
	}
	plan := parseSpec(in.Spec)
	m.running[id] = &minionRun{began: now, endsAt: now.Add(plan.length), daemon: plan.daemon}
	m.ground.begun(m, id, in.Spec)
	return http.StatusOK, m.answer(now, "")
}

func (m *minion) stop(in orderRequest, now time.Time) (int, orderAnswer) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if in.Fence < m.fence {
		return http.StatusConflict, m.answer(now, "fence")
	}
	m.fence = in.Fence
	m.highest[in.Task] = max(m.highest[in.Task], in.Run)
	if r := m.running[runID{in.Task, in.Run}]; r != nil && r.stopAt.IsZero() {
		r.stopAt = now.Add(stopTime)
	}
	return http.StatusOK, m.answer(now, "")
}

func (m *minion) hold(in orderRequest) (int, orderAnswer) {
	m.mu.Lock()
	now := time.Now()
	if in.Fence < m.fence {
		defer m.mu.Unlock()
		return http.StatusConflict, m.answer(now, "fence")
	}
	m.fence = in.Fence
	if in.UntilMs > 0 {
		m.extend(in.UntilMs, now)
	}
	m.seen = max(m.seen, min(in.Seen, m.lastEnd))
	m.ends = slices.DeleteFunc(m.ends, func(e minionEnd) bool { return e.number <= in.Seen })
	changed, empty := m.changed, len(m.ends) == 0
	m.mu.Unlock()
	if empty && in.WaitMs > 0 {
		select {
		case <-changed:
		case <-time.After(time.Duration(min(in.WaitMs, 2000)) * time.Millisecond):
		}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	now = time.Now()
	out := m.answer(now, "")
	for id, r := range m.running {
		percent := 100
		if !r.daemon {
			percent = min(int(100*now.Sub(r.began)/max(r.endsAt.Sub(r.began), 1)), 99)
		}
		out.Running = append(out.Running, []any{id.task, id.run, "", percent, 100})
	}
	for _, e := range m.ends[:min(len(m.ends), maxEnds)] {
		out.Ended = append(out.Ended, []any{e.number, e.id.task, e.id.run, e.how, ""})
		m.listed = max(m.listed, e.number)
	}
	return http.StatusOK, out
}

// noted returns how many ends the minion has, and how many of them were taken note of.
func (m *minion) noted() (ends, noted int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.lastEnd, m.seen
}

// taskPlan is what the spec of a job says of each of its tasks.
type taskPlan struct {
	length time.Duration
	daemon bool
}

// parseSpec reads a spec such as "ms=200", which may go on after a blank.
func parseSpec(spec string) taskPlan {
	first, _, _ := strings.Cut(spec, " ")
	if first == "daemon" {
		return taskPlan{daemon: true}
	}
	n, err := strconv.Atoi(strings.TrimPrefix(first, "ms="))
	if err != nil {
		n = 200
	}
	return taskPlan{length: time.Duration(n) * time.Millisecond}
}
