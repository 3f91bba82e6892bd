package jobs_test

import (
	"context"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"almondcove/job"
	"almondcove/jobs"
	"almondcove/owner"
	"almondcove/schedule"
	"almondcove/standin"
)

const (
	// reconfigurationTime is how long changes and faults begin, and reconfiguredTime how long
	// the entries then have to complete the jobs.
	reconfigurationTime = 45 * time.Second
	reconfiguredTime    = 45 * time.Second
	// queueAttempts is the number of attempts of every queue in every configuration.
	queueAttempts = 3
	// capMemory is how long an earlier cap still counts: an entry may not have received the
	// present one.
	capMemory = 8 * time.Second
	// capExcess is how far above its cap a team may get, as a fraction of the cap.
	capExcess = 0.1
	// advisedQueue is a queue for which the advice service selects the VMs.
	advisedQueue = "advised"
)

// handedIn is what the caller of a job knows.
type handedIn struct {
	*job.Job
	outcome owner.Outcome
	at      time.Time
}

// teamCap is a cap of the team, and when a later one replaced it; zero means never.
type teamCap struct {
	cpu        int64
	replacedAt time.Time
}

// reconfigurations changes the configuration at random, beside changes of owner, silent VMs
// and failing runs, and checks what callers are told against what runs on the VMs.
type reconfigurations struct {
	*system
	label string
	rand  *rand.Rand
	ways  []*faultyWay
	calls sync.WaitGroup
	view  schedule.View

	mu   sync.Mutex
	jobs map[job.ID]*handedIn
	// pools holds, for each queue, the pools to which a configuration has sent it.
	pools map[string]map[string]bool
	caps  []teamCap
}

func newReconfigurations(t *testing.T, seed uint64) *reconfigurations {
	s := &reconfigurations{
		system: newSystem(t, 0, 0), label: fmt.Sprint("seed ", seed), rand: rand.New(rand.NewPCG(seed, 52)),
		jobs: make(map[job.ID]*handedIn), pools: make(map[string]map[string]bool), caps: []teamCap{{}},
	}
	s.started, s.answered, s.advise, s.retention = s.checkPool, s.checkCap, s.allowed, time.Hour
	s.view = schedule.View{Queues: make(map[string]schedule.Queue), Teams: map[string]schedule.Team{"team": {Name: "team", Weight: 1}}}
	for i := range 3 {
		s.setQueue(fmt.Sprint("q", i), poolNames[i%len(poolNames)])
	}
	s.setQueue(advisedQueue, poolNames[0])
	s.configure()
	for i := range 8 {
		s.addVM("", poolNames[i%len(poolNames)], fmt.Sprint("vm-", i))
	}
	for i := range 2 + s.rand.IntN(2) {
		s.ways = append(s.ways, &faultyWay{Store: s.kv, rand: rand.New(rand.NewPCG(seed, uint64(i)))})
		s.store = s.ways[i]
		s.nodes = append(s.nodes, s.startEntry(i, "a"))
	}
	return s
}

var poolNames = []string{"p", "r"}

// setQueue sends a queue to a pool from the next configuration on.
func (s *reconfigurations) setQueue(name, pool string) {
	s.view.Queues[name] = schedule.Queue{
		Name: name, Pool: pool, Priority: s.rand.IntN(2), Attempts: queueAttempts, Stretch: 1.6, Slack: time.Second, Advised: name == advisedQueue,
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.pools[name] == nil {
		s.pools[name] = make(map[string]bool)
	}
	s.pools[name][pool] = true
}

// configure puts the configuration into the store.
func (s *reconfigurations) configure() {
	s.view.Version++
	s.putJSON("conf/view", s.view)
}

// reconfigure makes a random change of the configuration.
func (s *reconfigurations) reconfigure() {
	name := fmt.Sprint("q", s.rand.IntN(3))
	if s.rand.IntN(5) == 0 {
		name = advisedQueue
	}
	switch q, exists := s.view.Queues[name]; s.rand.IntN(5) {
	case 0:
		delete(s.view.Queues, name)
	case 1:
		s.setCap([]int64{0, 4000, 9000}[s.rand.IntN(3)])
	default:
		pool := poolNames[s.rand.IntN(len(poolNames))]
		if exists && pool == q.Pool {
			pool = poolNames[(slices.Index(poolNames, pool)+1)%len(poolNames)]
		}
		s.setQueue(name, pool)
	}
	s.configure()
}

// setCap sets the cap of the team from the next configuration on; zero means none.
func (s *reconfigurations) setCap(cpu int64) {
	s.view.Teams["team"] = schedule.Team{Name: "team", Weight: 1, Cap: job.Resources{CPU: cpu}}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.caps[len(s.caps)-1].replacedAt = time.Now()
	s.caps = append(s.caps, teamCap{cpu: cpu})
}

// capNow returns the highest cap that may be in force; false means that there may be none.
func (s *reconfigurations) capNow() (int64, bool) {
	highest := int64(0)
	for _, c := range s.caps {
		if !c.replacedAt.IsZero() && time.Since(c.replacedAt) > capMemory {
			continue
		}
		if c.cpu == 0 {
			return 0, false
		}
		highest = max(highest, c.cpu)
	}
	return highest, true
}

// checkPool checks that a configuration has sent the queue of a job to the pool of the VM that
// gets a start order. Before the order arrives, it brings all VMs up to date: a worker whose
// lease has expired drops its runs only when it is asked, and none is while there is no owner.
func (s *reconfigurations) checkPool(_ int, a schedule.Start) {
	s.running()
	pool := s.worker(a.VM).VM.Pool
	s.mu.Lock()
	defer s.mu.Unlock()
	j := s.jobs[a.Run.Task.Job]
	if j == nil || !s.pools[j.Queue][pool] {
		s.t.Errorf("%s: %v starts in pool %s, to which its queue was never sent", s.label, a.Run, pool)
	}
}

// checkCap checks that a start has not brought the team above its cap by more than the excess
// and one task.
func (s *reconfigurations) checkCap(a schedule.Start, r schedule.Result) {
	if r != schedule.Accepted {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	used, largest := int64(0), int64(0)
	for _, r := range s.running() {
		need := s.jobs[r.Task.Job].Steps[r.Task.Step].Need.CPU
		used, largest = used+need, max(largest, need)
	}
	if most, limited := s.capNow(); limited && float64(used) > float64(most)*(1+capExcess)+float64(largest) {
		s.t.Errorf("%s: %v brings the team to %d, its cap is %d", s.label, a.Run, used, most)
	}
}

// running returns the runs on all VMs. The caller must not hold the lock of the system.
func (s *reconfigurations) running() []schedule.Run {
	s.system.mu.Lock()
	workers := slices.Collect(maps.Values(s.workers))
	s.system.mu.Unlock()
	var out []schedule.Run
	for _, w := range workers {
		w.Advance(time.Now())
		out = append(out, w.Running()...)
	}
	return out
}

// policy is which VMs the advice service allows for a stage.
type policy int

const (
	policyAll policy = iota
	policyOne
	policyNone
	policies
)

// policyOf returns the policy for a job, which does not change.
func policyOf(id job.ID) policy {
	h := fnv.New32a()
	_, _ = h.Write([]byte(id))
	return policy(h.Sum32() % uint32(policies))
}

// allowed answers a request for advice after a while.
func (s *reconfigurations) allowed(a schedule.Advise) []string {
	time.Sleep(100*time.Millisecond + time.Duration(len(a.VMs))*2*time.Millisecond)
	switch policyOf(a.Stage.Job) {
	case policyAll:
		return a.VMs
	case policyOne:
		// One VM of each pool.
		return slices.DeleteFunc(slices.Clone(a.VMs), func(id string) bool { return id != "vm-2" && id != "vm-5" })
	case policyNone, policies:
	}
	return nil
}

// handIn submits a job of random steps to a queue at an entry.
func (s *reconfigurations) handIn(id job.ID, queue string, r *rand.Rand) {
	j := &job.Job{ID: id, Queue: queue, Team: "team", Accepted: time.Now()}
	if r.IntN(8) == 0 {
		j.Steps = []job.Step{{Count: 2, Need: job.Resources{CPU: 100, Memory: 100}, Service: true, Budgeted: true, MaxUnavailable: 1}}
	} else {
		for i := range 1 + r.IntN(3) {
			step := job.Step{Count: 1 + r.IntN(4), Need: job.Resources{CPU: int64(500 * (1 + r.IntN(5))), Memory: 100}}
			if i > 0 {
				step.After = []int{i - 1}
			}
			j.Steps = append(j.Steps, step)
		}
	}
	spec, err := json.Marshal(j)
	if err != nil {
		s.t.Fatal(err)
	}
	j.Spec = string(spec)
	h := &handedIn{Job: j, outcome: owner.Unsettled, at: time.Now()}
	s.mu.Lock()
	s.jobs[id] = h
	n := s.nodes[r.IntN(len(s.nodes))]
	s.mu.Unlock()
	s.calls.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
		defer cancel()
		outcome := n.Submit(ctx, j).Outcome
		s.mu.Lock()
		defer s.mu.Unlock()
		h.outcome = outcome
	})
}

// silence keeps orders, or the answers to them, from a random VM for a while.
func (s *reconfigurations) silence() {
	w := s.worker(fmt.Sprint("vm-", s.rand.IntN(8)))
	w.SetFault([]standin.WorkerFault{standin.WorkerDropsOrders, standin.WorkerDropsOrders, standin.WorkerDropsResponses}[s.rand.IntN(3)])
	length := time.Second + time.Duration(s.rand.Int64N(int64(8*time.Second)))
	s.calls.Go(func() {
		time.Sleep(length)
		w.SetFault(standin.WorkerHealthy)
	})
}

// failRuns makes all runs of a random VM fail for a while.
func (s *reconfigurations) failRuns() {
	w := s.worker(fmt.Sprint("vm-", s.rand.IntN(8)))
	w.SetRunsFail(true)
	s.calls.Go(func() {
		time.Sleep(1500 * time.Millisecond)
		w.SetRunsFail(false)
	})
}

// changeOwner makes the entries elect an owner: leases lapse, an entry is stopped as planned,
// or one is frozen.
func (s *reconfigurations) changeOwner() {
	i := s.rand.IntN(len(s.ways))
	switch s.rand.IntN(3) {
	case 0:
		s.kv.ExpireLeases()
	case 1:
		s.restart(i)
	case 2:
		s.freeze(s.ways, i, time.Second+time.Duration(s.rand.Int64N(int64(3*time.Second))))
	}
}

// restart stops an entry as planned and starts it again as another process.
func (s *reconfigurations) restart(i int) {
	s.mu.Lock()
	old := s.nodes[i]
	s.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	old.Stop(ctx)
	s.restarts++
	s.store = s.ways[i]
	n := s.startEntry(i, fmt.Sprint("r", s.restarts))
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nodes = slices.Concat(s.nodes[:i:i], []*jobs.Node{n}, s.nodes[i+1:])
}

// disturb makes one change or begins one fault.
func (s *reconfigurations) disturb() {
	switch s.rand.IntN(8) {
	case 0, 1, 2:
		s.reconfigure()
	case 3:
		s.failRuns()
	case 4:
		s.silence()
	case 5:
		s.changeOwner()
	case 6:
		s.silence()
		s.reconfigure()
		time.Sleep(time.Duration(s.rand.Int64N(int64(time.Second))))
		s.changeOwner()
	case 7:
		s.reconfigure()
		time.Sleep(2 * time.Second)
		s.silence()
		s.changeOwner()
	}
}

// play submits jobs while changes and faults begin and end.
func (s *reconfigurations) play() {
	time.Sleep(3 * time.Second)
	stop := make(chan struct{})
	s.calls.Go(func() {
		began := time.Now()
		for time.Since(began) < reconfigurationTime {
			time.Sleep(time.Duration(s.rand.Int64N(int64(2 * time.Second))))
			s.disturb()
		}
		close(stop)
	})
	callers := rand.New(rand.NewPCG(uint64(len(s.ways)), 2))
	for n := 0; ; n++ {
		select {
		case <-stop:
			s.calls.Wait()
			return
		case <-time.After(time.Duration(callers.Int64N(int64(600 * time.Millisecond)))):
		}
		queue := fmt.Sprint("q", callers.IntN(3))
		if callers.IntN(6) == 0 {
			queue = advisedQueue
		}
		s.handIn(job.ID(fmt.Sprint("job-", n)), queue, callers)
	}
}

// finish hands in the last jobs, drops the queue of some of them, and gives the entries time
// to complete all jobs.
func (s *reconfigurations) finish() {
	s.setCap(0)
	for i := range 3 {
		s.setQueue(fmt.Sprint("q", i), poolNames[i%len(poolNames)])
	}
	s.setQueue(advisedQueue, poolNames[0])
	s.configure()
	time.Sleep(12 * time.Second)
	callers := rand.New(rand.NewPCG(3, 3))
	for i := range 4 {
		s.handIn(job.ID(fmt.Sprint("advised-", i)), advisedQueue, callers)
		s.handIn(job.ID(fmt.Sprint("last-", i)), fmt.Sprint("q", i%3), callers)
	}
	time.Sleep(300 * time.Millisecond)
	delete(s.view.Queues, "q1")
	s.configure()
	time.Sleep(reconfiguredTime)
	s.calls.Wait()
}

// check compares what callers were told with what the entries and the VMs say, and returns
// how many jobs were accepted.
func (s *reconfigurations) check() int {
	accepted := 0
	running := make(map[job.Task]bool)
	for _, r := range s.running() {
		running[r.Task] = true
	}
	for id, j := range s.jobs {
		if j.outcome != owner.Done {
			continue
		}
		accepted++
		a := s.show(0, id)
		switch {
		case a.Outcome != owner.Done:
			s.t.Errorf("%s: accepted job %s is not known: %v", s.label, id, a)
		case a.Phase == job.Failed && !s.mayHaveFailed(j.Job):
			s.t.Errorf("%s: job %s of %s is failed, and no task has failed %d times", s.label, id, j.Queue, queueAttempts)
		case a.Phase == job.Failed || j.Queue == advisedQueue && policyOf(id) == policyNone:
		case j.HasServiceStep():
			for i := range j.Steps[0].Count {
				if !running[job.Task{Job: id, Index: i}] {
					s.t.Errorf("%s: task %d of the service %s of %s does not run", s.label, i, id, j.Queue)
				}
			}
		case a.Phase != job.Completed:
			s.t.Errorf("%s: job %s of %s is %v", s.label, id, j.Queue, a.Phase)
		}
	}
	return accepted
}

// mayHaveFailed reports whether a task of the job has failed as often as its queue allows.
func (s *reconfigurations) mayHaveFailed(j *job.Job) bool {
	for step := range j.Steps {
		for i := range j.Steps[step].Count {
			if s.checker.Failures(job.Task{Job: j.ID, Step: step, Index: i}) >= queueAttempts {
				return true
			}
		}
	}
	return false
}

// TestReconfigurations guards against accepted work that depends on the newest configuration
// alone: while queues are moved, dropped and added again, caps change, and advice allows none,
// some or all of the VMs, beside changes of owner, silent VMs and failing runs, no task runs
// twice, no job fails before its attempts are used up, no team exceeds its cap, and every
// accepted job is completed unless the advice service allows it no VM.
func TestReconfigurations(t *testing.T) {
	for seed := range uint64(24) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newReconfigurations(t, seed)
				s.play()
				s.finish()
				if s.check() == 0 {
					t.Errorf("%s: no job was accepted", s.label)
				}
				s.stopAndCheck()
			})
		})
	}
}
