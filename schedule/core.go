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
// VM's runs has expired and the order can no longer be carried out, the task
// counts as running on the VM.
//
// # Usage
//
//	c := schedule.New(schedule.Config{MaxLease: 6 * time.Second, Epoch: epoch})
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

	"almondcove/demand"
	"almondcove/job"
	"almondcove/speed"
	"almondcove/suspend"
)

// Config configures a core.
type Config struct {
	// Epoch is the epoch of the owner.
	Epoch int64
	// MaxLease is the longest lease that VMs grant to their runs.
	MaxLease time.Duration
	// MaintenanceTime is how long the maintenance of a machine takes.
	MaintenanceTime time.Duration
	// MaxStopTime is the longest time that a VM takes to stop a run.
	MaxStopTime time.Duration
	// RestoreTime is how long a run takes to restore a checkpoint; zero means that no run is
	// suspended for more urgent tasks.
	RestoreTime time.Duration
	// MoveTime is how long a machine's move to another pool takes.
	MoveTime time.Duration
	// FarFactor is how many times as long a task takes away from the rack that holds its data,
	// or a gang that asks for one rack in several. At most 1 means that none waits for a place.
	FarFactor float64
	// MachineOrderGap is the shortest time between an order for a machine by an owner that
	// has left and the first order of the next owner for it.
	MachineOrderGap time.Duration
	// ChecksMachineTokens is set if the platform rejects an order for a machine whose
	// fencing token is lower than one that it has seen.
	ChecksMachineTokens bool
	// LateMachineOrders is how long after the end of a term an order of its owner for a
	// machine may still arrive and be carried out.
	LateMachineOrders time.Duration
	// Retention is how long a job is kept after it has ended.
	Retention time.Duration
	// MaxRecordBytes is the greatest length of a record that the store takes; zero means no
	// limit.
	MaxRecordBytes int
	// IgnoreSpeeds turns off what follows from the speeds of VMs.
	IgnoreSpeeds bool
	Log          hclog.Logger
}

// MaxLeaseWithDrift returns the longest lease as measured by the owner's clock:
// MaxLease plus the greatest drift of a VM's clock over that time.
func (c Config) MaxLeaseWithDrift() time.Duration { return withDrift(c.MaxLease) }

// Core is the state of all jobs and VMs. It is not safe for concurrent use.
type Core struct {
	config Config
	epoch  int64
	view   View
	vms    map[string]*vm
	pools  map[string]*pool
	// knownPools holds the pools that a configuration has or had, and ofUnknownPools the listed
	// VMs of other pools.
	knownPools     map[string]bool
	ofUnknownPools []VM
	jobs           map[job.ID]*trackedJob
	// active holds the jobs that have not ended. A job that has ended since the last tick
	// may still be there.
	active map[job.ID]*trackedJob
	teams  map[string]*team
	// retired maps the id of each VM whose machine was moved or sent to maintenance
	// to the time of its removal.
	retired map[string]retirement
	// gates holds, by VM id, a gate for each VM that may run tasks of the previous
	// owner and has not yet reported to this one.
	gates map[string]*gate
	// queues holds the queues that have or had accepted jobs, by name. settingsReviewedAt is
	// when queues and teams were last reviewed.
	queues             map[string]*queue
	settingsReviewedAt time.Time
	// adviceRequests holds when each request for advice without an answer was given.
	adviceRequests map[job.Stage]time.Time
	// endedWithRuns lists the jobs that had ended with runs when the previous owner recorded
	// them.
	endedWithRuns []*trackedJob
	// dirty holds the jobs whose state has changed since [Core.TakeRecords] last took
	// it.
	dirty map[job.ID]*trackedJob
	// dirtySerial is the greatest trackedJob.dirtySince.
	dirtySerial int64
	// withUnrecordedEnds holds the VMs with unrecorded ends, and maybe others.
	withUnrecordedEnds map[*vm]bool
	// expired lists jobs that were found to have expired and are yet to be removed.
	// expiredFoundAt is when they were last searched for.
	expired        []job.ID
	expiredFoundAt time.Time

	actions  []Action
	machines map[string]Machine
	// machineNames lists the names of the machines in sorted order.
	machineNames []string
	// machineOrders holds when each machine was last given an order, for the record of
	// the fleet.
	machineOrders map[string]time.Time
	// machineOrdersFrom is when the first order for a machine may be given, and
	// blockedMachines holds until when the previous owner's orders keep single machines
	// from getting one.
	machineOrdersFrom time.Time
	blockedMachines   map[string]time.Time
	// handOverRecorded is set while the recorded fleet says that the owner has left.
	handOverRecorded bool
	// lastLoadLog is when the loads of the pools were last logged.
	lastLoadLog time.Time
	// averages holds the moving averages of each queue.
	averages map[string]*queueAverages
	// speeds holds the speeds of VMs; speedsRefreshedAt is when those that are too old were
	// last dropped.
	speeds            *speed.Table
	speedsRefreshedAt time.Time
	// lastCopyAt is when a run on a slow VM was last searched for a copy.
	lastCopyAt time.Time
	// learned is what the record of the fleet holds, or will with the commit in flight, of
	// what this owner has learned. learnedAt is when it was last taken for a commit.
	learned   Learned
	learnedAt time.Time
	// machineByVM maps the id of a VM to the name of its machine.
	machineByVM map[string]string
	// lastMachinePlan is when waves and moves were last planned, and lastTick when
	// tick last ran.
	lastMachinePlan, lastTick time.Time
	// lastRefusal is when jobs were last refused for reasons other than the load.
	lastRefusal time.Time
	// machinesListedAt is when the current list of machines was requested.
	machinesListedAt time.Time
	// machinesStale is set while a move is due but the list of machines is too old
	// to choose one.
	machinesStale bool
	// machineOfVMNeeded is the result of needsMachineOfVM as of the last tick.
	machineOfVMNeeded bool
	waves             map[int64]*wave
	moves             map[string]*move
	// cordoned holds the ids of the VMs that get no new tasks because their machines are to
	// be moved or sent to maintenance.
	cordoned map[string]bool
	// suspensions bounds how many runs are suspended for urgent tasks.
	suspensions suspend.Budget
	stats       Stats
	// division is used while the shares of a pool are applied.
	division division
	// crashes lists the crashes of VMs that may still speak for or against a task, the
	// oldest first, and unexplained those of which the cause may still be found. lastCrash
	// holds the last crash of each VM and machine by its name.
	crashes, unexplained []*vmCrash
	lastCrash            map[string]*vmCrash
	// startsInFlight holds when the start orders without an answer were given, except those
	// that have been without one for startTimeout. maxStartsInFlight limits their number; zero
	// means no limit.
	startsInFlight    map[Run]time.Time
	maxStartsInFlight int
	startTimeout      time.Duration
	// lastAnsweredStart is when the last of the start orders with an answer was given.
	lastAnsweredStart time.Time
	// firstPool is the index of the pool that is planned first.
	firstPool int
	// serial is the last serial number that was used in a fencing token.
	serial int64
	// restoredRuns lists the runs in the previous owner's record until the next
	// [Core.Plan] adds them to their tasks and VMs.
	restoredRuns []restoredRun
	// handingOver is set from [Core.BeginHandover] until [Core.SetEpoch]; meanwhile
	// nothing is planned.
	handingOver bool
	// restoredBegun lists, by wave, the machines whose maintenance has begun according
	// to the previous owner's record.
	restoredBegun map[int64][]string
	// fleetChanged is set while the recorded [Fleet] is out of date, not counting its VMs.
	// changedParts holds the numbers of the parts of its VMs that are out of date, each with
	// the sequence number of the change that made it so. lastChange is the last one. All
	// parts that were out of date at recordAfter are recorded before the rest of the fleet.
	fleetChanged            bool
	changedParts            map[int]int64
	lastChange, recordAfter int64
	// replacesList is set if the record of an earlier version listed VMs.
	replacesList bool
	// deferrals holds, by name, the records that the store does not take.
	deferrals map[string]deferral
	// forecasts holds what the admission of jobs goes by.
	forecasts forecasts
}

// Stats holds the counters of a core.
type Stats struct {
	// Starts counts the start orders, Ends the ends that VMs have reported, and
	// Failures the runs that have failed. Lapses counts the runs whose lease has
	// expired and those that were not found on their VM. Unanswered counts the start
	// orders without an answer.
	Starts, Ends, Failures, Lapses, Unanswered int64
	// Deferred counts the records that the store did not take, each time that they were tried.
	Deferred int64
	// Refused counts the jobs that were refused for want of room, by reason.
	Refused Refusals
	// Crashes counts the VMs that have crashed while they ran tasks, Trials the starts of
	// suspects on VMs that get no other task meanwhile, GivenUp the jobs that have failed
	// because a task crashes VMs, and Suspended the service tasks that are not started any
	// more for that reason.
	Crashes, Trials, GivenUp, Suspended int64
	// Suspensions counts the runs that were stopped at a checkpoint for urgent tasks.
	Suspensions int64
	// Copies counts the second runs of tasks on slow VMs, and CopiesWon those that were done
	// first.
	Copies, CopiesWon int64
	// Excess counts the jobs that were handed in beyond the rates of their teams.
	Excess int64
	// NearWaits counts the waits for a place near the data of a task or gang, NearWaitsPaid and
	// NearWaitsGivenUp those that ended with a start near it and away from it. AwayStarts counts
	// the starts of tasks away from their data.
	NearWaits, NearWaitsPaid, NearWaitsGivenUp, AwayStarts int64
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
	// missed lists those stages of the backlog whose jobs can no longer meet their
	// objective, as they were ranked at missedSortedAt or later.
	missed         []*stage
	missedSortedAt time.Time
	// use is what the runs in the pool take.
	use poolUse
	// peak tracks the recent peak of the demand.
	peak demand.Peak
	// offeredLoad tracks the rate at which work arrives.
	offeredLoad demand.Load
}

// trackedJob is a job with its scheduling state.
type trackedJob struct {
	*job.Job
	// queue is the queue of the job; nil if the job had ended when it was read.
	queue  *queue
	state  *job.State
	stages map[job.Stage]*stage
	// recordedPhase is the phase in the job's last written record.
	recordedPhase job.Phase
	// depth holds, for each step, the number of steps on the longest path that
	// begins with it. criticalPath is the greatest depth. totalCores is the number
	// of cores that all tasks of one occurrence need together.
	depth        []int
	criticalPath int
	totalCores   float64
	// version grows with every change of the state; recordedVersion is the version
	// that was last written.
	version, recordedVersion int64
	// dirtySince orders the jobs in [Core.dirty] by when they were added.
	dirtySince int64
	// excess is set if the job was handed in beyond its team's rate.
	excess bool
	// crashVersion is the version of the last change of what is known of crashes.
	crashVersion int64
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
	// due is when the occurrence may start. The time within which it has to end to
	// meet its objective is counted from due.
	due time.Time
	// rank and valueDensity order the stages with waiting tasks.
	rank         rank
	valueDensity float64
	// turn is the place of the stage among those of its rank, and shareUsed the part of its
	// share that the team has before a stage that is owed in part.
	turn      turn
	shareUsed float64
	// overdue is set if the job has missed its objective by overdueAfter.
	overdue bool
	// missed is set while the stage is in the list of that name of its pool.
	missed bool
	// blockedSince is the time since which a waiting task has fitted on no VM; zero if
	// the last attempt to place one did not fail for that reason.
	blockedSince time.Time
	// advice is what the advice service has said about the stage.
	advice advice
	// near is the wait of tasks for a place in a rack.
	near nearWait
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
	// nearSince is the time since which the task waits for a place near its data although
	// another VM has room; zero while it does not. The first task of a gang stands for all.
	nearSince time.Time
	// failedOn lists the VMs on which runs have failed or stalled.
	failedOn []string
	// stallRestarts is how often the task was restarted or copied because a run
	// stalled.
	stallRestarts int
	// underVerdict is set from a crash during the task's trial until it is known whether
	// many VMs have crashed at that time.
	underVerdict bool
	// excuses is how often simultaneous crashes of many VMs have spoken for the task.
	excuses int
	// longTrialsPassed is how many long trials the task has passed, up to
	// [maxTrialDoublings].
	longTrialsPassed int
	// trialAwaitedSince is the time since which the task waits for a VM for its long trial;
	// zero while it does not.
	trialAwaitedSince time.Time
	// crashAge is the greatest age of a run of the task when its VM crashed.
	crashAge time.Duration
	// reportedNumber is the highest number of a run of a previous owner that a VM has
	// reported, running or ended.
	reportedNumber int
}

// runNumbersPerEpoch is the size of the range of run numbers that a task has in
// each epoch. Separate ranges give the runs of a later owner higher numbers, even if
// it does not know all earlier runs.
const runNumbersPerEpoch = 10000

// New returns a core without jobs and VMs.
func New(c Config) *Core {
	return &Core{
		config: c,
		epoch:  c.Epoch,
		vms:    make(map[string]*vm),
		pools:  make(map[string]*pool),
		jobs:   make(map[job.ID]*trackedJob),
		active: make(map[job.ID]*trackedJob),
		teams:  make(map[string]*team),
		gates:  make(map[string]*gate),
		queues: make(map[string]*queue),

		adviceRequests: make(map[job.Stage]time.Time),
		retired:        make(map[string]retirement),
		averages:       make(map[string]*queueAverages),
		speeds:         speed.New(speed.Config{Retention: speedRetention}),
		dirty:          make(map[job.ID]*trackedJob),
		machines:       make(map[string]Machine),
		waves:          make(map[int64]*wave),
		moves:          make(map[string]*move),
		cordoned:       make(map[string]bool),

		lastCrash:       make(map[string]*vmCrash),
		machineOrders:   make(map[string]time.Time),
		blockedMachines: make(map[string]time.Time),
		changedParts:    make(map[int]int64),
		deferrals:       make(map[string]deferral),
		knownPools:      make(map[string]bool),

		withUnrecordedEnds: make(map[*vm]bool),
		startsInFlight:     make(map[Run]time.Time),
	}
}

// SetEpoch continues the core under a later epoch of the same owner, and ends a
// handover that was begun.
func (c *Core) SetEpoch(epoch int64) {
	c.epoch = epoch
	c.handingOver = false
	c.fleetChanged = true
	c.allPlacesChanged()
	c.serial = 0
	for _, v := range c.vms {
		v.serial = 0
		v.requireNewFence()
	}
}

// SetView replaces the configuration.
func (c *Core) SetView(v View, now time.Time) {
	c.view = v
	for _, q := range c.queues {
		c.configureQueue(q)
	}
	for _, t := range c.teams {
		c.configureTeam(t)
	}
	c.setWaves(v.Waves, now)
	c.reassignStages(now)
	c.addPools(now)
}

// addPools notes the pools of the configuration, and uses the listed VMs of those that are new.
func (c *Core) addPools(now time.Time) {
	for _, name := range slices.Concat(c.view.Pools, []string{c.view.Spare}) {
		c.knownPools[name] = name != ""
	}
	for _, q := range c.view.Queues {
		c.knownPools[q.Pool] = true
	}
	unknown := c.ofUnknownPools
	c.ofUnknownPools = nil
	for _, listed := range unknown {
		c.listVM(listed, now)
	}
}

// reassignStages moves stages to the pool of their queue if that has changed, or was not known
// before. A job whose attempts were not known may have used them up.
func (c *Core) reassignStages(now time.Time) {
	for _, tj := range c.active {
		if tj.state.Phase().Final() {
			continue
		}
		p := c.poolOf(tj)
		if c.pools[unknownPool] != nil && p.name != unknownPool && c.usedUpUnknownAttempts(tj) {
			c.finishJob(tj, job.Failed, now)
			continue
		}
		for id, s := range tj.stages {
			if p.stages[id] == s || tj.state.StageDone(id) {
				continue
			}
			c.closeStage(s)
			p.stages[id] = s
		}
	}
}

// JobPhase returns the recorded phase of a job, and whether the job is known. A
// pending job counts as running once a task has started, even before that is
// recorded.
func (c *Core) JobPhase(id job.ID) (job.Phase, bool) {
	tj, ok := c.jobs[id]
	if !ok {
		return 0, false
	}
	if tj.recordedPhase == job.Pending && tj.state.Started() {
		return job.Running, true
	}
	return tj.recordedPhase, true
}

// Job returns a job, or nil if it is not known. The caller must not modify it. A job
// that has ended has only its id, its queue and its team.
func (c *Core) Job(id job.ID) *job.Job {
	if tj := c.jobs[id]; tj != nil {
		return tj.Job
	}
	return nil
}

// PendingJobs returns the number of a queue's jobs of which no task has started.
func (c *Core) PendingJobs(queue string) int {
	n := 0
	for _, tj := range c.active {
		if tj.Queue == queue && tj.state.Phase() == job.Pending {
			n++
		}
	}
	return n
}

// Stats returns the current counters.
func (c *Core) Stats() Stats { return c.stats }

// waitingTasks returns the number of tasks that wait for a VM of the pool.
func (p *pool) waitingTasks() int {
	n := 0
	for _, s := range p.stages {
		if s.ready {
			n += s.waitingTasks
		}
	}
	return n
}

// unknownPool is the name of the pool that holds the stages of queues of which no configuration
// is known. It has no VMs.
const unknownPool = ""

// poolOf returns the pool of a job's queue.
func (c *Core) poolOf(tj *trackedJob) *pool {
	if q, ok := tj.queue.settings(); ok {
		return c.pool(q.Pool)
	}
	return c.pool(unknownPool)
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

// Add adds a recorded job with its recorded state. It does nothing if the core
// has the job already.
func (c *Core) Add(j *job.Job, s *job.State, now time.Time) {
	if c.jobs[j.ID] != nil {
		return
	}
	if s.Phase().Final() {
		tj := &trackedJob{Job: j, state: s, recordedPhase: s.Phase()}
		if len(s.KeptSteps()) > 0 {
			c.endedWithRuns = append(c.endedWithRuns, tj)
		}
		tj.prune()
		c.jobs[j.ID] = tj
		return
	}
	tj := trackJob(j, s)
	tj.queue = c.queue(j.Queue, j.Epoch < c.epoch, now)
	c.useTeam(j.Team, now)
	c.takeToken(tj, now)
	c.observeJob(tj)
	c.jobs[j.ID], c.active[j.ID] = tj, tj
	if !tj.HasServiceStep() && j.Epoch == c.epoch {
		c.poolOf(tj).offeredLoad.Add(tj.totalCores*c.meanTaskTime(tj.Queue).Seconds(), now)
	}
	c.openDueStages(tj, now)
}

// trackJob returns the state of a job that the core does not hold yet.
func trackJob(j *job.Job, s *job.State) *trackedJob {
	depth := chainLengths(j)
	return &trackedJob{
		Job: j, state: s, recordedPhase: s.Phase(), stages: make(map[job.Stage]*stage),
		depth: depth, criticalPath: slices.Max(depth), totalCores: coresOf(j),
	}
}

// openDueStages opens the stages of all occurrences that are due within
// [occurrenceLeadTime]. A job without set times has one occurrence, which is always
// opened.
func (c *Core) openDueStages(tj *trackedJob, now time.Time) {
	open, mostOpen := 0, c.maxOpenOccurrences(tj)
	for occurrence := range tj.Occurrences() {
		due := tj.Due(occurrence)
		if tj.ScheduledOccurrences > 0 && due.After(now.Add(occurrenceLeadTime)) {
			return
		}
		if tj.state.OccurrenceDone(occurrence) {
			continue
		}
		if tj.batchTasksLeft(occurrence) {
			if open++; open > mostOpen {
				return
			}
		}
		for i := range tj.Steps {
			c.openStage(tj, job.Stage{Job: tj.ID, Occurrence: occurrence, Step: i}, due)
		}
	}
}

// occurrenceLeadTime is how long before its due time an occurrence is prepared.
const occurrenceLeadTime = 2 * time.Second

// openStage marks a stage as ready if all steps that it depends on are done and it
// is not done itself.
func (c *Core) openStage(tj *trackedJob, id job.Stage, due time.Time) {
	if tj.state.StageDone(id) {
		return
	}
	for _, dependency := range tj.Steps[id.Step].After {
		if !tj.state.StageDone(job.Stage{Job: id.Job, Occurrence: id.Occurrence, Step: dependency}) {
			return
		}
	}
	c.stage(tj, id, due).ready = true
}

// stage returns a stage of a job and creates it if necessary.
func (c *Core) stage(tj *trackedJob, id job.Stage, due time.Time) *stage {
	s := tj.stages[id]
	if s != nil {
		return s
	}
	s = c.newStage(tj, id, due)
	c.poolOf(tj).stages[id] = s
	return s
}

// newStage creates a stage of a job.
func (c *Core) newStage(tj *trackedJob, id job.Stage, due time.Time) *stage {
	s := &stage{trackedJob: tj, id: id, step: &tj.Steps[id.Step], due: due}
	tj.stages[id] = s
	for i := range s.step.Count {
		t := &task{stage: s, id: job.Task{Job: id.Job, Occurrence: id.Occurrence, Step: id.Step, Index: i}}
		t.done = tj.state.IsDone(t.id)
		t.runNumber = int(c.epoch-tj.Epoch) * runNumbersPerEpoch
		s.tasks = append(s.tasks, t)
		if !t.done {
			s.waitingTasks++
		}
	}
	return s
}

// taskOf returns a task that a previous owner may have started, or nil if the job
// has no such task or the task is done. It creates the stage if necessary, even
// if the stage is not known to be ready.
func (c *Core) taskOf(tj *trackedJob, id job.Task) *task {
	if !tj.hasTask(id) || tj.state.IsDone(id) {
		return nil
	}
	return c.stage(tj, id.Stage(), tj.Due(id.Occurrence)).tasks[id.Index]
}

// Cancel ends a job as cancelled and stops its runs, and reports whether the job
// exists. The caller must not confirm the cancellation before the new phase is
// recorded.
func (c *Core) Cancel(id job.ID, now time.Time) bool {
	tj, ok := c.jobs[id]
	if !ok {
		return false
	}
	if !tj.state.Phase().Final() {
		c.finishJob(tj, job.Cancelled, now)
	}
	return true
}

// finishJob gives a job its final phase, stops its runs and closes its stages.
func (c *Core) finishJob(tj *trackedJob, p job.Phase, now time.Time) {
	tj.keepStepsWithRuns()
	tj.state.SetFinalPhase(p, now)
	c.markDirty(tj)
	c.config.Log.Info("job ended", "job", tj.ID, "phase", p, "queue", tj.Queue)
	reason := stopJobFailed
	if p == job.Cancelled {
		reason = stopCancelled
	}
	for _, s := range tj.stages {
		for _, t := range s.tasks {
			for _, r := range slices.Clone(t.runs) {
				c.stopRun(r, reason, now)
			}
		}
		c.closeStage(s)
	}
}

// keepStepsWithRuns keeps in the state of a job that ends what its runs use, so that the next
// owner can count them until they have stopped.
func (tj *trackedJob) keepStepsWithRuns() {
	var steps []int
	for id, s := range tj.stages {
		if slices.ContainsFunc(s.tasks, func(t *task) bool { return len(t.runs) > 0 }) && !slices.Contains(steps, id.Step) {
			steps = append(steps, id.Step)
		}
	}
	if len(steps) > 0 {
		tj.state.KeepSteps(steps)
	}
}

// closeStage removes a stage from its pool, so that none of its tasks starts.
func (c *Core) closeStage(s *stage) {
	for _, p := range c.pools {
		delete(p.stages, s.id)
	}
}

// VMs returns the VMs to which holds are to be sent, in the order of their ids.
func (c *Core) VMs() []VM {
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
