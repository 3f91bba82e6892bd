package schedule_test

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"almondcove/job"
	"almondcove/schedule"
)

// TestQueueMovesToAnotherPool guards against waiting tasks that stay in the pool in which
// they were added. They have to follow when a new configuration assigns their queue to
// another pool, or when their queue is configured only after the records were read.
func TestQueueMovesToAnotherPool(t *testing.T) {
	g := gomega.NewWithT(t)
	h := newHarness(t, 0)
	h.addVM("other-0", "other")
	h.listVMs()
	h.run(time.Second)
	h.submit(batch("1", 2))
	h.run(time.Second)
	g.Expect(h.starts).To(gomega.BeEmpty())
	queue := h.view.Queues["q"]
	queue.Pool = "other"
	h.view.Queues = map[string]schedule.Queue{"q": queue}
	h.core.SetView(h.view, h.now)
	h.run(3 * time.Second)
	g.Expect(phase(h, "1")).To(gomega.Equal(job.Completed))
}

// TestEndedJobAndNewConfiguration guards against a failed job whose tasks start again
// because the configuration changes before the job's end is recorded.
func TestEndedJobAndNewConfiguration(t *testing.T) {
	g := gomega.NewWithT(t)
	h := newHarness(t, 2)
	h.run(time.Second)
	for _, vm := range h.vms {
		vm.SetRunsFail(true)
	}
	h.submit(batch("1", 1))
	for len(h.starts) < 2 {
		h.step(50 * time.Millisecond)
	}
	h.now = h.now.Add(2 * time.Second)
	for _, id := range h.vmIDs() {
		h.vms[id].Advance(h.now)
		h.hold(id)
	}
	h.core.SetView(h.view, h.now)
	h.executePlan()
	g.Expect(h.starts).To(gomega.HaveLen(2))
}
