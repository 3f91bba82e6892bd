package schedule_test

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"almondcove/job"
	"almondcove/schedule"
	"almondcove/standin"
)

// TestStaleReport checks that a report which a newer one has overtaken is not taken
// for the current state. Otherwise a run that has failed since counts as running,
// and its task never starts again.
func TestStaleReport(t *testing.T) {
	g := gomega.NewWithT(t)
	w := newHarness(t, 1)
	w.run(time.Second)
	w.submit(batch("1", 1))
	w.step(50 * time.Millisecond)
	w.step(100 * time.Millisecond)
	vm := w.vms["vm-0"]
	g.Expect(vm.Running()).To(gomega.HaveLen(1))
	early, _ := w.core.Hold("vm-0", w.now)
	overtaken, result := vm.Hold(early, w.now)
	g.Expect(result).To(gomega.Equal(schedule.Accepted))
	vm.SetRunsFail(true)
	w.run(time.Second)
	vm.SetRunsFail(false)
	w.hold("vm-0")
	w.core.Held(early, overtaken, w.now)
	w.run(3 * time.Second)
	g.Expect(phase(w, "1")).To(gomega.Equal(job.Completed))
	g.Expect(w.starts).To(gomega.HaveLen(2))
}

// TestLostAnswers checks that a VM still gets tasks after a single lost answer to a
// hold, and gets none after two in a row.
func TestLostAnswers(t *testing.T) {
	for _, c := range []struct {
		lost, starts int
	}{{1, 1}, {2, 0}} {
		g := gomega.NewWithT(t)
		w := newHarness(t, 1)
		w.run(time.Second)
		vm := w.vms["vm-0"]
		vm.SetFault(standin.WorkerDropsResponses)
		for range c.lost {
			w.hold("vm-0")
		}
		vm.SetFault(standin.WorkerHealthy)
		w.submit(batch("1", 1))
		w.now = w.now.Add(25 * time.Millisecond)
		w.executePlan()
		g.Expect(w.starts).To(gomega.HaveLen(c.starts), "%d answers lost", c.lost)
		w.run(3 * time.Second)
		g.Expect(phase(w, "1")).To(gomega.Equal(job.Completed))
	}
}

// TestMachineDown checks that the tasks of a VM whose machine is down start
// elsewhere at once. A task whose start order got no answer waits until the machine
// runs another VM: before that, the first VM may come back under its id and carry
// out the order.
func TestMachineDown(t *testing.T) {
	g := gomega.NewWithT(t)
	w := newHarness(t, 1)
	w.workTime = time.Minute
	w.run(time.Second)
	w.submit(batch("known", 2))
	w.step(50 * time.Millisecond)
	w.maintain("vm-0", 1)
	w.view.Waves = nil
	w.core.SetView(w.view, w.now)
	vm := w.vms["vm-0"]
	vm.SetFault(standin.WorkerDropsResponses)
	w.submit(batch("unsure", 1))
	w.executePlan()
	g.Expect(w.starts).To(gomega.HaveLen(3))
	w.addVM("vm-1", "till")
	w.listVMs()
	vm.SetFault(standin.WorkerDropsOrders)
	vm.Restart(w.now)
	w.run(200 * time.Millisecond)
	g.Expect(w.starts).To(gomega.HaveLen(3))
	w.machines[0].VM, w.machines[0].State = "", schedule.Down
	w.core.SetMachines(w.machines, w.now)
	w.run(200 * time.Millisecond)
	g.Expect(w.starts).To(gomega.HaveLen(5), "the two runs that were known to run start again")
	w.machines[0].VM, w.machines[0].State = "vm-2", schedule.Up
	w.core.SetMachines(w.machines, w.now)
	w.run(200 * time.Millisecond)
	g.Expect(w.starts).To(gomega.HaveLen(6))
}
