package schedule

import (
	"math"
	"slices"
	"time"

	"almondcove/job"
	"almondcove/locality"
)

// nearWait tells for which rack tasks of a stage wait although other VMs have room, as of the
// last plan that tried to place them.
type nearWait struct {
	rack  string
	tasks int
}

// nearSearch decides for the waiting tasks of a stage, one after the other, whether they wait
// for a VM in their preferred rack.
type nearSearch struct {
	core  *Core
	stage *stage
	vms   []*vm
	now   time.Time
	// places lists when places in the rack are expected to be free, once they are known.
	places []time.Duration
	known  bool
}

// nearSearch begins a new attempt to place the tasks of a stage on the given VMs.
func (c *Core) nearSearch(s *stage, vms []*vm, now time.Time) *nearSearch {
	s.near = nearWait{}
	return &nearSearch{core: c, stage: s, vms: vms, now: now}
}

// waits reports whether a task waits for a near VM instead of starting on v.
func (n *nearSearch) waits(t *task, v *vm) bool {
	s := n.stage
	if !v.away(s.step) {
		return false
	}
	wait, verdict := n.decide(t)
	if verdict != locality.Pays {
		n.core.endWait(t, "given up", verdict, n.now)
		return false
	}
	n.core.beginWait(t, wait, s.step.PreferredRack, n.now)
	s.near = nearWait{s.step.PreferredRack, s.near.tasks + 1}
	return true
}

// decide returns whether the next task that could only start away from its data should wait.
func (n *nearSearch) decide(t *task) (locality.Wait, locality.Verdict) {
	s := n.stage
	wait, ok := n.core.possibleWait(t, n.now)
	if !ok {
		return wait, locality.NoLoss
	}
	verdict := wait.Decide()
	if verdict != locality.Pays {
		return wait, verdict
	}
	if !n.known {
		n.known = true
		n.places = n.core.nearPlaces(s, n.vms, s.step.PreferredRack, s.waitingTasks, n.now)
	}
	wait.Expected = placeAt(n.places, s.near.tasks)
	return wait, wait.Decide()
}

// result returns the result of the attempt if all tasks were started that do not wait.
func (n *nearSearch) result() placement {
	if n.stage.near.tasks > 0 {
		return postponed{}
	}
	return placed{}
}

// away reports whether the VM is outside the preferred rack of a step.
func (v *vm) away(step *job.Step) bool {
	return step.PreferredRack != "" && !slices.Contains(v.Labels, step.PreferredRack)
}

// placeAt returns the time at an index of places, or the longest time if there are too few.
func placeAt(places []time.Duration, i int) time.Duration {
	if i >= len(places) {
		return math.MaxInt64
	}
	return places[i]
}

// possibleWait returns what is known of a wait of a task, without when a near place is free. It
// reports false for a task that does not wait: that of a service, one that has failed, or one of
// a queue of which it is not known how long its tasks take.
func (c *Core) possibleWait(t *task, now time.Time) (locality.Wait, bool) {
	s, tj := t.stage, t.stage.trackedJob
	averages := c.averages[tj.Queue]
	if s.step.Service || s.step.Filler || len(t.failedOn) > 0 || averages == nil || !averages.near.Known() {
		return locality.Wait{}, false
	}
	w := locality.Wait{FarFactor: c.config.FarFactor, TaskTime: averages.near.Mean()}
	if !t.nearSince.IsZero() {
		w.Waited = now.Sub(t.nearSince)
	}
	stepTime := c.meanTaskTime(tj.Queue)
	w.Left = s.objective(c).Sub(now) - stepTime*time.Duration(tj.depth[s.id.Step]-1)
	w.OnlyNear = c.allowance(tj)-stepTime*time.Duration(tj.criticalPath-1) < w.TaskTime+w.Loss()
	return w, true
}

// beginWait notes that a task waits for a near VM.
func (c *Core) beginWait(t *task, w locality.Wait, rack string, now time.Time) {
	if !t.nearSince.IsZero() {
		return
	}
	t.nearSince = now
	c.stats.NearWaits++
	c.config.Log.Info("wait for a near VM begun", "task", t.id, "rack", rack,
		"expected", w.Expected.Milliseconds(), "loss", w.Loss().Milliseconds(), "left", w.Left.Milliseconds())
}

// endWait notes that a task does not wait for a near VM any more.
func (c *Core) endWait(t *task, how string, verdict locality.Verdict, now time.Time) {
	if t.nearSince.IsZero() {
		return
	}
	c.config.Log.Info("wait for a near VM ended", "task", t.id, "how", how, "verdict", verdict, "after", now.Sub(t.nearSince).Milliseconds())
	if how == "paid" {
		c.stats.NearWaitsPaid++
	} else {
		c.stats.NearWaitsGivenUp++
	}
	t.nearSince = time.Time{}
}

// noteStart notes whether the run of a task that was just started is away from its data.
func (c *Core) noteStart(t *task, away bool, now time.Time) {
	t.runs[len(t.runs)-1].away = away
	if away {
		c.stats.AwayStarts++
		return
	}
	c.endWait(t, "paid", locality.Pays, now)
}

// nearPlaces returns the times until a rack is expected to have room for further tasks of a
// stage, the shortest first: as many as the tasks, less those that tasks before them in rank
// will take.
func (c *Core) nearPlaces(s *stage, vms []*vm, rack string, tasks int, now time.Time) []time.Duration {
	var inRack []*vm
	for _, v := range vms {
		if v.isNear(s, rack) {
			inRack = append(inRack, v)
		}
	}
	if len(inRack) == 0 {
		return nil
	}
	ahead := c.aheadOf(s, rack, float64(len(inRack))/float64(len(vms)))
	var out []time.Duration
	var releases []locality.Release
	for _, v := range inRack {
		limit := ahead + tasks
		if s.step.MaxPerVM > 0 {
			limit = min(limit, s.step.MaxPerVM-v.stageRuns(s.id))
		}
		releases = c.appendReleases(releases[:0], v, now)
		out = locality.AppendPlaces(out, v.Capacity.Minus(v.used), s.need(), releases, limit)
	}
	slices.Sort(out)
	return out[min(ahead, len(out)):]
}

// isNear reports whether tasks of a stage may wait for room on a VM as one of a rack. The VMs
// of a plan are neither lost, draining nor cordoned.
func (v *vm) isNear(s *stage, rack string) bool {
	return slices.Contains(v.Labels, rack) && !v.maintenanceDue && v.trial == nil && !v.health.recentlyFailed() &&
		(s.step.Label == "" || slices.Contains(v.Labels, s.step.Label))
}

// aheadOf returns how many tasks before those of a stage are expected to take places of a rack:
// those that wait for it, and a share of those that fit nowhere.
func (c *Core) aheadOf(s *stage, rack string, share float64) int {
	waiting, blocked := 0, 0
	for _, other := range c.poolOf(s.trackedJob).backlog {
		switch {
		case other.id == s.id:
			return waiting + int(math.Ceil(share*float64(blocked)))
		case other.near.tasks > 0 && other.near.rack == rack:
			waiting += other.near.tasks
		case !other.blockedSince.IsZero():
			blocked += other.waitingTasks
		}
	}
	return waiting + int(math.Ceil(share*float64(blocked)))
}

// appendReleases appends the expected ends of the runs on a VM. Runs of services, and those of
// queues of which it is not known how long their tasks take, are not expected to end.
func (c *Core) appendReleases(out []locality.Release, v *vm, now time.Time) []locality.Release {
	for _, r := range v.runs {
		averages := c.averages[r.task.stage.trackedJob.Queue]
		switch {
		case r.state == runStopping:
			out = append(out, locality.Release{After: c.config.MaxStopTime, Need: r.need})
		case r.task.stage.step.Service || averages == nil || !averages.near.Known():
		default:
			factor := c.slowdown(r)
			age := time.Duration(float64(now.Sub(r.startSentAt)) / factor)
			out = append(out, locality.Release{After: time.Duration(factor * float64(averages.near.Remaining(age))), Need: r.need})
		}
	}
	return out
}

// slowdown returns how many times as long a run takes as it would near its data.
func (c *Core) slowdown(r *run) float64 {
	if c.config.FarFactor > 1 && r.away {
		return c.config.FarFactor
	}
	return 1
}

// gangWaits reports whether a gang waits for room in one rack instead of starting at the given
// places. It waits or starts as a whole.
func (c *Core) gangWaits(s *stage, vms, places []*vm, now time.Time) bool {
	s.near = nearWait{}
	if !gangAway(s.step, places) || c.isSuspect(s.tasks[0]) {
		return false
	}
	wait, rack, verdict := c.decideGang(s, vms, now)
	if verdict != locality.Pays {
		c.endWait(s.tasks[0], "given up", verdict, now)
		return false
	}
	s.near = nearWait{rack, len(s.tasks)}
	c.beginWait(s.tasks[0], wait, rack, now)
	return true
}

// decideGang returns whether a gang that could only start away from its data, or in several
// racks, should wait, and for which rack.
func (c *Core) decideGang(s *stage, vms []*vm, now time.Time) (locality.Wait, string, locality.Verdict) {
	wait, ok := c.possibleWait(s.tasks[0], now)
	if !ok {
		return wait, "", locality.NoLoss
	}
	verdict := wait.Decide()
	if verdict != locality.Pays {
		return wait, "", verdict
	}
	var rack string
	wait.Expected, rack = c.gangPlace(s, vms, now)
	return wait, rack, wait.Decide()
}

// gangPlace returns the expected time until one of the racks that suit a gang has room for all
// its tasks, and that rack.
func (c *Core) gangPlace(s *stage, vms []*vm, now time.Time) (time.Duration, string) {
	racks := []string{s.step.PreferredRack}
	if s.step.PreferredRack == "" {
		racks = racksOf(vms)
	}
	best, rack := time.Duration(math.MaxInt64), ""
	for _, candidate := range racks {
		places := c.nearPlaces(s, vms, candidate, len(s.tasks), now)
		if at := placeAt(places, len(s.tasks)-1); at < best {
			best, rack = at, candidate
		}
	}
	return best, rack
}

// gangAway reports whether places are outside the preferred rack of a gang, or in several racks
// although it asks for one.
func gangAway(step *job.Step, places []*vm) bool {
	return slices.ContainsFunc(places, func(v *vm) bool {
		return v.away(step) || step.SingleRack && v.rack() != places[0].rack()
	})
}

// preferRack returns the racks with the one that holds the data of a step first.
func (c *Core) preferRack(step *job.Step, racks []string) []string {
	i := slices.Index(racks, step.PreferredRack)
	if c.config.FarFactor <= 1 || i <= 0 {
		return racks
	}
	return slices.Insert(slices.Delete(racks, i, i+1), 0, step.PreferredRack)
}
