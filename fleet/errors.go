package fleet

import (
	"fmt"
	"strings"
)

// InvalidError reports an invalid configuration, with every check that failed.
type InvalidError struct {
	Reasons []Reason
}

// Reason is one failed check.
type Reason struct {
	// Path names the object and the member, for example "queue/pay.pool".
	Path string `json:"path"`
	// Expected says what the check requires.
	Expected string `json:"expected"`
}

func (e *InvalidError) Error() string {
	lines := make([]string, 0, len(e.Reasons))
	for _, r := range e.Reasons {
		lines = append(lines, r.Path+": expected "+r.Expected)
	}
	return "fleet: invalid configuration: " + strings.Join(lines, "; ")
}

// NotFoundError reports an object that is not in the configuration.
type NotFoundError struct {
	Kind string
	Name string
}

func (e *NotFoundError) Error() string {
	return fmt.Sprintf("fleet: no %s %q", e.Kind, e.Name)
}

// ConflictError reports a change that the present state of an object doesn't allow.
type ConflictError struct {
	Path   string
	Reason string
}

func (e *ConflictError) Error() string {
	return "fleet: " + e.Path + ": " + e.Reason
}

// StaleRevisionError reports an offered revision that is not newer than the one
// held.
type StaleRevisionError struct {
	Held    uint64
	Offered uint64
}

func (e *StaleRevisionError) Error() string {
	return fmt.Sprintf("fleet: revision %d is not newer than %d", e.Offered, e.Held)
}

// UnreadableRecordError reports a stored record that can't be decoded.
type UnreadableRecordError struct {
	Key    string
	Reason string
}

func (e *UnreadableRecordError) Error() string {
	return "fleet: record " + e.Key + ": " + e.Reason
}
