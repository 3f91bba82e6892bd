package schedule_test

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"almondcove/schedule"
	"almondcove/standin"
)

// TestBudgetAfterHandover guards against exceeding the availability budget of a step
// after a change of owner. A run that the previous owner has ordered to stop is
// still reported as at work, so the new owner must stop no other run of the step until
// that stop has had time to take effect.
func TestBudgetAfterHandover(t *testing.T) {
	g := gomega.NewWithT(t)
	h := newHarness(t, 6)
	h.run(time.Second)
	j := service("1", 3, 1)
	j.Steps[0].MaxPerVM = 1
	h.submit(j)
	h.run(time.Second)
	var busy []string
	for _, id := range h.vmIDs() {
		h.vms[id].SetStopTime(700 * time.Millisecond)
		if len(h.vms[id].Running()) > 0 {
			busy = append(busy, id)
		}
	}
	g.Expect(busy).To(gomega.HaveLen(3))
	h.maintain(busy[0], 1)
	h.step(50 * time.Millisecond)
	g.Expect(h.stops).To(gomega.HaveLen(1))
	h.view.Waves = []schedule.Wave{{Number: 1, Machines: []string{"m-" + busy[1]}, TimeLimit: time.Minute, Cap: 1}}
	h.changeOwner()
	h.core.SetMachines(h.machines, h.now)
	for range 12 {
		h.step(50 * time.Millisecond)
		g.Expect(h.stops).To(gomega.HaveLen(1), "the first run is still being stopped")
	}
	h.run(5 * time.Second)
	g.Expect(h.maintained).To(gomega.ContainElement("m-" + busy[1]))
}

// TestNoMoreTimeAfterHandover guards against running a task twice after a handover. The
// record for the next owner states how long the leases of the VMs last, so the previous
// owner must not renew them once it has written that record.
func TestNoMoreTimeAfterHandover(t *testing.T) {
	g := gomega.NewWithT(t)
	h := newHarness(t, 1)
	h.run(time.Second)
	h.submit(service("1", 1, 1))
	h.run(time.Second)
	g.Expect(h.starts).To(gomega.HaveLen(1))
	h.now = h.now.Add(2 * time.Second)
	h.core.BeginHandover()
	h.writeRecords()
	h.hold("vm-0")
	h.vms["vm-0"].SetFault(standin.WorkerDropsOrders)
	h.addVM("vm-1", "till")
	h.changeOwner()
	// The harness fails the test if two runs of the task exist at once.
	h.run(8 * time.Second)
	g.Expect(h.starts).To(gomega.HaveLen(2))
}
