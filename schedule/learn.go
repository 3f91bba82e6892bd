package schedule

import (
	"time"

	"almondcove/job"
)

// meanWeight is the weight of a new value in a queue's moving averages.
const meanWeight = 0.05

// learned holds moving averages over the jobs of a queue and the ends of their tasks.
// They take the place of the times that jobs declare, which are far off.
type learned struct {
	// taskTime is the mean time that a task works, in seconds.
	taskTime float64
	// cores is the mean number of cores that all tasks of a job need together.
	cores float64
}

// size returns the mean work of a job in core-seconds, or zero while it is not known.
func (l *learned) size() float64 {
	if l == nil {
		return 0
	}
	return l.cores * l.taskTime
}

// updateMean adds a value to an exponentially weighted moving average. The first value
// becomes the mean.
func updateMean(mean *float64, value float64) {
	if *mean == 0 {
		*mean = value
		return
	}
	*mean += meanWeight * (value - *mean)
}

// learnedOf returns the averages of a queue. It adds them if there are none yet.
func (c *Core) learnedOf(queue string) *learned {
	l := c.learned[queue]
	if l == nil {
		l = &learned{}
		c.learned[queue] = l
	}
	return l
}

// observeJob adds a new job to the averages of its queue.
func (c *Core) observeJob(w *trackedJob) {
	if !w.HasServiceStep() {
		updateMean(&c.learnedOf(w.Queue).cores, w.cores)
	}
}

// observeEnd adds the time that a task worked to the averages of its queue. Service
// tasks don't count, nor do tasks of which this was not the first run in its epoch.
func (c *Core) observeEnd(r *run, now time.Time) {
	if !r.task.stage.step.Service && r.id.Number%runNumbersPerEpoch == 1 {
		updateMean(&c.learnedOf(r.task.stage.trackedJob.Queue).taskTime, now.Sub(r.sent).Seconds())
	}
}

// meanTaskTime returns the mean time that a task of a queue works, or defaultTaskTime
// while it is not known.
func (c *Core) meanTaskTime(queue string) time.Duration {
	l := c.learned[queue]
	if l == nil || l.taskTime == 0 {
		return defaultTaskTime
	}
	return time.Duration(l.taskTime * float64(time.Second))
}

// defaultTaskTime is the time that tasks are assumed to work until one has ended.
const defaultTaskTime = time.Second

// allowance returns how long after it is due a job may end and still meet the objective
// of its queue.
func (c *Core) allowance(w *trackedJob) time.Duration {
	q := c.view.Queues[w.Queue]
	chain := float64(c.meanTaskTime(w.Queue)) * float64(w.criticalPath)
	return time.Duration(q.Stretch*chain) + q.Slack
}

// chainLengths returns, for each step, the number of steps in the longest chain of
// dependent steps that begins with it.
func chainLengths(j *job.Job) []int {
	out := make([]int, len(j.Steps))
	for i := len(j.Steps) - 1; i >= 0; i-- {
		out[i]++
		for _, a := range j.Steps[i].After {
			out[a] = max(out[a], out[i])
		}
	}
	return out
}

// totalCores returns the number of cores that all tasks of one occurrence need together.
func totalCores(j *job.Job) float64 {
	sum := 0.0
	for i := range j.Steps {
		sum += float64(j.Steps[i].Count) * float64(j.Steps[i].Need.CPU) / 1000
	}
	return sum
}

// remainingCores returns the number of cores that those tasks of a job need which are
// neither done nor running.
func (w *trackedJob) remainingCores() float64 {
	sum := w.cores
	for _, g := range w.stages {
		taken := len(g.tasks) - g.waitingTasks
		sum -= float64(taken) * float64(g.step.Need.CPU) / 1000
	}
	return sum
}
