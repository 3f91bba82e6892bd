package schedule

import (
	"cmp"
	"time"

	"almondcove/job"
)

// The limits by which VMs are temporarily excluded from new tasks.
const (
	// quarantineFailures is how many jobs in a row must fail on a VM before it is
	// quarantined.
	quarantineFailures = 2
	// quarantineTime is how long a quarantined VM gets no new task.
	quarantineTime = 2 * time.Second
	// unhealthyBackoff is how long a VM that refuses an order because of its own state
	// gets no new task.
	unhealthyBackoff = 500 * time.Millisecond
	// fullBackoff is how long a VM that refuses a start for lack of room gets no new task.
	fullBackoff = 200 * time.Millisecond
)

// health records how runs ended on a VM recently, and until when it gets no new task.
type health struct {
	// consecutiveFailures is the number of jobs in a row that have failed on the VM.
	// Successive failures of the same job count once.
	consecutiveFailures int
	lastFailedJob       job.ID
	excludedUntil       time.Time
}

func (h *health) allowsStarts(now time.Time) bool { return !now.Before(h.excludedUntil) }

func (h *health) recentlyFailed() bool { return h.consecutiveFailures > 0 }

// excludeUnhealthy excludes the VM for [unhealthyBackoff] after it refused an order because
// of its own state.
func (h *health) excludeUnhealthy(now time.Time) { h.excludedUntil = now.Add(unhealthyBackoff) }

// excludeFull excludes the VM for [fullBackoff] after it refused a start for lack of room.
func (h *health) excludeFull(now time.Time) { h.excludedUntil = now.Add(fullBackoff) }

// recordEnd updates the VM's health after a run of a job has ended. Only the outcomes
// Done and Failed count.
func (v *vm) recordEnd(id job.ID, outcome Outcome, now time.Time) {
	h := &v.health
	switch {
	case outcome == Done:
		h.consecutiveFailures = 0
	case outcome == Failed && id != h.lastFailedJob:
		h.consecutiveFailures++
		h.lastFailedJob = id
		if h.consecutiveFailures >= quarantineFailures {
			h.excludedUntil = now.Add(quarantineTime)
		}
	}
}

func compareRuns(a, b Run) int {
	return cmp.Or(
		cmp.Compare(a.Task.Job, b.Task.Job),
		cmp.Compare(a.Task.Occurrence, b.Task.Occurrence),
		cmp.Compare(a.Task.Step, b.Task.Step),
		cmp.Compare(a.Task.Index, b.Task.Index),
		cmp.Compare(a.Number, b.Number),
	)
}
