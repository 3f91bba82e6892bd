package owner

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"almondcove/delay"
	"almondcove/job"
	"almondcove/ledger"
	"almondcove/store"
)

// Submit accepts a job. It returns once the job is recorded or refused, or ctx ends.
// Submitting an accepted job again has no effect and returns its phase.
func (o *Owner) Submit(ctx context.Context, j *job.Job) Answer {
	if err := j.Check(); err != nil {
		return Answer{Outcome: Invalid, Reason: err.Error()}
	}
	if refusal, ok := o.CheckSize(j); !ok {
		return refusal
	}
	o.mu.Lock()
	if a, ok := o.checkOwnership(); !ok {
		o.mu.Unlock()
		return a
	}
	if phase, ok := o.core.JobPhase(j.ID); ok {
		o.mu.Unlock()
		return Answer{Outcome: Done, Phase: phase}
	}
	a := o.pending[j.ID]
	if a == nil {
		if refusal, ok := o.admit(j); !ok {
			o.mu.Unlock()
			return refusal
		}
		// The owner's clock sets the time, because the clocks of the entries differ.
		j.Epoch, j.Accepted = o.term.Epoch, time.Now()
		a = &acceptance{job: j, answer: make(chan Answer, 1)}
		o.pending[j.ID] = a
		o.commitQueue = append(o.commitQueue, a)
		wake(o.commitWake)
	}
	a.callers++
	o.mu.Unlock()
	return o.awaitAnswer(ctx, a)
}

// CheckSize reports whether the store takes the record of a job. If not, it returns the answer to
// give. Any entry may call it.
func (o *Owner) CheckSize(j *job.Job) (Answer, bool) {
	if err := o.config.Ledger.CheckJob(j); err != nil {
		return Answer{Outcome: Invalid, Reason: err.Error()}, false
	}
	return Answer{}, true
}

// checkOwnership reports whether this entry owns the jobs and may answer requests
// about them. If not, it returns the answer to give. The caller holds o.mu.
func (o *Owner) checkOwnership() (Answer, bool) {
	if !o.active || !o.config.HoldsOwnership() {
		return Answer{Outcome: NotOwner, Retry: retryAfterOwnerChange, Reason: "not the owner"}, false
	}
	return Answer{}, true
}

// admit reports whether a job may be accepted now. If not, it returns the answer to
// give. The caller holds o.mu.
func (o *Owner) admit(j *job.Job) (Answer, bool) {
	if refusal, ok := o.mayRecord(); !ok {
		return refusal, false
	}
	if retry, deferred := o.core.SettingsDeferred(j.Queue, j.Team, time.Now()); deferred {
		return Answer{Outcome: Refused, Retry: retry, Reason: "queue or team not recorded"}, false
	}
	if refusal, ok := o.core.Admit(j, time.Now()); !ok {
		return Answer{Outcome: Refused, Retry: refusal.Retry, Reason: refusal.Reason}, false
	}
	return Answer{}, true
}

// mayRecord reports whether another job may be queued for a commit. If not, it returns the
// answer to give. The caller holds o.mu.
func (o *Owner) mayRecord() (Answer, bool) {
	if o.storeUnavailable() {
		return Answer{Outcome: Refused, Retry: retryAfterStoreLoss, Reason: "store lost"}, false
	}
	if o.queueTooOld() {
		return Answer{Outcome: Refused, Retry: retryAfterFullQueue, Reason: "too many jobs wait to be recorded"}, false
	}
	return Answer{}, true
}

// storeUnavailable reports whether the store recently refused a commit or has left
// one unanswered for longer than commitStuckAfter.
func (o *Owner) storeUnavailable() bool {
	refused := !o.commitRefusedAt.IsZero() && time.Since(o.commitRefusedAt) < refusedCommitBackoff
	return refused || !o.commitStartedAt.IsZero() && time.Since(o.commitStartedAt) > commitStuckAfter
}

// queueTooOld reports whether a job has waited too long to be recorded for others to be
// accepted. The caller holds o.mu.
func (o *Owner) queueTooOld() bool {
	return len(o.commitQueue) > 0 && time.Since(o.commitQueue[0].job.Accepted) > maxQueueTime
}

// refuseQueued refuses the jobs in commitQueue if the store is unavailable. The
// caller holds o.mu.
func (o *Owner) refuseQueued() {
	if !o.storeUnavailable() {
		return
	}
	for _, a := range o.commitQueue {
		o.respond(a, Answer{Outcome: Refused, Retry: retryAfterStoreLoss, Reason: "store lost"})
	}
	o.commitQueue = nil
}

// awaitAnswer waits for the answer to an acceptance. If ctx ends first, it withdraws
// the job, unless another request waits for the answer or the job is already part of
// a commit.
func (o *Owner) awaitAnswer(ctx context.Context, a *acceptance) Answer {
	select {
	case answer := <-a.answer:
		// Puts the answer back for other requests that wait for it.
		a.answer <- answer
		return answer
	case <-ctx.Done():
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	a.callers--
	if a.inCommit || a.callers > 0 {
		return Answer{Outcome: Unsettled, Reason: "not recorded in time"}
	}
	for i, queued := range o.commitQueue {
		if queued == a {
			o.commitQueue = append(o.commitQueue[:i], o.commitQueue[i+1:]...)
			delete(o.pending, a.job.ID)
			return Answer{Outcome: Refused, Retry: retryAfterStoreLoss, Reason: "not recorded in time"}
		}
	}
	return Answer{Outcome: Unsettled, Reason: "not recorded in time"}
}

// respond answers an acceptance, unless it has been answered. The caller holds o.mu.
func (o *Owner) respond(a *acceptance, answer Answer) {
	if o.pending[a.job.ID] == a {
		delete(o.pending, a.job.ID)
		a.answer <- answer
	}
}

// respondAll answers the acceptances of a commit. The caller holds o.mu.
func (o *Owner) respondAll(commit *pendingCommit, answer Answer) {
	for _, a := range commit.accepted {
		o.respond(a, answer)
	}
}

// Show returns the phase of a job.
func (o *Owner) Show(id job.ID, scope Scope) Answer {
	o.mu.Lock()
	defer o.mu.Unlock()
	if a, ok := o.checkOwnership(); !ok {
		return a
	}
	if !o.inScope(id, scope) {
		return Answer{Outcome: NoJob}
	}
	if phase, ok := o.core.JobPhase(id); ok {
		return Answer{Outcome: Done, Phase: phase}
	}
	return Answer{Outcome: Done, Phase: job.Pending}
}

// inScope reports whether a job exists and a request may know of it. The caller holds
// o.mu.
func (o *Owner) inScope(id job.ID, scope Scope) bool {
	if j := o.core.Job(id); j != nil {
		return scope.includes(j)
	}
	a := o.pending[id]
	return a != nil && scope.includes(a.job)
}

// Count returns the number of jobs in a queue of which no task has started.
func (o *Owner) Count(queue string) Answer {
	o.mu.Lock()
	defer o.mu.Unlock()
	if a, ok := o.checkOwnership(); !ok {
		return a
	}
	return Answer{Outcome: Done, Waiting: o.core.PendingJobs(queue)}
}

// Cancel cancels a job. It returns once the cancellation is recorded or ctx ends.
func (o *Owner) Cancel(ctx context.Context, id job.ID, scope Scope) Answer {
	o.mu.Lock()
	if a, ok := o.checkOwnership(); !ok {
		o.mu.Unlock()
		return a
	}
	if !o.inScope(id, scope) {
		o.mu.Unlock()
		return Answer{Outcome: NoJob}
	}
	if a := o.pending[id]; a != nil {
		a.callers++
		o.mu.Unlock()
		if answer := o.awaitAnswer(ctx, a); answer.Outcome != Done {
			return answer
		}
		return o.Cancel(ctx, id, scope)
	}
	defer o.mu.Unlock()
	if !o.core.Cancel(id, time.Now()) {
		return Answer{Outcome: NoJob}
	}
	wake(o.planWake)
	for {
		phase, ok := o.core.JobPhase(id)
		if !ok {
			return Answer{Outcome: NoJob}
		}
		if phase.Final() {
			return Answer{Outcome: Done, Phase: phase}
		}
		w := &waiter{id: id, done: make(chan struct{})}
		o.waiters = append(o.waiters, w)
		wake(o.commitWake)
		o.mu.Unlock()
		select {
		case <-w.done:
		case <-ctx.Done():
		}
		o.mu.Lock()
		if ctx.Err() != nil {
			return Answer{Outcome: Unsettled, Reason: "not recorded in time"}
		}
		if a, ok := o.checkOwnership(); !ok {
			a.Outcome = Unsettled
			return a
		}
	}
}

// commitLoop writes changed records to the ledger.
func (o *Owner) commitLoop() {
	for {
		select {
		case <-o.ctx.Done():
			return
		case <-o.commitWake:
		}
		if full := o.commitOnce(); full {
			continue
		}
		if !delay.Sleep(o.ctx, commitPause) {
			return
		}
	}
}

// commitOnce writes the changed records. It reports whether the commit was full, not
// counting the key reserved for the fleet and one that may be too few for a record, or long, or
// parts of a commit wait; the next one should then follow without a pause.
func (o *Owner) commitOnce() bool {
	o.mu.Lock()
	if !o.active {
		o.mu.Unlock()
		return false
	}
	commit, err := o.nextCommit()
	o.commit = commit
	if commit.batch.Size() > 0 {
		o.commitStartedAt = time.Now()
	}
	o.mu.Unlock()
	var took time.Duration
	switch {
	case err != nil:
		err = &ledger.Unwritten{Cause: err}
	case commit.batch.Size() > 0:
		began := time.Now()
		err = o.config.Ledger.Commit(o.ctx, commit.batch)
		took = time.Since(began)
		o.config.Committed(took, err)
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if took > 0 {
		o.load.addCommit(commit, took)
	}
	o.commitStartedAt = time.Time{}
	o.finishCommit(commit, err)
	return len(o.divided) > 0 || err == nil && (commit.batch.Size() >= ledger.MaxBatchSize-2 || commit.long)
}

// prepareCommit collects the changes that fit into one commit. One key is reserved for the
// record of the fleet. The caller holds o.mu.
func (o *Owner) prepareCommit() (*pendingCommit, error) {
	commit := &pendingCommit{epoch: o.term.Epoch, tail: o.tail}
	states, parts := o.core.UnrecordedKeys()
	division := divideCommit(ledger.MaxBatchSize-1, [recordKinds]int{
		newJobs: len(o.commitQueue), changedStates: states, changedParts: parts,
	})
	var err error
	commit.recorded, err = o.core.TakeRecords(division[changedStates], division[changedParts], time.Now())
	if err != nil {
		return commit, err
	}
	o.takeJobs(commit, division[newJobs])
	err = commit.encode()
	if room := ledger.MaxBatchSize - commit.batch.Size(); room >= 2 {
		commit.recorded.Removed = o.core.Expired(time.Now(), room/2)
		commit.batch.Removed = commit.recorded.Removed
	}
	commit.setTail(o.tail)
	return commit, err
}

// takeJobs moves at most limit of the jobs in commitQueue to a commit. A job whose queue is not
// recorded waits for the commit that does, or is refused if the store doesn't take the record.
// The caller holds o.mu.
func (o *Owner) takeJobs(commit *pendingCommit, limit int) {
	var left []*acceptance
	now, bytes := time.Now(), 0
	for _, a := range o.commitQueue {
		if retry, deferred := o.core.SettingsDeferred(a.job.Queue, a.job.Team, now); deferred {
			o.respond(a, Answer{Outcome: Refused, Retry: retry, Reason: "queue or team not recorded"})
			continue
		}
		size := a.job.TextBytes()
		commit.long = commit.long || bytes > 0 && bytes+size > maxJobBytes
		if len(commit.accepted) == limit || commit.long || !o.core.SettingsRecorded(commit.recorded, a.job) {
			left = append(left, a)
			continue
		}
		commit.addJob(a)
		bytes += size
	}
	o.commitQueue = left
}

// finishCommit handles the result of a commit, unless an election has settled it. If the
// outcome is not known, the owner stops acting: only the next election tells whether the jobs
// in the commit exist. The caller holds o.mu.
func (o *Owner) finishCommit(commit *pendingCommit, err error) {
	defer o.wakeWaiters()
	if err != nil {
		o.config.Log.Warn("failed to write records", "keys", commit.batch.Size(), "settled", o.commit != commit, "error", err)
	}
	if o.commit != commit {
		return
	}
	if err == nil {
		o.commit, o.commitRefusedAt = nil, time.Time{}
		o.applyCommit(commit)
		return
	}
	if invalid, ok := errors.Into[*store.Invalid](err); ok {
		// The store doesn't take the records as they are; the tail is as before.
		o.commit = nil
		o.isolate(commit, invalid)
		wake(o.commitWake)
		return
	}
	if _, ok := errors.Into[*ledger.Unwritten](err); ok {
		o.commit, o.commitRefusedAt = nil, time.Now()
		o.putBack(commit, Answer{Outcome: Refused, Retry: retryAfterStoreLoss, Reason: "store lost"})
		o.putBackDivided(Answer{Outcome: Refused, Retry: retryAfterStoreLoss, Reason: "store lost"})
		wake(o.commitWake)
		return
	}
	o.respondAll(commit, Answer{Outcome: Unsettled, Retry: retryAfterOwnerChange, Reason: err.Error()})
	o.putBackDivided(Answer{Outcome: Refused, Retry: retryAfterOwnerChange, Reason: "owner replaced"})
	o.active = false
}

// applyCommit applies a commit that was carried out: it updates the core and answers the
// acceptances. The caller holds o.mu.
func (o *Owner) applyCommit(commit *pendingCommit) {
	now := time.Now()
	o.tail = commit.tail
	o.core.Committed(commit.recorded)
	for _, a := range commit.accepted {
		o.core.Add(a.job, job.NewState(a.job), now)
		o.config.Log.Info("job accepted", "job", a.job.ID, "queue", a.job.Queue, "team", a.job.Team,
			"epoch", a.job.Epoch, "waited", now.Sub(a.job.Accepted).Milliseconds())
		o.respond(a, Answer{Outcome: Done})
	}
	wake(o.planWake)
	if len(o.commitQueue)+len(o.divided) > 0 || o.core.Unrecorded() {
		wake(o.commitWake)
	}
}

// wakeWaiters wakes the requests that wait for the end of a commit. The caller holds
// o.mu.
func (o *Owner) wakeWaiters() {
	for _, w := range o.waiters {
		close(w.done)
	}
	o.waiters = nil
}
