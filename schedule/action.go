package schedule

import (
	"fmt"
	"time"

	"almondcove/job"
)

// Run names one start of a task.
type Run struct {
	Task job.Task
	// Number tells the runs of a task apart; later ones have greater numbers.
	Number int
}

// String returns the run as it stands in logs: the task's parts and the number.
func (r Run) String() string {
	t := r.Task
	return fmt.Sprintf("%s.%d.%d.%d#%d", t.Job, t.Occurrence, t.Step, t.Index, r.Number)
}

// Action is something to be done outside the core.
type Action interface {
	action()
}

// Start orders a VM to run a task. The result goes to Core.Started.
type Start struct {
	VM  string
	Run Run
	// Spec is the job's description.
	Spec       string
	Checkpoint string
	// Until is when the order is no longer to be carried out, on the VM's clock.
	Until time.Duration
	Fence int64
	// Ticket is the permission of the advice service; empty means none.
	Ticket string
}

// Stop orders a VM to end a run.
type Stop struct {
	VM    string
	Run   Run
	Fence int64
}

// Pace orders a VM to let a task work at a share of its speed.
type Pace struct {
	VM      string
	Run     Run
	Percent int
	Fence   int64
}

// Look asks for a hold of a VM at once.
type Look struct {
	VM string
}

// Maintain starts the maintenance of a VM's machine.
type Maintain struct {
	Machine string
	Wave    int64
}

// Move moves a VM's machine to another pool.
type Move struct {
	Machine string
	Pool    string
}

// Advise asks which VMs may run a stage.
type Advise struct {
	Stage job.Stage
	VMs   []string
}

func (Start) action()    {}
func (Stop) action()     {}
func (Pace) action()     {}
func (Look) action()     {}
func (Maintain) action() {}
func (Move) action()     {}
func (Advise) action()   {}

// Hold is one call that renews what a VM runs and asks what has become of it.
type Hold struct {
	VM    string
	Fence int64
	// Until is on the VM's clock; zero renews nothing.
	Until time.Duration
	// Seen is the number of the last end that is recorded.
	Seen int64
	// Wait is how long the VM may wait for an end before it answers.
	Wait time.Duration
	// Sent is when the call was prepared.
	Sent time.Time
}

// Report is a VM's answer to a hold.
type Report struct {
	// Clock is the VM's steady clock.
	Clock time.Duration
	// Born is when the VM's process started.
	Born    time.Time
	Running []Progress
	Ended   []End
}

// Progress is one run that works on a VM.
type Progress struct {
	Run        Run
	Checkpoint string
	// Percent of full speed; 100 for a service task that is at work.
	Percent int
	// Load is the tail of response times in milliseconds of a service task, and
	// the processor time in use of any other one.
	Load int64
}

// How tells how a run ended.
type How int

// The ends of runs.
const (
	Unknown How = iota
	Done
	Failed
	Stopped
	Lapsed
	// Broken is a member of a gang of which another member ended.
	Broken
	// Alone is a member of a gang that waited in vain for the others.
	Alone
)

var hows = [...]string{"unknown", "done", "failed", "stopped", "lapsed", "broken", "alone"}

func (h How) String() string { return hows[h] }

// End is one run that has ended on a VM.
type End struct {
	// Number counts the ends of the VM from 1.
	Number     int64
	Run        Run
	How        How
	Checkpoint string
}

// Result is what came of an order.
type Result int

// The results of orders.
const (
	// Accepted is an order that was carried out, or had been before.
	Accepted Result = iota
	// Unsent is an order that never reached the VM.
	Unsent
	// Unanswered is an order that may be carried out, now or later.
	Unanswered
	// Fenced is an order with a fence lower than one that the VM has seen.
	Fenced
	// Outdated is a start whose number is not above that of an ended run.
	Outdated
	// Late is a start whose time had passed.
	Late
	// Full is a start for which the VM has no room.
	Full
	// NoTicket is a start whose ticket doesn't hold.
	NoTicket
	// Unhealthy is an order that a VM refused because of its own state.
	Unhealthy
	// Gone is an order that reached another VM than it was meant for.
	Gone
	// Refused is an order that the VM can't understand.
	Refused
)

var results = [...]string{
	"accepted", "unsent", "unanswered", "fenced", "outdated", "late", "full", "no ticket", "unhealthy", "gone", "refused",
}

func (r Result) String() string { return results[r] }
