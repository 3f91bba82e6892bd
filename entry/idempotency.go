package entry

import (
	"context"
	"crypto/rand"
	"crypto/sha256"
	"encoding/base32"
	"encoding/hex"
	"encoding/json"
	"net/http"
	"net/netip"
	"strings"
	"time"

	"almondcove/dispatch"
	"almondcove/etcd"
	"almondcove/limit"
	"almondcove/task"
	"almondcove/timeline"
	"almondcove/upstream"
)

// claimRetry is the retry delay given to a caller whose claim can't be recorded.
const claimRetry = time.Second

// taskIDFor returns the id of a call's task. Calls of one team to one queue with
// the same idempotency key get the same id; a call without a key gets a random one.
func taskIDFor(c Call) task.ID {
	if c.Idempotency == "" {
		return task.ID(rand.Text())
	}
	sum := sha256.Sum256([]byte(strings.Join([]string{c.Team, c.Queue, c.Idempotency}, "\x00")))
	return task.ID(base32.HexEncoding.WithPadding(base32.NoPadding).EncodeToString(sum[:16]))
}

func bodyDigest(body []byte) string {
	sum := sha256.Sum256(body)
	return hex.EncodeToString(sum[:])
}

// claimName returns the name that identifies the job's task among all claims.
// It stays the same when the task's id is renewed.
func (j *submission) claimName() string {
	return j.call.Team + "/" + j.call.Queue + "/" + string(j.id.Base())
}

// claim binds the idempotency key to the VM before anything is sent to the VM.
// It returns true when the task must not be sent, with the outcome, or with nil
// when the task was requeued.
func (j *submission) claim(ctx context.Context, vm string, address netip.AddrPort) (task.Outcome, bool) {
	record := claim{
		Entry:   j.entry.config.Self.Name,
		ID:      j.id,
		VM:      vm,
		Address: address,
		Boot:    j.entry.upstream.BootID(ctx, address),
		Body:    bodyDigest(j.call.Body),
		Nonce:   rand.Text(),
	}
	value, err := json.Marshal(record)
	if err != nil {
		return j.failClaim(), true
	}
	reply := j.entry.claims.submit(ctx, &claimRequest{name: j.claimName(), value: value, nonce: record.Nonce, replaces: j.held})
	switch {
	case reply.err != nil && (j.queue.Idempotent || j.queue.AllowUnclaimed):
		return nil, false
	case reply.err != nil:
		j.addEvent("unclaimed", vm, reply.err.Error())
		return j.failClaim(), true
	case reply.other != nil && reply.other.Body != record.Body:
		j.releaseSlot()
		return j.refusedOutcome(task.NotRun{Reason: task.ReasonKeyReused}), true
	case reply.other != nil:
		j.releaseSlot()
		j.held = claimLocation{}
		return j.followClaim(ctx, *reply.other, reply.held), true
	}
	j.held = reply.held
	return nil, false
}

func (j *submission) addEvent(kind, vm, note string) {
	j.entry.eventLog.Add(timeline.Event{Kind: kind, Task: string(j.id), VM: vm, Team: j.task.Team, Note: note})
}

// failClaim releases the slot and refuses the task because its claim could not
// be recorded.
func (j *submission) failClaim() task.Outcome {
	j.releaseSlot()
	return j.refusedOutcome(task.NotRun{Reason: task.ReasonClaimUnavailable, RetryAfter: claimRetry})
}

// releaseSlot frees the slot of a task that is not sent.
func (j *submission) releaseSlot() {
	j.entry.taskDispatcher.update(func(core *dispatch.Core, now time.Time) {
		core.Finish(j.task, dispatch.End{Proof: task.Unsent, Load: -1, Skipped: true}, now)
	})
}

// followClaim waits for the answer from the VM that another request's claim
// names. When that VM proves that the task did not run there and never will, the
// job takes the claim over.
func (j *submission) followClaim(ctx context.Context, other claim, at claimLocation) task.Outcome {
	j.addEvent("follow", other.VM, "claim of "+other.Entry)
	until := time.Now().Add(dispatch.MaxStartDelay + time.Duration(j.queue.Lease) + limit.ClockMargin)
	waitCtx, cancel := context.WithDeadline(ctx, until)
	defer cancel()
	res := j.entry.upstream.Run(waitCtx, other.Address, upstream.Request{
		ID: other.ID, Resume: true, Boot: other.Boot, NoResponseTimeout: vmContactTimeout,
	})
	switch res.Proof {
	case task.Done:
		j.id = other.ID
		if res.Answer.Status >= http.StatusInternalServerError {
			return task.Failed{VM: other.VM, Status: res.Answer.Status}
		}
		res.Answer.VM = other.VM
		return res.Answer
	case task.EndedWithoutAnswer:
		return task.Failed{VM: other.VM}
	case task.Refused:
		return j.takeOver(ctx, at)
	}
	return task.Unknown{VM: other.VM, EndedBy: until}
}

// takeOver requeues the task under a renewed id. The next try replaces the
// claim that stands at the given location.
func (j *submission) takeOver(ctx context.Context, at claimLocation) task.Outcome {
	outcome := j.requeue(ctx)
	if outcome == nil {
		j.held = at
		j.id = j.id.WithSuffix(rand.Text()[:idSuffixLength])
	}
	return outcome
}

// releaseAndRequeue frees the slot of a task that was not sent and requeues the
// task.
func (j *submission) releaseAndRequeue(ctx context.Context) task.Outcome {
	j.releaseSlot()
	return j.requeue(ctx)
}

// requeue puts a task that runs nowhere back into its queue and returns nil. It
// returns the task's outcome when the task can't be requeued, because its
// deadline has passed, the caller went away or the queue was removed.
func (j *submission) requeue(ctx context.Context) task.Outcome {
	requeued := false
	j.entry.taskDispatcher.update(func(core *dispatch.Core, now time.Time) {
		requeued = ctx.Err() == nil && now.Before(j.task.Deadline) && core.Retry(j.task, false)
	})
	if !requeued {
		return j.refusedOutcome(task.NotRun{Reason: task.ReasonDeadline, RetryAfter: time.Second})
	}
	return nil
}

// removeClaim deletes the claim of a task that was not run, so that the caller's
// next request with the same idempotency key starts afresh.
func (j *submission) removeClaim(outcome task.Outcome) {
	if _, ok := outcome.(task.NotRun); !ok || j.held.mod == 0 {
		return
	}
	at := j.held
	j.entry.done.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), claimResolveTimeout)
		defer cancel()
		// If the deletion fails, the next request with the same idempotency
		// key takes the claim over.
		_, _ = j.entry.platform.Commit(ctx, etcd.TxnRequest{
			Compare: []etcd.Compare{etcd.Unchanged(etcd.KV{Key: []byte(at.key), ModRevision: at.mod})},
			Success: []etcd.Op{etcd.Remove(at.key)},
		})
	})
}
