// Package locality decides how long a task should wait for a place near its data while it
// could start at once on a place far away, where it takes longer.
//
// A wait pays while the expected time until a near place is free is at most half of the time
// that the task would lose far away. As that estimate may be wrong, no wait lasts longer than
// that loss: a task loses at most twice what it would have lost by starting far away at once.
// The package keeps no state of a wait: the caller decides anew whenever something has changed.
//
// # Usage
//
//	var d locality.Durations
//	d.Observe(900 * time.Millisecond) // for each task that has ended
//	places := locality.AppendPlaces(nil, free, need, []locality.Release{
//		{After: d.Remaining(age), Need: used},
//	}, 1)
//	w := locality.Wait{FarFactor: 2, TaskTime: d.Mean(), Expected: places[0], Left: left}
//	if w.Decide() == locality.Pays {
//		// start the task near its data once there is room
//	}
package locality

import "time"

// MaxWait bounds every wait. Callers expect a job to run within 3 s if any VM has room for it.
const MaxWait = 2 * time.Second

// maxShare is the largest part of the loss that a wait may be expected to take. It is less than
// one because the place that a task waits for is then lost to those that come later.
const maxShare = 0.5

// planMargin is the time allowed from one decision to the next and for the start itself.
const planMargin = 150 * time.Millisecond

// Wait describes a possible wait for a near place.
type Wait struct {
	// FarFactor is how many times as long the task takes far away.
	FarFactor float64
	// TaskTime is how long the task is expected to take near its data.
	TaskTime time.Duration
	// Waited is how long the task has waited for a near place while a far one was free.
	Waited time.Duration
	// Expected is the expected time until a near place is free.
	Expected time.Duration
	// Left is the time until the task has to end for its job to meet its objective.
	Left time.Duration
	// OnlyNear is set if the objective leaves no time for a far place even without a wait.
	OnlyNear bool
}

// Verdict says whether a wait pays, and if not, why.
type Verdict int

// The verdicts.
const (
	// Pays means that the task should wait.
	Pays Verdict = iota
	// NoLoss means that the task loses nothing far away.
	NoLoss
	// TooSlow means that a near place is expected later than the wait may last.
	TooSlow
	// TimeUp means that the wait has lasted as long as it may.
	TimeUp
	// TooLate means that the task could not be in time any more if it waited.
	TooLate
)

var verdictNames = [...]string{"pays", "no loss", "too slow", "time up", "too late"}

func (v Verdict) String() string { return verdictNames[v] }

// Loss returns how much longer the task takes far away.
func (w Wait) Loss() time.Duration {
	return time.Duration((w.FarFactor - 1) * float64(w.TaskTime))
}

// Bound returns how long the task may wait altogether, whatever is expected.
func (w Wait) Bound() time.Duration { return min(w.Loss(), MaxWait) }

// Decide returns whether the wait pays.
func (w Wait) Decide() Verdict {
	if w.Loss() <= 0 {
		return NoLoss
	}
	rest := min(w.Bound()-w.Waited, time.Duration(maxShare*float64(w.Loss())))
	if rest <= 0 {
		return TimeUp
	}
	spare := w.spare()
	switch {
	case spare <= 0:
		return TooLate
	case w.Expected > rest:
		return TooSlow
	case w.Expected > spare:
		return TooLate
	}
	return Pays
}

// spare returns how long the task can wait and still be in time far away, or near its data if
// the objective allows no other place.
func (w Wait) spare() time.Duration {
	if w.OnlyNear {
		return w.Left - w.TaskTime - planMargin
	}
	return w.Left - w.TaskTime - w.Loss() - planMargin
}
