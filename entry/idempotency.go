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

// claimRetryDelay is the time after which a caller whose claim can't be recorded is
// told to retry.
const claimRetryDelay = time.Second

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

// claimName returns the name that identifies the submission's task among all claims.
// It stays the same when the task's id is renewed.
func (s *submission) claimName() string {
	return s.call.Team + "/" + s.call.Queue + "/" + string(s.id.Base())
}

// acquireClaim binds the idempotency key to the VM before anything is sent to the VM.
// It returns true when the task must not be sent: with the task's outcome, or with a
// nil outcome when the task was requeued. When the claim can't be recorded, a task is
// sent without one if it is idempotent or its queue allows unclaimed tasks.
func (s *submission) acquireClaim(ctx context.Context, vm string, address netip.AddrPort) (task.Outcome, bool) {
	record := claim{
		Entry:   s.entry.config.Self.Name,
		ID:      s.id,
		VM:      vm,
		Address: address,
		Boot:    s.entry.upstream.BootID(ctx, address),
		Body:    bodyDigest(s.call.Body),
		Nonce:   rand.Text(),
	}
	value, err := json.Marshal(record)
	if err != nil {
		return s.failClaim(), true
	}
	reply := s.entry.claims.submit(ctx, &claimRequest{name: s.claimName(), value: value, nonce: record.Nonce, replaces: s.heldClaim})
	switch {
	case reply.err != nil && (s.queue.Idempotent || s.queue.AllowUnclaimed):
		return nil, false
	case reply.err != nil:
		s.addEvent("unclaimed", vm, reply.err.Error())
		return s.failClaim(), true
	case reply.other != nil && reply.other.Body != record.Body:
		s.releaseSlot()
		return s.refusedOutcome(task.NotRun{Reason: task.ReasonIdempotencyKeyReused}), true
	case reply.other != nil:
		s.releaseSlot()
		s.heldClaim = claimLocation{}
		return s.followClaim(ctx, *reply.other, reply.location), true
	}
	s.heldClaim = reply.location
	return nil, false
}

func (s *submission) addEvent(kind, vm, note string) {
	s.entry.eventLog.Add(timeline.Event{Kind: kind, Task: string(s.id), VM: vm, Team: s.task.Team, Note: note})
}

// failClaim releases the slot and refuses the task because its claim could not
// be recorded.
func (s *submission) failClaim() task.Outcome {
	s.releaseSlot()
	return s.refusedOutcome(task.NotRun{Reason: task.ReasonClaimUnavailable, RetryAfter: claimRetryDelay})
}

// releaseSlot frees the slot of a task that is not sent.
func (s *submission) releaseSlot() {
	s.entry.taskDispatcher.update(func(core *dispatch.Core, now time.Time) {
		core.Finish(s.task, dispatch.AttemptEnd{Proof: task.Unsent, Load: -1, Skipped: true}, now)
	})
}

// followClaim waits for the answer from the VM that another request's claim
// names. When that VM proves that the task did not run there and never will, the
// submission takes the claim over.
func (s *submission) followClaim(ctx context.Context, other claim, location claimLocation) task.Outcome {
	s.addEvent("follow", other.VM, "claim of "+other.Entry)
	until := time.Now().Add(dispatch.MaxStartDelay + time.Duration(s.queue.Lease) + limit.ClockMargin)
	waitCtx, cancel := context.WithDeadline(ctx, until)
	defer cancel()
	res := s.entry.upstream.Run(waitCtx, other.Address, upstream.Request{
		ID: other.ID, Resume: true, BootID: other.Boot, NoResponseTimeout: vmContactTimeout,
	})
	switch res.Proof {
	case task.Done:
		s.id = other.ID
		if res.Answer.Status >= http.StatusInternalServerError {
			return task.Failed{VM: other.VM, Status: res.Answer.Status}
		}
		res.Answer.VM = other.VM
		return res.Answer
	case task.EndedWithoutAnswer:
		return task.Failed{VM: other.VM}
	case task.Refused:
		return s.takeOver(ctx, location)
	}
	return task.Unknown{VM: other.VM, EndedBy: until}
}

// takeOver requeues the task under a renewed id. The next attempt replaces the
// claim at the given location.
func (s *submission) takeOver(ctx context.Context, location claimLocation) task.Outcome {
	outcome := s.requeue(ctx)
	if outcome == nil {
		s.heldClaim = location
		s.id = s.id.WithSuffix(rand.Text()[:idSuffixLength])
	}
	return outcome
}

// releaseAndRequeue frees the slot of a task that was not sent and requeues the
// task.
func (s *submission) releaseAndRequeue(ctx context.Context) task.Outcome {
	s.releaseSlot()
	return s.requeue(ctx)
}

// requeue puts a task that runs nowhere back into its queue and returns nil. It
// returns the task's outcome when the task can't be requeued, because its
// deadline has passed, the caller went away or the queue was removed.
func (s *submission) requeue(ctx context.Context) task.Outcome {
	requeued := false
	s.entry.taskDispatcher.update(func(core *dispatch.Core, now time.Time) {
		requeued = ctx.Err() == nil && now.Before(s.task.Deadline) && core.Retry(s.task, false)
	})
	if !requeued {
		return s.refusedOutcome(task.NotRun{Reason: task.ReasonDeadline, RetryAfter: time.Second})
	}
	return nil
}

// removeClaim deletes the claim of a task that was not run, so that the caller's
// next request with the same idempotency key writes a new one.
func (s *submission) removeClaim(outcome task.Outcome) {
	if _, ok := outcome.(task.NotRun); !ok || s.heldClaim.modRevision == 0 {
		return
	}
	location := s.heldClaim
	s.entry.done.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), claimResolveTimeout)
		defer cancel()
		// If the deletion fails, the next request with the same idempotency
		// key takes the claim over.
		_, _ = s.entry.platform.Commit(ctx, etcd.TxnRequest{
			Compare: []etcd.Compare{etcd.Unchanged(etcd.KV{Key: []byte(location.key), ModRevision: location.modRevision})},
			Success: []etcd.Op{etcd.OpDelete(location.key)},
		})
	})
}
