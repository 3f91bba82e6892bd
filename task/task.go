// Package task names the life of one request: its identity, the outcomes that
// a caller may be told, and what each proof from an upstream allows.
//
// # Usage
//
//	switch out := outcome.(type) {
//	case task.Answered:
//		// pass the whole answer on
//	case task.NotRun:
//		// true: no upstream began the task, and none will
//	case task.Failed:
//		// the task ran and failed
//	case task.Unknown:
//		// the task may have run
//	}
//
// The package does no input or output and reads no clock.
package task

import (
	"net/http"
	"strings"
	"time"
)

// ID identifies one task over the whole fleet. A task that was fenced on one VM
// goes on under a renewed id.
type ID string

// renewal separates an id from the part that a renewal added.
const renewal = "."

// Base returns the id that the task had first.
func (id ID) Base() ID {
	base, _, _ := strings.Cut(string(id), renewal)
	return ID(base)
}

// Renew returns another id of the same task. The suffix must be new.
func (id ID) Renew(suffix string) ID {
	return id.Base() + renewal + ID(suffix)
}

// Outcome is what became of a task. The implementations are [Answered],
// [Failed], [NotRun] and [Unknown].
type Outcome interface{ outcome() }

// Answered carries the upstream's whole answer, checked against its length and digest.
type Answered struct {
	Status int
	Header http.Header
	Body   []byte
	VM     string
}

// Failed says that the task ran and ended without a good answer.
type Failed struct {
	VM string
	// Status is the upstream's last answer, or zero when the task was stopped.
	Status int
	// Poison marks a task that failed on several VMs and is taken as one that
	// can never run.
	Poison bool
}

// NotRun says that no upstream began the task and that none will.
type NotRun struct {
	Reason Reason
	// Retry is when the caller may try again; zero means never with this request.
	Retry time.Duration
}

// Unknown says that the task may have run and that its answer is lost.
type Unknown struct {
	VM string
	// Until is when the task has certainly ended.
	Until time.Time
}

func (Answered) outcome() {}
func (Failed) outcome()   {}
func (NotRun) outcome()   {}
func (Unknown) outcome()  {}

// Reason says why a task was not run.
type Reason string

// The reasons.
const (
	Deadline Reason = "deadline"
	Full     Reason = "full"
	Stopped  Reason = "stopped"
	Canceled Reason = "canceled"
	Revoked  Reason = "revoked"
	Absent   Reason = "absent"
	// Claimed is a task whose idempotency key can't be claimed now.
	Claimed Reason = "claimed"
	// Reused is a task whose idempotency key came with another body before.
	Reused Reason = "reused"
)

// Text returns the reason as a sentence part for people.
func (r Reason) Text() string {
	switch r {
	case Deadline:
		return "the task could not start before its deadline"
	case Full:
		return "the queue is full"
	case Stopped:
		return "the entry is shutting down"
	case Canceled:
		return "the caller went away"
	case Revoked:
		return "the key was withdrawn while the task waited"
	case Reused:
		return "the idempotency key came with another body before"
	case Claimed:
		return "the claim on the idempotency key can't be recorded or is held by an earlier task"
	case Absent:
		return "the queue was removed while the task waited"
	}
	return string(r)
}

// Proof is what one exchange with an upstream showed about a task.
type Proof int

// The proofs, from an exchange with one upstream.
const (
	// Nothing was learned: the exchange failed after something was sent.
	Nothing Proof = iota
	// Unsent means that no byte reached the upstream.
	Unsent
	// Refused means that the upstream did not begin the task and never will.
	Refused
	// Running means that the upstream has begun the task.
	Running
	// Done means that the upstream sent the whole answer.
	Done
	// Unseen means that the upstream doesn't know the task; it may still arrive.
	Unseen
	// Ended means that the task began and has ended without a whole answer.
	Ended
)

// Free reports whether the proof allows the task to be sent to another upstream.
func (p Proof) Free() bool {
	return p == Unsent || p == Refused
}

// String names the proof.
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
	case Unseen:
		return "unseen"
	case Ended:
		return "ended"
	}
	return "nothing"
}
