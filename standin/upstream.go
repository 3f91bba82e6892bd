package standin

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/base64"
	"encoding/hex"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"almondcove/fleet"
	"almondcove/upstream"
)

// The faults of an upstream.
const (
	faultSilent  = "silent"
	faultCrossed = "crossed"
	faultCut     = "cut"
	faultFail    = "fail"
	faultBusy    = "busy"
	faultLeaving = "leaving"
	faultPause   = "pause"
)

// The defaults and bounds of an upstream.
const (
	defaultRun    = 20 * time.Millisecond
	upstreamDelay = time.Second
	rebootTime    = 2 * time.Second
	maxBody       = 16 << 20
	// remembered is how many ended tasks an upstream can still answer for.
	remembered = 200_000
)

// UpstreamConfig configures an upstream.
type UpstreamConfig struct {
	VM     string `json:"vm"`
	Centre string `json:"centre"`
	Slots  int    `json:"slots"`
	// Runs gives the run time of a queue's tasks; others take 20 ms.
	Runs map[string]fleet.Duration `json:"runs,omitempty"`
	// Reboot is how long a reboot takes; zero means 2 s.
	Reboot time.Duration `json:"-"`
}

// Upstream stands in for one VM that runs tasks. It is an [http.Handler].
type Upstream struct {
	config UpstreamConfig
	boot   string
	mux    *http.ServeMux
	faults *faults
	conns  connections
	mu     sync.Mutex
	tasks  map[string]*execution
	ended  []string
	starts []Start
	busy   int
	last   *execution
}

// Start is one start of a task, as GET /tasks lists it.
type Start struct {
	ID   string    `json:"id"`
	Team string    `json:"team"`
	VM   string    `json:"vm"`
	Time time.Time `json:"time"`
}

// execution is one task that the upstream knows.
type execution struct {
	id string
	// done is nil for a task that was fenced before it arrived.
	done   chan struct{}
	stop   chan struct{}
	status int
	kind   string
	body   []byte
}

// outcome is the body of an answered task.
type outcome struct {
	ID     string    `json:"id"`
	Team   string    `json:"team"`
	VM     string    `json:"vm"`
	Centre string    `json:"centre"`
	Start  time.Time `json:"start"`
	End    time.Time `json:"end"`
	Digest string    `json:"digest"`
}

// NewUpstream returns an idle upstream.
func NewUpstream(c UpstreamConfig) *Upstream {
	if c.Reboot <= 0 {
		c.Reboot = rebootTime
	}
	u := &Upstream{config: c, boot: rand.Text(), mux: http.NewServeMux(), tasks: make(map[string]*execution)}
	u.faults = newFaults(u.fault, faultSilent, faultSlow, faultCrossed, faultCut, faultFail, faultBusy, faultLeaving, faultPause)
	u.mux.HandleFunc("PUT /tasks/{id}", u.put)
	u.mux.HandleFunc("GET /tasks/{id}", u.get)
	u.mux.HandleFunc("DELETE /tasks/{id}", u.remove)
	u.mux.HandleFunc("POST /tasks/{id}/checkpoint", u.steer)
	u.mux.HandleFunc("POST /tasks/{id}/throttle", u.steer)
	u.mux.HandleFunc("GET /tasks", u.list)
	u.mux.HandleFunc("GET /usage", u.usage)
	u.mux.HandleFunc("POST /reboot", u.reboot)
	u.mux.Handle("/faults", u.faults)
	return u
}

// ServeHTTP answers one call.
func (u *Upstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/faults" && !strings.HasSuffix(r.URL.Path, "/tasks") {
		u.faults.hold(faultPause, r.Context().Done())
	}
	u.mux.ServeHTTP(w, r)
}

// Fault starts a fault for d; zero means until it is cleared.
func (u *Upstream) Fault(kind string, d time.Duration) {
	u.faults.set(kind, d)
}

// Clear ends all faults.
func (u *Upstream) Clear() {
	u.faults.clear()
}

// Starts returns every start that the upstream made.
func (u *Upstream) Starts() []Start {
	u.mu.Lock()
	defer u.mu.Unlock()
	return append([]Start{}, u.starts...)
}

func (u *Upstream) fault(kind string, _ time.Duration) {
	if kind == faultSilent {
		u.conns.silence()
	}
}

func (u *Upstream) put(w http.ResponseWriter, r *http.Request) {
	id := r.PathValue("id")
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	if err != nil {
		u.refuse(w, id, http.StatusRequestEntityTooLarge, "body")
		return
	}
	u.faults.hold(faultPause, r.Context().Done())
	j, fresh, why := u.admit(id, r.Header)
	if why != "" {
		u.refuse(w, id, refusalStatus(why), why)
		return
	}
	if fresh {
		go u.run(j, r.Header.Clone(), body)
	}
	select {
	case <-j.done:
	case <-r.Context().Done():
		// The task goes on; its answer can be fetched by id.
		return
	}
	u.answer(w, r, j, true)
}

func refusalStatus(why string) int {
	switch why {
	case upstream.WhyBusy:
		return http.StatusTooManyRequests
	case upstream.WhyLate:
		return http.StatusPreconditionFailed
	case upstream.WhyFenced:
		return http.StatusConflict
	}
	return http.StatusServiceUnavailable
}

// admit registers a task that may start, or returns a known one, or says why
// the task is refused. It reports whether the task is a new one.
func (u *Upstream) admit(id string, h http.Header) (j *execution, fresh bool, why string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if j, ok := u.tasks[id]; ok {
		if j.done == nil {
			return nil, false, upstream.WhyFenced
		}
		return j, false, ""
	}
	notAfter, err := time.Parse(time.RFC3339Nano, h.Get(upstream.HeaderNotAfter))
	if err == nil && !time.Now().Before(notAfter) {
		return nil, false, upstream.WhyLate
	}
	if u.faults.active(faultLeaving) {
		return nil, false, upstream.WhyLeaving
	}
	if u.faults.active(faultBusy) || u.busy >= u.config.Slots {
		return nil, false, upstream.WhyBusy
	}
	u.busy++
	j = &execution{id: id, stop: make(chan struct{}), done: make(chan struct{})}
	u.tasks[id] = j
	u.starts = append(u.starts, Start{ID: id, Team: h.Get(upstream.HeaderTeam), VM: u.config.VM, Time: time.Now()})
	return j, true, ""
}

// run carries a task out and stores its answer.
func (u *Upstream) run(j *execution, h http.Header, body []byte) {
	start := time.Now()
	lease, err := time.ParseDuration(h.Get(upstream.HeaderLease))
	if err != nil {
		lease = fleet.MaxLease
	}
	status, stopped := http.StatusOK, false
	if u.faults.active(faultFail) {
		status = http.StatusInternalServerError
	} else {
		stopped = u.work(j, u.runTime(h.Get(upstream.HeaderQueue)), lease)
	}
	u.faults.hold(faultPause, nil)
	stopped = stopped || time.Since(start) > lease
	digest := sha256.Sum256(body)
	out := outcome{
		ID: j.id, Team: h.Get(upstream.HeaderTeam), VM: u.config.VM, Centre: u.config.Centre,
		Start: start, End: time.Now(), Digest: hex.EncodeToString(digest[:]),
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	u.busy--
	j.status = status
	if stopped {
		j.status = http.StatusGone
	}
	u.compose(j, h, out, body)
	u.remember(j)
	close(j.done)
}

// compose stores the answer: the caller's own bytes when it accepts only
// those, and else the outcome.
func (u *Upstream) compose(j *execution, h http.Header, out outcome, body []byte) {
	if h.Get("Accept") == "application/octet-stream" && j.status == http.StatusOK {
		j.kind, j.body = "application/octet-stream", body
		return
	}
	text, err := json.Marshal(out)
	if err != nil {
		text = []byte("{}")
	}
	j.kind, j.body = "application/json", text
}

func (u *Upstream) runTime(queue string) time.Duration {
	if d, ok := u.config.Runs[queue]; ok {
		return time.Duration(d)
	}
	return defaultRun
}

// work takes the run time and reports whether the task was stopped before its end.
func (u *Upstream) work(j *execution, d, lease time.Duration) bool {
	timer := time.NewTimer(min(d, lease))
	defer timer.Stop()
	select {
	case <-timer.C:
		return d > lease
	case <-j.stop:
		return true
	}
}

// remember forgets the oldest ended task when there are too many.
func (u *Upstream) remember(j *execution) {
	u.last = j
	u.ended = append(u.ended, j.id)
	if len(u.ended) > remembered {
		delete(u.tasks, u.ended[0])
		u.ended = u.ended[1:]
	}
}

func (u *Upstream) get(w http.ResponseWriter, r *http.Request) {
	id := r.PathValue("id")
	u.mu.Lock()
	j, ok := u.tasks[id]
	u.mu.Unlock()
	switch {
	case !ok:
		u.mark(w, id, "")
		reply(w, http.StatusNotFound, problem{Title: "unseen"})
	case j.done == nil:
		u.refuse(w, id, http.StatusConflict, upstream.WhyFenced)
	case !closed(j.done):
		u.mark(w, id, upstream.RunYes)
		reply(w, http.StatusAccepted, problem{Title: "running", Run: upstream.RunYes})
	default:
		u.answer(w, r, j, false)
	}
}

func closed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

// remove stops a running task and fences an unseen one.
func (u *Upstream) remove(w http.ResponseWriter, r *http.Request) {
	id := r.PathValue("id")
	u.mu.Lock()
	j, ok := u.tasks[id]
	if !ok {
		j = &execution{id: id}
		u.tasks[id] = j
	}
	run := j.done != nil
	if run && !closed(j.done) && !closed(j.stop) {
		close(j.stop)
	}
	u.mu.Unlock()
	if !run {
		u.mark(w, id, upstream.RunNo)
		reply(w, http.StatusOK, problem{Title: "fenced", Run: upstream.RunNo})
		return
	}
	<-j.done
	u.mark(w, id, upstream.RunYes)
	reply(w, http.StatusOK, problem{Title: "stopped", Run: upstream.RunYes})
}

// steer accepts a checkpoint or throttle; the stand-in's tasks have nothing to keep.
func (u *Upstream) steer(w http.ResponseWriter, r *http.Request) {
	u.mu.Lock()
	j, ok := u.tasks[r.PathValue("id")]
	u.mu.Unlock()
	if !ok || j.done == nil {
		reply(w, http.StatusNotFound, problem{Title: "unseen"})
		return
	}
	reply(w, http.StatusAccepted, problem{Title: "accepted"})
}

func (u *Upstream) list(w http.ResponseWriter, _ *http.Request) {
	reply(w, http.StatusOK, u.Starts())
}

func (u *Upstream) usage(w http.ResponseWriter, _ *http.Request) {
	u.mu.Lock()
	use := upstream.Usage{Boot: u.boot, VM: u.config.VM, Slots: u.config.Slots, Running: u.busy, Leaving: u.faults.active(faultLeaving)}
	u.mu.Unlock()
	reply(w, http.StatusOK, use)
}

// reboot maintains the VM: it answers nothing for a while, and then has
// forgotten every task. A VM that runs tasks cuts them short.
func (u *Upstream) reboot(w http.ResponseWriter, _ *http.Request) {
	u.mu.Lock()
	for _, j := range u.tasks {
		if j.done != nil && !closed(j.done) && !closed(j.stop) {
			close(j.stop)
		}
	}
	u.tasks, u.ended = make(map[string]*execution), nil
	u.boot = rand.Text()
	u.mu.Unlock()
	u.faults.set(faultPause, u.config.Reboot)
	reply(w, http.StatusAccepted, problem{Title: "rebooting"})
}

// mark sets the headers that every answer about a task carries.
func (u *Upstream) mark(w http.ResponseWriter, id, run string) {
	u.mu.Lock()
	load, boot := u.busy, u.boot
	u.mu.Unlock()
	h := w.Header()
	h.Set(upstream.HeaderTask, id)
	h.Set(upstream.HeaderLoad, strconv.Itoa(load))
	h.Set(upstream.HeaderBoot, boot)
	if run != "" {
		h.Set(upstream.HeaderRun, run)
	}
}

func (u *Upstream) refuse(w http.ResponseWriter, id string, status int, why string) {
	u.mark(w, id, upstream.RunNo)
	w.Header().Set(upstream.HeaderWhy, why)
	reply(w, status, problem{Title: why, Run: upstream.RunNo})
}

// answer sends a finished task's answer. The first answer is subject to faults.
func (u *Upstream) answer(w http.ResponseWriter, r *http.Request, j *execution, first bool) {
	u.mu.Lock()
	status, kind, body, last := j.status, j.kind, j.body, u.last
	u.mu.Unlock()
	id := j.id
	if first && u.faults.active(faultSlow) {
		pause(upstreamDelay, r.Context().Done())
	}
	if first && u.faults.active(faultCrossed) {
		id, body = "crossed-"+last.id, last.body
	}
	sum := sha256.Sum256(body)
	u.mark(w, id, upstream.RunYes)
	h := w.Header()
	h.Set("Content-Type", kind)
	h.Set("Content-Length", strconv.Itoa(len(body)))
	h.Set(upstream.HeaderDigest, "sha-256=:"+base64.StdEncoding.EncodeToString(sum[:])+":")
	w.WriteHeader(status)
	if first && u.faults.active(faultCut) {
		_, _ = w.Write(body[:len(body)/2])
		_ = http.NewResponseController(w).Flush()
		hangUp(w)
	}
	_, _ = w.Write(body)
}

func pause(d time.Duration, done <-chan struct{}) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-done:
	}
}
