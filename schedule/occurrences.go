package schedule

import (
	"math"

	"almondcove/job"
)

// The greatest lengths of what the record of a job's state holds of an occurrence that is not
// complete; see [job.State.MarshalJSON].
const (
	// openStageBytes is that of a step without its tasks, openTaskBytes that of a task without
	// its failed runs, and failedRunBytes that of the number of one.
	openStageBytes = 200
	openTaskBytes  = 32
	failedRunBytes = 12
	// bitmapWordBytes is that of 64 indexes in a bitmap.
	bitmapWordBytes, bitmapWordBits = 21, 64
	// openOccurrenceBytes is that of the occurrence without its steps.
	openOccurrenceBytes = 64
)

// openShare is the part of the greatest length of a record, in quarters, that the open occurrences
// of a job may take.
const openShare = 3

// maxOpenOccurrences returns how many occurrences of a job may have tasks that are ready or have
// run, so that the record of its state is not longer than the store takes whatever becomes of
// their tasks. It is at least 1. Service tasks do not count.
func (c *Core) maxOpenOccurrences(tj *trackedJob) int {
	if tj.ScheduledOccurrences <= 1 || c.config.MaxRecordBytes == 0 {
		return math.MaxInt
	}
	attempts, _ := tj.queue.attempts()
	bytes := openOccurrenceBytes + bitmapBytes(len(tj.Steps))
	for i := range tj.Steps {
		if step := &tj.Steps[i]; !step.Service {
			bytes += openStageBytes + bitmapBytes(step.Count) + step.Count*(openTaskBytes+attempts*failedRunBytes)
		}
	}
	return max(c.config.MaxRecordBytes*openShare/4/bytes, 1)
}

func bitmapBytes(bits int) int { return bitmapWordBytes * (bits/bitmapWordBits + 1) }

// batchTasksLeft reports whether tasks of an occurrence other than those of services are not done.
func (tj *trackedJob) batchTasksLeft(occurrence int) bool {
	for i := range tj.Steps {
		if !tj.Steps[i].Service && !tj.state.StageDone(job.Stage{Job: tj.ID, Occurrence: occurrence, Step: i}) {
			return true
		}
	}
	return false
}
