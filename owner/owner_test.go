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

// mute is a store that never answers.
type mute struct {
	store.Store
}

func (mute) Range(ctx context.Context, _ string) ([]store.Item, int64, error) {
	<-ctx.Done()
	return nil, 0, &store.Uncertain{Call: "range", Cause: ctx.Err()}
}

// TestRecordsOutOfReach: an owner that can't read the records gives up within
// the time of two tries, so that another entry may own the jobs.
func TestRecordsOutOfReach(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		given := make(chan string, 1)
		o := owner.New(owner.Config{
			Ledger:   ledger.New(ledger.Config{Store: mute{}, Run: "a"}),
			Valid:    func() bool { return true },
			Machines: standin.NewMachines(standin.MachinesConfig{}),
			Report:   func(context.Context, []schedule.WaveState) error { return nil },
			GiveUp:   func(reason string) { given <- reason },
			Log:      hclog.NewNullLogger(),
		})
		defer o.Close()
		o.SetView(schedule.View{})
		o.Elected(shard.Term{Epoch: 1})
		time.Sleep(9 * time.Second)
		g.Expect(given).To(gomega.Receive(gomega.Equal("records not read")))
	})
}

// TestOwnerWithoutConfiguration: an owner acts only once it knows the operators'
// configuration.
func TestOwnerWithoutConfiguration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		o := owner.New(owner.Config{
			Ledger:   ledger.New(ledger.Config{Store: standin.NewKeyValue(), Run: "a"}),
			Valid:    func() bool { return true },
			Machines: standin.NewMachines(standin.MachinesConfig{}),
			Report:   func(context.Context, []schedule.WaveState) error { return nil },
			Log:      hclog.NewNullLogger(),
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
