// Package admission decides whether a job is accepted, by when it could be done.
//
// The room of a pool is a [Supply]: what is free now, and what becomes free or
// joins at given times. What waits is a [Backlog], ordered as the scheduler starts
// it. A job is refused only if it would end too late to be of use even in the best
// case: everything that may join does, all of the room can be used, and what waits before
// the job doesn't get longer. How actual waits compare to predicted ones is learned as
// an [Accuracy], whose uncertainty is a margin in favor of the job.
//
// The package does no input or output and reads no clock. All times are relative to
// the time at which supply and backlog were taken.
//
// # Usage
//
//	var waiting admission.Backlog
//	waiting.Add(admission.Urgent, value, admission.WorkOf(need, tasks, taskTime))
//	pool := admission.Line{Supply: admission.NewSupply(gains), Backlog: &waiting, LongestTask: taskTime}
//	switch v := admission.Decide(j, admission.Lines{Pool: pool}, accuracy.Factor(now)).(type) {
//	case admission.Accepted:
//		// accept the job; it is expected to start after v.Wait
//	case admission.Refused:
//		// refuse it with v.Retry
//	}
package admission

import (
	"hash/fnv"
	"time"
)

// Job describes a job to [Decide].
type Job struct {
	// ID spreads the retries of refused callers.
	ID string
	// Order and Value are the job's place among waiting work.
	Order Order
	Value float64
	// Work is what all tasks of the job need.
	Work Work
	// Chain is the time that the longest chain of dependent tasks takes.
	Chain time.Duration
	// Objective is the time within which the job is to end, and Expiry the time after
	// which its end is of no use.
	Objective, Expiry time.Duration
}

// Line is a backlog and the room that serves it.
type Line struct {
	Supply  *Supply
	Backlog *Backlog
	// LongestTask is the longest mean time of the waiting tasks.
	LongestTask time.Duration
	// Growing is set while work arrives faster than the room can do it.
	Growing bool
}

// Lines holds what a job has to wait for.
type Lines struct {
	Pool Line
	// PoolIdle is set while a VM of the pool runs nothing.
	PoolIdle bool
	// Team is the work of the job's team within the team's cap; nil means no cap.
	Team *Line
}

// Verdict is the result of [Decide].
type Verdict interface{ isVerdict() }

// Accepted means that the job may be done in time to be of use.
type Accepted struct {
	// Wait is the predicted time until the job starts, in the best case.
	Wait time.Duration
}

// Refused means that the job would end too late to be of use.
type Refused struct {
	Reason Reason
	// Wait and End are the expected times until the job would start and end.
	Wait, End time.Duration
	// Retry is when a job like it is expected to be accepted, later by a part that
	// depends on the job's ID.
	Retry time.Duration
}

func (Accepted) isVerdict() {}
func (Refused) isVerdict()  {}

// Reason is what binds when a job is refused.
type Reason int

// The reasons of refusals.
const (
	// Room means that the VMs of the pool have no room in time.
	Room Reason = iota
	// Cap means that the cap of the job's team leaves no room in time.
	Cap
	// TooLarge means that a task of the job needs more than any VM has.
	TooLarge
)

// Reasons is the number of reasons.
const Reasons = 3

var reasonNames = [Reasons]string{"no room in time", "cap of the team", "larger than any VM"}

func (r Reason) String() string { return reasonNames[r] }

// Decide accepts or refuses a job. Predicted waits are multiplied by factor, the least ratio
// of actual to predicted waits that is to be expected, but never made longer.
//
// Late work goes first only if the job can't start early enough to end within its objective.
func Decide(j Job, l Lines, factor float64) Verdict {
	factor = min(factor, 1)
	reason, wait := Room, time.Duration(0)
	if !l.PoolIdle {
		wait = l.Pool.wait(j, factor)
	}
	if l.Team != nil {
		if teamWait := l.Team.wait(j, factor); teamWait > wait {
			reason, wait = Cap, teamWait
		}
	}
	expected := scale(wait, factor)
	if end := expected + j.Chain; end > j.Expiry {
		return Refused{Reason: reason, Wait: expected, End: end, Retry: RetryAfter(j.ID, end-j.Expiry)}
	}
	return Accepted{Wait: wait}
}

// wait returns the least time until the job starts, or until it must have started to end no
// sooner than the room for its work allows.
//
// Work that turns late is passed by a job that arrived after it. If the line doesn't grow,
// the job may therefore start before everything that waits now. If it grows, work that arrives
// takes the place of what turns late.
func (l *Line) wait(j Job, factor float64) time.Duration {
	if !l.Growing {
		return 0
	}
	ahead := l.Backlog.before(j.Order, j.Value)
	if scale(l.started(ahead), factor)+j.Chain > j.Objective {
		ahead = ahead.Plus(l.Backlog.before(Late, j.Value))
	}
	if ahead == (Work{}) {
		return 0
	}
	return max(l.started(ahead), l.started(ahead.Plus(j.Work))-j.Chain)
}

// started returns the least time in which all of the work is started. By then, the last of it
// may still run for the time of the longest task.
func (l *Line) started(w Work) time.Duration {
	return max(l.Supply.Time(w)-l.LongestTask, 0)
}

// scale returns d times f, which is at most [Never].
func scale(d time.Duration, f float64) time.Duration {
	return time.Duration(min(float64(d)*f, float64(Never)))
}

const (
	// minRetry is the least delay of a retry, and the least time over which retries are
	// spread.
	minRetry = time.Second
	// MaxRetry is the longest delay of a retry without the spread.
	MaxRetry = 30 * time.Second
	// retrySpread is the part of the delay over which retries are spread.
	retrySpread = 0.5
)

// RetryAfter returns when a caller may retry for which there will be room after d.
// Callers are spread by the id of their job, so that they don't return together.
func RetryAfter(id string, d time.Duration) time.Duration {
	d = min(max(d, minRetry), MaxRetry)
	h := fnv.New32a()
	// Writing to a hash never fails.
	_, _ = h.Write([]byte(id))
	share := float64(h.Sum32()) / (1 << 32)
	return d + time.Duration(share*max(retrySpread*float64(d), float64(minRetry)))
}
