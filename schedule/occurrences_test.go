package schedule_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"almondcove/job"
	"almondcove/schedule"
)

// TestOpenOccurrencesWithinRecord guards against a schedule whose overlapping occurrences make the
// record of its state longer than the store takes, and against occurrences that are never begun.
func TestOpenOccurrencesWithinRecord(t *testing.T) {
	const limit, occurrences = 4000, 150
	g := gomega.NewWithT(t)
	h := newHarness(t, 8)
	h.maxRecordBytes = limit
	r := rand.New(rand.NewPCG(1, 67))
	h.workOf = func(schedule.Start) time.Duration {
		if r.IntN(10) == 0 {
			return 3 * time.Second
		}
		return 100 * time.Millisecond
	}
	longest, mostAtWork := 0, 0
	h.afterRecords = func() {
		for _, data := range h.records {
			longest = max(longest, len(data))
		}
		atWork := make(map[int]bool)
		for _, v := range h.vms {
			for _, run := range v.Running() {
				atWork[run.Task.Occurrence] = true
			}
		}
		mostAtWork = max(mostAtWork, len(atWork))
	}
	h.changeOwner()
	h.run(time.Second)
	j := batch("1", 3)
	j.Steps[0].Need = job.Resources{CPU: 1000, Memory: 1000}
	j.Steps = append(j.Steps, j.Steps[0], j.Steps[0])
	j.Steps[2].After = []int{0, 1}
	j.ScheduledOccurrences, j.FirstDue, j.Interval = occurrences, h.now, time.Millisecond
	h.submit(j)
	for i := range 1000 {
		h.run(500 * time.Millisecond)
		if phase(h, "1").Final() {
			break
		}
		if i == 5 {
			h.changeOwner()
		}
	}
	g.Expect(phase(h, "1")).To(gomega.Equal(job.Completed))
	g.Expect(longest).To(gomega.BeNumerically("<=", limit))
	g.Expect(mostAtWork).To(gomega.BeNumerically(">", 1))
}
