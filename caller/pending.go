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

// The time limits of pending requests.
const (
	// hijackDelay is how long a task may take before the handler hijacks its
	// connection. The HTTP server's buffers and goroutine stacks for a waiting request
	// take more memory than the task itself.
	hijackDelay = 100 * time.Millisecond
	// writeTimeout is the time limit for writing a response to a hijacked connection.
	writeTimeout = time.Minute
)

// result is the id and the outcome of a task.
type result struct {
	id      task.ID
	outcome task.Outcome
}

// pendingRequest is a caller's request whose task has been submitted.
type pendingRequest struct {
	done        chan result
	hijackTimer *time.Timer
	cancel      context.CancelFunc
	// stopPropagation ends the propagation of cancellation from the context of the
	// request to the task.
	stopPropagation func() bool

	mu sync.Mutex
	// final is nil until the task has its outcome, and conn is nil until the connection
	// is hijacked. The goroutine that sets the later of the two writes the response.
	final *result
	conn  net.Conn
}

// startTask submits a task in a goroutine of its own, and calls releaseBody once the task
// has its outcome. Until the connection is hijacked, the end of the request's context
// cancels the task.
func (h *Handler) startTask(ctx context.Context, call entry.Call, releaseBody func()) *pendingRequest {
	taskCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	p := &pendingRequest{
		done:            make(chan result, 1),
		hijackTimer:     time.NewTimer(hijackDelay),
		cancel:          cancel,
		stopPropagation: context.AfterFunc(ctx, cancel),
	}
	h.unanswered.Add(1)
	h.goroutines.Go(func() {
		defer h.unanswered.Add(-1)
		id, outcome := h.backend.Submit(taskCtx, call)
		releaseBody()
		p.complete(result{id, outcome})
	})
	return p
}

// complete records the result, and writes the response if the connection is
// hijacked.
func (p *pendingRequest) complete(r result) {
	p.mu.Lock()
	p.final = &r
	conn := p.conn
	p.mu.Unlock()
	p.done <- r
	if conn != nil {
		newResponse(r).writeToConn(conn)
	}
}

// release stops the timer and frees the contexts of a request that is answered
// through the HTTP server.
func (p *pendingRequest) release() {
	p.hijackTimer.Stop()
	p.stopPropagation()
	p.cancel()
}

// hijack takes over the connection of a pending request from the HTTP server, so
// that the server's goroutine can end. The goroutine of the task writes the
// response, or hijack does if the task has already ended. If the connection can't be
// hijacked, hijack waits for the result and answers through the HTTP server.
func (h *Handler) hijack(out huma.Context, p *pendingRequest) {
	_, rw := humago.Unwrap(out)
	conn, _, err := http.NewResponseController(rw).Hijack()
	if err != nil {
		writeResponse(rw, newResponse(<-p.done))
		p.release()
		return
	}
	p.stopPropagation()
	h.goroutines.Go(func() { cancelOnClose(conn, p.cancel) })
	p.mu.Lock()
	p.conn = conn
	final := p.final
	p.mu.Unlock()
	if final != nil {
		newResponse(*final).writeToConn(conn)
	}
}

// cancelOnClose cancels the task when the caller closes the connection. It discards
// any bytes it reads, since a caller sends its next request only after the response.
func cancelOnClose(conn net.Conn, cancel context.CancelFunc) {
	defer cancel()
	// Clear the deadlines that were set while the HTTP server had the connection.
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

// Wait blocks until every request has its response or ctx ends. It returns the
// number of requests without a response.
func (h *Handler) Wait(ctx context.Context) int {
	done := make(chan struct{})
	go func() {
		h.goroutines.Wait()
		close(done)
	}()
	select {
	case <-done:
		return 0
	case <-ctx.Done():
		return int(h.unanswered.Load())
	}
}

// response is an HTTP response to a caller.
type response struct {
	status int
	header http.Header
	body   []byte
}

// forwardedHeaders lists the headers that are copied from the upstream's answer.
var forwardedHeaders = []string{"Content-Type", "Content-Digest"}

// newResponse returns the HTTP response for a result: the upstream's answer or a
// problem document.
func newResponse(r result) response {
	if p := problemForOutcome(r.id, r.outcome); p != nil {
		body, err := json.Marshal(p)
		if err != nil {
			// A problem holds plain text and numbers, which always encode.
			panic(err)
		}
		header := p.GetHeaders()
		header.Set("Content-Type", p.ContentType(""))
		return withContentLength(response{status: p.Status, header: header, body: body})
	}
	out := r.outcome.(task.Answered)
	header := http.Header{}
	header.Set("Task-Id", string(r.id))
	header.Set("Task-Vm", out.VM)
	for _, name := range forwardedHeaders {
		if v := out.Header.Get(name); v != "" {
			header.Set(name, v)
		}
	}
	return withContentLength(response{status: out.Status, header: header, body: out.Body})
}

func withContentLength(resp response) response {
	resp.header.Set("Content-Length", strconv.Itoa(len(resp.body)))
	return resp
}

// writeResponse writes the response through the HTTP server.
func writeResponse(w http.ResponseWriter, resp response) {
	for name, values := range resp.header {
		w.Header()[name] = values
	}
	w.WriteHeader(resp.status)
	// A write fails if the caller has closed the connection; nobody is left to tell.
	_, _ = w.Write(resp.body)
}

// writeToConn writes the response to a hijacked connection and closes the
// connection, which makes cancelOnClose return.
func (resp response) writeToConn(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	resp.header.Set("Date", time.Now().UTC().Format(http.TimeFormat))
	httpResponse := http.Response{
		StatusCode:    resp.status,
		ProtoMajor:    1,
		ProtoMinor:    1,
		Header:        resp.header,
		ContentLength: int64(len(resp.body)),
		Body:          io.NopCloser(bytes.NewReader(resp.body)),
		Close:         true,
	}
	// A write fails if the caller has closed the connection; nobody is left to tell.
	_ = conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	_ = httpResponse.Write(conn)
}
