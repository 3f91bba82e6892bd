package schedule

import (
	"cmp"
	"time"

	"almondcove/job"
)

// The judging of VMs by how runs end on them.
const (
	// badAfter is how many jobs in a row must fail on a VM before it is set aside.
	badAfter = 2
	// asideFor is how long a VM that fails everything gets no task.
	asideFor = 2 * time.Second
	// unhealthyFor is how long a VM that refuses orders for its own state gets none.
	unhealthyFor = 500 * time.Millisecond
	// fullFor is how long a VM that says it is full gets no task.
	fullFor = 200 * time.Millisecond
)

// health is how runs have ended on a VM of late.
type health struct {
	// failed is the number of jobs in a row that have failed.
	failed int
	last   job.ID
	until  time.Time
}

func (h *health) open(now time.Time) bool { return !now.Before(h.until) }

func (h *health) doubtful() bool { return h.failed > 0 }

func (h *health) refused(now time.Time) { h.until = now.Add(unhealthyFor) }

func (h *health) full(now time.Time) { h.until = now.Add(fullFor) }

// judge takes the end of a run of a job.
func (v *vm) judge(id job.ID, how How, now time.Time) {
	h := &v.health
	switch {
	case how == Done:
		h.failed = 0
	case how == Failed && id != h.last:
		h.failed++
		h.last = id
		if h.failed >= badAfter {
			h.until = now.Add(asideFor)
		}
	}
}

func compareRuns(a, b Run) int {
	return cmp.Or(
		cmp.Compare(a.Task.Job, b.Task.Job),
		cmp.Compare(a.Task.Occurrence, b.Task.Occurrence),
		cmp.Compare(a.Task.Step, b.Task.Step),
		cmp.Compare(a.Task.Index, b.Task.Index),
		cmp.Compare(a.Number, b.Number),
	)
}
