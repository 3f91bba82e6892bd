package schedule_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"almondcove/job"
)

// TestEndsAreSeenBeforeAllIsRecorded guards against VMs that keep ends for too long. A VM
// may forget an end once the state of its job is recorded, even if one commit can't take
// all that is left to record.
func TestEndsAreSeenBeforeAllIsRecorded(t *testing.T) {
	const jobs, keys = 12, 4
	g := gomega.NewWithT(t)
	w := newHarness(t, jobs)
	w.run(time.Second)
	for i := range jobs {
		j := batch(job.ID(fmt.Sprint(i)), 1)
		j.Steps[0].Need.CPU = 8000
		w.submit(j)
	}
	w.step(50 * time.Millisecond)
	w.now = w.now.Add(2 * time.Second)
	for _, id := range w.vmIDs() {
		w.vms[id].Advance(w.now)
		w.hold(id)
	}
	r, err := w.core.TakeRecords(keys, w.now)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	w.core.Written(r)
	seen := 0
	for _, id := range w.vmIDs() {
		if h, ok := w.core.Hold(id, w.now); ok && h.Seen > 0 {
			seen++
		}
	}
	g.Expect(seen).To(gomega.Equal(len(r.States)))
	g.Expect(seen).To(gomega.BeNumerically(">", 0))
}
