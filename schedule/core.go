// Package schedule decides which task runs on which VM, and when.
//
// A [Core] belongs to the owner of the jobs. It holds the jobs that were
// accepted and what runs or may run on each VM, takes events with the time at
// which they happened, and returns actions. It does no input or output and
// reads no clock.
//
// # Where safety comes from
//
// Every order carries a fence: the owner's epoch and, below it, a counter for
// each VM. A VM does nothing for a fence lower than the highest that it has seen.
// An order without an answer is therefore settled by a hold under a higher
// fence: what the VM then doesn't run and has not ended will never start. Until
// then, or until everything that the VM may run has lapsed, the task counts as
// running there.
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
	// Epoch is that of the owner.
	Epoch int64
	// Hold is the longest lease that VMs grant.
	Hold time.Duration
	// Maintenance is how long a machine is away for maintenance.
	Maintenance time.Duration
	// Stop is the longest that a VM takes to stop a run.
	Stop time.Duration
	// Move is how long a machine is away when it moves to another pool.
	Move time.Duration
	// Keep is how long a job is kept after its end.
	Keep time.Duration
	Log  hclog.Logger
}

// Longest returns how long VMs may go on, by the owner's clock, with what they were
// given last.
func (c Config) Longest() time.Duration { return stretched(c.Hold) }

// Core is the state of all jobs and VMs. It is not safe for concurrent use.
type Core struct {
	config Config
	epoch  int64
	view   View
	vms    map[string]*vm
	pools  map[string]*pool
	jobs   map[job.ID]*work
	teams  map[string]*team
	// departed holds when VMs have ended with their machine's order.
	departed map[string]time.Time
	// gates holds the VMs whose runs a new owner doesn't know yet.
	gates map[string]*gate
	// dirty lists the jobs whose state has changed since it was last taken.
	dirty    map[job.ID]*work
	actions  []Action
	machines map[string]Machine
	// names lists the machines by name.
	names []string
	// told is when the loads of the pools were last logged.
	told time.Time
	// learned holds what is known of each queue's tasks and jobs.
	learned map[string]*learned
	// runsOn holds the machine of each VM.
	runsOn map[string]string
	// arranged is when waves and moves were last planned, ticked when what depends
	// on time alone was last looked at.
	arranged, ticked time.Time
	// listed is when the list of machines was asked for.
	listed time.Time
	// outdated is set while a move is due and the list is too old to choose by.
	outdated bool
	waves    map[int64]*wave
	moves    map[string]*move
	stats    Stats
	// serial is the last counter used below the epoch in a fence.
	serial int64
	// presumed lists the runs of the record of the owner before.
	presumed []presumed
	// closing is set when the ownership is about to be given up.
	closing bool
	// begun is the record of waves that an owner before this one has begun.
	begun map[int64][]string
	// fleetChanged is set when the record of VMs is out of date.
	fleetChanged bool
}

// Stats counts what the core has done.
type Stats struct {
	Starts, Ends, Failures, Lapses, Unanswered int64
}

// pool holds the tasks that wait for VMs of one pool.
type pool struct {
	name   string
	stages map[job.Stage]*stage
	vms    map[string]*vm
	// ordered holds the VMs by id; nil when it has to be made anew.
	ordered []*vm
	// free is the room for lists of usable VMs.
	free []*vm
	// queue holds the stages that waited, in their order at queued.
	queue  []*stage
	queued time.Time
	peak   peak
	// offered is the rate of work that comes in.
	offered offered
}

type team struct {
	used job.Resources
}

// work is a job under scheduling.
type work struct {
	*job.Job
	state  *job.State
	stages map[job.Stage]*stage
	// shown is the phase that is recorded.
	shown job.Phase
	// depth holds the longest chain of steps that begins with each step, longest
	// the longest of all, and cores the processors of all tasks together.
	depth   []int
	longest int
	cores   float64
	// version grows with every change, recorded is the version last written.
	version, recorded int64
}

// stage is a step of one occurrence of a job.
type stage struct {
	work  *work
	id    job.Stage
	step  *job.Step
	tasks []*task
	// waiting is the number of tasks that have no run and are not done.
	waiting int
	// open is set once the tasks may start.
	open bool
	due  time.Time
	// rank and value order the stages that wait.
	rank  rank
	value float64
	// blocked is since when a task has found no VM, zero when all have.
	blocked time.Time
	// advice is what the advice service said of the stage.
	advice advice
}

type task struct {
	stage      *stage
	id         job.Task
	done       bool
	runs       []*run
	number     int
	checkpoint string
	notBefore  time.Time
	// failedOn lists the VMs on which runs have failed.
	failedOn []string
	// again is how often the task was started elsewhere for slowness.
	again int
	// atWork is since when a service task works, zero while it doesn't.
	atWork time.Time
}

// runSpan is the room that each epoch has for the numbers of a task's runs.
const runSpan = 10000

// New returns a core without jobs and VMs.
func New(c Config) *Core {
	return &Core{
		config:   c,
		epoch:    c.Epoch,
		vms:      make(map[string]*vm),
		pools:    make(map[string]*pool),
		jobs:     make(map[job.ID]*work),
		teams:    make(map[string]*team),
		gates:    make(map[string]*gate),
		departed: make(map[string]time.Time),
		learned:  make(map[string]*learned),
		dirty:    make(map[job.ID]*work),
		machines: make(map[string]Machine),
		waves:    make(map[int64]*wave),
		moves:    make(map[string]*move),
	}
}

// SetEpoch makes the core go on under a later epoch of the same process.
func (c *Core) SetEpoch(epoch int64) {
	c.epoch = epoch
	c.closing = false
	for _, v := range c.vms {
		v.refence()
	}
}

// SetView replaces the configuration.
func (c *Core) SetView(v View, now time.Time) {
	c.view = v
	c.setWaves(v.Waves, now)
	c.rehome()
}

// rehome moves the stages of queues whose pool has changed, or was not known
// before, to the pool on whose VMs they run now.
func (c *Core) rehome() {
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

// Job returns the phase of a job as it is recorded.
func (c *Core) Job(id job.ID) (job.Phase, bool) {
	w, ok := c.jobs[id]
	if !ok {
		return 0, false
	}
	if w.shown == job.Pending && w.state.Started() {
		return job.Running, true
	}
	return w.shown, true
}

// Waiting returns the number of a queue's jobs of which no task has started.
func (c *Core) Waiting(queue string) int {
	n := 0
	for _, w := range c.jobs {
		if w.Queue == queue && w.state.Phase() == job.Pending {
			n++
		}
	}
	return n
}

// Stats returns what has been counted.
func (c *Core) Stats() Stats { return c.stats }

// PoolState is the state of one pool.
type PoolState struct {
	Name string
	// Usable is the number of VMs that take tasks, Silent of those that answer
	// nothing, and Closed of all others.
	Usable, Silent, Closed int
	// Waiting is the number of tasks that wait for a VM.
	Waiting int
}

// Pools returns the state of all pools.
func (c *Core) Pools(now time.Time) []PoolState {
	var out []PoolState
	for _, p := range c.sortedPools() {
		s := PoolState{Name: p.name}
		for _, v := range p.vms {
			switch {
			case v.silent:
				s.Silent++
			case c.takes(v, now):
				s.Usable++
			default:
				s.Closed++
			}
		}
		s.Waiting = p.waiting()
		out = append(out, s)
	}
	return out
}

// waiting returns the number of tasks that wait for a VM of the pool.
func (p *pool) waiting() int {
	n := 0
	for _, g := range p.stages {
		if g.open {
			n += g.waiting
		}
	}
	return n
}

// poolOf returns the pool on whose VMs a job runs.
func (c *Core) poolOf(w *work) *pool {
	return c.pool(c.view.Queues[w.Queue].Pool)
}

func (c *Core) pool(name string) *pool {
	p := c.pools[name]
	if p == nil {
		p = &pool{name: name, stages: make(map[job.Stage]*stage), vms: make(map[string]*vm)}
		c.pools[name] = p
	}
	return p
}

func (c *Core) team(name string) *team {
	t := c.teams[name]
	if t == nil {
		t = &team{}
		c.teams[name] = t
	}
	return t
}

// Add takes a job that is recorded, with its recorded state.
func (c *Core) Add(j *job.Job, s *job.State, now time.Time) {
	if c.jobs[j.ID] != nil {
		return
	}
	w := &work{Job: j, state: s, shown: s.Phase()}
	if s.Phase().Final() {
		w.forget()
		c.jobs[j.ID] = w
		return
	}
	w.stages = make(map[job.Stage]*stage)
	w.depth = chainLengths(j)
	w.longest = slices.Max(w.depth)
	w.cores = totalCores(j)
	c.observeJob(w)
	c.jobs[j.ID] = w
	if !w.HasServiceStep() && j.Epoch == c.epoch {
		c.poolOf(w).offered.add(w.cores*c.meanTaskTime(w.Queue).Seconds(), now)
	}
	c.open(w, now)
}

// open makes stages of all occurrences that are due soon.
func (c *Core) open(w *work, now time.Time) {
	for k := range w.Occurrences() {
		due := w.Due(k)
		if w.Times > 0 && due.After(now.Add(occurrenceAhead)) {
			return
		}
		for i := range w.Steps {
			c.openStage(w, job.Stage{Job: w.ID, Occurrence: k, Step: i}, due)
		}
	}
}

// occurrenceAhead is how long before it is due an occurrence is prepared.
const occurrenceAhead = 2 * time.Second

func (c *Core) openStage(w *work, id job.Stage, due time.Time) {
	if w.state.StageDone(id) {
		return
	}
	for _, a := range w.Steps[id.Step].After {
		if !w.state.StageDone(job.Stage{Job: id.Job, Occurrence: id.Occurrence, Step: a}) {
			return
		}
	}
	c.stage(w, id, due).open = true
}

// stage returns a stage of a job, which is made if there is none yet.
func (c *Core) stage(w *work, id job.Stage, due time.Time) *stage {
	g := w.stages[id]
	if g != nil {
		return g
	}
	g = &stage{work: w, id: id, step: &w.Steps[id.Step], due: due}
	w.stages[id] = g
	for i := range g.step.Count {
		t := &task{stage: g, id: job.Task{Job: id.Job, Occurrence: id.Occurrence, Step: id.Step, Index: i}}
		t.done = w.state.IsDone(t.id)
		t.number = int(c.epoch-w.Epoch) * runSpan
		g.tasks = append(g.tasks, t)
		if !t.done {
			g.waiting++
		}
	}
	c.poolOf(w).stages[id] = g
	return g
}

// taskOf returns a task that an owner before this one may have started, also
// one whose stage is not known to be open yet.
func (c *Core) taskOf(w *work, id job.Task) *task {
	if !w.has(id) || w.state.IsDone(id) {
		return nil
	}
	return c.stage(w, id.Stage(), w.Due(id.Occurrence)).tasks[id.Index]
}

// Cancel ends a job whose cancelling is about to be recorded. It reports whether
// there is such a job.
func (c *Core) Cancel(id job.ID, now time.Time) bool {
	w, ok := c.jobs[id]
	if !ok {
		return false
	}
	if !w.state.Phase().Final() {
		c.finish(w, job.Cancelled, now)
	}
	return true
}

// finish gives a job its final phase and stops all of it.
func (c *Core) finish(w *work, p job.Phase, now time.Time) {
	w.state.SetFinalPhase(p, now)
	c.markDirty(w)
	c.config.Log.Info("job ended", "job", w.ID, "phase", p, "queue", w.Queue)
	for _, g := range w.stages {
		for _, t := range g.tasks {
			for _, r := range slices.Clone(t.runs) {
				c.stop(r, now)
			}
		}
		c.closeStage(g)
	}
}

func (c *Core) closeStage(g *stage) {
	for _, p := range c.pools {
		delete(p.stages, g.id)
	}
}

// Sessions returns the VMs with which a session is to be kept.
func (c *Core) Sessions() []VM {
	out := make([]VM, 0, len(c.vms))
	for _, v := range c.vms {
		out = append(out, v.VM)
	}
	slices.SortFunc(out, func(a, b VM) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

// VM returns what is known of a VM.
func (c *Core) VM(id string) (VM, bool) {
	v := c.vms[id]
	if v == nil {
		return VM{}, false
	}
	return v.VM, true
}

// Admit decides whether a job should be accepted now. If not, it returns when
// the caller may come back.
func (c *Core) Admit(j *job.Job, _ time.Time) (time.Duration, bool) {
	if _, ok := c.view.Queues[j.Queue]; !ok {
		return time.Second, false
	}
	return 0, true
}
