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
	"almondcove/schedule"
	"almondcove/standin"
	"almondcove/store"
)

// answerVisible is how long after its acceptance a job may be unknown, and how long after the
// acknowledgement of its cancelling tasks of it may start.
const answerVisible = 3 * time.Second

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

// TestCommitInDoubt guards against an owner that denies a job, and so confirms that it is
// cancelled, although the commit whose answer was lost has recorded the job: the next owner
// would run it. The length of the outage decides which of the owner's calls comes first after it.
func TestCommitInDoubt(t *testing.T) {
	for length := 3 * time.Second; length < 4500*time.Millisecond; length += 50 * time.Millisecond {
		t.Run(length.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { checkCommitInDoubt(t, length) })
		})
	}
}

func checkCommitInDoubt(t *testing.T, length time.Duration) {
	g := gomega.NewWithT(t)
	s := newSystem(t, 0, 2)
	defer s.stopAndCheck()
	var cancelled atomic.Bool
	s.started = func(_ int, a schedule.Start) {
		if cancelled.Load() {
			t.Errorf("%v starts after its cancelling was acknowledged", a.Run)
		}
	}
	silent := &silentCommits{Store: s.kv}
	s.store = silent
	s.nodes = append(s.nodes, s.startEntry(0, "a"))
	time.Sleep(3 * time.Second)

	recordKey := "own/job/1"
	silent.silenced.Store(&recordKey)
	answers := make(chan owner.Outcome, 1)
	go func() { answers <- s.submit(0, "1") }()
	time.Sleep(20 * time.Millisecond)
	g.Expect(silent.silenced.Load()).To(gomega.BeNil(), "the job is recorded")
	s.kv.SetFault(standin.KeyValueDropsRequests)
	time.Sleep(length)
	s.kv.SetFault(standin.KeyValueHealthy)
	first := <-answers

	a := owner.Answer{Outcome: owner.Unsettled}
	for a.Outcome != owner.Done && a.Outcome != owner.NoJob {
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		a = s.nodes[0].Cancel(ctx, "1", owner.Scope{})
		cancel()
		time.Sleep(100 * time.Millisecond)
	}
	g.Expect(first).To(gomega.Equal(owner.Unsettled))
	time.Sleep(answerVisible)
	cancelled.Store(true)
	s.restartEntry(0)
	time.Sleep(6 * time.Second)
	g.Expect(s.show(0, "1").Phase).NotTo(gomega.Equal(job.Completed))
}
