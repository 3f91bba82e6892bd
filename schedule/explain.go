package schedule

import (
	"cmp"
	"slices"
	"time"

	"almondcove/job"
	"almondcove/locality"
)

// Reason is why a VM gets no task of a step.
type Reason string

// The reasons.
const (
	noReason        Reason = ""
	ReasonUnlisted  Reason = "not listed by the platform"
	ReasonSilent    Reason = "does not answer"
	ReasonUnsettled Reason = "runs not known or not recorded yet"
	ReasonDraining  Reason = "drains"
	ReasonCordoned  Reason = "cordoned for a move or maintenance"
	ReasonCentreOut Reason = "data centre out of service"
	ReasonUnhealthy Reason = "has refused or failed tasks lately"
	ReasonTrial     Reason = "closed for the trial of a suspect"
	ReasonNoTicket  Reason = "no valid ticket of the advice service"
	ReasonNoRoom    Reason = "no room"
	ReasonSpread    Reason = "without the label, or enough tasks of the step there"
)

// reasonAgainst returns why no tasks start on a VM now, whichever they are.
func (c *Core) reasonAgainst(v *vm, now time.Time) Reason {
	switch {
	case !v.listed || v.terminated || v.pastProcessStarts[v.Born]:
		return ReasonUnlisted
	case v.silent:
		return ReasonSilent
	case v.Draining:
		return ReasonDraining
	case c.cordoned[v.ID]:
		return ReasonCordoned
	case c.view.CentresOut[v.Centre]:
		return ReasonCentreOut
	case !v.attached || !v.recorded || v.needsNewFence || v.hasUnknownRun:
		return ReasonUnsettled
	case !v.health.allowsStarts(now):
		return ReasonUnhealthy
	}
	return noReason
}

// Decision is what a plan would do now with the waiting tasks of a step.
type Decision string

// The decisions.
const (
	// DecisionStarts means that the next task, or the gang, starts.
	DecisionStarts Decision = "starts"
	// DecisionNear means that it waits for a place near its data.
	DecisionNear Decision = "waits for a near place"
	// DecisionNoVM means that it fits on no VM.
	DecisionNoVM Decision = "fits on no VM"
	// DecisionCap means that the cap of its team is reached.
	DecisionCap Decision = "team at its cap"
	// DecisionPaused means that it may not start yet: before its set time, after a failed
	// start, until the cause of a crash is known, or because it crashes its VMs.
	DecisionPaused Decision = "paused"
	// DecisionTrial means that it is a suspect, which starts on a VM for its trial.
	DecisionTrial Decision = "waits for a trial"
	// DecisionOwner means that a VM on which it may run has not answered the new owner yet.
	DecisionOwner Decision = "waits for VMs of the previous owner"
	// DecisionAdvice means that the advice service has not allowed a VM for it yet.
	DecisionAdvice Decision = "waits for advice"
	// DecisionWindow means that too many start orders are without an answer.
	DecisionWindow Decision = "start window full"
	// DecisionUnrecorded means that its queue is not recorded with its pool yet.
	DecisionUnrecorded Decision = "queue not recorded"
)

// Explanation says what would become of a job if it were handed in now, or of an accepted one.
type Explanation struct {
	// Phase is the recorded phase of an accepted job; empty for any other.
	Phase string `json:"phase,omitempty"`
	// Admitted says whether the job would be accepted, and RetryAfter, if not, when its caller
	// should try again.
	Admitted   bool          `json:"admitted"`
	RetryAfter time.Duration `json:"retryAfter,omitempty"`
	// Refusal says why the job would not be accepted.
	Refusal string `json:"refusal,omitempty"`
	// Configured is set if the queue of a job that is not known yet is configured.
	Configured bool `json:"-"`
	// More is the number of ready steps that are not explained.
	More int    `json:"more,omitempty"`
	Pool string `json:"pool,omitempty"`
	// Steps lists the steps with waiting tasks that depend on no other step any more.
	Steps []StepExplanation `json:"steps,omitempty"`
}

// StepExplanation says what becomes of the waiting tasks of a step.
type StepExplanation struct {
	Occurrence int `json:"occurrence"`
	Step       int `json:"step"`
	Waiting    int `json:"waiting"`
	// Rank is the step's rank, and Ahead the number of waiting tasks of its pool before it.
	Rank  string `json:"rank"`
	Ahead int    `json:"ahead"`
	// Decision is about the next task, or the gang, as if nothing before it changed the room.
	Decision Decision `json:"decision"`
	// VMs lists where it would start.
	VMs []string `json:"vms,omitempty"`
	// Reasons counts the VMs of the pool that get none of the tasks, by reason.
	Reasons map[Reason]int `json:"reasons,omitempty"`
	// Best lists the VMs with the lowest costs that a single task fits on.
	Best []VMCost `json:"best,omitempty"`
	// Wait says whether a wait for a near place pays; empty if there is nothing to wait for.
	Wait string `json:"wait,omitempty"`
	// Expected is when a near place is expected, and Loss how much longer the task takes away.
	Expected time.Duration `json:"expected,omitempty"`
	Loss     time.Duration `json:"loss,omitempty"`
}

// VMCost is the cost of a VM for a task; the lowest is best.
type VMCost struct {
	VM   string  `json:"vm"`
	Cost float64 `json:"cost"`
}

// maxBest is the greatest length of [StepExplanation.Best].
const maxBest = 3

// Explain says what a plan would do now with a job, or with the accepted job of that id. It
// changes nothing. The job must pass [job.Job.Check].
func (c *Core) Explain(j *job.Job, now time.Time) Explanation {
	if tj := c.jobs[j.ID]; tj != nil {
		phase, _ := c.JobPhase(j.ID)
		e := Explanation{Phase: phase.String(), Admitted: true}
		if !tj.state.Phase().Final() {
			c.explainStages(&e, tj, now)
		}
		return e
	}
	refusal, ok := c.admits(j, now)
	e := Explanation{Admitted: ok, RetryAfter: refusal.Retry, Refusal: refusal.Reason}
	_, e.Configured = c.view.Queues[j.Queue]
	if !ok {
		return e
	}
	sent := *j
	sent.Accepted, sent.Epoch = now, c.epoch
	tj := trackJob(&sent, job.NewState(&sent))
	configured := c.view.Queues[j.Queue]
	pools := poolSetOf([]string{configured.Pool})
	tj.queue = &queue{name: j.Queue, newest: &configured, pools: pools, recorded: pools}
	for i := range sent.Steps {
		if len(sent.Steps[i].After) == 0 {
			c.newStage(tj, job.Stage{Job: j.ID, Step: i}, tj.Due(0)).ready = true
		}
	}
	c.explainStages(&e, tj, now)
	return e
}

// explainStages explains the ready stages of a job, in the order of their steps.
func (c *Core) explainStages(e *Explanation, tj *trackedJob, now time.Time) {
	settings, known := tj.queue.settings()
	p := c.pools[settings.Pool]
	if !known || p == nil {
		return
	}
	e.Pool = p.name
	for _, s := range sortedValues(tj.stages, func(a, b *stage) int {
		return cmp.Or(cmp.Compare(a.id.Occurrence, b.id.Occurrence), cmp.Compare(a.id.Step, b.id.Step))
	}) {
		if s.ready && s.waitingTasks > 0 {
			e.Steps = append(e.Steps, c.explainStage(s, p, now))
		}
	}
}

// explainStage explains a stage. It ranks a copy, since the ranks of the stages of a pool change
// together.
func (c *Core) explainStage(original *stage, p *pool, now time.Time) StepExplanation {
	ranked := *original
	s := &ranked
	c.rankStage(s, now)
	s.near = nearWait{}
	out := StepExplanation{
		Occurrence: s.id.Occurrence, Step: s.id.Step, Waiting: s.waitingTasks, Rank: s.rank.String(), Reasons: make(map[Reason]int),
	}
	for _, other := range p.stages {
		if other.id != s.id && other.ready && other.isDue(now) && compareStages(other, s) < 0 {
			out.Ahead += other.waitingTasks
		}
	}
	usable := c.usableVMs(p, now)
	permitted := c.permittedVMs(s, usable, now)
	for _, v := range p.sortedVMs() {
		if reason := c.reasonAgainst(v, now); reason != noReason {
			out.Reasons[reason]++
		}
	}
	if refused := len(usable) - len(permitted); refused > 0 {
		out.Reasons[ReasonNoTicket] = refused
	}
	for _, v := range permitted {
		if reason := c.reasonAgainstStage(v, s, now); reason != noReason {
			out.Reasons[reason]++
		}
	}
	c.explainDecision(&out, s, p, permitted, now)
	return out
}

// reasonAgainstStage returns why no task of a stage starts on a VM that accepts tasks.
func (c *Core) reasonAgainstStage(v *vm, s *stage, now time.Time) Reason {
	switch {
	case c.closedForTrial(v, now):
		return ReasonTrial
	case !v.hasRoom(s):
		return ReasonNoRoom
	case !v.suits(s):
		return ReasonSpread
	}
	return noReason
}

// explainDecision sets what becomes of the next task of a stage, or of a gang, in the order in
// which a plan checks it.
func (c *Core) explainDecision(out *StepExplanation, s *stage, p *pool, permitted []*vm, now time.Time) {
	tasks := int64(1)
	if s.step.Gang {
		tasks = int64(len(s.tasks))
	}
	next := s.nextTask(now)
	switch {
	case !c.mayStart():
		out.Decision = DecisionWindow
	case c.gated(s, c.gatedNow(now)):
		out.Decision = DecisionOwner
	case !s.trackedJob.queue.recorded.has(p.name):
		out.Decision = DecisionUnrecorded
	case next == nil || !s.isDue(now):
		out.Decision = DecisionPaused
	case !c.knownTeam(s.trackedJob.Team).allows(s, tasks):
		out.Decision = DecisionCap
	case len(permitted) == 0 && c.advised(s):
		out.Decision = DecisionAdvice
	case s.step.Gang:
		c.explainGang(out, s, permitted, now)
	case c.isSuspect(next):
		out.Decision = DecisionTrial
	default:
		c.explainTask(out, next, s, permitted, now)
	}
}

// explainTask sets where a single task would start, or what it waits for.
func (c *Core) explainTask(out *StepExplanation, t *task, s *stage, permitted []*vm, now time.Time) {
	for _, v := range permitted {
		if c.reasonAgainstStage(v, s, now) == noReason {
			out.Best = append(out.Best, VMCost{v.ID, c.cost(t, v)})
		}
	}
	slices.SortStableFunc(out.Best, func(a, b VMCost) int { return cmp.Compare(a.Cost, b.Cost) })
	out.Best = out.Best[:min(len(out.Best), maxBest)]
	v, _ := c.chooseVM(t, permitted, now)
	if v == nil {
		out.Decision = DecisionNoVM
		return
	}
	if v.away(s.step) {
		search := &nearSearch{core: c, stage: s, vms: permitted, now: now}
		if out.setWait(search.decide(t)); out.Decision == DecisionNear {
			return
		}
	}
	out.Decision, out.VMs = DecisionStarts, []string{v.ID}
}

// explainGang sets where a gang would start, or what it waits for.
func (c *Core) explainGang(out *StepExplanation, s *stage, permitted []*vm, now time.Time) {
	places := c.placeGang(s, c.gangVMs(s, permitted, now))
	if places == nil {
		out.Decision = DecisionNoVM
		return
	}
	if gangAway(s.step, places) && !c.isSuspect(s.tasks[0]) {
		wait, _, verdict := c.decideGang(s, permitted, now)
		if out.setWait(wait, verdict); out.Decision == DecisionNear {
			return
		}
	}
	out.Decision = DecisionStarts
	for _, v := range places {
		out.VMs = append(out.VMs, v.ID)
	}
}

// setWait sets what is known of a wait for a near place.
func (out *StepExplanation) setWait(w locality.Wait, verdict locality.Verdict) {
	out.Wait, out.Loss = verdict.String(), max(w.Loss(), 0)
	if verdict == locality.Pays {
		out.Decision, out.Expected = DecisionNear, w.Expected
	}
}

// nextTask returns the next task that may start, or nil. All tasks of a gang have to.
func (s *stage) nextTask(now time.Time) *task {
	startable := func(t *task) bool {
		return !t.done && len(t.runs) == 0 && !now.Before(t.notBefore) && !t.underVerdict && !t.suspended()
	}
	i := slices.IndexFunc(s.tasks, startable)
	if i < 0 || s.step.Gang && slices.ContainsFunc(s.tasks, func(t *task) bool { return !startable(t) }) {
		return nil
	}
	return s.tasks[i]
}

// knownTeam returns the team of that name without keeping track of it.
func (c *Core) knownTeam(name string) *team {
	if t := c.teams[name]; t != nil {
		return t
	}
	t := &team{name: name}
	if configured, ok := c.view.Teams[name]; ok {
		t.cap = &configured.Cap
	}
	return t
}

// gatedNow returns the pools whose tasks may run on VMs that have not answered yet.
func (c *Core) gatedNow(now time.Time) poolSet {
	var out poolSet
	for _, g := range c.gates {
		if !now.After(g.until) {
			out = out.union(g.pools)
		}
	}
	return out
}
