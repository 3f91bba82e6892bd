package schedule_test

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"almondcove/job"
	"almondcove/schedule"
	"almondcove/standin"
)

// setCap sets the cap of the team of all jobs.
func (h *harness) setCap(cpu int64) {
	h.view.Teams = map[string]schedule.Team{"team": {Name: "team", Weight: 1, Cap: job.Resources{CPU: cpu}}}
	h.core.SetView(h.view, h.now)
}

// mostUsed runs for d and returns the most processors that were in use at once on all VMs.
func (h *harness) mostUsed(d time.Duration) int64 {
	const tick = 50 * time.Millisecond
	most := int64(0)
	for range int(d / tick) {
		h.step(tick)
		used := int64(0)
		for _, v := range h.vms {
			used += v.Used().CPU
		}
		most = max(most, used)
	}
	return most
}

// TestCapAcrossOwners guards against teams that exceed their caps because a new owner does not
// know of all runs: those on VMs that have not answered it, and those of jobs that have ended and
// whose runs are still being stopped.
func TestCapAcrossOwners(t *testing.T) {
	for _, c := range []struct {
		name string
		// change is called while the first job uses up the cap and the second one waits in
		// another pool. It replaces the owner.
		change func(h *harness)
		// cancelled is set if the first job is cancelled, so that its runs have to be stopped.
		cancelled bool
	}{
		{"VM out of reach", func(h *harness) {
			h.runsOn("till").SetFault(standin.WorkerDropsOrders)
			h.changeOwner()
			h.submit(batch("3", 4))
		}, false},
		{"job cancelled before a planned change", func(h *harness) {
			h.core.Cancel("1", h.now)
			h.writeRecords()
			h.core.BeginHandover()
			h.writeRecords()
			h.changeOwner()
			// The orders to stop the runs were not given, and the plan comes before the VMs
			// have reported.
			h.executePlan()
		}, true},
		{"job cancelled before a sudden change", func(h *harness) {
			h.core.Cancel("1", h.now)
			h.writeRecords()
			h.changeOwner()
		}, true},
		{"job cancelled, VM out of reach", func(h *harness) {
			h.core.Cancel("1", h.now)
			h.writeRecords()
			h.runsOn("till").SetFault(standin.WorkerDropsOrders)
			h.changeOwner()
		}, true},
		{"team removed from the configuration", func(h *harness) {
			h.view.Teams = nil
			h.core.SetView(h.view, h.now)
		}, false},
		{"team removed before a change of owner", func(h *harness) {
			h.view.Teams = nil
			h.core.SetView(h.view, h.now)
			h.run(100 * time.Millisecond)
			h.changeOwner()
		}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			h := newHarness(t, 1)
			h.addVM("other-0", "other")
			h.listVMs()
			for _, v := range h.vms {
				v.SetStopTime(900 * time.Millisecond)
			}
			h.sendQueue("elsewhere", "other")
			h.setCap(8000)
			h.workTime = 15 * time.Second
			h.run(time.Second)
			h.submit(batch("1", 4))
			h.run(time.Second)
			second := batch("2", 4)
			second.Queue = "elsewhere"
			h.submit(second)
			h.run(time.Second)
			g.Expect(h.vms["vm-0"].Running()).To(gomega.HaveLen(4))
			c.change(h)
			g.Expect(h.mostUsed(9 * time.Second)).To(gomega.BeNumerically("<=", 8000))
			if c.cancelled {
				g.Expect(countRuns(h, job.Task{Job: "1"})).To(gomega.BeZero())
				g.Expect(phase(h, "2")).To(gomega.Equal(job.Running))
			}
			g.Expect(h.mostUsed(20 * time.Second)).To(gomega.BeNumerically("<=", 8000))
			for _, v := range h.vms {
				v.SetFault(standin.WorkerHealthy)
			}
			h.run(40 * time.Second)
			g.Expect(phase(h, "2")).To(gomega.Equal(job.Completed))
		})
	}
}
