package owner

import (
	"fmt"
	"time"

	"almondcove/job"
	"almondcove/ledger"
	"almondcove/schedule"
	"almondcove/store"
)

// pendingCommit is the content of one commit, and what its result is applied to.
type pendingCommit struct {
	// epoch is that of the term in which the commit was begun.
	epoch int64
	batch ledger.Batch
	// tail is the tail that the commit leaves.
	tail ledger.Tail
	// recorded holds the core's changes that the batch contains in encoded form.
	recorded schedule.RecordBatch
	// accepted holds the acceptances that the commit completes.
	accepted []*acceptance
	// long is set if the commit holds no further job because those in it are long.
	long bool
}

// maxJobBytes bounds the texts of the jobs in a commit, so that it gets through a slow link in time.
// Those of a single job may be longer.
const maxJobBytes = 256 << 10

// addJob adds the acceptance of a job.
func (c *pendingCommit) addJob(a *acceptance) {
	a.inCommit = true
	c.accepted = append(c.accepted, a)
	c.batch.Jobs = append(c.batch.Jobs, a.job)
}

// encode adds the records in c.recorded to the batch.
func (c *pendingCommit) encode() (err error) {
	for _, r := range c.recorded.States {
		c.batch.States = append(c.batch.States, ledger.StateRecord{Job: r.Job, Data: r.Data, Final: r.Final()})
	}
	c.batch.Removed = c.recorded.Removed
	c.batch.Fleet, c.batch.FleetParts, err = encodeFleet(c.recorded)
	return err
}

// setTail sets the tail that the commit leaves after last.
func (c *pendingCommit) setTail(last ledger.Tail) {
	c.tail = last
	if c.batch.Size() > 0 {
		c.tail.Count++
	}
}

// records returns the number of records in the commit.
func (c *pendingCommit) records() int {
	n := len(c.batch.Jobs) + len(c.batch.States) + len(c.batch.Removed) + len(c.batch.FleetParts)
	if c.batch.Fleet != nil {
		n++
	}
	return n
}

// divide returns commits with one record each, in an order in which none relies on a later
// one. What VMs may forget after the whole commit is left to later ones.
func (c *pendingCommit) divide() []*pendingCommit {
	var out []*pendingCommit
	add := func(r schedule.RecordBatch) { out = append(out, &pendingCommit{recorded: r}) }
	for _, part := range c.recorded.Parts {
		add(schedule.RecordBatch{Parts: []schedule.FleetPart{part}})
	}
	if c.recorded.Fleet != nil {
		add(schedule.RecordBatch{Fleet: c.recorded.Fleet})
	}
	for _, a := range c.accepted {
		one := &pendingCommit{}
		one.addJob(a)
		out = append(out, one)
	}
	for _, r := range c.recorded.States {
		add(schedule.RecordBatch{States: []schedule.StateRecord{r}})
	}
	for _, id := range c.recorded.Removed {
		add(schedule.RecordBatch{Removed: []job.ID{id}})
	}
	return out
}

// nextCommit returns the next part of a commit that was divided or, if there is none, a new
// commit. The caller holds o.mu.
func (o *Owner) nextCommit() (*pendingCommit, error) {
	for len(o.divided) > 0 {
		commit := o.divided[0]
		o.divided = o.divided[1:]
		if !o.mayCommit(commit) {
			continue
		}
		commit.epoch = o.term.Epoch
		err := commit.encode()
		commit.setTail(o.tail)
		return commit, err
	}
	return o.prepareCommit()
}

// mayCommit reports whether the records that a part of a divided commit relies on are recorded.
// Otherwise it puts the part back. The caller holds o.mu.
func (o *Owner) mayCommit(part *pendingCommit) bool {
	if part.recorded.Fleet != nil && o.core.PartsMissing() {
		o.core.CommitFailed(part.recorded)
		return false
	}
	for _, a := range part.accepted {
		if !o.core.SettingsRecorded(schedule.RecordBatch{}, a.job) {
			a.inCommit = false
			o.commitQueue = append([]*acceptance{a}, o.commitQueue...)
			return false
		}
	}
	return true
}

// isolate handles a commit that the store will never accept: it is made again record by
// record, and the record that the store does not take is set aside. The caller holds o.mu.
func (o *Owner) isolate(commit *pendingCommit, cause *store.Invalid) {
	if commit.records() > 1 {
		o.divided = append(commit.divide(), o.divided...)
		return
	}
	now := time.Now()
	o.core.Defer(commit.recorded, now)
	for _, a := range commit.accepted {
		o.respond(a, Answer{Outcome: Invalid, Reason: "not taken by the store: " + cause.Error()})
	}
	o.config.Log.Error("record set aside because the store does not take it", "record", commit.name(), "cause", cause, "deferred", o.core.Deferred())
}

// name returns a name for the only record of a commit.
func (c *pendingCommit) name() string {
	switch {
	case len(c.accepted) > 0:
		return "job " + string(c.accepted[0].job.ID)
	case len(c.recorded.States) > 0:
		return "state " + string(c.recorded.States[0].Job)
	case len(c.recorded.Removed) > 0:
		return "removed job " + string(c.recorded.Removed[0])
	case len(c.recorded.Parts) > 0:
		return fmt.Sprintf("part %d of the fleet", c.recorded.Parts[0].Number)
	}
	return "fleet"
}

// putBack returns the records of a commit that was not made, to be written later, and answers
// the acceptances. The caller holds o.mu.
func (o *Owner) putBack(commit *pendingCommit, answer Answer) {
	o.core.CommitFailed(commit.recorded)
	o.respondAll(commit, answer)
}

// putBackDivided puts back the parts of a divided commit that have not been made. The caller
// holds o.mu.
func (o *Owner) putBackDivided(answer Answer) {
	for _, part := range o.divided {
		o.putBack(part, answer)
	}
	o.divided = nil
}
