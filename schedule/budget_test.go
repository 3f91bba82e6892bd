package schedule_test

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"almondcove/schedule"
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
