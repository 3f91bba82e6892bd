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

// The faults of an upstream, besides faultSlow, which delays answers to tasks by
// slowResponseDelay.
const (
	// faultSilent silences the connections that are open when it is set.
	faultSilent = "silent"
	// faultCrossed answers with the body of the most recently ended task, under an id
	// that no task has.
	faultCrossed = "crossed"
	// faultCut closes the connection after half of the body of an answer.
	faultCut = "cut"
	// faultFail ends new tasks at once with an internal server error.
	faultFail = "fail"
	// faultBusy refuses new tasks as if all slots were in use.
	faultBusy = "busy"
	// faultLeaving refuses new tasks and reports that the VM is leaving.
	faultLeaving = "leaving"
	// faultPause blocks calls and the ends of tasks.
	faultPause = "pause"
)

// The defaults and limits of an upstream.
const (
	// defaultRunTime is the run time of a task whose queue is not in
	// UpstreamConfig.RunTimes.
	defaultRunTime = 20 * time.Millisecond
	// slowResponseDelay is the delay of each answer to a task under faultSlow.
	slowResponseDelay = time.Second
	defaultRebootTime = 2 * time.Second
	maxBodyBytes      = 16 << 20
	// maxEndedTasks is how many ended tasks an upstream remembers. It bounds the memory
	// that they take.
	maxEndedTasks = 200_000
)

// UpstreamConfig configures an Upstream.
type UpstreamConfig struct {
	VM     string `json:"vm"`
	Centre string `json:"centre"`
	Slots  int    `json:"slots"`
	// RunTimes holds the run time of tasks by queue. Tasks of other queues take 20 ms.
	RunTimes map[string]fleet.Duration `json:"runs,omitempty"`
	// RebootTime is how long a reboot takes; zero means 2 s.
	RebootTime time.Duration `json:"-"`
}

// Upstream is a stand-in for one upstream VM, which runs tasks that it gets over HTTP.
// It is an [http.Handler]. Tasks do nothing but wait for their run time.
type Upstream struct {
	config    UpstreamConfig
	bootID    string
	mux       *http.ServeMux
	faults    *faults
	conns     connections
	mu        sync.Mutex
	tasks     map[string]*taskState
	endedIDs  []string
	starts    []TaskStart
	usedSlots int
	lastEnded *taskState
}

// TaskStart is one start of a task, as listed by GET /tasks.
type TaskStart struct {
	ID   string    `json:"id"`
	Team string    `json:"team"`
	VM   string    `json:"vm"`
	Time time.Time `json:"time"`
}

// taskState is what the upstream knows of one task.
type taskState struct {
	id string
	// done is closed when the task has ended. It is nil for a task that was fenced
	// before it arrived, so that it never runs.
	done        chan struct{}
	stop        chan struct{}
	status      int
	contentType string
	body        []byte
}

// outcome is the JSON body of the answer to a task that has ended.
type outcome struct {
	ID     string    `json:"id"`
	Team   string    `json:"team"`
	VM     string    `json:"vm"`
	Centre string    `json:"centre"`
	Start  time.Time `json:"start"`
	End    time.Time `json:"end"`
	Digest string    `json:"digest"`
}

// NewUpstream returns an upstream without tasks.
func NewUpstream(c UpstreamConfig) *Upstream {
	if c.RebootTime <= 0 {
		c.RebootTime = defaultRebootTime
	}
	u := &Upstream{config: c, bootID: rand.Text(), mux: http.NewServeMux(), tasks: make(map[string]*taskState)}
	u.faults = newFaults(u.applyFault, faultSilent, faultSlow, faultCrossed, faultCut, faultFail, faultBusy, faultLeaving, faultPause)
	u.mux.HandleFunc("PUT /tasks/{id}", u.putTask)
	u.mux.HandleFunc("GET /tasks/{id}", u.getTask)
	u.mux.HandleFunc("DELETE /tasks/{id}", u.deleteTask)
	u.mux.HandleFunc("POST /tasks/{id}/checkpoint", u.controlTask)
	u.mux.HandleFunc("POST /tasks/{id}/throttle", u.controlTask)
	u.mux.HandleFunc("GET /tasks", u.listStarts)
	u.mux.HandleFunc("GET /usage", u.usage)
	u.mux.HandleFunc("POST /reboot", u.reboot)
	u.mux.Handle("/faults", u.faults)
	return u
}

// ServeHTTP serves the calls of the task protocol and /faults. While the fault
// "pause" is active, all calls except /faults and GET /tasks block.
func (u *Upstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/faults" && !strings.HasSuffix(r.URL.Path, "/tasks") {
		u.faults.waitWhileActive(faultPause, r.Context().Done())
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

// Starts returns the starts of all tasks, also those from before a reboot.
func (u *Upstream) Starts() []TaskStart {
	u.mu.Lock()
	defer u.mu.Unlock()
	return append([]TaskStart{}, u.starts...)
}

// applyFault carries out the one-time effect of a fault when it is set.
func (u *Upstream) applyFault(kind string, _ time.Duration) {
	if kind == faultSilent {
		u.conns.silenceAll()
	}
}

func (u *Upstream) putTask(w http.ResponseWriter, r *http.Request) {
	id := r.PathValue("id")
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		u.refuseTask(w, id, http.StatusRequestEntityTooLarge, "body")
		return
	}
	u.faults.waitWhileActive(faultPause, r.Context().Done())
	t, isNew, refusal := u.admitTask(id, r.Header)
	if refusal != "" {
		u.refuseTask(w, id, refusalStatus(refusal), refusal)
		return
	}
	if isNew {
		go u.runTask(t, r.Header.Clone(), body)
	}
	select {
	case <-t.done:
	case <-r.Context().Done():
		// The task continues; its answer can be fetched by id.
		return
	}
	u.writeResponse(w, r, t, true)
}

// refusalStatus returns the status code for a reason to refuse a task.
func refusalStatus(refusal string) int {
	switch refusal {
	case upstream.RefusalBusy:
		return http.StatusTooManyRequests
	case upstream.RefusalLate:
		return http.StatusPreconditionFailed
	case upstream.RefusalFenced:
		return http.StatusConflict
	}
	return http.StatusServiceUnavailable
}

// admitTask returns the state of a task. If the task is unknown and may start,
// admitTask registers it and sets isNew. If it refuses the task, refusal is one of the
// values of upstream.HeaderWhy.
func (u *Upstream) admitTask(id string, h http.Header) (t *taskState, isNew bool, refusal string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if t, ok := u.tasks[id]; ok {
		if t.done == nil {
			return nil, false, upstream.RefusalFenced
		}
		return t, false, ""
	}
	notAfter, err := time.Parse(time.RFC3339Nano, h.Get(upstream.HeaderNotAfter))
	if err == nil && !time.Now().Before(notAfter) {
		return nil, false, upstream.RefusalLate
	}
	if u.faults.active(faultLeaving) {
		return nil, false, upstream.RefusalLeaving
	}
	if u.faults.active(faultBusy) || u.usedSlots >= u.config.Slots {
		return nil, false, upstream.RefusalBusy
	}
	u.usedSlots++
	t = &taskState{id: id, stop: make(chan struct{}), done: make(chan struct{})}
	u.tasks[id] = t
	u.starts = append(u.starts, TaskStart{ID: id, Team: h.Get(upstream.HeaderTeam), VM: u.config.VM, Time: time.Now()})
	return t, true, ""
}

// runTask runs a task and stores its answer.
func (u *Upstream) runTask(t *taskState, h http.Header, body []byte) {
	start := time.Now()
	lease, err := time.ParseDuration(h.Get(upstream.HeaderLease))
	if err != nil {
		lease = fleet.MaxLease
	}
	status, stopped := http.StatusOK, false
	if u.faults.active(faultFail) {
		status = http.StatusInternalServerError
	} else {
		stopped = u.simulateRun(t, u.runTimeOf(h.Get(upstream.HeaderQueue)), lease)
	}
	u.faults.waitWhileActive(faultPause, nil)
	// The lease may have expired during a pause.
	stopped = stopped || time.Since(start) > lease
	digest := sha256.Sum256(body)
	out := outcome{
		ID: t.id, Team: h.Get(upstream.HeaderTeam), VM: u.config.VM, Centre: u.config.Centre,
		Start: start, End: time.Now(), Digest: hex.EncodeToString(digest[:]),
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	u.usedSlots--
	t.status = status
	if stopped {
		t.status = http.StatusGone
	}
	u.setResponse(t, h, out, body)
	u.recordEnd(t)
	close(t.done)
}

// setResponse stores the answer to a task: the body of its request if the task
// succeeded and the caller accepts only application/octet-stream, and otherwise the
// outcome as JSON.
func (u *Upstream) setResponse(t *taskState, h http.Header, out outcome, body []byte) {
	if h.Get("Accept") == "application/octet-stream" && t.status == http.StatusOK {
		t.contentType, t.body = "application/octet-stream", body
		return
	}
	text, err := json.Marshal(out)
	if err != nil {
		text = []byte("{}")
	}
	t.contentType, t.body = "application/json", text
}

func (u *Upstream) runTimeOf(queue string) time.Duration {
	if d, ok := u.config.RunTimes[queue]; ok {
		return time.Duration(d)
	}
	return defaultRunTime
}

// simulateRun waits for the run time d, the lease or a stop, whichever ends first. It
// reports whether the task was stopped before d had passed.
func (u *Upstream) simulateRun(t *taskState, d, lease time.Duration) bool {
	timer := time.NewTimer(min(d, lease))
	defer timer.Stop()
	select {
	case <-timer.C:
		return d > lease
	case <-t.stop:
		return true
	}
}

// recordEnd records that a task has ended, and forgets the oldest ended task if there
// are more than maxEndedTasks.
func (u *Upstream) recordEnd(t *taskState) {
	u.lastEnded = t
	u.endedIDs = append(u.endedIDs, t.id)
	if len(u.endedIDs) > maxEndedTasks {
		delete(u.tasks, u.endedIDs[0])
		u.endedIDs = u.endedIDs[1:]
	}
}

func (u *Upstream) getTask(w http.ResponseWriter, r *http.Request) {
	id := r.PathValue("id")
	u.mu.Lock()
	t, ok := u.tasks[id]
	u.mu.Unlock()
	switch {
	case !ok:
		u.setTaskHeaders(w, id, "")
		writeJSON(w, http.StatusNotFound, problem{Title: "unseen"})
	case t.done == nil:
		u.refuseTask(w, id, http.StatusConflict, upstream.RefusalFenced)
	case !isClosed(t.done):
		u.setTaskHeaders(w, id, upstream.RunYes)
		writeJSON(w, http.StatusAccepted, problem{Title: "running", Run: upstream.RunYes})
	default:
		u.writeResponse(w, r, t, false)
	}
}

func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

// deleteTask stops a running task. It fences a task that the upstream doesn't know, so
// that it never starts.
func (u *Upstream) deleteTask(w http.ResponseWriter, r *http.Request) {
	id := r.PathValue("id")
	u.mu.Lock()
	t, ok := u.tasks[id]
	if !ok {
		t = &taskState{id: id}
		u.tasks[id] = t
	}
	started := t.done != nil
	if started && !isClosed(t.done) && !isClosed(t.stop) {
		close(t.stop)
	}
	u.mu.Unlock()
	if !started {
		u.setTaskHeaders(w, id, upstream.RunNo)
		writeJSON(w, http.StatusOK, problem{Title: "fenced", Run: upstream.RunNo})
		return
	}
	<-t.done
	u.setTaskHeaders(w, id, upstream.RunYes)
	writeJSON(w, http.StatusOK, problem{Title: "stopped", Run: upstream.RunYes})
}

// controlTask accepts a checkpoint or throttle request for a task. Neither has an
// effect, because the tasks have no state.
func (u *Upstream) controlTask(w http.ResponseWriter, r *http.Request) {
	u.mu.Lock()
	t, ok := u.tasks[r.PathValue("id")]
	u.mu.Unlock()
	if !ok || t.done == nil {
		writeJSON(w, http.StatusNotFound, problem{Title: "unseen"})
		return
	}
	writeJSON(w, http.StatusAccepted, problem{Title: "accepted"})
}

func (u *Upstream) listStarts(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, u.Starts())
}

func (u *Upstream) usage(w http.ResponseWriter, _ *http.Request) {
	u.mu.Lock()
	use := upstream.Usage{Boot: u.bootID, VM: u.config.VM, Slots: u.config.Slots, Running: u.usedSlots, Leaving: u.faults.active(faultLeaving)}
	u.mu.Unlock()
	writeJSON(w, http.StatusOK, use)
}

// reboot simulates the maintenance of the VM. It stops the running tasks, forgets all
// tasks and pauses the upstream for the reboot time.
func (u *Upstream) reboot(w http.ResponseWriter, _ *http.Request) {
	u.mu.Lock()
	for _, t := range u.tasks {
		if t.done != nil && !isClosed(t.done) && !isClosed(t.stop) {
			close(t.stop)
		}
	}
	u.tasks, u.endedIDs = make(map[string]*taskState), nil
	u.bootID = rand.Text()
	u.mu.Unlock()
	u.faults.set(faultPause, u.config.RebootTime)
	writeJSON(w, http.StatusAccepted, problem{Title: "rebooting"})
}

// setTaskHeaders sets the headers of every answer about a task.
func (u *Upstream) setTaskHeaders(w http.ResponseWriter, id, run string) {
	u.mu.Lock()
	load, bootID := u.usedSlots, u.bootID
	u.mu.Unlock()
	h := w.Header()
	h.Set(upstream.HeaderTask, id)
	h.Set(upstream.HeaderLoad, strconv.Itoa(load))
	h.Set(upstream.HeaderBoot, bootID)
	if run != "" {
		h.Set(upstream.HeaderRun, run)
	}
}

func (u *Upstream) refuseTask(w http.ResponseWriter, id string, status int, refusal string) {
	u.setTaskHeaders(w, id, upstream.RunNo)
	w.Header().Set(upstream.HeaderWhy, refusal)
	writeJSON(w, status, problem{Title: refusal, Run: upstream.RunNo})
}

// writeResponse sends the answer to a task that has ended. injectFaults is set for the
// answer to the request that submits the task; only that answer is subject to the
// faults "slow", "crossed" and "cut".
func (u *Upstream) writeResponse(w http.ResponseWriter, r *http.Request, t *taskState, injectFaults bool) {
	u.mu.Lock()
	status, contentType, body, lastEnded := t.status, t.contentType, t.body, u.lastEnded
	u.mu.Unlock()
	id := t.id
	if injectFaults && u.faults.active(faultSlow) {
		sleep(slowResponseDelay, r.Context().Done())
	}
	if injectFaults && u.faults.active(faultCrossed) {
		id, body = "crossed-"+lastEnded.id, lastEnded.body
	}
	sum := sha256.Sum256(body)
	u.setTaskHeaders(w, id, upstream.RunYes)
	h := w.Header()
	h.Set("Content-Type", contentType)
	h.Set("Content-Length", strconv.Itoa(len(body)))
	h.Set(upstream.HeaderDigest, "sha-256=:"+base64.StdEncoding.EncodeToString(sum[:])+":")
	w.WriteHeader(status)
	if injectFaults && u.faults.active(faultCut) {
		_, _ = w.Write(body[:len(body)/2])
		_ = http.NewResponseController(w).Flush()
		abortConnection(w)
	}
	_, _ = w.Write(body)
}

// sleep waits for d, or until done is closed.
func sleep(d time.Duration, done <-chan struct{}) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-done:
	}
}
