package owner_test

import (
	"context"
	"fmt"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/onsi/gomega"

	"almondcove/job"
	"almondcove/ledger"
	"almondcove/owner"
	"almondcove/schedule"
	"almondcove/standin"
	"almondcove/store"
)

// pickyStore is a store that never takes some records.
type pickyStore struct {
	store.Store
	refuses func(store.Put) bool
	refused atomic.Int32
}

func (s *pickyStore) Commit(ctx context.Context, t store.Txn) (int64, error) {
	time.Sleep(4 * time.Millisecond)
	for _, p := range t.Puts {
		if s.refuses(p) {
			s.refused.Add(1)
			return 0, &store.Invalid{Call: "commit", Cause: &standin.InjectedFault{}}
		}
	}
	return s.Store.Commit(ctx, t)
}

// workerVMs sends orders to stand-in VMs by id. A VM without a stand-in does not answer.
type workerVMs struct {
	mu      sync.Mutex
	workers map[string]*standin.Worker
	jobs    map[job.ID]*job.Job
}

func (v *workerVMs) worker(id string) *standin.Worker {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.workers[id]
}

func (v *workerVMs) Hold(_ context.Context, vm schedule.VM, h schedule.Hold) (schedule.Report, schedule.Result) {
	time.Sleep(time.Millisecond)
	w := v.worker(vm.ID)
	if w == nil {
		return schedule.Report{}, schedule.Unanswered
	}
	w.Advance(time.Now())
	return w.Hold(h, time.Now())
}

func (v *workerVMs) Start(_ context.Context, vm schedule.VM, s schedule.Start) schedule.Result {
	w := v.worker(vm.ID)
	v.mu.Lock()
	step := v.jobs[s.Run.Task.Job].Steps[s.Run.Task.Step]
	v.mu.Unlock()
	return w.Start(s, step, step.Estimate, time.Now())
}

func (v *workerVMs) Stop(_ context.Context, vm schedule.VM, s schedule.Stop) schedule.Result {
	return v.worker(vm.ID).Stop(s)
}

func (*workerVMs) Pace(context.Context, schedule.VM, schedule.Pace) schedule.Result {
	return schedule.Accepted
}

// fixture is an owner of one process with stand-in VMs of one pool.
type fixture struct {
	*owner.Owner
	t      *testing.T
	vms    *workerVMs
	listed []schedule.VM
}

// newFixture returns an owner of the first epoch with that many VMs. Its records are in s, and k
// is the service that s leads to.
func newFixture(t *testing.T, s store.Store, k *standin.KeyValue, limits store.Limits, vms int) *fixture {
	f := &fixture{t: t, vms: &workerVMs{workers: make(map[string]*standin.Worker), jobs: make(map[job.ID]*job.Job)}}
	checker := standin.NewChecker()
	for i := range vms {
		v := schedule.VM{
			ID: fmt.Sprint("vm-", i), Pool: "p", Capacity: job.Resources{CPU: 8000, Memory: 8000},
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i + 1)}), 80), Born: time.Now(),
		}
		f.listed = append(f.listed, v)
		f.vms.workers[v.ID] = standin.NewWorker(v, checker, time.Now())
	}
	f.Owner = owner.New(owner.Config{
		Ledger:         ledger.New(ledger.Config{Store: s, Limits: limits, Prefix: "t/", Run: "a"}),
		Schedule:       schedule.Config{Retention: time.Minute, MaxLease: 6 * time.Second, MaxRecordBytes: limits.ValueBytes},
		HoldsOwnership: func() bool { return true },
		VMs:            f.vms,
		Machines:       standin.NewMachines(standin.MachinesConfig{}),
		ReportWaves:    func(context.Context, []schedule.WaveState) error { return nil },
		Committed:      func(time.Duration, error) {},
		Ordered:        func(string, string) {},
		Log:            hclog.NewNullLogger(),
	})
	f.SetView(schedule.View{Queues: map[string]schedule.Queue{"q": {Name: "q", Pool: "p", Attempts: 3}}})
	elect(t, f.Owner, k, 1)
	f.SetVMs(f.listed)
	time.Sleep(time.Second)
	t.Cleanup(func() {
		f.Close()
		if v := checker.Violations(); len(v) > 0 {
			t.Errorf("rules broken: %v", v)
		}
	})
	return f
}

// submit submits a job within the time that callers give it.
func (f *fixture) submit(j *job.Job) owner.Answer {
	f.vms.mu.Lock()
	f.vms.jobs[j.ID] = j
	f.vms.mu.Unlock()
	ctx, cancel := context.WithTimeout(f.t.Context(), 3*time.Second)
	defer cancel()
	return f.Submit(ctx, j)
}

func (f *fixture) cancel(id job.ID) owner.Answer {
	ctx, cancel := context.WithTimeout(f.t.Context(), 4*time.Second)
	defer cancel()
	return f.Cancel(ctx, id, owner.Scope{})
}

func (f *fixture) phase(id job.ID) job.Phase { return f.Show(id, owner.Scope{}).Phase }

// plainJob returns a job of that many tasks, each of which takes some time.
func plainJob(id string, tasks int, takes time.Duration) *job.Job {
	return &job.Job{ID: job.ID(id), Queue: "q", Steps: []job.Step{{Count: tasks, Need: job.Resources{CPU: 100, Memory: 100}, Estimate: takes}}}
}

// TestRecordThatStoreNeverTakes guards against one record that holds up all others: whichever
// record the store never takes, cancels are acknowledged, ends are recorded and jobs are accepted.
func TestRecordThatStoreNeverTakes(t *testing.T) {
	for _, c := range []struct {
		name    string
		refuses func(store.Put) bool
	}{
		{"job", func(p store.Put) bool { return p.Key == "t/job/bad" }},
		{"state", func(p store.Put) bool { return p.Key == "t/state/bad" }},
		{"part of the fleet", func(p store.Put) bool {
			return strings.HasPrefix(p.Key, "t/fleet/") && strings.Contains(string(p.Value), "odd")
		}},
		{"fleet", func(p store.Put) bool { return p.Key == "t/fleet" }},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				k := standin.NewKeyValue()
				s := &pickyStore{Store: k, refuses: c.refuses}
				f := newFixture(t, s, k, store.Limits{}, 4)
				f.SetVMs(append(f.listed, schedule.VM{ID: "odd", Pool: "p", Address: f.listed[0].Address}))
				bad := make(chan owner.Answer, 1)
				go func() { bad <- f.submit(plainJob("bad", 6, 2*time.Second)) }()
				checkNeighbours(f)
				if c.name == "job" {
					gomega.NewWithT(t).Expect(bad).To(gomega.Receive(gomega.HaveField("Outcome", owner.Invalid)))
				}
				// After the first attempts, the pauses between them double from 1 s.
				gomega.NewWithT(t).Expect(s.refused.Load()).To(gomega.And(gomega.BeNumerically(">", 0), gomega.BeNumerically("<", 20)))
				synctest.Wait()
			})
		})
	}
}

// checkNeighbours submits ordinary jobs for 10 s, of which every second one is cancelled.
func checkNeighbours(f *fixture) {
	g := gomega.NewWithT(f.t)
	for i := range 20 {
		id := fmt.Sprint("job-", i)
		g.Expect(f.submit(plainJob(id, 2, time.Second)).Outcome).To(gomega.Equal(owner.Done), id)
		if i%2 == 0 {
			g.Expect(f.cancel(job.ID(id)).Outcome).To(gomega.Equal(owner.Done), id)
		}
		time.Sleep(500 * time.Millisecond)
	}
	time.Sleep(3 * time.Second)
	for i := range 20 {
		want := job.Completed
		if i%2 == 0 {
			want = job.Cancelled
		}
		g.Expect(f.phase(job.ID(fmt.Sprint("job-", i)))).To(gomega.Equal(want), "job %d", i)
	}
}

// storeLimits are the sizes that [standin.KeyValue] accepts.
var storeLimits = store.Limits{KeyBytes: 200, ValueBytes: 1 << 20}

// TestListedVMsWithLongTexts guards against entries in the list of VMs that make a record of the
// fleet longer than the store takes: one or several, whichever text is long, with signs that are
// escaped or not.
func TestListedVMsWithLongTexts(t *testing.T) {
	long := func(n int) string { return strings.Repeat("x", n) }
	for _, c := range []struct {
		name  string
		count int
		odd   schedule.VM
	}{
		{"labels", 1, schedule.VM{Pool: "p", Labels: slices.Repeat([]string{`<a href="/">&nbsp;7</a>`}, 28_000)}},
		{"plain labels of several", 64, schedule.VM{Pool: "p", Labels: []string{long(300_000), long(300_000)}}},
		{"data centres of several", 64, schedule.VM{Pool: "p", Centre: long(600_000)}},
		{"data centres of several, draining", 64, schedule.VM{Pool: "p", Centre: long(600_000), Draining: true}},
		{"pool", 1, schedule.VM{Pool: long(900_000)}},
		{"pools of several", 64, schedule.VM{Pool: long(300_000)}},
		{"pool that needs escapes", 1, schedule.VM{Pool: strings.Repeat("<", 600_000)}},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				k := standin.NewKeyValue()
				f := newFixture(t, k, k, storeLimits, 4)
				list := slices.Clone(f.listed)
				for i := range c.count {
					odd := c.odd
					odd.ID, odd.Address, odd.Capacity = fmt.Sprint("odd-", i), f.listed[0].Address, f.listed[0].Capacity
					list = append(list, odd)
				}
				f.SetVMs(list)
				checkNeighbours(f)
				g := gomega.NewWithT(t)
				g.Expect(k.Invalid()).To(gomega.BeZero())
				g.Expect(f.Deferred()).To(gomega.BeZero())
				synctest.Wait()
			})
		})
	}
}

// TestJobsLongerAsRecords guards against jobs of legal size that are not recorded because signs
// are escaped, and against those that are too long all the same and wait until their deadline.
func TestJobsLongerAsRecords(t *testing.T) {
	labelled := func(id, label string, steps int) *job.Job {
		j := plainJob(id, 1, time.Second)
		j.Steps = slices.Repeat(j.Steps, steps)
		for i := range j.Steps {
			j.Steps[i].Image = label
		}
		return j
	}
	for _, c := range []struct {
		name    string
		job     *job.Job
		outcome owner.Outcome
	}{
		{"signs of HTML", labelled("long", strings.Repeat("<&>", 400), 200), owner.Done},
		{"line separators", labelled("long", strings.Repeat("\u2028", 400), 200), owner.Done},
		{"control signs", labelled("long", strings.Repeat("\x01", 1000), 200), owner.Invalid},
		{"plain texts", labelled("long", strings.Repeat("x", 6000), 200), owner.Invalid},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := gomega.NewWithT(t)
				k := standin.NewKeyValue()
				f := newFixture(t, k, k, storeLimits, 4)
				began := time.Now()
				neighbour := make(chan owner.Answer, 1)
				go func() { neighbour <- f.submit(plainJob("neighbour", 1, time.Second)) }()
				answer := f.submit(c.job)
				g.Expect(answer.Outcome).To(gomega.Equal(c.outcome), answer.Reason)
				g.Expect(time.Since(began)).To(gomega.BeNumerically("<", 100*time.Millisecond))
				g.Expect(<-neighbour).To(gomega.HaveField("Outcome", owner.Done))
				g.Expect(k.Invalid()).To(gomega.BeZero())
				if c.outcome == owner.Invalid {
					g.Expect(answer.Reason).To(gomega.ContainSubstring("limit 1048576"))
					g.Expect(answer.Retry).To(gomega.BeZero())
					g.Expect(f.Show("long", owner.Scope{}).Outcome).To(gomega.Equal(owner.NoJob))
				}
				synctest.Wait()
			})
		})
	}
}

// slowLink is a store behind a link of 10 Mbit/s.
type slowLink struct {
	store.Store
	mu sync.Mutex
}

func (s *slowLink) Commit(ctx context.Context, t store.Txn) (int64, error) {
	bytes := 0
	for _, p := range t.Puts {
		bytes += len(p.Value) * 4 / 3
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	select {
	case <-time.After(time.Duration(bytes) * 8 * time.Second / 10e6):
	case <-ctx.Done():
		return 0, &store.Uncertain{Call: "commit", Cause: ctx.Err()}
	}
	return s.Store.Commit(ctx, t)
}

// TestLongJobsOverSlowLink guards against a commit of many jobs, each of a legal size, that does not
// get through the link of the owner in the time of an attempt, so that nothing is ever recorded.
func TestLongJobsOverSlowLink(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		const jobs = 12
		k := standin.NewKeyValue()
		f := newFixture(t, &slowLink{Store: k}, k, storeLimits, 4)
		g.Expect(f.submit(plainJob("first", 1, time.Minute)).Outcome).To(gomega.Equal(owner.Done))
		answers := make(chan owner.Answer, jobs)
		for i := range jobs {
			j := plainJob(fmt.Sprint("long-", i), 1, time.Second)
			j.Steps[0].Image = strings.Repeat("x", 240_000)
			go func() { answers <- f.submit(j) }()
		}
		time.Sleep(100 * time.Millisecond)
		g.Expect(f.cancel("first").Outcome).To(gomega.Equal(owner.Done))
		accepted := 0
		for range jobs {
			if (<-answers).Outcome == owner.Done {
				accepted++
			}
		}
		g.Expect(accepted).To(gomega.BeNumerically(">", jobs/2))
		time.Sleep(3 * time.Second)
		g.Expect(f.submit(plainJob("last", 1, time.Second)).Outcome).To(gomega.Equal(owner.Done))
		synctest.Wait()
	})
}
