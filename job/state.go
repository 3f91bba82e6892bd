package job

import (
	"encoding/json"
	"math/bits"
	"slices"
	"time"
)

// Phase is how far a job has come.
type Phase int

// The phases.
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

// State is what has been recorded of a job. The zero value is not usable; call
// NewState.
type State struct {
	job  *Job
	done map[Stage]*set
	// failures holds the numbers of the failed runs of each task.
	failures map[Task][]int
	left     int
	started  bool
	end      Phase
	ended    time.Time
}

// set is a set of task indexes.
type set struct {
	words []uint64
	count int
}

func (s *set) add(i int) bool {
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

func (s *set) has(i int) bool {
	return s != nil && i/64 < len(s.words) && s.words[i/64]&(1<<(i%64)) != 0
}

// NewState returns the state of a job of which nothing has run.
func NewState(j *Job) *State {
	tasks := 0
	for i := range j.Steps {
		tasks += j.Steps[i].Count
	}
	return &State{
		job:      j,
		done:     make(map[Stage]*set),
		failures: make(map[Task][]int),
		left:     tasks * j.Occurrences(),
	}
}

// Done records that a task has ended well and reports whether that is new.
func (s *State) Done(t Task) bool {
	if !s.valid(t) {
		return false
	}
	stage := s.done[t.Stage()]
	if stage == nil {
		stage = &set{}
		s.done[t.Stage()] = stage
	}
	if !stage.add(t.Index) {
		return false
	}
	s.started = true
	s.left--
	return true
}

func (s *State) valid(t Task) bool {
	return t.Step >= 0 && t.Step < len(s.job.Steps) && t.Index >= 0 && t.Index < s.job.Steps[t.Step].Count &&
		t.Occurrence >= 0 && t.Occurrence < s.job.Occurrences()
}

// IsDone reports whether a task has ended well.
func (s *State) IsDone(t Task) bool {
	return s.done[t.Stage()].has(t.Index)
}

// StageDone reports whether all tasks of a stage have ended well.
func (s *State) StageDone(g Stage) bool {
	stage := s.done[g]
	return stage != nil && stage.count == s.job.Steps[g.Step].Count
}

// Fail records that a run of a task has failed and reports whether that is new.
func (s *State) Fail(t Task, run int) bool {
	if !s.valid(t) || slices.Contains(s.failures[t], run) {
		return false
	}
	s.started = true
	s.failures[t] = append(s.failures[t], run)
	return true
}

// Failures returns how many runs of a task have failed.
func (s *State) Failures(t Task) int { return len(s.failures[t]) }

// Start records that a task of the job has been started.
func (s *State) Start() { s.started = true }

// Started reports whether any task has been started.
func (s *State) Started() bool { return s.started }

// Finish gives the job its final phase; a later one changes nothing.
func (s *State) Finish(p Phase, now time.Time) {
	if s.Phase().Final() {
		return
	}
	s.end = p
	s.ended = now
}

// Close notes when the last task was done.
func (s *State) Close(now time.Time) {
	if s.left == 0 && s.ended.IsZero() {
		s.ended = now
	}
}

// Ended returns when the job got its final phase.
func (s *State) Ended() time.Time { return s.ended }

// Phase returns how far the job has come.
func (s *State) Phase() Phase {
	switch {
	case s.end != Pending:
		return s.end
	case s.left == 0:
		return Completed
	case s.started:
		return Running
	}
	return Pending
}

// Forget drops all but the phase, which has to be final, and when the job ended.
func (s *State) Forget(j *Job) {
	*s = State{job: j, started: true, end: s.Phase(), ended: s.ended}
}

// stored is the recorded form of a State. Of a job that has ended it says nothing
// but how and when.
type stored struct {
	End     Phase     `json:"end,omitempty"`
	Started bool      `json:"started,omitempty"`
	Ended   time.Time `json:"ended,omitzero"`
	Done    []stage   `json:"done,omitempty"`
	Failed  []failure `json:"failed,omitempty"`
}

type stage struct {
	Occurrence int      `json:"occurrence,omitempty"`
	Step       int      `json:"step,omitempty"`
	Set        []uint64 `json:"set"`
}

type failure struct {
	Occurrence int   `json:"occurrence,omitempty"`
	Step       int   `json:"step,omitempty"`
	Index      int   `json:"index,omitempty"`
	Runs       []int `json:"runs"`
}

// MarshalJSON returns the recorded form.
func (s *State) MarshalJSON() ([]byte, error) {
	if s.Phase().Final() {
		return json.Marshal(stored{End: s.Phase(), Started: s.started, Ended: s.ended})
	}
	out := stored{Started: s.started}
	for g, done := range s.done {
		out.Done = append(out.Done, stage{g.Occurrence, g.Step, done.words})
	}
	for t, runs := range s.failures {
		out.Failed = append(out.Failed, failure{t.Occurrence, t.Step, t.Index, runs})
	}
	return json.Marshal(out)
}

// Load replaces the state with a recorded one.
func (s *State) Load(data []byte) error {
	var in stored
	if err := json.Unmarshal(data, &in); err != nil {
		return &Invalid{"state", err.Error()}
	}
	fresh := NewState(s.job)
	for _, g := range in.Done {
		if g.Step < 0 || g.Step >= len(s.job.Steps) {
			return &Invalid{"state", "a step that the job does not have"}
		}
		fresh.loadStage(g)
	}
	for _, f := range in.Failed {
		fresh.failures[Task{s.job.ID, f.Occurrence, f.Step, f.Index}] = f.Runs
	}
	fresh.end, fresh.started, fresh.ended = in.End, in.Started || fresh.started, in.Ended
	*s = *fresh
	return nil
}

func (s *State) loadStage(g stage) {
	for i, word := range g.Set {
		for word != 0 {
			index := i*64 + bits.TrailingZeros64(word)
			word &= word - 1
			s.Done(Task{s.job.ID, g.Occurrence, g.Step, index})
		}
	}
}
