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
	"almondcove/owner"
	"almondcove/schedule"
	"almondcove/shard"
	"almondcove/standin"
	"almondcove/store"
)

// decoder reads records that are written in the types' own form.
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

// site is a whole system on a paused clock.
type site struct {
	t *testing.T
	// mu guards workers.
	mu sync.Mutex
	kv *standin.KeyValue
	// power is that of the entries that are started next.
	power int
	// store is the store as the entries reach it.
	store store.Store
	net   *standin.Network
	fleet *standin.Fleet
	// machines are empty unless a test adds some.
	machines *standin.Machines
	workers  map[string]*standin.Worker
	nodes    []*jobs.Node
	restarts int
}

const (
	workTime = 700 * time.Millisecond
	moveTime = time.Second
)

func newSite(t *testing.T, entries, vms int) *site {
	s := &site{
		t: t, kv: standin.NewKeyValue(), net: &standin.Network{}, fleet: standin.NewFleet(),
		workers: make(map[string]*standin.Worker),
	}
	s.store = s.kv
	s.machines = standin.NewMachines(standin.MachinesConfig{
		Spare: "off", Move: moveTime, Joins: s.joins, Leaves: s.leaves,
	})
	s.write("conf/view", schedule.View{
		Spare: "off",
		Queues: map[string]schedule.Queue{
			"q":       {Name: "q", Pool: "p", Attempts: 2, Stretch: 1.6, Slack: time.Second},
			"advised": {Name: "advised", Pool: "p", Attempts: 2, Stretch: 1.6, Slack: time.Second, Advised: true},
		},
		Teams: map[string]schedule.Team{"team": {Name: "team", Weight: 1}},
	})
	for i := range vms {
		s.joins("", "p", fmt.Sprintf("vm-%d", i))
	}
	for i := range entries {
		s.nodes = append(s.nodes, s.start(i, "a"))
	}
	return s
}

// vmRoom is the room of each VM.
var vmRoom = job.Resources{CPU: 8000, Memory: 16000}

// joins adds a VM to a pool.
func (s *site) joins(_, pool, id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	v := schedule.VM{
		ID: id, Pool: pool, Centre: "c", Born: time.Now(), Capacity: vmRoom,
		Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, 0, byte(len(s.workers) + 1)}), 80),
	}
	s.workers[id] = standin.NewWorker(v, s.fleet, time.Now())
	s.write("vms/"+id, v)
}

// leaves ends a VM at once.
func (s *site) leaves(id string) {
	s.worker(id).Set(standin.Deaf)
	s.kv.Delete("vms/" + id)
}

func (s *site) worker(id string) *standin.Worker {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.workers[id]
}

func (s *site) write(key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		s.t.Fatal(err)
	}
	s.kv.Write(key, data)
}

func host(i int) netip.Addr { return netip.AddrFrom4([4]byte{10, 0, 0, byte(i + 1)}) }

func (s *site) start(i int, run string) *jobs.Node {
	began := time.Now()
	name := fmt.Sprintf("entry-%d", i)
	n, err := jobs.Start(jobs.Config{
		Self:  shard.Member{Name: name, Run: name + run, Centre: "c", Address: netip.AddrPortFrom(host(i), 7000), Power: s.power},
		Store: s.store, Prefix: "own/", Operators: "conf/", List: "vms/", Decoder: decoder{},
		Changed:  func(map[string]store.Item, int64) {},
		Schedule: schedule.Config{Hold: 6 * time.Second, Keep: time.Minute, Maintenance: time.Second, Move: time.Second, Stop: time.Second},
		VMs:      &calls{site: s}, Machines: s.machines, Advisor: s,
		Report:  func(context.Context, store.Store, []schedule.WaveState) error { return nil },
		Network: s.net.From(host(i)),
		Clock:   func() time.Duration { return time.Since(began) + time.Hour },
		Log:     s.log(name),
	})
	if err != nil {
		s.t.Fatal(err)
	}
	return n
}

// Advise lets all VMs run anything.
func (s *site) Advise(_ context.Context, a schedule.Advise) (map[string]string, time.Duration, error) {
	out := make(map[string]string)
	for _, id := range a.VMs {
		out[id] = "ticket"
	}
	return out, 3 * time.Second, nil
}

// calls passes orders to the workers.
type calls struct {
	site *site
}

func (c *calls) Hold(ctx context.Context, v schedule.VM, h schedule.Hold) (schedule.Report, schedule.Result) {
	w := c.site.worker(v.ID)
	t := time.NewTimer(h.Wait)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
	w.Work(time.Now())
	return w.Hold(h, time.Now())
}

func (c *calls) Start(_ context.Context, v schedule.VM, a schedule.Start) schedule.Result {
	w := c.site.worker(v.ID)
	w.Work(time.Now())
	var j job.Job
	if err := json.Unmarshal([]byte(a.Spec), &j); err != nil {
		c.site.t.Error(err)
	}
	return w.Start(a, j.Steps[a.Run.Task.Step], workTime, time.Now())
}

func (c *calls) Stop(_ context.Context, v schedule.VM, a schedule.Stop) schedule.Result {
	return c.site.worker(v.ID).Stop(a)
}

func (c *calls) Pace(context.Context, schedule.VM, schedule.Pace) schedule.Result {
	return schedule.Accepted
}

// restart stops an entry and starts it anew.
func (s *site) restart(i int) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	s.nodes[i].Stop(ctx)
	s.restarts++
	s.nodes[i] = s.start(i, fmt.Sprint("r", s.restarts))
}

func (s *site) stop() {
	for _, n := range s.nodes {
		if n != nil {
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			n.Stop(ctx)
			cancel()
		}
	}
	for _, b := range slices.Concat(s.fleet.Breaches(), s.machines.Breaches()) {
		s.t.Error(b)
	}
}

// job returns a job whose description tells the workers what to run.
func (s *site) job(id job.ID, count int) *job.Job {
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

// submit hands a job in at an entry until it is accepted or certainly not.
func (s *site) submit(node int, id job.ID) owner.Outcome {
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	return s.nodes[node].Submit(ctx, s.job(id, 3)).Outcome
}

func (s *site) show(node int, id job.ID) owner.Answer {
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	return s.nodes[node].Show(ctx, id)
}

func TestAnyEntryAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		s := newSite(t, 3, 3)
		time.Sleep(3 * time.Second)
		for i := range 3 {
			id := job.ID(fmt.Sprint("job-", i))
			g.Expect(s.submit(i, id)).To(gomega.Equal(owner.Done))
			g.Expect(s.submit((i+1)%3, id)).To(gomega.Equal(owner.Done), "the same job again")
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
		s.stop()
	})
}

// fault is something that goes wrong for a while.
type fault struct {
	name  string
	begin func(s *site, r *rand.Rand)
	end   func(s *site)
}

func faults() []fault {
	heal := func(s *site) { s.net.Heal() }
	sound := func(s *site) { s.kv.Set(standin.Sound) }
	set := func(f standin.KeyValueFault) func(*site, *rand.Rand) {
		return func(s *site, _ *rand.Rand) { s.kv.Set(f) }
	}
	worker := func(f standin.WorkerFault) func(*site, *rand.Rand) {
		return func(s *site, r *rand.Rand) { s.workers[fmt.Sprint("vm-", r.IntN(len(s.workers)))].Set(f) }
	}
	obey := func(s *site) {
		for _, w := range s.workers {
			w.Set(standin.Obedient)
		}
	}
	return []fault{
		{"store refuses", set(standin.Refuse), sound},
		{"store mute", set(standin.Mute), sound},
		{"answers of the store lost", set(standin.Lose), sound},
		{"store late", set(standin.Late), sound},
		{"store mute and leases lapse", func(s *site, _ *rand.Rand) {
			s.kv.Lapse()
			s.kv.Set(standin.Mute)
		}, sound},
		{"history gone", func(s *site, _ *rand.Rand) { s.kv.Compact() }, func(*site) {}},
		{"entry cut from the others", func(s *site, r *rand.Rand) {
			i := r.IntN(len(s.nodes))
			for k := range s.nodes {
				if k != i {
					s.net.Cut(host(i), host(k))
					s.net.Cut(host(k), host(i))
				}
			}
		}, heal},
		{"VM deaf", worker(standin.Deaf), obey},
		{"VM dumb", worker(standin.Dumb), obey},
		{"VM restarts", func(s *site, r *rand.Rand) {
			w := s.workers[fmt.Sprint("vm-", r.IntN(len(s.workers)))]
			w.Restart(time.Now())
			s.write("vms/"+w.VM.ID, w.VM)
		}, func(*site) {}},
		{"entry restarts", func(s *site, r *rand.Rand) {
			s.restart(r.IntN(len(s.nodes)))
		}, func(*site) {}},
	}
}

// TestFaults plays two faults at once beside a load, for each seed, and checks
// what callers and VMs see: what was accepted is completed, what was refused has
// not run, and nothing runs twice. Several seeds share a bubble, one after another.
func TestFaults(t *testing.T) {
	const seeds, each = 24, 8
	all := faults()
	for first := uint64(0); first < seeds; first += each {
		t.Run(fmt.Sprintf("seeds from %d", first), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				for seed := first; seed < first+each; seed++ {
					r := rand.New(rand.NewPCG(seed, 1))
					one, two := all[int(seed)%len(all)], all[r.IntN(len(all))]
					playFaults(t, r, one, two, fmt.Sprintf("seed %d, %s, %s", seed, one.name, two.name))
				}
			})
		})
	}
}

func playFaults(t *testing.T, r *rand.Rand, one, two fault, label string) {
	g := gomega.NewWithT(t)
	s := newSite(t, 3, 4)
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
	one.begin(s, r)
	submit(3)
	two.begin(s, r)
	submit(6)
	time.Sleep(2 * time.Second)
	one.end(s)
	two.end(s)
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
	s.stop()
}

// TestTurnAfterCalm hands in more than a pool's one VM can do, after calm times
// of different length. Machines that are switched off are ordered at once.
func TestTurnAfterCalm(t *testing.T) {
	const (
		// react bounds the time from the jobs to the orders: the age of a list that
		// is asked for again, and one look at the machines.
		react = 250 * time.Millisecond
		off   = 5
	)
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		s := newSite(t, 2, 0)
		defer s.stop()
		for i := range 1 + off {
			pool := "p"
			if i > 0 {
				pool = "off"
			}
			s.machines.Add(schedule.Machine{Name: fmt.Sprint("m-", i), Pool: pool, Centre: "c", Capacity: vmRoom})
		}
		time.Sleep(6 * time.Second)
		for i := range 8 {
			time.Sleep(9*time.Second + time.Duration(i)*700*time.Millisecond)
			g.Expect(s.machines.Pool("p")).To(gomega.Equal(1), "calm")
			for k := range 12 {
				g.Expect(s.submit(k%2, job.ID(fmt.Sprintf("%d-%d", i, k)))).To(gomega.Equal(owner.Done))
			}
			time.Sleep(react)
			g.Expect(s.machines.Pool("off")).To(gomega.BeNumerically("<=", 1), "turn %d", i)
		}
	})
}

// TestStalledWatches: VMs that join after the store's watches have gone silent
// take tasks within two seconds, the time in which the list is right again.
func TestStalledWatches(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		s := newSite(t, 2, 1)
		defer s.stop()
		time.Sleep(3 * time.Second)
		for i := range 3 {
			s.kv.Stall()
			id := fmt.Sprint("new-", i)
			s.joins("", "p", id)
			time.Sleep(2 * time.Second)
			for k := range 3 + 2*i {
				g.Expect(s.submit(0, job.ID(fmt.Sprintf("%d-%d", i, k)))).To(gomega.Equal(owner.Done))
			}
			g.Expect(s.worker(id).Running()).NotTo(gomega.BeEmpty(), id)
			time.Sleep(3 * time.Second)
		}
	})
}

// log returns a log of an entry; it is written when ALMONDCOVE_LOG names a file.
func (s *site) log(name string) hclog.Logger {
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
