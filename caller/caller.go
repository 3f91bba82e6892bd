// Package caller serves the HTTP interface for callers, which submit tasks and get
// their outcomes.
//
// A caller submits a task by POST /queues/{queue}/tasks with an opaque body. The
// response is the upstream's, with the task's id in the header Task-Id, or a problem
// document whose member run says whether the task ran: no, unknown or yes.
//
// # Usage
//
//	h := caller.New(caller.Config{Backend: entry, MaxBodyBytes: 4 << 20})
//	err := http.Serve(listener, h)
package caller

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"

	"github.com/danielgtaylor/huma/v2"
	"github.com/danielgtaylor/huma/v2/adapters/humago"
	"github.com/go-faster/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"almondcove/entry"
	"almondcove/fleet"
	"almondcove/intake"
	"almondcove/problem"
	"almondcove/task"
)

// DefaultMaxBodyBytes is the default of Config.MaxBodyBytes.
const DefaultMaxBodyBytes = 4 << 20

// Backend is the entry that runs the tasks.
type Backend interface {
	// EffectiveConfig returns the configuration in force.
	EffectiveConfig() *fleet.Config
	// Submit runs one task and returns its id and outcome.
	Submit(ctx context.Context, c entry.Call) (task.ID, task.Outcome)
	// Leaving reports whether the entry is shutting down.
	Leaving() bool
	// MetricsGatherer returns the entry's metrics.
	MetricsGatherer() prometheus.Gatherer
}

// Config configures a [Handler].
type Config struct {
	Backend Backend
	// MaxBodyBytes is the largest body of a task; zero means DefaultMaxBodyBytes.
	MaxBodyBytes int64
	// Intake bounds the bodies that are being read; nil means the defaults.
	Intake *intake.Intake
}

// Handler serves the HTTP interface for callers.
type Handler struct {
	backend Backend
	intake  *intake.Intake
	router  http.Handler
	// goroutines tracks the goroutines that the handler starts for requests.
	goroutines sync.WaitGroup
	// unanswered is the number of requests whose task has no outcome yet or whose task
	// goroutine is still writing the response to a hijacked connection.
	unanswered atomic.Int64
}

// New returns the handler of the HTTP interface for callers.
func New(c Config) *Handler {
	problem.Install()
	if c.MaxBodyBytes <= 0 {
		c.MaxBodyBytes = DefaultMaxBodyBytes
	}
	if c.Intake == nil {
		c.Intake = intake.New(intake.Config{})
	}
	h := &Handler{backend: c.Backend, intake: c.Intake}
	mux := http.NewServeMux()
	config := huma.DefaultConfig("almondcove callers", "1")
	// The default hook adds a $schema member to every response.
	config.CreateHooks = nil
	api := humago.New(mux, config)
	h.register(api, c.MaxBodyBytes)
	mux.Handle("GET /metrics", promhttp.HandlerFor(h.metrics(), promhttp.HandlerOpts{}))
	h.router = mux
	return h
}

// metrics returns the metrics of the entry and of the intake.
func (h *Handler) metrics() prometheus.Gatherer {
	registry := prometheus.NewRegistry()
	registry.MustRegister(h.intake)
	return prometheus.Gatherers{h.backend.MetricsGatherer(), registry}
}

// ServeHTTP answers one request. When the entry is leaving, it asks clients to close
// their connections, so that no connection is cut when the entry stops listening.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if h.backend.Leaving() {
		w.Header().Set("Connection", "close")
	}
	h.router.ServeHTTP(w, r)
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
		body, err := in.readBody(ctx, h.intake, maxBody)
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

// submission is the input of the operation that submits a task.
type submission struct {
	Queue         string `path:"queue" doc:"the queue that takes the task"`
	Authorization string `header:"Authorization" doc:"Bearer and the team's key"`
	Idempotency   string `header:"Idempotency-Key" maxLength:"255" doc:"makes repeated requests with the same key run once"`
	Deadline      string `header:"Task-Deadline" doc:"how long the task may wait for its start, such as 2s"`
	Type          string `header:"Content-Type" doc:"passed on to the upstream"`
	Accept        string `header:"Accept" doc:"passed on to the upstream"`
	// The handler reads body itself. The library would read it into a buffer that it
	// reuses after the response, when the body may still be in transit to a VM.
	body   io.Reader
	length int64
}

// Resolve implements [huma.Resolver]. It keeps the request's body reader and length
// for readBody.
func (s *submission) Resolve(ctx huma.Context) []error {
	s.body, s.length = ctx.BodyReader(), -1
	if n, err := strconv.ParseInt(ctx.Header("Content-Length"), 10, 64); err == nil {
		s.length = n
	}
	return nil
}

// readBody returns the whole body, which counts as waiting until its release, or a problem
// document if the body is longer than maxBytes or can't be read or kept.
func (s *submission) readBody(ctx context.Context, limits *intake.Intake, maxBytes int64) (*intake.Body, error) {
	if s.body == nil || s.length == 0 {
		return &intake.Body{}, nil
	}
	tooLarge := problem.New(http.StatusRequestEntityTooLarge, "body too large", "the bound is "+strconv.FormatInt(maxBytes, 10)+" bytes").WithRun(problem.DidNotRun)
	if s.length > maxBytes {
		return nil, tooLarge
	}
	body, err := limits.Read(ctx, io.LimitReader(s.body, maxBytes+1))
	if err == nil && int64(len(body.Data)) > maxBytes {
		body.Release()
		return nil, tooLarge
	}
	if err == nil {
		err = body.Keep(int64(len(body.Data)))
	}
	if ended, ok := errors.Into[*intake.EndedError](err); ok {
		return nil, endedProblem(ended)
	}
	if err != nil {
		return nil, problem.New(http.StatusBadRequest, "broken body", "the body could not be read to its end: "+err.Error()).WithRun(problem.DidNotRun)
	}
	return body, nil
}

// endedProblem returns the problem document of a request that a limit has ended.
func endedProblem(err *intake.EndedError) *problem.Problem {
	title, detail := "body not read", "the body was not read to its end: "
	if err.Reason == intake.Backlog {
		title, detail = "no room", "the tasks that wait have too many bytes: "
	}
	return problem.New(http.StatusServiceUnavailable, title, detail+err.Error()).
		WithRun(problem.DidNotRun).WithRetryAfter(intake.RetryAfter)
}

// submit runs one task. If the task takes longer than hijackDelay, the response
// function of the result hijacks the connection and the response comes later.
func (h *Handler) submit(ctx context.Context, in *submission, body *intake.Body) (*huma.StreamResponse, error) {
	call, err := h.newCall(in, body.Data)
	if err != nil {
		body.Release()
		return nil, err
	}
	pending := h.startTask(ctx, call, body.Release)
	select {
	case r := <-pending.done:
		pending.release()
		return humaResponse(r)
	case <-pending.hijackTimer.C:
		return &huma.StreamResponse{Body: func(out huma.Context) { h.hijack(out, pending) }}, nil
	}
}

// humaResponse returns the upstream's answer as a response, or the problem document
// as an error.
func humaResponse(r result) (*huma.StreamResponse, error) {
	if p := problemForOutcome(r.id, r.outcome); p != nil {
		return nil, p
	}
	return &huma.StreamResponse{Body: func(out huma.Context) {
		resp := newResponse(r)
		for name, values := range resp.header {
			out.SetHeader(name, values[0])
		}
		out.SetStatus(resp.status)
		// A write fails if the caller has closed the connection; nobody is left to tell.
		_, _ = out.BodyWriter().Write(resp.body)
	}}, nil
}

// status is the output of the health checks. The schema name StatusBody in
// /openapi.json derives from the name of this type.
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
