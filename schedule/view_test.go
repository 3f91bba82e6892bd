package schedule_test

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"almondcove/job"
	"almondcove/schedule"
)

// TestQueueMovesToAnotherPool guards against waiting tasks that stay in the pool in which
// they were added. They have to follow when the configuration gives their queue another
// pool, or gives it one only after the records were read.
func TestQueueMovesToAnotherPool(t *testing.T) {
	g := gomega.NewWithT(t)
	w := newHarness(t, 0)
	w.addVM("other-0", "other")
	w.listVMs()
	w.run(time.Second)
	w.submit(batch("1", 2))
	w.run(time.Second)
	g.Expect(w.starts).To(gomega.BeEmpty())
	queue := w.view.Queues["q"]
	queue.Pool = "other"
	w.view.Queues = map[string]schedule.Queue{"q": queue}
	w.core.SetView(w.view, w.now)
	w.run(3 * time.Second)
	g.Expect(phase(w, "1")).To(gomega.Equal(job.Completed))
}

// TestEndedJobAndNewConfiguration guards against a failed job whose tasks start again
// because the configuration changes before the job's end is recorded.
func TestEndedJobAndNewConfiguration(t *testing.T) {
	g := gomega.NewWithT(t)
	w := newHarness(t, 2)
	w.run(time.Second)
	for _, vm := range w.vms {
		vm.SetRunsFail(true)
	}
	w.submit(batch("1", 1))
	for len(w.starts) < 2 {
		w.step(50 * time.Millisecond)
	}
	w.now = w.now.Add(2 * time.Second)
	for _, id := range w.vmIDs() {
		w.vms[id].Advance(w.now)
		w.hold(id)
	}
	w.core.SetView(w.view, w.now)
	w.executePlan()
	g.Expect(w.starts).To(gomega.HaveLen(2))
}
