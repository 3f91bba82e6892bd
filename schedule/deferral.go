package schedule

import (
	"strconv"
	"time"
)

// The pauses after which a record that the store does not take is tried again.
const (
	firstDeferral = time.Second
	maxDeferral   = 32 * time.Second
)

// deferral keeps a record that the store does not take out of the batches, so that it does
// not hold up others.
type deferral struct {
	until time.Time
	// pause is the last pause; it doubles each time.
	pause time.Duration
	// over is set once the pause is over and the record may be tried again.
	over bool
}

// fleetName is the name of the record of the fleet without its VMs among deferrals.
const fleetName = "fleet"

func partName(number int) string { return "part " + strconv.Itoa(number) }

// name returns the name of a record among deferrals. The record of a job that has ended has
// another one than those before, since it is short whatever those were.
func (r StateRecord) name() string { return stateName(string(r.Job), r.Final()) }

func stateName(id string, final bool) string {
	if final {
		return "end " + id
	}
	return "state " + id
}

// defers reports whether a record is kept out of the batches now.
func (c *Core) defers(name string) bool {
	d, ok := c.deferrals[name]
	return ok && !d.over
}

func (c *Core) defersState(tj *trackedJob) bool {
	return len(c.deferrals) > 0 && c.defers(stateName(string(tj.ID), tj.state.Phase().Final()))
}

// Defer handles a batch whose records the store does not take, each of them by itself: like
// [Core.CommitFailed], but they are not in a batch again before a pause. Until they are
// recorded, VMs keep the ends of their tasks, and what waits for the record of a VM or a queue
// goes on waiting.
func (c *Core) Defer(r RecordBatch, now time.Time) {
	c.CommitFailed(r)
	for _, s := range r.States {
		c.deferRecord(s.name(), now)
	}
	for _, part := range r.Parts {
		c.deferRecord(partName(part.Number), now)
	}
	if r.Fleet != nil {
		c.deferRecord(fleetName, now)
	}
}

func (c *Core) deferRecord(name string, now time.Time) {
	pause := min(max(2*c.deferrals[name].pause, firstDeferral), maxDeferral)
	c.deferrals[name] = deferral{until: now.Add(pause), pause: pause}
	c.stats.Deferred++
}

// endDeferrals lets the records whose pauses are over be tried again.
func (c *Core) endDeferrals(now time.Time) {
	for name, d := range c.deferrals {
		if !d.over && !now.Before(d.until) {
			d.over = true
			c.deferrals[name] = d
		}
	}
}

// endDeferralsOf forgets the deferrals of the records of a batch that was committed.
func (c *Core) endDeferralsOf(r RecordBatch) {
	if len(c.deferrals) == 0 {
		return
	}
	for _, s := range r.States {
		delete(c.deferrals, s.name())
		if s.Final() {
			delete(c.deferrals, stateName(string(s.Job), false))
		}
	}
	for _, part := range r.Parts {
		delete(c.deferrals, partName(part.Number))
	}
	if r.Fleet != nil {
		delete(c.deferrals, fleetName)
	}
}

// Deferred returns how many records the store does not take.
func (c *Core) Deferred() int { return len(c.deferrals) }

// SettingsDeferred reports whether the queue or the team of a job can't be recorded now, so
// that the job can't be accepted, and when that may be tried again.
func (c *Core) SettingsDeferred(queue, team string, now time.Time) (time.Duration, bool) {
	if len(c.deferrals) == 0 {
		return 0, false
	}
	var wait time.Duration
	if !c.queueRecorded(queue) && c.defers(partName(partOf(queue))) {
		wait = max(wait, c.deferrals[partName(partOf(queue))].until.Sub(now))
	}
	if !c.team(team).recorded() && c.defers(partName(partOf(team))) {
		wait = max(wait, c.deferrals[partName(partOf(team))].until.Sub(now))
	}
	return wait, wait > 0
}
