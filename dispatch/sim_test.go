package dispatch_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"almondcove/dispatch"
	"almondcove/fleet"
	"almondcove/limit"
	"almondcove/task"
)

// policy decides at one entry which tasks start and where. It is a [corePolicy] or
// a [baselinePolicy].
type policy interface {
	// submit takes one job, which the policy passes to sim.send when it starts.
	submit(j *job, now time.Time)
	// finish records the end of a job, or that its VM refused it.
	finish(j *job, refused bool, load int, now time.Time)
}

// job is one task of the simulation.
type job struct {
	entry   int
	team    string
	queue   string
	arrived time.Time
	runTime time.Duration
	vm      string
	task    *dispatch.Task
}

// fakeVM is a simulated VM, which only counts its slots.
type fakeVM struct {
	slots, running int
	centre         string
	// A bad VM fails every task after 1 ms, a closed one refuses every task.
	bad    bool
	closed bool
}

// event is an action at a simulated time. Events at the same time run in the order
// of seq.
type event struct {
	at     time.Time
	seq    int
	action func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	if e[i].at.Equal(e[j].at) {
		return e[i].seq < e[j].seq
	}
	return e[i].at.Before(e[j].at)
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

// sim is a discrete-event simulation of several entries and fake VMs.
type sim struct {
	now      time.Time
	seq      int
	queue    events
	vms      map[string]*fakeVM
	policies []policy
	random   *rand.Rand
	// slotSeconds is the slot time that each team used in each second.
	slotSeconds map[string][]float64
	// waits are the times from arrival to start, by queue.
	waits map[string][]time.Duration
	// done is the number of jobs that ended without a failure, by team.
	done      map[string]int
	startedAt time.Time
}

func newSim() *sim {
	start := time.Unix(1_000_000, 0)
	return &sim{
		now: start, startedAt: start,
		vms:         make(map[string]*fakeVM),
		random:      rand.New(rand.NewPCG(1, 2)),
		slotSeconds: make(map[string][]float64),
		waits:       make(map[string][]time.Duration),
		done:        make(map[string]int),
	}
}

// at schedules f to run d from now.
func (s *sim) at(d time.Duration, f func()) {
	s.seq++
	heap.Push(&s.queue, event{at: s.now.Add(d), seq: s.seq, action: f})
}

// runUntil runs the events up to the simulated time d after the start.
func (s *sim) runUntil(d time.Duration) {
	end := s.startedAt.Add(d)
	for len(s.queue) > 0 && s.queue[0].at.Before(end) {
		e := heap.Pop(&s.queue).(event)
		s.now = e.at
		e.action()
	}
	s.now = end
}

// networkDelay is the one-way delay between an entry and a VM.
const networkDelay = 500 * time.Microsecond

// send sends a job to its VM, runs it there and reports its end to the policy.
func (s *sim) send(j *job) {
	s.at(networkDelay, func() {
		vm := s.vms[j.vm]
		if vm.running >= vm.slots || vm.closed {
			load := vm.running
			s.at(networkDelay, func() { s.policies[j.entry].finish(j, true, load, s.now) })
			return
		}
		vm.running++
		started := s.now
		s.waits[j.queue] = append(s.waits[j.queue], s.now.Sub(j.arrived))
		runTime := j.runTime
		if vm.bad {
			runTime = time.Millisecond
		}
		s.at(runTime, func() {
			vm.running--
			if !vm.bad {
				s.addSlotTime(j.team, started, s.now)
				s.done[j.team]++
			}
			load := vm.running
			s.at(networkDelay, func() { s.policies[j.entry].finish(j, false, load, s.now) })
		})
	})
}

// addSlotTime adds the slot time of a run to each second that it covers.
func (s *sim) addSlotTime(team string, from, to time.Time) {
	for from.Before(to) {
		second := int(from.Sub(s.startedAt) / time.Second)
		end := s.startedAt.Add(time.Duration(second+1) * time.Second)
		if end.After(to) {
			end = to
		}
		for len(s.slotSeconds[team]) <= second {
			s.slotSeconds[team] = append(s.slotSeconds[team], 0)
		}
		s.slotSeconds[team][second] += end.Sub(from).Seconds()
		from = end
	}
}

// addArrivals sends jobs to one entry with exponentially distributed gaps. Their run
// times are uniformly distributed between 0.5 and 1.5 times meanRunTime.
func (s *sim) addArrivals(entry int, team, queue string, perSecond float64, meanRunTime time.Duration) {
	gap := func() time.Duration {
		return time.Duration(s.random.ExpFloat64() / perSecond * float64(time.Second))
	}
	var next func()
	next = func() {
		runTime := time.Duration(float64(meanRunTime) * (0.5 + s.random.Float64()))
		j := &job{entry: entry, team: team, queue: queue, arrived: s.now, runTime: runTime}
		s.policies[entry].submit(j, s.now)
		s.at(gap(), next)
	}
	s.at(gap(), next)
}

// corePolicy is the policy of a [dispatch.Core].
type corePolicy struct {
	sim    *sim
	core   *dispatch.Core
	lastID int
}

func (o *corePolicy) submit(j *job, now time.Time) {
	o.lastID++
	j.task = &dispatch.Task{
		ID: task.ID(fmt.Sprintf("%d-%d", j.entry, o.lastID)), Team: j.team, Queue: j.queue, Deadline: now.Add(time.Hour),
		OnReady:   func(vm string) { j.vm = vm; o.sim.send(j) },
		OnRefused: func(task.NotRun) {},
	}
	o.core.Admit(j.task, now)
	o.step(now)
}

func (o *corePolicy) finish(j *job, refused bool, load int, now time.Time) {
	end := dispatch.AttemptEnd{Proof: task.Done, Succeeded: !o.sim.vms[j.vm].bad, Load: load}
	if refused {
		end = dispatch.AttemptEnd{Proof: task.Refused, Load: load}
	}
	o.core.Finish(j.task, end, now)
	if refused {
		o.core.Retry(j.task, false)
	}
	o.step(now)
}

// step starts the tasks that may start. If a VM is paused while tasks wait, it also
// schedules a start for the end of the next pause.
func (o *corePolicy) step(now time.Time) {
	o.core.StartReady(now)
	if at, ok := o.core.Table().NextPauseEnd(); ok && o.core.Waiting() > 0 {
		o.sim.at(at.Sub(now)+time.Microsecond, func() { o.core.StartReady(o.sim.now) })
	}
}

// addCores adds n entries with dispatch cores, which exchange their demands every
// second if balance is true.
func (s *sim) addCores(cfg *fleet.Config, centre string, n int, balance bool) []*dispatch.Core {
	var cores []*dispatch.Core
	first := len(s.policies)
	for i := range n {
		core := dispatch.New(dispatch.Config{Centre: centre, Seed: uint64(first + i)})
		var seats []int
		for seat := i; seat < limit.SeatsPerCentre; seat += n {
			seats = append(seats, seat)
		}
		listed := make(map[string]dispatch.ListedVM)
		for name, vm := range s.vms {
			listed[name] = dispatch.ListedVM{Slots: vm.slots}
		}
		core.Configure(cfg, seats, s.now)
		core.SetListedVMs(listed)
		cores = append(cores, core)
		s.policies = append(s.policies, &corePolicy{sim: s, core: core})
	}
	if balance {
		s.balance(cores)
	}
	return cores
}

// balance exchanges demands every second, as the heartbeats between entries do.
func (s *sim) balance(cores []*dispatch.Core) {
	var tick func()
	tick = func() {
		demands := make([][]dispatch.Demand, len(cores))
		var all []dispatch.Demand
		for _, c := range cores {
			all = append(all, c.Demands(nil)...)
		}
		waitingPools := dispatch.WaitingPools(all)
		for i, c := range cores {
			demands[i] = c.Demands(waitingPools)
		}
		for i, c := range cores {
			var others []dispatch.Demand
			for j := range cores {
				if j != i {
					others = append(others, demands[j]...)
				}
			}
			c.Balance(others)
			c.StartReady(s.now)
		}
		s.at(time.Second, tick)
	}
	s.at(time.Second, tick)
}

// baselinePolicy is the policy for comparison. Tasks start first in, first out. Each
// entry may use an equal part of each VM's slots, and chooses a random VM among those
// with a free slot in its part.
type baselinePolicy struct {
	sim        *sim
	names      []string
	slotsPerVM int
	inFlight   map[string]int
	waiting    []*job
}

// addBaseline adds n entries with the baseline policy.
func (s *sim) addBaseline(n int) {
	var names []string
	slots := 0
	for i := range len(s.vms) {
		name := fmt.Sprintf("vm-%d", i)
		names = append(names, name)
		slots = s.vms[name].slots
	}
	for range n {
		s.policies = append(s.policies, &baselinePolicy{sim: s, names: names, slotsPerVM: max(slots/n, 1), inFlight: make(map[string]int)})
	}
}

func (p *baselinePolicy) submit(j *job, _ time.Time) {
	p.waiting = append(p.waiting, j)
	p.step()
}

func (p *baselinePolicy) finish(j *job, refused bool, _ int, _ time.Time) {
	p.inFlight[j.vm]--
	if refused {
		p.waiting = append([]*job{j}, p.waiting...)
	}
	p.step()
}

func (p *baselinePolicy) step() {
	for len(p.waiting) > 0 {
		var free []string
		for _, name := range p.names {
			if p.inFlight[name] < p.slotsPerVM {
				free = append(free, name)
			}
		}
		if len(free) == 0 {
			return
		}
		j := p.waiting[0]
		p.waiting = p.waiting[1:]
		j.vm = free[p.sim.random.IntN(len(free))]
		p.inFlight[j.vm]++
		p.sim.send(j)
	}
}
