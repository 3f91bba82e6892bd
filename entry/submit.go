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
	// then be sent to another VM, and to tasks that another request has claimed.
	vmContactTimeout = 2 * time.Second
	// silenceTimeoutFactor is how many mean run times of its queue a task may go
	// unanswered before the entry asks the VM about it. minSilenceTimeout and
	// Config.SilenceTimeout bound the resulting time.
	silenceTimeoutFactor = 4
	// minSilenceTimeout is the shortest time after which the entry asks the VM
	// about a task that goes unanswered, unless Config.SilenceTimeout is shorter.
	minSilenceTimeout = 50 * time.Millisecond
	// idSuffixLength is the length of the random suffix that distinguishes the ids
	// of one task when its id is renewed.
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
	s := &submission{
		entry:  e,
		call:   c,
		id:     c.ID,
		queue:  queue,
		ready:  make(chan string, 1),
		refuse: make(chan task.NotRun, 1),
	}
	s.task = &dispatch.Task{
		ID:        c.ID,
		Team:      c.Team,
		Key:       c.Key,
		Queue:     c.Queue,
		Deadline:  time.Now().Add(wait),
		OnReady:   func(vm string) { s.ready <- vm },
		OnRefused: func(refusal task.NotRun) { s.refuse <- refusal },
	}
	start := time.Now()
	outcome := s.run(ctx)
	s.removeClaim(outcome)
	e.metrics.countOutcome(c.Queue, outcome, time.Since(start))
	return s.id, outcome
}

// submission is one task from its admission to its outcome.
type submission struct {
	entry *Entry
	call  Call
	// id is the task's current id. It changes when the id is renewed, or when the
	// answer is that of another request with the same idempotency key.
	id    task.ID
	queue fleet.Queue
	task  *dispatch.Task
	// ready receives the VM that the dispatcher chose for the next attempt.
	ready chan string
	// refuse receives the reason when the dispatcher removes the task from its
	// queue without running it.
	refuse chan task.NotRun
	// heldClaim is the location of the claim on the idempotency key that the
	// submission holds or may take over.
	heldClaim claimLocation
	// lastOutcome is the outcome of the last attempt in which a VM may have begun the
	// task; nil when there is none.
	lastOutcome task.Outcome
}

// run takes the task from admission to its outcome.
func (s *submission) run(ctx context.Context) task.Outcome {
	var refused *task.NotRun
	s.entry.taskDispatcher.update(func(core *dispatch.Core, now time.Time) {
		refused = core.Admit(s.task, now)
	})
	if refused != nil {
		return *refused
	}
	deadline := time.NewTimer(time.Until(s.task.Deadline))
	defer deadline.Stop()
	done := ctx.Done()
	for {
		select {
		case vm := <-s.ready:
			if outcome := s.attempt(ctx, vm); outcome != nil {
				return outcome
			}
		case refusal := <-s.refuse:
			return s.refusedOutcome(refusal)
		case <-deadline.C:
			if s.cancel() {
				return s.refusedOutcome(task.NotRun{Reason: task.ReasonDeadline, RetryAfter: time.Second})
			}
		case <-done:
			if s.cancel() {
				return s.refusedOutcome(task.NotRun{Reason: task.ReasonCanceled})
			}
			// The dispatcher has just given the task to a VM. The VM arrives on
			// ready, and attempt then stops the task.
			done = nil
		}
	}
}

// cancel removes the task from its queue and reports whether it was still waiting
// there.
func (s *submission) cancel() bool {
	waiting := false
	s.entry.taskDispatcher.update(func(core *dispatch.Core, _ time.Time) {
		waiting = core.Cancel(s.task)
	})
	return waiting
}

// attempt sends the task to one VM and returns its outcome, or nil when the task
// is back in its queue.
func (s *submission) attempt(ctx context.Context, vm string) task.Outcome {
	address, ok := s.entry.list.address(vm)
	if s.call.Idempotency != "" {
		if outcome, done := s.acquireClaim(ctx, vm, address); done {
			return outcome
		}
		if !s.serves(vm) {
			// The VM or its data centre was taken out of service while the claim
			// was being written.
			return s.releaseAndRequeue(ctx)
		}
	}
	req := s.request(time.Now(), vm)
	leaseEnd := req.NotAfter.Add(req.Lease + limit.ClockMargin)
	s.entry.eventLog.Add(timeline.Event{Kind: "send", Task: string(s.id), VM: vm, Team: s.task.Team})
	res := upstream.Result{Proof: task.Unsent, Load: -1}
	if ok {
		res = s.runOnVM(ctx, address, req, leaseEnd)
	}
	end := dispatch.AttemptEnd{
		Proof:     res.Proof,
		Succeeded: res.Answer.Status < http.StatusInternalServerError,
		Leaving:   res.Refusal == upstream.RefusalLeaving,
		Load:      res.Load,
		EndedBy:   leaseEnd,
	}
	s.entry.eventLog.Add(timeline.Event{Kind: "end", Task: string(s.id), VM: vm, Team: s.task.Team, Note: end.Proof.String()})
	return s.finish(ctx, vm, res, end)
}

// serves reports whether the VM still takes tasks.
func (s *submission) serves(vm string) bool {
	ok := false
	s.entry.taskDispatcher.read(func(core *dispatch.Core, _ time.Time) { ok = core.Table().Serves(vm) })
	return ok
}

// request returns the upstream request for an attempt on the VM that begins now.
func (s *submission) request(now time.Time, vm string) upstream.Request {
	notAfter := now.Add(dispatch.MaxStartDelay)
	if s.task.Deadline.Before(notAfter) {
		notAfter = s.task.Deadline
	}
	req := upstream.Request{
		ID:           s.id,
		Team:         s.task.Team,
		Queue:        s.task.Queue,
		Body:         s.call.Body,
		ContentType:  s.call.Type,
		Accept:       s.call.Accept,
		NotAfter:     notAfter,
		Lease:        time.Duration(s.queue.Lease),
		OnNoResponse: func() { s.entry.markSuspect(vm) },
	}
	s.entry.taskDispatcher.read(func(core *dispatch.Core, _ time.Time) {
		req.QueryAfter = min(max(silenceTimeoutFactor*core.MeanRunTime(s.task.Queue), minSilenceTimeout), s.entry.config.SilenceTimeout)
	})
	if s.queue.Idempotent {
		req.NoResponseTimeout = vmContactTimeout
	}
	return req
}

// runOnVM runs the task on the VM, at most until leaseEnd. When ctx ends because the
// caller went away, it stops the task on the VM.
func (s *submission) runOnVM(ctx context.Context, address netip.AddrPort, req upstream.Request, leaseEnd time.Time) upstream.Result {
	runCtx, cancel := context.WithDeadline(context.WithoutCancel(ctx), leaseEnd)
	defer cancel()
	stop := context.AfterFunc(ctx, cancel)
	defer stop()
	res := s.entry.upstream.Run(runCtx, address, req)
	if ctx.Err() == nil || res.Proof != task.Inconclusive && res.Proof != task.Running {
		return res
	}
	stopCtx, cancelStop := context.WithTimeout(context.WithoutCancel(ctx), stopTimeout)
	defer cancelStop()
	if s.entry.upstream.Stop(stopCtx, address, req.ID) {
		res.Proof = task.EndedWithoutAnswer
	}
	return res
}

// finish reports the end of an attempt to the dispatcher. It returns the task's
// outcome, or nil when the task is back in its queue for another attempt.
func (s *submission) finish(ctx context.Context, vm string, res upstream.Result, end dispatch.AttemptEnd) task.Outcome {
	if res.Refusal == upstream.RefusalFenced {
		// The VM will never run the task under this id, but may under another.
		s.id = s.id.WithSuffix(rand.Text()[:idSuffixLength])
	}
	retry := false
	var outcome task.Outcome
	s.entry.taskDispatcher.update(func(core *dispatch.Core, now time.Time) {
		core.Finish(s.task, end, now)
		outcome = s.attemptOutcome(vm, res, end)
		retry = ctx.Err() == nil && s.mayRetry(outcome, now) && core.Retry(s.task, outcome != nil)
	})
	switch {
	case retry:
		s.entry.metrics.retries.Inc()
		if outcome != nil {
			s.lastOutcome = outcome
		}
		return nil
	case outcome != nil:
		return outcome
	case ctx.Err() != nil:
		return s.refusedOutcome(task.NotRun{Reason: task.ReasonCanceled})
	}
	return s.refusedOutcome(task.NotRun{Reason: task.ReasonDeadline, RetryAfter: time.Second})
}

// attemptOutcome returns the outcome of one attempt, regardless of earlier attempts.
// It returns nil when it is proved that the VM did not begin the task and never will.
func (s *submission) attemptOutcome(vm string, res upstream.Result, end dispatch.AttemptEnd) task.Outcome {
	switch {
	case res.Proof.AllowsResend():
		return nil
	case res.Proof == task.Done && end.Succeeded:
		res.Answer.VM = vm
		return res.Answer
	case res.Proof == task.Done:
		return task.Failed{VM: vm, Status: res.Answer.Status, Poison: s.task.IsPoison()}
	case res.Proof == task.EndedWithoutAnswer:
		return task.Failed{VM: vm}
	}
	return task.Unknown{VM: vm, EndedBy: end.EndedBy}
}

// mayRetry reports whether another attempt may follow one with the given outcome,
// which is nil when the VM did not begin the task.
func (s *submission) mayRetry(outcome task.Outcome, now time.Time) bool {
	if !now.Before(s.task.Deadline) {
		return false
	}
	switch out := outcome.(type) {
	case nil:
		return true
	case task.Failed:
		return s.queue.Idempotent && !out.Poison
	case task.Unknown:
		return s.queue.Idempotent
	}
	return false
}

// refusedOutcome returns the outcome of a task that gets no further attempt: the
// refusal, or the outcome of an earlier attempt, in which the task may have run.
func (s *submission) refusedOutcome(refusal task.NotRun) task.Outcome {
	if s.lastOutcome != nil {
		return s.lastOutcome
	}
	return refusal
}
