package owner

import (
	"strconv"
	"time"

	"almondcove/job"
	"almondcove/schedule"
)

// explainInterval is the least time between two explanations, which take time from planning.
const explainInterval = 100 * time.Millisecond

// Explain says what would become of a job, or what becomes of the accepted job of that id; see
// [schedule.Core.Explain]. A job without steps stands for an accepted one. The explanation is
// valid if the outcome is Done.
func (o *Owner) Explain(j *job.Job) (schedule.Explanation, Answer) {
	o.mu.Lock()
	defer o.mu.Unlock()
	var none schedule.Explanation
	if a, ok := o.checkOwnership(); !ok {
		return none, a
	}
	now := time.Now()
	if wait := explainInterval - now.Sub(o.explainedAt); wait > 0 {
		return none, Answer{Outcome: Refused, Retry: wait, Reason: "another explanation was just given"}
	}
	_, known := o.core.JobPhase(j.ID)
	switch err := j.Check(); {
	case known:
	case len(j.Steps) == 0:
		return none, Answer{Outcome: NoJob, Reason: "no job " + strconv.Quote(string(j.ID))}
	case err != nil:
		return none, Answer{Outcome: Invalid, Reason: err.Error()}
	}
	o.explainedAt = now
	e := o.core.Explain(j, now)
	if !known && !e.Configured {
		return none, Answer{Outcome: Invalid, Reason: "no queue " + strconv.Quote(j.Queue)}
	}
	if refusal, ok := o.mayRecord(); !known && !ok {
		e.Admitted, e.RetryAfter, e.Refusal = false, refusal.Retry, refusal.Reason
	}
	return e, Answer{Outcome: Done}
}
