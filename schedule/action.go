package schedule

import (
	"fmt"
	"time"

	"almondcove/job"
)

// Run identifies a run, which is one execution of a task on a VM.
type Run struct {
	Task job.Task
	// Number distinguishes the runs of a task. Later runs have greater numbers.
	Number int
}

// String returns the form of the run in logs: the members of its task and its number.
func (r Run) String() string {
	t := r.Task
	return fmt.Sprintf("%s.%d.%d.%d#%d", t.Job, t.Occurrence, t.Step, t.Index, r.Number)
}

// Action is something for the owner to carry out: an order to a VM, an order for a machine
// or a request.
type Action interface {
	action()
}

// Start orders a VM to run a task. Its result goes to [Core.Started].
type Start struct {
	VM  string
	Run Run
	// Spec is the caller's description of the job.
	Spec string
	// Checkpoint is the last checkpoint of the task; empty means none.
	Checkpoint string
	// Until is the time on the VM's clock after which the VM must not carry out the order.
	Until time.Duration
	// Fence is the fencing token. A VM rejects an order whose token is lower than the
	// highest that it has seen.
	Fence int64
	// Ticket is the advice service's permission to run the stage on the VM; empty means
	// none.
	Ticket string
}

// Stop orders a VM to end a run. Its result goes to [Core.Stopped].
type Stop struct {
	VM    string
	Run   Run
	Fence int64
}

// Pace orders a VM to throttle a run. Its result goes to [Core.Paced].
type Pace struct {
	VM  string
	Run Run
	// Percent is the new pace, in percent of full speed.
	Percent int
	Fence   int64
}

// ImmediateHold requests an immediate [Hold] of a VM, in addition to the regular ones.
type ImmediateHold struct {
	VM string
}

// Maintain starts the maintenance of a machine. Its result goes to [Core.Maintained].
type Maintain struct {
	Machine string
	Wave    int64
}

// Move moves a machine to another pool. Its result goes to [Core.Moved].
type Move struct {
	Machine string
	Pool    string
}

// Advise asks the advice service which of the VMs may run a stage. The answer goes to
// [Core.Advised].
type Advise struct {
	Stage job.Stage
	VMs   []string
}

func (Start) action()         {}
func (Stop) action()          {}
func (Pace) action()          {}
func (ImmediateHold) action() {}
func (Maintain) action()      {}
func (Move) action()          {}
func (Advise) action()        {}

// Hold is a call to a VM that renews the lease of its runs and asks for a [Report]. Its
// answer goes to [Core.Held], or its failure to [Core.HoldFailed].
type Hold struct {
	VM    string
	Fence int64
	// Until is when the lease expires, on the VM's clock; zero means no renewal.
	Until time.Duration
	// Seen is the number up to which all ends are recorded. The VM may forget the ends up
	// to it.
	Seen int64
	// Wait is how long the VM may wait for a run to end before it answers.
	Wait time.Duration
	// Sent is when the core prepared the call.
	Sent time.Time
}

// Report is a VM's answer to a hold.
type Report struct {
	// Clock is the VM's monotonic clock.
	Clock time.Duration
	// Born is when the VM's process started.
	Born time.Time
	// Running lists the runs on the VM.
	Running []Progress
	// Ended lists the ends of runs that the VM has not yet forgotten, the oldest first; see
	// [Hold.Seen].
	Ended []End
	// MoreEnds is set if there may be later ends, which the VM lists once it has forgotten
	// these. A run that such a report lists nowhere may have ended.
	MoreEnds bool
}

// Progress is the progress of a run on a VM.
type Progress struct {
	Run Run
	// Checkpoint is the last checkpoint of the run; empty means none.
	Checkpoint string
	// Percent is the progress of the run in percent; 100 for a service task that is at
	// work.
	Percent int
	// Load is the tail latency in milliseconds for a service task. For any other task it
	// is the processor time in use.
	Load int64
}

// Outcome is how a run ended.
type Outcome int

// The outcomes of runs.
const (
	// Unknown is a run that the VM reports neither as running nor as ended.
	Unknown Outcome = iota
	// Done is a run that succeeded.
	Done
	// Failed is a run that failed.
	Failed
	// Stopped is a run that ended by a stop order.
	Stopped
	// Lapsed is a run that ended because its lease expired or its VM ended.
	Lapsed
	// Broken is a run of a gang member that ended because another member ended.
	Broken
	// Alone is a run of a gang member that gave up waiting for the other members.
	Alone
)

var outcomeNames = [...]string{"unknown", "done", "failed", "stopped", "lapsed", "broken", "alone"}

func (o Outcome) String() string { return outcomeNames[o] }

// End is the end of a run on a VM.
type End struct {
	// Number is the number of the end. Each process of a VM numbers its ends from 1.
	Number     int64
	Run        Run
	Outcome    Outcome
	Checkpoint string
}

// Result is the result of an order to a VM or of a hold.
type Result int

// The results of orders and holds.
const (
	// Accepted is an order that was carried out now or earlier.
	Accepted Result = iota
	// Unsent is an order that never reached the VM.
	Unsent
	// Unanswered is an order without an answer, which may be carried out now or later.
	Unanswered
	// Fenced is an order whose fencing token is lower than the highest that the VM has
	// seen.
	Fenced
	// Outdated is a start whose run number is not above that of a run of the task that
	// has ended.
	Outdated
	// Late is a start that reached the VM after its deadline.
	Late
	// Full is a start for which the VM has no room.
	Full
	// NoTicket is a start without a valid ticket.
	NoTicket
	// Unhealthy is an order that a VM refused because of its own state.
	Unhealthy
	// Gone is an order that reached another VM than the intended one.
	Gone
	// Refused is an order that the VM rejected as invalid or for an unknown reason.
	Refused
)

var resultNames = [...]string{
	"accepted", "unsent", "unanswered", "fenced", "outdated", "late", "full", "no ticket", "unhealthy", "gone", "refused",
}

func (r Result) String() string { return resultNames[r] }
