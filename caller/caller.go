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
	"net/http"
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
	// Settings returns the configuration in force.
	Settings() *fleet.Config
	// Submit runs one task.
	Submit(ctx context.Context, c entry.Call) (task.ID, task.Outcome)
	// Leaving reports whether the entry is shutting down.
	Leaving() bool
	// Gather returns the entry's metrics.
	Gather() prometheus.Gatherer
}

// Config configures the interface.
type Config struct {
	Backend Backend
	// MaxBody bounds the body of a task in bytes; zero means DefaultMaxBody.
	MaxBody int64
}

// handler serves callers.
type handler struct {
	backend Backend
}

// New returns the handler of the interface.
func New(c Config) http.Handler {
	problem.Use()
	if c.MaxBody <= 0 {
		c.MaxBody = DefaultMaxBody
	}
	h := &handler{backend: c.Backend}
	mux := http.NewServeMux()
	config := huma.DefaultConfig("almondcove callers", "1")
	// The default hook adds a $schema member to every answer.
	config.CreateHooks = nil
	api := humago.New(mux, config)
	h.register(api, c.MaxBody)
	mux.Handle("GET /metrics", promhttp.HandlerFor(c.Backend.Gather(), promhttp.HandlerOpts{}))
	return h.closing(mux)
}

// closing asks clients to close their connections once the entry is leaving,
// so that none is cut when it stops listening.
func (h *handler) closing(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if h.backend.Leaving() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

func (h *handler) register(api huma.API, maxBody int64) {
	body := &huma.RequestBody{Description: "opaque; passed on to the upstream", Content: make(map[string]*huma.MediaType)}
	huma.Register(api, huma.Operation{
		OperationID: "submit-task",
		Method:      http.MethodPost,
		Path:        "/queues/{queue}/tasks",
		Summary:     "Run a task",
		Description: "Runs the task and answers with the upstream's whole answer.",
		RequestBody: body,
		// A body that reaches the bound is refused by the library.
		MaxBodyBytes:     maxBody + 1,
		BodyReadTimeout:  bodyTimeout,
		SkipValidateBody: true,
		Errors: []int{
			http.StatusUnauthorized, http.StatusForbidden, http.StatusNotFound, http.StatusRequestEntityTooLarge,
			http.StatusTooManyRequests, http.StatusBadGateway, http.StatusServiceUnavailable, http.StatusGatewayTimeout,
		},
	}, h.submit)
	// The library requires a body by default; a task may do without.
	body.Required = false
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
	RawBody       []byte
}

// submit runs one task.
func (h *handler) submit(ctx context.Context, in *submission) (*huma.StreamResponse, error) {
	call, err := h.check(in)
	if err != nil {
		return nil, err
	}
	id, outcome := h.backend.Submit(ctx, call)
	if p := refusal(id, outcome); p != nil {
		return nil, p
	}
	answer := outcome.(task.Answered)
	return &huma.StreamResponse{Body: func(out huma.Context) { write(out, id, answer) }}, nil
}

// passed are the upstream's headers that the caller gets.
var passed = []string{"Content-Type", "Content-Length", "Content-Digest"}

func write(out huma.Context, id task.ID, answer task.Answered) {
	out.SetHeader("Task-Id", string(id))
	out.SetHeader("Task-Vm", answer.VM)
	for _, name := range passed {
		if v := answer.Header.Get(name); v != "" {
			out.SetHeader(name, v)
		}
	}
	out.SetStatus(answer.Status)
	// A caller that went away misses its answer; there is nobody to tell.
	_, _ = out.BodyWriter().Write(answer.Body)
}

type status struct {
	Body struct {
		State string `json:"state" doc:"ok, or why not"`
	}
}

func (h *handler) health(context.Context, *struct{}) (*status, error) {
	out := &status{}
	out.Body.State = "ok"
	return out, nil
}

func (h *handler) ready(context.Context, *struct{}) (*status, error) {
	switch {
	case h.backend.Leaving():
		return nil, problem.New(http.StatusServiceUnavailable, "leaving", "the entry is shutting down")
	case h.backend.Settings().Head.Rev == 0:
		return nil, problem.New(http.StatusServiceUnavailable, "unready", "the entry has no configuration yet")
	}
	out := &status{}
	out.Body.State = "ok"
	return out, nil
}
