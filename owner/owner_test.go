package owner_test

import (
	"context"
	"encoding/json"
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

// silentStore is a store whose ReadPage calls are never answered.
type silentStore struct {
	store.Store
}

func (silentStore) ReadPage(ctx context.Context, _, _ string) (store.Page, error) {
	<-ctx.Done()
	return store.Page{}, &store.Uncertain{Call: "range", Cause: ctx.Err()}
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

// startOwner starts an owner of the first epoch whose records are in k.
func startOwner(t *testing.T, k *standin.KeyValue) *owner.Owner {
	l := ledger.New(ledger.Config{Store: k, Prefix: "t/", Run: "a"})
	o := owner.New(owner.Config{
		Ledger:         l,
		Schedule:       schedule.Config{Retention: time.Minute},
		HoldsOwnership: func() bool { return true },
		Machines:       standin.NewMachines(standin.MachinesConfig{}),
		ReportWaves:    func(context.Context, []schedule.WaveState) error { return nil },
		Committed:      func(time.Duration, error) {},
		Log:            hclog.NewNullLogger(),
	})
	t.Cleanup(o.Close)
	o.SetView(schedule.View{Queues: map[string]schedule.Queue{"q": {Name: "q", Pool: "p"}}})
	tail := ledger.Tail{Run: "a", Epoch: 1}
	value, err := json.Marshal(tail)
	gomega.NewWithT(t).Expect(err).NotTo(gomega.HaveOccurred())
	rev, err := k.Commit(t.Context(), store.Txn{Puts: []store.Put{{Key: ledger.TailKey("t/"), Value: value}}})
	gomega.NewWithT(t).Expect(err).NotTo(gomega.HaveOccurred())
	o.Elected(shard.Term{Epoch: 1, Tail: ledger.StoredTail{Tail: tail, Rev: rev}})
	time.Sleep(time.Second)
	return o
}

// TestCancelAfterDeposition guards against a cancellation that waits for a commit
// which this process will never make because it no longer owns the jobs.
func TestCancelAfterDeposition(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		k := standin.NewKeyValue()
		o := startOwner(t, k)
		j := &job.Job{ID: "1", Queue: "q", Steps: []job.Step{{Count: 1}}}
		answer := o.Submit(t.Context(), j)
		g.Expect(answer.Outcome).To(gomega.Equal(owner.Done), answer.Reason)
		k.SetFault(standin.KeyValueDropsRequests)
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		answers := make(chan owner.Answer, 1)
		go func() { answers <- o.Cancel(ctx, "1", owner.Scope{}) }()
		time.Sleep(time.Second)
		o.Deposed(1)
		time.Sleep(time.Millisecond)
		g.Expect(answers).To(gomega.Receive(gomega.HaveField("Outcome", owner.Unsettled)))
		cancel()
		synctest.Wait()
	})
}

// TestScope guards against callers who see or cancel the jobs of other teams and
// queues, also after a job has ended and a new owner has read its record.
func TestScope(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		k := standin.NewKeyValue()
		o := startOwner(t, k)
		j := &job.Job{ID: "1", Queue: "q", Team: "x", Steps: []job.Step{{Count: 1}}}
		g.Expect(o.Submit(t.Context(), j).Outcome).To(gomega.Equal(owner.Done))
		expectVisible := func(o *owner.Owner) {
			for _, c := range []struct {
				scope   owner.Scope
				outcome owner.Outcome
			}{
				{owner.Scope{Queue: "q", Team: "x"}, owner.Done},
				{owner.Scope{Queue: "q"}, owner.Done},
				{owner.Scope{Queue: "q", Team: "y"}, owner.NoJob},
				{owner.Scope{Queue: "r", Team: "x"}, owner.NoJob},
			} {
				g.Expect(o.Show("1", c.scope).Outcome).To(gomega.Equal(c.outcome), "%+v", c.scope)
			}
		}
		expectVisible(o)
		g.Expect(o.Cancel(t.Context(), "1", owner.Scope{Queue: "q", Team: "y"}).Outcome).To(gomega.Equal(owner.NoJob))
		g.Expect(o.Show("1", owner.Scope{}).Phase).To(gomega.Equal(job.Pending))
		g.Expect(o.Cancel(t.Context(), "1", owner.Scope{Queue: "q", Team: "x"}).Outcome).To(gomega.Equal(owner.Done))
		expectVisible(o)
		o.Deposed(1)
		expectVisible(startOwner(t, k))
	})
}

// TestDepositionOutOfOrder guards against the end of a term that is reported after the
// next term has begun, or before the term itself: it must end its own term only.
func TestDepositionOutOfOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		k := standin.NewKeyValue()
		o := startOwner(t, k)
		// The owner may have made a commit since its election.
		stored, err := k.Get(t.Context(), ledger.TailKey("t/"))
		g.Expect(err).NotTo(gomega.HaveOccurred())
		var replaced ledger.Tail
		g.Expect(json.Unmarshal(stored.Value, &replaced)).To(gomega.Succeed())
		o.Elected(shard.Term{Epoch: 3, Replaced: replaced})
		o.Deposed(1)
		g.Expect(o.Show("1", owner.Scope{}).Outcome).To(gomega.Equal(owner.NoJob), "the later term goes on")
		o.Deposed(4)
		o.Elected(shard.Term{Epoch: 4, Replaced: ledger.Tail{Run: "a", Epoch: 3}})
		time.Sleep(time.Second)
		g.Expect(o.Show("1", owner.Scope{}).Outcome).To(gomega.Equal(owner.NotOwner), "the term has ended before it began")
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
		g.Expect(o.Show("1", owner.Scope{}).Outcome).To(gomega.Equal(owner.NotOwner))
		o.SetView(schedule.View{})
		time.Sleep(time.Second)
		g.Expect(o.Show("1", owner.Scope{}).Outcome).To(gomega.Equal(owner.NoJob))
	})
}
