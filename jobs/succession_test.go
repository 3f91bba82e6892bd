package jobs_test

import (
	"context"
	"slices"
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

// silentCommits is the way of an entry to the store. The answer to the next transaction that
// writes the key silenced is lost.
type silentCommits struct {
	store.Store
	silenced atomic.Pointer[string]
}

func (s *silentCommits) Commit(ctx context.Context, t store.Txn) (int64, error) {
	rev, err := s.Store.Commit(ctx, t)
	key := s.silenced.Load()
	if key == nil || !slices.ContainsFunc(t.Puts, func(p store.Put) bool { return p.Key == *key }) {
		return rev, err
	}
	s.silenced.Store(nil)
	<-ctx.Done()
	return 0, &store.Uncertain{Call: "commit", Cause: ctx.Err()}
}

// TestStateOfEarlierTerm guards against an owner that goes on with the state of an earlier
// term, although another entry has owned the jobs since, because the answer to its election
// was lost.
func TestStateOfEarlierTerm(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		s := newSystem(t, 0, 2)
		defer s.stopAndCheck()
		link := standin.NewStoreLink(s.kv)
		silent := &silentCommits{Store: link}
		s.store = silent
		s.nodes = append(s.nodes, s.startEntry(0, "a"))
		time.Sleep(2 * time.Second)
		s.store = s.kv
		s.nodes = append(s.nodes, s.startEntry(1, "a"))
		time.Sleep(2 * time.Second)
		g.Expect(s.submit(0, "1")).To(gomega.Equal(owner.Done))

		// Entry 0 is cut off from all others, so that entry 1 is elected.
		link.SetFault(standin.LinkLossy)
		s.net.Partition(entryAddr(0), entryAddr(1))
		s.net.Partition(entryAddr(1), entryAddr(0))
		time.Sleep(4 * time.Second)
		g.Expect(s.submit(1, "2")).To(gomega.Equal(owner.Done))
		s.net.Heal()
		link.SetFault(standin.LinkHealthy)
		time.Sleep(4 * time.Second)

		ownerKey := "own/live/owner"
		silent.silenced.Store(&ownerKey)
		g.Expect(s.nodes[1].Leave(t.Context())).To(gomega.Succeed())
		time.Sleep(4 * time.Second)
		g.Expect(silent.silenced.Load()).To(gomega.BeNil(), "entry 0 was elected")
		for _, id := range []job.ID{"1", "2"} {
			a := s.show(0, id)
			g.Expect(a.Outcome).To(gomega.Equal(owner.Done), "job %s", id)
			g.Expect(a.Phase).To(gomega.Equal(job.Completed), "job %s", id)
		}
	})
}
