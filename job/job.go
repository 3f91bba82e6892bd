// Package job defines the jobs that callers submit, which consist of steps of
// tasks that run on VMs, and the recorded progress of each job.
//
// A [Job] is immutable once it is accepted. Its [State] holds what has been
// recorded: which tasks are done, how often each has failed, and whether the job
// was cancelled or has failed.
//
// # Usage
//
//	if err := j.Check(); err != nil {
//		return err
//	}
//	s := job.NewState(&j)
//	s.MarkDone(job.Task{Job: j.ID, Step: 0, Index: 3})
//	if s.Phase() == job.Completed {
//		// every task of every occurrence has succeeded
//	}
package job

import (
	"fmt"
	"time"
)

// Upper limits of the size of a job.
const (
	// MaxSpecBytes limits the length of [Job.Spec].
	MaxSpecBytes = 4000
	// MaxTasks limits the tasks of one occurrence of a job.
	MaxTasks = 10000
	// MaxSteps limits the steps of a job.
	MaxSteps = 1000
	// MaxOccurrences limits the occurrences of a job.
	MaxOccurrences = 10000
	// MaxSpan limits the time between the first and the last occurrence of a job.
	MaxSpan = 100 * 365 * 24 * time.Hour
	// MaxYear limits the year of [Job.FirstDue]. JSON can't represent times after the
	// year 9999, which the last occurrence may reach MaxSpan later.
	MaxYear = 9800
)

// ID identifies a job; callers choose it.
type ID string

// Resources is an amount of resources that a task needs or a VM has.
type Resources struct {
	// CPU is in thousandths of a core.
	CPU int64 `json:"cpu,omitempty"`
	// Memory is in megabytes.
	Memory int64 `json:"memory,omitempty"`
	// GPU is the number of graphics processors.
	GPU int64 `json:"gpu,omitempty"`
}

// Plus returns r + o, field by field.
func (r Resources) Plus(o Resources) Resources {
	return Resources{r.CPU + o.CPU, r.Memory + o.Memory, r.GPU + o.GPU}
}

// Minus returns r - o, field by field.
func (r Resources) Minus(o Resources) Resources {
	return Resources{r.CPU - o.CPU, r.Memory - o.Memory, r.GPU - o.GPU}
}

// Times returns the resources of n tasks that need r each.
func (r Resources) Times(n int64) Resources {
	return Resources{r.CPU * n, r.Memory * n, r.GPU * n}
}

// Within reports whether each field of r is at most that of o.
func (r Resources) Within(o Resources) bool {
	return r.CPU <= o.CPU && r.Memory <= o.Memory && r.GPU <= o.GPU
}

// Step is a set of tasks with the same description.
type Step struct {
	// Count is the number of tasks in one occurrence of the job.
	Count int `json:"count"`
	// Need is what each task needs of its VM's resources.
	Need Resources `json:"need"`
	// Estimate is the caller's estimate of a task's run time.
	Estimate time.Duration `json:"estimate,omitempty"`
	// After lists, by index, the earlier steps whose tasks must all be done before
	// this step starts.
	After []int `json:"after,omitempty"`
	// Gang marks tasks that only make progress when all of them run at the same
	// time (gang scheduling).
	Gang bool `json:"gang,omitempty"`
	// SingleRack asks for the tasks to be placed in a single rack.
	SingleRack bool `json:"together,omitempty"`
	// Label is a label that the VM must have; empty means none.
	Label string `json:"label,omitempty"`
	// PreferredRack is the label of the rack that holds the data; empty means
	// none.
	PreferredRack string `json:"rack,omitempty"`
	// MaxPerVM limits the step's tasks of one occurrence on one VM; zero means no
	// limit.
	MaxPerVM int `json:"spread,omitempty"`
	// Speculative allows several runs of a task at the same time (speculative
	// execution).
	Speculative bool `json:"copies,omitempty"`
	// Service marks tasks that run until the job is cancelled.
	Service bool `json:"service,omitempty"`
	// WritesCheckpoints marks tasks that write checkpoints.
	WritesCheckpoints bool `json:"saves,omitempty"`
	// Image names the program; tasks with the same image behave alike.
	Image string `json:"image,omitempty"`
	// LatencyTarget is the upper limit of a service task's response times; zero
	// means none.
	LatencyTarget time.Duration `json:"target,omitempty"`
	// Filler marks best-effort tasks, which use the processor time that other tasks
	// leave idle.
	Filler bool `json:"filler,omitempty"`
	// MaxUnavailable is the availability budget: how many service tasks may be
	// unavailable at the same time because of disruptions that the system itself
	// causes.
	MaxUnavailable int `json:"missing,omitempty"`
	// Budgeted is set when the step has an availability budget, which may be zero.
	Budgeted bool `json:"budgeted,omitempty"`
}

// Job is a job that a caller submitted.
type Job struct {
	ID    ID     `json:"id"`
	Queue string `json:"queue"`
	// Team is empty for jobs in queues that are open to all.
	Team string `json:"team,omitempty"`
	// Spec is the caller's description of the job. It is passed unchanged to the VMs
	// that run the tasks.
	Spec  string `json:"spec"`
	Steps []Step `json:"steps"`
	// ScheduledOccurrences is the number of occurrences of a job that runs at set
	// times. Zero means that the job runs once, as soon as it is accepted.
	ScheduledOccurrences int `json:"times,omitempty"`
	// FirstDue is when the first occurrence is due, and Interval is the time from
	// one occurrence to the next.
	FirstDue time.Time     `json:"first,omitzero"`
	Interval time.Duration `json:"every,omitempty"`
	// Accepted is when the job was accepted, by the clock of the owner.
	Accepted time.Time `json:"accepted"`
	// Epoch is the epoch of the owner that accepted the job.
	Epoch int64 `json:"epoch,omitempty"`
}

// Occurrences returns the number of occurrences. It is 1 for a job that does not run
// at set times.
func (j *Job) Occurrences() int {
	return max(j.ScheduledOccurrences, 1)
}

// Due returns when an occurrence, counted from zero, may start.
func (j *Job) Due(occurrence int) time.Time {
	if j.ScheduledOccurrences == 0 {
		return j.Accepted
	}
	return j.FirstDue.Add(time.Duration(occurrence) * j.Interval)
}

// HasServiceStep reports whether the job has a service step and so runs until it
// is cancelled.
func (j *Job) HasServiceStep() bool {
	for i := range j.Steps {
		if j.Steps[i].Service {
			return true
		}
	}
	return false
}

// EstimatedCoreSeconds returns the work of one occurrence in core-seconds,
// according to the estimates of its steps.
func (j *Job) EstimatedCoreSeconds() float64 {
	sum := 0.0
	for i := range j.Steps {
		s := &j.Steps[i]
		sum += float64(s.Count) * float64(s.Need.CPU) / 1000 * s.Estimate.Seconds()
	}
	return sum
}

// The greatest length of JSON texts.
const (
	// maxEscapedByte is that of a byte of a string.
	maxEscapedByte = 6
	// maxEncodedStep is that of a step without its strings and dependencies, and
	// maxEncodedNumber that of a number in a list. maxEncodedJob is that of a job without its
	// strings and steps.
	maxEncodedStep, maxEncodedNumber, maxEncodedJob = 512, 21, 512
)

// MaxEncodedBytes returns a bound of the length of the job in JSON.
func (j *Job) MaxEncodedBytes() int {
	numbers := 0
	for i := range j.Steps {
		numbers += len(j.Steps[i].After)
	}
	return maxEscapedByte*j.TextBytes() + maxEncodedNumber*numbers + maxEncodedStep*len(j.Steps) + maxEncodedJob
}

// TextBytes returns the length of all strings of the job.
func (j *Job) TextBytes() int {
	n := len(j.ID) + len(j.Queue) + len(j.Team) + len(j.Spec)
	for i := range j.Steps {
		s := &j.Steps[i]
		n += len(s.Label) + len(s.PreferredRack) + len(s.Image)
	}
	return n
}

// Task identifies one task of an occurrence of a job.
type Task struct {
	Job        ID
	Occurrence int
	Step       int
	Index      int
}

// Stage identifies the tasks of one step in one occurrence.
type Stage struct {
	Job        ID
	Occurrence int
	Step       int
}

// Stage returns the stage that the task belongs to.
func (t Task) Stage() Stage { return Stage{t.Job, t.Occurrence, t.Step} }

// Invalid is the error for a job that cannot be accepted.
type Invalid struct {
	// Field names the invalid field, for example "steps[2].count".
	Field  string
	Reason string
}

func (e *Invalid) Error() string { return "job: " + e.Field + ": " + e.Reason }

// Check returns an [*Invalid] error when the job cannot be accepted.
func (j *Job) Check() error {
	switch {
	case j.ID == "":
		return &Invalid{"id", "missing"}
	case len(j.Spec) > MaxSpecBytes:
		return &Invalid{"spec", fmt.Sprintf("longer than %d bytes", MaxSpecBytes)}
	case len(j.Steps) == 0 || len(j.Steps) > MaxSteps:
		return &Invalid{"steps", fmt.Sprintf("expected 1 to %d", MaxSteps)}
	case j.ScheduledOccurrences < 0 || j.ScheduledOccurrences > MaxOccurrences:
		return &Invalid{"times", fmt.Sprintf("expected 0 to %d", MaxOccurrences)}
	case j.ScheduledOccurrences > 1 && (j.Interval <= 0 || j.Interval > MaxSpan/time.Duration(j.ScheduledOccurrences)):
		return &Invalid{"every", "expected more than zero and all occurrences within " + MaxSpan.String()}
	case j.FirstDue.Year() < 0 || j.FirstDue.Year() > MaxYear:
		return &Invalid{"first", fmt.Sprintf("expected a year from 0 to %d", MaxYear)}
	}
	tasks := 0
	for i := range j.Steps {
		if err := j.Steps[i].check(i); err != nil {
			return err
		}
		tasks += j.Steps[i].Count
	}
	if tasks > MaxTasks {
		return &Invalid{"steps", fmt.Sprintf("more than %d tasks", MaxTasks)}
	}
	return nil
}

// check returns an [*Invalid] error when the step, which has the given index in the
// job, cannot be accepted.
func (s *Step) check(index int) error {
	field := func(name string) string { return fmt.Sprintf("steps[%d].%s", index, name) }
	switch {
	case s.Count < 1 || s.Count > MaxTasks:
		return &Invalid{field("count"), fmt.Sprintf("expected 1 to %d", MaxTasks)}
	case s.Need.CPU < 0 || s.Need.Memory < 0 || s.Need.GPU < 0:
		return &Invalid{field("need"), "expected no negative number"}
	case s.MaxPerVM < 0 || s.MaxUnavailable < 0 || s.Estimate < 0 || s.LatencyTarget < 0:
		return &Invalid{field("spread"), "expected no negative number"}
	}
	for _, earlier := range s.After {
		if earlier < 0 || earlier >= index {
			return &Invalid{field("after"), "expected numbers of earlier steps"}
		}
	}
	return nil
}
