// Package operator serves the HTTP interface for operators, and calls it.
//
// Every change answers in two stages: recorded, with its revision, and in
// force on how many entries, with those missing named. With the query
// parameter wait the answer comes when the change is in force everywhere, or
// when that time is over.
//
// # Usage
//
//	h := operator.New(operator.Config{Backend: entry, Token: hash})
//	err := http.Serve(listener, h)
//
//	c := operator.Client{URL: "http://10.0.0.7:8081", Token: token}
//	result, err := c.UsePreset(ctx, "maintenance", 10*time.Second)
package operator

import (
	"context"
	"crypto/subtle"
	"net/http"
	"strings"
	"time"

	"github.com/danielgtaylor/huma/v2"
	"github.com/danielgtaylor/huma/v2/adapters/humago"

	"almondcove/entry"
	"almondcove/fleet"
	"almondcove/problem"
	"almondcove/roll"
	"almondcove/timeline"
)

// maxWait bounds the time that an answer waits for a change to be in force.
const maxWait = time.Minute

// Backend is the entry that carries out operators' wishes.
type Backend interface {
	EffectiveConfig() *fleet.Config
	Change(ctx context.Context, ch fleet.Change) (entry.ChangeResult, error)
	Restrict(ctx context.Context, r fleet.Restriction) (entry.ChangeResult, error)
	Restore(ctx context.Context) (entry.ChangeResult, error)
	Remove(name string) error
	WaitInForce(ctx context.Context, rev uint64, r *fleet.Restriction) entry.Force
	// Stamp returns a stamp that orders a change against restrictions.
	Stamp() timeline.Stamp
	Status() entry.Status
	Forecasts() []roll.Forecast
	Timeline(ctx context.Context, f timeline.Filter) ([]timeline.Event, []string)
}

// Config configures the interface.
type Config struct {
	Backend Backend
	// Token is the SHA-256 of the operators' token, in hex.
	Token string
}

// Result is the answer to a change.
type Result struct {
	entry.ChangeResult
	Force entry.Force `json:"force"`
	// Key is the text of a granted key, shown only here.
	Key string `json:"key,omitempty"`
	// ID names the key that was granted.
	ID string `json:"id,omitempty"`
}

type handler struct {
	backend Backend
	token   string
}

// New returns the handler of the interface.
func New(c Config) http.Handler {
	problem.Use()
	h := &handler{backend: c.Backend, token: c.Token}
	mux := http.NewServeMux()
	config := huma.DefaultConfig("almondcove operators", "1")
	// The default hook adds a $schema member to every answer.
	config.CreateHooks = nil
	api := humago.New(mux, config)
	api.UseMiddleware(h.authenticate(api))
	h.registerViews(api)
	h.registerConfig(api)
	h.registerKeys(api)
	h.registerFleet(api)
	return mux
}

// authenticate refuses requests without the operators' token.
func (h *handler) authenticate(api huma.API) func(huma.Context, func(huma.Context)) {
	return func(ctx huma.Context, next func(huma.Context)) {
		text, ok := strings.CutPrefix(ctx.Header("Authorization"), "Bearer ")
		same := subtle.ConstantTimeCompare([]byte(fleet.HashSecret(text)), []byte(h.token)) == 1
		if !ok || !same {
			// The client that went away needs no answer.
			_ = huma.WriteErr(api, ctx, http.StatusUnauthorized, "expected Authorization: Bearer TOKEN with the operators' token")
			return
		}
		next(ctx)
	}
}

// Waiting is the part of every change's input that says how long to wait.
type Waiting struct {
	Wait string `query:"wait" doc:"how long to wait until the change is in force everywhere, such as 10s"`
}

// output is the answer to a change.
type output struct {
	Body Result
}

// change records ch and says where it is in force.
func (h *handler) change(ctx context.Context, ch fleet.Change, w Waiting) (*output, error) {
	done, err := h.backend.Change(ctx, ch)
	if err != nil {
		return nil, refusal(err)
	}
	return h.result(ctx, done, nil, w)
}

// restrict puts a restriction in force and says where.
func (h *handler) restrict(ctx context.Context, r fleet.Restriction, w Waiting) (*output, error) {
	done, err := h.backend.Restrict(ctx, r)
	if err != nil {
		return nil, refusal(err)
	}
	if done.Recorded {
		return h.result(ctx, done, nil, w)
	}
	return h.result(ctx, done, &r, w)
}

func (h *handler) result(ctx context.Context, done entry.ChangeResult, r *fleet.Restriction, w Waiting) (*output, error) {
	var wait time.Duration
	if w.Wait != "" {
		d, err := time.ParseDuration(w.Wait)
		if err != nil || d < 0 {
			return nil, problem.New(http.StatusBadRequest, "bad wait", "the change is recorded; expected wait to be a duration such as 10s")
		}
		wait = min(d, maxWait)
	}
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	return &output{Body: Result{ChangeResult: done, Force: h.backend.WaitInForce(ctx, done.Rev, r)}}, nil
}

func register[I, O any](api huma.API, method, path, id, summary string, f func(context.Context, *I) (*O, error)) {
	huma.Register(api, huma.Operation{
		OperationID: id, Method: method, Path: path, Summary: summary,
		Errors: []int{http.StatusUnauthorized, http.StatusNotFound, http.StatusConflict, http.StatusUnprocessableEntity, http.StatusServiceUnavailable},
	}, f)
}
