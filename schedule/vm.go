package schedule

import (
	"slices"
	"time"

	"almondcove/job"
)

// The times of sessions with VMs.
const (
	// epochBits is the room below the epoch in a fence.
	epochBits = 20
	// drift is how much slower than ours a VM's clock may be, as a share.
	drift = 0.02
	// startWindow is how long an order to start may be on its way.
	startWindow = 1500 * time.Millisecond
	// lateBound is how long after it was sent an order may still be carried out.
	lateBound = 13 * time.Second
	// holdWait is how long a VM may wait for an end before it answers a hold.
	holdWait = time.Second
	// stopAgain is when an order to stop is given once more.
	stopAgain = 700 * time.Millisecond
	// unlistedFor is how long a VM may be missing from the list before it counts
	// as gone, if nothing that it was given can run any more.
	unlistedFor = 2 * time.Second
)

// vm is the session with one VM.
type vm struct {
	VM
	listed   bool
	unlisted time.Time
	// attached is set once the VM has answered under the owner's fence, so that
	// all that it runs is known.
	attached bool
	// silent is set while the last hold was not answered.
	silent bool
	// heard is when the last answer to a hold came.
	heard time.Time
	// serial is the part of the fence below the epoch, and raise is set when the
	// next hold has to use a higher one.
	serial int64
	raise  bool
	born   time.Time
	// clock was the VM's clock at clockAt, at the least.
	clock   time.Duration
	clockAt time.Time
	// lapse is when everything that the VM was given has ended.
	lapse time.Time
	runs  map[Run]*run
	used  job.Resources
	// read is the number of the last end that was taken in, seen of the last recorded.
	read, seen int64
	health     health
	// recorded is set once the fleet's record names the VM.
	recorded bool
	// past holds the starts of the VM's earlier processes.
	past map[time.Time]bool
	// idleSince is when the last run ended, or when the VM came.
	idleSince time.Time
	// paced is when the pace of its fillers was last changed.
	paced time.Time
	// due is set while the VM's machine waits for maintenance.
	due bool
	// stray is set while the VM runs something that the core knows nothing of.
	stray bool
	// kept is set while nothing new may start because the machine is to be taken.
	kept bool
	// urged is set when a hold was asked for and has not been prepared yet.
	urged bool
}

func (v *vm) refence() {
	v.raise = true
	v.attached = false
}

func (v *vm) fence(epoch int64) int64 { return epoch<<epochBits + v.serial }

// SetVMs replaces the platform's list.
func (c *Core) SetVMs(list []VM, now time.Time) {
	present := make(map[string]bool, len(list))
	for _, l := range list {
		if ended, ok := c.departed[l.ID]; ok && now.Sub(ended) < departedFor {
			continue
		}
		present[l.ID] = true
		v := c.vms[l.ID]
		if v == nil {
			v = c.addVM(l)
		}
		c.update(v, l, now)
	}
	for id, v := range c.vms {
		if !present[id] && v.listed {
			v.listed = false
			v.unlisted = now
			c.config.Log.Info("VM unlisted", "vm", id, "runs", len(v.runs))
		}
	}
}

// departedFor is how long the list may still show a VM whose machine was taken.
const departedFor = 10 * time.Second

// depart forgets a VM that has ended with its machine's order, if nothing ran there.
func (c *Core) depart(id string, now time.Time) {
	v := c.vms[id]
	if v == nil || len(v.runs) > 0 {
		return
	}
	c.departed[id] = now
	c.remove(v)
}

func (c *Core) remove(v *vm) {
	delete(c.vms, v.ID)
	delete(c.gates, v.ID)
	delete(c.pool(v.Pool).vms, v.ID)
	c.fleetChanged = true
}

func (c *Core) addVM(l VM) *vm {
	v := &vm{VM: l, raise: true, runs: make(map[Run]*run), past: make(map[time.Time]bool), born: l.Born}
	c.fleetChanged = true
	c.vms[l.ID] = v
	c.pool(l.Pool).vms[l.ID] = v
	return v
}

func (c *Core) update(v *vm, l VM, now time.Time) {
	if l.Draining != v.Draining || !v.listed {
		c.config.Log.Info("VM listed", "vm", l.ID, "pool", l.Pool, "draining", l.Draining, "centre", l.Centre)
	}
	if v.Pool != l.Pool {
		delete(c.pool(v.Pool).vms, l.ID)
		c.pool(l.Pool).vms[l.ID] = v
	}
	v.VM = l
	v.listed = true
	if v.isNew(l.Born) {
		c.reborn(v, l.Born, now)
	}
}

// isNew reports whether born is the start of a process of which the session has
// not heard.
func (v *vm) isNew(born time.Time) bool {
	return !born.IsZero() && !born.Equal(v.born) && !v.past[born]
}

// reborn takes note that a VM's process was started anew: what ran there has
// ended, but orders without an answer may still be carried out.
func (c *Core) reborn(v *vm, born, now time.Time) {
	if !v.born.IsZero() {
		c.config.Log.Info("VM restarted", "vm", v.ID, "runs", len(v.runs))
		v.past[v.born] = true
	}
	v.born = born
	v.read, v.seen = 0, 0
	v.clockAt = time.Time{}
	v.raise = true
	v.attached = false
	v.health = health{}
	for _, r := range v.list() {
		if r.state != sent && !r.unsure {
			c.ended(r, Lapsed, "", now)
		}
	}
	c.look(v)
}

// list returns the runs in a stable order.
func (v *vm) list() []*run {
	out := make([]*run, 0, len(v.runs))
	for _, r := range v.runs {
		out = append(out, r)
	}
	slices.SortFunc(out, func(a, b *run) int { return compareRuns(a.id, b.id) })
	return out
}

func (c *Core) look(v *vm) {
	if !v.urged {
		v.urged = true
		c.actions = append(c.actions, Look{VM: v.ID})
	}
}

// Hold prepares the next hold of a VM. It reports false for a VM that is gone.
func (c *Core) Hold(id string, now time.Time) (Hold, bool) {
	v := c.vms[id]
	if v == nil {
		return Hold{}, false
	}
	v.urged = false
	h := Hold{VM: id, Seen: v.seen, Sent: now}
	if v.raise {
		v.raise = false
		c.serial++
		v.serial = c.serial
	} else if v.attached && !v.silent {
		h.Wait = holdWait
	}
	h.Fence = v.fence(c.epoch)
	// A silent VM is given no more time, or what it runs could never be taken as ended.
	if !v.clockAt.IsZero() && !v.silent {
		h.Until = v.at(now) + c.config.Hold
		v.granted(now, c.config.Hold)
	}
	return h, true
}

// at returns the VM's clock, at the least.
func (v *vm) at(now time.Time) time.Duration {
	return v.clock + now.Sub(v.clockAt)
}

// granted notes that the VM may run what it has until d after now.
func (v *vm) granted(now time.Time, d time.Duration) {
	lapse := now.Add(d + time.Duration(drift*float64(d)) + v.slack(now))
	if lapse.After(v.lapse) {
		v.lapse = lapse
	}
}

// slack is how far the VM's clock may have run behind since it was last read.
func (v *vm) slack(now time.Time) time.Duration {
	return time.Duration(drift*float64(now.Sub(v.clockAt))) + 50*time.Millisecond
}

// HoldFailed takes note of a hold without an answer.
func (c *Core) HoldFailed(h Hold, result Result, now time.Time) {
	v := c.vms[h.VM]
	if v == nil || h.Fence < v.fence(c.epoch) {
		return
	}
	if !v.silent {
		c.fleetChanged = true
		c.config.Log.Warn("VM silent", "vm", v.ID, "result", result, "runs", len(v.runs), "fence", h.Fence)
	}
	v.silent = true
	v.raise = true
	if result == Fenced && v.fence(c.epoch) <= h.Fence {
		// Only a later owner can have used a higher fence than ours.
		c.config.Log.Warn("VM obeys a later owner", "vm", v.ID, "fence", h.Fence)
	}
	c.expire(v, now)
}

// expire ends the runs of a VM when everything that it was given has lapsed.
func (c *Core) expire(v *vm, now time.Time) {
	if now.Before(v.lapse) {
		return
	}
	for _, r := range v.list() {
		if (r.state == sent || r.unsure) && now.Sub(r.sent) < lateBound {
			continue
		}
		c.ended(r, Lapsed, "", now)
		c.fleetChanged = true
	}
}

// Held takes a VM's answer to a hold.
func (c *Core) Held(h Hold, r Report, now time.Time) {
	v := c.vms[h.VM]
	if v == nil {
		return
	}
	if v.past[r.Born] {
		return
	}
	if v.isNew(r.Born) {
		c.reborn(v, r.Born, now)
	}
	if v.silent {
		c.config.Log.Info("VM answers", "vm", v.ID, "fence", h.Fence, "running", len(r.Running))
	}
	if v.silent {
		// The record says what the VM ran when it fell silent, and that it is
		// given nothing; that has to change first.
		v.recorded = false
		c.fleetChanged = true
		c.look(v)
	}
	v.silent = false
	v.heard = now
	if v.clockAt.IsZero() || r.Clock > v.at(now) {
		v.clock, v.clockAt = r.Clock, now
	} else if now.Sub(v.clockAt) > time.Second {
		v.clock, v.clockAt = r.Clock, now
	}
	for _, e := range r.Ended {
		c.end(v, e, now)
	}
	c.progress(v, r, now)
	c.hasten(v, now)
	c.paceVM(v, now)
	if h.Fence == v.fence(c.epoch) && !v.raise {
		c.settle(v, h, r, now)
	}
}

// progress takes in what the running tasks say of themselves.
func (c *Core) progress(v *vm, report Report, now time.Time) {
	for _, p := range report.Running {
		r := v.runs[p.Run]
		if r == nil {
			continue
		}
		if r.state == sent || r.state == unsettled {
			r.state = running
		}
		r.unsure = false
		r.checkpoint, r.load = p.Checkpoint, p.Load
		r.advanced(p.Percent, now)
		c.works(r, now)
	}
}

// works notes since when a service task is at work.
func (c *Core) works(r *run, now time.Time) {
	t := r.task
	switch {
	case r.percent < 100 || r.state == stopping:
		t.atWork = time.Time{}
	case t.atWork.IsZero():
		t.atWork = now
	}
}

// settle decides, from an answer under the current fence, about orders that
// were given under lower ones, and about runs that the core doesn't know.
func (c *Core) settle(v *vm, h Hold, report Report, now time.Time) {
	listed := make(map[Run]bool, len(report.Running))
	for _, p := range report.Running {
		listed[p.Run] = true
	}
	for _, r := range v.list() {
		if r.fence < h.Fence && !listed[r.id] {
			c.config.Log.Info("run settled as not there", "run", r.id, "vm", v.ID, "state", r.state)
			c.ended(r, Unknown, "", now)
		}
	}
	v.stray = false
	for _, p := range report.Running {
		if v.runs[p.Run] == nil {
			c.adopt(v, p, now)
		}
	}
	if !v.attached {
		v.attached = true
		v.idleSince = now
		delete(c.gates, v.ID)
		c.config.Log.Info("VM attached", "vm", v.ID, "fence", h.Fence, "running", len(report.Running))
		c.look(v)
	}
}

// adopt takes a run that an owner before this one has started. One that must not
// go on is stopped; until it has ended it takes up room like any other.
func (c *Core) adopt(v *vm, p Progress, now time.Time) {
	w := c.jobs[p.Run.Task.Job]
	if w == nil || !w.has(p.Run.Task) {
		c.config.Log.Info("stray run stopped", "run", p.Run, "vm", v.ID)
		v.stray = true
		c.actions = append(c.actions, Stop{VM: v.ID, Run: p.Run, Fence: v.fence(c.epoch)})
		return
	}
	var t *task
	if !w.state.Phase().Final() {
		t = c.taskOf(w, p.Run.Task)
	}
	wanted := t != nil && (len(t.runs) == 0 || t.stage.step.Copies)
	if !wanted {
		t = ghost(w, p.Run.Task)
	}
	r := c.newRun(t, v, p.Run.Number, now)
	r.state = running
	r.checkpoint, r.percent, r.load = p.Checkpoint, p.Percent, p.Load
	v.granted(now, c.config.Hold)
	if !wanted {
		c.config.Log.Info("unwanted run stopped", "run", p.Run, "vm", v.ID, "phase", w.state.Phase())
		c.stop(r, now)
		return
	}
	w.state.Start()
	if t.stage.step.Filler {
		// The owner before may have paced it; what it said is not known.
		r.pace = adoptedPace
		c.actions = append(c.actions, Pace{VM: v.ID, Run: r.id, Percent: r.pace, Fence: v.fence(c.epoch)})
	}
}

// ghost returns a task that stands for a run which is only to be stopped.
func ghost(w *work, id job.Task) *task {
	g := &stage{work: w, id: id.Stage(), step: &w.Steps[id.Step]}
	return &task{stage: g, id: id, done: true}
}

// has reports whether the job has such a task.
func (w *work) has(id job.Task) bool {
	return id.Step >= 0 && id.Step < len(w.Steps) && id.Index >= 0 && id.Index < w.Steps[id.Step].Count &&
		id.Occurrence >= 0 && id.Occurrence < w.Occurrences()
}

// newRun books a run on a VM.
func (c *Core) newRun(t *task, v *vm, number int, now time.Time) *run {
	r := &run{
		id: Run{t.id, number}, task: t, vm: v, fence: v.fence(c.epoch), sent: now,
		need: t.stage.step.Need, asked: t.stage.step.Need, pace: fullPace,
	}
	if t.stage.step.Filler {
		r.need.CPU = 0
	}
	t.number = max(t.number, number)
	if len(t.runs) == 0 {
		t.stage.waiting--
	}
	t.runs = append(t.runs, r)
	v.runs[r.id] = r
	v.used = v.used.Plus(r.need)
	owner := c.team(t.stage.work.Team)
	owner.used = owner.used.Plus(r.asked)
	return r
}

// release removes a run from all books.
func (c *Core) release(r *run) {
	v, t := r.vm, r.task
	if v.runs[r.id] != r {
		return
	}
	delete(v.runs, r.id)
	v.used = v.used.Minus(r.need)
	owner := c.team(t.stage.work.Team)
	owner.used = owner.used.Minus(r.asked)
	t.runs = slices.DeleteFunc(t.runs, func(o *run) bool { return o == r })
	if len(t.runs) == 0 {
		t.atWork = time.Time{}
		if !t.done {
			t.stage.waiting++
		}
	}
}

// end takes an end that a VM lists.
func (c *Core) end(v *vm, e End, now time.Time) {
	if e.Number <= v.read {
		return
	}
	v.read = e.Number
	c.stats.Ends++
	if r := v.runs[e.Run]; r != nil {
		c.ended(r, e.How, e.Checkpoint, now)
		return
	}
	c.lateEnd(v, e, now)
}

// lateEnd takes the end of a run that the core doesn't know, such as one that
// an owner before this one has started.
func (c *Core) lateEnd(v *vm, e End, now time.Time) {
	w := c.jobs[e.Run.Task.Job]
	if w == nil || w.state.Phase().Final() {
		return
	}
	t := c.taskOf(w, e.Run.Task)
	if t == nil {
		return
	}
	t.number = max(t.number, e.Run.Number)
	c.config.Log.Info("end of an unknown run", "run", e.Run, "how", e.How, "vm", v.ID)
	c.outcome(t, e.Run.Number, v, e.How, now)
}

// ended takes the end of a run.
func (c *Core) ended(r *run, how How, checkpoint string, now time.Time) {
	t := r.task
	if checkpoint == "" {
		checkpoint = r.checkpoint
	}
	c.release(r)
	r.vm.idleSince = now
	if checkpoint != "" {
		t.checkpoint = checkpoint
	}
	if how != Done || t.stage.step.Service {
		c.config.Log.Info("run ended", "run", r.id, "vm", r.vm.ID, "how", how, "state", r.state,
			"after", now.Sub(r.sent).Milliseconds())
	}
	r.vm.judge(t.id.Job, how, now)
	if how == Done {
		c.learnEnd(r, now)
	}
	c.outcome(t, r.id.Number, r.vm, how, now)
}

// outcome records what the end of a run means for its task.
func (c *Core) outcome(t *task, number int, v *vm, how How, now time.Time) {
	w := t.stage.work
	if w.state.Phase().Final() || t.done {
		return
	}
	switch how {
	case Done:
		c.taskDone(t, number, now)
	case Failed:
		c.taskFailed(t, number, v, now)
	case Lapsed, Unknown:
		c.stats.Lapses++
	case Stopped, Broken, Alone:
	}
}

func (c *Core) taskDone(t *task, number int, now time.Time) {
	g, w := t.stage, t.stage.work
	if g.step.Service {
		return
	}
	members := []*task{t}
	if g.step.Gang {
		members = g.tasks
	}
	for _, m := range members {
		c.markDone(m, now)
	}
	c.changed(w)
	if !w.state.StageDone(g.id) {
		return
	}
	c.closeStage(g)
	if w.state.Phase() == job.Completed {
		w.state.Close(now)
		c.config.Log.Info("job completed", "job", w.ID, "queue", w.Queue, "run", number,
			"late", now.Sub(g.due.Add(c.allowance(w))).Milliseconds(), "took", now.Sub(w.Accepted).Milliseconds())
		return
	}
	c.open(w, now)
}

func (c *Core) markDone(t *task, now time.Time) {
	if t.done {
		return
	}
	t.done = true
	t.stage.work.state.Done(t.id)
	if len(t.runs) == 0 {
		t.stage.waiting--
	}
	if t.stage.step.Gang {
		// The other members list their own ends.
		return
	}
	for _, r := range slices.Clone(t.runs) {
		c.stop(r, now)
	}
}

func (c *Core) taskFailed(t *task, number int, v *vm, now time.Time) {
	g, w := t.stage, t.stage.work
	c.stats.Failures++
	t.failedOn = append(t.failedOn, v.ID)
	if g.step.Service {
		t.notBefore = now.Add(serviceBackoff)
		return
	}
	counted := t
	if g.step.Gang {
		counted = g.tasks[0]
	}
	if !w.state.Fail(counted.id, number) {
		return
	}
	c.changed(w)
	failures := w.state.Failures(counted.id)
	attempts := max(c.view.Queues[w.Queue].Attempts, 1)
	c.config.Log.Info("task failed", "run", Run{t.id, number}, "vm", v.ID, "failures", failures, "attempts", attempts)
	if failures >= attempts {
		c.finish(w, job.Failed, now)
	}
}

// serviceBackoff is the pause before a service task that has failed starts anew.
const serviceBackoff = 100 * time.Millisecond

// Started takes the result of an order to start.
func (c *Core) Started(s Start, result Result, now time.Time) {
	v := c.vms[s.VM]
	if v == nil {
		return
	}
	r := v.runs[s.Run]
	if r == nil {
		return
	}
	if result != Accepted {
		c.config.Log.Info("start not accepted", "run", s.Run, "vm", s.VM, "result", result)
	}
	switch result {
	case Accepted:
		r.unsure = false
		if r.state == sent || r.state == unsettled {
			r.state = running
		}
		return
	case Unanswered:
		c.stats.Unanswered++
		if r.state == running {
			return
		}
		r.unsure = true
		if r.state == sent {
			r.state = unsettled
		}
		v.raise = true
		c.look(v)
		return
	}
	if r.state == running {
		// A hold has shown it running meanwhile.
		return
	}
	c.release(r)
	r.task.notBefore = now.Add(retryPause)
	c.refused(v, r, result, now)
}

// retryPause is the pause before a task whose start was refused is tried again.
const retryPause = 50 * time.Millisecond

// refused draws the consequences of an order that was not carried out.
func (c *Core) refused(v *vm, r *run, result Result, now time.Time) {
	switch result {
	case Outdated:
		r.task.number += runSpan / 100
	case Unhealthy:
		v.health.refused(now)
	case Unsent, Gone, Fenced:
		v.raise = true
		c.look(v)
	case Full:
		v.health.full(now)
	case NoTicket:
		r.task.stage.advice = advice{}
	case Refused:
		r.task.notBefore = now.Add(time.Second)
	case Accepted, Unanswered, Late:
	}
}

// stop orders the end of a run.
func (c *Core) stop(r *run, now time.Time) {
	if r.state == stopping && now.Sub(r.stopSent) < stopAgain {
		return
	}
	if r.state == sent || r.state == unsettled {
		// The order to start may still be on its way: a higher fence settles it.
		r.vm.raise = true
		c.look(r.vm)
	}
	r.state = stopping
	r.stopSent = now
	c.actions = append(c.actions, Stop{VM: r.vm.ID, Run: r.id, Fence: r.vm.fence(c.epoch)})
}

// Stopped takes the result of an order to stop.
func (c *Core) Stopped(s Stop, result Result, _ time.Time) {
	if result == Accepted {
		return
	}
	c.config.Log.Info("stop not accepted", "run", s.Run, "vm", s.VM, "result", result)
	if v := c.vms[s.VM]; v != nil {
		v.raise = v.raise || result == Fenced
	}
}
