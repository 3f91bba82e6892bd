// Package suspend decides which runs of tasks are stopped at a checkpoint, to go on later, so
// that their VM falls empty for more urgent work.
//
// It answers the load in which one pool has urgent tasks waiting while the machines that it
// could get still run less urgent ones. A VM that is left to fall empty keeps its machine until
// the longest of its runs has ended, and takes no other task meanwhile. A run that writes
// checkpoints loses only the time that it takes to restore one, so it is suspended where that is
// less than the rest of the run. Other runs are never suspended: their work would be lost.
//
// The package does no I/O and reads no clock.
//
// # Usage
//
//	p := suspend.Policy{StopTime: 200 * time.Millisecond, RestoreTime: 250 * time.Millisecond}
//	plain, suspended := p.TimeToEmpty(runs)
//	if p.Pays(run) && budget.Take(now) {
//		// order the stop
//	}
package suspend

import "time"

// Run is a run on a VM.
type Run struct {
	// Rest is how long the run is expected to go on.
	Rest time.Duration
	// Suspendable is set if the run writes checkpoints and is less urgent than the work that
	// waits for the machine.
	Suspendable bool
}

// Policy holds what a suspension costs. Its zero value suspends nothing.
type Policy struct {
	// StopTime is the longest time that a VM takes to stop a run.
	StopTime time.Duration
	// RestoreTime is how long a run takes to restore a checkpoint; zero means that checkpoints
	// can't be restored.
	RestoreTime time.Duration
}

// Pays reports whether a run is worth suspending: it would go on for longer than it takes to
// stop it and to restore it elsewhere.
func (p Policy) Pays(r Run) bool {
	return p.RestoreTime > 0 && r.Suspendable && r.Rest > p.StopTime+p.RestoreTime
}

// TimeToEmpty returns how long a VM takes to fall empty if it gets no further tasks: if its runs
// are left to end, and if those that are worth it are suspended.
func (p Policy) TimeToEmpty(runs []Run) (plain, suspended time.Duration) {
	for _, r := range runs {
		plain = max(plain, r.Rest)
		if p.Pays(r) {
			suspended = max(suspended, p.StopTime)
		} else {
			suspended = max(suspended, r.Rest)
		}
	}
	return plain, suspended
}

// Budget bounds how many runs are suspended in a second. It is not safe for concurrent use.
type Budget struct {
	// PerSecond is the number of suspensions allowed in a second.
	PerSecond float64
	left      float64
	updatedAt time.Time
}

// Take reports whether another run may be suspended now, and counts it if so.
func (b *Budget) Take(now time.Time) bool {
	b.left = min(b.left+b.PerSecond*now.Sub(b.updatedAt).Seconds(), b.PerSecond)
	b.updatedAt = now
	if b.left < 1 {
		return false
	}
	b.left--
	return true
}
