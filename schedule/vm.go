package schedule

import (
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
	// holdWait is how long a VM may wait for an end before it answers a hold, and
	// busyWait the same for one that runs tasks with an end: an answer that is lost is
	// missed only after it.
	holdWait = time.Second
	busyWait = 300 * time.Millisecond
	// mostMissed is how many answers in a row may be missing before a VM is silent.
	// Single ones get lost on VMs that are well.
	mostMissed = 1
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
	// silent is set while holds are not answered.
	silent bool
	// missed is the number of holds in a row that were not answered.
	missed int
	// over is set while the list of machines shows that the VM has ended.
	over bool
	// machine is the one on which the VM was last listed.
	machine string
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
	// reported tells which report was the newest.
	reported reported
	// lapse is when everything that the VM was given has ended.
	lapse time.Time
	runs  map[Run]*run
	used  job.Resources
	// read is the number of the last end that was taken in, seen of the last recorded.
	read, seen int64
	// ends lists the ends between the two.
	ends   []unseenEnd
	health health
	// exact is set while the record may say that the VM is given no more time; it is
	// given none then.
	exact bool
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
	c.pool(v.Pool).drop(v)
	c.fleetChanged = true
}

func (c *Core) addVM(l VM) *vm {
	v := &vm{VM: l, raise: true, runs: make(map[Run]*run), past: make(map[time.Time]bool), born: l.Born}
	c.fleetChanged = true
	c.vms[l.ID] = v
	c.pool(l.Pool).add(v)
	return v
}

func (c *Core) update(v *vm, l VM, now time.Time) {
	if l.Draining != v.Draining || !v.listed {
		c.config.Log.Info("VM listed", "vm", l.ID, "pool", l.Pool, "draining", l.Draining, "centre", l.Centre)
	}
	if v.Pool != l.Pool {
		c.pool(v.Pool).drop(v)
		c.pool(l.Pool).add(v)
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
	v.read, v.seen, v.ends = 0, 0, nil
	v.reported = reported{}
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
	return sortedValues(v.runs, func(a, b *run) int { return compareRuns(a.id, b.id) })
}

func (c *Core) look(v *vm) {
	if !v.urged {
		v.urged = true
		c.actions = append(c.actions, ImmediateHold{VM: v.ID})
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
	} else if v.attached && !v.silent && v.missed == 0 {
		h.Wait = v.wait()
	}
	h.Fence = v.fence(c.epoch)
	// A silent VM is given no more time, or what it runs could never be taken as ended.
	if !v.clockAt.IsZero() && !v.silent && !v.exact {
		h.Until = v.at(now) + c.config.Hold
		v.granted(now, c.config.Hold)
	}
	return h, true
}

// wait returns how long a hold may wait for an end.
func (v *vm) wait() time.Duration {
	for _, r := range v.runs {
		if !r.task.stage.step.Service {
			return busyWait
		}
	}
	return holdWait
}

// at returns the VM's clock, at the least.
func (v *vm) at(now time.Time) time.Duration {
	return v.clock + now.Sub(v.clockAt)
}

// granted notes that the VM may run what it has until d after now.
func (v *vm) granted(now time.Time, d time.Duration) {
	lapse := now.Add(stretched(d) + v.slack(now))
	if lapse.After(v.lapse) {
		v.lapse = lapse
	}
}

// stretched returns how long a time on a VM's clock may take on ours.
func stretched(d time.Duration) time.Duration { return d + time.Duration(drift*float64(d)) }

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
	v.missed++
	if result == Unanswered && v.attached && !v.silent && v.missed <= mostMissed {
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
		// The record says what the VM ran when it fell silent, and that it is
		// given nothing; that has to change first.
		v.recorded = false
		c.fleetChanged = true
		c.look(v)
	}
	v.silent, v.over = false, false
	v.missed = 0
	v.heard = now
	if v.clockAt.IsZero() || r.Clock > v.at(now) || now.Sub(v.clockAt) > time.Second {
		v.clock, v.clockAt = r.Clock, now
	}
	for _, e := range r.Ended {
		c.end(v, e, now)
	}
	if v.attached && !v.reported.before(h, r) {
		// What it lists may have ended since, and its end may be forgotten already.
		return
	}
	v.reported = reported{h.Fence, r.Clock}
	c.progress(v, r, now)
	c.restartStalled(v, now)
	c.paceFillers(v, now)
	if h.Fence == v.fence(c.epoch) && !v.raise {
		c.settle(v, h, r, now)
	}
}

// reported orders the reports of one life of a VM: answers on different
// connections may overtake each other, but its fence and its clock only rise.
type reported struct {
	fence int64
	clock time.Duration
}

// before reports whether the answer to a hold is newer.
func (o reported) before(h Hold, r Report) bool {
	return o.fence < h.Fence || o.fence == h.Fence && o.clock < r.Clock
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
		r.recordProgress(p.Percent, now)
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
