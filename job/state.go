package job

import (
	"maps"
	"slices"
	"time"
)

// Phase is a phase in the life cycle of a job.
type Phase int

// The phases of a job. Those from Completed on are final.
const (
	Pending Phase = iota
	Running
	Completed
	Failed
	Cancelled
)

var phaseNames = [...]string{"pending", "running", "completed", "failed", "cancelled"}

func (p Phase) String() string { return phaseNames[p] }

// Final reports whether the phase never changes again.
func (p Phase) Final() bool { return p >= Completed }

// State is the recorded progress of a job. The zero value is not usable; call
// [NewState].
type State struct {
	job *Job
	// complete holds the occurrences of which all tasks are done. done holds, for the others,
	// the indexes of the tasks of each stage that are done, and left how many tasks of each
	// occurrence are not, if any is.
	complete *indexSet
	done     map[Stage]*indexSet
	left     map[int]int
	// tasks is the number of tasks of one occurrence.
	tasks int
	// failedRuns holds the numbers of the failed runs of each task.
	failedRuns map[Task][]int
	// crashes holds what is known of the crashes of VMs under each task.
	crashes map[Task]Crashes
	// remaining is the number of tasks, in all occurrences, that are not done.
	remaining int
	// started is set once any task has been started.
	started bool
	// finalPhase is set when the job was cancelled or has failed, and in a pruned or
	// loaded state of any job that has ended. Pending means that it is not set.
	finalPhase Phase
	// endedAt is when the job reached its final phase; zero means that this is not
	// recorded yet.
	endedAt time.Time
	// leftover holds, by index, what is kept of the steps of which runs may have outlived the
	// job.
	leftover map[int]Step
}

// Crashes is what is known of the crashes of VMs under a task.
type Crashes struct {
	// Count is how many VMs have crashed while they ran the task, without those crashes
	// that were found not to speak against it.
	Count int
	// Suspect is set if the task may be the cause of one of the crashes.
	Suspect bool
	// Total is like Count, but includes those crashes until the task has been cleared.
	Total int
	// Sure is how many of them are certain to have run the task.
	Sure int
}

// indexSet is a set of task indexes, stored as a bitmap.
type indexSet struct {
	words []uint64
	// count is the number of indexes in the set.
	count int
}

// add adds an index and reports whether it is new.
func (s *indexSet) add(i int) bool {
	for len(s.words) <= i/64 {
		s.words = append(s.words, 0)
	}
	bit := uint64(1) << (i % 64)
	if s.words[i/64]&bit != 0 {
		return false
	}
	s.words[i/64] |= bit
	s.count++
	return true
}

func (s *indexSet) has(i int) bool {
	return s != nil && i/64 < len(s.words) && s.words[i/64]&(1<<(i%64)) != 0
}

// NewState returns the state of a job of which no task has started.
func NewState(j *Job) *State {
	tasks := 0
	for i := range j.Steps {
		tasks += j.Steps[i].Count
	}
	return &State{
		job:        j,
		complete:   &indexSet{},
		done:       make(map[Stage]*indexSet),
		left:       make(map[int]int),
		tasks:      tasks,
		failedRuns: make(map[Task][]int),
		crashes:    make(map[Task]Crashes),
		remaining:  tasks * j.Occurrences(),
	}
}

// MarkDone records that a task has succeeded and reports whether that is new. A
// task that the job does not have is ignored.
func (s *State) MarkDone(t Task) bool {
	if !s.valid(t) || s.complete.has(t.Occurrence) {
		return false
	}
	indexes := s.done[t.Stage()]
	if indexes == nil {
		indexes = &indexSet{}
		s.done[t.Stage()] = indexes
	}
	if !indexes.add(t.Index) {
		return false
	}
	s.started = true
	s.remaining--
	if _, begun := s.left[t.Occurrence]; !begun {
		s.left[t.Occurrence] = s.tasks
	}
	s.left[t.Occurrence]--
	if s.left[t.Occurrence] == 0 {
		s.completeOccurrence(t.Occurrence)
	}
	return true
}

// completeOccurrence drops what is known of the single tasks of an occurrence, all of which are
// done.
func (s *State) completeOccurrence(occurrence int) {
	s.complete.add(occurrence)
	delete(s.left, occurrence)
	for i := range s.job.Steps {
		delete(s.done, Stage{s.job.ID, occurrence, i})
	}
	maps.DeleteFunc(s.failedRuns, func(t Task, _ []int) bool { return t.Occurrence == occurrence })
}

// valid reports whether the job has such a task.
func (s *State) valid(t Task) bool {
	return t.Step >= 0 && t.Step < len(s.job.Steps) && t.Index >= 0 && t.Index < s.job.Steps[t.Step].Count &&
		t.Occurrence >= 0 && t.Occurrence < s.job.Occurrences()
}

// IsDone reports whether a task has succeeded.
func (s *State) IsDone(t Task) bool {
	return s.done[t.Stage()].has(t.Index) || s.complete.has(t.Occurrence) && s.valid(t)
}

// OccurrenceDone reports whether all tasks of an occurrence have succeeded.
func (s *State) OccurrenceDone(occurrence int) bool { return s.complete.has(occurrence) }

// StageDone reports whether all tasks of a stage have succeeded.
func (s *State) StageDone(stage Stage) bool {
	if s.complete.has(stage.Occurrence) {
		return true
	}
	indexes := s.done[stage]
	return indexes != nil && indexes.count == s.job.Steps[stage.Step].Count
}

// RecordFailure records that a run of a task has failed and reports whether that
// is new. A task that the job does not have is ignored.
func (s *State) RecordFailure(t Task, run int) bool {
	if !s.valid(t) || s.complete.has(t.Occurrence) || slices.Contains(s.failedRuns[t], run) {
		return false
	}
	s.started = true
	s.failedRuns[t] = append(s.failedRuns[t], run)
	return true
}

// Failures returns how many runs of a task have failed.
func (s *State) Failures(t Task) int { return len(s.failedRuns[t]) }

// SetCrashes records what is known of the crashes of VMs under a task. A task that the job
// does not have is ignored.
func (s *State) SetCrashes(t Task, c Crashes) {
	if !s.valid(t) {
		return
	}
	s.started = true
	if c == (Crashes{}) {
		delete(s.crashes, t)
		return
	}
	s.crashes[t] = c
}

// Crashes returns what is known of the crashes of VMs under a task.
func (s *State) Crashes(t Task) Crashes { return s.crashes[t] }

// HasCrashes reports whether crashes of VMs are known under any task of the job.
func (s *State) HasCrashes() bool { return len(s.crashes) > 0 }

// MarkStarted records that a task of the job has been started.
func (s *State) MarkStarted() { s.started = true }

// Started reports whether any task has been started.
func (s *State) Started() bool { return s.started }

// SetFinalPhase ends the job with a final phase. It has no effect on a job that
// has already ended.
func (s *State) SetFinalPhase(p Phase, now time.Time) {
	if s.Phase().Final() {
		return
	}
	s.finalPhase = p
	s.endedAt = now
}

// KeepSteps keeps, of the steps with the given indexes, what their runs use, also when the job
// has ended and the rest is dropped: their runs may still be stopping.
func (s *State) KeepSteps(indexes []int) {
	s.leftover = make(map[int]Step)
	for _, i := range indexes {
		step := s.job.Steps[i]
		s.leftover[i] = Step{Count: step.Count, Need: step.Need, Filler: step.Filler}
	}
}

// KeptStep returns what is kept of a step of which runs may have outlived the job.
func (s *State) KeptStep(index int) (Step, bool) {
	step, ok := s.leftover[index]
	return step, ok
}

// KeptSteps returns what is kept of the steps of which runs may have outlived the job.
func (s *State) KeptSteps() []Step { return slices.Collect(maps.Values(s.leftover)) }

// MarkCompleted records now as the end time of the job if all tasks are done and no
// end time is recorded yet.
func (s *State) MarkCompleted(now time.Time) {
	if s.remaining == 0 && s.endedAt.IsZero() {
		s.endedAt = now
	}
}

// EndedAt returns when the job reached its final phase.
func (s *State) EndedAt() time.Time { return s.endedAt }

// Phase returns the current phase of the job.
func (s *State) Phase() Phase {
	switch {
	case s.finalPhase != Pending:
		return s.finalPhase
	case s.remaining == 0:
		return Completed
	case s.started:
		return Running
	}
	return Pending
}

// Prune drops everything but the phase, which must be final, the end time and the kept steps.
// From then on the state refers to the job j, which may have no steps.
func (s *State) Prune(j *Job) {
	*s = State{job: j, started: true, finalPhase: s.Phase(), endedAt: s.endedAt, leftover: s.leftover}
}
