package schedule

import (
	"time"

	"almondcove/job"
	"almondcove/locality"
)

// meanWeight is the weight of a new value in a queue's exponentially weighted moving
// averages.
const meanWeight = 0.05

// queueAverages holds moving averages over the jobs of a queue and the ends of their
// tasks. They are used instead of the estimates that jobs declare, which are far off.
type queueAverages struct {
	// taskTime is the mean time from a task's start order to its end, in seconds.
	taskTime float64
	// cores is the mean number of cores that all tasks of one occurrence of a job need
	// together.
	cores float64
	// timeWeight and coresWeight are the weights of the next values while these averages are
	// those of a previous owner; otherwise they are below [meanWeight].
	timeWeight, coresWeight float64
	// near holds how long tasks take near their data.
	near locality.Durations
}

// restoredWeight is the weight of the first value after averages were restored. The previous
// owner's average then counts as three values do.
const restoredWeight = 0.25

// meanWork returns the mean work of a job in core-seconds, or zero while it is not known.
func (a *queueAverages) meanWork() float64 {
	if a == nil {
		return 0
	}
	return a.cores * a.taskTime
}

// known reports whether the time of a task is known.
func (a *queueAverages) known() bool { return a != nil && a.taskTime > 0 }

// updateMean adds a value to an exponentially weighted moving average. A zero mean
// stands for no value yet, so the first value becomes the mean. A weight above [meanWeight]
// falls as in the mean of all values, down to that.
func updateMean(mean, weight *float64, value float64) {
	if *mean == 0 {
		*mean = value
		return
	}
	w := max(*weight, meanWeight)
	*mean += w * (value - *mean)
	*weight = w / (1 + w)
}

// averagesFor returns the averages of a queue and creates them if necessary.
func (c *Core) averagesFor(queue string) *queueAverages {
	averages := c.averages[queue]
	if averages == nil {
		averages = &queueAverages{}
		c.averages[queue] = averages
	}
	return averages
}

// observeJob adds a new job to the averages of its queue.
func (c *Core) observeJob(tj *trackedJob) {
	if !tj.HasServiceStep() {
		a := c.averagesFor(tj.Queue)
		updateMean(&a.cores, &a.coresWeight, tj.totalCores)
	}
}

// observeEnd adds the time that a task took to the averages of its queue, and to the speed of
// its VM. Of each task, only the first run in an epoch counts. Service tasks don't count at all,
// and runs that were taken over don't count for the time near the data, as their beginning is
// not known.
func (c *Core) observeEnd(r *run, now time.Time) {
	if !r.task.stage.step.Service && r.id.Number%runNumbersPerEpoch == 1 {
		a, took := c.averagesFor(r.task.stage.trackedJob.Queue), now.Sub(r.startSentAt)
		updateMean(&a.taskTime, &a.timeWeight, took.Seconds())
		if !r.acceptedAt.IsZero() {
			a.near.Observe(time.Duration(float64(took) / c.slowdown(r)))
		}
	}
	c.observeSpeed(r, now)
}

// meanTaskTime returns the mean time that a task of a queue takes, or [defaultTaskTime]
// while it is not known.
func (c *Core) meanTaskTime(queue string) time.Duration { return c.averages[queue].meanTaskTime() }

func (a *queueAverages) meanTaskTime() time.Duration {
	if !a.known() {
		return defaultTaskTime
	}
	return time.Duration(a.taskTime * float64(time.Second))
}

// defaultTaskTime is the time that the tasks of a queue are assumed to take until one
// has ended.
const defaultTaskTime = time.Second

// allowance returns how long after its due time a job may end and still meet the
// objective of its queue. It is zero while the objective is not known.
func (c *Core) allowance(tj *trackedJob) time.Duration {
	q, known := tj.queue.settings()
	if !known {
		return 0
	}
	chain := float64(c.meanTaskTime(tj.Queue)) * float64(tj.criticalPath)
	return time.Duration(q.Stretch*chain) + q.Slack
}

// chainLengths returns, for each step, the number of steps in the longest chain of
// dependent steps that begins with it. Steps depend only on earlier ones.
func chainLengths(j *job.Job) []int {
	out := make([]int, len(j.Steps))
	for i := len(j.Steps) - 1; i >= 0; i-- {
		out[i]++
		for _, dependency := range j.Steps[i].After {
			out[dependency] = max(out[dependency], out[i])
		}
	}
	return out
}

// coresOf returns the number of cores that all tasks of one occurrence need together.
func coresOf(j *job.Job) float64 {
	sum := 0.0
	for i := range j.Steps {
		sum += float64(j.Steps[i].Count) * float64(j.Steps[i].Need.CPU) / 1000
	}
	return sum
}

// remainingCores returns totalCores less the cores of the tasks that are done or
// running. The result is too low for a job with several occurrences, because totalCores
// covers one occurrence, but the tasks of all of them are subtracted.
func (tj *trackedJob) remainingCores() float64 {
	sum := tj.totalCores
	for _, s := range tj.stages {
		notWaiting := len(s.tasks) - s.waitingTasks
		sum -= float64(notWaiting) * float64(s.step.Need.CPU) / 1000
	}
	return sum
}
