package fleet

import (
	"fmt"
	"strings"
)

// Invalid reports every reason why a configuration was refused.
type Invalid struct {
	Reasons []Reason
}

// Reason is one failed check.
type Reason struct {
	// Path names the object and member, for example "queue/pay.pool".
	Path string `json:"path"`
	// Expected says what the check asks for.
	Expected string `json:"expected"`
}

func (e *Invalid) Error() string {
	lines := make([]string, 0, len(e.Reasons))
	for _, r := range e.Reasons {
		lines = append(lines, r.Path+": expected "+r.Expected)
	}
	return "fleet: invalid configuration: " + strings.Join(lines, "; ")
}

// Missing reports an object that the configuration doesn't hold.
type Missing struct {
	Kind string
	Name string
}

func (e *Missing) Error() string {
	return fmt.Sprintf("fleet: no %s %q", e.Kind, e.Name)
}

// Conflict reports a change that the present state of an object forbids.
type Conflict struct {
	Path   string
	Reason string
}

func (e *Conflict) Error() string {
	return "fleet: " + e.Path + ": " + e.Reason
}

// Stale reports a revision that is not newer than the one held.
type Stale struct {
	Held    uint64
	Offered uint64
}

func (e *Stale) Error() string {
	return fmt.Sprintf("fleet: revision %d is not newer than %d", e.Offered, e.Held)
}

// Unreadable reports a stored record that can't be decoded.
type Unreadable struct {
	Key    string
	Reason string
}

func (e *Unreadable) Error() string {
	return "fleet: record " + e.Key + ": " + e.Reason
}
