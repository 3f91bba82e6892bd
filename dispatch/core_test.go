package dispatch_test

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"almondcove/dispatch"
	"almondcove/limit"
)

// TestLenderOutwaitsTheLastTask looks that a lender gets its units back only
// when a task that the borrower sent at the last moment, that was started as
// late as allowed and took its whole lease, has ended.
func TestLenderOutwaitsTheLastTask(t *testing.T) {
	g := gomega.NewWithT(t)
	cfg := siteConfig(1, 10)
	core := dispatch.New(dispatch.Config{Centre: "c"})
	now := time.Unix(1_000_000, 0)
	core.Configure(cfg, []int{0, 1, 2, 3, 4, 5, 6, 7}, now)
	const term = 4 * time.Second
	loan := core.Book().Lend("x", "large", "peer", 10, term, now)
	g.Expect(loan.Units).To(gomega.Equal(10))
	last := now.Add(term + dispatch.StartBound + cfg.MaxLease())
	g.Expect(loan.End.Sub(last)).To(gomega.BeNumerically(">=", limit.Margin))
	g.Expect(core.Book().Free("large", last)).To(gomega.BeZero())
}
