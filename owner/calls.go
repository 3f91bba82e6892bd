package owner

import (
	"context"
	"time"

	"almondcove/job"
	"almondcove/schedule"
)

// VMs gives orders to VMs. Each call tells whether the order may be carried out.
type VMs interface {
	// Hold renews what a VM runs and asks what has become of it. The report
	// counts only when the result is schedule.Accepted.
	Hold(ctx context.Context, vm schedule.VM, h schedule.Hold) (schedule.Report, schedule.Result)
	Start(ctx context.Context, vm schedule.VM, s schedule.Start) schedule.Result
	Stop(ctx context.Context, vm schedule.VM, s schedule.Stop) schedule.Result
	Pace(ctx context.Context, vm schedule.VM, p schedule.Pace) schedule.Result
}

// Machines gives orders for machines.
type Machines interface {
	List(ctx context.Context) ([]schedule.Machine, error)
	Maintain(ctx context.Context, token int64, m schedule.Maintain) schedule.MachineResult
	Move(ctx context.Context, token int64, m schedule.Move) schedule.MachineResult
}

// Advisor says which VMs may run the tasks of a step.
type Advisor interface {
	// Advise returns a ticket for each VM that may, and how long tickets hold.
	Advise(ctx context.Context, a schedule.Advise) (map[string]string, time.Duration, error)
}

// Outcome is what came of a caller's request.
type Outcome int

// The outcomes.
const (
	// Done is a request that was carried out and is recorded.
	Done Outcome = iota
	// NotOwner is a request to an entry that does not own the jobs.
	NotOwner
	// Refused is a request that had no effect and never will.
	Refused
	// Unsettled is a request that may have had an effect.
	Unsettled
	// NoJob is a request for a job that does not exist.
	NoJob
	// Invalid is a request that can never be accepted.
	Invalid
)

var outcomes = [...]string{"done", "not owner", "refused", "unsettled", "no job", "invalid"}

func (o Outcome) String() string { return outcomes[o] }

// Answer is the answer to a caller's request.
type Answer struct {
	Outcome Outcome
	// Phase is that of the job, after Done.
	Phase job.Phase
	// Waiting is the number of jobs that wait, after a count.
	Waiting int
	// Retry is when a refused caller should come back.
	Retry time.Duration
	// Reason says why a request was not carried out.
	Reason string
}
