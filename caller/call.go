package caller

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"almondcove/entry"
	"almondcove/problem"
	"almondcove/task"
)

// unreadyRetryAfter is the Retry-After of an entry that has no configuration yet.
const unreadyRetryAfter = 2 * time.Second

// newCall validates and authenticates a request and returns the call to submit. The
// error is the problem document of a refused request.
func (h *Handler) newCall(in *submission, body []byte) (entry.Call, error) {
	cfg := h.backend.EffectiveConfig()
	if cfg.Head.Rev == 0 {
		return entry.Call{}, problem.New(http.StatusServiceUnavailable, "unready", "the entry has no configuration yet").
			WithRun(problem.DidNotRun).WithRetryAfter(unreadyRetryAfter)
	}
	queue, ok := cfg.Queues[in.Queue]
	if !ok {
		return entry.Call{}, problem.New(http.StatusNotFound, "unknown queue", "there is no queue "+strconv.Quote(in.Queue)).WithRun(problem.DidNotRun)
	}
	call := entry.Call{Queue: in.Queue, Body: body, Type: in.Type, Accept: in.Accept, Idempotency: in.Idempotency}
	var err error
	if call.Wait, err = parseDeadline(in.Deadline); err != nil {
		return call, err
	}
	if in.Authorization == "" && queue.Open {
		if in.Idempotency != "" {
			// Callers without a key have no identity, so two of them with the same
			// idempotency key would get each other's answers.
			return call, problem.New(http.StatusBadRequest, "idempotency key without a key", "expected Authorization with Idempotency-Key").WithRun(problem.DidNotRun)
		}
		call.Team = queue.Owner
		return call, nil
	}
	text, ok := strings.CutPrefix(in.Authorization, "Bearer ")
	if ok {
		call.Key, call.Team, ok = cfg.Authenticate(text)
	}
	if !ok {
		return call, problem.New(http.StatusUnauthorized, "no valid key", "expected Authorization: Bearer KEY with a key that is not withdrawn").WithRun(problem.DidNotRun)
	}
	if !queue.Allows(call.Team) {
		return call, problem.New(http.StatusForbidden, "another team's queue", "queue "+strconv.Quote(in.Queue)+" is not open to team "+strconv.Quote(call.Team)).WithRun(problem.DidNotRun)
	}
	return call, nil
}

// parseDeadline parses the header Task-Deadline. Without the header it returns zero,
// which leaves the queue's own limit in force.
func parseDeadline(text string) (time.Duration, error) {
	if text == "" {
		return 0, nil
	}
	d, err := time.ParseDuration(text)
	if err != nil || d <= 0 {
		return 0, problem.New(http.StatusBadRequest, "bad deadline", "expected Task-Deadline to be a positive duration such as 2s, got "+strconv.Quote(text)).WithRun(problem.DidNotRun)
	}
	return d, nil
}

// problemForOutcome returns the problem document of an outcome, or nil if the
// outcome is the upstream's answer.
func problemForOutcome(id task.ID, outcome task.Outcome) *problem.Problem {
	var p *problem.Problem
	switch out := outcome.(type) {
	case task.Answered:
		return nil
	case task.NotRun:
		p = problem.New(notRunStatus(out.Reason), string(out.Reason), out.Reason.Text()).WithRun(problem.DidNotRun).WithRetryAfter(out.RetryAfter)
	case task.Failed:
		p = problemForFailure(out)
	case task.Unknown:
		p = problem.New(http.StatusGatewayTimeout, "unknown", "the task was sent to "+out.VM+" and its answer is lost; it has certainly ended by "+out.EndedBy.UTC().Format(time.RFC3339)).WithRun(problem.MayHaveRun)
	}
	p.Task = string(id)
	return p
}

func problemForFailure(out task.Failed) *problem.Problem {
	detail := "the task was stopped on " + out.VM + " before its end"
	if out.Status != 0 {
		detail = "the task failed on " + out.VM + " with status " + strconv.Itoa(out.Status)
	}
	if out.Poison {
		detail += "; it failed on several VMs and is taken as one that can never run"
	}
	return problem.New(http.StatusBadGateway, "failed", detail).WithRun(problem.DidRun)
}

func notRunStatus(r task.Reason) int {
	switch r {
	case task.ReasonQueueFull:
		return http.StatusTooManyRequests
	case task.ReasonQueueRemoved:
		return http.StatusNotFound
	case task.ReasonKeyRevoked:
		return http.StatusUnauthorized
	case task.ReasonClaimUnavailable:
		return http.StatusConflict
	case task.ReasonIdempotencyKeyReused:
		return http.StatusUnprocessableEntity
	}
	return http.StatusServiceUnavailable
}
