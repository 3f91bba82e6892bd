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

// claimRetry is when a caller may come back while claims can't be recorded.
const claimRetry = time.Second

// idOf returns the id of a call's task. Calls with the same idempotency key
// have the same id.
func idOf(c Call) task.ID {
	if c.Idempotency == "" {
		return task.ID(rand.Text())
	}
	sum := sha256.Sum256([]byte(strings.Join([]string{c.Team, c.Queue, c.Idempotency}, "\x00")))
	return task.ID(base32.HexEncoding.WithPadding(base32.NoPadding).EncodeToString(sum[:16]))
}

func digestOf(body []byte) string {
	sum := sha256.Sum256(body)
	return hex.EncodeToString(sum[:])
}

// claimName identifies the job's task among all claims.
func (j *job) claimName() string {
	return j.call.Team + "/" + j.call.Queue + "/" + string(j.id.Base())
}

// claim binds the idempotency key to the VM before anything is sent to it. It
// reports true when the task must not be sent, with the outcome or, when it
// went back into its queue, nil.
func (j *job) claim(ctx context.Context, vm string, address netip.AddrPort) (task.Outcome, bool) {
	mine := claim{
		Entry:   j.entry.config.Self.Name,
		ID:      j.id,
		VM:      vm,
		Address: address,
		Boot:    j.entry.upstream.Boot(ctx, address),
		Body:    digestOf(j.call.Body),
		Nonce:   rand.Text(),
	}
	value, err := json.Marshal(mine)
	if err != nil {
		return j.unclaimed(), true
	}
	reply := j.entry.claims.ask(ctx, &claimAsk{name: j.claimName(), value: value, nonce: mine.Nonce, held: j.held})
	switch {
	case reply.err != nil && (j.queue.Idempotent || j.queue.AllowUnclaimed):
		return nil, false
	case reply.err != nil:
		j.note("unclaimed", vm, reply.err.Error())
		return j.unclaimed(), true
	case reply.other != nil && reply.other.Body != mine.Body:
		j.skip()
		return j.notRun(task.NotRun{Reason: task.Reused}), true
	case reply.other != nil:
		j.skip()
		j.held = location{}
		return j.follow(ctx, *reply.other, reply.held), true
	}
	j.held = reply.held
	return nil, false
}

func (j *job) note(kind, vm, note string) {
	j.entry.line.Add(timeline.Event{Kind: kind, Task: string(j.id), VM: vm, Team: j.task.Team, Note: note})
}

// unclaimed gives the slot back and refuses the task.
func (j *job) unclaimed() task.Outcome {
	j.skip()
	return j.notRun(task.NotRun{Reason: task.Claimed, Retry: claimRetry})
}

// skip gives back the slot of a task that is not sent.
func (j *job) skip() {
	j.entry.work.do(func(core *dispatch.Core, now time.Time) {
		core.Finish(j.task, dispatch.End{Proof: task.Unsent, Load: -1, Skipped: true}, now)
	})
}

// follow waits for the answer at the VM that another claim names. When that VM
// proves that the task never ran there, the job takes the claim over.
func (j *job) follow(ctx context.Context, other claim, at location) task.Outcome {
	j.note("follow", other.VM, "claim of "+other.Entry)
	until := time.Now().Add(dispatch.MaxStartDelay + time.Duration(j.queue.Lease) + limit.ClockMargin)
	inner, cancel := context.WithDeadline(ctx, until)
	defer cancel()
	res := j.entry.upstream.Run(inner, other.Address, upstream.Request{
		ID: other.ID, Resume: true, Boot: other.Boot, Patience: patience,
	})
	switch res.Proof {
	case task.Done:
		j.id = other.ID
		if res.Answer.Status >= http.StatusInternalServerError {
			return task.Failed{VM: other.VM, Status: res.Answer.Status}
		}
		res.Answer.VM = other.VM
		return res.Answer
	case task.Ended:
		return task.Failed{VM: other.VM}
	case task.Refused:
		return j.takeOver(ctx, at)
	}
	return task.Unknown{VM: other.VM, Until: until}
}

// takeOver puts the task back into its queue, to be claimed anew.
func (j *job) takeOver(ctx context.Context, at location) task.Outcome {
	outcome := j.requeue(ctx)
	if outcome == nil {
		j.held = at
		j.id = j.id.Renew(rand.Text()[:renewalLength])
	}
	return outcome
}

// sendElsewhere gives the slot of a task that was not sent back and puts it
// into its queue again.
func (j *job) sendElsewhere(ctx context.Context) task.Outcome {
	j.skip()
	return j.requeue(ctx)
}

// requeue puts a task that runs nowhere back into its queue and returns nil, or
// what the caller is told when it is too late for that.
func (j *job) requeue(ctx context.Context) task.Outcome {
	again := false
	j.entry.work.do(func(core *dispatch.Core, now time.Time) {
		again = ctx.Err() == nil && now.Before(j.task.Deadline) && core.Retry(j.task, false)
	})
	if !again {
		return j.notRun(task.NotRun{Reason: task.Deadline, Retry: time.Second})
	}
	return nil
}

// unclaim removes the claim of a task that was not run, so that the caller's
// next request finds no trace of it.
func (j *job) unclaim(outcome task.Outcome) {
	if _, ok := outcome.(task.NotRun); !ok || j.held.mod == 0 {
		return
	}
	at := j.held
	j.entry.done.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), claimDoubt)
		defer cancel()
		// A claim that stays is taken over by the next request with its key.
		_, _ = j.entry.platform.Commit(ctx, etcd.TxnRequest{
			Compare: []etcd.Compare{etcd.Unchanged(etcd.KV{Key: []byte(at.key), Mod: at.mod})},
			Success: []etcd.Op{etcd.Remove(at.key)},
		})
	})
}
