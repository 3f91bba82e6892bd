// Package caller serves the HTTP interface for callers: it takes tasks and
// answers with what became of them.
//
// A task is POST /queues/{queue}/tasks with an opaque body. The answer is the
// upstream's own, with the task's id in the header Task-Id, or a problem
// document whose member run says whether the task ran: no, unknown or yes.
//
// # Usage
//
//	h := caller.New(caller.Config{Backend: entry, MaxBody: 4 << 20})
//	err := http.Serve(listener, h)
package caller

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/danielgtaylor/huma/v2"
	"github.com/danielgtaylor/huma/v2/adapters/humago"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"almondcove/entry"
	"almondcove/fleet"
	"almondcove/problem"
	"almondcove/task"
)

// DefaultMaxBody bounds the body of a task unless configured.
const DefaultMaxBody = 4 << 20

// bodyTimeout bounds the time to read a body.
const bodyTimeout = 30 * time.Second

// Backend runs the tasks.
type Backend interface {
	// EffectiveConfig returns the configuration in force.
	EffectiveConfig() *fleet.Config
	// Submit runs one task.
	Submit(ctx context.Context, c entry.Call) (task.ID, task.Outcome)
	// Leaving reports whether the entry is shutting down.
	Leaving() bool
	// MetricsGatherer returns the entry's metrics.
	MetricsGatherer() prometheus.Gatherer
}

// Config configures the interface.
type Config struct {
	Backend Backend
	// MaxBody bounds the body of a task in bytes; zero means DefaultMaxBody.
	MaxBody int64
}

// Handler serves callers.
type Handler struct {
	backend Backend
	next    http.Handler
	// parked counts the goroutines of requests, open the requests without an answer.
	parked sync.WaitGroup
	open   atomic.Int64
}

// New returns the handler of the interface.
func New(c Config) *Handler {
	problem.Use()
	if c.MaxBody <= 0 {
		c.MaxBody = DefaultMaxBody
	}
	h := &Handler{backend: c.Backend}
	mux := http.NewServeMux()
	config := huma.DefaultConfig("almondcove callers", "1")
	// The default hook adds a $schema member to every answer.
	config.CreateHooks = nil
	api := humago.New(mux, config)
	h.register(api, c.MaxBody)
	mux.Handle("GET /metrics", promhttp.HandlerFor(c.Backend.MetricsGatherer(), promhttp.HandlerOpts{}))
	h.next = mux
	return h
}

// ServeHTTP answers one request. Once the entry is leaving it asks clients to
// close their connections, so that none is cut when it stops listening.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if h.backend.Leaving() {
		w.Header().Set("Connection", "close")
	}
	h.next.ServeHTTP(w, r)
}

func (h *Handler) register(api huma.API, maxBody int64) {
	huma.Register(api, huma.Operation{
		OperationID: "submit-task",
		Method:      http.MethodPost,
		Path:        "/queues/{queue}/tasks",
		Summary:     "Run a task",
		Description: "Runs the task and answers with the upstream's whole answer.",
		RequestBody: &huma.RequestBody{
			Description: "opaque; passed on to the upstream",
			Content:     map[string]*huma.MediaType{"application/octet-stream": {Schema: &huma.Schema{Type: "string", Format: "binary"}}},
		},
		Errors: []int{
			http.StatusUnauthorized, http.StatusForbidden, http.StatusNotFound, http.StatusRequestEntityTooLarge,
			http.StatusTooManyRequests, http.StatusBadGateway, http.StatusServiceUnavailable, http.StatusGatewayTimeout,
		},
	}, func(ctx context.Context, in *submission) (*huma.StreamResponse, error) {
		body, err := in.read(maxBody)
		if err != nil {
			return nil, err
		}
		return h.submit(ctx, in, body)
	})
	huma.Register(api, huma.Operation{
		OperationID: "health", Method: http.MethodGet, Path: "/healthz", Summary: "Whether the process runs",
	}, h.health)
	huma.Register(api, huma.Operation{
		OperationID: "ready", Method: http.MethodGet, Path: "/readyz", Summary: "Whether the entry takes tasks",
	}, h.ready)
}

// submission is the input of a task.
type submission struct {
	Queue         string `path:"queue" doc:"the queue that takes the task"`
	Authorization string `header:"Authorization" doc:"Bearer and the team's key"`
	Idempotency   string `header:"Idempotency-Key" maxLength:"255" doc:"makes repeated requests with the same key run once"`
	Deadline      string `header:"Task-Deadline" doc:"how long the task may wait for its start, such as 2s"`
	Type          string `header:"Content-Type" doc:"passed on to the upstream"`
	Accept        string `header:"Accept" doc:"passed on to the upstream"`
	// body is read by the handler itself: the library would keep it in memory
	// that it uses again after the answer, when it may still be on its way to a VM.
	body   io.Reader
	length int64
}

// Resolve takes note of the request's body.
func (s *submission) Resolve(ctx huma.Context) []error {
	// The bound is there before the first byte is read.
	_ = ctx.SetReadDeadline(time.Now().Add(bodyTimeout))
	s.body, s.length = ctx.BodyReader(), -1
	if n, err := strconv.ParseInt(ctx.Header("Content-Length"), 10, 64); err == nil {
		s.length = n
	}
	return nil
}

// read returns the whole body.
func (s *submission) read(most int64) ([]byte, error) {
	if s.body == nil || s.length == 0 {
		return nil, nil
	}
	tooLarge := problem.New(http.StatusRequestEntityTooLarge, "body too large", "the bound is "+strconv.FormatInt(most, 10)+" bytes").Run(problem.No)
	if s.length > most {
		return nil, tooLarge
	}
	var body []byte
	var err error
	if s.length > 0 {
		body = make([]byte, s.length)
		_, err = io.ReadFull(s.body, body)
	} else {
		body, err = io.ReadAll(io.LimitReader(s.body, most+1))
	}
	switch {
	case err != nil:
		return nil, problem.New(http.StatusBadRequest, "broken body", "the body could not be read to its end: "+err.Error()).Run(problem.No)
	case int64(len(body)) > most:
		return nil, tooLarge
	}
	return body, nil
}

// submit runs one task.
func (h *Handler) submit(ctx context.Context, in *submission, body []byte) (*huma.StreamResponse, error) {
	call, err := h.check(in, body)
	if err != nil {
		return nil, err
	}
	w := h.start(ctx, call)
	select {
	case r := <-w.done:
		w.release()
		return respond(r)
	case <-w.slow.C:
		return &huma.StreamResponse{Body: func(out huma.Context) { h.park(out, w) }}, nil
	}
}

// respond returns the whole answer, or the problem document as an error.
func respond(r result) (*huma.StreamResponse, error) {
	if p := refusal(r.id, r.outcome); p != nil {
		return nil, p
	}
	return &huma.StreamResponse{Body: func(out huma.Context) {
		a := answerOf(r)
		for name, values := range a.header {
			out.SetHeader(name, values[0])
		}
		out.SetStatus(a.status)
		// A caller that went away misses its answer; there is nobody to tell.
		_, _ = out.BodyWriter().Write(a.body)
	}}, nil
}

type status struct {
	Body struct {
		State string `json:"state" doc:"ok, or why not"`
	}
}

func (h *Handler) health(context.Context, *struct{}) (*status, error) {
	out := &status{}
	out.Body.State = "ok"
	return out, nil
}

func (h *Handler) ready(context.Context, *struct{}) (*status, error) {
	switch {
	case h.backend.Leaving():
		return nil, problem.New(http.StatusServiceUnavailable, "leaving", "the entry is shutting down")
	case h.backend.EffectiveConfig().Head.Rev == 0:
		return nil, problem.New(http.StatusServiceUnavailable, "unready", "the entry has no configuration yet")
	}
	out := &status{}
	out.Body.State = "ok"
	return out, nil
}
