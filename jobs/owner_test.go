package jobs_test

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"almondcove/job"
	"almondcove/owner"
	"almondcove/schedule"
	"almondcove/standin"
	"almondcove/store"
)

// TestAdvisedQueue checks that tasks run in a queue for which the advice service
// decides which VMs may run them.
func TestAdvisedQueue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		s := newSystem(t, 2, 2)
		defer s.stopAndCheck()
		time.Sleep(3 * time.Second)
		j := s.job("1", 3)
		j.Queue = "advised"
		g.Expect(s.nodes[0].Submit(t.Context(), j).Outcome).To(gomega.Equal(owner.Done))
		time.Sleep(4 * time.Second)
		g.Expect(s.show(1, "1").Phase).To(gomega.Equal(job.Completed))
	})
}

// TestEndedJobsTakeLittleRoom guards against records of ended jobs that fill the
// store: once a job has ended, what the caller submitted is removed, while the phase
// is kept, also for the next owner.
func TestEndedJobsTakeLittleRoom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		s := newSystem(t, 2, 2)
		defer s.stopAndCheck()
		time.Sleep(3 * time.Second)
		g.Expect(s.submit(0, "1")).To(gomega.Equal(owner.Done))
		time.Sleep(4 * time.Second)
		items, _, err := store.ReadAll(t.Context(), s.kv, "own/")
		g.Expect(err).NotTo(gomega.HaveOccurred())
		for _, it := range items {
			g.Expect(it.Key).NotTo(gomega.HavePrefix("own/job/"))
			if strings.HasPrefix(it.Key, "own/state/") {
				g.Expect(len(it.Value)).To(gomega.BeNumerically("<", 100))
			}
		}
		for i := range s.nodes {
			s.restartEntry(i)
			time.Sleep(3 * time.Second)
			g.Expect(s.show(1-i, "1").Phase).To(gomega.Equal(job.Completed))
			g.Expect(s.submit(1-i, "1")).To(gomega.Equal(owner.Done), "the same job submitted again")
		}
	})
}

// slowStore is a store whose commits are delayed while slow is set.
type slowStore struct {
	store.Store
	slow atomic.Bool
}

func (s *slowStore) Commit(ctx context.Context, t store.Txn) (int64, error) {
	if s.slow.Load() {
		time.Sleep(200 * time.Millisecond)
	}
	return s.Store.Commit(ctx, t)
}

// TestHandoverAfterOutage guards against tasks that run again after a hand-over. An
// owner that leaves right after an outage of the store must first record all ends
// of runs that it knows of: the next owner may be cut off from the VMs that listed
// them and would start the tasks again.
func TestHandoverAfterOutage(t *testing.T) {
	const jobCount = 120
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		s := newSystem(t, 0, 30)
		defer s.stopAndCheck()
		slow := &slowStore{Store: s.kv}
		s.store = slow
		s.nodes = append(s.nodes, s.startEntry(0, "a"))
		time.Sleep(3 * time.Second)
		s.nodes = append(s.nodes, s.startEntry(1, "a"))
		time.Sleep(3 * time.Second)
		var submissions sync.WaitGroup
		for i := range jobCount {
			submissions.Go(func() { s.submit(0, job.ID(fmt.Sprint("job-", i))) })
		}
		submissions.Wait()
		s.kv.SetFault(standin.KeyValueRefuses)
		time.Sleep(5 * time.Second)
		for _, w := range s.workers {
			g.Expect(w.Running()).To(gomega.BeEmpty())
		}
		slow.slow.Store(true)
		s.kv.SetFault(standin.KeyValueHealthy)
		// The owner regains its lease within this time.
		time.Sleep(time.Second)
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		defer cancel()
		g.Expect(s.nodes[0].Leave(ctx)).To(gomega.Succeed())
		items, _, err := store.ReadAll(t.Context(), s.kv, "own/job/")
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(items).To(gomega.BeEmpty(), "jobs that have ended but are not recorded as ended")
	})
}

// TestStrongerEntry checks that an owner hands the ownership over once a much more
// powerful entry has joined, and that running tasks continue.
func TestStrongerEntry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		s := newSystem(t, 0, 2)
		defer s.stopAndCheck()
		s.entryPower = 200
		s.nodes = append(s.nodes, s.startEntry(0, "a"))
		time.Sleep(3 * time.Second)
		g.Expect(s.submit(0, "1")).To(gomega.Equal(owner.Done))
		s.entryPower = 800
		s.nodes = append(s.nodes, s.startEntry(1, "a"))
		time.Sleep(6 * time.Second)
		g.Expect(s.submit(0, "2")).To(gomega.Equal(owner.Done))
		ownerItem, err := s.kv.Get(t.Context(), "own/live/owner")
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(string(ownerItem.Value)).To(gomega.ContainSubstring(`"entry-1"`))
		time.Sleep(4 * time.Second)
		for _, id := range []job.ID{"1", "2"} {
			g.Expect(s.show(0, id).Phase).To(gomega.Equal(job.Completed))
		}
	})
}

// TestHandoverDuringOutage guards against an owner that begins to hand over to a stronger
// entry while the store is away: it can't record anything for the next owner, and it stops
// starting tasks and requesting pledges.
func TestHandoverDuringOutage(t *testing.T) {
	const steps = 20
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		s := newSystem(t, 0, 2)
		defer s.stopAndCheck()
		s.entryPower = 200
		s.nodes = append(s.nodes, s.startEntry(0, "a"))
		time.Sleep(1500 * time.Millisecond)
		s.entryPower = 800
		s.nodes = append(s.nodes, s.startEntry(1, "a"))
		time.Sleep(time.Second)
		j := s.chain("1", steps)
		g.Expect(s.nodes[0].Submit(t.Context(), j).Outcome).To(gomega.Equal(owner.Done))
		time.Sleep(500 * time.Millisecond)
		s.kv.SetFault(standin.KeyValueDropsRequests)
		g.Expect(s.longestIdle(7 * time.Second)).To(gomega.BeNumerically("<", time.Second))
		s.kv.SetFault(standin.KeyValueHealthy)
		time.Sleep(20 * time.Second)
		g.Expect(s.show(0, "1").Phase).To(gomega.Equal(job.Completed))
		ownerItem, err := s.kv.Get(t.Context(), "own/live/owner")
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(string(ownerItem.Value)).To(gomega.ContainSubstring(`"entry-1"`))
	})
}

// TestOwnerReplacedAfterOutage guards against an owner that is replaced after an outage of
// the store, through which it has acted on pledges, by an entry that has started meanwhile.
func TestOwnerReplacedAfterOutage(t *testing.T) {
	const steps = 20
	for phase := range 6 {
		lead := time.Duration(phase) * 200 * time.Millisecond
		t.Run(lead.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := gomega.NewWithT(t)
				s := newSystem(t, 0, 2)
				defer s.stopAndCheck()
				var links []*standin.StoreLink
				start := func(i int) {
					links = append(links, standin.NewStoreLink(s.kv))
					s.store = links[i]
					s.nodes = append(s.nodes, s.startEntry(i, "a"))
				}
				start(0)
				time.Sleep(time.Second)
				start(1)
				time.Sleep(2 * time.Second)
				g.Expect(s.nodes[0].Submit(t.Context(), s.chain("1", steps)).Outcome).To(gomega.Equal(owner.Done))
				s.kv.SetFault(standin.KeyValueDropsRequests)
				time.Sleep(time.Second)
				start(2)
				time.Sleep(4 * time.Second)
				s.kv.ExpireLeases()
				links[0].SetFault(standin.LinkLossy)
				links[1].SetFault(standin.LinkLossy)
				s.kv.SetFault(standin.KeyValueHealthy)
				time.Sleep(lead)
				links[0].SetFault(standin.LinkHealthy)
				links[1].SetFault(standin.LinkHealthy)
				g.Expect(s.longestIdle(8 * time.Second)).To(gomega.BeNumerically("<", time.Second))
				ownerItem, err := s.kv.Get(t.Context(), "own/live/owner")
				g.Expect(err).NotTo(gomega.HaveOccurred())
				g.Expect(string(ownerItem.Value)).To(gomega.ContainSubstring(`"entry-0"`))
				g.Expect(string(ownerItem.Value)).To(gomega.ContainSubstring(`"epoch":2`))
				time.Sleep(10 * time.Second)
				g.Expect(s.show(0, "1").Phase).To(gomega.Equal(job.Completed))
			})
		})
	}
}

// TestQueueDroppedAfterAcceptance guards against a job that nobody can go on with, because its
// queue is dropped right after the job was accepted and all entries start again: the queue is
// recorded no later than the job.
func TestQueueDroppedAfterAcceptance(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		s := newSystem(t, 2, 2)
		defer s.stopAndCheck()
		time.Sleep(3 * time.Second)
		g.Expect(s.nodes[0].Submit(t.Context(), s.chain("1", 4)).Outcome).To(gomega.Equal(owner.Done))
		s.putJSON("conf/view", schedule.View{
			Version: 2, Teams: map[string]schedule.Team{"team": {Name: "team", Weight: 1}},
		})
		for i := range s.nodes {
			s.restartEntry(i)
		}
		time.Sleep(10 * time.Second)
		g.Expect(s.show(0, "1").Phase).To(gomega.Equal(job.Completed))
		g.Expect(s.submit(0, "2")).To(gomega.Equal(owner.Refused), "a job on the queue that was dropped")
	})
}
