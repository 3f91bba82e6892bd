package schedule_test

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"almondcove/job"
	"almondcove/schedule"
)

// TestDeferredState guards against a record that the store never takes and that is tried again
// without a pause, and against the end of such a job that waits for that pause.
func TestDeferredState(t *testing.T) {
	g := gomega.NewWithT(t)
	h := newHarness(t, 1)
	h.run(time.Second)
	j := batch("1", 2)
	j.Steps[0].Need.CPU = 8000
	h.submit(j)
	h.step(50 * time.Millisecond)
	h.now = h.now.Add(2 * time.Second)
	h.vms["vm-0"].Advance(h.now)
	h.hold("vm-0")
	deferState := func() {
		r, err := h.core.TakeRecords(20, 0, h.now)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(r.States).To(gomega.HaveLen(1))
		h.core.Defer(schedule.RecordBatch{States: r.States}, h.now)
	}
	for _, pause := range []time.Duration{time.Second, 2 * time.Second, 4 * time.Second} {
		deferState()
		for _, wait := range []time.Duration{pause - 100*time.Millisecond, 100 * time.Millisecond} {
			states, _ := h.core.UnrecordedKeys()
			g.Expect(states).To(gomega.BeZero())
			h.now = h.now.Add(wait)
			h.core.Plan(h.now)
		}
		states, _ := h.core.UnrecordedKeys()
		g.Expect(states).To(gomega.BeNumerically(">", 0))
	}
	deferState()
	hold, ok := h.core.Hold("vm-0", h.now)
	g.Expect(ok).To(gomega.BeTrue())
	g.Expect(hold.Seen).To(gomega.BeZero(), "the VM keeps the ends")
	h.core.Cancel("1", h.now)
	r, err := h.core.TakeRecords(20, 0, h.now)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(r.States).To(gomega.HaveLen(1))
	h.core.Committed(r)
	g.Expect(phase(h, "1")).To(gomega.Equal(job.Cancelled))
	g.Expect(h.core.Deferred()).To(gomega.BeZero())
}
