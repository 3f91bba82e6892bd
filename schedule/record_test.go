package schedule_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"almondcove/job"
)

// TestEndsAreSeenBeforeAllIsRecorded guards against VMs that keep ends for too long. A VM
// may forget an end once the state of its job is recorded, even if other changes did
// not fit into the same commit.
func TestEndsAreSeenBeforeAllIsRecorded(t *testing.T) {
	const jobs, keys = 12, 4
	g := gomega.NewWithT(t)
	h := newHarness(t, jobs)
	h.run(time.Second)
	for i := range jobs {
		j := batch(job.ID(fmt.Sprint(i)), 1)
		j.Steps[0].Need.CPU = 8000
		h.submit(j)
	}
	h.step(50 * time.Millisecond)
	h.now = h.now.Add(2 * time.Second)
	for _, id := range h.vmIDs() {
		h.vms[id].Advance(h.now)
		h.hold(id)
	}
	r, err := h.core.TakeRecords(keys, h.now)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	h.core.Committed(r)
	seen := 0
	for _, id := range h.vmIDs() {
		if hold, ok := h.core.Hold(id, h.now); ok && hold.Seen > 0 {
			seen++
		}
	}
	g.Expect(seen).To(gomega.Equal(len(r.States)))
	g.Expect(seen).To(gomega.BeNumerically(">", 0))
}
