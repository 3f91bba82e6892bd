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

// policy is what decides at one entry: ours, or the plain baseline.
type policy interface {
	// submit takes one task; started is called when it is sent to a VM.
	submit(j *job, now time.Time)
	// finish takes note of the end of a job, or of a refusal for want of a slot.
	finish(j *job, refused bool, load int, now time.Time)
}

// job is one task of the simulation.
type job struct {
	entry   int
	team    string
	queue   string
	arrived time.Time
	run     time.Duration
	vm      string
	ours    *dispatch.Task
}

// fakeVM is a VM with slots and nothing else.
type fakeVM struct {
	slots, running int
	centre         string
	// bad VMs fail everything at once, closed ones refuse everything.
	bad    bool
	closed bool
}

// event is something that happens at a time.
type event struct {
	at  time.Time
	seq int
	do  func()
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

// sim drives a few entries over fake VMs through simulated time.
type sim struct {
	now      time.Time
	seq      int
	queue    events
	vms      map[string]*fakeVM
	policies []policy
	random   *rand.Rand
	// used is the slot time that each team got in each second, in seconds.
	used map[string][]float64
	// waits are the times from arrival to start, by queue.
	waits map[string][]time.Duration
	done  map[string]int
	begun time.Time
}

func newSim() *sim {
	start := time.Unix(1_000_000, 0)
	return &sim{
		now: start, begun: start,
		vms:    make(map[string]*fakeVM),
		random: rand.New(rand.NewPCG(1, 2)),
		used:   make(map[string][]float64),
		waits:  make(map[string][]time.Duration),
		done:   make(map[string]int),
	}
}

func (s *sim) at(d time.Duration, f func()) {
	s.seq++
	heap.Push(&s.queue, event{at: s.now.Add(d), seq: s.seq, do: f})
}

func (s *sim) runUntil(d time.Duration) {
	end := s.begun.Add(d)
	for len(s.queue) > 0 && s.queue[0].at.Before(end) {
		e := heap.Pop(&s.queue).(event)
		s.now = e.at
		e.do()
	}
	s.now = end
}

// hop is the time from an entry to a VM or back.
const hop = 500 * time.Microsecond

// send carries a job to its VM.
func (s *sim) send(j *job) {
	s.at(hop, func() {
		vm := s.vms[j.vm]
		if vm.running >= vm.slots || vm.closed {
			load := vm.running
			s.at(hop, func() { s.policies[j.entry].finish(j, true, load, s.now) })
			return
		}
		vm.running++
		begun := s.now
		s.waits[j.queue] = append(s.waits[j.queue], s.now.Sub(j.arrived))
		run := j.run
		if vm.bad {
			run = time.Millisecond
		}
		s.at(run, func() {
			vm.running--
			if !vm.bad {
				s.account(j.team, begun, s.now)
				s.done[j.team]++
			}
			load := vm.running
			s.at(hop, func() { s.policies[j.entry].finish(j, false, load, s.now) })
		})
	})
}

// account adds a run to the seconds that it covers.
func (s *sim) account(team string, from, to time.Time) {
	for from.Before(to) {
		second := int(from.Sub(s.begun) / time.Second)
		end := s.begun.Add(time.Duration(second+1) * time.Second)
		if end.After(to) {
			end = to
		}
		for len(s.used[team]) <= second {
			s.used[team] = append(s.used[team], 0)
		}
		s.used[team][second] += end.Sub(from).Seconds()
		from = end
	}
}

// arrivals sends a stream of jobs with exponential gaps to one entry.
func (s *sim) arrivals(entry int, team, queue string, perSecond float64, run time.Duration) {
	gap := func() time.Duration {
		return time.Duration(s.random.ExpFloat64() / perSecond * float64(time.Second))
	}
	var next func()
	next = func() {
		length := time.Duration(float64(run) * (0.5 + s.random.Float64()))
		j := &job{entry: entry, team: team, queue: queue, arrived: s.now, run: length}
		s.policies[entry].submit(j, s.now)
		s.at(gap(), next)
	}
	s.at(gap(), next)
}

// ours is the project's own core.
type ours struct {
	sim  *sim
	core *dispatch.Core
	next int
}

func (o *ours) submit(j *job, now time.Time) {
	o.next++
	j.ours = &dispatch.Task{
		ID: task.ID(fmt.Sprintf("%d-%d", j.entry, o.next)), Team: j.team, Queue: j.queue, Deadline: now.Add(time.Hour),
		Ready:  func(vm string) { j.vm = vm; o.sim.send(j) },
		Refuse: func(task.NotRun) {},
	}
	o.core.Admit(j.ours, now)
	o.step(now)
}

func (o *ours) finish(j *job, refused bool, load int, now time.Time) {
	end := dispatch.End{Proof: task.Done, Good: !o.sim.vms[j.vm].bad, Load: load}
	if refused {
		end = dispatch.End{Proof: task.Refused, Load: load}
	}
	o.core.Finish(j.ours, end, now)
	if refused {
		o.core.Retry(j.ours, false)
	}
	o.step(now)
}

// step starts what may start and comes back when a pause ends.
func (o *ours) step(now time.Time) {
	o.core.Next(now)
	if at, ok := o.core.Table().Next(); ok && o.core.Waiting() > 0 {
		o.sim.at(at.Sub(now)+time.Microsecond, func() { o.core.Next(o.sim.now) })
	}
}

// ours adds n entries with the project's cores, which balance each second
// when balance is set.
func (s *sim) ours(cfg *fleet.Config, centre string, n int, balance bool) []*dispatch.Core {
	var cores []*dispatch.Core
	first := len(s.policies)
	for i := range n {
		core := dispatch.New(dispatch.Config{Centre: centre, Seed: uint64(first + i)})
		var seats []int
		for seat := i; seat < limit.Seats; seat += n {
			seats = append(seats, seat)
		}
		listed := make(map[string]dispatch.Listed)
		for name, vm := range s.vms {
			listed[name] = dispatch.Listed{Slots: vm.slots}
		}
		core.Configure(cfg, seats, s.now)
		core.List(listed)
		cores = append(cores, core)
		s.policies = append(s.policies, &ours{sim: s, core: core})
	}
	if balance {
		s.balance(cores)
	}
	return cores
}

// balance exchanges demands as the beats do.
func (s *sim) balance(cores []*dispatch.Core) {
	var tick func()
	tick = func() {
		demands := make([][]dispatch.Demand, len(cores))
		var all []dispatch.Demand
		for _, c := range cores {
			all = append(all, c.Demands(nil)...)
		}
		named := dispatch.Named(all)
		for i, c := range cores {
			demands[i] = c.Demands(named)
		}
		for i, c := range cores {
			var others []dispatch.Demand
			for j := range cores {
				if j != i {
					others = append(others, demands[j]...)
				}
			}
			c.Balance(others)
			c.Next(s.now)
		}
		s.at(time.Second, tick)
	}
	s.at(time.Second, tick)
}

// plain is the baseline: first in, first out, equal parts of each VM for each
// entry, a random VM.
type plain struct {
	sim   *sim
	names []string
	part  int
	own   map[string]int
	line  []*job
}

// plain adds n baseline entries.
func (s *sim) plain(n int) {
	var names []string
	slots := 0
	for i := range len(s.vms) {
		name := fmt.Sprintf("vm-%d", i)
		names = append(names, name)
		slots = s.vms[name].slots
	}
	for range n {
		s.policies = append(s.policies, &plain{sim: s, names: names, part: max(slots/n, 1), own: make(map[string]int)})
	}
}

func (p *plain) submit(j *job, _ time.Time) {
	p.line = append(p.line, j)
	p.step()
}

func (p *plain) finish(j *job, refused bool, _ int, _ time.Time) {
	p.own[j.vm]--
	if refused {
		p.line = append([]*job{j}, p.line...)
	}
	p.step()
}

func (p *plain) step() {
	for len(p.line) > 0 {
		var free []string
		for _, name := range p.names {
			if p.own[name] < p.part {
				free = append(free, name)
			}
		}
		if len(free) == 0 {
			return
		}
		j := p.line[0]
		p.line = p.line[1:]
		j.vm = free[p.sim.random.IntN(len(free))]
		p.own[j.vm]++
		p.sim.send(j)
	}
}
