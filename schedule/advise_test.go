package schedule_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"almondcove/job"
	"almondcove/schedule"
	"almondcove/standin"
)

// addAdvisedQueue adds a queue for which the advice service selects the VMs.
func (h *harness) addAdvisedQueue(name, pool string) {
	q := h.view.Queues["q"]
	q.Name, q.Pool, q.Advised = name, pool, true
	h.view.Queues[name] = q
	h.core.SetView(h.view, h.now)
}

// advisedBatch returns a job of batch tasks on the queue "advised".
func advisedBatch(id job.ID, count int) *job.Job {
	j := batch(id, count)
	j.Queue = "advised"
	return j
}

// TestAdviceKeepsNoOthersWaiting guards against stages that do not start although VMs have room
// for them, behind one that waits for something else than room: advice that allows none of the
// VMs, or a silent advice service.
func TestAdviceKeepsNoOthersWaiting(t *testing.T) {
	large := batch("other", 1)
	large.Steps[0].Need = job.Resources{CPU: 8000, Memory: 16000}
	gang := advisedBatch("waits", 2)
	gang.Steps[0].Gang = true
	spread := advisedBatch("waits", 2)
	spread.Steps[0].MaxPerVM = 1
	for _, c := range []struct {
		name   string
		waits  *job.Job
		other  *job.Job
		silent bool
		// several is set if ten more jobs wait like the first.
		several bool
	}{
		{name: "other queue", waits: advisedBatch("waits", 1), other: batch("other", 1)},
		{name: "same queue", waits: advisedBatch("waits", 1), other: advisedBatch("other", 1)},
		{name: "larger need", waits: advisedBatch("waits", 1), other: large},
		{name: "gang", waits: gang, other: batch("other", 1)},
		{name: "spread", waits: spread, other: batch("other", 1)},
		{name: "several", waits: advisedBatch("waits", 1), other: advisedBatch("other", 1), several: true},
		{name: "silent service", waits: advisedBatch("waits", 1), other: batch("other", 1), silent: true, several: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			h := newHarness(t, 3)
			h.addAdvisedQueue("advised", "till")
			h.advice = map[string]string{}
			h.adviceOf["other"] = map[string]string{"vm-1": "ticket"}
			h.adviceSilent = c.silent
			h.run(time.Second)
			h.submit(c.waits)
			if c.several {
				for i := range 10 {
					h.submit(advisedBatch(job.ID(fmt.Sprint("waits-", i)), 1))
				}
			}
			h.workTime = 300 * time.Millisecond
			h.run(200 * time.Millisecond)
			h.submit(c.other)
			// Jobs that are too late come after all others, so that they would not show it.
			h.run(time.Second)
			g.Expect(phase(h, "other")).To(gomega.Equal(job.Completed))
			g.Expect(phase(h, "waits")).To(gomega.Equal(job.Pending))
		})
	}
}

// TestAdviceAboutAllVMs guards against VMs of a large pool that no request for advice names,
// because others have more free processors.
func TestAdviceAboutAllVMs(t *testing.T) {
	g := gomega.NewWithT(t)
	h := newHarness(t, 40)
	h.addAdvisedQueue("advised", "till")
	h.advice = map[string]string{"vm-7": "ticket"}
	h.run(time.Second)
	h.workTime = time.Minute
	first := batch("first", 1)
	first.Steps[0].Label = "only"
	h.vms["vm-7"].VM.Labels = []string{"only"}
	h.listVMs()
	h.submit(first)
	h.run(time.Second)
	g.Expect(h.vms["vm-7"].Running()).To(gomega.HaveLen(1))
	h.workTime = time.Second
	h.submit(advisedBatch("1", 1))
	h.run(3 * time.Second)
	g.Expect(phase(h, "1")).To(gomega.Equal(job.Completed))
}

// TestAdviceIsAskedOnce guards against a service that is asked for ever about VMs that it does
// not allow. What it says of a VM holds until the VM restarts.
func TestAdviceIsAskedOnce(t *testing.T) {
	g := gomega.NewWithT(t)
	h := newHarness(t, 40)
	h.addAdvisedQueue("advised", "till")
	h.run(time.Second)
	h.submit(advisedBatch("1", 1))
	h.run(time.Minute)
	g.Expect(h.adviceAsked).To(gomega.HaveLen(2), "two requests name 40 VMs")

	h.vms["vm-3"].Restart(h.now)
	h.addVM("vm-new", "till")
	h.listVMs()
	h.advice = map[string]string{"vm-new": "ticket"}
	h.adviceAsked = nil
	h.run(3 * time.Second)
	named := make(map[string]bool)
	for _, a := range h.adviceAsked {
		for _, id := range a.VMs {
			named[id] = true
		}
	}
	g.Expect(named).To(gomega.Equal(map[string]bool{"vm-3": true, "vm-new": true}))
	g.Expect(phase(h, "1")).To(gomega.Equal(job.Completed))
}

// TestAdviceServiceFails guards against failed requests that are taken for refusals, and against
// more requests to a slow service than it can answer in time.
func TestAdviceServiceFails(t *testing.T) {
	g := gomega.NewWithT(t)
	h := newHarness(t, 3)
	h.addAdvisedQueue("advised", "till")
	h.advice = map[string]string{"vm-0": "ticket"}
	h.adviceSilent = true
	h.run(time.Second)
	for i := range 20 {
		h.submit(advisedBatch(job.ID(fmt.Sprint(i)), 1))
	}
	h.run(time.Second)
	g.Expect(len(h.adviceAsked)).To(gomega.BeNumerically("<=", 4))
	for _, a := range h.adviceAsked {
		h.core.AdviceFailed(a, h.now)
	}
	h.adviceSilent = false
	h.run(10 * time.Second)
	for i := range 20 {
		g.Expect(phase(h, job.ID(fmt.Sprint(i)))).To(gomega.Equal(job.Completed))
	}
}

// TestWaitingForAdviceBringsNoMachine guards against machines that are moved into a pool with
// idle VMs, because a stage there waits for advice.
func TestWaitingForAdviceBringsNoMachine(t *testing.T) {
	g := gomega.NewWithT(t)
	h := newHarness(t, 2)
	h.view.Spare = "off"
	h.addAdvisedQueue("advised", "till")
	for i := range 4 {
		name, pool, vm := fmt.Sprint("m-", i), "till", fmt.Sprint("vm-", i)
		if i >= 2 {
			pool, vm = "off", ""
		}
		h.machines = append(h.machines, schedule.Machine{Name: name, Pool: pool, VM: vm, Capacity: job.Resources{CPU: 8000, Memory: 16000}})
	}
	h.run(100 * time.Millisecond)
	h.submit(advisedBatch("1", 1))
	for range 10 {
		h.core.SetMachines(h.machines, h.now)
		h.run(200 * time.Millisecond)
	}
	for _, m := range h.moved {
		g.Expect(m.Pool).To(gomega.Equal("off"))
	}
}

// TestFillerBehindLargeTask guards against a filler that does not start behind a task that fits
// on no VM: the filler needs no processors of its own.
func TestFillerBehindLargeTask(t *testing.T) {
	g := gomega.NewWithT(t)
	h := newHarness(t, 2)
	h.run(time.Second)
	for i, need := range []job.Resources{{CPU: 6000, Memory: 1000}, {CPU: 1000, Memory: 16000}} {
		j := service(job.ID(fmt.Sprint("service-", i)), 1, 1)
		j.Steps[0].Need = need
		h.submit(j)
	}
	h.run(time.Second)
	large := batch("large", 1)
	large.Steps[0].Need = job.Resources{CPU: 7000, Memory: 100}
	h.submit(large)
	h.run(100 * time.Millisecond)
	filler := service("filler", 1, 1)
	filler.Steps[0].Filler, filler.Steps[0].Need = true, job.Resources{CPU: 7000, Memory: 200}
	h.submit(filler)
	h.run(time.Second)
	g.Expect(countRuns(h, job.Task{Job: "filler"})).To(gomega.Equal(1))
	g.Expect(phase(h, "large")).To(gomega.Equal(job.Pending))
}

// TestAllowedVMOutOfReach guards against jobs that wait behind one whose only allowed VM is out
// of reach, and checks that the job runs once the VM is back.
func TestAllowedVMOutOfReach(t *testing.T) {
	g := gomega.NewWithT(t)
	h := newHarness(t, 3)
	h.addAdvisedQueue("advised", "till")
	h.advice = map[string]string{"vm-2": "ticket"}
	h.run(time.Second)
	h.vms["vm-2"].SetFault(standin.WorkerDropsOrders)
	h.run(2 * time.Second)
	h.submit(advisedBatch("1", 1))
	h.submit(batch("2", 4))
	h.run(3 * time.Second)
	g.Expect(phase(h, "2")).To(gomega.Equal(job.Completed))
	g.Expect(phase(h, "1")).To(gomega.Equal(job.Pending))
	h.vms["vm-2"].SetFault(standin.WorkerHealthy)
	h.run(5 * time.Second)
	g.Expect(phase(h, "1")).To(gomega.Equal(job.Completed))
}

// TestSuspectGetsAdvice guards against a task that never starts again after a crash of its VM,
// because it waits for a trial on VMs of which the advice service was not asked.
func TestSuspectGetsAdvice(t *testing.T) {
	g := gomega.NewWithT(t)
	h := newHarness(t, 2)
	h.addAdvisedQueue("advised", "till")
	h.advice = map[string]string{"vm-0": "ticket"}
	h.run(time.Second)
	h.submit(advisedBatch("1", 1))
	h.step(50 * time.Millisecond)
	h.step(time.Millisecond)
	h.runsOn("till").Crash(h.now)
	h.run(20 * time.Second)
	g.Expect(phase(h, "1")).To(gomega.Equal(job.Completed))
}
