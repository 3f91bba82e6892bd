package schedule

import (
	"slices"
	"time"

	"almondcove/admission"
	"almondcove/job"
)

const (
	// forecastInterval is the least time between two forecasts of a pool, and
	// forecastIntervalPerVM the same for each VM.
	forecastInterval      = backlogSortInterval
	forecastIntervalPerVM = machinePlanIntervalPerVM
	// learnInterval is the least time between two looks at what came of predictions.
	learnInterval = 100 * time.Millisecond
	// roomMaxAge is the greatest age of the room of other pools, and of a pool for whose work
	// it hardly matters.
	roomMaxAge = 250 * time.Millisecond
	// lightTime is the time within which a pool with little waiting work does all of it.
	lightTime = 250 * time.Millisecond
	// returnTime is the least time until a VM that can't get tasks now is assumed to get
	// them again.
	returnTime = 500 * time.Millisecond
	// maxUnusableFraction is the fraction of a pool's VMs that may be out of reach for its
	// room to be known.
	maxUnusableFraction = 0.25
	// unlimitedRoom stands for a resource that a team's cap doesn't bound.
	unlimitedRoom = 1 << 50
)

// forecasts holds what the admission of jobs goes by.
type forecasts struct {
	// active is set once a job was handed in to a queue whose jobs expire.
	active bool
	pools  map[string]*forecast
	// epoch is that of the term in which the forecasts are made, and since when the first
	// one was.
	epoch int64
	since time.Time
	// capacities lists the different capacities of VMs and machines, spare is the capacity
	// of the machines that are switched off, and returning that of the machines that are
	// about to be back in each pool, as of the list of machines of listedAt.
	capacities []job.Resources
	spare      job.Resources
	returning  map[string]job.Resources
	listedAt   time.Time
	// offered holds the rates of the work that was handed in, accepted or not, by pool and by
	// team.
	offered map[offer]*admission.Arrivals
	// accuracy holds how actual waits compare to predicted ones, by queue, and expected
	// the predictions for the jobs that have not started.
	accuracy map[string]*admission.Accuracy
	expected []expectedStart
	// joinTime holds how the time until a moved machine's VM gets tasks compares to
	// [Config.MoveTime], and joins the moves whose VM does not yet, by
	// machine. learnedAt is when they were last looked at.
	joinTime  admission.Accuracy
	joins     map[string]join
	learnedAt time.Time
	// logs counts the refusals logged since logsSince, and unlogged those that were not
	// logged.
	logs, unlogged int
	logsSince      time.Time
}

// forecast is the room and the backlog of a pool at a time.
type forecast struct {
	at time.Time
	// loggedAt is when a forecast of the pool was last logged.
	loggedAt time.Time
	// waiting is the waiting work by order, in core-seconds.
	waiting [admission.Orders]float64
	// light is set while little work waits, so that the room doesn't matter.
	light bool
	// supply is the room of the pool, which was last found at suppliedAt.
	supply     *admission.Supply
	suppliedAt time.Time
	// known is set if most VMs of the pool are in reach, and idle if one runs nothing.
	known, idle bool
	// capacity is that of the pool's VMs less their services, and of what may join them.
	capacity job.Resources
	// joining is the part of capacity that may join from other pools.
	joining job.Resources
	// movable is the room on VMs whose machines may move to other pools, as of movableAt.
	movable   job.Resources
	movableAt time.Time
	// teams holds the teams whose jobs may have to wait for others of the team. Work of other
	// teams doesn't count, since a team that is owed a share of the pool passes it.
	teams map[string]*teamForecast
	// averages holds the averages by which the values of the waiting work were found.
	averages map[string]queueAverages
	gains    []admission.Gain
}

// teamForecast is the waiting work of a team in a pool.
type teamForecast struct {
	line admission.Line
	// capped is set if the team is bound by its cap. capSupply is then the room that the cap
	// leaves, gains are what the team's runs leave when they end, and left is the cap less
	// what they are charged for.
	capped    bool
	capSupply *admission.Supply
	gains     []admission.Gain
	left      job.Resources
}

// updateForecast replaces the forecast of a pool after its backlog was ranked.
func (c *Core) updateForecast(p *pool, now time.Time) {
	if !c.forecasts.active || p.name == unknownPool || p.name == c.view.Spare {
		return
	}
	if c.forecasts.pools == nil || c.forecasts.epoch != c.epoch {
		c.forecasts.pools, c.forecasts.joins = make(map[string]*forecast), make(map[string]join)
		c.forecasts.epoch, c.forecasts.since = c.epoch, now
	}
	f := c.forecasts.pools[p.name]
	if f == nil {
		f = &forecast{known: true, light: true}
		c.forecasts.pools[p.name] = f
	}
	if now.Sub(f.at) < max(forecastInterval, forecastIntervalPerVM*time.Duration(len(c.vms))) {
		return
	}
	if now.Sub(c.forecasts.learnedAt) >= learnInterval {
		c.forecasts.learnedAt = now
		c.surveyMachines()
		c.learnWaits(now)
		c.learnJoins(now)
	}
	f.at, f.teams = now, make(map[string]*teamForecast)
	f.addBacklog(c, p, now)
	f.light = f.isLight(now)
	if !f.light {
		f.findRoom(c, p, now)
		c.logForecast(p, f, now)
	}
}

// addBacklog replaces the waiting work of the forecast.
func (f *forecast) addBacklog(c *Core, p *pool, now time.Time) {
	f.waiting = [admission.Orders]float64{}
	f.averages = make(map[string]queueAverages, len(c.averages))
	for name, a := range c.averages {
		f.averages[name] = *a
	}
	f.addTeams(c, p)
	for _, s := range p.backlog {
		f.addWaiting(c, s, now)
	}
}

// isLight reports whether no team has so much waiting work that its jobs may have to wait, as
// far as the room of the pool was known lately.
func (f *forecast) isLight(now time.Time) bool {
	waiting := f.waiting != [admission.Orders]float64{}
	return len(f.teams) == 0 && (!waiting || now.Sub(f.suppliedAt) < roomMaxAge)
}

// findRoom replaces the room of the forecast.
func (f *forecast) findRoom(c *Core, p *pool, now time.Time) {
	f.suppliedAt, f.gains, f.capacity, f.idle = now, f.gains[:0], job.Resources{}, false
	for _, other := range c.pools {
		if o := c.forecasts.pools[other.name]; o != nil && other != p && now.Sub(o.movableAt) >= roomMaxAge {
			o.movable, o.movableAt = c.movableRoom(other, now), now
		}
	}
	f.addVMs(c, p, now)
	f.addComing(c, p, now)
	f.supply = admission.NewSupply(f.gains)
	for _, g := range f.gains {
		f.capacity = f.capacity.Plus(g.Room)
	}
	for _, t := range f.teams {
		t.line.Supply = f.supply
		if t.capped {
			t.capSupply = admission.NewSupply(append(t.gains, admission.Gain{Room: t.left}))
		}
	}
}

// movableRoom returns the free room on VMs of a pool whose machines may move.
func (c *Core) movableRoom(p *pool, now time.Time) job.Resources {
	var sum job.Resources
	for _, v := range p.vms {
		if c.acceptsTasks(v, now) && !v.runsService() {
			sum = sum.Plus(v.Capacity.Minus(v.used))
		}
	}
	return sum
}

// logForecast logs a forecast, at most one of a pool in loadLogInterval: the cores of its room
// with what may join it, the core-seconds of the waiting work, and the rate at which work
// arrives, in cores.
func (c *Core) logForecast(p *pool, f *forecast, now time.Time) {
	if now.Sub(f.loggedAt) < loadLogInterval {
		return
	}
	f.loggedAt = now
	c.config.Log.Info("room forecast", "pool", p.name, "room", f.capacity.CPU/1000, "joining", f.joining.CPU/1000,
		"urgent", int(f.waiting[admission.Urgent]), "later", int(f.waiting[admission.Later]),
		"late", int(f.waiting[admission.Late]), "offered", c.forecasts.offered[poolOffer(p.name)].CPU(now),
		"teams", len(f.teams), "known", f.known, "idle", f.idle)
}

// addTeams adds the teams whose jobs may have to wait for others of the team: those whose
// waiting tasks don't fit within their cap together, and those whose waiting work takes the pool
// longer than lightTime. A single task may fit within a cap at any time, because others of
// the team have just ended.
func (f *forecast) addTeams(c *Core, p *pool) {
	need, seconds := make(map[string]job.Resources), make(map[string]float64)
	for _, s := range p.backlog {
		name, waiting := s.trackedJob.Team, s.step.Need.Times(int64(s.waitingTasks))
		need[name] = need[name].Plus(waiting)
		seconds[name] += float64(waiting.CPU) * c.meanTaskTime(s.trackedJob.Queue).Seconds()
	}
	for name, waiting := range need {
		t := c.team(name)
		capped := t.capped() && !t.used.Plus(t.gatedUse).Plus(waiting).Within(t.room())
		if !capped && seconds[name] < lightTime.Seconds()*float64(f.capacity.CPU) {
			continue
		}
		f.teams[name] = &teamForecast{capped: capped, line: admission.Line{Backlog: &admission.Backlog{}}}
		if capped {
			f.teams[name].left = t.room()
		}
	}
}

// addWaiting adds the waiting tasks of a stage to those of its team. It leaves out those that
// other work may pass: gangs, tasks that need a label, and stages for which no VM is permitted.
// What has expired comes after all that is of use.
func (f *forecast) addWaiting(c *Core, s *stage, now time.Time) {
	order, ok := c.orderOf(s, now)
	tj := s.trackedJob
	switch {
	case !ok || s.step.Gang || s.step.Label != "" || !c.averages[tj.Queue].known():
		return
	case c.advised(s) && s.blockedSince.IsZero():
		return
	}
	// The value at the ranking may be outdated.
	taskTime, value := c.meanTaskTime(tj.Queue), c.valueDensity(s)
	work := admission.WorkOf(s.need(), s.waitingTasks, taskTime)
	f.waiting[order] += work.CPUSeconds()
	if team := f.teams[tj.Team]; team != nil {
		team.line.Backlog.Add(order, value, work)
		team.line.LongestTask = max(team.line.LongestTask, taskTime)
	}
}

// orderOf returns the order of a stage's waiting work. It reports false for service tasks and
// for work that can't be of use any more.
func (c *Core) orderOf(s *stage, now time.Time) (admission.Order, bool) {
	if s.step.Service {
		return 0, false
	}
	switch s.rank {
	case rankUrgent:
		return admission.Urgent, true
	case rankLater:
		return admission.Later, true
	case rankService, rankMissed:
	}
	expiry := s.expiry(c)
	return admission.Late, expiry.IsZero() || !now.Add(c.remainingTime(s)).After(expiry)
}

// capped reports whether the team has a cap.
func (t *team) capped() bool { return t.cap != nil && *t.cap != (job.Resources{}) }

// room returns the cap of a capped team. A resource without a bound is unlimited.
func (t *team) room() job.Resources {
	out := *t.cap
	for _, r := range []*int64{&out.CPU, &out.Memory, &out.GPU} {
		if *r == 0 {
			*r = unlimitedRoom
		}
	}
	return out
}

// addVMs adds the room on the VMs of a pool, now and when their runs are expected to end. VMs
// that can't get tasks now count as if they soon returned empty.
func (f *forecast) addVMs(c *Core, p *pool, now time.Time) {
	unusable, listed := 0, 0
	for _, v := range p.vms {
		if !v.listed || v.Draining || c.view.CentresOut[v.Centre] {
			continue
		}
		listed++
		switch {
		case c.cordoned[v.ID]:
			if m := c.moves[v.lastMachine]; m == nil || m.vm != v.ID {
				f.gains = append(f.gains, admission.Gain{After: c.config.MaintenanceTime, Room: v.Capacity})
			}
		case !c.acceptsTasks(v, now):
			f.gains = append(f.gains, admission.Gain{After: returnTime, Room: v.Capacity})
			unusable++
		default:
			f.addVM(c, v, now)
		}
	}
	f.known = float64(unusable) <= maxUnusableFraction*float64(listed)
}

// addVM adds the room on a VM that gets tasks.
func (f *forecast) addVM(c *Core, v *vm, now time.Time) {
	f.gains = append(f.gains, admission.Gain{Room: v.Capacity.Minus(v.used)})
	f.idle = f.idle || len(v.runs) == 0
	for _, r := range v.runs {
		tj := r.task.stage.trackedJob
		team := f.teams[tj.Team]
		if team != nil && team.capped {
			team.left = team.left.Minus(r.charged)
		}
		if r.task.stage.step.Service {
			continue
		}
		rest := max(c.meanTaskTime(tj.Queue)-now.Sub(r.startSentAt), 0)
		f.gains = append(f.gains, admission.Gain{After: rest, Room: r.need})
		if team != nil && team.capped {
			team.gains = append(team.gains, admission.Gain{After: rest, Room: r.charged})
		}
	}
}

// addComing adds what may join a pool: machines that move to it or return from maintenance,
// and all that could move, which are those switched off and the free ones of other pools.
func (f *forecast) addComing(c *Core, p *pool, now time.Time) {
	joinTime := time.Duration(c.forecasts.joinTime.Factor(now) * float64(c.config.MoveTime))
	for name, m := range c.moves {
		if m.toPool != p.name || c.movedVM(name, m) != nil {
			continue
		}
		f.gains = append(f.gains, admission.Gain{After: joinTime - now.Sub(m.chosenAt), Room: m.capacity})
	}
	f.gains = append(f.gains, admission.Gain{After: returnTime, Room: c.forecasts.returning[p.name]})
	movable := c.forecasts.spare
	for name, other := range c.forecasts.pools {
		if name != p.name {
			movable = movable.Plus(other.movable)
		}
	}
	f.gains = append(f.gains, admission.Gain{After: joinTime, Room: movable})
	f.joining = movable
}

// add adds a job that was accepted since the forecast was made.
func (f *forecast) add(c *Core, j *job.Job, described admission.Job) {
	taskTime := c.meanTaskTime(j.Queue)
	for i := range j.Steps {
		step := &j.Steps[i]
		if len(step.After) > 0 || step.Gang || step.Label != "" {
			continue
		}
		if team := f.teams[j.Team]; team != nil {
			need := (&stage{step: step}).need()
			team.line.Backlog.Add(described.Order, described.Value, admission.WorkOf(need, step.Count, taskTime))
		}
	}
}

// surveyMachines updates what follows from a new list of machines.
func (c *Core) surveyMachines() {
	f := &c.forecasts
	if f.listedAt.Equal(c.machinesListedAt) {
		return
	}
	f.listedAt, f.capacities, f.spare = c.machinesListedAt, nil, job.Resources{}
	f.returning = make(map[string]job.Resources)
	seen := func(r job.Resources) {
		if !slices.Contains(f.capacities, r) {
			f.capacities = append(f.capacities, r)
		}
	}
	for name, m := range c.machines {
		seen(m.Capacity)
		switch {
		case c.view.CentresOut[m.Centre] || c.isReserved(name) && m.State == Up:
		case m.Pool == c.view.Spare && m.State == Up:
			f.spare = f.spare.Plus(m.Capacity)
		case (m.State == InMaintenance || m.State == Moving) && c.moves[name] == nil:
			f.returning[m.Pool] = f.returning[m.Pool].Plus(m.Capacity)
		}
	}
	for _, v := range c.vms {
		seen(v.Capacity)
	}
}
