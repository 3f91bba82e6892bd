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

// own writes the tail of a new owner, as an election does.
func own(k *standin.KeyValue, run string, epoch int64) ledger.Held {
	tail := ledger.Tail{Run: run, Epoch: epoch}
	if it, err := k.Get(context.Background(), ledger.TailKey(prefix)); err == nil && it.Rev > 0 {
		var before ledger.Tail
		if json.Unmarshal(it.Value, &before) == nil {
			tail.Count = before.Count
		}
	}
	value, _ := json.Marshal(tail)
	rev, err := k.Commit(context.Background(), store.Txn{Puts: []store.Put{{Key: ledger.TailKey(prefix), Value: value}}})
	if err != nil {
		panic(err)
	}
	return ledger.Held{Tail: tail, Rev: rev}
}

func newLedger(k *standin.KeyValue, run string, epoch int64) *ledger.Ledger {
	l := ledger.New(ledger.Config{Store: k, Prefix: prefix, Run: run})
	l.Take(own(k, run, epoch))
	return l
}

func one(id job.ID) ledger.Batch {
	return ledger.Batch{Jobs: []*job.Job{{ID: id, Queue: "q", Steps: []job.Step{{Count: 1}}}}}
}

func ids(g *gomega.WithT, l *ledger.Ledger) []job.ID {
	content, err := l.Load(context.Background())
	g.Expect(err).NotTo(gomega.HaveOccurred())
	var out []job.ID
	for _, k := range content.Jobs {
		out = append(out, k.Job.ID)
	}
	return out
}

// TestFaultsOfACommit: after each fault of the store the batch is written once,
// or the error says that it is not.
func TestFaultsOfACommit(t *testing.T) {
	for _, c := range []struct {
		name      string
		fault     standin.KeyValueFault
		unwritten bool
	}{
		{"sound", standin.Sound, false},
		{"refused", standin.Refuse, true},
		{"muted", standin.Mute, false},
		{"lost", standin.Lose, false},
		{"late", standin.Late, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := gomega.NewWithT(t)
				k := standin.NewKeyValue()
				l := newLedger(k, "a", 1)
				k.Set(c.fault)
				time.AfterFunc(2*time.Second, func() { k.Set(standin.Sound) })
				err := l.Commit(t.Context(), one("1"))
				time.Sleep(5 * time.Second)
				if c.unwritten {
					var refused *ledger.Unwritten
					g.Expect(errors.As(err, &refused)).To(gomega.BeTrue())
					g.Expect(ids(g, l)).To(gomega.BeEmpty())
				} else {
					g.Expect(err).NotTo(gomega.HaveOccurred())
					g.Expect(ids(g, l)).To(gomega.Equal([]job.ID{"1"}))
				}
				g.Expect(l.Commit(t.Context(), one("2"))).To(gomega.Succeed(), "the ledger goes on")
			})
		})
	}
}

// TestLateCommitOfADeposedOwner: a commit that is carried out after another
// process has taken over changes nothing.
func TestLateCommitOfADeposedOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		k := standin.NewKeyValue()
		old := newLedger(k, "a", 1)
		k.Set(standin.Late)
		failed := make(chan error, 1)
		go func() { failed <- old.Commit(t.Context(), one("1")) }()
		time.Sleep(time.Second)
		k.Set(standin.Sound)
		next := newLedger(k, "b", 2)
		time.Sleep(10 * time.Second)
		g.Expect(ids(g, next)).To(gomega.BeEmpty())
		var deposed *ledger.Deposed
		g.Expect(errors.As(<-failed, &deposed)).To(gomega.BeTrue())
		g.Expect(deposed.Tail.Run).To(gomega.Equal("b"))
		g.Expect(next.Commit(t.Context(), one("2"))).To(gomega.Succeed())
	})
}

// TestState: what is recorded of a job is read back.
func TestState(t *testing.T) {
	g := gomega.NewWithT(t)
	k := standin.NewKeyValue()
	l := newLedger(k, "a", 1)
	b := one("1")
	b.Jobs[0].Steps[0].Count = 100
	s := job.NewState(b.Jobs[0])
	s.MarkDone(job.Task{Job: "1", Index: 70})
	s.RecordFailure(job.Task{Job: "1", Index: 3}, 2)
	data, err := json.Marshal(s)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	b.States = []ledger.Record{{Job: "1", Data: data}}
	g.Expect(l.Commit(t.Context(), b)).To(gomega.Succeed())
	content, err := l.Load(t.Context())
	g.Expect(err).NotTo(gomega.HaveOccurred())
	read := content.Jobs[0].State
	g.Expect(read.IsDone(job.Task{Job: "1", Index: 70})).To(gomega.BeTrue())
	g.Expect(read.IsDone(job.Task{Job: "1", Index: 7})).To(gomega.BeFalse())
	g.Expect(read.Failures(job.Task{Job: "1", Index: 3})).To(gomega.Equal(1))
	g.Expect(read.RecordFailure(job.Task{Job: "1", Index: 3}, 2)).To(gomega.BeFalse(), "a run fails once")
	g.Expect(read.Phase()).To(gomega.Equal(job.Running))
}
