// Package operator implements the HTTP interface for operators and its client.
//
// The response to a change tells whether the change is recorded and in which
// revision, on how many entries it is in force, and the names of the others. The
// query parameter wait delays the response until the change is in force everywhere,
// for at most the given time.
//
// # Usage
//
//	h := operator.New(operator.Config{Backend: entry, TokenHash: hash})
//	err := http.Serve(listener, h)
//
//	c := operator.Client{URL: "http://10.0.0.7:8081", Token: token}
//	result, err := c.Change(ctx, http.MethodPost, "/presets/maintenance/use", nil, 10*time.Second)
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

// maxWait is the longest time that a response waits for a change to be in force.
const maxWait = time.Minute

// Backend is the entry that carries out the operations.
type Backend interface {
	// EffectiveConfig returns the configuration in force.
	EffectiveConfig() *fleet.Config
	// Change records a change in the platform and puts it in force.
	Change(ctx context.Context, change fleet.Change) (entry.ChangeResult, error)
	// Restrict puts a restriction in force at once and records it as soon as the
	// platform answers.
	Restrict(ctx context.Context, restriction fleet.Restriction) (entry.ChangeResult, error)
	// Restore writes the configuration that the entry holds to a platform that has
	// lost it.
	Restore(ctx context.Context) (entry.ChangeResult, error)
	// Remove declares an unreachable entry dead.
	Remove(name string) error
	// WaitInForce waits until the revision, and the restriction if it is not nil, are
	// in force everywhere or ctx ends.
	WaitInForce(ctx context.Context, rev uint64, restriction *fleet.Restriction) entry.Force
	// Stamp returns a stamp later than that of every restriction the entry has seen.
	// It orders a change after them.
	Stamp() timeline.Stamp
	Status() entry.Status
	Forecasts() []roll.Forecast
	// Timeline returns the matching events of all entries, and the names of the entries
	// that did not answer.
	Timeline(ctx context.Context, filter timeline.Filter) ([]timeline.Event, []string)
}

// Config configures the HTTP interface for operators.
type Config struct {
	Backend Backend
	// TokenHash is the SHA-256 of the operators' token, in hex.
	TokenHash string
}

// Result is the response to a change.
type Result struct {
	entry.ChangeResult
	// Force tells on which entries the change is in force.
	Force entry.Force `json:"force"`
	// Key is the text of a key that was granted. No other response shows it.
	Key string `json:"key,omitempty"`
	// ID is the id of the key that was granted.
	ID string `json:"id,omitempty"`
}

type handler struct {
	backend   Backend
	tokenHash string
}

// New returns the handler of the HTTP interface for operators.
func New(c Config) http.Handler {
	problem.Install()
	h := &handler{backend: c.Backend, tokenHash: c.TokenHash}
	mux := http.NewServeMux()
	config := huma.DefaultConfig("almondcove operators", "1")
	// The default hook adds a $schema member to every response.
	config.CreateHooks = nil
	api := humago.New(mux, config)
	api.UseMiddleware(h.authenticate(api))
	h.registerViews(api)
	h.registerConfig(api)
	h.registerKeys(api)
	h.registerFleet(api)
	return mux
}

// authenticate returns a middleware that refuses requests without the operators'
// token.
func (h *handler) authenticate(api huma.API) func(huma.Context, func(huma.Context)) {
	return func(ctx huma.Context, next func(huma.Context)) {
		text, ok := strings.CutPrefix(ctx.Header("Authorization"), "Bearer ")
		same := subtle.ConstantTimeCompare([]byte(fleet.HashSecret(text)), []byte(h.tokenHash)) == 1
		if !ok || !same {
			// WriteErr fails if the client has closed the connection; nobody is left to tell.
			_ = huma.WriteErr(api, ctx, http.StatusUnauthorized, "expected Authorization: Bearer TOKEN with the operators' token")
			return
		}
		next(ctx)
	}
}

// WaitParams is the part of a change's input that says how long to wait until the
// change is in force everywhere.
type WaitParams struct {
	Wait string `query:"wait" doc:"how long to wait until the change is in force everywhere, such as 10s"`
}

// duration returns the time to wait. It must be called before the change is made.
func (p WaitParams) duration() (time.Duration, error) {
	if p.Wait == "" {
		return 0, nil
	}
	d, err := time.ParseDuration(p.Wait)
	if err != nil || d < 0 {
		return 0, problem.New(http.StatusBadRequest, "bad wait", "nothing was changed; expected wait to be a duration such as 10s")
	}
	return min(d, maxWait), nil
}

// output is the output of every change.
type output struct {
	Body Result
}

// change records a change and waits until it is in force everywhere, for at most the
// time in params.
func (h *handler) change(ctx context.Context, change fleet.Change, params WaitParams) (*output, error) {
	wait, err := params.duration()
	if err != nil {
		return nil, err
	}
	result, err := h.backend.Change(ctx, change)
	if err != nil {
		return nil, problemFor(err)
	}
	return h.awaitForce(ctx, result, nil, wait)
}

// restrict puts a restriction in force at once on this entry and waits until it is
// in force everywhere, for at most the time in params.
func (h *handler) restrict(ctx context.Context, restriction fleet.Restriction, params WaitParams) (*output, error) {
	wait, err := params.duration()
	if err != nil {
		return nil, err
	}
	result, err := h.backend.Restrict(ctx, restriction)
	if err != nil {
		return nil, problemFor(err)
	}
	if result.Recorded {
		return h.awaitForce(ctx, result, nil, wait)
	}
	return h.awaitForce(ctx, result, &restriction, wait)
}

// awaitForce waits until a change is in force everywhere, for at most the given time. A
// restriction that the platform has not recorded has no revision to wait for and is
// passed as unrecorded, which is nil for every other change.
func (h *handler) awaitForce(ctx context.Context, result entry.ChangeResult, unrecorded *fleet.Restriction, wait time.Duration) (*output, error) {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	return &output{Body: Result{ChangeResult: result, Force: h.backend.WaitInForce(ctx, result.Rev, unrecorded)}}, nil
}

// register adds an operation with the error statuses that all operations can have.
func register[I, O any](api huma.API, method, path, id, summary string, f func(context.Context, *I) (*O, error)) {
	huma.Register(api, huma.Operation{
		OperationID: id, Method: method, Path: path, Summary: summary,
		Errors: []int{http.StatusUnauthorized, http.StatusNotFound, http.StatusConflict, http.StatusUnprocessableEntity, http.StatusServiceUnavailable},
	}, f)
}
