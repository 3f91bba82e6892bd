package owner_test

import (
	"context"
	"encoding/json"
	"net/netip"
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
	"almondcove/shard"
	"almondcove/standin"
	"almondcove/store"
)

// oneVM sends all orders to one stand-in VM.
type oneVM struct {
	worker *standin.Worker
	step   job.Step
	starts atomic.Int64
}

func (v *oneVM) Hold(_ context.Context, _ schedule.VM, h schedule.Hold) (schedule.Report, schedule.Result) {
	time.Sleep(time.Millisecond)
	return v.worker.Hold(h, time.Now())
}

func (v *oneVM) Start(_ context.Context, _ schedule.VM, s schedule.Start) schedule.Result {
	v.starts.Add(1)
	return v.worker.Start(s, v.step, time.Second, time.Now())
}

func (v *oneVM) Stop(_ context.Context, _ schedule.VM, s schedule.Stop) schedule.Result {
	return v.worker.Stop(s)
}

func (*oneVM) Pace(context.Context, schedule.VM, schedule.Pace) schedule.Result {
	return schedule.Accepted
}

// elect has an owner elected, and records that in k.
func elect(t *testing.T, o *owner.Owner, k *standin.KeyValue, epoch int64) {
	g := gomega.NewWithT(t)
	item, err := k.Get(t.Context(), ledger.TailKey("t/"))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	replaced := ledger.Tail{}
	if item.Rev != 0 {
		g.Expect(json.Unmarshal(item.Value, &replaced)).To(gomega.Succeed())
	}
	tail := ledger.Tail{Run: "a", Epoch: epoch, Count: replaced.Count}
	value, err := json.Marshal(tail)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	rev, err := k.Commit(t.Context(), store.Txn{Puts: []store.Put{{Key: ledger.TailKey("t/"), Value: value}}})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	o.Elected(shard.Term{Epoch: epoch, Replaced: replaced, Tail: ledger.StoredTail{Tail: tail, Rev: rev}})
	time.Sleep(time.Second)
}

// TestReelectionBeforeList guards against starts by a list of VMs from before a reelection:
// a VM may have shrunk since. A list that arrives late, after the end of the earlier term,
// is such a list, too.
func TestReelectionBeforeList(t *testing.T) {
	for _, c := range []struct {
		name string
		late bool
	}{{"no list", false}, {"late list", true}} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { checkReelectionBeforeList(t, c.late) })
		})
	}
}

func checkReelectionBeforeList(t *testing.T, late bool) {
	g := gomega.NewWithT(t)
	k, checker := standin.NewKeyValue(), standin.NewChecker()
	listed := schedule.VM{
		ID: "vm", Pool: "p", Centre: "east", Capacity: job.Resources{CPU: 2000, Memory: 2000},
		Address: netip.MustParseAddrPort("10.0.0.1:80"), Born: time.Now(),
	}
	vm := &oneVM{worker: standin.NewWorker(listed, checker, time.Now()), step: job.Step{Count: 1, Need: job.Resources{CPU: 1000}}}
	var deposed atomic.Bool
	o := owner.New(owner.Config{
		Ledger:         ledger.New(ledger.Config{Store: k, Prefix: "t/", Run: "a"}),
		Schedule:       schedule.Config{Retention: time.Minute, MaxLease: 6 * time.Second},
		HoldsOwnership: func() bool { return !deposed.Load() },
		VMs:            vm,
		Machines:       standin.NewMachines(standin.MachinesConfig{}),
		ReportWaves:    func(context.Context, []schedule.WaveState) error { return nil },
		Committed:      func(time.Duration, error) {},
		Ordered:        func(string, string) {},
		Log:            hclog.NewNullLogger(),
	})
	defer o.Close()
	view := schedule.View{Queues: map[string]schedule.Queue{"q": {Name: "q", Pool: "p"}}, CentresOut: map[string]bool{"east": true}}
	o.SetView(view)
	elect(t, o, k, 1)
	o.SetVMs([]schedule.VM{listed})
	time.Sleep(time.Second)
	g.Expect(o.Submit(t.Context(), &job.Job{ID: "1", Queue: "q", Steps: []job.Step{vm.step}}).Outcome).To(gomega.Equal(owner.Done))
	deposed.Store(true)
	o.Deposed(1)
	vm.worker.SetCapacity(job.Resources{})
	if late {
		o.SetVMs([]schedule.VM{listed})
	}
	view.CentresOut = nil
	o.SetView(view)
	deposed.Store(false)
	elect(t, o, k, 2)
	g.Expect(vm.starts.Load()).To(gomega.BeZero(), "the list of this term has not arrived")
	vm.worker.SetCapacity(listed.Capacity)
	o.SetVMs([]schedule.VM{listed})
	time.Sleep(time.Second)
	g.Expect(vm.starts.Load()).To(gomega.Equal(int64(1)))
	g.Expect(checker.Violations()).To(gomega.BeEmpty())
}
