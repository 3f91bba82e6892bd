package job

import (
	"encoding/json"
	"maps"
	"math/bits"
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
	// done holds the indexes of the tasks of each stage that are done.
	done map[Stage]*indexSet
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
		done:       make(map[Stage]*indexSet),
		failedRuns: make(map[Task][]int),
		crashes:    make(map[Task]Crashes),
		remaining:  tasks * j.Occurrences(),
	}
}

// MarkDone records that a task has succeeded and reports whether that is new. A
// task that the job does not have is ignored.
func (s *State) MarkDone(t Task) bool {
	if !s.valid(t) {
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
	return true
}

// valid reports whether the job has such a task.
func (s *State) valid(t Task) bool {
	return t.Step >= 0 && t.Step < len(s.job.Steps) && t.Index >= 0 && t.Index < s.job.Steps[t.Step].Count &&
		t.Occurrence >= 0 && t.Occurrence < s.job.Occurrences()
}

// IsDone reports whether a task has succeeded.
func (s *State) IsDone(t Task) bool {
	return s.done[t.Stage()].has(t.Index)
}

// StageDone reports whether all tasks of a stage have succeeded.
func (s *State) StageDone(stage Stage) bool {
	indexes := s.done[stage]
	return indexes != nil && indexes.count == s.job.Steps[stage.Step].Count
}

// RecordFailure records that a run of a task has failed and reports whether that
// is new. A task that the job does not have is ignored.
func (s *State) RecordFailure(t Task, run int) bool {
	if !s.valid(t) || slices.Contains(s.failedRuns[t], run) {
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

// stateRecord is the stored form of a State. For a job that has ended it holds only
// how and when the job ended.
type stateRecord struct {
	FinalPhase Phase           `json:"end,omitempty"`
	Started    bool            `json:"started,omitempty"`
	EndedAt    time.Time       `json:"ended,omitzero"`
	Done       []stageRecord   `json:"done,omitempty"`
	Failed     []failureRecord `json:"failed,omitempty"`
	Crashed    []crashRecord   `json:"crashed,omitempty"`
	// Queue and Team are those of a job that has ended, whose other record is deleted.
	Queue string `json:"queue,omitempty"`
	Team  string `json:"team,omitempty"`
	// Kept holds the kept steps of a job that has ended.
	Kept []keptRecord `json:"kept,omitempty"`
}

// keptRecord is the stored form of a kept step.
type keptRecord struct {
	Step   int       `json:"step,omitempty"`
	Count  int       `json:"count"`
	Need   Resources `json:"need"`
	Filler bool      `json:"filler,omitempty"`
}

// stageRecord is the stored form of the tasks of a stage that are done.
type stageRecord struct {
	Occurrence int `json:"occurrence,omitempty"`
	Step       int `json:"step,omitempty"`
	// Indexes is the bitmap of an indexSet.
	Indexes []uint64 `json:"set"`
}

// failureRecord is the stored form of the failed runs of a task.
type failureRecord struct {
	Occurrence int   `json:"occurrence,omitempty"`
	Step       int   `json:"step,omitempty"`
	Index      int   `json:"index,omitempty"`
	Runs       []int `json:"runs"`
}

// crashRecord is the stored form of the crashes under a task.
type crashRecord struct {
	Occurrence int  `json:"occurrence,omitempty"`
	Step       int  `json:"step,omitempty"`
	Index      int  `json:"index,omitempty"`
	Count      int  `json:"count,omitempty"`
	Suspect    bool `json:"suspect,omitempty"`
	Total      int  `json:"total,omitempty"`
	Sure       int  `json:"sure,omitempty"`
}

// MarshalJSON returns the stored form, which Load reads.
func (s *State) MarshalJSON() ([]byte, error) {
	if s.Phase().Final() {
		stored := stateRecord{
			FinalPhase: s.Phase(), Started: s.started, EndedAt: s.endedAt, Queue: s.job.Queue, Team: s.job.Team,
		}
		for _, i := range slices.Sorted(maps.Keys(s.leftover)) {
			step := s.leftover[i]
			stored.Kept = append(stored.Kept, keptRecord{i, step.Count, step.Need, step.Filler})
		}
		return json.Marshal(stored)
	}
	stored := stateRecord{Started: s.started}
	for stage, done := range s.done {
		stored.Done = append(stored.Done, stageRecord{stage.Occurrence, stage.Step, done.words})
	}
	for t, runs := range s.failedRuns {
		stored.Failed = append(stored.Failed, failureRecord{t.Occurrence, t.Step, t.Index, runs})
	}
	for t, c := range s.crashes {
		stored.Crashed = append(stored.Crashed, crashRecord{t.Occurrence, t.Step, t.Index, c.Count, c.Suspect, c.Total, c.Sure})
	}
	return json.Marshal(stored)
}

// Load replaces the state with a stored one. If the job has ended, it also sets the
// queue and the team of the job. If it returns an error, the state is unchanged.
func (s *State) Load(data []byte) error {
	var stored stateRecord
	if err := json.Unmarshal(data, &stored); err != nil {
		return &Invalid{"state", err.Error()}
	}
	loaded := NewState(s.job)
	for _, record := range stored.Done {
		if record.Step < 0 || record.Step >= len(s.job.Steps) {
			return &Invalid{"state", "record of a step that the job does not have"}
		}
		loaded.loadStage(record)
	}
	for _, failure := range stored.Failed {
		loaded.failedRuns[Task{s.job.ID, failure.Occurrence, failure.Step, failure.Index}] = failure.Runs
	}
	for _, c := range stored.Crashed {
		loaded.SetCrashes(Task{s.job.ID, c.Occurrence, c.Step, c.Index}, Crashes{c.Count, c.Suspect, c.Total, c.Sure})
	}
	loaded.finalPhase, loaded.started, loaded.endedAt = stored.FinalPhase, stored.Started || loaded.started, stored.EndedAt
	for i, kept := range stored.Kept {
		if i == 0 {
			loaded.leftover = make(map[int]Step)
		}
		loaded.leftover[kept.Step] = Step{Count: kept.Count, Need: kept.Need, Filler: kept.Filler}
	}
	*s = *loaded
	if stored.Queue != "" {
		s.job.Queue, s.job.Team = stored.Queue, stored.Team
	}
	return nil
}

// loadStage marks the tasks of a stored stage as done.
func (s *State) loadStage(record stageRecord) {
	for i, word := range record.Indexes {
		for word != 0 {
			index := i*64 + bits.TrailingZeros64(word)
			word &= word - 1
			s.MarkDone(Task{s.job.ID, record.Occurrence, record.Step, index})
		}
	}
}
