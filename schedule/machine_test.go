package schedule_test

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"almondcove/schedule"
	"almondcove/standin"
)

// TestMachineOrdersAcrossOwners guards against orders of two owners for one machine that
// follow each other too closely, or in the wrong order: the previous owner's order may
// still be on its way. Nothing is known about an owner that has ended without notice. One
// that has left has recorded its orders, so that other machines need not wait.
func TestMachineOrdersAcrossOwners(t *testing.T) {
	for _, c := range []struct {
		name     string
		handOver bool
		// within holds the machines that are maintained in the first two seconds.
		within []string
	}{
		{"ended", false, nil},
		{"left", true, []string{"m-vm-1"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			h := newHarness(t, 3)
			h.machineOrderGap, h.lateMachineOrders = 3*time.Second, 3*time.Second
			h.changeOwner()
			h.run(4 * time.Second)
			h.maintain("vm-0", 2)
			h.view.Waves[0].Machines = []string{"m-vm-0"}
			h.core.SetView(h.view, h.now)
			h.run(200 * time.Millisecond)
			g.Expect(h.maintained).To(gomega.Equal([]string{"m-vm-0"}))
			h.vms["vm-0"].Restart(h.now)
			if c.handOver {
				h.core.BeginHandover()
				h.writeRecords()
			}
			h.maintained = nil
			h.view.Waves = []schedule.Wave{{Number: 2, Machines: []string{"m-vm-0", "m-vm-1"}, Cap: 2, TimeLimit: time.Minute}}
			h.changeOwner()
			h.core.SetMachines(h.machines, h.now)
			h.run(2 * time.Second)
			g.Expect(h.maintained).To(gomega.Equal(c.within))
			h.run(2 * time.Second)
			g.Expect(h.maintained).To(gomega.ConsistOf("m-vm-0", "m-vm-1"))
		})
	}
}

// TestWithdrawnWave guards against VMs that get no tasks any more because the wave for
// which they were emptied was withdrawn.
func TestWithdrawnWave(t *testing.T) {
	g := gomega.NewWithT(t)
	h := newHarness(t, 1)
	h.run(time.Second)
	h.submit(batch("1", 1))
	h.workTime = 2 * time.Second
	h.run(500 * time.Millisecond)
	h.maintain("vm-0", 1)
	h.run(500 * time.Millisecond)
	h.submit(batch("2", 1))
	h.run(500 * time.Millisecond)
	g.Expect(h.starts).To(gomega.HaveLen(1), "the VM is being drained")
	h.view.Waves = nil
	h.core.SetView(h.view, h.now)
	h.run(500 * time.Millisecond)
	g.Expect(h.maintained).To(gomega.BeEmpty())
	g.Expect(h.starts).To(gomega.HaveLen(2))
}

// TestRetiredVMAfterChangeOfOwner guards against a new owner that takes up VMs whose machines
// were moved or sent to maintenance, because the platform's list still shows them: it would
// call them again and again, and count them as supply.
func TestRetiredVMAfterChangeOfOwner(t *testing.T) {
	g := gomega.NewWithT(t)
	h := newHarness(t, 2)
	h.run(time.Second)
	h.maintain("vm-0", 1)
	h.run(500 * time.Millisecond)
	g.Expect(h.maintained).To(gomega.Equal([]string{"m-vm-0"}))
	known := func() bool {
		_, ok := h.core.VM("vm-0")
		return ok
	}
	h.listVMs()
	g.Expect(known()).To(gomega.BeFalse())
	h.changeOwner()
	g.Expect(known()).To(gomega.BeFalse(), "after a change of owner")
	h.run(8 * time.Second)
	h.changeOwner()
	g.Expect(known()).To(gomega.BeFalse(), "after another one")
	h.vms["vm-0"].Restart(h.now)
	h.listVMs()
	g.Expect(known()).To(gomega.BeTrue(), "a later process")
}

// TestGateOfReplacedVM guards against tasks that wait until the leases of a VM have expired,
// although its machine has been moved and runs another VM: the owner that moved it has ended
// before it could record that.
func TestGateOfReplacedVM(t *testing.T) {
	g := gomega.NewWithT(t)
	h := newHarness(t, 2)
	h.maintain("vm-0", 1)
	h.view.Waves = nil
	h.core.SetView(h.view, h.now)
	h.run(time.Second)
	h.vms["vm-0"].SetFault(standin.WorkerDropsOrders)
	h.gone["vm-0"] = true
	h.submit(batch("1", 1))
	h.changeOwner()
	h.run(500 * time.Millisecond)
	g.Expect(h.core.Backlog(h.now).Gates).To(gomega.Equal(1))
	g.Expect(h.starts).To(gomega.BeEmpty(), "vm-0 may run the task")
	g.Expect(h.core.NeedsMachineList()).To(gomega.BeTrue())
	for i := range h.machines {
		if h.machines[i].VM == "vm-0" {
			h.machines[i].VM = "vm-2"
		}
	}
	h.core.SetMachines(h.machines, h.now)
	h.run(500 * time.Millisecond)
	g.Expect(h.core.Backlog(h.now).Gates).To(gomega.BeZero())
	g.Expect(h.starts).To(gomega.HaveLen(1))
}
