package owner_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/onsi/gomega"

	"almondcove/ledger"
	"almondcove/owner"
	"almondcove/schedule"
	"almondcove/shard"
	"almondcove/standin"
	"almondcove/store"
)

// silentStore is a store whose Range calls are never answered.
type silentStore struct {
	store.Store
}

func (silentStore) Range(ctx context.Context, _ string) ([]store.Item, int64, error) {
	<-ctx.Done()
	return nil, 0, &store.Uncertain{Call: "range", Cause: ctx.Err()}
}

// TestRecordsOutOfReach guards against jobs that stay without a working owner when an
// elected entry can't read the records. The entry must step down within 9 s, which
// allows for two attempts of 4 s each, so that another entry can own the jobs.
func TestRecordsOutOfReach(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		reasons := make(chan string, 1)
		o := owner.New(owner.Config{
			Ledger:         ledger.New(ledger.Config{Store: silentStore{}, Run: "a"}),
			HoldsOwnership: func() bool { return true },
			Machines:       standin.NewMachines(standin.MachinesConfig{}),
			ReportWaves:    func(context.Context, []schedule.WaveState) error { return nil },
			StepDown:       func(reason string) { reasons <- reason },
			Log:            hclog.NewNullLogger(),
		})
		defer o.Close()
		o.SetView(schedule.View{})
		o.Elected(shard.Term{Epoch: 1})
		time.Sleep(9 * time.Second)
		g.Expect(reasons).To(gomega.Receive(gomega.Equal("records not read")))
	})
}

// TestOwnerWithoutConfiguration guards against an owner that acts before it has the
// operators' configuration, when it doesn't know where tasks may run. It must answer
// as the owner only after SetView.
func TestOwnerWithoutConfiguration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		o := owner.New(owner.Config{
			Ledger:         ledger.New(ledger.Config{Store: standin.NewKeyValue(), Run: "a"}),
			HoldsOwnership: func() bool { return true },
			Machines:       standin.NewMachines(standin.MachinesConfig{}),
			ReportWaves:    func(context.Context, []schedule.WaveState) error { return nil },
			Log:            hclog.NewNullLogger(),
		})
		defer o.Close()
		o.Elected(shard.Term{Epoch: 1})
		time.Sleep(time.Second)
		g.Expect(o.Show("1").Outcome).To(gomega.Equal(owner.NotOwner))
		o.SetView(schedule.View{})
		time.Sleep(time.Second)
		g.Expect(o.Show("1").Outcome).To(gomega.Equal(owner.NoJob))
	})
}
