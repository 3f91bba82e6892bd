package job_test

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/onsi/gomega"

	"almondcove/job"
	"almondcove/record"
)

// TestStateOfLongSchedule guards against the record of a job's state that grows with each
// occurrence until the store does not take it any more.
func TestStateOfLongSchedule(t *testing.T) {
	g := gomega.NewWithT(t)
	const overlapping = 20
	r := rand.New(rand.NewPCG(1, 67))
	j := &job.Job{ID: "0123456789abcdef", Steps: []job.Step{{Count: 6}, {Count: 1}, {Count: 8}}, ScheduledOccurrences: job.MaxOccurrences}
	s := job.NewState(j)
	for first := 0; first < j.Occurrences(); first += overlapping {
		var tasks []job.Task
		for occurrence := range overlapping {
			for i, step := range j.Steps {
				for index := range step.Count {
					tasks = append(tasks, job.Task{Job: j.ID, Occurrence: first + occurrence, Step: i, Index: index})
				}
			}
		}
		r.Shuffle(len(tasks), func(i, k int) { tasks[i], tasks[k] = tasks[k], tasks[i] })
		for i, task := range tasks {
			s.RecordFailure(task, 1)
			s.MarkDone(task)
			if i == len(tasks)/2 {
				data, err := record.Encode(s)
				g.Expect(err).NotTo(gomega.HaveOccurred())
				g.Expect(len(data)).To(gomega.BeNumerically("<", 16<<10), "%d occurrences", first)
			}
		}
	}
	g.Expect(s.Phase()).To(gomega.Equal(job.Completed))
}

// TestStateSurvivesItsRecord guards against tasks that run again, or jobs that fail too late or too
// early, because the next owner reads another state than the one that was recorded.
func TestStateSurvivesItsRecord(t *testing.T) {
	for seed := range uint64(200) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			g := gomega.NewWithT(t)
			r := rand.New(rand.NewPCG(seed, 67))
			j := &job.Job{ID: "1", ScheduledOccurrences: r.IntN(12)}
			for range 1 + r.IntN(3) {
				j.Steps = append(j.Steps, job.Step{Count: 1 + r.IntN(130)*r.IntN(2)})
			}
			s := job.NewState(j)
			var tasks []job.Task
			for occurrence := range j.Occurrences() {
				share := r.Float64() * 1.5
				for i, step := range j.Steps {
					for index := range step.Count {
						task := job.Task{Job: "1", Occurrence: occurrence, Step: i, Index: index}
						tasks = append(tasks, task)
						for run := range r.IntN(3) {
							s.RecordFailure(task, 100*run)
						}
						if r.IntN(4) == 0 {
							s.SetCrashes(task, job.Crashes{Count: r.IntN(3), Suspect: r.IntN(2) == 0, Total: r.IntN(4), Sure: r.IntN(2)})
						}
						if r.Float64() < share {
							s.MarkDone(task)
						}
					}
				}
			}
			data, err := record.Encode(s)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			loaded := job.NewState(j)
			g.Expect(loaded.Load(data)).To(gomega.Succeed())
			again, err := record.Encode(loaded)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			g.Expect(again).To(gomega.Equal(data))
			g.Expect(loaded.Phase()).To(gomega.Equal(s.Phase()))
			if s.Phase().Final() {
				return
			}
			for _, task := range tasks {
				g.Expect(loaded.IsDone(task)).To(gomega.Equal(s.IsDone(task)), "%v", task)
				g.Expect(loaded.StageDone(task.Stage())).To(gomega.Equal(s.StageDone(task.Stage())), "%v", task)
				if !s.IsDone(task) {
					g.Expect(loaded.Failures(task)).To(gomega.Equal(s.Failures(task)), "%v", task)
					g.Expect(loaded.Crashes(task)).To(gomega.Equal(s.Crashes(task)), "%v", task)
					g.Expect(loaded.RecordFailure(task, 0)).To(gomega.Equal(s.Failures(task) == 0), "%v", task)
				}
			}
		})
	}
}

// TestStateOfEarlierVersion guards against the progress of a job that is lost when the version
// changes. An earlier version must fail to read a record of this one.
func TestStateOfEarlierVersion(t *testing.T) {
	g := gomega.NewWithT(t)
	j := &job.Job{ID: "1", Steps: []job.Step{{Count: 2}, {Count: 70}}, ScheduledOccurrences: 3}
	s := job.NewState(j)
	g.Expect(s.Load([]byte(`{"started":true,"done":[{"set":[3]},{"occurrence":1,"step":1,"set":[1,2]}],` +
		`"failed":[{"occurrence":1,"index":1,"runs":[1,7]}],"crashed":[{"step":1,"index":5,"count":2,"suspect":true,"total":3,"sure":1}]}`))).To(gomega.Succeed())
	task := func(occurrence, step, index int) job.Task {
		return job.Task{Job: "1", Occurrence: occurrence, Step: step, Index: index}
	}
	for _, c := range []struct {
		task job.Task
		done bool
	}{{task(0, 0, 0), true}, {task(0, 0, 1), true}, {task(0, 1, 0), false}, {task(1, 1, 0), true}, {task(1, 1, 65), true}, {task(1, 1, 1), false}} {
		g.Expect(s.IsDone(c.task)).To(gomega.Equal(c.done), "%v", c.task)
	}
	g.Expect(s.Failures(task(1, 0, 1))).To(gomega.Equal(2))
	g.Expect(s.Crashes(task(0, 1, 5))).To(gomega.Equal(job.Crashes{Count: 2, Suspect: true, Total: 3, Sure: 1}))

	data, err := json.Marshal(s)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	for _, name := range []string{"done", "failed", "crashed"} {
		var stored map[string]json.RawMessage
		g.Expect(json.Unmarshal(data, &stored)).To(gomega.Succeed())
		g.Expect(json.Unmarshal(stored[name], &[]struct{}{})).NotTo(gomega.Succeed(), name)
	}
}

// TestDamagedState guards against a record that is read as another state.
func TestDamagedState(t *testing.T) {
	for _, data := range []string{
		`{"done":{"complete":[[0,3]]}}`, `{"done":{"complete":[[-1,0]]}}`, `{"done":{"complete":[[2,1]]}}`,
		`{"done":{"steps":[{"first":1,"last":9,"set":[1]}]}}`, `{"done":{"stages":[{"step":4,"set":[1]}]}}`, `{"done":7}`,
		`{"failed":{"stages":[{"rows":[[]]}]}}`, `{"failed":[7]}`, `{"crashed":{"stages":[{"rows":[[0,1]]}]}}`, `{"crashed":"x"}`,
	} {
		t.Run(data, func(t *testing.T) {
			g := gomega.NewWithT(t)
			s := job.NewState(&job.Job{ID: "1", Steps: []job.Step{{Count: 1}}, ScheduledOccurrences: 3})
			g.Expect(s.Load([]byte(data))).To(gomega.BeAssignableToTypeOf(&job.Invalid{}))
			g.Expect(s.Started()).To(gomega.BeFalse())
		})
	}
}
