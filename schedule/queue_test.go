package schedule_test

import (
	"fmt"
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
		part.Queues, part.Teams = nil, nil
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

// TestDroppedQueue guards against accepted jobs that stop or fail because their queue is no longer
// configured: they go on under what the queue was when it last existed, also under the next owner.
func TestDroppedQueue(t *testing.T) {
	chain := func() *job.Job {
		j := batch("1", 2)
		j.Steps = append(j.Steps, job.Step{Count: 1, Need: job.Resources{CPU: 1000}, After: []int{0}})
		return j
	}
	for _, c := range []struct {
		name string
		job  *job.Job
		// dropped is called after the queue was dropped, while the first tasks run. The job
		// then has 8 s to reach the phase. For a service, the tasks have to run.
		dropped func(h *harness)
		phase   job.Phase
	}{
		{name: "next step", job: chain(), dropped: func(*harness) {}, phase: job.Completed},
		{name: "next step under the next owner", job: chain(), dropped: (*harness).changeOwner, phase: job.Completed},
		{name: "next step under the owner after that", job: chain(), dropped: func(h *harness) {
			h.changeOwner()
			h.run(300 * time.Millisecond)
			h.changeOwner()
		}, phase: job.Completed},
		{name: "one failed run", job: batch("1", 2), dropped: func(h *harness) { h.failOneRun() }, phase: job.Completed},
		{name: "one failed run under the next owner", job: batch("1", 2), dropped: func(h *harness) {
			h.changeOwner()
			h.failOneRun()
		}, phase: job.Completed},
		{name: "all runs fail", job: batch("1", 1), dropped: func(h *harness) {
			for _, v := range h.vms {
				v.SetRunsFail(true)
			}
		}, phase: job.Failed},
		{name: "VM of a batch task crashes", job: batch("1", 1), dropped: func(h *harness) { h.runsOn("till").Crash(h.now) }, phase: job.Completed},
		{name: "VM of a service task is lost", job: service("1", 2, 1), dropped: func(h *harness) {
			v := h.runsOn("till")
			v.SetDowntime(time.Hour)
			v.Crash(h.now)
		}, phase: job.Running},
		{name: "VM of a service task is lost under the next owner", job: service("1", 2, 1), dropped: func(h *harness) {
			h.changeOwner()
			v := h.runsOn("till")
			v.SetDowntime(time.Hour)
			v.Crash(h.now)
		}, phase: job.Running},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			h := newHarness(t, 4)
			q := h.view.Queues["q"]
			q.Attempts = 3
			h.view.Queues["q"] = q
			h.core.SetView(h.view, h.now)
			h.run(time.Second)
			h.submit(c.job)
			h.run(400 * time.Millisecond)
			h.dropQueue("q")
			c.dropped(h)
			h.run(8 * time.Second)
			g.Expect(phase(h, "1")).To(gomega.Equal(c.phase))
			if c.job.HasServiceStep() {
				h.run(5 * time.Second)
				for i := range c.job.Steps[0].Count {
					g.Expect(countRuns(h, job.Task{Job: "1", Index: i})).To(gomega.Equal(1))
				}
			}
		})
	}
}

// failOneRun lets the runs that exist now end as failed, and later ones succeed.
func (h *harness) failOneRun() {
	for _, v := range h.vms {
		v.SetRunsFail(true)
	}
	h.run(700 * time.Millisecond)
	for _, v := range h.vms {
		v.SetRunsFail(false)
	}
}

// TestDroppedQueueKeepsSettings guards against jobs of a dropped queue that go by what the queue
// was at some earlier time: the last configuration that has the queue counts, also if it is
// dropped right after a change and the owner changes.
func TestDroppedQueueKeepsSettings(t *testing.T) {
	g := gomega.NewWithT(t)
	h := newHarness(t, 2)
	h.addVM("other-0", "other")
	h.addVM("other-1", "other")
	h.listVMs()
	h.run(time.Second)
	j := batch("1", 1)
	j.Steps = append(j.Steps, job.Step{Count: 1, Need: job.Resources{CPU: 1000}, After: []int{0}})
	h.submit(j)
	h.run(400 * time.Millisecond)
	h.sendQueue("q", "other")
	h.run(100 * time.Millisecond)
	h.dropQueue("q")
	h.changeOwner()
	h.starts = nil
	h.run(5 * time.Second)
	g.Expect(phase(h, "1")).To(gomega.Equal(job.Completed))
	g.Expect(h.starts).To(gomega.HaveLen(1))
	g.Expect(h.vms[h.starts[0].VM].VM.Pool).To(gomega.Equal("other"))
}

// TestDroppedQueueOfEarlierVersion guards against verdicts by settings that nobody knows: a job
// of the version before, whose queue was dropped before this version has seen it, waits until
// the queue is back, and then goes by its attempts.
func TestDroppedQueueOfEarlierVersion(t *testing.T) {
	for _, c := range []struct {
		name     string
		attempts int
		phase    job.Phase
	}{
		{"attempts left", 2, job.Completed},
		{"attempts used up", 1, job.Failed},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			h := newHarness(t, 2)
			h.run(time.Second)
			h.submit(batch("1", 1))
			h.run(400 * time.Millisecond)
			q := h.view.Queues["q"]
			h.dropQueue("q")
			h.run(100 * time.Millisecond)
			h.recordAsEarlierVersion()
			h.changeOwner()
			h.failOneRun()
			h.run(3 * time.Second)
			g.Expect(phase(h, "1")).To(gomega.Equal(job.Running))
			h.changeOwner()
			h.run(3 * time.Second)
			g.Expect(phase(h, "1")).To(gomega.Equal(job.Running))
			q.Attempts = c.attempts
			h.view.Queues["q"] = q
			h.core.SetView(h.view, h.now)
			h.run(3 * time.Second)
			g.Expect(phase(h, "1")).To(gomega.Equal(c.phase))
		})
	}
}

// TestQueueRecordIsRemoved guards against records of queues that stay for ever after the queues
// and their jobs are gone.
func TestQueueRecordIsRemoved(t *testing.T) {
	g := gomega.NewWithT(t)
	h := newHarness(t, 2)
	h.run(time.Second)
	recorded := func() int {
		n := 0
		for _, part := range h.recordedParts {
			n += len(part.Queues)
		}
		return n
	}
	for i := range 5 {
		name := fmt.Sprint("short-", i)
		h.sendQueue(name, "till")
		j := batch(job.ID(name), 1)
		j.Queue = name
		h.submit(j)
	}
	h.run(3 * time.Second)
	h.workTime = 700 * time.Second
	h.submit(batch("lasting", 1))
	h.run(time.Second)
	g.Expect(recorded()).To(gomega.Equal(6))
	for i := range 5 {
		h.dropQueue(fmt.Sprint("short-", i))
	}
	h.dropQueue("q")
	h.run(2 * time.Second)
	g.Expect(recorded()).To(gomega.Equal(6))
	h.run(11 * time.Minute)
	g.Expect(recorded()).To(gomega.Equal(1), "the queue of the job that still runs")
}
