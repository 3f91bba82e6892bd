package schedule_test

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"almondcove/job"
	"almondcove/schedule"
)

// crashForGood crashes the VM of a machine, which runs none until startVM.
func (h *harness) crashForGood(machine string) {
	m := h.machine(machine)
	h.vms[m.VM].SetDowntime(time.Hour)
	h.vms[m.VM].Crash(h.now)
	h.gone[m.VM] = true
	m.VM, m.State = "", schedule.Down
	h.listVMs()
}

// startVM starts a VM on a machine. An id of an earlier VM means that this one starts again.
func (h *harness) startVM(machine, id string) {
	m := h.machine(machine)
	delete(h.gone, id)
	h.addVM(id, m.Pool)
	m.VM, m.State = id, schedule.Up
	h.listVMs()
}

func (h *harness) machine(name string) *schedule.Machine {
	for i := range h.machines {
		if h.machines[i].Name == name {
			return &h.machines[i]
		}
	}
	h.t.Fatalf("no machine %s", name)
	return nil
}

// playListing plays d with a list of the machines every half second, as the owner reads it.
func (h *harness) playListing(d time.Duration) {
	for range int(d / (500 * time.Millisecond)) {
		h.core.SetMachines(h.machines, h.now)
		h.run(500 * time.Millisecond)
	}
}

// TestMaintenanceEndsNoTasks guards against maintenance that ends the tasks of a VM which the
// machine has started since another one was emptied there.
func TestMaintenanceEndsNoTasks(t *testing.T) {
	for _, c := range []struct {
		name string
		// refused is set if the VM is empty and the platform refuses the order before the
		// crash. The machine is down for the given time and then starts a VM with that id.
		refused bool
		down    time.Duration
		id      string
	}{
		{"not yet empty", false, 2 * time.Second, "vm-9"},
		{"order refused", true, 2 * time.Second, "vm-9"},
		{"not yet empty, same id", false, 2 * time.Second, "vm-0"},
		{"order refused, same id", true, 2 * time.Second, "vm-0"},
		{"not yet empty, down for long", false, 12 * time.Second, "vm-9"},
		{"order refused, same id, down for long", true, 12 * time.Second, "vm-0"},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			h := newHarness(t, 1)
			h.run(time.Second)
			h.submit(service("1", 2, 0))
			h.run(time.Second)
			if c.refused {
				h.refusesOrders = true
				h.core.Cancel("1", h.now)
				h.run(time.Second)
			}
			h.maintain("vm-0", 1)
			h.playListing(time.Second)
			h.crashForGood("m-vm-0")
			h.playListing(c.down)
			h.submit(service("2", 1, 0))
			h.startVM("m-vm-0", c.id)
			h.refusesOrders = false
			h.playListing(20 * time.Second)
			h.addVM("vm-5", "till")
			h.listVMs()
			h.machines = append(h.machines, schedule.Machine{Name: "m-vm-5", Pool: "till", VM: "vm-5"})
			h.playListing(time.Minute)
			g.Expect(countRuns(h, job.Task{Job: "2"})).To(gomega.Equal(1))
			g.Expect(h.maintained).To(gomega.Equal([]string{"m-vm-0"}), "once the tasks have another VM")
		})
	}
}

// TestMoveEndsNoTasks guards against a move that ends the tasks of a VM which the machine has
// started since the move was ordered and refused.
func TestMoveEndsNoTasks(t *testing.T) {
	for _, id := range []string{"vm-9", "vm-0"} {
		t.Run(id, func(t *testing.T) {
			g := gomega.NewWithT(t)
			h := newHarness(t, 2)
			h.maintain("vm-0", 1)
			h.view.Waves, h.view.Spare = nil, "spare"
			h.core.SetView(h.view, h.now)
			h.refusesOrders = true
			h.playListing(2 * time.Second)
			moving := "m-vm-0"
			h.crashForGood(moving)
			h.playListing(time.Second)
			h.submit(service("1", 2, 0))
			h.startVM(moving, id)
			h.refusesOrders = false
			h.playListing(10 * time.Second)
			g.Expect(countRuns(h, job.Task{Job: "1"})).To(gomega.Equal(1))
			g.Expect(countRuns(h, job.Task{Job: "1", Index: 1})).To(gomega.Equal(1))
		})
	}
}

// TestOldEntryDrainsNoNewProcess guards against stopping service tasks because the list shows
// the entry of an earlier process of their VM, which was about to leave.
func TestOldEntryDrainsNoNewProcess(t *testing.T) {
	g := gomega.NewWithT(t)
	h := newHarness(t, 1)
	h.run(time.Second)
	earlier := h.vms["vm-0"].VM
	earlier.Draining = true
	h.vms["vm-0"].Restart(h.now)
	h.listVMs()
	h.submit(service("1", 1, 0))
	h.run(time.Second)
	g.Expect(countRuns(h, job.Task{Job: "1"})).To(gomega.Equal(1))
	h.core.SetVMs([]schedule.VM{earlier}, h.now)
	h.run(time.Second)
	g.Expect(h.stops).To(gomega.BeEmpty())
	h.listVMs()
	h.vms["vm-0"].VM.Draining = true
	h.listVMs()
	h.run(time.Second)
	g.Expect(h.stops).To(gomega.HaveLen(1), "the present process is about to leave")
}
