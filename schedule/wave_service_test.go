package schedule_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"almondcove/schedule"
)

// TestWaveMovesServiceTasksOnce guards against service tasks that are placed onto VMs which the same wave takes next.
func TestWaveMovesServiceTasksOnce(t *testing.T) {
	g := gomega.NewWithT(t)
	h := newHarness(t, 1)
	h.workTime = 20 * time.Second
	h.run(time.Second)
	h.submit(service("s", 1, 1))
	h.run(time.Second)
	for i, label := range []string{"busy", "busy", "idle", "idle"} {
		h.addVM(fmt.Sprint("vm-", i+1), "till").VM.Labels = []string{label, "rack-1"}
	}
	h.listVMs()
	load := batch("load", 2)
	load.Steps[0].Need.CPU, load.Steps[0].MaxPerVM, load.Steps[0].Label = 5000, 1, "busy"
	h.submit(load)
	h.run(time.Second)
	for _, id := range h.vmIDs() {
		h.machines = append(h.machines, schedule.Machine{Name: "m-" + id, Pool: "till", VM: id})
	}
	h.core.SetMachines(h.machines, h.now)
	due := []string{"m-vm-0", "m-vm-1", "m-vm-2"}
	h.view.Waves = []schedule.Wave{{Number: 1, Machines: due, TimeLimit: 30 * time.Second, Cap: 1}}
	h.core.SetView(h.view, h.now)
	for range 600 {
		h.step(50 * time.Millisecond)
		h.core.SetMachines(h.machines, h.now)
	}
	runs := make(map[schedule.Run]bool)
	for _, stop := range h.stops {
		if stop.Run.Task.Job == "s" {
			runs[stop.Run] = true
		}
	}
	g.Expect(h.maintained).To(gomega.ConsistOf(due))
	g.Expect(runs).To(gomega.HaveLen(1))
}
