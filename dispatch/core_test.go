package dispatch_test

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"almondcove/dispatch"
	"almondcove/limit"
	"almondcove/task"
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

// TestCappedTasksNeedNoUnits fills an entry's part of a contended pool. Its
// other tasks wait for slots, so the team's idle units are free to lend.
func TestCappedTasksNeedNoUnits(t *testing.T) {
	g := gomega.NewWithT(t)
	core := dispatch.New(dispatch.Config{Centre: "c"})
	now := time.Unix(1_000_000, 0)
	core.Configure(siteConfig(2, 10), []int{0, 1, 2, 3, 4, 5, 6, 7}, now)
	core.List(map[string]dispatch.Listed{"vm-0": {Slots: 8}, "vm-1": {Slots: 8}})
	for range 12 {
		refused := core.Admit(&dispatch.Task{
			Team: "large", Queue: "large-normal", Deadline: now.Add(time.Minute),
			Ready: func(string) {}, Refuse: func(task.NotRun) {},
		}, now)
		g.Expect(refused).To(gomega.BeNil())
	}
	// The other entry has as many tasks, so half of the 16 slots are its own.
	core.Balance([]dispatch.Demand{{Pool: "pool", Team: "large", Rank: 1, Count: 12, Waits: true}})
	core.Next(now)
	running := core.Book().Running("large", now)
	g.Expect(running).To(gomega.BeElementOf(8, 9))
	g.Expect(core.WaitsForUnits("large")).To(gomega.BeFalse())
	loan := core.Book().Lend("x", "large", "peer", 10, time.Second, now)
	g.Expect(loan.Units).To(gomega.Equal(10 - running))
	// All units are in use or lent, and still none is lacking: slots are.
	g.Expect(core.Wants(now)).To(gomega.BeEmpty())
}
