package schedule

import (
	"slices"
	"strconv"
	"time"
)

// stopAllowed reports whether the run of a service task may be ordered to stop for a reason.
// Maintenance can wait, so it has to keep to the availability budget of the step. A VM that
// is about to leave ends the run anyway; the entry of an earlier process of the VM does not
// count. For the other reasons the run is not needed, or another run of the task goes on.
func (c *Core) stopAllowed(r *run, reason stopReason, now time.Time) bool {
	switch reason {
	case stopMaintenance:
		return r.task.withinBudget(now)
	case stopDraining:
		return r.vm.Draining && !r.vm.pastProcessStarts[r.vm.Born]
	case stopCancelled, stopJobFailed, stopTaskDone, stopUnneeded, stopStalled, stopSuspended:
	}
	return true
}

// withinBudget reports whether the availability budget of its step lets the scheduler
// interrupt a service task now.
func (t *task) withinBudget(now time.Time) bool {
	if !t.stage.step.Budgeted {
		return true
	}
	unavailable := 0
	for _, other := range t.stage.tasks {
		if other != t && other.availability(now) != available {
			unavailable++
		}
	}
	return unavailable < t.stage.step.MaxUnavailable
}

// reportMaxAge is how long after a VM's last answer its service tasks still count as
// available.
const reportMaxAge = 2500 * time.Millisecond

// availability is what is known of whether a service task is at work. It is for budgets: a
// task that may not be at work counts as unavailable.
type availability int

// The availabilities of a service task.
const (
	// available is a task that is known to be at work.
	available availability = iota
	// waiting is a task without a run.
	waiting
	// starting is a task whose run has not reported that it is at work.
	starting
	// stopping is a task with a run that was ordered to stop, and maybeStopping one with a
	// run that the previous owner may have ordered to stop.
	stopping
	maybeStopping
	// unreachable is a task with a run on a VM that does not answer, and unconfirmed one
	// with a run on a VM that has not answered for [reportMaxAge].
	unreachable
	unconfirmed
)

var availabilityNames = [...]string{"available", "waiting", "starting", "stopping", "maybe stopping", "unreachable", "unconfirmed"}

func (a availability) String() string { return availabilityNames[a] }

// availability returns the availability of a service task. One run at work suffices.
func (t *task) availability(now time.Time) availability {
	out := waiting
	for i, r := range t.runs {
		if a := r.availability(now); i == 0 || a == available {
			out = a
		}
	}
	return out
}

func (r *run) availability(now time.Time) availability {
	switch {
	case r.state == runStopping:
		return stopping
	case r.workingSince.IsZero():
		return starting
	case now.Before(r.maybeStoppingUntil):
		return maybeStopping
	case r.vm.silent:
		return unreachable
	case now.Sub(r.vm.lastAnswer) > reportMaxAge:
		return unconfirmed
	}
	return available
}

// stopReason is why a run is ordered to stop.
type stopReason int

// The reasons for orders to stop a run.
const (
	// stopCancelled is for a run of a job that was cancelled, and stopJobFailed for one of a
	// job that has failed.
	stopCancelled stopReason = iota
	stopJobFailed
	// stopTaskDone is for a run of a task that another run has completed.
	stopTaskDone
	// stopUnneeded is for a run of a previous owner whose task has another run, is done, or
	// belongs to a job that has ended.
	stopUnneeded
	// stopStalled is for a run that makes no progress.
	stopStalled
	// stopDraining is for a run on a VM that is about to leave.
	stopDraining
	// stopMaintenance is for a run on a VM whose machine is due for maintenance.
	stopMaintenance
	// stopSuspended is for a run that goes on later from its checkpoint, because urgent tasks
	// wait for the machine.
	stopSuspended
)

var stopReasonNames = [...]string{"job cancelled", "job failed", "task done", "unneeded", "stalled", "VM draining", "maintenance", "suspended"}

func (s stopReason) String() string { return stopReasonNames[s] }

// logServiceStop logs the first order to stop a run of a service task, with the other tasks
// of its step that are unavailable.
func (c *Core) logServiceStop(r *run, reason stopReason, now time.Time) {
	step := r.task.stage.step
	if !step.Service {
		return
	}
	unavailable := make(map[availability][]string)
	n := 0
	for _, other := range r.task.stage.tasks {
		if a := other.availability(now); other != r.task && a != available {
			unavailable[a] = append(unavailable[a], strconv.Itoa(other.id.Index))
			n++
		}
	}
	atWork := time.Duration(0)
	if !r.workingSince.IsZero() {
		atWork = now.Sub(r.workingSince)
	}
	c.config.Log.Info("service task ordered to stop", "run", r.id, "vm", r.vm.ID, "reason", reason, "state", r.state,
		"at_work", atWork.Milliseconds(), "answered", now.Sub(r.vm.lastAnswer).Milliseconds(),
		"others", n, "allowed", step.MaxUnavailable, "waiting", unavailable[waiting], "starting", unavailable[starting],
		"stopping", slices.Concat(unavailable[stopping], unavailable[maybeStopping]),
		"unreachable", slices.Concat(unavailable[unreachable], unavailable[unconfirmed]))
}
