package schedule_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"almondcove/job"
	"almondcove/standin"
)

const (
	// crashVMs is the number of VMs in the tests of crashes. Each has room for four tasks.
	crashVMs = 8
	// loadInterval is the time from one job of four tasks to the next at which about 70
	// percent of the VMs' room is in use.
	loadInterval = 200 * time.Millisecond
	// playLimit is how long the jobs of a test may take to end.
	playLimit = time.Minute
	// minCrashes is how many VMs have to crash under a task before it may be given up.
	minCrashes = 2
	// maxCrashes is how many VMs may crash because of one task: the first crash has
	// bystanders, the second one shows that the task is the cause, and one is spare.
	maxCrashes = 3
	// maxServiceCrashes is how many VMs may crash because of one service task before it is
	// suspended: its job goes on, so it takes more to accuse it.
	maxServiceCrashes = 5
)

// newLoadJobs returns batch jobs of four tasks each.
func newLoadJobs(n int) []*job.Job {
	out := make([]*job.Job, n)
	for i := range out {
		out[i] = batch(job.ID(fmt.Sprintf("job-%03d", i)), 4)
	}
	return out
}

// play submits a job every interval, or all of them at once if that is zero, and runs until
// all jobs have ended, at most for playLimit. It calls afterStep after each step.
func (h *harness) play(jobs []*job.Job, interval time.Duration, afterStep func()) {
	begin := h.now
	for next := 0; h.now.Sub(begin) < playLimit; {
		for next < len(jobs) && h.now.Sub(begin) >= time.Duration(next)*interval {
			h.submit(jobs[next])
			next++
		}
		if next == len(jobs) && h.allEnded() {
			return
		}
		h.step(50 * time.Millisecond)
		afterStep()
	}
}

func (h *harness) allEnded() bool {
	for id := range h.jobs {
		if !phase(h, id).Final() {
			return false
		}
	}
	return true
}

// batchJobsLeft reports whether a job without service tasks has not ended.
func (h *harness) batchJobsLeft() bool {
	for id, j := range h.jobs {
		if !j.Steps[0].Service && !phase(h, id).Final() {
			return true
		}
	}
	return false
}

// anyVM reports whether a condition holds for at least one VM.
func (h *harness) anyVM(condition func(*standin.Worker) bool) bool {
	for _, v := range h.vms {
		if condition(v) {
			return true
		}
	}
	return false
}

// replaceOwner replaces the owner by a new one after it has planned and recorded, but before
// it carries out its plan. A planned replacement is a handover.
func (h *harness) replaceOwner(planned bool) {
	h.core.Plan(h.now)
	if planned {
		h.core.BeginHandover()
	}
	h.writeRecords()
	h.changeOwner()
}

// unexpectedPhases describes the jobs that have not completed, or that have not failed
// although they have a deadly task.
func (h *harness) unexpectedPhases() []string {
	want := make(map[job.ID]job.Phase)
	for task := range h.deadly {
		want[task.Job] = job.Failed
	}
	var out []string
	for id := range h.jobs {
		expected := job.Completed
		if p, ok := want[id]; ok {
			expected = p
		}
		if p := phase(h, id); p != expected {
			out = append(out, fmt.Sprintf("%s is %v, not %v", id, p, expected))
		}
	}
	slices.Sort(out)
	return out
}

// usedPercent returns how much of the VMs' cores is in use.
func (h *harness) usedPercent() int64 {
	var used, capacity int64
	for _, v := range h.vms {
		used += v.Used().CPU
		capacity += v.VM.Capacity.CPU
	}
	return 100 * used / capacity
}

// TestTaskThatCrashesVMs guards against a task that crashes VMs without end, and against bystanders that fail with it.
func TestTaskThatCrashesVMs(t *testing.T) {
	for _, after := range []time.Duration{0, 10 * time.Millisecond, 400 * time.Millisecond} {
		t.Run(after.String(), func(t *testing.T) {
			g := gomega.NewWithT(t)
			h := newHarness(t, crashVMs)
			h.run(time.Second)
			jobs := newLoadJobs(100)
			deadly := job.Task{Job: jobs[20].ID}
			h.setDeadly(deadly, after)
			peak := int64(0)
			h.play(jobs, loadInterval, func() { peak = max(peak, h.usedPercent()) })
			t.Logf("crashes: %d, most cores in use: %d%%", h.crashes(), peak)
			g.Expect(peak).To(gomega.BeNumerically(">=", 60), "several tasks run on each VM")
			g.Expect(h.unexpectedPhases()).To(gomega.BeEmpty())
			g.Expect(h.crashes()).To(gomega.And(gomega.BeNumerically(">=", minCrashes), gomega.BeNumerically("<=", maxCrashes)))
		})
	}
}

// TestSeveralTasksThatCrashVMs guards against bystanders that are given up because different tasks have crashed their VMs.
func TestSeveralTasksThatCrashVMs(t *testing.T) {
	for _, c := range []struct {
		name            string
		interval, after time.Duration
	}{
		{"one after another, crash at once", loadInterval, 0},
		{"one after another, crash after 10ms", loadInterval, 10 * time.Millisecond},
		{"one after another, crash after 400ms", loadInterval, 400 * time.Millisecond},
		{"all jobs together, crash at once", 0, 0},
		{"all jobs together, crash after 10ms", 0, 10 * time.Millisecond},
		{"all jobs together, crash after 400ms", 0, 400 * time.Millisecond},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			h := newHarness(t, crashVMs)
			h.run(time.Second)
			jobs := newLoadJobs(40)
			for i := 3; i < len(jobs); i += 7 {
				h.setDeadly(job.Task{Job: jobs[i].ID}, c.after)
			}
			g.Expect(h.deadly).To(gomega.HaveLen(6))
			h.play(jobs, c.interval, func() {})
			t.Logf("crashes: %d", h.crashes())
			g.Expect(h.unexpectedPhases()).To(gomega.BeEmpty())
		})
	}
}

// TestCrashesOutliveOwner guards against a task that crashes as many VMs under each owner as under the first.
func TestCrashesOutliveOwner(t *testing.T) {
	for _, c := range []struct {
		name               string
		whileDown, planned bool
	}{
		{"VM is back", false, false},
		{"VM is down", true, false},
		{"VM is back, planned change", false, true},
		{"VM is down, planned change", true, true},
	} {
		for _, after := range []time.Duration{0, 400 * time.Millisecond} {
			t.Run(fmt.Sprintf("%s, crash after %v", c.name, after), func(t *testing.T) {
				g := gomega.NewWithT(t)
				h := newHarness(t, crashVMs)
				h.run(time.Second)
				jobs := newLoadJobs(150)
				deadly := job.Task{Job: jobs[10].ID}
				h.setDeadly(deadly, after)
				changes := 0
				h.afterRecords = func() {
					if changes == 2 || h.checker.Crashes(deadly) <= changes || h.anyVM((*standin.Worker).Down) != c.whileDown {
						return
					}
					changes++
					h.replaceOwner(c.planned)
				}
				h.play(jobs, loadInterval, func() {})
				t.Logf("crashes: %d", h.crashes())
				g.Expect(changes).To(gomega.Equal(2))
				g.Expect(h.unexpectedPhases()).To(gomega.BeEmpty())
				g.Expect(h.crashes()).To(gomega.And(gomega.BeNumerically(">=", minCrashes), gomega.BeNumerically("<=", maxCrashes)))
			})
		}
	}
}

// TestVMsThatCrashByThemselves guards against jobs that are given up although no task is the cause of the crashes.
func TestVMsThatCrashByThemselves(t *testing.T) {
	const stepsPerCrash = 400
	crashAll := func(h *harness, ids []string) {
		for _, id := range ids {
			h.vms[id].Crash(h.now)
		}
	}
	for _, c := range []struct {
		name           string
		crashAfterStep func(h *harness, random *rand.Rand)
	}{
		{"at random", func(h *harness, random *rand.Rand) {
			for _, id := range h.vmIDs() {
				if random.IntN(stepsPerCrash) == 0 {
					h.vms[id].Crash(h.now)
				}
			}
		}},
		{"half of the VMs at once", func(h *harness, random *rand.Rand) {
			if random.IntN(60) == 0 {
				crashAll(h, h.vmIDs()[:crashVMs/2])
			}
		}},
		{"all VMs at once", func(h *harness, random *rand.Rand) {
			if random.IntN(60) == 0 {
				crashAll(h, h.vmIDs())
			}
		}},
		{"one VM whenever it runs a task", func(h *harness, random *rand.Rand) {
			if len(h.vms["vm-0"].Running()) > 0 && random.IntN(5) == 0 {
				h.vms["vm-0"].Crash(h.now)
			}
		}},
	} {
		for seed := range uint64(3) {
			t.Run(fmt.Sprintf("%s, seed %d", c.name, seed), func(t *testing.T) {
				g := gomega.NewWithT(t)
				h := newHarness(t, crashVMs)
				h.run(time.Second)
				random := rand.New(rand.NewPCG(seed, 0))
				lastCrash := h.now.Add(20 * time.Second)
				h.play(newLoadJobs(100), loadInterval, func() {
					if h.now.Before(lastCrash) {
						c.crashAfterStep(h, random)
					}
				})
				t.Logf("crashes: %d", h.crashes())
				g.Expect(h.crashes()).To(gomega.BeNumerically(">", 2))
				g.Expect(h.unexpectedPhases()).To(gomega.BeEmpty())
			})
		}
	}
}

// TestCrashesOfOnlyVM guards against tasks that wait without end for another VM than the one that has crashed.
func TestCrashesOfOnlyVM(t *testing.T) {
	for _, c := range []struct {
		name   string
		deadly bool
	}{
		{"by itself", false},
		{"by a task", true},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			h := newHarness(t, 1)
			h.run(time.Second)
			jobs := newLoadJobs(3)
			if c.deadly {
				h.setDeadly(job.Task{Job: jobs[1].ID}, 400*time.Millisecond)
			}
			h.play(jobs, 0, func() {
				if !c.deadly && h.crashes() == 0 && len(h.vms["vm-0"].Running()) > 0 {
					h.vms["vm-0"].Crash(h.now)
				}
			})
			t.Logf("crashes: %d", h.crashes())
			g.Expect(h.crashes()).To(gomega.BeNumerically(">", 0))
			g.Expect(h.unexpectedPhases()).To(gomega.BeEmpty())
		})
	}
}

// TestServiceTaskThatCrashesVMs guards against a service task that crashes VMs without end, and against other service tasks that end with it.
func TestServiceTaskThatCrashesVMs(t *testing.T) {
	for _, c := range []struct {
		name          string
		otherServices int
		idleVMs       bool
		after         time.Duration
	}{
		{"idle VMs, crash at once", 3, true, 0},
		{"idle VMs, crash after 400ms", 3, true, 400 * time.Millisecond},
		{"idle VMs, crash after 2s", 3, true, 2 * time.Second},
		{"no idle VM, crash at once", 5, false, 0},
		{"no idle VM, crash after 400ms", 5, false, 400 * time.Millisecond},
		{"no idle VM, crash after 2s", 5, false, 2 * time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			h := newHarness(t, crashVMs)
			h.run(time.Second)
			deadly := job.Task{Job: "deadly"}
			h.setDeadly(deadly, c.after)
			const tasks = 4
			for i := range c.otherServices {
				h.submit(service(job.ID(fmt.Sprint("other-", i)), tasks, 1))
			}
			h.run(time.Second)
			g.Expect(h.anyVM(func(v *standin.Worker) bool { return len(v.Running()) == 0 })).To(gomega.Equal(c.idleVMs))
			h.submit(service(deadly.Job, 2, 1))
			for begin := h.now; h.core.Stats().Suspended == 0 && h.now.Sub(begin) < playLimit; {
				h.step(50 * time.Millisecond)
			}
			g.Expect(h.core.Stats().Suspended).To(gomega.BeEquivalentTo(1))
			crashes := h.checker.Crashes(deadly)
			g.Expect(crashes).To(gomega.And(gomega.BeNumerically(">=", minCrashes), gomega.BeNumerically("<=", maxServiceCrashes)))
			h.run(playLimit)
			t.Logf("crashes: %d", h.crashes())
			g.Expect(h.checker.Crashes(deadly)).To(gomega.Equal(crashes), "the task does not start again")
			g.Expect(phase(h, deadly.Job)).To(gomega.Equal(job.Running))
			g.Expect(countRuns(h, job.Task{Job: deadly.Job, Index: 1})).To(gomega.Equal(1))
			g.Expect(h.stops).To(gomega.BeEmpty())
			for i := range c.otherServices {
				other := job.Task{Job: job.ID(fmt.Sprint("other-", i))}
				g.Expect(phase(h, other.Job)).To(gomega.Equal(job.Running))
				for other.Index = range tasks {
					g.Expect(countRuns(h, other)).To(gomega.Equal(1), "%v", other)
				}
			}
		})
	}
}

// TestGangThatCrashesVMs guards against a gang that starts without end because one of its members crashes its VM.
func TestGangThatCrashesVMs(t *testing.T) {
	for _, after := range []time.Duration{0, 10 * time.Millisecond, 400 * time.Millisecond} {
		t.Run(after.String(), func(t *testing.T) {
			g := gomega.NewWithT(t)
			h := newHarness(t, crashVMs)
			h.run(time.Second)
			jobs := newLoadJobs(60)
			gang := batch("gang", 4)
			gang.Steps[0].Gang, gang.Steps[0].MaxPerVM = true, 2
			jobs[10] = gang
			deadly := job.Task{Job: gang.ID, Index: 1}
			h.setDeadly(deadly, after)
			h.play(jobs, loadInterval, func() {})
			t.Logf("crashes: %d", h.crashes())
			g.Expect(h.unexpectedPhases()).To(gomega.BeEmpty())
			g.Expect(h.checker.Crashes(deadly)).To(gomega.BeNumerically(">=", minCrashes))
		})
	}
}

// TestServicesOnCrashingFleet guards against service tasks that are given up because suspects join them on their VMs.
func TestServicesOnCrashingFleet(t *testing.T) {
	for seed := range uint64(5) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			g := gomega.NewWithT(t)
			h := newHarness(t, crashVMs)
			h.run(time.Second)
			for i := range 2 {
				h.submit(service(job.ID(fmt.Sprint("service-", i)), 3, 1))
			}
			h.run(time.Second)
			random := rand.New(rand.NewPCG(seed, 1))
			jobs := newLoadJobs(100)
			for i := range jobs {
				if random.IntN(3) == 0 {
					h.setDeadly(job.Task{Job: jobs[i].ID}, 0)
				}
			}
			begin := h.now
			for next := 0; next < len(jobs) || h.now.Sub(begin) < 40*time.Second; {
				if next < len(jobs) && h.now.Sub(begin) >= time.Duration(next)*loadInterval {
					h.submit(jobs[next])
					next++
				}
				h.step(50 * time.Millisecond)
			}
			for begin := h.now; h.batchJobsLeft() && h.now.Sub(begin) < 2*playLimit; {
				h.step(50 * time.Millisecond)
			}
			g.Expect(h.batchJobsLeft()).To(gomega.BeFalse())
			h.run(10 * time.Second)
			g.Expect(h.core.Stats().Suspended).To(gomega.BeZero())
			for i := range 2 {
				id := job.ID(fmt.Sprint("service-", i))
				g.Expect(phase(h, id)).To(gomega.Equal(job.Running))
				for _, task := range tasksOf(id, 3) {
					g.Expect(countRuns(h, task)).To(gomega.Equal(1), "%v", task)
				}
			}
			t.Logf("crashes: %d", h.crashes())
		})
	}
}

// TestNoSuspectJoinsLongTrial guards against a task that is taken as the cause of a crash by another suspect.
func TestNoSuspectJoinsLongTrial(t *testing.T) {
	g := gomega.NewWithT(t)
	h := newHarness(t, 1)
	h.run(time.Second)
	add := func(j *job.Job, known job.Crashes) {
		j.Accepted, j.Epoch = h.now, h.epoch
		h.jobs[j.ID], h.records[j.ID] = j, nil
		s := job.NewState(j)
		s.SetCrashes(job.Task{Job: j.ID}, known)
		h.core.Add(j, s, h.now)
	}
	add(service("long", 1, 0), job.Crashes{Count: 2})
	h.step(50 * time.Millisecond)
	g.Expect(h.starts).To(gomega.HaveLen(1))
	add(batch("short", 1), job.Crashes{Count: 1, Suspect: true})
	h.run(150 * time.Millisecond)
	g.Expect(h.starts).To(gomega.HaveLen(1))
	h.run(3 * time.Second)
	g.Expect(h.starts).To(gomega.HaveLen(2), "the trial is passed")
}
