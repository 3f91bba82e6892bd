package schedule_test

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"almondcove/schedule"
	"almondcove/standin"
)

// TestBudgetAfterHandover guards against exceeding the availability budget of a step
// after a change of owner. A run that the previous owner has ordered to stop still
// reports to be at work, so the new owner must stop no other run of the step until that
// stop would have taken effect.
func TestBudgetAfterHandover(t *testing.T) {
	g := gomega.NewWithT(t)
	w := newHarness(t, 6)
	w.run(time.Second)
	j := service("1", 3, 1)
	j.Steps[0].MaxPerVM = 1
	w.submit(j)
	w.run(time.Second)
	var busy []string
	for _, id := range w.vmIDs() {
		w.vms[id].SetStopTime(700 * time.Millisecond)
		if len(w.vms[id].Running()) > 0 {
			busy = append(busy, id)
		}
	}
	g.Expect(busy).To(gomega.HaveLen(3))
	w.maintain(busy[0], 1)
	w.step(50 * time.Millisecond)
	g.Expect(w.stops).To(gomega.HaveLen(1))
	w.view.Waves = []schedule.Wave{{Number: 1, Machines: []string{"m-" + busy[1]}, TimeLimit: time.Minute, Cap: 1}}
	w.changeOwner()
	w.core.SetMachines(w.machines, w.now)
	for range 12 {
		w.step(50 * time.Millisecond)
		g.Expect(w.stops).To(gomega.HaveLen(1), "the first run is still being stopped")
	}
	w.run(5 * time.Second)
	g.Expect(w.maintained).To(gomega.ContainElement("m-" + busy[1]))
}

// TestNoMoreTimeAfterHandover guards against running a task twice after a handover. The
// record for the next owner says how long the leases of VMs last, so an owner that has
// written it must not renew them any more.
func TestNoMoreTimeAfterHandover(t *testing.T) {
	g := gomega.NewWithT(t)
	w := newHarness(t, 1)
	w.run(time.Second)
	w.submit(service("1", 1, 1))
	w.run(time.Second)
	g.Expect(w.starts).To(gomega.HaveLen(1))
	w.now = w.now.Add(2 * time.Second)
	w.core.BeginHandover()
	w.writeRecords()
	w.hold("vm-0")
	w.vms["vm-0"].SetFault(standin.WorkerDropsOrders)
	w.addVM("vm-1", "till")
	w.changeOwner()
	// The stand-in fleet reports two simultaneous runs of a task as a breach.
	w.run(8 * time.Second)
	g.Expect(w.starts).To(gomega.HaveLen(2))
}
