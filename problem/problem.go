// Package problem is the error document (RFC 9457) of the HTTP interfaces.
//
// # Usage
//
//	return nil, problem.New(http.StatusNotFound, "unknown queue", "there is no queue pay").Run(problem.No)
package problem

import (
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/danielgtaylor/huma/v2"
)

// The values of the member run: whether the task of the request ran.
const (
	No      = "no"
	Unknown = "unknown"
	Yes     = "yes"
)

// Problem is an error document.
type Problem struct {
	Title  string `json:"title" doc:"what went wrong"`
	Status int    `json:"status" doc:"the HTTP status"`
	Detail string `json:"detail,omitempty" doc:"what to know about this case"`
	// Ran says whether the task ran; empty on requests without a task.
	Ran string `json:"run,omitempty" enum:"no,unknown,yes" doc:"whether the task ran"`
	// Task is the id of the task, when it had one.
	Task string `json:"task,omitempty" doc:"the id of the task"`
	// Reasons lists every failed check.
	Reasons []string `json:"reasons,omitempty" doc:"every failed check"`

	retry time.Duration
}

// New returns a problem document.
func New(status int, title, detail string) *Problem {
	return &Problem{Title: title, Status: status, Detail: detail}
}

// Run says whether the task of the request ran.
func (p *Problem) Run(run string) *Problem {
	p.Ran = run
	return p
}

// Retry tells the caller when to come back.
func (p *Problem) Retry(after time.Duration) *Problem {
	p.retry = after
	return p
}

// Error returns title and detail.
func (p *Problem) Error() string {
	return p.Title + ": " + p.Detail
}

// GetStatus returns the HTTP status.
func (p *Problem) GetStatus() int { return p.Status }

// ContentType returns the media type of problem documents.
func (p *Problem) ContentType(string) string { return "application/problem+json" }

// GetHeaders returns Retry-After when the caller may come back.
func (p *Problem) GetHeaders() http.Header {
	h := make(http.Header)
	if p.retry > 0 {
		seconds := (p.retry + time.Second - 1) / time.Second
		h.Set("Retry-After", strconv.FormatInt(int64(seconds), 10))
	}
	return h
}

// Use makes huma answer its own refusals with a Problem: of requests that fail
// the checks, none has run. It must be called before the first request.
var Use = sync.OnceFunc(func() {
	huma.NewError = func(status int, msg string, errs ...error) huma.StatusError {
		p := New(status, http.StatusText(status), msg).Run(No)
		for _, err := range errs {
			if err != nil {
				p.Reasons = append(p.Reasons, err.Error())
			}
		}
		return p
	}
})
