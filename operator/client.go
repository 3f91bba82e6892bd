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

// maxResponseBytes limits how much of a response body a Client reads.
const maxResponseBytes = 64 << 20

// Client calls one entry's HTTP interface for operators. URL and Token must be set.
type Client struct {
	URL   string
	Token string
	// HTTP sends the requests; nil means [http.DefaultClient].
	HTTP *http.Client
}

// RefusedError reports a request that the entry answered with an error status.
type RefusedError struct {
	Problem problem.Problem
}

func (e *RefusedError) Error() string {
	text := "operator: " + e.Problem.Title + ": " + e.Problem.Detail
	for _, r := range e.Problem.Reasons {
		text += "\n  " + r
	}
	return text
}

// UnreachableError reports a request that could not be sent or got no response that
// can be decoded.
type UnreachableError struct {
	URL   string
	Cause error
}

func (e *UnreachableError) Error() string {
	return "operator: " + e.URL + " gave no answer: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *UnreachableError) Unwrap() error { return e.Cause }

// Change requests a change and waits at most wait until it is in force everywhere.
// The error is *RefusedError or *UnreachableError.
func (c Client) Change(ctx context.Context, method, path string, in any, wait time.Duration) (Result, error) {
	var out Result
	query := url.Values{}
	if wait > 0 {
		query.Set("wait", wait.String())
	}
	err := c.Do(ctx, method, path, query, in, &out)
	return out, err
}

// Do sends one request and decodes the response into out. If in is not nil, it is
// sent as the JSON body. The error is *RefusedError or *UnreachableError.
func (c Client) Do(ctx context.Context, method, path string, query url.Values, in, out any) error {
	var body io.Reader = http.NoBody
	if in != nil {
		text, err := json.Marshal(in)
		if err != nil {
			return &UnreachableError{URL: c.URL, Cause: err}
		}
		body = bytes.NewReader(text)
	}
	target := c.URL + path
	if len(query) > 0 {
		target += "?" + query.Encode()
	}
	req, err := http.NewRequestWithContext(ctx, method, target, body)
	if err != nil {
		return &UnreachableError{URL: c.URL, Cause: err}
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
		return &UnreachableError{URL: c.URL, Cause: err}
	}
	defer func() { _ = res.Body.Close() }()
	dec := json.NewDecoder(io.LimitReader(res.Body, maxResponseBytes))
	if res.StatusCode >= http.StatusMultipleChoices {
		refused := &RefusedError{}
		if err := dec.Decode(&refused.Problem); err != nil {
			refused.Problem = problem.Problem{Title: res.Status, Status: res.StatusCode}
		}
		return refused
	}
	if err := dec.Decode(out); err != nil {
		return &UnreachableError{URL: c.URL, Cause: err}
	}
	return nil
}
