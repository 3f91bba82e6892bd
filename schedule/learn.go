package schedule

import (
	"time"

	"almondcove/job"
)

// learnWeight is the part of a new figure in a queue's mean.
const learnWeight = 0.05

// learned is what the ends of a queue's tasks and its jobs have shown. Declared
// times are far off, so they are used only until there is something better.
type learned struct {
	// taskTime is the mean time that a task works, in seconds.
	taskTime float64
	// cores is the mean of the processors that all tasks of a job need together.
	cores float64
}

// size returns the mean work of a job in core-seconds.
func (l *learned) size() float64 {
	if l == nil {
		return 0
	}
	return l.cores * l.taskTime
}

func mix(mean *float64, value float64) {
	if *mean == 0 {
		*mean = value
		return
	}
	*mean += learnWeight * (value - *mean)
}

func (c *Core) learn(queue string) *learned {
	l := c.learned[queue]
	if l == nil {
		l = &learned{}
		c.learned[queue] = l
	}
	return l
}

// learnJob takes note of a job that came in.
func (c *Core) learnJob(w *work) {
	if !w.Lasting() {
		mix(&c.learn(w.Queue).cores, w.cores)
	}
}

// learnEnd takes note of how long a task has worked to its end.
func (c *Core) learnEnd(r *run, now time.Time) {
	if !r.task.stage.step.Service && r.id.Number%runSpan == 1 {
		mix(&c.learn(r.task.stage.work.Queue).taskTime, now.Sub(r.sent).Seconds())
	}
}

// duration returns how long a task of a queue works, as far as is known.
func (c *Core) duration(queue string) time.Duration {
	l := c.learned[queue]
	if l == nil || l.taskTime == 0 {
		return firstGuess
	}
	return time.Duration(l.taskTime * float64(time.Second))
}

// firstGuess is how long tasks are taken to work before any has ended.
const firstGuess = time.Second

// allowance returns how long after it is due a job may take to be in time.
func (c *Core) allowance(w *work) time.Duration {
	q := c.view.Queues[w.Queue]
	chain := float64(c.duration(w.Queue)) * float64(w.longest)
	return time.Duration(q.Stretch*chain) + q.Slack
}

// depths returns, for each step, the number of steps in the longest chain that
// begins with it.
func depths(j *job.Job) []int {
	out := make([]int, len(j.Steps))
	for i := len(j.Steps) - 1; i >= 0; i-- {
		out[i]++
		for _, a := range j.Steps[i].After {
			out[a] = max(out[a], out[i])
		}
	}
	return out
}

// coresOf returns the processors that all tasks of one occurrence need together.
func coresOf(j *job.Job) float64 {
	sum := 0.0
	for i := range j.Steps {
		sum += float64(j.Steps[i].Count) * float64(j.Steps[i].Need.CPU) / 1000
	}
	return sum
}

// coresLeft returns the processors that the tasks of a job need which are not
// done and do not run.
func (w *work) coresLeft() float64 {
	sum := w.cores
	for _, g := range w.stages {
		taken := len(g.tasks) - g.waiting
		sum -= float64(taken) * float64(g.step.Need.CPU) / 1000
	}
	return sum
}
