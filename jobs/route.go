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

// The times of requests that are passed on.
const (
	// findPause is the pause before the owner is looked up again.
	findPause = 60 * time.Millisecond
	// findFor bounds how long a request waits for an owner that is known to
	// change; longer ones are refused with a time to come back.
	findFor = 120 * time.Millisecond
	// retryNoOwner is when callers may come back while there is no owner.
	retryNoOwner = time.Second
	// retryCutOff is when callers may come back to an entry that is cut off: the
	// platform leads them elsewhere by then.
	retryCutOff = 2 * time.Second
	// callFor bounds one call to the owner.
	callFor = 1500 * time.Millisecond
)

// ask passes a request on to the owner: to the own one, or by a call.
func (n *Node) ask(
	ctx context.Context, kind string, local func(context.Context) owner.Answer,
	remote func(context.Context, shard.Owner) (owner.Answer, error),
) owner.Answer {
	began := time.Now()
	unsettled := false
	var last owner.Answer
	for {
		last = n.try(ctx, local, remote)
		if last.Outcome == owner.Unsettled {
			unsettled = true
		}
		again := last.Outcome == owner.NotOwner || last.Outcome == owner.Unsettled
		if !again || ctx.Err() != nil || !unsettled && time.Since(began) > findFor {
			break
		}
		delay.For(ctx, findPause)
	}
	out := conclude(last, unsettled)
	if out.Outcome == owner.Refused && n.CutOff() {
		out.Retry = retryCutOff
	}
	return n.metrics.request(kind, began, out)
}

// conclude turns the last answer of several tries into the answer for the caller.
func conclude(last owner.Answer, unsettled bool) owner.Answer {
	settled := last.Outcome == owner.Done || last.Outcome == owner.NoJob
	switch {
	case unsettled && !settled:
		// An earlier try may have been recorded.
		last.Outcome = owner.Unsettled
	case last.Outcome == owner.NotOwner:
		last.Outcome = owner.Refused
		last.Retry = retryNoOwner
	}
	return last
}

func (n *Node) try(
	ctx context.Context, local func(context.Context) owner.Answer,
	remote func(context.Context, shard.Owner) (owner.Answer, error),
) owner.Answer {
	o, known := n.shard.Owner()
	if !known {
		return owner.Answer{Outcome: owner.NotOwner, Reason: "no owner known"}
	}
	ctx, cancel := context.WithTimeout(ctx, callFor)
	defer cancel()
	if o.Name == n.config.Self.Name {
		return local(ctx)
	}
	a, err := remote(ctx, o)
	if err == nil {
		return a
	}
	n.config.Log.Warn("owner does not answer", "owner", o.Name, "epoch", o.Epoch, "error", err)
	if u, ok := errors.Into[*peer.Unanswered](err); ok && !u.Sent {
		return owner.Answer{Outcome: owner.NotOwner, Reason: err.Error()}
	}
	return owner.Answer{Outcome: owner.Unsettled, Reason: err.Error()}
}

// Submit hands a job to the owner.
func (n *Node) Submit(ctx context.Context, j *job.Job) owner.Answer {
	return n.ask(ctx, "submit",
		func(ctx context.Context) owner.Answer { return n.owner.Submit(ctx, j) },
		func(ctx context.Context, o shard.Owner) (owner.Answer, error) {
			return n.links.Submit(ctx, o.Address, j)
		})
}

// Cancel asks the owner to cancel a job.
func (n *Node) Cancel(ctx context.Context, id job.ID) owner.Answer {
	return n.ask(ctx, "cancel",
		func(ctx context.Context) owner.Answer { return n.owner.Cancel(ctx, id) },
		func(ctx context.Context, o shard.Owner) (owner.Answer, error) {
			return n.links.Cancel(ctx, o.Address, id)
		})
}

// Show asks the owner for a job.
func (n *Node) Show(ctx context.Context, id job.ID) owner.Answer {
	return n.ask(ctx, "show",
		func(context.Context) owner.Answer { return n.owner.Show(id) },
		func(ctx context.Context, o shard.Owner) (owner.Answer, error) {
			return n.links.Show(ctx, o.Address, id)
		})
}

// Count asks the owner for the number of a queue's jobs that wait.
func (n *Node) Count(ctx context.Context, queue string) owner.Answer {
	return n.ask(ctx, "count",
		func(context.Context) owner.Answer { return n.owner.Count(queue) },
		func(ctx context.Context, o shard.Owner) (owner.Answer, error) {
			return n.links.Count(ctx, o.Address, queue)
		})
}

// Ready reports whether requests can be passed on to an owner.
func (n *Node) Ready() bool {
	n.mu.Lock()
	leaving := n.leaving
	n.mu.Unlock()
	return !leaving && n.operators.Copy().Read && !n.CutOff()
}
