package owner

import (
	"context"
	"time"

	"almondcove/job"
	"almondcove/schedule"
)

// VMs sends orders to VMs. The result of each call says whether the VM may carry out
// the order.
type VMs interface {
	// Hold renews the lease of a VM's runs and waits for a report of their progress.
	// The report is valid only if the result is [schedule.Accepted].
	Hold(ctx context.Context, vm schedule.VM, h schedule.Hold) (schedule.Report, schedule.Result)
	Start(ctx context.Context, vm schedule.VM, s schedule.Start) schedule.Result
	Stop(ctx context.Context, vm schedule.VM, s schedule.Stop) schedule.Result
	Pace(ctx context.Context, vm schedule.VM, p schedule.Pace) schedule.Result
}

// Machines lists machines and sends orders for them. The token of an order is its
// fencing token, the epoch of the owner.
type Machines interface {
	List(ctx context.Context) ([]schedule.Machine, error)
	Maintain(ctx context.Context, token int64, m schedule.Maintain) schedule.MachineResult
	Move(ctx context.Context, token int64, m schedule.Move) schedule.MachineResult
}

type sendCheckKey struct{}

// WithSendCheck returns a context for an order that may be sent only while check reports
// true.
func WithSendCheck(ctx context.Context, check func() bool) context.Context {
	return context.WithValue(ctx, sendCheckKey{}, check)
}

// MaySend reports whether the order with this context may still be sent. Implementations
// of [Machines] call it immediately before they write an order: the process may have been
// suspended since the order was given, and another entry may be the owner by now.
func MaySend(ctx context.Context) bool {
	check, ok := ctx.Value(sendCheckKey{}).(func() bool)
	return !ok || check()
}

// Advisor asks the advice service which VMs may run the tasks of a step.
type Advisor interface {
	// Advise returns a ticket for each VM that may run the tasks, and how long the
	// tickets are valid.
	Advise(ctx context.Context, a schedule.Advise) (map[string]string, time.Duration, error)
}

// Outcome is the outcome of a caller's request.
type Outcome int

// The outcomes.
const (
	// Done means that the request was carried out and recorded.
	Done Outcome = iota
	// NotOwner means that the entry that was asked does not own the jobs, or has not
	// read the records yet.
	NotOwner
	// Refused means that the request had no effect and will have none later.
	Refused
	// Unsettled means that the request may have had an effect or may have one later.
	Unsettled
	// NoJob means that the job does not exist.
	NoJob
	// Invalid means that the submitted job can never be accepted.
	Invalid
)

var outcomes = [...]string{"done", "not owner", "refused", "unsettled", "no job", "invalid"}

func (o Outcome) String() string { return outcomes[o] }

// Scope limits a request to the jobs that the caller may know of. A job outside of it
// does not exist for the request.
type Scope struct {
	// Queue is the queue of the job; empty means any.
	Queue string
	// Team is the team of the job; empty means any, as on queues that are open to all.
	Team string
}

// includes reports whether a job is in the scope. The queue and the team of a job that
// an earlier version has recorded as ended are not known.
func (s Scope) includes(j *job.Job) bool {
	return (s.Queue == "" || j.Queue == "" || s.Queue == j.Queue) && (s.Team == "" || j.Team == "" || s.Team == j.Team)
}

// Answer is the answer to a caller's request.
type Answer struct {
	Outcome Outcome
	// Phase is the phase of the job if the outcome is Done.
	Phase job.Phase
	// Waiting is the number of jobs that [Owner.Count] has counted.
	Waiting int
	// Retry is how long the caller should wait before it tries again.
	Retry time.Duration
	// Reason says why the request was not carried out.
	Reason string
}
