package schedule_test

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"almondcove/job"
	"almondcove/schedule"
	"almondcove/standin"
)

// TestEndsBeyondOneReport guards against tasks that are started again because a VM has more
// ends to list than one report holds, so that their runs are neither running nor ended in it.
func TestEndsBeyondOneReport(t *testing.T) {
	const (
		tasks    = 1200
		workTime = time.Second
	)
	for _, c := range []struct {
		name string
		// interrupt lets the tasks end while the owner can't record that.
		interrupt func(h *harness)
	}{
		{"owner lost", func(h *harness) {
			h.now = h.now.Add(2 * workTime)
			h.advanceVMs()
			h.changeOwner()
		}},
		{"owner lost, and the next one while it reads the ends", func(h *harness) {
			h.now = h.now.Add(2 * workTime)
			h.advanceVMs()
			h.changeOwner()
			h.step(50 * time.Millisecond)
			h.changeOwner()
		}},
		{"owner handed over", func(h *harness) {
			h.core.BeginHandover()
			h.writeRecords()
			h.now = h.now.Add(2 * workTime)
			h.advanceVMs()
			h.changeOwner()
		}},
		{"next owner without the store until all leases would have expired", func(h *harness) {
			h.now = h.now.Add(2 * workTime)
			h.advanceVMs()
			h.changeOwner()
			h.storeDown = true
			h.run(maxLease + 2*time.Second)
			h.storeDown = false
		}},
		{"start order unanswered", func(h *harness) {
			h.storeDown = true
			h.run(2 * workTime)
			h.submit(smallTasks("2", 1))
			h.vms["vm-0"].SetFault(standin.WorkerDropsResponses)
			h.executePlan()
			h.run(time.Second)
			h.vms["vm-0"].SetFault(standin.WorkerHealthy)
			h.run(time.Second)
			h.storeDown = false
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			h := newHarness(t, 1)
			h.workTime = workTime
			h.run(time.Second)
			h.submit(smallTasks("1", tasks))
			for range 5 {
				h.step(50 * time.Millisecond)
			}
			g.Expect(h.starts).To(gomega.HaveLen(tasks))
			c.interrupt(h)
			h.run(5 * time.Second)
			starts := 0
			for _, s := range h.starts {
				if s.Run.Task.Job == "1" {
					starts++
				}
			}
			g.Expect(starts).To(gomega.Equal(tasks), "each task is started once")
			phase, _ := h.core.JobPhase("1")
			g.Expect(phase).To(gomega.Equal(job.Completed))
		})
	}
}

// smallTasks returns a job of one step with small tasks.
func smallTasks(id job.ID, tasks int) *job.Job {
	return &job.Job{ID: id, Queue: "q", Team: "team", Steps: []job.Step{{Count: tasks, Need: job.Resources{CPU: 5, Memory: 1}}}}
}

// TestNextEndsAtOnce guards against a VM that is asked for its further ends only after the
// pause between holds.
func TestNextEndsAtOnce(t *testing.T) {
	g := gomega.NewWithT(t)
	h := newHarness(t, 1)
	h.run(time.Second)
	h.submit(smallTasks("1", 600))
	for range 5 {
		h.step(50 * time.Millisecond)
	}
	h.now = h.now.Add(2 * time.Second)
	h.advanceVMs()
	h.hold("vm-0")
	g.Expect(h.core.Plan(h.now)).NotTo(gomega.ContainElement(schedule.ImmediateHold{VM: "vm-0"}), "the VM would list the same ends")
	h.writeRecords()
	g.Expect(h.core.Plan(h.now)).To(gomega.ContainElement(schedule.ImmediateHold{VM: "vm-0"}))
}
