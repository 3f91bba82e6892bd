// Package task defines the identity of a task, the outcomes that a caller may be
// told, and the proofs that an exchange with an upstream can give about a task.
//
// # Usage
//
//	switch out := outcome.(type) {
//	case task.Answered:
//		// forward the complete answer
//	case task.NotRun:
//		// no upstream began the task, and none will
//	case task.Failed:
//		// the task ran and failed
//	case task.Unknown:
//		// the task may have run
//	}
//
// The package performs no input or output and reads no clock.
package task

import (
	"net/http"
	"strings"
	"time"
)

// ID identifies one task in the whole fleet. A task that was fenced on one VM
// continues under the same base id with another suffix.
type ID string

// suffixSeparator separates the base id from the suffix.
const suffixSeparator = "."

// Base returns the first id of the task, without a suffix.
func (id ID) Base() ID {
	base, _, _ := strings.Cut(string(id), suffixSeparator)
	return ID(base)
}

// WithSuffix returns another id of the same task, in which suffix replaces any
// previous suffix. The suffix must not have been used for this task before.
func (id ID) WithSuffix(suffix string) ID {
	return id.Base() + suffixSeparator + ID(suffix)
}

// Outcome is the outcome of a task: [Answered], [Failed], [NotRun] or [Unknown].
type Outcome interface{ outcome() }

// Answered holds the upstream's complete answer, whose length and digest have been
// verified.
type Answered struct {
	Status int
	Header http.Header
	Body   []byte
	VM     string
}

// Failed means that the task ran and ended without a successful answer.
type Failed struct {
	VM string
	// Status is the status of the upstream's last answer, or zero if the task was
	// stopped.
	Status int
	// Poison marks a task that failed on several VMs and therefore counts as one
	// that can never succeed.
	Poison bool
}

// NotRun means that no upstream began the task and that none will.
type NotRun struct {
	Reason Reason
	// RetryAfter is the time until the caller may retry; zero means that this
	// request must not be retried.
	RetryAfter time.Duration
}

// Unknown means that the task may have run and that its answer is lost.
type Unknown struct {
	VM string
	// EndedBy is the time by which the task has certainly ended.
	EndedBy time.Time
}

func (Answered) outcome() {}
func (Failed) outcome()   {}
func (NotRun) outcome()   {}
func (Unknown) outcome()  {}

// Reason is why a task was not run.
type Reason string

// Values of Reason.
const (
	ReasonDeadline     Reason = "deadline"
	ReasonQueueFull    Reason = "full"
	ReasonShutdown     Reason = "stopped"
	ReasonCanceled     Reason = "canceled"
	ReasonKeyRevoked   Reason = "revoked"
	ReasonQueueRemoved Reason = "absent"
	// ReasonClaimUnavailable means that the task's idempotency key cannot be
	// claimed now.
	ReasonClaimUnavailable Reason = "claimed"
	// ReasonIdempotencyKeyReused means that the task's idempotency key was used with
	// another body before.
	ReasonIdempotencyKeyReused Reason = "reused"
)

// Text returns the reason as a human-readable clause.
func (r Reason) Text() string {
	switch r {
	case ReasonDeadline:
		return "the task could not start before its deadline"
	case ReasonQueueFull:
		return "the queue is full"
	case ReasonShutdown:
		return "the entry is shutting down"
	case ReasonCanceled:
		return "the caller went away"
	case ReasonKeyRevoked:
		return "the key was withdrawn while the task waited"
	case ReasonIdempotencyKeyReused:
		return "the idempotency key came with another body before"
	case ReasonClaimUnavailable:
		return "the claim on the idempotency key can't be recorded or is held by an earlier task"
	case ReasonQueueRemoved:
		return "the queue was removed while the task waited"
	}
	return string(r)
}

// Proof is what one exchange with an upstream proved about a task.
type Proof int

// Values of Proof.
const (
	// Inconclusive means that the exchange proved nothing: it failed after
	// something may have been sent, or the response was unusable.
	Inconclusive Proof = iota
	// Unsent means that no byte reached the upstream.
	Unsent
	// Refused means that the upstream did not begin the task and never will.
	Refused
	// Running means that the upstream has begun the task.
	Running
	// Done means that the upstream sent the complete answer.
	Done
	// NotFound means that the upstream does not know the task, which may still
	// arrive there.
	NotFound
	// EndedWithoutAnswer means that the task began and has ended without a
	// complete answer.
	EndedWithoutAnswer
)

// AllowsResend reports whether the task may be sent to another upstream.
func (p Proof) AllowsResend() bool {
	return p == Unsent || p == Refused
}

// String returns the name of the proof.
func (p Proof) String() string {
	switch p {
	case Unsent:
		return "unsent"
	case Refused:
		return "refused"
	case Running:
		return "running"
	case Done:
		return "done"
	case NotFound:
		return "unseen"
	case EndedWithoutAnswer:
		return "ended"
	}
	return "nothing"
}
