package schedule_test

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"almondcove/job"
	"almondcove/schedule"
	"almondcove/standin"
)

func batch(id job.ID, count int) *job.Job {
	return &job.Job{ID: id, Queue: "q", Team: "team", Spec: "x", Steps: []job.Step{{
		Count: count, Need: job.Resources{CPU: 2000, Memory: 1000}, Estimate: time.Second,
	}}}
}

func service(id job.ID, count, missing int) *job.Job {
	return &job.Job{ID: id, Queue: "q", Team: "team", Spec: "x", Steps: []job.Step{{
		Count: count, Need: job.Resources{CPU: 2000, Memory: 1000}, Service: true, MaxPerVM: 1,
		Budgeted: true, MaxUnavailable: missing,
	}}}
}

func phase(w *world, id job.ID) job.Phase {
	p, ok := w.core.Job(id)
	if !ok {
		w.t.Fatalf("no job %s", id)
	}
	return p
}

// runsOf returns on how many VMs a task runs.
func runsOf(w *world, id job.Task) int {
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

func TestJobCompletes(t *testing.T) {
	g := gomega.NewWithT(t)
	w := newWorld(t, 2)
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

// TestSilentVM: the tasks of a VM that answers nothing start elsewhere once
// what it was granted has lapsed, and not before.
func TestSilentVM(t *testing.T) {
	g := gomega.NewWithT(t)
	w := newWorld(t, 2)
	w.run(time.Second)
	w.submit(service("1", 1, 1))
	w.run(time.Second)
	id := job.Task{Job: "1"}
	for _, v := range w.vms {
		if len(v.Running()) > 0 {
			v.Set(standin.Deaf)
		}
	}
	w.run(5 * time.Second)
	g.Expect(runsOf(w, id)).To(gomega.Equal(1))
	w.run(4 * time.Second)
	g.Expect(runsOf(w, id)).To(gomega.Equal(1), "it lapsed on the one and runs on the other")
	g.Expect(w.starts).To(gomega.HaveLen(2))
}

// TestUnansweredStart: an order without an answer is settled by a hold under a
// higher fence; the task runs once.
func TestUnansweredStart(t *testing.T) {
	g := gomega.NewWithT(t)
	w := newWorld(t, 2)
	w.run(time.Second)
	for _, v := range w.vms {
		v.Set(standin.Dumb)
	}
	w.submit(batch("1", 1))
	w.step(50 * time.Millisecond)
	for _, v := range w.vms {
		v.Set(standin.Obedient)
	}
	for range 60 {
		w.step(50 * time.Millisecond)
		g.Expect(runsOf(w, job.Task{Job: "1"})).To(gomega.BeNumerically("<=", 1))
	}
	g.Expect(phase(w, "1")).To(gomega.Equal(job.Completed))
	g.Expect(w.starts).To(gomega.HaveLen(1))
}

// TestEndsAcrossOwners: a new owner takes in the end of a step whose earlier
// step it has not read yet.
func TestEndsAcrossOwners(t *testing.T) {
	g := gomega.NewWithT(t)
	w := newWorld(t, 2)
	w.run(time.Second)
	j := batch("1", 1)
	j.Steps = append(j.Steps, job.Step{Count: 1, Need: job.Resources{CPU: 8000}, After: []int{0}})
	w.submit(j)
	// Everything runs to its end, and nothing of it is recorded.
	for range 60 {
		w.now = w.now.Add(50 * time.Millisecond)
		for _, id := range w.ids() {
			w.vms[id].Work(w.now)
			w.hold(id)
		}
		w.plan()
	}
	starts := len(w.starts)
	g.Expect(starts).To(gomega.Equal(2))
	w.kept["1"] = nil
	w.elect()
	w.run(3 * time.Second)
	g.Expect(phase(w, "1")).To(gomega.Equal(job.Completed))
	g.Expect(w.starts).To(gomega.HaveLen(starts), "nothing runs again")
}

// TestUnwantedRunsTakeRoom: what a new owner stops on a VM counts until it ends.
func TestUnwantedRunsTakeRoom(t *testing.T) {
	g := gomega.NewWithT(t)
	w := newWorld(t, 1)
	w.run(time.Second)
	w.submit(service("1", 1, 1))
	w.jobs["1"].Steps[0].Need.CPU = 6000
	w.run(time.Second)
	// The cancelling is recorded, and the owner dies before it stops the task.
	w.core.Cancel("1", w.now)
	w.record()
	w.elect()
	w.submit(batch("2", 4))
	for range 40 {
		w.step(50 * time.Millisecond)
		g.Expect(w.vms["vm-0"].Used().CPU).To(gomega.BeNumerically("<=", 8000))
	}
	g.Expect(w.stops).NotTo(gomega.BeEmpty())
}

// TestBudgetCountsSilentVMs: a task on a VM that answers nothing is away, so no
// other of its step is stopped for maintenance.
func TestBudgetCountsSilentVMs(t *testing.T) {
	g := gomega.NewWithT(t)
	w := newWorld(t, 4)
	w.run(time.Second)
	w.submit(service("1", 3, 1))
	w.run(time.Second)
	busy, free := 0, ""
	for _, id := range w.ids() {
		if len(w.vms[id].Running()) > 0 && busy == 0 {
			w.vms[id].Set(standin.Deaf)
			busy++
		} else if len(w.vms[id].Running()) > 0 {
			free = id
		}
	}
	w.run(2 * time.Second)
	w.maintain(free, 1)
	w.run(time.Second)
	g.Expect(w.stops).To(gomega.BeEmpty())
	for _, v := range w.vms {
		v.Set(standin.Obedient)
	}
	w.run(3 * time.Second)
	g.Expect(w.maintained).To(gomega.Equal([]string{"m-" + free}))
}

// maintain asks for the maintenance of the machines of some VMs.
func (w *world) maintain(vm string, most int) {
	w.machines = nil
	for id, v := range w.vms {
		w.machines = append(w.machines, schedule.Machine{
			Name: "m-" + id, Pool: v.VM.Pool, VM: id, Capacity: v.VM.Capacity, Centre: v.VM.Centre,
		})
	}
	w.core.SetMachines(w.machines, w.now)
	w.view.Waves = []schedule.Wave{{Number: 1, Machines: []string{"m-" + vm}, TimeLimit: time.Minute, Cap: most}}
	w.core.SetView(w.view, w.now)
}

// TestMaintenanceAcrossOwners: a new owner counts what is under maintenance and
// doesn't send a machine there again.
func TestMaintenanceAcrossOwners(t *testing.T) {
	g := gomega.NewWithT(t)
	w := newWorld(t, 3)
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
	w.elect()
	w.core.SetMachines(w.machines, w.now)
	w.run(time.Second)
	g.Expect(w.maintained).To(gomega.HaveLen(1), "one machine is away, and one may be")
	for i := range w.machines {
		w.machines[i].State = schedule.Up
	}
	w.core.SetMachines(w.machines, w.now)
	w.run(time.Second)
	g.Expect(w.maintained).To(gomega.Equal([]string{"m-vm-0", "m-vm-1"}))
}

// TestFailedJob: a job fails with its attempts, and only ends that are listed count.
func TestFailedJob(t *testing.T) {
	g := gomega.NewWithT(t)
	w := newWorld(t, 3)
	w.run(time.Second)
	for _, v := range w.vms {
		v.Fail(true)
	}
	w.submit(batch("1", 1))
	w.run(1300 * time.Millisecond)
	g.Expect(phase(w, "1")).To(gomega.Equal(job.Running))
	w.run(3 * time.Second)
	g.Expect(phase(w, "1")).To(gomega.Equal(job.Failed))
	g.Expect(w.starts).To(gomega.HaveLen(2))
	g.Expect(w.starts[0].VM).NotTo(gomega.Equal(w.starts[1].VM), "the second attempt goes elsewhere")
}

// TestHandOver: after an owner has left, the next one starts what waits at once,
// also beside a VM that answers nothing, and runs nothing twice.
func TestHandOver(t *testing.T) {
	g := gomega.NewWithT(t)
	w := newWorld(t, 3)
	w.run(time.Second)
	w.submit(service("1", 1, 1))
	w.submit(batch("2", 24))
	w.run(500 * time.Millisecond)
	for _, v := range w.vms {
		if len(v.Running()) > 0 {
			v.Set(standin.Deaf)
			break
		}
	}
	w.run(500 * time.Millisecond)
	w.core.BeginHandover()
	w.record()
	w.elect()
	starts := len(w.starts)
	w.run(300 * time.Millisecond)
	g.Expect(len(w.starts)).To(gomega.BeNumerically(">", starts), "waiting tasks don't wait for the silent VM")
	w.run(12 * time.Second)
	g.Expect(phase(w, "2")).To(gomega.Equal(job.Completed))
}

// TestSuddenChangeOfOwner: jobs of the new owner start at once while what the
// old one may have started on a silent VM waits until it has lapsed.
func TestSuddenChangeOfOwner(t *testing.T) {
	g := gomega.NewWithT(t)
	w := newWorld(t, 3)
	w.run(time.Second)
	w.submit(batch("1", 2))
	w.step(50 * time.Millisecond)
	// The owner dies at once, and the VM that runs the tasks can't be reached.
	for _, v := range w.vms {
		if len(v.Running()) > 0 {
			v.Set(standin.Deaf)
		}
	}
	w.elect()
	starts := len(w.starts)
	w.run(300 * time.Millisecond)
	g.Expect(w.starts).To(gomega.HaveLen(starts), "they may still run there")
	w.submit(batch("2", 2))
	w.run(300 * time.Millisecond)
	g.Expect(w.starts).To(gomega.HaveLen(starts + 2))
	w.run(10 * time.Second)
	g.Expect(phase(w, "1")).To(gomega.Equal(job.Completed))
}

// TestSpreadBringsVMs: a pool whose tasks can't spread over its VMs gets more,
// though it has room in sum.
func TestSpreadBringsVMs(t *testing.T) {
	g := gomega.NewWithT(t)
	w := newWorld(t, 2)
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

// TestTurns plays a load in which two queues take turns at asking for more than
// their pool has, and checks what callers get with and without moves.
func TestTurns(t *testing.T) {
	g := gomega.NewWithT(t)
	still := playTurns(t, false)
	moving := playTurns(t, true)
	t.Logf("completed in time: %d of %d without moves, %d with", still, turnsJobs, moving)
	g.Expect(moving).To(gomega.BeNumerically(">=", still*11/10), "moves serve a tenth more in time")
}

// turnsJobs is the number of jobs that playTurns hands in.
const turnsJobs = 384

func playTurns(t *testing.T, moves bool) int {
	w := newWorld(t, 4)
	w.view.Queues["r"] = schedule.Queue{Name: "r", Pool: "rest", Attempts: 2, Stretch: 1.6, Slack: 600 * time.Millisecond}
	w.view.Spare = "spare"
	w.core.SetView(w.view, w.now)
	for _, id := range []string{"r-0", "r-1", "r-2", "r-3"} {
		w.addVM(id, "rest")
	}
	w.list()
	if moves {
		w.moves()
	}
	w.run(time.Second)
	late := make(map[job.ID]time.Time)
	for second := range 16 {
		queue := []string{"q", "r"}[second/4%2]
		for k := range 24 {
			j := batch(job.ID(queue+string(rune('a'+second))+string(rune('A'+k))), 1)
			j.Queue = queue
			w.submit(j)
			late[j.ID] = w.now.Add(2200 * time.Millisecond)
			if k%6 == 5 {
				w.run(250 * time.Millisecond)
			}
		}
	}
	good := 0
	for id, limit := range late {
		s := job.NewState(w.jobs[id])
		if w.kept[id] == nil || s.Load(w.kept[id]) != nil {
			continue
		}
		if s.Phase() == job.Completed && !s.Ended().After(limit) {
			good++
		}
	}
	return good
}

// moves makes the platform carry out moves: a machine's VM ends, and another one
// comes up in the new pool.
func (w *world) moves() {
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
		w.list()
		w.core.SetMachines(w.machines, w.now)
	}
	for id, v := range w.vms {
		w.machines = append(w.machines, schedule.Machine{Name: "m-" + id, Pool: v.VM.Pool, VM: id, Capacity: v.VM.Capacity})
	}
}

// TestStalledVM: tasks that make no progress on a VM which answers start
// elsewhere, and the job is completed.
func TestStalledVM(t *testing.T) {
	g := gomega.NewWithT(t)
	w := newWorld(t, 2)
	w.run(time.Second)
	w.submit(batch("1", 4))
	w.step(50 * time.Millisecond)
	for _, v := range w.vms {
		if len(v.Running()) > 0 {
			v.Set(standin.Stalled)
		}
	}
	w.run(4 * time.Second)
	g.Expect(phase(w, "1")).To(gomega.Equal(job.Completed))
	g.Expect(w.stops).To(gomega.HaveLen(4))
}

// TestPace: a filler beside a service task that comes near its target is slowed
// down, and let go on again when the service task is well.
func TestPace(t *testing.T) {
	g := gomega.NewWithT(t)
	w := newWorld(t, 1)
	w.run(time.Second)
	j := service("1", 1, 1)
	j.Steps[0].LatencyTarget = 100 * time.Millisecond
	w.submit(j)
	f := service("2", 1, 1)
	f.Steps[0].Filler = true
	w.submit(f)
	w.run(time.Second)
	w.vms["vm-0"].Load(95)
	w.run(1500 * time.Millisecond)
	g.Expect(w.paces).NotTo(gomega.BeEmpty())
	g.Expect(w.paces[len(w.paces)-1]).To(gomega.BeNumerically("<=", 25))
	w.vms["vm-0"].Load(10)
	w.run(12 * time.Second)
	g.Expect(w.paces[len(w.paces)-1]).To(gomega.Equal(100))
}

// TestAdvice: the tasks of an advised queue start only on VMs with a ticket, and
// carry it.
func TestAdvice(t *testing.T) {
	g := gomega.NewWithT(t)
	w := newWorld(t, 3)
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

// TestMaintenanceOfUnheardVM: a new owner sends no machine to maintenance whose VM
// has not said yet what it runs.
func TestMaintenanceOfUnheardVM(t *testing.T) {
	g := gomega.NewWithT(t)
	w := newWorld(t, 3)
	w.run(time.Second)
	w.submit(service("1", 3, 1))
	w.run(time.Second)
	for _, v := range w.vms {
		v.Set(standin.Dumb)
	}
	w.elect()
	w.maintain("vm-0", 1)
	w.run(time.Second)
	g.Expect(w.maintained).To(gomega.BeEmpty())
	w.vms["vm-1"].Set(standin.Obedient)
	w.vms["vm-2"].Set(standin.Obedient)
	w.run(2 * time.Second)
	g.Expect(w.maintained).To(gomega.BeEmpty())
	w.run(10 * time.Second)
	g.Expect(w.maintained).To(gomega.Equal([]string{"m-vm-0"}), "what it ran has lapsed")
}

// TestClockAhead: a job that was accepted by a clock ahead of the owner's starts at once.
func TestClockAhead(t *testing.T) {
	g := gomega.NewWithT(t)
	w := newWorld(t, 2)
	w.run(time.Second)
	j := batch("1", 2)
	w.jobs["1"] = j
	w.kept["1"] = nil
	j.Accepted, j.Epoch = w.now.Add(3*time.Second), w.epoch
	w.core.Add(j, job.NewState(j), w.now)
	w.run(2 * time.Second)
	g.Expect(phase(w, "1")).To(gomega.Equal(job.Completed))
}

// TestTimes: each occurrence of a timed job starts when it is due and not before.
func TestTimes(t *testing.T) {
	g := gomega.NewWithT(t)
	w := newWorld(t, 2)
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
