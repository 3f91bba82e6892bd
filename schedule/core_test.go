package schedule_test

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"almondcove/job"
	"almondcove/schedule"
	"almondcove/standin"
)

// batch returns a job of one step of batch tasks.
func batch(id job.ID, count int) *job.Job {
	return &job.Job{ID: id, Queue: "q", Team: "team", Spec: "x", Steps: []job.Step{{
		Count: count, Need: job.Resources{CPU: 2000, Memory: 1000}, Estimate: time.Second,
	}}}
}

// service returns a job of one step of service tasks. It allows one task on each VM
// and lets at most missing of the tasks be away at once.
func service(id job.ID, count, missing int) *job.Job {
	return &job.Job{ID: id, Queue: "q", Team: "team", Spec: "x", Steps: []job.Step{{
		Count: count, Need: job.Resources{CPU: 2000, Memory: 1000}, Service: true, MaxPerVM: 1,
		Budgeted: true, MaxUnavailable: missing,
	}}}
}

func phase(w *harness, id job.ID) job.Phase {
	p, ok := w.core.Job(id)
	if !ok {
		w.t.Fatalf("no job %s", id)
	}
	return p
}

// countRuns returns the number of runs that a task has on all VMs.
func countRuns(w *harness, id job.Task) int {
	n := 0
	for _, v := range w.vms {
		for _, r := range v.Running() {
			if r.Task == id {
				n++
			}
		}
	}
	return n
}

// TestJobCompletes checks that a step starts only after the step that it depends on,
// and that the job is completed with the last one.
func TestJobCompletes(t *testing.T) {
	g := gomega.NewWithT(t)
	w := newHarness(t, 2)
	w.run(time.Second)
	j := batch("1", 4)
	j.Steps = append(j.Steps, job.Step{Count: 2, Need: job.Resources{CPU: 1000}, After: []int{0}})
	w.submit(j)
	w.run(500 * time.Millisecond)
	g.Expect(phase(w, "1")).To(gomega.Equal(job.Running))
	g.Expect(w.starts).To(gomega.HaveLen(4), "the second step waits for the first")
	w.run(3 * time.Second)
	g.Expect(phase(w, "1")).To(gomega.Equal(job.Completed))
}

// TestSilentVM checks that the tasks of a VM that does not answer start elsewhere
// once its lease has expired, and not before.
func TestSilentVM(t *testing.T) {
	g := gomega.NewWithT(t)
	w := newHarness(t, 2)
	w.run(time.Second)
	w.submit(service("1", 1, 1))
	w.run(time.Second)
	id := job.Task{Job: "1"}
	for _, v := range w.vms {
		if len(v.Running()) > 0 {
			v.SetFault(standin.WorkerDropsOrders)
		}
	}
	w.run(5 * time.Second)
	g.Expect(countRuns(w, id)).To(gomega.Equal(1))
	w.run(4 * time.Second)
	g.Expect(countRuns(w, id)).To(gomega.Equal(1), "its lease expired on one VM, and it runs on the other")
	g.Expect(w.starts).To(gomega.HaveLen(2))
}

// TestUnansweredStart checks that a hold under a higher fencing token settles a start
// order that was carried out but not answered, so that the task runs only once.
func TestUnansweredStart(t *testing.T) {
	g := gomega.NewWithT(t)
	w := newHarness(t, 2)
	w.run(time.Second)
	for _, v := range w.vms {
		v.SetFault(standin.WorkerDropsResponses)
	}
	w.submit(batch("1", 1))
	w.step(50 * time.Millisecond)
	for _, v := range w.vms {
		v.SetFault(standin.WorkerHealthy)
	}
	for range 60 {
		w.step(50 * time.Millisecond)
		g.Expect(countRuns(w, job.Task{Job: "1"})).To(gomega.BeNumerically("<=", 1))
	}
	g.Expect(phase(w, "1")).To(gomega.Equal(job.Completed))
	g.Expect(w.starts).To(gomega.HaveLen(1))
}

// TestEndsAcrossOwners checks that a new owner accepts the end of a task although it
// has not read the end of the step before, so that nothing runs again. That happens
// if the previous owner recorded neither end.
func TestEndsAcrossOwners(t *testing.T) {
	g := gomega.NewWithT(t)
	w := newHarness(t, 2)
	w.run(time.Second)
	j := batch("1", 1)
	j.Steps = append(j.Steps, job.Step{Count: 1, Need: job.Resources{CPU: 8000}, After: []int{0}})
	w.submit(j)
	// Everything runs to its end, but nothing is recorded.
	for range 60 {
		w.now = w.now.Add(50 * time.Millisecond)
		for _, id := range w.vmIDs() {
			w.vms[id].Advance(w.now)
			w.hold(id)
		}
		w.executePlan()
	}
	starts := len(w.starts)
	g.Expect(starts).To(gomega.Equal(2))
	w.records["1"] = nil
	w.changeOwner()
	w.run(3 * time.Second)
	g.Expect(phase(w, "1")).To(gomega.Equal(job.Completed))
	g.Expect(w.starts).To(gomega.HaveLen(starts), "nothing runs again")
}

// TestUnwantedRunsTakeRoom checks that a run which a new owner stops uses capacity
// until it has ended. Otherwise the owner starts more tasks than the VM has room for.
func TestUnwantedRunsTakeRoom(t *testing.T) {
	g := gomega.NewWithT(t)
	w := newHarness(t, 1)
	w.run(time.Second)
	w.submit(service("1", 1, 1))
	w.jobs["1"].Steps[0].Need.CPU = 6000
	w.run(time.Second)
	// The cancellation is recorded, and the owner fails before it stops the task.
	w.core.Cancel("1", w.now)
	w.writeRecords()
	w.changeOwner()
	w.submit(batch("2", 4))
	for range 40 {
		w.step(50 * time.Millisecond)
		g.Expect(w.vms["vm-0"].Used().CPU).To(gomega.BeNumerically("<=", 8000))
	}
	g.Expect(w.stops).NotTo(gomega.BeEmpty())
}

// TestBudgetCountsSilentVMs checks that a service task on a silent VM counts against
// the availability budget of its step, so that no other task of the step is stopped
// for maintenance until the VM answers again.
func TestBudgetCountsSilentVMs(t *testing.T) {
	g := gomega.NewWithT(t)
	w := newHarness(t, 4)
	w.run(time.Second)
	w.submit(service("1", 3, 1))
	w.run(time.Second)
	silenced, other := 0, ""
	for _, id := range w.vmIDs() {
		if len(w.vms[id].Running()) > 0 && silenced == 0 {
			w.vms[id].SetFault(standin.WorkerDropsOrders)
			silenced++
		} else if len(w.vms[id].Running()) > 0 {
			other = id
		}
	}
	w.run(2 * time.Second)
	w.maintain(other, 1)
	w.run(time.Second)
	g.Expect(w.stops).To(gomega.BeEmpty())
	for _, v := range w.vms {
		v.SetFault(standin.WorkerHealthy)
	}
	w.run(3 * time.Second)
	g.Expect(w.maintained).To(gomega.Equal([]string{"m-" + other}))
}

// maintain gives each VM a machine and requests a maintenance wave for the machine
// of one VM, with at most maxAway machines under maintenance at once.
func (w *harness) maintain(vm string, maxAway int) {
	w.machines = nil
	for id, v := range w.vms {
		w.machines = append(w.machines, schedule.Machine{
			Name: "m-" + id, Pool: v.VM.Pool, VM: id, Capacity: v.VM.Capacity, Centre: v.VM.Centre,
		})
	}
	w.core.SetMachines(w.machines, w.now)
	w.view.Waves = []schedule.Wave{{Number: 1, Machines: []string{"m-" + vm}, TimeLimit: time.Minute, Cap: maxAway}}
	w.core.SetView(w.view, w.now)
}

// TestMaintenanceAcrossOwners checks that a new owner counts the machines that are
// under maintenance already, and does not send a machine there twice.
func TestMaintenanceAcrossOwners(t *testing.T) {
	g := gomega.NewWithT(t)
	w := newHarness(t, 3)
	w.run(time.Second)
	w.maintain("vm-0", 1)
	w.run(200 * time.Millisecond)
	g.Expect(w.maintained).To(gomega.Equal([]string{"m-vm-0"}))
	for i := range w.machines {
		if w.machines[i].Name == "m-vm-0" {
			w.machines[i].State = schedule.InMaintenance
		}
	}
	w.view.Waves[0].Machines = []string{"m-vm-0", "m-vm-1"}
	w.changeOwner()
	w.core.SetMachines(w.machines, w.now)
	w.run(time.Second)
	g.Expect(w.maintained).To(gomega.HaveLen(1), "one machine is under maintenance, and no more may be")
	for i := range w.machines {
		w.machines[i].State = schedule.Up
	}
	w.core.SetMachines(w.machines, w.now)
	w.run(time.Second)
	g.Expect(w.maintained).To(gomega.Equal([]string{"m-vm-0", "m-vm-1"}))
}

// TestFailedJob checks that a job fails once a task has failed as often as its queue
// allows, and that the second attempt runs on another VM. A failure counts only once
// the VM has reported it.
func TestFailedJob(t *testing.T) {
	g := gomega.NewWithT(t)
	w := newHarness(t, 3)
	w.run(time.Second)
	for _, v := range w.vms {
		v.SetRunsFail(true)
	}
	w.submit(batch("1", 1))
	w.run(1300 * time.Millisecond)
	g.Expect(phase(w, "1")).To(gomega.Equal(job.Running))
	w.run(3 * time.Second)
	g.Expect(phase(w, "1")).To(gomega.Equal(job.Failed))
	g.Expect(w.starts).To(gomega.HaveLen(2))
	g.Expect(w.starts[0].VM).NotTo(gomega.Equal(w.starts[1].VM), "the second attempt runs on another VM")
}

// TestHandOver checks that after a planned change of owner, the new owner starts
// waiting tasks at once although a VM is silent, and runs no task twice.
func TestHandOver(t *testing.T) {
	g := gomega.NewWithT(t)
	w := newHarness(t, 3)
	w.run(time.Second)
	w.submit(service("1", 1, 1))
	w.submit(batch("2", 24))
	w.run(500 * time.Millisecond)
	for _, v := range w.vms {
		if len(v.Running()) > 0 {
			v.SetFault(standin.WorkerDropsOrders)
			break
		}
	}
	w.run(500 * time.Millisecond)
	w.core.BeginHandover()
	w.writeRecords()
	w.changeOwner()
	starts := len(w.starts)
	w.run(300 * time.Millisecond)
	g.Expect(len(w.starts)).To(gomega.BeNumerically(">", starts), "waiting tasks start without the silent VM")
	w.run(12 * time.Second)
	g.Expect(phase(w, "2")).To(gomega.Equal(job.Completed))
}

// TestSuddenChangeOfOwner checks that after the failure of an owner, jobs that the
// new owner accepts start at once, while tasks that the previous owner may have
// started on a silent VM wait until the lease has expired.
func TestSuddenChangeOfOwner(t *testing.T) {
	g := gomega.NewWithT(t)
	w := newHarness(t, 3)
	w.run(time.Second)
	w.submit(batch("1", 2))
	w.step(50 * time.Millisecond)
	// The owner fails at once, and the VM that runs the tasks cannot be reached.
	for _, v := range w.vms {
		if len(v.Running()) > 0 {
			v.SetFault(standin.WorkerDropsOrders)
		}
	}
	w.changeOwner()
	starts := len(w.starts)
	w.run(300 * time.Millisecond)
	g.Expect(w.starts).To(gomega.HaveLen(starts), "the tasks may still run on the silent VM")
	w.submit(batch("2", 2))
	w.run(300 * time.Millisecond)
	g.Expect(w.starts).To(gomega.HaveLen(starts + 2))
	w.run(10 * time.Second)
	g.Expect(phase(w, "1")).To(gomega.Equal(job.Completed))
}

// TestSpreadBringsVMs checks that a pool gets another VM when its tasks cannot be
// spread over the VMs that it has, although their total capacity would do.
func TestSpreadBringsVMs(t *testing.T) {
	g := gomega.NewWithT(t)
	w := newHarness(t, 2)
	w.view.Spare = "spare"
	w.core.SetView(w.view, w.now)
	for id, v := range w.vms {
		w.machines = append(w.machines, schedule.Machine{Name: "m-" + id, Pool: "till", VM: id, Capacity: v.VM.Capacity})
	}
	w.machines = append(w.machines, schedule.Machine{Name: "m-spare", Pool: "spare", Capacity: job.Resources{CPU: 8000, Memory: 16000}})
	w.core.SetMachines(w.machines, w.now)
	w.run(time.Second)
	w.submit(service("1", 3, 1))
	w.run(time.Second)
	g.Expect(w.moved).To(gomega.ContainElement(schedule.Move{Machine: "m-spare", Pool: "till"}))
}

// TestTurns runs a load in which two queues take turns in asking for more than their
// pool has, and compares the jobs completed in time with and without moves of
// machines between the pools.
func TestTurns(t *testing.T) {
	g := gomega.NewWithT(t)
	without := runAlternatingLoad(t, false)
	with := runAlternatingLoad(t, true)
	t.Logf("completed in time: %d of %d without moves, %d with", without, alternatingJobs, with)
	g.Expect(with).To(gomega.BeNumerically(">=", without*11/10), "moves complete a tenth more jobs in time")
}

// alternatingJobs is the number of jobs that runAlternatingLoad submits.
const alternatingJobs = 384

// runAlternatingLoad returns the number of jobs that were completed in time.
func runAlternatingLoad(t *testing.T, enableMoves bool) int {
	w := newHarness(t, 4)
	w.view.Queues["r"] = schedule.Queue{Name: "r", Pool: "rest", Attempts: 2, Stretch: 1.6, Slack: 600 * time.Millisecond}
	w.view.Spare = "spare"
	w.core.SetView(w.view, w.now)
	for _, id := range []string{"r-0", "r-1", "r-2", "r-3"} {
		w.addVM(id, "rest")
	}
	w.listVMs()
	if enableMoves {
		w.enableMoves()
	}
	w.run(time.Second)
	deadlines := make(map[job.ID]time.Time)
	for second := range 16 {
		queue := []string{"q", "r"}[second/4%2]
		for k := range 24 {
			j := batch(job.ID(queue+string(rune('a'+second))+string(rune('A'+k))), 1)
			j.Queue = queue
			w.submit(j)
			deadlines[j.ID] = w.now.Add(2200 * time.Millisecond)
			if k%6 == 5 {
				w.run(250 * time.Millisecond)
			}
		}
	}
	inTime := 0
	for id, deadline := range deadlines {
		s := job.NewState(w.jobs[id])
		if w.records[id] == nil || s.Load(w.records[id]) != nil {
			continue
		}
		if s.Phase() == job.Completed && !s.Ended().After(deadline) {
			inTime++
		}
	}
	return inTime
}

// enableMoves gives each VM a machine and makes the platform carry out moves: the
// VM of a moved machine ends, and a new one starts in the new pool, unless that is
// the spare pool.
func (w *harness) enableMoves() {
	w.platform = func(a schedule.Move) {
		for i := range w.machines {
			m := &w.machines[i]
			if m.Name != a.Machine {
				continue
			}
			delete(w.vms, m.VM)
			m.Pool, m.VM = a.Pool, ""
			if a.Pool != w.view.Spare {
				m.VM = w.addVM(m.Name+"@"+w.now.String(), a.Pool).VM.ID
			}
		}
		w.listVMs()
		w.core.SetMachines(w.machines, w.now)
	}
	for id, v := range w.vms {
		w.machines = append(w.machines, schedule.Machine{Name: "m-" + id, Pool: v.VM.Pool, VM: id, Capacity: v.VM.Capacity})
	}
}

// TestStalledVM checks that tasks which make no progress on a VM that still answers
// are stopped and start elsewhere, so that the job is completed.
func TestStalledVM(t *testing.T) {
	g := gomega.NewWithT(t)
	w := newHarness(t, 2)
	w.run(time.Second)
	w.submit(batch("1", 4))
	w.step(50 * time.Millisecond)
	for _, v := range w.vms {
		if len(v.Running()) > 0 {
			v.SetFault(standin.WorkerStalled)
		}
	}
	w.run(4 * time.Second)
	g.Expect(phase(w, "1")).To(gomega.Equal(job.Completed))
	g.Expect(w.stops).To(gomega.HaveLen(4))
}

// TestPace checks that a filler is slowed down while the response times of a service
// task on the same VM are near their target, and gets back to full speed later.
func TestPace(t *testing.T) {
	g := gomega.NewWithT(t)
	w := newHarness(t, 1)
	w.run(time.Second)
	j := service("1", 1, 1)
	j.Steps[0].LatencyTarget = 100 * time.Millisecond
	w.submit(j)
	f := service("2", 1, 1)
	f.Steps[0].Filler = true
	w.submit(f)
	w.run(time.Second)
	w.vms["vm-0"].SetLoad(95)
	w.run(1500 * time.Millisecond)
	g.Expect(w.paces).NotTo(gomega.BeEmpty())
	g.Expect(w.paces[len(w.paces)-1]).To(gomega.BeNumerically("<=", 25))
	w.vms["vm-0"].SetLoad(10)
	w.run(12 * time.Second)
	g.Expect(w.paces[len(w.paces)-1]).To(gomega.Equal(100))
}

// TestAdvice checks that the tasks of an advised queue start only on VMs for which
// the advice service has given a ticket, and that the start orders carry the ticket.
func TestAdvice(t *testing.T) {
	g := gomega.NewWithT(t)
	w := newHarness(t, 3)
	q := w.view.Queues["q"]
	q.Advised = true
	w.view.Queues["q"] = q
	w.core.SetView(w.view, w.now)
	w.advice = map[string]string{"vm-1": "ticket"}
	w.run(time.Second)
	w.submit(batch("1", 3))
	w.run(3 * time.Second)
	g.Expect(phase(w, "1")).To(gomega.Equal(job.Completed))
	for _, s := range w.starts {
		g.Expect(s.VM).To(gomega.Equal("vm-1"))
		g.Expect(s.Ticket).To(gomega.Equal("ticket"))
	}
}

// TestMaintenanceOfUnheardVM checks that a new owner sends no machine to maintenance
// whose VM has not reported its runs yet, until the lease of these has expired.
func TestMaintenanceOfUnheardVM(t *testing.T) {
	g := gomega.NewWithT(t)
	w := newHarness(t, 3)
	w.run(time.Second)
	w.submit(service("1", 3, 1))
	w.run(time.Second)
	for _, v := range w.vms {
		v.SetFault(standin.WorkerDropsResponses)
	}
	w.changeOwner()
	w.maintain("vm-0", 1)
	w.run(time.Second)
	g.Expect(w.maintained).To(gomega.BeEmpty())
	w.vms["vm-1"].SetFault(standin.WorkerHealthy)
	w.vms["vm-2"].SetFault(standin.WorkerHealthy)
	w.run(2 * time.Second)
	g.Expect(w.maintained).To(gomega.BeEmpty())
	w.run(10 * time.Second)
	g.Expect(w.maintained).To(gomega.Equal([]string{"m-vm-0"}), "the lease of its runs has expired")
}

// TestClockAhead checks that a job starts at once even if it was accepted by a clock
// that is ahead of the owner's.
func TestClockAhead(t *testing.T) {
	g := gomega.NewWithT(t)
	w := newHarness(t, 2)
	w.run(time.Second)
	j := batch("1", 2)
	w.jobs["1"] = j
	w.records["1"] = nil
	j.Accepted, j.Epoch = w.now.Add(3*time.Second), w.epoch
	w.core.Add(j, job.NewState(j), w.now)
	w.run(2 * time.Second)
	g.Expect(phase(w, "1")).To(gomega.Equal(job.Completed))
}

// TestTimes checks that each occurrence of a timed job starts when it is due, and
// not before.
func TestTimes(t *testing.T) {
	g := gomega.NewWithT(t)
	w := newHarness(t, 2)
	w.run(time.Second)
	j := batch("1", 1)
	j.Times, j.FirstDue, j.Interval = 2, w.now.Add(3*time.Second), 2*time.Second
	w.submit(j)
	w.run(2900 * time.Millisecond)
	g.Expect(w.starts).To(gomega.BeEmpty())
	w.run(time.Second)
	g.Expect(w.starts).To(gomega.HaveLen(1))
	w.run(4 * time.Second)
	g.Expect(w.starts).To(gomega.HaveLen(2))
	g.Expect(phase(w, "1")).To(gomega.Equal(job.Completed))
}
