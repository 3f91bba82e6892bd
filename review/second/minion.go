package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Times of minions, as in the settings of the entries.
const (
	heartbeat = 1500 * time.Millisecond
	maxHold   = 6 * time.Second
	// maxStop is the longest time that a stop takes.
	maxStop = 900 * time.Millisecond
)

// taskPlan tells how the runs of a task go.
type taskPlan struct {
	// work is how long a run takes; zero means that the task lasts.
	work time.Duration
	// failAfter is when a run fails by its own fault; zero means never. Only the first
	// failRuns runs do.
	failAfter time.Duration
	failRuns  int
	cpu       int64
}

// taskRun is a run of a task on a minion.
type taskRun struct {
	task    string
	number  int
	began   time.Time
	endsAt  time.Time
	how     string
	stopped bool
	plan    taskPlan
}

// end is a row of the list of ends.
type end struct {
	n      int64
	task   string
	number int
	how    string
}

// minion is a stand-in for a minion: one life of a machine.
type minion struct {
	w       *world
	id      string
	machine *machine
	addr    string

	mu      sync.Mutex
	born    time.Time
	fence   int64
	until   time.Duration
	running map[string]*taskRun
	ended   []end
	lastEnd int64
	// highest holds the highest run of each task that was stopped or has ended here.
	highest map[string]int
	changed chan struct{}
	seq     int
	// cut is set while no machine of the system reaches the minion, and gone once it has
	// ended.
	cut, gone bool
	// unhealthy is set while the minion refuses to start tasks.
	unhealthy bool
}

func (w *world) startMinion(m *machine) {
	w.mu.Lock()
	w.minionCount++
	n := &minion{
		w: w, id: fmt.Sprintf("i-%08x", 0x1000*w.minionCount+7), machine: m, born: time.Now(),
		running: make(map[string]*taskRun), highest: make(map[string]int), changed: make(chan struct{}),
	}
	w.minions = append(w.minions, n)
	m.minion = n
	w.mu.Unlock()
	addr, err := serve("127.0.0.1", n)
	if err != nil {
		w.fatal(err)
	}
	n.addr = addr
	w.rec.printf("minion %s starts on machine %s in pool %s", n.id, m.name, m.pool)
	go n.tick()
	go n.beat()
}

// beat writes the minion's entry in the store until the minion ends.
func (n *minion) beat() {
	for {
		n.mu.Lock()
		if n.gone {
			n.mu.Unlock()
			return
		}
		n.seq++
		entry := map[string]any{
			"service": n.machine.pool, "addr": n.addr, "zone": n.machine.zone, "version": "v1", "slots": 8, "state": "ready", "coldLeftMs": 0,
			"capacity": n.machine.capacity(), "labels": n.machine.labels, "clockMs": n.clock(), "seq": n.seq, "born": n.born.UnixMilli(),
		}
		n.mu.Unlock()
		n.w.store.put("servers/"+n.id, entry)
		time.Sleep(heartbeat)
	}
}

// end ends the minion with all that runs there. Its entry goes after three heartbeats of
// silence.
func (n *minion) end(why string) {
	n.mu.Lock()
	n.gone = true
	for _, r := range n.sorted() {
		n.w.ended(n, r, "lost: "+why)
	}
	n.running = make(map[string]*taskRun)
	n.mu.Unlock()
	n.w.rec.printf("minion %s ends: %s", n.id, why)
	time.AfterFunc(3*heartbeat, func() { n.w.store.remove("servers/" + n.id) })
}

func (n *minion) clock() int64 { return time.Since(n.born).Milliseconds() }

func (n *minion) sorted() []*taskRun {
	out := make([]*taskRun, 0, len(n.running))
	for _, r := range n.running {
		out = append(out, r)
	}
	return out
}

func (n *minion) setCut(cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut = cut
	n.w.rec.printf("minion %s cut off from the system: %v; it runs %d", n.id, cut, len(n.running))
}

// tick ends runs until the minion has ended.
func (n *minion) tick() {
	for range time.Tick(5 * time.Millisecond) {
		n.mu.Lock()
		if n.gone {
			n.mu.Unlock()
			return
		}
		lapsed := n.until > 0 && time.Since(n.born) > n.until
		for _, r := range n.sorted() {
			switch {
			case lapsed:
				n.endRun(r, "lapsed")
			case !r.endsAt.IsZero() && time.Now().After(r.endsAt):
				n.endRun(r, r.how)
			}
		}
		n.mu.Unlock()
	}
}

// endRun lists an end. The caller holds n.mu.
func (n *minion) endRun(r *taskRun, how string) {
	delete(n.running, r.task)
	n.lastEnd++
	n.ended = append(n.ended, end{n.lastEnd, r.task, r.number, how})
	n.highest[r.task] = max(n.highest[r.task], r.number)
	close(n.changed)
	n.changed = make(chan struct{})
	n.w.ended(n, r, how)
}

type orderBody struct {
	Task     string `json:"task"`
	Run      int    `json:"run"`
	Spec     string `json:"spec"`
	UntilMs  int64  `json:"untilMs"`
	Fence    int64  `json:"fence"`
	SeenUpto int64  `json:"seenUpto"`
	Ticket   string `json:"ticket"`
	WaitMs   int64  `json:"waitMs"`
}

// unreachable waits while the minion is cut off or has ended, and reports whether the call
// was lost.
func (n *minion) unreachable(r *http.Request) bool {
	n.mu.Lock()
	lost := n.cut || n.gone
	n.mu.Unlock()
	if lost {
		select {
		case <-r.Context().Done():
		case <-time.After(20 * time.Second):
		}
	}
	return lost
}

// ServeHTTP implements http.Handler.
func (n *minion) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/health" {
		reply(w, http.StatusOK, nil)
		return
	}
	if n.unreachable(r) {
		panic(http.ErrAbortHandler)
	}
	if want := r.Header.Get("Expect-Instance"); want != "" && want != n.id {
		reply(w, http.StatusMisdirectedRequest, nil)
		return
	}
	var in orderBody
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
		reply(w, http.StatusBadRequest, nil)
		return
	}
	code, body := n.order(r.URL.Path, in)
	if r.URL.Path == "/-/hold" && code == http.StatusOK {
		n.await(in, r)
		body = n.report(in)
	}
	if n.unreachable(r) {
		panic(http.ErrAbortHandler)
	}
	reply(w, code, body)
}

func (n *minion) order(path string, in orderBody) (int, any) {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := map[string]any{"clockMs": n.clock(), "born": n.born.UnixMilli()}
	refuse := func(reason string) (int, any) {
		now["reason"] = reason
		return http.StatusConflict, now
	}
	if in.Fence < n.fence {
		return refuse("fence")
	}
	n.fence = in.Fence
	switch path {
	case "/-/hold":
		n.extend(in.UntilMs)
		kept := n.ended[:0]
		for _, e := range n.ended {
			if e.n > in.SeenUpto {
				kept = append(kept, e)
			}
		}
		n.ended = kept
	case "/-/run-start":
		return n.start(in, now, refuse)
	case "/-/run-stop":
		n.highest[in.Task] = max(n.highest[in.Task], in.Run)
		if r := n.running[in.Task]; r != nil && r.number == in.Run && !r.stopped {
			r.stopped, r.endsAt, r.how = true, time.Now().Add(n.w.stopTime), "stopped"
		}
	case "/-/pace":
	default:
		return http.StatusNotFound, nil
	}
	return http.StatusOK, now
}

func (n *minion) start(in orderBody, now map[string]any, refuse func(string) (int, any)) (int, any) {
	if r := n.running[in.Task]; r != nil && r.number == in.Run {
		n.extend(in.UntilMs)
		return http.StatusOK, now
	}
	if in.UntilMs <= n.clock() {
		return refuse("late")
	}
	n.extend(in.UntilMs)
	if in.Run <= n.highest[in.Task] || n.running[in.Task] != nil {
		return refuse("old")
	}
	if n.unhealthy {
		n.w.rec.printf("minion %s refuses to start %s#%d with 503", n.id, in.Task, in.Run)
		return http.StatusServiceUnavailable, nil
	}
	if !n.w.ticketValid(n.id, in) {
		return refuse("ticket")
	}
	plan := n.w.plan(in.Task)
	r := &taskRun{task: in.Task, number: in.Run, began: time.Now(), plan: plan}
	if plan.work > 0 {
		r.endsAt, r.how = r.began.Add(plan.work), "done"
	}
	n.running[in.Task] = r
	n.w.started(n, r, plan)
	return http.StatusOK, now
}

// extend renews the lease of all that runs. It never shortens it. The caller holds n.mu.
func (n *minion) extend(untilMs int64) {
	n.until = max(n.until, min(time.Duration(untilMs)*time.Millisecond, time.Since(n.born)+maxHold))
}

// await waits for an end that the caller has not seen.
func (n *minion) await(in orderBody, r *http.Request) {
	deadline := time.After(time.Duration(min(in.WaitMs, 2000)) * time.Millisecond)
	for {
		n.mu.Lock()
		changed, unseen := n.changed, len(n.ended) > 0
		n.mu.Unlock()
		if unseen {
			return
		}
		select {
		case <-changed:
		case <-deadline:
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (n *minion) report(orderBody) any {
	n.mu.Lock()
	defer n.mu.Unlock()
	running, ended := [][]any{}, [][]any{}
	for _, r := range n.sorted() {
		percent := 100
		if r.plan.work > 0 {
			percent = min(99, int(100*time.Since(r.began)/r.plan.work))
		}
		running = append(running, []any{r.task, r.number, "", percent, 10})
	}
	for _, e := range n.ended[:min(len(n.ended), 500)] {
		ended = append(ended, []any{e.n, e.task, e.number, e.how, ""})
	}
	return map[string]any{"clockMs": n.clock(), "born": n.born.UnixMilli(), "running": running, "ended": ended}
}

// jobOf returns the id of the job that a task belongs to.
func jobOf(task string) string {
	id, _, _ := strings.Cut(task, ".")
	return id
}

// ticketValid reports whether an order to start a task carries a valid ticket, or needs none.
func (w *world) ticketValid(id string, in orderBody) bool {
	w.runsMu.Lock()
	defer w.runsMu.Unlock()
	if !w.advisedJobs[jobOf(in.Task)] {
		return true
	}
	stage := in.Task[:strings.LastIndex(in.Task, ".")]
	return in.Ticket == stage+"@"+id && time.Now().Before(w.tickets[in.Ticket])
}
