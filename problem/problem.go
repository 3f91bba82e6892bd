// Package problem defines the error document (RFC 9457) of the HTTP interfaces.
//
// # Usage
//
//	return nil, problem.New(http.StatusNotFound, "unknown queue", "there is no queue pay").WithRun(problem.DidNotRun)
package problem

import (
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/danielgtaylor/huma/v2"
)

// Values of Problem.Ran: whether the task of the request ran.
const (
	DidNotRun  = "no"
	MayHaveRun = "unknown"
	DidRun     = "yes"
)

// Problem is an error document. It implements error and huma.StatusError.
type Problem struct {
	Title  string `json:"title" doc:"what went wrong"`
	Status int    `json:"status" doc:"the HTTP status"`
	Detail string `json:"detail,omitempty" doc:"what to know about this case"`
	// Ran says whether the task ran; it is empty for a request without a task.
	Ran string `json:"run,omitempty" enum:"no,unknown,yes" doc:"whether the task ran"`
	// Task is the id of the task; it is empty if the request was refused before the task
	// had an id.
	Task string `json:"task,omitempty" doc:"the id of the task"`
	// Reasons lists every failed check.
	Reasons []string `json:"reasons,omitempty" doc:"every failed check"`

	retryAfter time.Duration
}

// New returns a problem document.
func New(status int, title, detail string) *Problem {
	return &Problem{Title: title, Status: status, Detail: detail}
}

// WithRun sets whether the task of the request ran, and returns p.
func (p *Problem) WithRun(run string) *Problem {
	p.Ran = run
	return p
}

// WithRetryAfter sets the time after which the caller may retry, and returns p.
func (p *Problem) WithRetryAfter(after time.Duration) *Problem {
	p.retryAfter = after
	return p
}

// Error returns the title and the detail.
func (p *Problem) Error() string {
	return p.Title + ": " + p.Detail
}

// GetStatus returns the HTTP status.
func (p *Problem) GetStatus() int { return p.Status }

// ContentType returns the media type of problem documents.
func (p *Problem) ContentType(string) string { return "application/problem+json" }

// GetHeaders returns the Retry-After header, in whole seconds rounded up, if the
// caller may retry.
func (p *Problem) GetHeaders() http.Header {
	h := make(http.Header)
	if p.retryAfter > 0 {
		seconds := (p.retryAfter + time.Second - 1) / time.Second
		h.Set("Retry-After", strconv.FormatInt(int64(seconds), 10))
	}
	return h
}

// Install makes huma return a Problem for requests that it rejects itself. The
// task of such a request did not run. Install must be called before the first
// request.
var Install = sync.OnceFunc(func() {
	huma.NewError = func(status int, msg string, errs ...error) huma.StatusError {
		p := New(status, http.StatusText(status), msg).WithRun(DidNotRun)
		for _, err := range errs {
			if err != nil {
				p.Reasons = append(p.Reasons, err.Error())
			}
		}
		return p
	}
})
