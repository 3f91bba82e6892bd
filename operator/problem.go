package operator

import (
	"net/http"

	"github.com/go-faster/errors"

	"almondcove/entry"
	"almondcove/fleet"
	"almondcove/problem"
)

// problemFor returns the problem document of a change that failed.
func problemFor(err error) error {
	if e, ok := errors.Into[*fleet.InvalidError](err); ok {
		p := problem.New(http.StatusUnprocessableEntity, "invalid configuration", "nothing was changed")
		for _, r := range e.Reasons {
			p.Reasons = append(p.Reasons, r.Path+": expected "+r.Expected)
		}
		return p
	}
	for _, c := range []struct {
		matches func(error) bool
		status  int
		title   string
	}{
		{matches[*fleet.NotFoundError], http.StatusNotFound, "not found"},
		{matches[*fleet.ConflictError], http.StatusConflict, "conflict"},
		{matches[*entry.Rewound], http.StatusConflict, "platform rewound"},
		{matches[*entry.Forked], http.StatusConflict, "platform forked"},
		{matches[*entry.NotRecorded], http.StatusServiceUnavailable, "not recorded"},
		{matches[*entry.Unready], http.StatusServiceUnavailable, "unready"},
		{matches[*entry.Indeterminate], http.StatusGatewayTimeout, "answer lost"},
	} {
		if c.matches(err) {
			return problem.New(c.status, c.title, err.Error())
		}
	}
	return problem.New(http.StatusInternalServerError, "failed", err.Error())
}

// matches reports whether err is or wraps an error of type T.
func matches[T error](err error) bool {
	_, ok := errors.Into[T](err)
	return ok
}
