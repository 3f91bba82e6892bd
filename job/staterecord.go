package job

import (
	"bytes"
	"cmp"
	"encoding/json"
	"maps"
	"math/bits"
	"slices"
	"time"
)

// stateRecord is the stored form of a State. For a job that has ended it holds only
// how and when the job ended.
type stateRecord struct {
	FinalPhase Phase     `json:"end,omitempty"`
	Started    bool      `json:"started,omitempty"`
	EndedAt    time.Time `json:"ended,omitzero"`
	// Done is a doneRecord, and Failed and Crashed are rowsRecords. Earlier versions stored
	// lists there, of stageRecord, earlierFailure and earlierCrash; they can't read objects, and
	// must not own the jobs.
	Done    json.RawMessage `json:"done,omitempty"`
	Failed  json.RawMessage `json:"failed,omitempty"`
	Crashed json.RawMessage `json:"crashed,omitempty"`
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

// doneRecord is the stored form of the tasks that are done. Its length depends on the
// occurrences that are open, not on those that are complete.
type doneRecord struct {
	// Complete lists the first and last numbers of occurrences that are complete.
	Complete [][2]int `json:"complete,omitempty"`
	// Steps lists the other occurrences of which steps are complete, and Stages the stages
	// that are not.
	Steps  []stepsRecord `json:"steps,omitempty"`
	Stages []stageRecord `json:"stages,omitempty"`
}

// stepsRecord is the stored form of the complete steps of occurrences that have the same ones.
type stepsRecord struct {
	First int `json:"first,omitempty"`
	Last  int `json:"last,omitempty"`
	// Steps is the bitmap of an indexSet.
	Steps []uint64 `json:"set"`
}

// stageRecord is the stored form of the tasks of a stage that are done.
type stageRecord struct {
	Occurrence int `json:"occurrence,omitempty"`
	Step       int `json:"step,omitempty"`
	// Indexes is the bitmap of an indexSet.
	Indexes []uint64 `json:"set"`
}

// rowsRecord is the stored form of numbers of single tasks.
type rowsRecord struct {
	Stages []stageRows `json:"stages"`
}

// stageRows holds a row for each of some tasks of a stage: its index, and then the numbers of its
// failed runs, or the crashes under it in the order of [Crashes].
type stageRows struct {
	Occurrence int     `json:"occurrence,omitempty"`
	Step       int     `json:"step,omitempty"`
	Rows       [][]int `json:"rows"`
}

// crashColumns is the number of columns of a row on crashes.
const crashColumns = 5

// The records of earlier versions.
type (
	earlierFailure struct {
		Occurrence int   `json:"occurrence,omitempty"`
		Step       int   `json:"step,omitempty"`
		Index      int   `json:"index,omitempty"`
		Runs       []int `json:"runs"`
	}
	earlierCrash struct {
		Occurrence int  `json:"occurrence,omitempty"`
		Step       int  `json:"step,omitempty"`
		Index      int  `json:"index,omitempty"`
		Count      int  `json:"count,omitempty"`
		Suspect    bool `json:"suspect,omitempty"`
		Total      int  `json:"total,omitempty"`
		Sure       int  `json:"sure,omitempty"`
	}
)

// MarshalJSON returns the stored form, which Load reads. It leaves out the failures and crashes of
// tasks that are done.
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
	var err error
	if len(s.done) > 0 || s.complete.count > 0 {
		if stored.Done, err = json.Marshal(s.doneRecord()); err != nil {
			return nil, err
		}
	}
	if stored.Failed, err = encodeRows(s, s.failedRuns, func(runs []int) []int { return runs }); err != nil {
		return nil, err
	}
	stored.Crashed, err = encodeRows(s, s.crashes, func(c Crashes) []int {
		suspect := 0
		if c.Suspect {
			suspect = 1
		}
		return []int{c.Count, suspect, c.Total, c.Sure}
	})
	if err != nil {
		return nil, err
	}
	return json.Marshal(stored)
}

// doneRecord returns the stored form of the tasks that are done.
func (s *State) doneRecord() doneRecord {
	var out doneRecord
	steps := make(map[int]*indexSet)
	for stage, done := range s.done {
		if done.count < s.job.Steps[stage.Step].Count {
			out.Stages = append(out.Stages, stageRecord{stage.Occurrence, stage.Step, done.words})
			continue
		}
		if steps[stage.Occurrence] == nil {
			steps[stage.Occurrence] = &indexSet{}
		}
		steps[stage.Occurrence].add(stage.Step)
	}
	slices.SortFunc(out.Stages, func(a, b stageRecord) int {
		return cmp.Or(cmp.Compare(a.Occurrence, b.Occurrence), cmp.Compare(a.Step, b.Step))
	})
	for _, occurrence := range slices.Sorted(maps.Keys(steps)) {
		words := steps[occurrence].words
		if n := len(out.Steps); n > 0 && out.Steps[n-1].Last == occurrence-1 && slices.Equal(out.Steps[n-1].Steps, words) {
			out.Steps[n-1].Last = occurrence
			continue
		}
		out.Steps = append(out.Steps, stepsRecord{occurrence, occurrence, words})
	}
	for occurrence := range s.complete.all() {
		if n := len(out.Complete); n > 0 && out.Complete[n-1][1] == occurrence-1 {
			out.Complete[n-1][1] = occurrence
			continue
		}
		out.Complete = append(out.Complete, [2]int{occurrence, occurrence})
	}
	return out
}

// encodeRows returns the stored form of what is known of single tasks that are not done, or nil if
// nothing is.
func encodeRows[V any](s *State, known map[Task]V, columns func(V) []int) (json.RawMessage, error) {
	rows := make(map[Stage][][]int)
	for t, v := range known {
		if !s.IsDone(t) {
			rows[t.Stage()] = append(rows[t.Stage()], append([]int{t.Index}, columns(v)...))
		}
	}
	if len(rows) == 0 {
		return nil, nil
	}
	var out rowsRecord
	for stage, list := range rows {
		slices.SortFunc(list, func(a, b []int) int { return cmp.Compare(a[0], b[0]) })
		out.Stages = append(out.Stages, stageRows{stage.Occurrence, stage.Step, list})
	}
	slices.SortFunc(out.Stages, func(a, b stageRows) int {
		return cmp.Or(cmp.Compare(a.Occurrence, b.Occurrence), cmp.Compare(a.Step, b.Step))
	})
	return json.Marshal(out)
}

// Load replaces the state with a stored one. If the job has ended, it also sets the
// queue and the team of the job. If it returns an error, the state is unchanged.
func (s *State) Load(data []byte) error {
	var stored stateRecord
	if err := json.Unmarshal(data, &stored); err != nil {
		return &Invalid{"state", err.Error()}
	}
	loaded := NewState(s.job)
	if err := loaded.loadDone(stored.Done); err != nil {
		return err
	}
	if err := loaded.loadFailures(stored.Failed); err != nil {
		return err
	}
	if err := loaded.loadCrashes(stored.Crashed); err != nil {
		return err
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

// isList reports whether a record is a list, as earlier versions stored it.
func isList(data []byte) bool { return bytes.HasPrefix(data, []byte("[")) }

// decode decodes a part of a stored state, if there is one.
func decode(data []byte, out any) error {
	if len(data) == 0 {
		return nil
	}
	if err := json.Unmarshal(data, out); err != nil {
		return &Invalid{"state", err.Error()}
	}
	return nil
}

// loadDone marks the stored tasks as done.
func (s *State) loadDone(data []byte) error {
	var stored doneRecord
	if isList(data) {
		if err := decode(data, &stored.Stages); err != nil {
			return err
		}
	} else if err := decode(data, &stored); err != nil {
		return err
	}
	for _, r := range stored.Complete {
		if err := s.checkOccurrences(r[0], r[1]); err != nil {
			return err
		}
		for occurrence := r[0]; occurrence <= r[1]; occurrence++ {
			if s.complete.add(occurrence) {
				s.remaining -= s.tasks
				s.started = true
			}
		}
	}
	for _, r := range stored.Steps {
		if err := s.checkOccurrences(r.First, r.Last); err != nil {
			return err
		}
		for occurrence := r.First; occurrence <= r.Last; occurrence++ {
			s.loadSteps(occurrence, r.Steps)
		}
	}
	for _, r := range stored.Stages {
		if r.Step < 0 || r.Step >= len(s.job.Steps) {
			return &Invalid{"state", "record of a step that the job does not have"}
		}
		for index := range (&indexSet{words: r.Indexes}).all() {
			s.MarkDone(Task{s.job.ID, r.Occurrence, r.Step, index})
		}
	}
	return nil
}

// checkOccurrences returns an [*Invalid] error unless first to last are occurrences of the job.
func (s *State) checkOccurrences(first, last int) error {
	if first < 0 || last < first || last >= s.job.Occurrences() {
		return &Invalid{"state", "record of occurrences that the job does not have"}
	}
	return nil
}

// loadSteps marks all tasks of the steps in a bitmap as done.
func (s *State) loadSteps(occurrence int, steps []uint64) {
	for step := range (&indexSet{words: steps}).all() {
		if step >= len(s.job.Steps) {
			return
		}
		for index := range s.job.Steps[step].Count {
			s.MarkDone(Task{s.job.ID, occurrence, step, index})
		}
	}
}

// loadFailures restores the failed runs.
func (s *State) loadFailures(data []byte) error {
	if isList(data) {
		var list []earlierFailure
		if err := decode(data, &list); err != nil {
			return err
		}
		for _, f := range list {
			s.failedRuns[Task{s.job.ID, f.Occurrence, f.Step, f.Index}] = f.Runs
		}
		return nil
	}
	return s.loadRows(data, func(t Task, runs []int) error {
		s.failedRuns[t] = runs
		return nil
	})
}

// loadCrashes restores what is known of crashes.
func (s *State) loadCrashes(data []byte) error {
	if isList(data) {
		var list []earlierCrash
		if err := decode(data, &list); err != nil {
			return err
		}
		for _, c := range list {
			s.SetCrashes(Task{s.job.ID, c.Occurrence, c.Step, c.Index}, Crashes{c.Count, c.Suspect, c.Total, c.Sure})
		}
		return nil
	}
	return s.loadRows(data, func(t Task, columns []int) error {
		if len(columns) != crashColumns-1 {
			return &Invalid{"state", "record of crashes without all columns"}
		}
		s.SetCrashes(t, Crashes{columns[0], columns[1] != 0, columns[2], columns[3]})
		return nil
	})
}

// loadRows calls f for each stored row of a task that the job has.
func (s *State) loadRows(data []byte, f func(t Task, columns []int) error) error {
	var stored rowsRecord
	if err := decode(data, &stored); err != nil {
		return err
	}
	for _, stage := range stored.Stages {
		for _, row := range stage.Rows {
			if len(row) == 0 {
				return &Invalid{"state", "empty row of a task"}
			}
			t := Task{s.job.ID, stage.Occurrence, stage.Step, row[0]}
			if !s.valid(t) {
				continue
			}
			if err := f(t, row[1:]); err != nil {
				return err
			}
		}
	}
	return nil
}

// all returns the indexes in the set in increasing order.
func (s *indexSet) all() func(yield func(int) bool) {
	return func(yield func(int) bool) {
		for i, word := range s.words {
			for ; word != 0; word &= word - 1 {
				if !yield(i*64 + bits.TrailingZeros64(word)) {
					return
				}
			}
		}
	}
}
