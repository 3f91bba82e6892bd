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

// The times of a task.
const (
	// patience is how long an idempotent task waits for any sign from its VM
	// before it is tried elsewhere.
	patience = 2 * time.Second
	// silenceFactor is how many mean run times a task may go unanswered before
	// it is asked for, and silenceLeast the least such time.
	silenceFactor = 4
	silenceLeast  = 50 * time.Millisecond
	// renewalLength is the length of the part that makes an id new.
	renewalLength = 6
	// stopTimeout bounds the attempt to stop a task whose caller went away.
	stopTimeout = 2 * time.Second
)

// Call is one caller's request.
type Call struct {
	// ID is the task's id; empty means a new one.
	ID    task.ID
	Queue string
	Team  string
	// Key is the id of the key that the caller showed; empty on an open queue.
	Key    string
	Body   []byte
	Type   string
	Accept string
	// Idempotency is the caller's idempotency key, if any.
	Idempotency string
	// Wait bounds the time until the start; zero means the queue's own bound.
	Wait time.Duration
}

// Submit runs one task and returns its outcome. The caller has been checked
// against the configuration in force. Submit returns early when ctx ends.
func (e *Entry) Submit(ctx context.Context, c Call) (task.ID, task.Outcome) {
	cfg := e.keeper.now()
	queue, ok := cfg.Queues[c.Queue]
	if !ok {
		return c.ID, task.NotRun{Reason: task.Absent}
	}
	if c.ID == "" {
		c.ID = taskIDFor(c)
	}
	wait := time.Duration(queue.Wait)
	if c.Wait > 0 {
		wait = min(wait, c.Wait)
	}
	j := &job{
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
		OnRefused: func(why task.NotRun) { j.refuse <- why },
	}
	begun := time.Now()
	outcome := j.run(ctx)
	j.removeClaim(outcome)
	e.metrics.countOutcome(c.Queue, outcome, time.Since(begun))
	return j.id, outcome
}

// job is one task on its way through the entry.
type job struct {
	entry  *Entry
	call   Call
	id     task.ID
	queue  fleet.Queue
	task   *dispatch.Task
	ready  chan string
	refuse chan task.NotRun
	// held is the claim that the job holds or may take over.
	held claimLocation
	// past is what the last try that began showed.
	past task.Outcome
}

// run takes the task from admission to its outcome.
func (j *job) run(ctx context.Context) task.Outcome {
	var refused *task.NotRun
	j.entry.work.update(func(core *dispatch.Core, now time.Time) {
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
			if outcome := j.try(ctx, vm); outcome != nil {
				return outcome
			}
		case why := <-j.refuse:
			return j.notRun(why)
		case <-deadline.C:
			if j.cancel() {
				return j.notRun(task.NotRun{Reason: task.Deadline, Retry: time.Second})
			}
		case <-done:
			if j.cancel() {
				return j.notRun(task.NotRun{Reason: task.Canceled})
			}
			// The task was given to a VM at the same moment; try stops it.
			done = nil
		}
	}
}

// cancel takes the task out of its queue and reports whether it still waited.
func (j *job) cancel() bool {
	waited := false
	j.entry.work.update(func(core *dispatch.Core, _ time.Time) {
		waited = core.Cancel(j.task)
	})
	return waited
}

// try sends the task to one VM. It returns nil when the task went back into
// its queue.
func (j *job) try(ctx context.Context, vm string) task.Outcome {
	address, ok := j.entry.list.address(vm)
	if j.call.Idempotency != "" {
		if outcome, done := j.claim(ctx, vm, address); done {
			return outcome
		}
		if !j.serves(vm) {
			// The VM or its data centre was taken out while the claim was written.
			return j.releaseAndRequeue(ctx)
		}
	}
	req := j.request(time.Now(), vm)
	lapse := req.NotAfter.Add(req.Lease + limit.ClockMargin)
	j.entry.line.Add(timeline.Event{Kind: "send", Task: string(j.id), VM: vm, Team: j.task.Team})
	res := upstream.Result{Proof: task.Unsent, Load: -1}
	if ok {
		res = j.converse(ctx, address, req, lapse)
	}
	end := dispatch.End{
		Proof:   res.Proof,
		Good:    res.Answer.Status < http.StatusInternalServerError,
		Leaving: res.Why == upstream.WhyLeaving,
		Load:    res.Load,
		Lapse:   lapse,
	}
	j.entry.line.Add(timeline.Event{Kind: "end", Task: string(j.id), VM: vm, Team: j.task.Team, Note: end.Proof.String()})
	return j.finish(ctx, vm, res, end)
}

// serves reports whether the VM may still take the task that was given to it.
func (j *job) serves(vm string) bool {
	ok := false
	j.entry.work.read(func(core *dispatch.Core, _ time.Time) { ok = core.Table().Serves(vm) })
	return ok
}

func (j *job) request(now time.Time, vm string) upstream.Request {
	notAfter := now.Add(dispatch.MaxStartDelay)
	if j.task.Deadline.Before(notAfter) {
		notAfter = j.task.Deadline
	}
	req := upstream.Request{
		ID:       j.id,
		Team:     j.task.Team,
		Queue:    j.task.Queue,
		Body:     j.call.Body,
		Type:     j.call.Type,
		Accept:   j.call.Accept,
		NotAfter: notAfter,
		Lease:    time.Duration(j.queue.Lease),
		Silent:   func() { j.entry.suspect(vm) },
	}
	j.entry.work.read(func(core *dispatch.Core, _ time.Time) {
		req.Silence = min(max(silenceFactor*core.MeanRunTime(j.task.Queue), silenceLeast), j.entry.config.Silence)
	})
	if j.queue.Idempotent {
		req.Patience = patience
	}
	return req
}

// converse runs the task on the VM. When the caller goes away the task is stopped.
func (j *job) converse(ctx context.Context, vm netip.AddrPort, req upstream.Request, lapse time.Time) upstream.Result {
	inner, cancel := context.WithDeadline(context.WithoutCancel(ctx), lapse)
	defer cancel()
	stop := context.AfterFunc(ctx, cancel)
	defer stop()
	res := j.entry.upstream.Run(inner, vm, req)
	if ctx.Err() == nil || res.Proof != task.Nothing && res.Proof != task.Running {
		return res
	}
	stopping, done := context.WithTimeout(context.WithoutCancel(ctx), stopTimeout)
	defer done()
	if j.entry.upstream.Stop(stopping, vm, req.ID) {
		res.Proof = task.Ended
	}
	return res
}

// finish takes note of a try's end and decides what comes next.
func (j *job) finish(ctx context.Context, vm string, res upstream.Result, end dispatch.End) task.Outcome {
	if res.Why == upstream.WhyFenced {
		// The VM never runs the task under this id, but may under another.
		j.id = j.id.Renew(rand.Text()[:renewalLength])
	}
	again := false
	var shown task.Outcome
	j.entry.work.update(func(core *dispatch.Core, now time.Time) {
		core.Finish(j.task, end, now)
		shown = j.shown(vm, res, end)
		again = ctx.Err() == nil && j.mayRetry(shown, now) && core.Retry(j.task, shown != nil)
	})
	switch {
	case again:
		j.entry.metrics.retries.Inc()
		if shown != nil {
			j.past = shown
		}
		return nil
	case shown != nil:
		return shown
	case ctx.Err() != nil:
		return j.notRun(task.NotRun{Reason: task.Canceled})
	}
	return j.notRun(task.NotRun{Reason: task.Deadline, Retry: time.Second})
}

// shown returns what one try alone shows, or nil when the VM did not begin the task.
func (j *job) shown(vm string, res upstream.Result, end dispatch.End) task.Outcome {
	switch {
	case res.Proof.Free():
		return nil
	case res.Proof == task.Done && end.Good:
		res.Answer.VM = vm
		return res.Answer
	case res.Proof == task.Done:
		return task.Failed{VM: vm, Status: res.Answer.Status, Poison: j.task.Poison()}
	case res.Proof == task.Ended:
		return task.Failed{VM: vm}
	}
	return task.Unknown{VM: vm, Until: end.Lapse}
}

// mayRetry reports whether a try that showed this may be followed by another.
func (j *job) mayRetry(shown task.Outcome, now time.Time) bool {
	if !now.Before(j.task.Deadline) {
		return false
	}
	switch out := shown.(type) {
	case nil:
		return true
	case task.Failed:
		return j.queue.Idempotent && !out.Poison
	case task.Unknown:
		return j.queue.Idempotent
	}
	return false
}

// notRun returns the refusal, or what an earlier try showed, since the task
// may then have run.
func (j *job) notRun(why task.NotRun) task.Outcome {
	if j.past != nil {
		return j.past
	}
	return why
}
