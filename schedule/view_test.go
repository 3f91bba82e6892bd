package schedule_test

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"almondcove/job"
	"almondcove/schedule"
)

// TestQueueMovesToAnotherPool: tasks that wait follow their queue, also when its
// pool becomes known only after the records were read.
func TestQueueMovesToAnotherPool(t *testing.T) {
	g := gomega.NewWithT(t)
	w := newWorld(t, 0)
	w.addVM("other-0", "other")
	w.list()
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
