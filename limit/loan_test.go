package limit_test

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"almondcove/limit"
)

// bookWithLoan returns the book of an entry that has no units of its own and
// borrows the given number of units.
func bookWithLoan(now time.Time, units int) *limit.Book {
	b := limit.New(limit.Config{MaxTaskTime: maxTaskTime})
	b.SetOwnUnits(team, 0)
	b.Borrow(limit.Loan{ID: "x", Team: team, Peer: "p", Units: units, End: now.Add(loanTerm)}, now)
	return b
}

// TestEndedLoanIsOwedUntilTasksFit guards against the return of an expired loan to
// its lender while a running task still uses its units.
func TestEndedLoanIsOwedUntilTasksFit(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Unix(1_000_000, 0)
	b := bookWithLoan(now, 2)
	g.Expect(b.Start(team, 1, now)).To(gomega.BeTrue())
	later := now.Add(loanTerm)
	g.Expect(b.Free(team, later)).To(gomega.Equal(-1))
	g.Expect(b.TakeExpiredLoans(team, later)).To(gomega.BeEmpty())
	b.End(team, 1)
	g.Expect(b.TakeExpiredLoans(team, later)).To(gomega.HaveLen(1))
	g.Expect(b.TakeExpiredLoans(team, later)).To(gomega.BeEmpty())
}

// TestLateGrantOfReturnedLoanIsIgnored guards against units that count at both the
// lender and the borrower, because a grant of a loan arrives after the borrower
// has returned all or some of the units of that loan.
func TestLateGrantOfReturnedLoanIsIgnored(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	late := limit.Loan{ID: "x", Team: team, Peer: "p", Units: 2, End: now.Add(2 * loanTerm)}
	t.Run("returned", func(t *testing.T) {
		g := gomega.NewWithT(t)
		b := bookWithLoan(now, 2)
		g.Expect(b.ReturnIdle(team, 2, now)).To(gomega.HaveLen(1))
		b.Borrow(late, now)
		g.Expect(b.Borrowed(team, now)).To(gomega.Equal(0))
	})
	t.Run("ended", func(t *testing.T) {
		g := gomega.NewWithT(t)
		b := bookWithLoan(now, 2)
		later := now.Add(loanTerm)
		g.Expect(b.TakeExpiredLoans(team, later)).To(gomega.HaveLen(1))
		b.Borrow(late, later)
		g.Expect(b.Borrowed(team, later)).To(gomega.Equal(0))
	})
	t.Run("partly returned", func(t *testing.T) {
		g := gomega.NewWithT(t)
		b := bookWithLoan(now, 2)
		g.Expect(b.ReturnIdle(team, 1, now)).To(gomega.HaveLen(1))
		later := now.Add(loanTerm)
		b.Borrow(late, later)
		g.Expect(b.Borrowed(team, later)).To(gomega.Equal(1))
	})
}
