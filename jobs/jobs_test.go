package jobs_test

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"os"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/onsi/gomega"

	"almondcove/job"
	"almondcove/jobs"
	"almondcove/network"
	"almondcove/owner"
	"almondcove/schedule"
	"almondcove/shard"
	"almondcove/standin"
	"almondcove/store"
)

// decoder decodes records that hold the JSON form of the Go types.
type decoder struct{}

func (decoder) View(items map[string]store.Item) (schedule.View, bool) {
	var v schedule.View
	it, ok := items["conf/view"]
	if !ok || json.Unmarshal(it.Value, &v) != nil {
		return v, false
	}
	return v, true
}

func (decoder) VMs(items map[string]store.Item) []schedule.VM {
	var out []schedule.VM
	for _, it := range items {
		var v schedule.VM
		if json.Unmarshal(it.Value, &v) == nil {
			out = append(out, v)
		}
	}
	return out
}

// system is a whole system of entries, VMs and machines under a fake clock.
type system struct {
	t *testing.T
	// mu guards workers.
	mu sync.Mutex
	kv *standin.KeyValue
	// entryPower is the power of the entries that are started next.
	entryPower int
	// store is the store as the entries reach it.
	store store.Store
	// clock is the clock of the entries that are started next; nil means one that starts
	// with the entry.
	clock func() time.Duration
	// maxDirectVMs is the size of the fleet above which the entries that are started next
	// carry calls for each other; zero means the default.
	maxDirectVMs int
	// callTime is the processor time of each call of an entry to a VM, and calls counts those
	// calls by entry.
	callTime time.Duration
	calls    map[int]int
	// maxRecordsAge is the limit of the age of the records at the entries that are started
	// next.
	maxRecordsAge time.Duration
	// network returns the network of an entry; nil means net without changes.
	network func(i int) network.Network
	// recordsChanged is called with the operators' records of an entry after each change;
	// nil is allowed.
	recordsChanged func(i int, items map[string]store.Item)
	// started is called with each start order of an entry to a VM, and answered with the
	// result after it was carried out or not; nil is allowed.
	started  func(entry int, a schedule.Start)
	answered func(a schedule.Start, r schedule.Result)
	// advise returns the VMs that the advice service allows for a stage, out of those that it
	// is asked about; nil means all.
	advise func(a schedule.Advise) []string
	// retention is how long the entries that are started next keep ended jobs.
	retention time.Duration

	net     *standin.Network
	checker *standin.Checker
	// machines has no machines until a test adds some.
	machines *standin.Machines
	workers  map[string]*standin.Worker
	nodes    []*jobs.Node
	restarts int
}

const (
	taskDuration    = 700 * time.Millisecond
	machineMoveTime = time.Second
)

func newSystem(t *testing.T, entries, vms int) *system {
	s := &system{
		t: t, kv: standin.NewKeyValue(), net: &standin.Network{}, checker: standin.NewChecker(),
		workers: make(map[string]*standin.Worker), calls: make(map[int]int), retention: time.Minute,
	}
	s.store = s.kv
	s.machines = standin.NewMachines(standin.MachinesConfig{
		Spare: "off", MoveTime: machineMoveTime, VMStarted: s.addVM, VMEnded: s.removeVM,
	})
	s.putJSON("conf/view", schedule.View{
		Spare: "off",
		Queues: map[string]schedule.Queue{
			"q":       {Name: "q", Pool: "p", Attempts: 2, Stretch: 1.6, Slack: time.Second},
			"advised": {Name: "advised", Pool: "p", Attempts: 2, Stretch: 1.6, Slack: time.Second, Advised: true},
		},
		Teams: map[string]schedule.Team{"team": {Name: "team", Weight: 1}},
	})
	for i := range vms {
		s.addVM("", "p", fmt.Sprintf("vm-%d", i))
	}
	for i := range entries {
		s.nodes = append(s.nodes, s.startEntry(i, "a"))
	}
	return s
}

var vmCapacity = job.Resources{CPU: 8000, Memory: 16000}

// addVM adds a VM to a pool and to the list of VMs.
func (s *system) addVM(_, pool, id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	v := schedule.VM{
		ID: id, Pool: pool, Centre: "c", Born: time.Now(), Capacity: vmCapacity,
		Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, 0, byte(len(s.workers) + 1)}), 80),
	}
	s.workers[id] = standin.NewWorker(v, s.checker, time.Now())
	s.putJSON("vms/"+id, v)
}

// removeVM cuts off a VM and removes it from the list of VMs.
func (s *system) removeVM(id string) {
	s.worker(id).SetFault(standin.WorkerDropsOrders)
	s.kv.Delete("vms/" + id)
}

func (s *system) worker(id string) *standin.Worker {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.workers[id]
}

func (s *system) putJSON(key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		s.t.Fatal(err)
	}
	s.kv.Write(key, data)
}

func entryAddr(i int) netip.Addr { return netip.AddrFrom4([4]byte{10, 0, 0, byte(i + 1)}) }

func (s *system) startEntry(i int, run string) *jobs.Node {
	clock := s.clock
	if clock == nil {
		began := time.Now()
		clock = func() time.Duration { return time.Since(began) + time.Hour }
	}
	entryNetwork := s.net.ForHost(entryAddr(i))
	if s.network != nil {
		entryNetwork = s.network(i)
	}
	recordsChanged := func(map[string]store.Item, int64) {}
	if s.recordsChanged != nil {
		recordsChanged = func(items map[string]store.Item, _ int64) { s.recordsChanged(i, items) }
	}
	name := fmt.Sprintf("entry-%d", i)
	n, err := jobs.Start(jobs.Config{
		Self:  shard.Member{Name: name, Run: name + run, Centre: "c", Address: netip.AddrPortFrom(entryAddr(i), 7000), Power: s.entryPower},
		Store: s.store, Prefix: "own/", OperatorRecordsPrefix: "conf/", VMsPrefix: "vms/", Decoder: decoder{},
		OperatorRecordsChanged: recordsChanged,
		Schedule:               schedule.Config{MaxLease: 6 * time.Second, Retention: s.retention, MaintenanceTime: time.Second, MoveTime: time.Second, MaxStopTime: time.Second},
		VMs:                    &vmClient{system: s, entry: i, processor: make(chan struct{}, 1)}, MaxDirectVMs: s.maxDirectVMs, Machines: s.machines, Advisor: s,
		ReportWaves: func(context.Context, store.Store, []schedule.WaveState) error { return nil },
		Network:     entryNetwork,
		Clock:       clock, MaxRecordsAge: s.maxRecordsAge,
		Log: s.logger(name),
	})
	if err != nil {
		s.t.Fatal(err)
	}
	return n
}

// Advise returns tickets for the VMs that advise allows to run the tasks of a stage.
func (s *system) Advise(_ context.Context, a schedule.Advise) (map[string]string, time.Duration, error) {
	out := make(map[string]string)
	allowed := a.VMs
	if s.advise != nil {
		allowed = s.advise(a)
	}
	for _, id := range allowed {
		out[id] = "ticket"
	}
	return out, 3 * time.Second, nil
}

// vmClient delivers the orders that an entry sends to the workers.
type vmClient struct {
	system *system
	entry  int
	// processor takes one value, for the processor time of each call.
	processor chan struct{}
}

// spend counts a call and takes its processor time.
func (c *vmClient) spend() {
	c.system.mu.Lock()
	c.system.calls[c.entry]++
	c.system.mu.Unlock()
	if c.system.callTime == 0 {
		return
	}
	c.processor <- struct{}{}
	time.Sleep(c.system.callTime)
	<-c.processor
}

func (c *vmClient) Hold(ctx context.Context, v schedule.VM, h schedule.Hold) (schedule.Report, schedule.Result) {
	c.spend()
	w := c.system.worker(v.ID)
	t := time.NewTimer(h.Wait)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
	w.Advance(time.Now())
	return w.Hold(h, time.Now())
}

func (c *vmClient) Start(_ context.Context, v schedule.VM, a schedule.Start) schedule.Result {
	c.spend()
	w := c.system.worker(v.ID)
	w.Advance(time.Now())
	var j job.Job
	if err := json.Unmarshal([]byte(a.Spec), &j); err != nil {
		c.system.t.Error(err)
	}
	if c.system.started != nil {
		c.system.started(c.entry, a)
	}
	r := w.Start(a, j.Steps[a.Run.Task.Step], taskDuration, time.Now())
	if c.system.answered != nil {
		c.system.answered(a, r)
	}
	return r
}

func (c *vmClient) Stop(_ context.Context, v schedule.VM, a schedule.Stop) schedule.Result {
	c.spend()
	w := c.system.worker(v.ID)
	if w == nil {
		// The VM is not known any more, so there is no address to call.
		return schedule.Unsent
	}
	return w.Stop(a)
}

func (c *vmClient) Pace(context.Context, schedule.VM, schedule.Pace) schedule.Result {
	return schedule.Accepted
}

// restartEntry stops an entry and starts it again as another process.
func (s *system) restartEntry(i int) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	s.nodes[i].Stop(ctx)
	s.restarts++
	s.nodes[i] = s.startEntry(i, fmt.Sprint("r", s.restarts))
}

// stopAndCheck stops all entries and fails the test if the checker or the machines
// have found violations.
func (s *system) stopAndCheck() {
	for _, n := range s.nodes {
		if n != nil {
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			n.Stop(ctx)
			cancel()
		}
	}
	for _, violation := range slices.Concat(s.checker.Violations(), s.machines.Violations()) {
		s.t.Error(violation)
	}
}

// job returns a job with count tasks and one task after them. Its spec is its JSON
// form, which tells the workers what to run.
func (s *system) job(id job.ID, count int) *job.Job {
	j := &job.Job{ID: id, Queue: "q", Team: "team", Accepted: time.Now(), Steps: []job.Step{
		{Count: count, Need: job.Resources{CPU: 2000, Memory: 500}},
		{Count: 1, Need: job.Resources{CPU: 1000, Memory: 500}, After: []int{0}},
	}}
	data, err := json.Marshal(j)
	if err != nil {
		s.t.Fatal(err)
	}
	j.Spec = string(data)
	return j
}

// chain returns a job with steps of one task each, one after another. Its spec is its JSON
// form.
func (s *system) chain(id job.ID, steps int) *job.Job {
	j := &job.Job{ID: id, Queue: "q", Team: "team", Accepted: time.Now()}
	for i := range steps {
		step := job.Step{Count: 1, Need: job.Resources{CPU: 1000, Memory: 500}}
		if i > 0 {
			step.After = []int{i - 1}
		}
		j.Steps = append(j.Steps, step)
	}
	data, err := json.Marshal(j)
	if err != nil {
		s.t.Fatal(err)
	}
	j.Spec = string(data)
	return j
}

// longestIdle watches the VMs for d and returns the longest time in which nothing ran.
func (s *system) longestIdle(d time.Duration) time.Duration {
	const interval = 50 * time.Millisecond
	idle, longest := time.Duration(0), time.Duration(0)
	for range d / interval {
		time.Sleep(interval)
		idle += interval
		s.mu.Lock()
		for _, w := range s.workers {
			if len(w.Running()) > 0 {
				idle = 0
			}
		}
		s.mu.Unlock()
		longest = max(longest, idle)
	}
	return longest
}

// submit submits a job at an entry and returns the outcome.
func (s *system) submit(node int, id job.ID) owner.Outcome {
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	return s.nodes[node].Submit(ctx, s.job(id, 3)).Outcome
}

func (s *system) show(node int, id job.ID) owner.Answer {
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	return s.nodes[node].Show(ctx, id, owner.Scope{})
}

// TestAnyEntryAnswers guards against requests that only the owner can answer: each
// entry must accept jobs, accept a job again that another entry has accepted, and know
// the phase of every job.
func TestAnyEntryAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		s := newSystem(t, 3, 3)
		time.Sleep(3 * time.Second)
		for i := range 3 {
			id := job.ID(fmt.Sprint("job-", i))
			g.Expect(s.submit(i, id)).To(gomega.Equal(owner.Done))
			g.Expect(s.submit((i+1)%3, id)).To(gomega.Equal(owner.Done), "the same job submitted again")
		}
		time.Sleep(4 * time.Second)
		for i := range 3 {
			for k := range 3 {
				a := s.show(k, job.ID(fmt.Sprint("job-", i)))
				g.Expect(a.Outcome).To(gomega.Equal(owner.Done))
				g.Expect(a.Phase).To(gomega.Equal(job.Completed))
			}
		}
		g.Expect(s.show(0, "none").Outcome).To(gomega.Equal(owner.NoJob))
		s.stopAndCheck()
	})
}

// fault is a temporary fault.
type fault struct {
	name  string
	begin func(s *system, r *rand.Rand)
	end   func(s *system)
}

func faults() []fault {
	repairNetwork := func(s *system) { s.net.Heal() }
	repairStore := func(s *system) { s.kv.SetFault(standin.KeyValueHealthy) }
	breakStore := func(f standin.KeyValueFault) func(*system, *rand.Rand) {
		return func(s *system, _ *rand.Rand) { s.kv.SetFault(f) }
	}
	breakWorker := func(f standin.WorkerFault) func(*system, *rand.Rand) {
		return func(s *system, r *rand.Rand) { s.workers[fmt.Sprint("vm-", r.IntN(len(s.workers)))].SetFault(f) }
	}
	repairWorkers := func(s *system) {
		for _, w := range s.workers {
			w.SetFault(standin.WorkerHealthy)
		}
	}
	return []fault{
		{"store refuses calls", breakStore(standin.KeyValueRefuses), repairStore},
		{"store drops requests", breakStore(standin.KeyValueDropsRequests), repairStore},
		{"store drops responses", breakStore(standin.KeyValueDropsResponses), repairStore},
		{"store commits late", breakStore(standin.KeyValueDelaysCommits), repairStore},
		{"leases expire and store answers nothing", func(s *system, _ *rand.Rand) {
			s.kv.ExpireLeases()
			s.kv.SetFault(standin.KeyValueDropsRequests)
		}, repairStore},
		{"watch history compacted", func(s *system, _ *rand.Rand) { s.kv.Compact() }, func(*system) {}},
		{"entry cut off from the others", func(s *system, r *rand.Rand) {
			i := r.IntN(len(s.nodes))
			for k := range s.nodes {
				if k != i {
					s.net.Partition(entryAddr(i), entryAddr(k))
					s.net.Partition(entryAddr(k), entryAddr(i))
				}
			}
		}, repairNetwork},
		{"VM receives no orders", breakWorker(standin.WorkerDropsOrders), repairWorkers},
		{"answers of a VM lost", breakWorker(standin.WorkerDropsResponses), repairWorkers},
		{"VM restarts", func(s *system, r *rand.Rand) {
			w := s.workers[fmt.Sprint("vm-", r.IntN(len(s.workers)))]
			w.Restart(time.Now())
			s.putJSON("vms/"+w.VM.ID, w.VM)
		}, func(*system) {}},
		{"entry restarts", func(s *system, r *rand.Rand) {
			s.restartEntry(r.IntN(len(s.nodes)))
		}, func(*system) {}},
	}
}

// TestFaults injects two overlapping faults under load, for each seed, and checks
// what callers and VMs see: accepted jobs are completed, refused jobs do not run,
// and nothing runs twice. Each subtest runs several seeds one after another in one
// synctest bubble.
func TestFaults(t *testing.T) { testFaults(t, 1, 0) }

// testFaults is [TestFaults] for one stream of random numbers and one size of the fleet above
// which calls are carried.
func testFaults(t *testing.T, stream uint64, maxDirectVMs int) {
	const seeds, seedsPerSubtest = 24, 8
	all := faults()
	for first := uint64(0); first < seeds; first += seedsPerSubtest {
		t.Run(fmt.Sprintf("seeds from %d", first), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				for seed := first; seed < first+seedsPerSubtest; seed++ {
					r := rand.New(rand.NewPCG(seed, stream))
					faultA, faultB := all[int(seed)%len(all)], all[r.IntN(len(all))]
					runFaults(t, r, maxDirectVMs, faultA, faultB, fmt.Sprintf("seed %d, %s, %s", seed, faultA.name, faultB.name))
				}
			})
		})
	}
}

func runFaults(t *testing.T, r *rand.Rand, maxDirectVMs int, faultA, faultB fault, label string) {
	g := gomega.NewWithT(t)
	s := newSystem(t, 0, 4)
	s.maxDirectVMs = maxDirectVMs
	for i := range 3 {
		s.nodes = append(s.nodes, s.startEntry(i, "a"))
	}
	time.Sleep(3 * time.Second)
	accepted := make(map[job.ID]owner.Outcome)
	submit := func(n int) {
		for i := range n {
			id := job.ID(fmt.Sprintf("%s-%d", time.Now().Format("150405.000"), i))
			accepted[id] = s.submit(r.IntN(3), id)
			time.Sleep(time.Duration(r.IntN(200)) * time.Millisecond)
		}
	}
	submit(4)
	faultA.begin(s, r)
	submit(3)
	faultB.begin(s, r)
	submit(6)
	time.Sleep(2 * time.Second)
	faultA.end(s)
	faultB.end(s)
	time.Sleep(4 * time.Second)
	submit(4)
	time.Sleep(25 * time.Second)
	done := 0
	for id, outcome := range accepted {
		a := s.show(r.IntN(3), id)
		switch outcome {
		case owner.Done:
			g.Expect(a.Outcome).To(gomega.Equal(owner.Done), "%s: accepted job %s", label, id)
			g.Expect(a.Phase).To(gomega.Equal(job.Completed), "%s: accepted job %s", label, id)
			done++
		case owner.Refused:
			g.Expect(a.Outcome).To(gomega.Equal(owner.NoJob), "%s: refused job %s", label, id)
		}
	}
	g.Expect(done).To(gomega.BeNumerically(">=", 8), "%s: jobs before and after the faults", label)
	s.stopAndCheck()
}

// TestTurnAfterCalm guards against late orders to move spare machines, which are
// switched off, into a pool. After idle periods of different lengths it submits more
// than the only VM of the pool can run; the machines must be ordered at once.
func TestTurnAfterCalm(t *testing.T) {
	const (
		// reactionTime limits the time from the submissions to the orders, in which
		// an outdated list of machines is read again and evaluated once.
		reactionTime  = 250 * time.Millisecond
		spareMachines = 5
	)
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		s := newSystem(t, 2, 0)
		defer s.stopAndCheck()
		for i := range 1 + spareMachines {
			pool := "p"
			if i > 0 {
				pool = "off"
			}
			s.machines.Add(schedule.Machine{Name: fmt.Sprint("m-", i), Pool: pool, Centre: "c", Capacity: vmCapacity})
		}
		time.Sleep(6 * time.Second)
		for i := range 8 {
			time.Sleep(9*time.Second + time.Duration(i)*700*time.Millisecond)
			g.Expect(s.machines.UpCount("p")).To(gomega.Equal(1), "idle period")
			for k := range 12 {
				g.Expect(s.submit(k%2, job.ID(fmt.Sprintf("%d-%d", i, k)))).To(gomega.Equal(owner.Done))
			}
			time.Sleep(reactionTime)
			g.Expect(s.machines.UpCount("off")).To(gomega.BeNumerically("<=", 1), "round %d", i)
		}
	})
}

// TestStalledWatches guards against a list of VMs that stays outdated after the
// store's watches have stalled: VMs that join after that must get tasks within two
// seconds, the time in which the list must be correct again.
func TestStalledWatches(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		s := newSystem(t, 2, 1)
		defer s.stopAndCheck()
		time.Sleep(3 * time.Second)
		for i := range 3 {
			s.kv.StallWatches()
			id := fmt.Sprint("new-", i)
			s.addVM("", "p", id)
			time.Sleep(2 * time.Second)
			for k := range 3 + 2*i {
				g.Expect(s.submit(0, job.ID(fmt.Sprintf("%d-%d", i, k)))).To(gomega.Equal(owner.Done))
			}
			g.Expect(s.worker(id).Running()).NotTo(gomega.BeEmpty(), id)
			time.Sleep(3 * time.Second)
		}
	})
}

// logger returns the logger of an entry. It appends to the file that ALMONDCOVE_LOG
// names, and discards everything if the variable is empty.
func (s *system) logger(name string) hclog.Logger {
	file := os.Getenv("ALMONDCOVE_LOG")
	if file == "" {
		return hclog.NewNullLogger()
	}
	out, err := os.OpenFile(file, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(func() { _ = out.Close() })
	return hclog.New(&hclog.LoggerOptions{Name: name, Output: out})
}
