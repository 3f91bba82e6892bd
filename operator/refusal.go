package operator

import (
	"net/http"

	"github.com/go-faster/errors"

	"almondcove/entry"
	"almondcove/fleet"
	"almondcove/problem"
)

// refusal returns the problem document of a change that failed.
func refusal(err error) error {
	if e, ok := errors.Into[*fleet.InvalidError](err); ok {
		p := problem.New(http.StatusUnprocessableEntity, "invalid configuration", "nothing was changed")
		for _, r := range e.Reasons {
			p.Reasons = append(p.Reasons, r.Path+": expected "+r.Expected)
		}
		return p
	}
	for _, c := range []struct {
		is     func(error) bool
		status int
		title  string
	}{
		{is[*fleet.NotFoundError], http.StatusNotFound, "not found"},
		{is[*fleet.ConflictError], http.StatusConflict, "conflict"},
		{is[*entry.Rewound], http.StatusConflict, "platform rewound"},
		{is[*entry.Forked], http.StatusConflict, "platform forked"},
		{is[*entry.NotRecorded], http.StatusServiceUnavailable, "not recorded"},
		{is[*entry.Unready], http.StatusServiceUnavailable, "unready"},
		{is[*entry.Indeterminate], http.StatusGatewayTimeout, "answer lost"},
	} {
		if c.is(err) {
			return problem.New(c.status, c.title, err.Error())
		}
	}
	return problem.New(http.StatusInternalServerError, "failed", err.Error())
}

func is[T error](err error) bool {
	_, ok := errors.Into[T](err)
	return ok
}
