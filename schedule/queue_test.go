package schedule_test

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"almondcove/job"
	"almondcove/standin"
)

// sendQueue sends a queue to a pool.
func (h *harness) sendQueue(name, pool string) {
	q := h.view.Queues["q"]
	q.Name, q.Pool = name, pool
	h.view.Queues[name] = q
	h.core.SetView(h.view, h.now)
}

// dropQueue removes a queue from the configuration.
func (h *harness) dropQueue(name string) {
	delete(h.view.Queues, name)
	h.core.SetView(h.view, h.now)
}

// recordAsEarlierVersion removes from the records what the version without records of queues
// does not write.
func (h *harness) recordAsEarlierVersion() {
	for n, part := range h.recordedParts {
		part.Queues = nil
		for i := range part.VMs {
			part.VMs[i].Pools = nil
		}
		h.recordedParts[n] = part
	}
}

// runsOn returns a VM of a pool that runs tasks.
func (h *harness) runsOn(pool string) *standin.Worker {
	for _, id := range h.vmIDs() {
		if v := h.vms[id]; v.VM.Pool == pool && len(v.Running()) > 0 {
			return v
		}
	}
	h.t.Fatalf("no VM of %s runs a task", pool)
	return nil
}

// TestRunInEarlierPool guards against a second run of a task whose queue has moved: a new owner
// has to wait for the VMs of every pool in which the task may have been started. The checker
// of the harness finds the second run.
func TestRunInEarlierPool(t *testing.T) {
	gang := batch("1", 2)
	gang.Steps[0].Gang = true
	checkpoints := batch("1", 2)
	checkpoints.Steps[0].WritesCheckpoints = true
	for _, c := range []struct {
		name string
		job  *job.Job
		// change changes the configuration while the job runs on VMs of the pool till, and
		// again makes further changes after the owner was replaced once more; nil means that
		// it is not.
		change, again func(h *harness)
	}{
		{name: "moved", job: batch("1", 1), change: func(h *harness) { h.sendQueue("q", "other") }},
		{name: "moved twice", job: batch("1", 1), change: func(h *harness) {
			h.sendQueue("q", "other")
			h.run(time.Second)
			h.sendQueue("q", "third")
		}},
		{name: "dropped and added again", job: batch("1", 1), change: func(h *harness) {
			q := h.view.Queues["q"]
			h.dropQueue("q")
			h.run(time.Second)
			h.view.Queues["q"] = q
			h.sendQueue("q", "other")
		}},
		{name: "wide step", job: batch("1", 12), change: func(h *harness) { h.sendQueue("q", "other") }},
		{name: "service", job: service("1", 3, 1), change: func(h *harness) { h.sendQueue("q", "other") }},
		{name: "gang", job: gang, change: func(h *harness) { h.sendQueue("q", "other") }},
		{name: "checkpoints", job: checkpoints, change: func(h *harness) { h.sendQueue("q", "other") }},
		{
			name: "two owners in a row", job: batch("1", 1), change: func(h *harness) { h.sendQueue("q", "other") },
			again: func(h *harness) { h.sendQueue("q", "third") },
		},
		{name: "records of the earlier version", job: batch("1", 1), change: func(h *harness) {
			h.sendQueue("q", "other")
			h.run(time.Second)
			h.recordAsEarlierVersion()
		}},
		{
			name: "records of the earlier version, two owners", job: batch("1", 1), change: func(h *harness) {
				h.sendQueue("q", "other")
				h.run(time.Second)
				h.recordAsEarlierVersion()
			},
			again: func(*harness) {},
		},
		{
			name: "VM listed in another pool", job: batch("1", 1), change: func(h *harness) {
				h.runsOn("till").VM.Pool = "other"
				h.listVMs()
				h.run(time.Second)
			},
			again: func(*harness) {},
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			h := newHarness(t, 4)
			for _, id := range []string{"other-0", "other-1", "other-2"} {
				h.addVM(id, "other")
				h.addVM("third"+id, "third")
			}
			h.listVMs()
			h.workTime = 20 * time.Second
			h.run(time.Second)
			h.submit(c.job)
			h.run(time.Second)
			cut := h.runsOn("till")
			c.change(h)
			h.run(time.Second)
			cut.SetFault(standin.WorkerDropsOrders)
			h.changeOwner()
			if c.again != nil {
				h.run(time.Second)
				c.again(h)
				h.changeOwner()
			}
			// The lease of the VM that is cut off ends in this time.
			h.run(10 * time.Second)
			cut.SetFault(standin.WorkerHealthy)
			h.run(20 * time.Second)
			if !c.job.HasServiceStep() {
				h.run(25 * time.Second)
				g.Expect(phase(h, "1")).To(gomega.Equal(job.Completed))
				return
			}
			for i := range c.job.Steps[0].Count {
				g.Expect(countRuns(h, job.Task{Job: "1", Index: i})).To(gomega.Equal(1))
			}
		})
	}
}

// TestGateHoldsOneQueue guards against gates that hold more jobs than they have to: a VM that
// is cut off keeps no queue waiting whose tasks were never started in its pool, or are known to
// have ended there.
func TestGateHoldsOneQueue(t *testing.T) {
	g := gomega.NewWithT(t)
	h := newHarness(t, 2)
	h.addVM("other-0", "other")
	h.listVMs()
	h.sendQueue("elsewhere", "other")
	h.run(time.Second)
	j := batch("elsewhere", 1)
	j.Queue = "elsewhere"
	j.Steps = append(j.Steps, job.Step{Count: 1, Need: job.Resources{CPU: 1000}, After: []int{0}})
	moved := batch("moved", 1)
	moved.Steps = append(moved.Steps, j.Steps[1])
	h.submit(j)
	h.submit(moved)
	h.run(500 * time.Millisecond)
	h.sendQueue("q", "other")
	// The first steps end, so that nothing runs in the pool that the queue has left.
	h.run(600 * time.Millisecond)
	g.Expect(h.vms["vm-0"].Running()).To(gomega.BeEmpty())
	h.run(400 * time.Millisecond)
	h.vms["vm-0"].SetFault(standin.WorkerDropsOrders)
	h.changeOwner()
	h.run(2 * time.Second)
	g.Expect(phase(h, "elsewhere")).To(gomega.Equal(job.Completed))
	g.Expect(phase(h, "moved")).To(gomega.Equal(job.Completed))
}

// TestStartWaitsForRecordOfPool guards against runs that the next owner does not expect: after
// a queue has moved, its tasks start in the new pool only once that is recorded.
func TestStartWaitsForRecordOfPool(t *testing.T) {
	g := gomega.NewWithT(t)
	h := newHarness(t, 1)
	h.addVM("other-0", "other")
	h.listVMs()
	h.workTime = 3 * time.Second
	h.run(time.Second)
	h.submit(batch("1", 6))
	h.run(500 * time.Millisecond)
	h.storeDown = true
	h.sendQueue("q", "other")
	h.run(time.Second)
	g.Expect(h.vms["other-0"].Running()).To(gomega.BeEmpty())
	h.storeDown = false
	h.run(200 * time.Millisecond)
	g.Expect(h.vms["other-0"].Running()).To(gomega.HaveLen(2))
	h.run(8 * time.Second)
	g.Expect(phase(h, "1")).To(gomega.Equal(job.Completed))
}
