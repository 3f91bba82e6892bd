// Package schedule decides which task runs on which VM, and when.
//
// A [Core] belongs to the owner of the jobs. It is a state machine: it holds the
// accepted jobs and the runs that exist or may exist on each VM, takes
// timestamped events, and returns actions. It performs no I/O and reads no clock.
//
// # Safety
//
// Every order carries a fencing token: the owner's epoch in the high bits and a
// serial number in the low bits. A VM rejects any order whose token is lower than
// the highest that it has seen.
//
// The core finds out what became of an unanswered order with a hold, the call
// that renews the lease of the VM's runs and returns a report. A hold under a
// higher token settles the order: a run that the report lists neither as running
// nor as ended will never start. Until such a report, or until the lease of the
// VM's runs has expired, the task counts as running on the VM.
//
// # Usage
//
//	c := schedule.New(schedule.Config{Hold: 6 * time.Second, Epoch: epoch})
//	c.SetView(view, now)
//	c.SetVMs(vms, now)
//	c.Add(j, state, now)
//	for _, a := range c.Plan(now) {
//		switch a := a.(type) {
//		case schedule.Start:
//			// order it, then call c.Started
//		}
//	}
package schedule

import (
	"cmp"
	"slices"
	"time"

	"github.com/hashicorp/go-hclog"

	"almondcove/job"
)

// Config configures a core.
type Config struct {
	// Epoch is the epoch of the owner.
	Epoch int64
	// Hold is the longest lease that VMs grant to their runs.
	Hold time.Duration
	// Maintenance is how long the maintenance of a machine takes.
	Maintenance time.Duration
	// Stop is the longest time that a VM takes to stop a run.
	Stop time.Duration
	// Move is how long a machine's move to another pool takes.
	Move time.Duration
	// Retention is how long a job is kept after it has ended.
	Retention time.Duration
	Log       hclog.Logger
}

// MaxLeaseWithDrift returns the longest lease as measured by the owner's clock:
// Hold plus the greatest drift of a VM's clock over that time.
func (c Config) MaxLeaseWithDrift() time.Duration { return withDrift(c.Hold) }

// Core is the state of all jobs and VMs. It is not safe for concurrent use.
type Core struct {
	config Config
	epoch  int64
	view   View
	vms    map[string]*vm
	pools  map[string]*pool
	jobs   map[job.ID]*trackedJob
	teams  map[string]*team
	// retired maps the id of each VM whose machine was moved or sent to maintenance
	// to the time of its removal.
	retired map[string]time.Time
	// gates holds the VMs that have not yet reported to this owner after a change
	// of owner, by id.
	gates map[string]*gate
	// dirty holds the jobs whose state has changed since [Core.Take] last took it.
	dirty    map[job.ID]*trackedJob
	actions  []Action
	machines map[string]Machine
	// machineNames lists the names of the machines in sorted order.
	machineNames []string
	// lastLoadLog is when the loads of the pools were last logged.
	lastLoadLog time.Time
	// learned holds the statistics of each queue's tasks and jobs.
	learned map[string]*learned
	// machineByVM maps the id of a VM to the name of its machine.
	machineByVM map[string]string
	// lastMachinePlan is when waves and moves were last planned, and lastTick when
	// tick last ran.
	lastMachinePlan, lastTick time.Time
	// machinesListedAt is when the current list of machines was requested.
	machinesListedAt time.Time
	// machinesStale is set while a move is due but the list of machines is too old
	// to choose one.
	machinesStale bool
	waves         map[int64]*wave
	moves         map[string]*move
	stats         Stats
	// serial is the last serial number that was used in a fencing token.
	serial int64
	// presumed lists the runs in the previous owner's record until the next
	// [Core.Plan] adds them to their tasks and VMs.
	presumed []presumed
	// closing is set while this owner prepares to give up the ownership.
	closing bool
	// begun lists, by wave, the machines whose maintenance a previous owner has
	// started, as recorded.
	begun map[int64][]string
	// fleetChanged is set while the recorded [Fleet] is out of date.
	fleetChanged bool
}

// Stats holds the counters of a core.
type Stats struct {
	// Starts counts the start orders, Ends the ends that VMs have reported, and
	// Failures the runs that have failed. Lapses counts the runs whose lease has
	// expired and those that turned out not to exist on their VM. Unanswered counts
	// the start orders without an answer.
	Starts, Ends, Failures, Lapses, Unanswered int64
}

// pool holds the VMs of one pool and the stages whose tasks run on them.
type pool struct {
	name   string
	stages map[job.Stage]*stage
	vms    map[string]*vm
	// sortedCache lists the VMs in the order of their ids; nil means outdated.
	sortedCache []*vm
	// usableBuf is the buffer for the result of usableVMs.
	usableBuf []*vm
	// backlog lists the stages with waiting tasks as they were ranked at
	// backlogSortedAt.
	backlog         []*stage
	backlogSortedAt time.Time
	peak            peak
	// offered is the rate at which work arrives.
	offered offered
}

type team struct {
	// used is the sum of the resources that the team's runs are charged for.
	used job.Resources
}

// trackedJob is a job with its scheduling state.
type trackedJob struct {
	*job.Job
	state  *job.State
	stages map[job.Stage]*stage
	// recordedPhase is the phase in the job's last written record.
	recordedPhase job.Phase
	// depth holds, for each step, the number of steps on the longest path that
	// begins with it. criticalPath is the greatest depth. cores is the number of
	// cores that all tasks of one occurrence need together.
	depth        []int
	criticalPath int
	cores        float64
	// version grows with every change of the state; recorded is the version that
	// was last written.
	version, recorded int64
}

// stage is a step of one occurrence of a job.
type stage struct {
	trackedJob *trackedJob
	id         job.Stage
	step       *job.Step
	tasks      []*task
	// waitingTasks is the number of tasks that are not done and have no run.
	waitingTasks int
	// ready is set once all steps that this one depends on are done.
	ready bool
	// due is when the occurrence may start.
	due time.Time
	// rank and valueDensity order the stages with waiting tasks.
	rank         rank
	valueDensity float64
	// blocked is the time since which a waiting task has found no VM; zero if there
	// is no such task.
	blocked time.Time
	// advice is the last answer of the advice service about the stage.
	advice advice
}

type task struct {
	stage *stage
	id    job.Task
	done  bool
	runs  []*run
	// runNumber is the highest number of a run of the task so far.
	runNumber int
	// checkpoint is the last checkpoint of an ended run; the next run continues
	// from it.
	checkpoint string
	// notBefore is the earliest time of the next start.
	notBefore time.Time
	// failedOn lists the VMs on which runs have failed or made no progress.
	failedOn []string
	// slowRestarts is how often the task was restarted or copied because a run made
	// no progress.
	slowRestarts int
	// workingSince is the time since which a service task has been at work; zero
	// while it is not.
	workingSince time.Time
}

// runNumbersPerEpoch is the size of the range of run numbers that a task has in
// each epoch, so that the runs of a later owner have higher numbers.
const runNumbersPerEpoch = 10000

// New returns a core without jobs and VMs.
func New(c Config) *Core {
	return &Core{
		config:   c,
		epoch:    c.Epoch,
		vms:      make(map[string]*vm),
		pools:    make(map[string]*pool),
		jobs:     make(map[job.ID]*trackedJob),
		teams:    make(map[string]*team),
		gates:    make(map[string]*gate),
		retired:  make(map[string]time.Time),
		learned:  make(map[string]*learned),
		dirty:    make(map[job.ID]*trackedJob),
		machines: make(map[string]Machine),
		waves:    make(map[int64]*wave),
		moves:    make(map[string]*move),
	}
}

// SetEpoch continues the core under a later epoch, in which the same process is
// the owner again.
func (c *Core) SetEpoch(epoch int64) {
	c.epoch = epoch
	c.closing = false
	for _, v := range c.vms {
		v.requireNewFence()
	}
}

// SetView replaces the configuration.
func (c *Core) SetView(v View, now time.Time) {
	c.view = v
	c.setWaves(v.Waves, now)
	c.reassignStages()
}

// reassignStages moves the stages of queues whose pool has changed or has become
// known to their new pool.
func (c *Core) reassignStages() {
	for _, w := range c.jobs {
		if w.state.Phase().Final() {
			continue
		}
		p := c.poolOf(w)
		for id, g := range w.stages {
			if p.stages[id] == g || w.state.StageDone(id) {
				continue
			}
			c.closeStage(g)
			p.stages[id] = g
		}
	}
}

// Job returns the recorded phase of a job, and whether the job is known. A job of
// which a task has started counts as running before that is recorded.
func (c *Core) Job(id job.ID) (job.Phase, bool) {
	w, ok := c.jobs[id]
	if !ok {
		return 0, false
	}
	if w.recordedPhase == job.Pending && w.state.Started() {
		return job.Running, true
	}
	return w.recordedPhase, true
}

// Waiting returns the number of a queue's pending jobs, those of which no task
// has started.
func (c *Core) Waiting(queue string) int {
	n := 0
	for _, w := range c.jobs {
		if w.Queue == queue && w.state.Phase() == job.Pending {
			n++
		}
	}
	return n
}

// Stats returns the current counters.
func (c *Core) Stats() Stats { return c.stats }

// PoolState is the state of one pool.
type PoolState struct {
	Name string
	// Usable is the number of VMs that accept tasks, Silent the number of those that
	// do not answer holds, and Closed the number of all others.
	Usable, Silent, Closed int
	// Waiting is the number of tasks that wait for a VM.
	Waiting int
}

// Pools returns the states of all pools, ordered by name.
func (c *Core) Pools(now time.Time) []PoolState {
	var out []PoolState
	for _, p := range c.sortedPools() {
		s := PoolState{Name: p.name}
		for _, v := range p.vms {
			switch {
			case v.silent:
				s.Silent++
			case c.acceptsTasks(v, now):
				s.Usable++
			default:
				s.Closed++
			}
		}
		s.Waiting = p.waitingTasks()
		out = append(out, s)
	}
	return out
}

// waitingTasks returns the number of tasks that wait for a VM of the pool.
func (p *pool) waitingTasks() int {
	n := 0
	for _, g := range p.stages {
		if g.ready {
			n += g.waitingTasks
		}
	}
	return n
}

// poolOf returns the pool of a job's queue.
func (c *Core) poolOf(w *trackedJob) *pool {
	return c.pool(c.view.Queues[w.Queue].Pool)
}

// pool returns the pool of that name and creates it if necessary.
func (c *Core) pool(name string) *pool {
	p := c.pools[name]
	if p == nil {
		p = &pool{name: name, stages: make(map[job.Stage]*stage), vms: make(map[string]*vm)}
		c.pools[name] = p
	}
	return p
}

// team returns the team of that name and creates it if necessary.
func (c *Core) team(name string) *team {
	t := c.teams[name]
	if t == nil {
		t = &team{}
		c.teams[name] = t
	}
	return t
}

// Add adds a recorded job with its recorded state. It does nothing if the core
// has the job already.
func (c *Core) Add(j *job.Job, s *job.State, now time.Time) {
	if c.jobs[j.ID] != nil {
		return
	}
	w := &trackedJob{Job: j, state: s, recordedPhase: s.Phase()}
	if s.Phase().Final() {
		w.forget()
		c.jobs[j.ID] = w
		return
	}
	w.stages = make(map[job.Stage]*stage)
	w.depth = chainLengths(j)
	w.criticalPath = slices.Max(w.depth)
	w.cores = totalCores(j)
	c.observeJob(w)
	c.jobs[j.ID] = w
	if !w.HasServiceStep() && j.Epoch == c.epoch {
		c.poolOf(w).offered.add(w.cores*c.meanTaskTime(w.Queue).Seconds(), now)
	}
	c.openDueStages(w, now)
}

// openDueStages opens the stages of all occurrences that are due within
// [occurrenceLeadTime].
func (c *Core) openDueStages(w *trackedJob, now time.Time) {
	for k := range w.Occurrences() {
		due := w.Due(k)
		if w.Times > 0 && due.After(now.Add(occurrenceLeadTime)) {
			return
		}
		for i := range w.Steps {
			c.openStage(w, job.Stage{Job: w.ID, Occurrence: k, Step: i}, due)
		}
	}
}

// occurrenceLeadTime is how long before its due time an occurrence is prepared.
const occurrenceLeadTime = 2 * time.Second

// openStage marks a stage as ready if all steps that it depends on are done.
func (c *Core) openStage(w *trackedJob, id job.Stage, due time.Time) {
	if w.state.StageDone(id) {
		return
	}
	for _, a := range w.Steps[id.Step].After {
		if !w.state.StageDone(job.Stage{Job: id.Job, Occurrence: id.Occurrence, Step: a}) {
			return
		}
	}
	c.stage(w, id, due).ready = true
}

// stage returns a stage of a job and creates it if necessary.
func (c *Core) stage(w *trackedJob, id job.Stage, due time.Time) *stage {
	g := w.stages[id]
	if g != nil {
		return g
	}
	g = &stage{trackedJob: w, id: id, step: &w.Steps[id.Step], due: due}
	w.stages[id] = g
	for i := range g.step.Count {
		t := &task{stage: g, id: job.Task{Job: id.Job, Occurrence: id.Occurrence, Step: id.Step, Index: i}}
		t.done = w.state.IsDone(t.id)
		t.runNumber = int(c.epoch-w.Epoch) * runNumbersPerEpoch
		g.tasks = append(g.tasks, t)
		if !t.done {
			g.waitingTasks++
		}
	}
	c.poolOf(w).stages[id] = g
	return g
}

// taskOf returns a task that a previous owner may have started, or nil if the job
// has no such task or the task is done. It creates the stage if necessary, even
// if the stage is not known to be ready.
func (c *Core) taskOf(w *trackedJob, id job.Task) *task {
	if !w.hasTask(id) || w.state.IsDone(id) {
		return nil
	}
	return c.stage(w, id.Stage(), w.Due(id.Occurrence)).tasks[id.Index]
}

// Cancel ends a job as cancelled and stops its runs; the caller has to wait until
// the new phase is recorded. Cancel reports whether the job exists.
func (c *Core) Cancel(id job.ID, now time.Time) bool {
	w, ok := c.jobs[id]
	if !ok {
		return false
	}
	if !w.state.Phase().Final() {
		c.finishJob(w, job.Cancelled, now)
	}
	return true
}

// finishJob gives a job its final phase, stops its runs and closes its stages.
func (c *Core) finishJob(w *trackedJob, p job.Phase, now time.Time) {
	w.state.SetFinalPhase(p, now)
	c.markDirty(w)
	c.config.Log.Info("job ended", "job", w.ID, "phase", p, "queue", w.Queue)
	for _, g := range w.stages {
		for _, t := range g.tasks {
			for _, r := range slices.Clone(t.runs) {
				c.stopRun(r, now)
			}
		}
		c.closeStage(g)
	}
}

// closeStage removes a stage from its pool, so that none of its tasks is started.
func (c *Core) closeStage(g *stage) {
	for _, p := range c.pools {
		delete(p.stages, g.id)
	}
}

// Sessions returns the VMs to which holds are to be sent, in the order of their ids.
func (c *Core) Sessions() []VM {
	out := make([]VM, 0, len(c.vms))
	for _, v := range c.vms {
		out = append(out, v.VM)
	}
	slices.SortFunc(out, func(a, b VM) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

// VM returns the listed attributes of a VM, and whether the VM is known.
func (c *Core) VM(id string) (VM, bool) {
	v := c.vms[id]
	if v == nil {
		return VM{}, false
	}
	return v.VM, true
}

// Admit reports whether a job may be accepted now: its queue must be configured.
// If not, Admit also returns how long the caller should wait before it retries.
func (c *Core) Admit(j *job.Job, _ time.Time) (time.Duration, bool) {
	if _, ok := c.view.Queues[j.Queue]; !ok {
		return time.Second, false
	}
	return 0, true
}
