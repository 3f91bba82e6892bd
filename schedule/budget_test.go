package schedule_test

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"almondcove/schedule"
	"almondcove/standin"
)

// TestBudgetAfterHandover: a run that the owner before has told to stop is still
// shown at work, so a new owner stops no other of its step until it would be gone.
func TestBudgetAfterHandover(t *testing.T) {
	g := gomega.NewWithT(t)
	w := newWorld(t, 6)
	w.run(time.Second)
	j := service("1", 3, 1)
	j.Steps[0].Spread = 1
	w.submit(j)
	w.run(time.Second)
	var busy []string
	for _, id := range w.ids() {
		w.vms[id].StopsIn(700 * time.Millisecond)
		if len(w.vms[id].Running()) > 0 {
			busy = append(busy, id)
		}
	}
	g.Expect(busy).To(gomega.HaveLen(3))
	w.maintain(busy[0], 1)
	w.step(50 * time.Millisecond)
	g.Expect(w.stops).To(gomega.HaveLen(1))
	w.view.Waves = []schedule.Wave{{Number: 1, Machines: []string{"m-" + busy[1]}, Within: time.Minute, Cap: 1}}
	w.elect()
	w.core.SetMachines(w.machines, w.now)
	for range 12 {
		w.step(50 * time.Millisecond)
		g.Expect(w.stops).To(gomega.HaveLen(1), "the first run is still being stopped")
	}
	w.run(5 * time.Second)
	g.Expect(w.maintained).To(gomega.ContainElement("m-" + busy[1]))
}

// TestNoMoreTimeAfterHandover: once the record for the next owner says how long
// VMs may go on, they are given no more time, so that the next owner may rely on it.
func TestNoMoreTimeAfterHandover(t *testing.T) {
	g := gomega.NewWithT(t)
	w := newWorld(t, 1)
	w.run(time.Second)
	w.submit(service("1", 1, 1))
	w.run(time.Second)
	g.Expect(w.starts).To(gomega.HaveLen(1))
	w.now = w.now.Add(2 * time.Second)
	w.core.Close()
	w.record()
	w.hold("vm-0")
	w.vms["vm-0"].Set(standin.Deaf)
	w.addVM("vm-1", "till")
	w.elect()
	// The stand-in of the fleet tells of two runs at the same time.
	w.run(8 * time.Second)
	g.Expect(w.starts).To(gomega.HaveLen(2))
}
