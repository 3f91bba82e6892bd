package schedule_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"almondcove/job"
	"almondcove/standin"
)

// maxServiceWait is how long a service task may be without a run while VMs have room for it.
const maxServiceWait = 9 * time.Second

// vmOf returns the VM that runs a task, or nil.
func (h *harness) vmOf(t job.Task) *standin.Worker {
	for _, v := range h.vms {
		for _, r := range v.Running() {
			if r.Task == t {
				return v
			}
		}
	}
	return nil
}

// longestWait tracks the longest time for which one of some tasks had no run.
type longestWait struct {
	since   map[job.Task]time.Time
	longest time.Duration
}

func (w *longestWait) look(h *harness, tasks []job.Task) {
	if w.since == nil {
		w.since = make(map[job.Task]time.Time)
	}
	for _, t := range tasks {
		if h.vmOf(t) != nil {
			delete(w.since, t)
			continue
		}
		if w.since[t].IsZero() {
			w.since[t] = h.now
		}
		w.longest = max(w.longest, h.now.Sub(w.since[t]))
	}
}

func tasksOf(id job.ID, count int) []job.Task {
	out := make([]job.Task, count)
	for i := range out {
		out[i] = job.Task{Job: id, Index: i}
	}
	return out
}

// TestCrashesEndNoService guards against a service whose tasks are stopped because the VMs of one of them have crashed.
func TestCrashesEndNoService(t *testing.T) {
	for _, after := range []time.Duration{100 * time.Millisecond, time.Second, 3 * time.Second} {
		for _, withOwnerChange := range []bool{false, true} {
			t.Run(fmt.Sprint(after, ", owner changes: ", withOwnerChange), func(t *testing.T) {
				g := gomega.NewWithT(t)
				h := newHarness(t, crashVMs)
				h.run(time.Second)
				h.submit(service("s", 4, 1))
				h.run(time.Second)
				tasks := tasksOf("s", 4)
				var w longestWait
				runFor := func(d time.Duration) {
					for range int(d / (50 * time.Millisecond)) {
						h.step(50 * time.Millisecond)
						w.look(h, tasks)
					}
				}
				for range 4 {
					runFor(after)
					if v := h.vmOf(tasks[0]); v != nil {
						v.Crash(h.now)
					}
					runFor(500 * time.Millisecond)
					if withOwnerChange {
						h.changeOwner()
					}
					for n := 0; h.vmOf(tasks[0]) == nil && n < 400; n++ {
						runFor(50 * time.Millisecond)
					}
				}
				runFor(30 * time.Second)
				g.Expect(phase(h, "s")).To(gomega.Equal(job.Running))
				g.Expect(h.stops).To(gomega.BeEmpty())
				g.Expect(w.longest).To(gomega.BeNumerically("<=", maxServiceWait))
			})
		}
	}
}

// TestServicesBesideDeadlyJobsAndLostCentres guards against services that end, or wait for long, because VMs crash under other tasks and with their data centres.
func TestServicesBesideDeadlyJobsAndLostCentres(t *testing.T) {
	for seed := range uint64(12) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			g := gomega.NewWithT(t)
			random := rand.New(rand.NewPCG(seed, 36))
			h := newHarness(t, 0)
			centres := []string{"east", "west", "north"}
			for i := range 15 {
				h.addVM(fmt.Sprint("vm-", i), "till").VM.Centre = centres[i%len(centres)]
			}
			h.listVMs()
			h.run(time.Second)
			var tasks []job.Task
			for i := range 3 {
				id := job.ID(fmt.Sprint("service-", i))
				h.submit(service(id, 4, 1))
				tasks = append(tasks, tasksOf(id, 4)...)
			}
			h.run(time.Second)
			jobs := newLoadJobs(150)
			for i := range jobs {
				if random.IntN(5) == 0 {
					h.setDeadly(job.Task{Job: jobs[i].ID}, time.Duration(random.IntN(600))*time.Millisecond)
				}
			}
			nextLoss := h.now.Add(5 * time.Second)
			var w longestWait
			h.play(jobs, loadInterval, func() {
				if h.now.After(nextLoss) {
					nextLoss = h.now.Add(time.Duration(4000+random.IntN(4000)) * time.Millisecond)
					lost := centres[random.IntN(len(centres))]
					for _, id := range h.vmIDs() {
						if v := h.vms[id]; v.VM.Centre == lost {
							v.SetDowntime(time.Duration(1500+random.IntN(1500)) * time.Millisecond)
							v.Crash(h.now)
						}
					}
				}
				w.look(h, tasks)
			})
			for i := range 3 {
				g.Expect(phase(h, job.ID(fmt.Sprint("service-", i)))).To(gomega.Equal(job.Running))
			}
			for _, s := range h.stops {
				g.Expect(h.jobs[s.Run.Task.Job].Steps[0].Service).To(gomega.BeFalse(), "%v", s)
			}
			g.Expect(w.longest).To(gomega.BeNumerically("<=", maxServiceWait))
			g.Expect(h.core.Stats().Suspended).To(gomega.BeZero())
		})
	}
}

// TestSuspectsAreNotPassedOver guards against suspects that are never looked at because tasks that need less fit nowhere.
func TestSuspectsAreNotPassedOver(t *testing.T) {
	g := gomega.NewWithT(t)
	h := newHarness(t, 1)
	h.run(time.Second)
	suspect := batch("suspect", 1)
	suspect.Steps[0].Need.CPU = 4000
	for i := range 200 {
		if i%2 == 0 {
			h.submit(batch(job.ID(fmt.Sprintf("load-%03d", i)), 1))
		}
		if i == 10 {
			suspect.Accepted, suspect.Epoch = h.now, h.epoch
			h.jobs[suspect.ID], h.records[suspect.ID] = suspect, nil
			s := job.NewState(suspect)
			s.SetCrashes(job.Task{Job: suspect.ID}, job.Crashes{Count: 2, Total: 2})
			h.core.Add(suspect, s, h.now)
		}
		h.step(50 * time.Millisecond)
	}
	g.Expect(phase(h, suspect.ID)).To(gomega.Equal(job.Completed))
}

// TestBystandersAreCleared guards against tasks that stay suspects after the cause of their crashes was found.
func TestBystandersAreCleared(t *testing.T) {
	g := gomega.NewWithT(t)
	h := newHarness(t, 1)
	h.workTime = 5 * time.Second
	h.run(time.Second)
	h.setDeadly(job.Task{Job: "a"}, 400*time.Millisecond)
	h.submit(batch("a", 1))
	bystander := batch("b", 1)
	h.submit(bystander)
	crashes := func() job.Crashes {
		s := job.NewState(bystander)
		if data := h.records[bystander.ID]; data != nil {
			g.Expect(s.Load(data)).To(gomega.Succeed())
		}
		return s.Crashes(job.Task{Job: bystander.ID})
	}
	most := 0
	for begin := h.now; !phase(h, "a").Final() && h.now.Sub(begin) < playLimit; {
		h.step(50 * time.Millisecond)
		most = max(most, crashes().Count)
	}
	g.Expect(most).To(gomega.Equal(2), "both ran through two crashes")
	g.Expect(phase(h, "a")).To(gomega.Equal(job.Failed))
	h.run(time.Second)
	g.Expect(crashes().Count).To(gomega.BeZero())
	g.Expect(phase(h, bystander.ID).Final()).To(gomega.BeFalse())
}

// TestDeadlyTasksThatMeet guards against deadly tasks that are started again and again because crashes in which they met others are put down to these.
func TestDeadlyTasksThatMeet(t *testing.T) {
	for seed := range uint64(40) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			g := gomega.NewWithT(t)
			random := rand.New(rand.NewPCG(seed, 37))
			h := newHarness(t, 6)
			h.run(time.Second)
			jobs := newLoadJobs(40)
			for i := range jobs {
				if random.IntN(3) == 0 {
					h.setDeadly(job.Task{Job: jobs[i].ID}, time.Duration(random.IntN(20))*time.Millisecond)
				}
			}
			changed := false
			// One change of owner may lose the record of one crash.
			change := h.now.Add(time.Duration(1000+random.IntN(4000)) * time.Millisecond)
			h.play(jobs, 100*time.Millisecond, func() {
				switch {
				case changed || h.now.Before(change):
				case h.now.Before(change.Add(100 * time.Millisecond)):
					h.storeDown = true
				default:
					changed = true
					h.changeOwner()
					h.storeDown = false
				}
			})
			g.Expect(h.unexpectedPhases()).To(gomega.BeEmpty())
		})
	}
}
