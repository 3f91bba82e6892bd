package jobs

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"almondcove/delay"
	"almondcove/job"
	"almondcove/owner"
	"almondcove/peer"
	"almondcove/shard"
)

// Time limits, delays and retry times of forwarded requests.
const (
	// ownerRetryDelay is the pause before the owner is looked up again.
	ownerRetryDelay = 60 * time.Millisecond
	// ownerWaitTimeout limits how long a request waits while the ownership changes.
	// After that it is refused with a retry time.
	ownerWaitTimeout = 120 * time.Millisecond
	// noOwnerRetryAfter is the retry time that callers get while there is no owner.
	noOwnerRetryAfter = time.Second
	// cutOffRetryAfter is the retry time that callers get from an entry that is cut
	// off. By then the platform routes them to other entries.
	cutOffRetryAfter = time.Second
	// ownerSilentAfter is how long the owner may answer nothing, not even the exchange of
	// status, before requests are refused without being sent to it: one that is sent and not
	// answered could not be repeated by its caller.
	ownerSilentAfter = time.Second
	// ownerCallTimeout limits one call to the owner.
	ownerCallTimeout = 1500 * time.Millisecond
)

// forward passes a request to the owner: with local if this entry is the owner, and
// with remote otherwise. It retries for up to ownerWaitTimeout while the owner is
// unknown or changing. Once an attempt has been unsettled, it retries until the outcome
// is known or ctx ends.
func (n *Node) forward(
	ctx context.Context, kind string, local func(context.Context) owner.Answer,
	remote func(context.Context, shard.Owner) (owner.Answer, error),
) owner.Answer {
	began := time.Now()
	unsettled := false
	var last owner.Answer
	for {
		last = n.tryOwner(ctx, local, remote)
		if last.Outcome == owner.Unsettled {
			unsettled = true
		}
		retryable := last.Outcome == owner.NotOwner || last.Outcome == owner.Unsettled
		if !retryable || ctx.Err() != nil || !unsettled && time.Since(began) > ownerWaitTimeout {
			break
		}
		delay.Sleep(ctx, ownerRetryDelay)
	}
	out := finalAnswer(last, unsettled)
	if out.Outcome == owner.Refused && n.CutOff() {
		out.Retry = cutOffRetryAfter
	}
	return n.metrics.observeRequest(kind, began, out)
}

// finalAnswer returns the answer for the caller. last is the answer to the last
// attempt, and unsettled is set if the outcome of any attempt was unsettled.
func finalAnswer(last owner.Answer, unsettled bool) owner.Answer {
	settled := last.Outcome == owner.Done || last.Outcome == owner.NoJob
	switch {
	case unsettled && !settled:
		// An earlier attempt may have been recorded.
		last.Outcome = owner.Unsettled
	case last.Outcome == owner.NotOwner:
		last.Outcome = owner.Refused
		last.Retry = noOwnerRetryAfter
	}
	return last
}

// ownerSilent reports whether the owner has answered nothing for ownerSilentAfter. An entry that
// has just become the owner may not have been called for long.
func (n *Node) ownerSilent(o shard.Owner) bool {
	n.mu.Lock()
	if n.ownerRun != o.Run {
		n.ownerRun, n.ownerSince = o.Run, time.Now()
	}
	since := n.ownerSince
	n.mu.Unlock()
	return min(n.links.SilentFor(o.Address), time.Since(since)) > ownerSilentAfter
}

// tryOwner makes one attempt to pass a request to the owner. An attempt that never
// reached the owner counts as NotOwner, since it had no effect.
func (n *Node) tryOwner(
	ctx context.Context, local func(context.Context) owner.Answer,
	remote func(context.Context, shard.Owner) (owner.Answer, error),
) owner.Answer {
	o, known := n.shard.Owner()
	if !known {
		return owner.Answer{Outcome: owner.NotOwner, Reason: "no owner known"}
	}
	ctx, cancel := context.WithTimeout(ctx, ownerCallTimeout)
	defer cancel()
	if o.Name == n.config.Self.Name {
		return local(ctx)
	}
	if n.ownerSilent(o) {
		return owner.Answer{Outcome: owner.NotOwner, Reason: "owner does not answer"}
	}
	a, err := remote(ctx, o)
	if err == nil {
		return a
	}
	n.config.Log.Warn("call to the owner failed", "owner", o.Name, "epoch", o.Epoch, "error", err)
	if failure, ok := errors.Into[*peer.JobCallError](err); ok && !failure.MayHaveArrived {
		return owner.Answer{Outcome: owner.NotOwner, Reason: err.Error()}
	}
	return owner.Answer{Outcome: owner.Unsettled, Reason: err.Error()}
}

// Submit passes a job to the owner, unless it can never be accepted.
func (n *Node) Submit(ctx context.Context, j *job.Job) owner.Answer {
	if err := j.Check(); err != nil {
		return owner.Answer{Outcome: owner.Invalid, Reason: err.Error()}
	}
	if refusal, ok := n.owner.CheckSize(j); !ok {
		return refusal
	}
	return n.forward(ctx, "submit",
		func(ctx context.Context) owner.Answer { return n.owner.Submit(ctx, j) },
		func(ctx context.Context, o shard.Owner) (owner.Answer, error) {
			return n.links.Submit(ctx, o.Address, j)
		})
}

// Cancel asks the owner to cancel a job.
func (n *Node) Cancel(ctx context.Context, id job.ID, scope owner.Scope) owner.Answer {
	return n.forward(ctx, "cancel",
		func(ctx context.Context) owner.Answer { return n.owner.Cancel(ctx, id, scope) },
		func(ctx context.Context, o shard.Owner) (owner.Answer, error) {
			return n.links.Cancel(ctx, o.Address, id, scope)
		})
}

// Show asks the owner for the phase of a job.
func (n *Node) Show(ctx context.Context, id job.ID, scope owner.Scope) owner.Answer {
	return n.forward(ctx, "show",
		func(context.Context) owner.Answer { return n.owner.Show(id, scope) },
		func(ctx context.Context, o shard.Owner) (owner.Answer, error) {
			return n.links.Show(ctx, o.Address, id, scope)
		})
}

// Count asks the owner for the number of a queue's jobs of which no task has
// started.
func (n *Node) Count(ctx context.Context, queue string) owner.Answer {
	return n.forward(ctx, "count",
		func(context.Context) owner.Answer { return n.owner.Count(queue) },
		func(ctx context.Context, o shard.Owner) (owner.Answer, error) {
			return n.links.Count(ctx, o.Address, queue)
		})
}

// KeysCurrent reports whether requests with keys may be served: the operators' records,
// by which keys are withdrawn, are not older than Config.MaxRecordsAge.
func (n *Node) KeysCurrent() bool {
	if n.config.MaxRecordsAge == 0 {
		return true
	}
	age, known := n.operatorRecords.Age()
	return known && age <= n.config.MaxRecordsAge
}

// Ready reports whether this entry can forward requests: it is not leaving, has
// current records of the operators and is not cut off.
func (n *Node) Ready() bool {
	n.mu.Lock()
	leaving := n.leaving
	n.mu.Unlock()
	return !leaving && n.operatorRecords.Snapshot().Complete && n.KeysCurrent() && !n.CutOff()
}
