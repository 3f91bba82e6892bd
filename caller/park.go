package caller

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/danielgtaylor/huma/v2"
	"github.com/danielgtaylor/huma/v2/adapters/humago"

	"almondcove/entry"
	"almondcove/task"
)

// The times of parked requests.
const (
	// parkAfter is how long a task may take before its connection is taken over
	// from the HTTP server, whose buffers and stacks cost more than the task.
	parkAfter = 100 * time.Millisecond
	// writeTimeout bounds the time to write an answer to a parked request.
	writeTimeout = time.Minute
)

// result is what became of a task.
type result struct {
	id      task.ID
	outcome task.Outcome
}

// wait is a task on its way, with the caller's request.
type wait struct {
	done   chan result
	slow   *time.Timer
	cancel context.CancelFunc
	// unlink ends the tie to the request's own context.
	unlink func() bool

	mu sync.Mutex
	// ended is set once the task has its outcome, and conn once the request is
	// parked. Whoever comes second writes the answer.
	ended *result
	conn  net.Conn
}

// start submits a task. It is canceled with the request's context until the
// request is parked.
func (h *Handler) start(ctx context.Context, call entry.Call) *wait {
	inner, cancel := context.WithCancel(context.WithoutCancel(ctx))
	w := &wait{
		done:   make(chan result, 1),
		slow:   time.NewTimer(parkAfter),
		cancel: cancel,
		unlink: context.AfterFunc(ctx, cancel),
	}
	h.open.Add(1)
	h.parked.Go(func() {
		defer h.open.Add(-1)
		id, outcome := h.backend.Submit(inner, call)
		w.end(result{id, outcome})
	})
	return w
}

// end takes note of the outcome, and answers when the request is parked.
func (w *wait) end(r result) {
	w.mu.Lock()
	w.ended = &r
	conn := w.conn
	w.mu.Unlock()
	w.done <- r
	if conn != nil {
		answerOf(r).send(conn)
	}
}

// release frees what a request that was answered in place has taken.
func (w *wait) release() {
	w.slow.Stop()
	w.unlink()
	w.cancel()
}

// park takes the connection over from the HTTP server, whose goroutine ends.
// The answer comes from the task's own goroutine. Where the connection can't be
// taken over, the request waits in place.
func (h *Handler) park(out huma.Context, w *wait) {
	_, rw := humago.Unwrap(out)
	conn, _, err := http.NewResponseController(rw).Hijack()
	if err != nil {
		write(rw, answerOf(<-w.done))
		w.release()
		return
	}
	w.unlink()
	h.parked.Go(func() { watch(conn, w.cancel) })
	w.mu.Lock()
	w.conn = conn
	ended := w.ended
	w.mu.Unlock()
	if ended != nil {
		answerOf(*ended).send(conn)
	}
}

// watch cancels the task when the caller closes the connection. Nothing else
// can come: a caller sends its next request after the answer.
func watch(conn net.Conn, cancel context.CancelFunc) {
	defer cancel()
	// The deadlines of the server don't count any more.
	if conn.SetDeadline(time.Time{}) != nil {
		return
	}
	var b [1]byte
	for {
		if _, err := conn.Read(b[:]); err != nil {
			return
		}
	}
}

// Wait blocks until every request has its answer, or ctx ends, and returns how
// many have none.
func (h *Handler) Wait(ctx context.Context) int {
	done := make(chan struct{})
	go func() {
		h.parked.Wait()
		close(done)
	}()
	select {
	case <-done:
		return 0
	case <-ctx.Done():
		return int(h.open.Load())
	}
}

// answer is an HTTP answer on its way to a caller.
type answer struct {
	status int
	header http.Header
	body   []byte
}

// passed are the upstream's headers that the caller gets.
var passed = []string{"Content-Type", "Content-Digest"}

// answerOf returns the HTTP answer for a result: the upstream's own, or a
// problem document.
func answerOf(r result) answer {
	if p := refusal(r.id, r.outcome); p != nil {
		body, err := json.Marshal(p)
		if err != nil {
			// A problem holds plain text and numbers, which always encode.
			panic(err)
		}
		header := p.GetHeaders()
		header.Set("Content-Type", p.ContentType(""))
		return finish(answer{status: p.Status, header: header, body: body})
	}
	out := r.outcome.(task.Answered)
	header := http.Header{}
	header.Set("Task-Id", string(r.id))
	header.Set("Task-Vm", out.VM)
	for _, name := range passed {
		if v := out.Header.Get(name); v != "" {
			header.Set(name, v)
		}
	}
	return finish(answer{status: out.Status, header: header, body: out.Body})
}

func finish(a answer) answer {
	a.header.Set("Content-Length", strconv.Itoa(len(a.body)))
	return a
}

// write writes the answer through the HTTP server.
func write(w http.ResponseWriter, a answer) {
	for name, values := range a.header {
		w.Header()[name] = values
	}
	w.WriteHeader(a.status)
	// A caller that went away misses its answer; there is nobody to tell.
	_, _ = w.Write(a.body)
}

// send writes the answer to a connection and closes it, which ends its watch.
func (a answer) send(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	a.header.Set("Date", time.Now().UTC().Format(http.TimeFormat))
	res := http.Response{
		StatusCode:    a.status,
		ProtoMajor:    1,
		ProtoMinor:    1,
		Header:        a.header,
		ContentLength: int64(len(a.body)),
		Body:          io.NopCloser(bytes.NewReader(a.body)),
		Close:         true,
	}
	// A caller that went away misses its answer; there is nobody to tell.
	_ = conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	_ = res.Write(conn)
}
