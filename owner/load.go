package owner

import (
	"time"

	"almondcove/schedule"
)

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
	// starts counts the start orders that VMs accepted, and full the plans after which as many
	// were in flight as the window allows.
	starts, full int
	// holds, refused and unanswered count the holds that VMs accepted, those that could not
	// be sent, and those without an answer.
	holds, refused, unanswered int
	// late is the longest time for which planLoop waited for the processor after a pause.
	late time.Duration
}

// addHold counts the result of a hold.
func (l *load) addHold(r schedule.Result) {
	switch r {
	case schedule.Accepted:
		l.holds++
	case schedule.Unsent:
		l.refused++
	case schedule.Unanswered:
		l.unanswered++
	}
}

// addPlan counts a plan.
func (l *load) addPlan(took time.Duration) {
	l.plans++
	l.planning += took
}

// addCommit counts a commit, whether or not it succeeded.
func (l *load) addCommit(c *pendingCommit, took time.Duration) {
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
		"starts", l.starts, "starting", backlog.Starting, "window", o.congestion.Window(), "full", l.full,
		"holds", l.holds, "refused", l.refused, "unanswered", l.unanswered, "late", l.late.Milliseconds(), "carriers", o.carriers(), "delay", o.congestion.Delay().Milliseconds(),
		"silent", backlog.Silent, "gates", backlog.Gates)
}

// carriers returns the number of entries that carry calls to VMs.
func (o *Owner) carriers() int {
	if o.config.Carriers == nil {
		return 0
	}
	return o.config.Carriers()
}
