package operator

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"time"

	"almondcove/problem"
)

// maxAnswer bounds the body of an answer.
const maxAnswer = 64 << 20

// Client calls the interface of one entry. URL and Token must be set.
type Client struct {
	URL   string
	Token string
	// HTTP sends the requests; nil means [http.DefaultClient].
	HTTP *http.Client
}

// Refused reports a request that the entry refused.
type Refused struct {
	Problem problem.Problem
}

func (e *Refused) Error() string {
	text := "operator: " + e.Problem.Title + ": " + e.Problem.Detail
	for _, r := range e.Problem.Reasons {
		text += "\n  " + r
	}
	return text
}

// Unreachable reports a request without a readable answer.
type Unreachable struct {
	URL   string
	Cause error
}

func (e *Unreachable) Error() string {
	return "operator: " + e.URL + " gave no answer: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *Unreachable) Unwrap() error { return e.Cause }

// Change makes a change and waits up to wait until it is in force everywhere.
// The error is *Refused or *Unreachable.
func (c Client) Change(ctx context.Context, method, path string, in any, wait time.Duration) (Result, error) {
	var out Result
	query := url.Values{}
	if wait > 0 {
		query.Set("wait", wait.String())
	}
	err := c.Do(ctx, method, path, query, in, &out)
	return out, err
}

// Do sends one request with in as its JSON body, unless nil, and decodes the
// answer into out. The error is *Refused or *Unreachable.
func (c Client) Do(ctx context.Context, method, path string, query url.Values, in, out any) error {
	var body io.Reader = http.NoBody
	if in != nil {
		text, err := json.Marshal(in)
		if err != nil {
			return &Unreachable{URL: c.URL, Cause: err}
		}
		body = bytes.NewReader(text)
	}
	target := c.URL + path
	if len(query) > 0 {
		target += "?" + query.Encode()
	}
	req, err := http.NewRequestWithContext(ctx, method, target, body)
	if err != nil {
		return &Unreachable{URL: c.URL, Cause: err}
	}
	req.Header.Set("Authorization", "Bearer "+c.Token)
	if in != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	client := c.HTTP
	if client == nil {
		client = http.DefaultClient
	}
	res, err := client.Do(req)
	if err != nil {
		return &Unreachable{URL: c.URL, Cause: err}
	}
	defer func() { _ = res.Body.Close() }()
	dec := json.NewDecoder(io.LimitReader(res.Body, maxAnswer))
	if res.StatusCode >= http.StatusMultipleChoices {
		refused := &Refused{}
		if err := dec.Decode(&refused.Problem); err != nil {
			refused.Problem = problem.Problem{Title: res.Status, Status: res.StatusCode}
		}
		return refused
	}
	if err := dec.Decode(out); err != nil {
		return &Unreachable{URL: c.URL, Cause: err}
	}
	return nil
}
