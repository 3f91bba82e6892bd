package limit_test

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"almondcove/limit"
)

func borrowed(now time.Time, units int) *limit.Book {
	b := limit.New(limit.Config{Task: run})
	b.SetOwn(team, 0)
	b.Borrow(limit.Loan{ID: "x", Team: team, Peer: "p", Units: units, End: now.Add(term)}, now)
	return b
}

func TestEndedLoanIsOwedUntilTasksFit(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Unix(1_000_000, 0)
	b := borrowed(now, 2)
	g.Expect(b.Start(team, 1, now)).To(gomega.BeTrue())
	later := now.Add(term)
	g.Expect(b.Free(team, later)).To(gomega.Equal(-1))
	g.Expect(b.Owed(team, later)).To(gomega.BeEmpty())
	b.End(team, 1)
	g.Expect(b.Owed(team, later)).To(gomega.HaveLen(1))
	g.Expect(b.Owed(team, later)).To(gomega.BeEmpty())
}

func TestLateGrantOfReturnedLoanIsIgnored(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	late := limit.Loan{ID: "x", Team: team, Peer: "p", Units: 2, End: now.Add(2 * term)}
	t.Run("returned", func(t *testing.T) {
		g := gomega.NewWithT(t)
		b := borrowed(now, 2)
		g.Expect(b.Return(team, 2, now)).To(gomega.HaveLen(1))
		b.Borrow(late, now)
		g.Expect(b.Held(team, now)).To(gomega.Equal(0))
	})
	t.Run("ended", func(t *testing.T) {
		g := gomega.NewWithT(t)
		b := borrowed(now, 2)
		later := now.Add(term)
		g.Expect(b.Owed(team, later)).To(gomega.HaveLen(1))
		b.Borrow(late, later)
		g.Expect(b.Held(team, later)).To(gomega.Equal(0))
	})
	t.Run("partly returned", func(t *testing.T) {
		g := gomega.NewWithT(t)
		b := borrowed(now, 2)
		g.Expect(b.Return(team, 1, now)).To(gomega.HaveLen(1))
		later := now.Add(term)
		b.Borrow(late, later)
		g.Expect(b.Held(team, later)).To(gomega.Equal(1))
	})
}
