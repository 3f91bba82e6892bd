package owner_test

import (
	"context"
	"fmt"
	"net/netip"
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

// slowCommits is a store whose transactions take that long.
type slowCommits struct {
	store.Store
	delay time.Duration
}

func (s slowCommits) Commit(ctx context.Context, t store.Txn) (int64, error) {
	time.Sleep(s.delay)
	return s.Store.Commit(ctx, t)
}

// oneOfManyVMs is like oneVM, but the VMs with other ids don't answer.
type oneOfManyVMs struct {
	oneVM
	id string
}

func (v *oneOfManyVMs) Hold(ctx context.Context, vm schedule.VM, h schedule.Hold) (schedule.Report, schedule.Result) {
	if vm.ID != v.id {
		time.Sleep(time.Millisecond)
		return schedule.Report{}, schedule.Unanswered
	}
	v.worker.Advance(time.Now())
	return v.oneVM.Hold(ctx, vm, h)
}

// TestEndsAreRecordedUnderLoad guards against completed jobs that are not shown as completed
// for as long as new jobs arrive and VMs change faster than a slow store records them.
func TestEndsAreRecordedUnderLoad(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		k := standin.NewKeyValue()
		listed := schedule.VM{
			ID: "vm", Pool: "p", Capacity: job.Resources{CPU: 1_000_000, Memory: 1_000_000},
			Address: netip.MustParseAddrPort("10.0.0.1:80"), Born: time.Now(),
		}
		vms := &oneOfManyVMs{id: "vm", oneVM: oneVM{
			worker: standin.NewWorker(listed, standin.NewChecker(), time.Now()), step: job.Step{Count: 1, Need: job.Resources{CPU: 1}},
		}}
		o := owner.New(owner.Config{
			Ledger:         ledger.New(ledger.Config{Store: slowCommits{k, 250 * time.Millisecond}, Prefix: "t/", Run: "a"}),
			Schedule:       schedule.Config{Retention: time.Minute, MaxLease: 6 * time.Second},
			HoldsOwnership: func() bool { return true },
			VMs:            vms,
			Machines:       standin.NewMachines(standin.MachinesConfig{}),
			ReportWaves:    func(context.Context, []schedule.WaveState) error { return nil },
			Committed:      func(time.Duration, error) {},
			Ordered:        func(string, string) {},
			Log:            hclog.NewNullLogger(),
		})
		defer o.Close()
		o.SetView(schedule.View{Queues: map[string]schedule.Queue{"q": {Name: "q", Pool: "p"}}, Pools: []string{"r"}})
		elect(t, o, k, 1)
		o.SetVMs([]schedule.VM{listed})
		time.Sleep(2 * time.Second)

		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		accepted := make(chan job.ID, 10000)
		began := time.Now()
		for round := 0; time.Since(began) < 8*time.Second; round++ {
			list := []schedule.VM{listed}
			for i := range 64 {
				list = append(list, schedule.VM{ID: fmt.Sprintf("other-%d-%d", round, i), Pool: "r", Address: listed.Address})
			}
			o.SetVMs(list)
			for i := range 15 {
				go func() {
					id := job.ID(fmt.Sprintf("%d-%d", round, i))
					j := &job.Job{ID: id, Queue: "q", Steps: []job.Step{vms.step}}
					if o.Submit(ctx, j).Outcome == owner.Done && time.Since(began) < 3*time.Second {
						accepted <- id
					}
				}()
			}
			time.Sleep(100 * time.Millisecond)
		}
		g.Expect(accepted).NotTo(gomega.BeEmpty())
		for range len(accepted) {
			id := <-accepted
			// Five seconds after its acceptance, a job of one task of one second.
			g.Expect(o.Show(id, owner.Scope{}).Phase).To(gomega.Equal(job.Completed), "%s", id)
		}
		cancel()
		synctest.Wait()
	})
}
