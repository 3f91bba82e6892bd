package dispatch_test

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"almondcove/dispatch"
	"almondcove/limit"
	"almondcove/task"
)

// TestLenderOutwaitsTheLastTask guards against a lender that uses its units again
// while a borrower's task still runs on them. The latest such task is sent at the
// end of the loan, starts MaxStartDelay later and runs for its whole lease.
func TestLenderOutwaitsTheLastTask(t *testing.T) {
	g := gomega.NewWithT(t)
	cfg := siteConfig(1, 10)
	core := dispatch.New(dispatch.Config{Centre: "c"})
	now := time.Unix(1_000_000, 0)
	core.Configure(cfg, []int{0, 1, 2, 3, 4, 5, 6, 7}, now)
	const term = 4 * time.Second
	loan := core.Book().Lend("x", "large", "peer", 10, term, now)
	g.Expect(loan.Units).To(gomega.Equal(10))
	last := now.Add(term + dispatch.MaxStartDelay + cfg.LongestLease())
	g.Expect(loan.End.Sub(last)).To(gomega.BeNumerically(">=", limit.ClockMargin))
	g.Expect(core.Book().Free("large", last)).To(gomega.BeZero())
}

// TestCappedTasksNeedNoUnits guards against an entry that keeps or borrows units for
// tasks that can't start anyway. Once the entry's part of a contended pool is full,
// its other tasks wait for slots, so the team's idle units are free to lend.
func TestCappedTasksNeedNoUnits(t *testing.T) {
	g := gomega.NewWithT(t)
	core := dispatch.New(dispatch.Config{Centre: "c"})
	now := time.Unix(1_000_000, 0)
	core.Configure(siteConfig(2, 10), []int{0, 1, 2, 3, 4, 5, 6, 7}, now)
	core.SetListedVMs(map[string]dispatch.ListedVM{"vm-0": {Slots: 8}, "vm-1": {Slots: 8}})
	for range 12 {
		refused := core.Admit(&dispatch.Task{
			Team: "large", Queue: "large-normal", Deadline: now.Add(time.Minute),
			OnReady: func(string) {}, OnRefused: func(task.NotRun) {},
		}, now)
		g.Expect(refused).To(gomega.BeNil())
	}
	// The other entry has as many tasks, so this entry gets half of the 16 slots.
	core.Balance([]dispatch.Demand{{Pool: "pool", Team: "large", Rank: 1, Count: 12, AnyWaiting: true}})
	core.StartReady(now)
	running := core.Book().Running("large", now)
	g.Expect(running).To(gomega.BeElementOf(8, 9))
	g.Expect(core.WaitsForUnits("large")).To(gomega.BeFalse())
	loan := core.Book().Lend("x", "large", "peer", 10, time.Second, now)
	g.Expect(loan.Units).To(gomega.Equal(10 - running))
	// All units are in use or lent, but the waiting tasks need slots, not units.
	g.Expect(core.Shortages(now)).To(gomega.BeEmpty())
}
