package owner

import (
	"context"
	"encoding/json"
	"time"

	"github.com/go-faster/errors"

	"almondcove/delay"
	"almondcove/job"
	"almondcove/ledger"
	"almondcove/schedule"
)

// Submit accepts a job. It returns once the job is recorded, or the outcome can
// be told. A job that was accepted before is the same job.
func (o *Owner) Submit(ctx context.Context, j *job.Job) Answer {
	if err := j.Check(); err != nil {
		return Answer{Outcome: Invalid, Reason: err.Error()}
	}
	o.mu.Lock()
	if a, ok := o.ready(); !ok {
		o.mu.Unlock()
		return a
	}
	if phase, ok := o.core.Job(j.ID); ok {
		o.mu.Unlock()
		return Answer{Outcome: Done, Phase: phase}
	}
	a := o.pending[j.ID]
	if a == nil {
		if refusal, ok := o.admit(j); !ok {
			o.mu.Unlock()
			return refusal
		}
		// The owner's clock counts: those of the entries differ.
		j.Epoch, j.Accepted = o.term.Epoch, time.Now()
		a = &acceptance{job: j, answer: make(chan Answer, 1)}
		o.pending[j.ID] = a
		o.queue = append(o.queue, a)
		wake(o.commit)
	}
	a.waiting++
	o.mu.Unlock()
	return o.await(ctx, a)
}

// ready reports whether this entry owns the jobs and may answer for them.
func (o *Owner) ready() (Answer, bool) {
	if !o.active || !o.config.Valid() {
		return Answer{Outcome: NotOwner, Retry: retrySoon, Reason: "not the owner"}, false
	}
	return Answer{}, true
}

// admit decides whether a job may be accepted now.
func (o *Owner) admit(j *job.Job) (Answer, bool) {
	if o.stuck() {
		return Answer{Outcome: Refused, Retry: retryLost, Reason: "store lost"}, false
	}
	retry, ok := o.core.Admit(j, time.Now())
	if !ok {
		return Answer{Outcome: Refused, Retry: retry, Reason: "no room in time"}, false
	}
	return Answer{}, true
}

// stuck reports whether a commit has had no answer for long.
func (o *Owner) stuck() bool {
	refused := !o.lost.IsZero() && time.Since(o.lost) < lostFor
	return refused || !o.since.IsZero() && time.Since(o.since) > stuckAfter
}

// refuseQueued refuses the jobs that wait for a store which does not answer.
func (o *Owner) refuseQueued() {
	if !o.stuck() {
		return
	}
	for _, a := range o.queue {
		o.settle(a, Answer{Outcome: Refused, Retry: retryLost, Reason: "store lost"})
	}
	o.queue = nil
}

// await waits for the answer to an acceptance.
func (o *Owner) await(ctx context.Context, a *acceptance) Answer {
	select {
	case answer := <-a.answer:
		// Others may wait for the same job.
		a.answer <- answer
		return answer
	case <-ctx.Done():
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	a.waiting--
	if a.writing || a.waiting > 0 {
		return Answer{Outcome: Unsettled, Reason: "not recorded in time"}
	}
	for i, q := range o.queue {
		if q == a {
			o.queue = append(o.queue[:i], o.queue[i+1:]...)
			delete(o.pending, a.job.ID)
			return Answer{Outcome: Refused, Retry: retryLost, Reason: "not recorded in time"}
		}
	}
	return Answer{Outcome: Unsettled, Reason: "not recorded in time"}
}

// settle answers an acceptance.
func (o *Owner) settle(a *acceptance, answer Answer) {
	delete(o.pending, a.job.ID)
	a.answer <- answer
}

// Show returns the phase of a job.
func (o *Owner) Show(id job.ID) Answer {
	o.mu.Lock()
	defer o.mu.Unlock()
	if a, ok := o.ready(); !ok {
		return a
	}
	if phase, ok := o.core.Job(id); ok {
		return Answer{Outcome: Done, Phase: phase}
	}
	if o.pending[id] != nil {
		return Answer{Outcome: Done, Phase: job.Pending}
	}
	return Answer{Outcome: NoJob}
}

// Count returns the number of a queue's jobs of which nothing has started.
func (o *Owner) Count(queue string) Answer {
	o.mu.Lock()
	defer o.mu.Unlock()
	if a, ok := o.ready(); !ok {
		return a
	}
	return Answer{Outcome: Done, Waiting: o.core.Waiting(queue)}
}

// Cancel cancels a job and returns once that is recorded.
func (o *Owner) Cancel(ctx context.Context, id job.ID) Answer {
	o.mu.Lock()
	if a, ok := o.ready(); !ok {
		o.mu.Unlock()
		return a
	}
	if a := o.pending[id]; a != nil {
		a.waiting++
		o.mu.Unlock()
		if answer := o.await(ctx, a); answer.Outcome != Done {
			return answer
		}
		return o.Cancel(ctx, id)
	}
	defer o.mu.Unlock()
	if !o.core.Cancel(id, time.Now()) {
		return Answer{Outcome: NoJob}
	}
	wake(o.plan)
	for {
		phase, ok := o.core.Job(id)
		if !ok {
			return Answer{Outcome: NoJob}
		}
		if phase.Final() {
			return Answer{Outcome: Done, Phase: phase}
		}
		w := &waiter{id: id, done: make(chan struct{})}
		o.waiters = append(o.waiters, w)
		wake(o.commit)
		o.mu.Unlock()
		select {
		case <-w.done:
		case <-ctx.Done():
		}
		o.mu.Lock()
		if ctx.Err() != nil {
			return Answer{Outcome: Unsettled, Reason: "not recorded in time"}
		}
		if a, ok := o.ready(); !ok {
			a.Outcome = Unsettled
			return a
		}
	}
}

// commitLoop writes records.
func (o *Owner) commitLoop() {
	for {
		select {
		case <-o.ctx.Done():
			return
		case <-o.commit:
		}
		if full := o.commitOnce(); full {
			continue
		}
		if !delay.For(o.ctx, commitGap) {
			return
		}
	}
}

// load is what one commit writes, with those who wait for it.
type load struct {
	batch    ledger.Batch
	recorded schedule.RecordBatch
	accepted []*acceptance
}

// commitOnce writes what there is to record and reports whether a commit was full,
// so that there is nothing to wait for.
func (o *Owner) commitOnce() bool {
	o.mu.Lock()
	core := o.core
	if !o.active {
		o.mu.Unlock()
		return false
	}
	l, err := o.gather()
	if l.batch.Size() > 0 {
		o.since = time.Now()
	}
	o.mu.Unlock()
	if err != nil {
		o.config.Log.Error("records not encoded", "error", err)
		return false
	}
	if l.batch.Size() > 0 {
		began := time.Now()
		err = o.config.Ledger.Commit(o.ctx, l.batch)
		o.config.Committed(time.Since(began), err)
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.since = time.Time{}
	o.committed(core, l, err)
	return err == nil && l.batch.Size() >= ledger.MostWrites-1
}

// gather takes what is to be written.
func (o *Owner) gather() (load, error) {
	var l load
	n := min(len(o.queue), ledger.MostWrites/2)
	l.accepted = append(l.accepted, o.queue[:n]...)
	o.queue = o.queue[n:]
	for _, a := range l.accepted {
		a.writing = true
		l.batch.Jobs = append(l.batch.Jobs, a.job)
	}
	var err error
	l.recorded, err = o.core.TakeRecords(ledger.MostWrites-n-1, time.Now())
	if err != nil {
		return l, err
	}
	for _, r := range l.recorded.States {
		l.batch.States = append(l.batch.States, ledger.Record{Job: r.Job, Data: r.Data, Final: r.Final()})
	}
	if l.recorded.Fleet != nil {
		l.batch.Fleet, err = json.Marshal(l.recorded.Fleet)
	}
	if room := ledger.MostWrites - l.batch.Size(); room >= 2 {
		l.recorded.Removed = o.core.Expired(time.Now(), room/2)
		l.batch.Removed = l.recorded.Removed
	}
	return l, err
}

// committed draws the consequences of a commit.
func (o *Owner) committed(core *schedule.Core, l load, err error) {
	if err != nil {
		o.config.Log.Warn("records not written", "keys", l.batch.Size(), "error", err)
		answer := Answer{Outcome: Unsettled, Retry: retrySoon, Reason: err.Error()}
		if _, ok := errors.Into[*ledger.Unwritten](err); ok {
			answer = Answer{Outcome: Refused, Retry: retryLost, Reason: "store lost"}
			o.lost = time.Now()
			wake(o.commit)
		}
		for _, a := range l.accepted {
			o.settle(a, answer)
		}
		if _, ok := errors.Into[*ledger.Deposed](err); ok {
			o.active = false
		}
		if o.core == core {
			core.Unwritten(l.recorded)
		}
		o.wakeWaiters()
		return
	}
	if o.core != core {
		for _, a := range l.accepted {
			o.settle(a, Answer{Outcome: Unsettled, Reason: "owner replaced"})
		}
		return
	}
	now := time.Now()
	o.lost = time.Time{}
	core.Written(l.recorded)
	for _, a := range l.accepted {
		core.Add(a.job, job.NewState(a.job), now)
		o.config.Log.Info("job accepted", "job", a.job.ID, "queue", a.job.Queue, "team", a.job.Team,
			"epoch", a.job.Epoch, "waited", now.Sub(a.job.Accepted).Milliseconds())
		o.settle(a, Answer{Outcome: Done})
	}
	o.wakeWaiters()
	wake(o.plan)
	if len(o.queue) > 0 || core.Unrecorded() {
		wake(o.commit)
	}
}

func (o *Owner) wakeWaiters() {
	for _, w := range o.waiters {
		close(w.done)
	}
	o.waiters = nil
}
