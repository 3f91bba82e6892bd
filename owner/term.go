package owner

import (
	"context"
	"time"

	"almondcove/delay"
	"almondcove/ledger"
	"almondcove/schedule"
	"almondcove/shard"
	"almondcove/store"
)

// Elected begins a new term. If the election replaced exactly the tail that this process has
// written or read last, the owner continues with its state in memory. Otherwise it first reads
// the records, in the background. A term that [Owner.Deposed] has already ended does not begin.
func (o *Owner) Elected(t shard.Term) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if t.Epoch <= o.endedEpoch {
		return
	}
	o.endTerm()
	o.term = t
	o.config.Ledger.SetTail(t.Tail)
	if o.settleCommit(t.Replaced) {
		o.continueCore(t)
		return
	}
	o.core = nil
	o.listAwaited = false
	ctx, cancel := context.WithCancel(o.ctx)
	o.stopReading = cancel
	o.done.Go(func() {
		defer cancel()
		o.recoverRecords(ctx, t)
	})
}

// settleCommit settles the commit whose outcome is not known by the tail that an election
// replaced: no earlier transaction takes effect after it. It reports whether the core then
// holds the records as they were under that tail. A tail that names this process is not
// enough: it may be that of an election whose answer was lost, by which this process replaced
// another owner. The caller holds o.mu.
func (o *Owner) settleCommit(replaced ledger.Tail) bool {
	commit := o.commit
	o.commit = nil
	switch {
	case o.core != nil && replaced == o.tail:
		if commit != nil {
			o.config.Log.Info("commit in doubt was not carried out", "epoch", commit.epoch, "keys", commit.batch.Size())
			o.putBack(commit, Answer{Outcome: Refused, Retry: retryAfterOwnerChange, Reason: "owner replaced"})
		}
		return true
	case o.core != nil && commit != nil && replaced == commit.tail:
		o.config.Log.Info("commit in doubt was carried out", "epoch", commit.epoch, "keys", commit.batch.Size())
		o.applyCommit(commit)
		return true
	}
	if commit != nil {
		o.respondAll(commit, Answer{Outcome: Unsettled, Reason: "owner replaced"})
	}
	return false
}

// continueCore begins a term with the state in memory. The caller holds o.mu.
func (o *Owner) continueCore(t shard.Term) {
	o.tail = t.Tail.Tail
	o.core.SetEpoch(t.Epoch)
	o.listAwaited = !o.listed
	if o.listed {
		o.core.SetVMs(o.vms, time.Now())
	}
	o.active = true
	o.keepSessions()
	o.config.Log.Info("state in memory is that of the records", "epoch", t.Epoch, "tail", t.Replaced)
	wake(o.planWake)
	wake(o.commitWake)
}

// Deposed ends the term of an epoch: it stops the owner from acting and refuses the
// jobs that are not yet part of a commit. It does nothing if a later term has begun.
func (o *Owner) Deposed(epoch int64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.endedEpoch = max(o.endedEpoch, epoch)
	if o.term.Epoch <= epoch {
		o.endTerm()
	}
}

// endTerm ends the present term, if that is not over yet. The caller holds o.mu.
func (o *Owner) endTerm() {
	defer o.wakeWaiters()
	o.stopReading()
	o.active = false
	o.listed = false
	for _, a := range o.commitQueue {
		if !a.inCommit {
			o.respond(a, Answer{Outcome: Refused, Retry: retryAfterOwnerChange, Reason: "owner replaced"})
		}
	}
	o.commitQueue = nil
	o.putBackDivided(Answer{Outcome: Refused, Retry: retryAfterOwnerChange, Reason: "owner replaced"})
}

// HandOver prepares for a change of owner: it stops planning, so that no new orders
// are sent, and records the runs of each VM, so that the next owner can continue at
// once. It returns when everything is recorded or ctx ends.
func (o *Owner) HandOver(ctx context.Context) {
	o.mu.Lock()
	if o.active {
		o.core.BeginHandover()
		wake(o.commitWake)
	}
	o.mu.Unlock()
	for ctx.Err() == nil {
		o.mu.Lock()
		unfinished := o.active && (o.core.Unrecorded() || !o.commitStartedAt.IsZero() || len(o.commitQueue)+len(o.divided) > 0)
		o.mu.Unlock()
		if !unfinished {
			return
		}
		delay.Sleep(ctx, commitPause)
	}
}

// isCurrent reports whether t is the term of the last election won and has not ended. The
// caller holds o.mu.
func (o *Owner) isCurrent(t shard.Term) bool {
	return o.term.Epoch == t.Epoch && t.Epoch > o.endedEpoch
}

// recoverRecords reads the records of a new term, with retries until ctx ends, and then
// activates the owner. Once it has read nothing new for recoveryTimeout, it steps down.
func (o *Owner) recoverRecords(ctx context.Context, t shard.Term) {
	began := time.Now()
	progressed, loader := began, o.config.Ledger.NewLoader()
	for ctx.Err() == nil {
		o.mu.Lock()
		isCurrent, configured := o.isCurrent(t), o.configured
		o.mu.Unlock()
		if !isCurrent {
			return
		}
		err := error(&Unconfigured{})
		read := loader.Bytes()
		if configured {
			err = o.loadRecords(ctx, t, loader, began)
		}
		if err == nil || ctx.Err() != nil {
			return
		}
		if loader.Bytes() > read {
			progressed = time.Now()
		}
		o.config.Log.Warn("failed to read records", "epoch", t.Epoch, "bytes", loader.Bytes(), "took", time.Since(began), "error", err)
		if time.Since(progressed) > recoveryTimeout {
			o.config.StepDown("records not read")
			return
		}
		delay.Sleep(ctx, loadRetryDelay)
	}
}

// Unconfigured reports that an owner has not yet received the operators'
// configuration, which says where tasks may run and how often they may fail.
type Unconfigured struct{}

func (*Unconfigured) Error() string { return "owner: no operator configuration received yet" }

// loadRecords reads the records that are missing and activates the owner with all of them.
func (o *Owner) loadRecords(ctx context.Context, t shard.Term, loader *ledger.Loader, began time.Time) error {
	ctx, cancel := store.WithStallTimeout(ctx, loadStallTimeout)
	defer cancel()
	snapshot, err := loader.Load(ctx)
	if err != nil {
		return err
	}
	return o.startCore(t, snapshot, began)
}

// startCore builds a core from the records and activates the owner. It does nothing
// if the term has ended or a later one has begun in the meantime. began is when the owner started to
// read the records.
func (o *Owner) startCore(t shard.Term, snapshot ledger.Snapshot, began time.Time) error {
	fleet, err := decodeFleet(snapshot)
	if err != nil {
		return err
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if !o.isCurrent(t) {
		return nil
	}
	now := time.Now()
	c := o.config.Schedule
	c.Epoch = t.Epoch
	if !c.ChecksMachineTokens && !t.PredecessorEnded {
		c.LateMachineOrders = machineTimeout
	}
	c.Log = o.config.Log
	o.core, o.tail = schedule.New(c), t.Tail.Tail
	o.core.SetView(o.view, now)
	// Jobs were refused until now, while there was no owner.
	o.core.JobsRefused(now)
	o.core.RestoreFleet(fleet, began, c.MaxLeaseWithDrift()+gateMargin)
	for _, stored := range snapshot.Jobs {
		o.core.Add(stored.Job, stored.State, now)
	}
	if o.listed {
		o.core.SetVMs(o.vms, now)
	}
	o.active = true
	o.keepSessions()
	o.config.Log.Info("records read", "epoch", t.Epoch, "jobs", len(snapshot.Jobs), "vms", len(fleet.VMs),
		"bytes", snapshot.Bytes, "took", time.Since(began))
	wake(o.planWake)
	wake(o.commitWake)
	return nil
}
