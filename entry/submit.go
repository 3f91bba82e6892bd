package entry

import (
	"context"
	"crypto/rand"
	"net/http"
	"net/netip"
	"time"

	"almondcove/dispatch"
	"almondcove/fleet"
	"almondcove/limit"
	"almondcove/task"
	"almondcove/timeline"
	"almondcove/upstream"
)

// Timeouts and other bounds of one task.
const (
	// vmContactTimeout is how long the entry waits for any sign of a task from its
	// VM before it gives up on that VM. It applies to idempotent tasks, which may
	// then be sent to another VM, and to tasks that another entry has claimed.
	vmContactTimeout = 2 * time.Second
	// silenceFactor is how many mean run times a task may go unanswered before
	// the VM is asked about it.
	silenceFactor = 4
	// minSilence is the lower bound of that time.
	minSilence = 50 * time.Millisecond
	// idSuffixLength is the length of the suffix that renews a task's id.
	idSuffixLength = 6
	// stopTimeout bounds the call that stops a task whose caller went away.
	stopTimeout = 2 * time.Second
)

// Call is a caller's request to run one task.
type Call struct {
	// ID is the task's id; empty means a new one.
	ID    task.ID
	Queue string
	Team  string
	// Key is the id of the caller's key; empty on an open queue.
	Key  string
	Body []byte
	// Type and Accept are the request's Content-Type and Accept headers.
	Type   string
	Accept string
	// Idempotency is the idempotency key of the request, if any.
	Idempotency string
	// Wait shortens the queue's bound on the time until the task starts; zero
	// leaves it unchanged.
	Wait time.Duration
}

// Submit runs one task and returns its id and outcome. The caller must have been
// authorized against the configuration in force. When ctx ends, Submit cancels
// or stops the task and returns.
func (e *Entry) Submit(ctx context.Context, c Call) (task.ID, task.Outcome) {
	cfg := e.configStore.effective()
	queue, ok := cfg.Queues[c.Queue]
	if !ok {
		return c.ID, task.NotRun{Reason: task.ReasonQueueRemoved}
	}
	if c.ID == "" {
		c.ID = taskIDFor(c)
	}
	wait := time.Duration(queue.Wait)
	if c.Wait > 0 {
		wait = min(wait, c.Wait)
	}
	j := &submission{
		entry:  e,
		call:   c,
		id:     c.ID,
		queue:  queue,
		ready:  make(chan string, 1),
		refuse: make(chan task.NotRun, 1),
	}
	j.task = &dispatch.Task{
		ID:        c.ID,
		Team:      c.Team,
		Key:       c.Key,
		Queue:     c.Queue,
		Deadline:  time.Now().Add(wait),
		OnReady:   func(vm string) { j.ready <- vm },
		OnRefused: func(refusal task.NotRun) { j.refuse <- refusal },
	}
	start := time.Now()
	outcome := j.run(ctx)
	j.removeClaim(outcome)
	e.metrics.countOutcome(c.Queue, outcome, time.Since(start))
	return j.id, outcome
}

// submission is one task from its admission to its outcome.
type submission struct {
	entry *Entry
	call  Call
	// id is the task's current id. It changes when the task is renewed, or when
	// the answer belongs to an earlier task with the same idempotency key.
	id    task.ID
	queue fleet.Queue
	task  *dispatch.Task
	// ready receives the VM that the dispatcher chose for the next attempt.
	ready chan string
	// refuse receives the reason when the dispatcher removes the task from its
	// queue without running it.
	refuse chan task.NotRun
	// held locates the claim on the idempotency key that the submission holds or
	// may take over.
	held claimLocation
	// lastOutcome is the outcome of the last attempt that a VM may have begun; nil
	// when there is none.
	lastOutcome task.Outcome
}

// run takes the task from admission to its outcome.
func (j *submission) run(ctx context.Context) task.Outcome {
	var refused *task.NotRun
	j.entry.taskDispatcher.update(func(core *dispatch.Core, now time.Time) {
		refused = core.Admit(j.task, now)
	})
	if refused != nil {
		return *refused
	}
	deadline := time.NewTimer(time.Until(j.task.Deadline))
	defer deadline.Stop()
	done := ctx.Done()
	for {
		select {
		case vm := <-j.ready:
			if outcome := j.attempt(ctx, vm); outcome != nil {
				return outcome
			}
		case refusal := <-j.refuse:
			return j.refusedOutcome(refusal)
		case <-deadline.C:
			if j.cancel() {
				return j.refusedOutcome(task.NotRun{Reason: task.ReasonDeadline, RetryAfter: time.Second})
			}
		case <-done:
			if j.cancel() {
				return j.refusedOutcome(task.NotRun{Reason: task.ReasonCanceled})
			}
			// The dispatcher has just given the task to a VM. The VM arrives on
			// ready, and attempt then stops the task.
			done = nil
		}
	}
}

// cancel removes the task from its queue and reports whether it was still waiting
// there.
func (j *submission) cancel() bool {
	waiting := false
	j.entry.taskDispatcher.update(func(core *dispatch.Core, _ time.Time) {
		waiting = core.Cancel(j.task)
	})
	return waiting
}

// attempt sends the task to one VM and returns its outcome, or nil when the task
// is back in its queue.
func (j *submission) attempt(ctx context.Context, vm string) task.Outcome {
	address, ok := j.entry.list.address(vm)
	if j.call.Idempotency != "" {
		if outcome, done := j.claim(ctx, vm, address); done {
			return outcome
		}
		if !j.serves(vm) {
			// The VM or its data centre was taken out while the claim was being
			// written.
			return j.releaseAndRequeue(ctx)
		}
	}
	req := j.request(time.Now(), vm)
	leaseEnd := req.NotAfter.Add(req.Lease + limit.ClockMargin)
	j.entry.eventLog.Add(timeline.Event{Kind: "send", Task: string(j.id), VM: vm, Team: j.task.Team})
	res := upstream.Result{Proof: task.Unsent, Load: -1}
	if ok {
		res = j.runOnVM(ctx, address, req, leaseEnd)
	}
	end := dispatch.End{
		Proof:   res.Proof,
		Good:    res.Answer.Status < http.StatusInternalServerError,
		Leaving: res.Refusal == upstream.RefusalLeaving,
		Load:    res.Load,
		Lapse:   leaseEnd,
	}
	j.entry.eventLog.Add(timeline.Event{Kind: "end", Task: string(j.id), VM: vm, Team: j.task.Team, Note: end.Proof.String()})
	return j.finish(ctx, vm, res, end)
}

// serves reports whether the VM still takes tasks.
func (j *submission) serves(vm string) bool {
	ok := false
	j.entry.taskDispatcher.read(func(core *dispatch.Core, _ time.Time) { ok = core.Table().Serves(vm) })
	return ok
}

// request returns the upstream request for an attempt on the VM that begins now.
func (j *submission) request(now time.Time, vm string) upstream.Request {
	notAfter := now.Add(dispatch.MaxStartDelay)
	if j.task.Deadline.Before(notAfter) {
		notAfter = j.task.Deadline
	}
	req := upstream.Request{
		ID:           j.id,
		Team:         j.task.Team,
		Queue:        j.task.Queue,
		Body:         j.call.Body,
		ContentType:  j.call.Type,
		Accept:       j.call.Accept,
		NotAfter:     notAfter,
		Lease:        time.Duration(j.queue.Lease),
		OnNoResponse: func() { j.entry.suspect(vm) },
	}
	j.entry.taskDispatcher.read(func(core *dispatch.Core, _ time.Time) {
		req.QueryAfter = min(max(silenceFactor*core.MeanRunTime(j.task.Queue), minSilence), j.entry.config.Silence)
	})
	if j.queue.Idempotent {
		req.NoResponseTimeout = vmContactTimeout
	}
	return req
}

// runOnVM runs the task on the VM until leaseEnd at most. When ctx ends because the
// caller went away, it stops the task on the VM.
func (j *submission) runOnVM(ctx context.Context, vm netip.AddrPort, req upstream.Request, leaseEnd time.Time) upstream.Result {
	runCtx, cancel := context.WithDeadline(context.WithoutCancel(ctx), leaseEnd)
	defer cancel()
	stop := context.AfterFunc(ctx, cancel)
	defer stop()
	res := j.entry.upstream.Run(runCtx, vm, req)
	if ctx.Err() == nil || res.Proof != task.Inconclusive && res.Proof != task.Running {
		return res
	}
	stopCtx, cancelStop := context.WithTimeout(context.WithoutCancel(ctx), stopTimeout)
	defer cancelStop()
	if j.entry.upstream.Stop(stopCtx, vm, req.ID) {
		res.Proof = task.EndedWithoutAnswer
	}
	return res
}

// finish reports the end of an attempt to the dispatcher. It returns the task's
// outcome, or nil when the task is back in its queue for another attempt.
func (j *submission) finish(ctx context.Context, vm string, res upstream.Result, end dispatch.End) task.Outcome {
	if res.Refusal == upstream.RefusalFenced {
		// The VM will never run the task under this id, but may under another.
		j.id = j.id.WithSuffix(rand.Text()[:idSuffixLength])
	}
	retry := false
	var outcome task.Outcome
	j.entry.taskDispatcher.update(func(core *dispatch.Core, now time.Time) {
		core.Finish(j.task, end, now)
		outcome = j.attemptOutcome(vm, res, end)
		retry = ctx.Err() == nil && j.mayRetry(outcome, now) && core.Retry(j.task, outcome != nil)
	})
	switch {
	case retry:
		j.entry.metrics.retries.Inc()
		if outcome != nil {
			j.lastOutcome = outcome
		}
		return nil
	case outcome != nil:
		return outcome
	case ctx.Err() != nil:
		return j.refusedOutcome(task.NotRun{Reason: task.ReasonCanceled})
	}
	return j.refusedOutcome(task.NotRun{Reason: task.ReasonDeadline, RetryAfter: time.Second})
}

// attemptOutcome returns the outcome of one attempt by itself, or nil when it is
// proved that the VM neither began the task nor will.
func (j *submission) attemptOutcome(vm string, res upstream.Result, end dispatch.End) task.Outcome {
	switch {
	case res.Proof.AllowsResend():
		return nil
	case res.Proof == task.Done && end.Good:
		res.Answer.VM = vm
		return res.Answer
	case res.Proof == task.Done:
		return task.Failed{VM: vm, Status: res.Answer.Status, Poison: j.task.Poison()}
	case res.Proof == task.EndedWithoutAnswer:
		return task.Failed{VM: vm}
	}
	return task.Unknown{VM: vm, EndedBy: end.Lapse}
}

// mayRetry reports whether another attempt may follow one with the given outcome,
// which is nil when the VM did not begin the task.
func (j *submission) mayRetry(outcome task.Outcome, now time.Time) bool {
	if !now.Before(j.task.Deadline) {
		return false
	}
	switch out := outcome.(type) {
	case nil:
		return true
	case task.Failed:
		return j.queue.Idempotent && !out.Poison
	case task.Unknown:
		return j.queue.Idempotent
	}
	return false
}

// refusedOutcome returns the outcome of a task that gets no further attempt: the
// refusal, or the outcome of an earlier attempt, in which the task may have run.
func (j *submission) refusedOutcome(refusal task.NotRun) task.Outcome {
	if j.lastOutcome != nil {
		return j.lastOutcome
	}
	return refusal
}
