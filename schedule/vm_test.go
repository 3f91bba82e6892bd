package schedule_test

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"almondcove/job"
	"almondcove/schedule"
	"almondcove/standin"
)

// TestStaleReport: a VM's answer that was overtaken by a newer one says nothing
// about what runs now, so a task whose run has failed starts again.
func TestStaleReport(t *testing.T) {
	g := gomega.NewWithT(t)
	w := newWorld(t, 1)
	w.run(time.Second)
	w.submit(batch("1", 1))
	w.step(50 * time.Millisecond)
	w.step(100 * time.Millisecond)
	vm := w.vms["vm-0"]
	g.Expect(vm.Running()).To(gomega.HaveLen(1))
	early, _ := w.core.Hold("vm-0", w.now)
	overtaken, result := vm.Hold(early, w.now)
	g.Expect(result).To(gomega.Equal(schedule.Accepted))
	vm.Fail(true)
	w.run(time.Second)
	vm.Fail(false)
	w.hold("vm-0")
	w.core.Held(early, overtaken, w.now)
	w.run(3 * time.Second)
	g.Expect(phase(w, "1")).To(gomega.Equal(job.Completed))
	g.Expect(w.starts).To(gomega.HaveLen(2))
}

// TestLostAnswers: a VM one answer of which is lost takes tasks on, and one that
// answers nothing takes none.
func TestLostAnswers(t *testing.T) {
	for _, c := range []struct {
		lost, starts int
	}{{1, 1}, {2, 0}} {
		g := gomega.NewWithT(t)
		w := newWorld(t, 1)
		w.run(time.Second)
		vm := w.vms["vm-0"]
		vm.Set(standin.Dumb)
		for range c.lost {
			w.hold("vm-0")
		}
		vm.Set(standin.Obedient)
		w.submit(batch("1", 1))
		w.now = w.now.Add(25 * time.Millisecond)
		w.plan()
		g.Expect(w.starts).To(gomega.HaveLen(c.starts), "%d lost", c.lost)
		w.run(3 * time.Second)
		g.Expect(phase(w, "1")).To(gomega.Equal(job.Completed))
	}
}

// TestMachineDown: what ran on a VM whose machine is down starts elsewhere at
// once. A start without an answer waits until the machine runs another VM, since
// this one may come back under its id and carry it out.
func TestMachineDown(t *testing.T) {
	g := gomega.NewWithT(t)
	w := newWorld(t, 1)
	w.works = time.Minute
	w.run(time.Second)
	w.submit(batch("known", 2))
	w.step(50 * time.Millisecond)
	w.maintain("vm-0", 1)
	w.view.Waves = nil
	w.core.SetView(w.view, w.now)
	vm := w.vms["vm-0"]
	vm.Set(standin.Dumb)
	w.submit(batch("unsure", 1))
	w.plan()
	g.Expect(w.starts).To(gomega.HaveLen(3))
	w.addVM("vm-1", "till")
	w.list()
	vm.Set(standin.Deaf)
	vm.Restart(w.now)
	w.run(200 * time.Millisecond)
	g.Expect(w.starts).To(gomega.HaveLen(3))
	w.machines[0].VM, w.machines[0].State = "", schedule.Down
	w.core.SetMachines(w.machines, w.now)
	w.run(200 * time.Millisecond)
	g.Expect(w.starts).To(gomega.HaveLen(5), "two runs were known to be there")
	w.machines[0].VM, w.machines[0].State = "vm-2", schedule.Up
	w.core.SetMachines(w.machines, w.now)
	w.run(200 * time.Millisecond)
	g.Expect(w.starts).To(gomega.HaveLen(6))
}
