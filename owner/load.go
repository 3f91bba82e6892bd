package owner

import "time"

// loadLogInterval is the time between two log lines on the load of the owner.
const loadLogInterval = time.Second

// load counts what the owner did since the last log line on it.
type load struct {
	since time.Time
	// plans counts the plans, planning is the time that they took.
	plans    int
	planning time.Duration
	// commits counts the commits, committing is the time that they took, and longest that
	// of the longest one.
	commits             int
	committing, longest time.Duration
	// jobs, states, parts and removed count the records in these commits.
	jobs, states, parts, removed int
}

// addPlan counts a plan.
func (l *load) addPlan(took time.Duration) {
	l.plans++
	l.planning += took
}

// addCommit counts a commit, whether or not it succeeded.
func (l *load) addCommit(c pendingCommit, took time.Duration) {
	l.commits++
	l.committing += took
	l.longest = max(l.longest, took)
	l.jobs += len(c.batch.Jobs)
	l.states += len(c.batch.States)
	l.parts += len(c.batch.FleetParts)
	l.removed += len(c.batch.Removed)
}

// logLoad logs the load of the owner once in loadLogInterval. The caller holds o.mu.
func (o *Owner) logLoad(now time.Time) {
	if o.load.since.IsZero() {
		o.load.since = now
	}
	if now.Sub(o.load.since) < loadLogInterval {
		return
	}
	l, backlog := o.load, o.core.Backlog(now)
	o.load = load{since: now}
	o.config.Log.Info("owner load", "plans", l.plans, "planning", l.planning.Milliseconds(),
		"commits", l.commits, "committing", l.committing.Milliseconds(), "longest", l.longest.Milliseconds(),
		"jobs", l.jobs, "states", l.states, "parts", l.parts, "removed", l.removed,
		"queued", len(o.commitQueue), "unrecorded", backlog.States, "oldest", backlog.Oldest.Milliseconds(),
		"outdated", backlog.Parts, "unready", backlog.Unready,
		"starting", backlog.Starting, "window", o.congestion.Window(), "delay", o.congestion.Delay().Milliseconds(),
		"silent", backlog.Silent, "gates", backlog.Gates)
}
