// Package job is what callers hand in: steps of tasks that run on VMs, and what
// is known for certain of how far they have come.
//
// A [Job] never changes once it is accepted. Its [State] holds what has been
// recorded: which tasks are done, how often each has failed, and whether the job
// was cancelled or has failed.
//
// # Usage
//
//	if err := j.Check(); err != nil {
//		return err
//	}
//	s := job.NewState(&j)
//	s.Done(job.Task{Job: j.ID, Step: 0, Index: 3})
//	if s.Phase() == job.Completed {
//		// every task of every occurrence has ended well
//	}
package job

import (
	"fmt"
	"time"
)

// The bounds of what is accepted.
const (
	// MaxSpec is the greatest size of a job's description in bytes.
	MaxSpec = 4000
	// MaxTasks bounds the tasks of one occurrence of a job.
	MaxTasks = 10000
	// MaxSteps bounds the steps of a job.
	MaxSteps = 1000
	// MaxTimes bounds the occurrences of a job.
	MaxTimes = 10000
)

// ID names a job; callers choose it.
type ID string

// Resources is what a task needs or a VM has.
type Resources struct {
	// CPU is in thousandths of a core.
	CPU int64 `json:"cpu,omitempty"`
	// Memory is in megabytes.
	Memory int64 `json:"memory,omitempty"`
	GPU    int64 `json:"gpu,omitempty"`
}

// Plus returns the sum.
func (r Resources) Plus(o Resources) Resources {
	return Resources{r.CPU + o.CPU, r.Memory + o.Memory, r.GPU + o.GPU}
}

// Minus returns the difference.
func (r Resources) Minus(o Resources) Resources {
	return Resources{r.CPU - o.CPU, r.Memory - o.Memory, r.GPU - o.GPU}
}

// Times returns the resources of n such tasks.
func (r Resources) Times(n int64) Resources {
	return Resources{r.CPU * n, r.Memory * n, r.GPU * n}
}

// Within reports whether every member is at most that of o.
func (r Resources) Within(o Resources) bool {
	return r.CPU <= o.CPU && r.Memory <= o.Memory && r.GPU <= o.GPU
}

// Step is a set of like tasks.
type Step struct {
	Count int       `json:"count"`
	Need  Resources `json:"need"`
	// Estimate is the caller's guess of how long a task works.
	Estimate time.Duration `json:"estimate,omitempty"`
	// After lists the earlier steps whose tasks must all be done first.
	After []int `json:"after,omitempty"`
	// Gang marks tasks that only work all together.
	Gang bool `json:"gang,omitempty"`
	// Together asks for a single rack.
	Together bool `json:"together,omitempty"`
	// Label is one that the VM must have.
	Label string `json:"label,omitempty"`
	// Rack is where the data lies.
	Rack string `json:"rack,omitempty"`
	// Spread bounds the tasks of an occurrence on one VM; zero means no bound.
	Spread int `json:"spread,omitempty"`
	// Copies allows several runs of a task at once.
	Copies bool `json:"copies,omitempty"`
	// Service marks tasks that run until the job is cancelled.
	Service bool `json:"service,omitempty"`
	// Saves marks tasks that write checkpoints.
	Saves bool `json:"saves,omitempty"`
	// Image names the program; tasks of one image behave alike.
	Image string `json:"image,omitempty"`
	// Target bounds the response times of a service task; zero means none.
	Target time.Duration `json:"target,omitempty"`
	// Filler marks tasks that use what processor time others leave.
	Filler bool `json:"filler,omitempty"`
	// Missing is how many service tasks may be away through the system's own acts.
	Missing int `json:"missing,omitempty"`
	// Budgeted is set when the step has an availability budget at all.
	Budgeted bool `json:"budgeted,omitempty"`
}

// Job is what a caller handed in.
type Job struct {
	ID    ID     `json:"id"`
	Queue string `json:"queue"`
	// Team is empty for jobs of queues that are open to all.
	Team  string `json:"team,omitempty"`
	Spec  string `json:"spec"`
	Steps []Step `json:"steps"`
	// Times is how often the steps run at set times; zero means once and at once.
	Times int `json:"times,omitempty"`
	// First is when the first occurrence is due, and Every the time between two.
	First time.Time     `json:"first,omitzero"`
	Every time.Duration `json:"every,omitempty"`
	// Accepted is when the job came in.
	Accepted time.Time `json:"accepted"`
	// Epoch is that of the owner which accepted the job.
	Epoch int64 `json:"epoch,omitempty"`
}

// Occurrences returns how often the steps run.
func (j *Job) Occurrences() int {
	return max(j.Times, 1)
}

// Due returns when an occurrence may start.
func (j *Job) Due(occurrence int) time.Time {
	if j.Times == 0 {
		return j.Accepted
	}
	return j.First.Add(time.Duration(occurrence) * j.Every)
}

// Lasting reports whether the job runs until it is cancelled.
func (j *Job) Lasting() bool {
	for i := range j.Steps {
		if j.Steps[i].Service {
			return true
		}
	}
	return false
}

// Work returns the estimated core-seconds of one occurrence.
func (j *Job) Work() float64 {
	sum := 0.0
	for i := range j.Steps {
		s := &j.Steps[i]
		sum += float64(s.Count) * float64(s.Need.CPU) / 1000 * s.Estimate.Seconds()
	}
	return sum
}

// Task names one task of an occurrence of a job.
type Task struct {
	Job        ID
	Occurrence int
	Step       int
	Index      int
}

// Stage names the tasks of one step in one occurrence.
type Stage struct {
	Job        ID
	Occurrence int
	Step       int
}

// Stage returns the stage of a task.
func (t Task) Stage() Stage { return Stage{t.Job, t.Occurrence, t.Step} }

// Invalid reports a job that can't be accepted.
type Invalid struct {
	// Member names the part that is wrong, for example "steps[2].count".
	Member string
	Reason string
}

func (e *Invalid) Error() string { return "job: " + e.Member + ": " + e.Reason }

// Check returns *Invalid when the job can't be accepted.
func (j *Job) Check() error {
	switch {
	case j.ID == "":
		return &Invalid{"id", "missing"}
	case len(j.Spec) > MaxSpec:
		return &Invalid{"spec", fmt.Sprintf("longer than %d bytes", MaxSpec)}
	case len(j.Steps) == 0 || len(j.Steps) > MaxSteps:
		return &Invalid{"steps", fmt.Sprintf("expected 1 to %d", MaxSteps)}
	case j.Times < 0 || j.Times > MaxTimes:
		return &Invalid{"times", fmt.Sprintf("expected 0 to %d", MaxTimes)}
	case j.Times > 1 && j.Every <= 0:
		return &Invalid{"every", "expected more than zero"}
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

func (s *Step) check(number int) error {
	member := func(name string) string { return fmt.Sprintf("steps[%d].%s", number, name) }
	switch {
	case s.Count < 1 || s.Count > MaxTasks:
		return &Invalid{member("count"), fmt.Sprintf("expected 1 to %d", MaxTasks)}
	case s.Need.CPU < 0 || s.Need.Memory < 0 || s.Need.GPU < 0:
		return &Invalid{member("need"), "expected no negative number"}
	case s.Spread < 0 || s.Missing < 0 || s.Estimate < 0 || s.Target < 0:
		return &Invalid{member("spread"), "expected no negative number"}
	}
	for _, a := range s.After {
		if a < 0 || a >= number {
			return &Invalid{member("after"), "expected numbers of earlier steps"}
		}
	}
	return nil
}
