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
	"almondcove/standin"
	"almondcove/store"
)

// TestAdvisedQueue: the tasks of a queue whose VMs another service chooses run.
func TestAdvisedQueue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		s := newSite(t, 2, 2)
		defer s.stop()
		time.Sleep(3 * time.Second)
		j := s.job("1", 3)
		j.Queue = "advised"
		g.Expect(s.nodes[0].Submit(t.Context(), j).Outcome).To(gomega.Equal(owner.Done))
		time.Sleep(4 * time.Second)
		g.Expect(s.show(1, "1").Phase).To(gomega.Equal(job.Completed))
	})
}

// TestEndedJobsTakeLittleRoom: what was handed in with a job is not kept once the
// job has ended, and its phase still is, also for the next owner.
func TestEndedJobsTakeLittleRoom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		s := newSite(t, 2, 2)
		defer s.stop()
		time.Sleep(3 * time.Second)
		g.Expect(s.submit(0, "1")).To(gomega.Equal(owner.Done))
		time.Sleep(4 * time.Second)
		items, _, err := s.kv.Range(t.Context(), "own/")
		g.Expect(err).NotTo(gomega.HaveOccurred())
		for _, it := range items {
			g.Expect(it.Key).NotTo(gomega.HavePrefix("own/job/"))
			if strings.HasPrefix(it.Key, "own/state/") {
				g.Expect(len(it.Value)).To(gomega.BeNumerically("<", 100))
			}
		}
		for i := range s.nodes {
			s.restart(i)
			time.Sleep(3 * time.Second)
			g.Expect(s.show(1-i, "1").Phase).To(gomega.Equal(job.Completed))
			g.Expect(s.submit(1-i, "1")).To(gomega.Equal(owner.Done), "the same job again")
		}
	})
}

// slowCommits is a store that may take its time to commit.
type slowCommits struct {
	store.Store
	slow atomic.Bool
}

func (s *slowCommits) Commit(ctx context.Context, t store.Txn) (int64, error) {
	if s.slow.Load() {
		time.Sleep(200 * time.Millisecond)
	}
	return s.Store.Commit(ctx, t)
}

// TestHandoverAfterOutage: an owner that leaves right after an outage of the store
// records all ends that it knows of first. Their VMs may be cut off from the next
// owner, which would start the tasks again.
func TestHandoverAfterOutage(t *testing.T) {
	const jobs = 120
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		s := newSite(t, 0, 30)
		defer s.stop()
		slow := &slowCommits{Store: s.kv}
		s.store = slow
		s.nodes = append(s.nodes, s.start(0, "a"))
		time.Sleep(3 * time.Second)
		s.nodes = append(s.nodes, s.start(1, "a"))
		time.Sleep(3 * time.Second)
		var all sync.WaitGroup
		for i := range jobs {
			all.Go(func() { s.submit(0, job.ID(fmt.Sprint("job-", i))) })
		}
		all.Wait()
		s.kv.Set(standin.Refuse)
		time.Sleep(5 * time.Second)
		for _, w := range s.workers {
			g.Expect(w.Running()).To(gomega.BeEmpty())
		}
		slow.slow.Store(true)
		s.kv.Set(standin.Sound)
		// By then the owner has its lease again.
		time.Sleep(time.Second)
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		defer cancel()
		g.Expect(s.nodes[0].Leave(ctx)).To(gomega.Succeed())
		items, _, err := s.kv.Range(t.Context(), "own/job/")
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(items).To(gomega.BeEmpty(), "jobs that have ended, but not by the records")
	})
}

// TestStrongerEntry: an entry that owns the jobs hands them to one that is much
// stronger, once that has come, and what runs goes on.
func TestStrongerEntry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		s := newSite(t, 0, 2)
		defer s.stop()
		s.power = 200
		s.nodes = append(s.nodes, s.start(0, "a"))
		time.Sleep(3 * time.Second)
		g.Expect(s.submit(0, "1")).To(gomega.Equal(owner.Done))
		s.power = 800
		s.nodes = append(s.nodes, s.start(1, "a"))
		time.Sleep(6 * time.Second)
		g.Expect(s.submit(0, "2")).To(gomega.Equal(owner.Done))
		owns, err := s.kv.Get(t.Context(), "own/live/owner")
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(string(owns.Value)).To(gomega.ContainSubstring(`"entry-1"`))
		time.Sleep(4 * time.Second)
		for _, id := range []job.ID{"1", "2"} {
			g.Expect(s.show(0, id).Phase).To(gomega.Equal(job.Completed))
		}
	})
}
