package schedule_test

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"almondcove/job"
	"almondcove/schedule"
	"almondcove/standin"
)

// TestPartsOfHandoverWithinLimit guards against a hand-over whose records of VMs with many runs
// are longer than the store takes, and against tasks that run twice because such a record is
// shortened.
func TestPartsOfHandoverWithinLimit(t *testing.T) {
	const limit = 2000
	g := gomega.NewWithT(t)
	h := newHarness(t, 60)
	h.maxRecordBytes, h.workTime = limit, time.Minute
	h.changeOwner()
	h.run(time.Second)
	for _, id := range []job.ID{"1", "2", "3"} {
		j := batch(id, 300)
		j.Steps[0].Need = job.Resources{CPU: 10, Memory: 10}
		h.submit(j)
	}
	h.run(3 * time.Second)
	h.core.BeginHandover()
	h.writeRecords()
	g.Expect(h.recordedFleet.HandedOver).To(gomega.BeTrue())
	exact, inexact := 0, 0
	for _, part := range h.recordedParts {
		data, err := part.Encode()
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(len(data)).To(gomega.BeNumerically("<=", limit))
		for _, place := range part.VMs {
			if place.Exact {
				exact++
			} else {
				inexact++
			}
		}
	}
	g.Expect(exact).To(gomega.BeNumerically(">", 0))
	g.Expect(inexact).To(gomega.BeNumerically(">", 0))
	for _, v := range h.vms {
		if len(v.Running()) > 0 {
			v.SetFault(standin.WorkerDropsOrders)
		}
	}
	h.changeOwner()
	h.run(2 * time.Second)
	for _, v := range h.vms {
		v.SetFault(standin.WorkerHealthy)
	}
	h.run(10 * time.Second)
	g.Expect(h.core.Stats().Starts).To(gomega.BeZero(), "all tasks run on")
}

// TestVMsOfUnknownPools guards against entries of other writers that are recorded and called
// although no configuration has their pool, and against VMs that are not used when theirs is
// configured later, or is gone.
func TestVMsOfUnknownPools(t *testing.T) {
	g := gomega.NewWithT(t)
	h := newHarness(t, 1)
	h.addVM("later", "new")
	h.listVMs()
	h.run(time.Second)
	known := func(id string) bool {
		_, ok := h.core.VM(id)
		return ok
	}
	g.Expect(known("vm-0")).To(gomega.BeTrue())
	g.Expect(known("later")).To(gomega.BeFalse())
	for _, part := range h.recordedParts {
		data, err := json.Marshal(part)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(string(data)).NotTo(gomega.ContainSubstring("later"))
	}
	h.view.Pools = []string{"new"}
	h.core.SetView(h.view, h.now)
	g.Expect(known("later")).To(gomega.BeTrue())
	h.view.Pools = nil
	h.view.Queues["q"] = schedule.Queue{Name: "q", Pool: "new", Attempts: 2}
	h.core.SetView(h.view, h.now)
	h.submit(batch("1", 1))
	h.run(2 * time.Second)
	g.Expect(phase(h, "1")).To(gomega.Equal(job.Completed))
	g.Expect(known("vm-0")).To(gomega.BeTrue(), "the pool till was configured")
}

// TestBatchOfLongStates guards against batches whose length grows with the number of jobs instead
// of having a bound, and against long records that are never taken.
func TestBatchOfLongStates(t *testing.T) {
	const jobs, bound = 10, 600 << 10
	g := gomega.NewWithT(t)
	h := newHarness(t, 4)
	h.run(time.Second)
	for i := range jobs {
		j := batch(job.ID(fmt.Sprint(i)), job.MaxTasks/2)
		j.Steps[0].Need.CPU, j.Steps[0].MaxPerVM = 500, 1
		j.Accepted, j.Epoch = h.now, h.epoch
		s := job.NewState(j)
		for index := range j.Steps[0].Count {
			s.RecordFailure(job.Task{Job: j.ID, Index: index}, 1_000_000)
		}
		h.jobs[j.ID] = j
		h.core.Add(j, s, h.now)
	}
	h.run(3 * time.Second)
	g.Expect(h.longestBatch).To(gomega.And(gomega.BeNumerically(">", bound/4), gomega.BeNumerically("<", bound)))
	recorded := 0
	for _, data := range h.records {
		if len(data) > 0 {
			recorded++
		}
	}
	g.Expect(recorded).To(gomega.BeNumerically(">", 1))
	g.Expect(h.core.Unrecorded()).To(gomega.BeFalse())
}

// TestBegunMaintenanceIsDivided guards against a record of the fleet that grows with all waves until
// the store does not take it, and against machines that a next owner sends to maintenance again.
func TestBegunMaintenanceIsDivided(t *testing.T) {
	const machines, waves, limit = 600, 10, 20_000
	g := gomega.NewWithT(t)
	h := newHarness(t, 1)
	h.maxRecordBytes = limit
	fleet := schedule.Fleet{Begun: make(map[int64][]string), VMs: []schedule.Place{{VM: h.vms["vm-0"].VM}}}
	for n := range int64(waves) {
		w := schedule.Wave{Number: n, TimeLimit: time.Hour, Cap: 1}
		for i := range machines {
			w.Machines = append(w.Machines, fmt.Sprintf("machine-%d", i))
		}
		h.view.Waves = append(h.view.Waves, w)
		fleet.Begun[n] = w.Machines
	}
	h.changeOwner()
	h.core.RestoreFleet(fleet, h.now, time.Second)
	h.run(2 * time.Second)
	data, err := json.Marshal(h.recordedFleet)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(len(data)).To(gomega.BeNumerically("<", limit))
	for _, part := range h.recordedParts {
		data, err := part.Encode()
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(len(data)).To(gomega.BeNumerically("<", limit))
	}
	for i := range machines {
		h.machines = append(h.machines, schedule.Machine{Name: fmt.Sprintf("machine-%d", i), Pool: "till", State: schedule.Up})
	}
	h.changeOwner()
	h.core.SetMachines(h.machines, h.now)
	h.run(2 * time.Second)
	for _, s := range h.core.WaveStates() {
		g.Expect(s.Complete).To(gomega.BeTrue(), "wave %d", s.Number)
	}
	g.Expect(h.maintained).To(gomega.BeEmpty())
}
