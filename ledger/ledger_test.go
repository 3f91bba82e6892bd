package ledger_test

import (
	"context"
	"encoding/json"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"
	"github.com/onsi/gomega"

	"almondcove/job"
	"almondcove/ledger"
	"almondcove/standin"
	"almondcove/store"
)

const prefix = "t/"

// writeTail writes the tail of a new owner, as an election does. It keeps the count
// of commits.
func writeTail(k *standin.KeyValue, run string, epoch int64) ledger.StoredTail {
	tail := ledger.Tail{Run: run, Epoch: epoch}
	if it, err := k.Get(context.Background(), ledger.TailKey(prefix)); err == nil && it.Rev > 0 {
		var lastTail ledger.Tail
		if json.Unmarshal(it.Value, &lastTail) == nil {
			tail.Count = lastTail.Count
		}
	}
	value, _ := json.Marshal(tail)
	rev, err := k.Commit(context.Background(), store.Txn{Puts: []store.Put{{Key: ledger.TailKey(prefix), Value: value}}})
	if err != nil {
		panic(err)
	}
	return ledger.StoredTail{Tail: tail, Rev: rev}
}

func newLedger(k *standin.KeyValue, run string, epoch int64) *ledger.Ledger {
	l := ledger.New(ledger.Config{Store: k, Prefix: prefix, Run: run})
	l.SetTail(writeTail(k, run, epoch))
	return l
}

func batchOf(id job.ID) ledger.Batch {
	return ledger.Batch{Jobs: []*job.Job{{ID: id, Queue: "q", Steps: []job.Step{{Count: 1}}}}}
}

func loadIDs(g *gomega.WithT, l *ledger.Ledger) []job.ID {
	snapshot, err := l.NewLoader().Load(context.Background())
	g.Expect(err).NotTo(gomega.HaveOccurred())
	var ids []job.ID
	for _, stored := range snapshot.Jobs {
		ids = append(ids, stored.Job.ID)
	}
	return ids
}

// TestFaultsOfACommit guards against batches that are lost or written twice when
// the store refuses a commit, doesn't answer it, loses the answer or applies it
// late. Each batch must be written exactly once, or Commit must report *Unwritten.
// The ledger must accept the next commit in either case.
func TestFaultsOfACommit(t *testing.T) {
	for _, c := range []struct {
		name      string
		fault     standin.KeyValueFault
		unwritten bool
	}{
		{"healthy", standin.KeyValueHealthy, false},
		{"refused", standin.KeyValueRefuses, true},
		{"unanswered", standin.KeyValueDropsRequests, false},
		{"lost", standin.KeyValueDropsResponses, false},
		{"late", standin.KeyValueDelaysCommits, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := gomega.NewWithT(t)
				k := standin.NewKeyValue()
				l := newLedger(k, "a", 1)
				k.SetFault(c.fault)
				time.AfterFunc(2*time.Second, func() { k.SetFault(standin.KeyValueHealthy) })
				err := l.Commit(t.Context(), batchOf("1"))
				time.Sleep(5 * time.Second)
				if c.unwritten {
					var refused *ledger.Unwritten
					g.Expect(errors.As(err, &refused)).To(gomega.BeTrue())
					g.Expect(loadIDs(g, l)).To(gomega.BeEmpty())
				} else {
					g.Expect(err).NotTo(gomega.HaveOccurred())
					g.Expect(loadIDs(g, l)).To(gomega.Equal([]job.ID{"1"}))
				}
				g.Expect(l.Commit(t.Context(), batchOf("2"))).To(gomega.Succeed(), "the ledger accepts further commits")
			})
		})
	}
}

// TestLateCommitOfADeposedOwner guards against a write by a replaced owner: the
// store applies a commit only after another process has written the tail. The
// commit must change nothing and must fail with *Deposed, and the new owner must be
// able to commit.
func TestLateCommitOfADeposedOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		k := standin.NewKeyValue()
		old := newLedger(k, "a", 1)
		k.SetFault(standin.KeyValueDelaysCommits)
		failed := make(chan error, 1)
		go func() { failed <- old.Commit(t.Context(), batchOf("1")) }()
		time.Sleep(time.Second)
		k.SetFault(standin.KeyValueHealthy)
		next := newLedger(k, "b", 2)
		time.Sleep(10 * time.Second)
		g.Expect(loadIDs(g, next)).To(gomega.BeEmpty())
		var deposed *ledger.Deposed
		g.Expect(errors.As(<-failed, &deposed)).To(gomega.BeTrue())
		g.Expect(deposed.Tail.Run).To(gomega.Equal("b"))
		g.Expect(next.Commit(t.Context(), batchOf("2"))).To(gomega.Succeed())
	})
}

// TestCommitOfAnEarlierTerm guards against a batch that is written under the tail of a
// later term of the same process. Another process has owned the ledger in between, so
// the batch may be older than what is recorded.
func TestCommitOfAnEarlierTerm(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		k := standin.NewKeyValue()
		link := standin.NewStoreLink(k)
		link.SetFault(standin.LinkLossy)
		l := ledger.New(ledger.Config{Store: link, Prefix: prefix, Run: "a"})
		l.SetTail(writeTail(k, "a", 1))
		failed := make(chan error, 1)
		go func() { failed <- l.Commit(t.Context(), batchOf("1")) }()
		time.Sleep(500 * time.Millisecond)
		other := newLedger(k, "b", 2)
		g.Expect(other.Commit(t.Context(), batchOf("2"))).To(gomega.Succeed())
		l.SetTail(writeTail(k, "a", 3))
		link.SetFault(standin.LinkHealthy)
		err := <-failed
		unsettled, _ := errors.Into[*ledger.Unsettled](err)
		ended, _ := errors.Into[*ledger.TermEnded](err)
		g.Expect(unsettled).NotTo(gomega.BeNil())
		g.Expect(ended).NotTo(gomega.BeNil())
		g.Expect(loadIDs(g, l)).To(gomega.Equal([]job.ID{"2"}))
		g.Expect(l.Commit(t.Context(), batchOf("3"))).To(gomega.Succeed())
	})
}

// TestState guards against loss of task results when an owner reloads the state
// of a job, such as completed tasks and counted failures.
func TestState(t *testing.T) {
	g := gomega.NewWithT(t)
	k := standin.NewKeyValue()
	l := newLedger(k, "a", 1)
	b := batchOf("1")
	b.Jobs[0].Steps[0].Count = 100
	s := job.NewState(b.Jobs[0])
	s.MarkDone(job.Task{Job: "1", Index: 70})
	s.RecordFailure(job.Task{Job: "1", Index: 3}, 2)
	data, err := json.Marshal(s)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	b.States = []ledger.StateRecord{{Job: "1", Data: data}}
	g.Expect(l.Commit(t.Context(), b)).To(gomega.Succeed())
	snapshot, err := l.NewLoader().Load(t.Context())
	g.Expect(err).NotTo(gomega.HaveOccurred())
	loaded := snapshot.Jobs[0].State
	g.Expect(loaded.IsDone(job.Task{Job: "1", Index: 70})).To(gomega.BeTrue())
	g.Expect(loaded.IsDone(job.Task{Job: "1", Index: 7})).To(gomega.BeFalse())
	g.Expect(loaded.Failures(job.Task{Job: "1", Index: 3})).To(gomega.Equal(1))
	g.Expect(loaded.RecordFailure(job.Task{Job: "1", Index: 3}, 2)).To(gomega.BeFalse(), "a failure of the same run counts once")
	g.Expect(loaded.Phase()).To(gomega.Equal(job.Running))
}

// TestOversizedRecordIsNotSent guards against records that are sent to the store although it
// will never accept them, and against an error that does not tell which record that is.
func TestOversizedRecordIsNotSent(t *testing.T) {
	g := gomega.NewWithT(t)
	k := standin.NewKeyValue()
	l := ledger.New(ledger.Config{Store: k, Prefix: prefix, Run: "a", Limits: store.Limits{ValueBytes: 1000}})
	l.SetTail(writeTail(k, "a", 1))
	calls := k.Calls()
	b := batchOf("good")
	b.States = []ledger.StateRecord{{Job: "long", Data: make([]byte, 1001)}}
	err := l.Commit(t.Context(), b)
	tooLarge, ok := errors.Into[*store.TooLarge](err)
	g.Expect(ok).To(gomega.BeTrue(), "%v", err)
	g.Expect(*tooLarge).To(gomega.Equal(store.TooLarge{Key: prefix + "state/long", What: "value", Bytes: 1001, Limit: 1000}))
	_, ok = errors.Into[*store.Invalid](err)
	g.Expect(ok).To(gomega.BeTrue(), "%v", err)
	g.Expect(k.Calls()).To(gomega.Equal(calls))
	g.Expect(l.Commit(t.Context(), batchOf("good"))).To(gomega.Succeed())
}
