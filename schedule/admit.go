package schedule

import (
	"slices"
	"time"

	"almondcove/admission"
	"almondcove/job"
)

const (
	// newOwnerGrace is how long after the first forecast of a term no job is refused for
	// want of room: VMs and callers may still be finding the new owner.
	newOwnerGrace = 5 * time.Second
	// forecastMaxAge is the greatest age of a forecast by which jobs are refused.
	forecastMaxAge = 500 * time.Millisecond
	// admissionListMaxAge is the greatest age of the list of machines by which jobs are
	// refused.
	admissionListMaxAge = 2 * machineListMaxAge
	// wideFraction is the part of a pool's room, as a divisor, above which a step counts as wide.
	wideFraction = 4
	// maxRefusalLogs is the greatest number of refusals that are logged in
	// refusalLogInterval.
	maxRefusalLogs     = 5
	refusalLogInterval = time.Second
)

// Refusal says why a job is not accepted.
type Refusal struct {
	// Reason names what binds.
	Reason string
	// Retry is how long the caller should wait before it retries.
	Retry time.Duration
}

// Refusals counts refused jobs by [admission.Reason].
type Refusals [admission.Reasons]int64

// Admit reports whether a job may be accepted now: its queue must be configured, and if the
// queue's jobs expire, the job must not be certain to end too late to be of use. Jobs
// without a known end and those with set times are accepted whatever waits. If the job may
// not be accepted, Admit also returns the refusal.
func (c *Core) Admit(j *job.Job, now time.Time) (Refusal, bool) {
	configured, ok := c.view.Queues[j.Queue]
	if !ok {
		return Refusal{Reason: "queue not configured", Retry: time.Second}, false
	}
	c.queue(j.Queue, false, now)
	c.useTeam(j.Team, now)
	if configured.mayRefuse(j) {
		c.forecasts.active = true
		c.forecasts.offer(c, j, configured.Pool, now)
	}
	described, verdict := c.admission(j, configured, now)
	switch v := verdict.(type) {
	case admission.Refused:
		return c.refuse(j, v, described.Expiry, now), false
	case admission.Accepted:
		c.forecasts.expect(j, v.Wait, now)
		c.forecasts.pools[configured.Pool].add(c, j, described)
	}
	return Refusal{}, true
}

// admits is [Core.Admit] without its effects.
func (c *Core) admits(j *job.Job, now time.Time) (Refusal, bool) {
	configured, ok := c.view.Queues[j.Queue]
	if !ok {
		return Refusal{Reason: "queue not configured", Retry: time.Second}, false
	}
	_, verdict := c.admission(j, configured, now)
	if v, refused := verdict.(admission.Refused); refused {
		return Refusal{Reason: v.Reason.String(), Retry: v.Retry}, false
	}
	return Refusal{}, true
}

// mayRefuse reports whether a job of the queue may be refused because it would end too late.
func (q Queue) mayRefuse(j *job.Job) bool {
	return q.Expiry > 0 && !j.HasServiceStep() && j.ScheduledOccurrences == 0
}

// admission decides on the admission of a job of a configured queue. The verdict is nil if the
// job is accepted without a forecast.
func (c *Core) admission(j *job.Job, configured Queue, now time.Time) (admission.Job, admission.Verdict) {
	f := c.forecasts.pools[configured.Pool]
	if !configured.mayRefuse(j) || f == nil || !c.mayRefuse(f, now) {
		return admission.Job{}, nil
	}
	if c.tooLargeForAll(j) {
		return admission.Job{}, admission.Refused{
			Reason: admission.TooLarge, Wait: admission.Never, Retry: admission.RetryAfter(string(j.ID), admission.MaxRetry),
		}
	}
	averages, team := f.averages[j.Queue], f.teams[j.Team]
	if f.light || team == nil || !averages.known() || c.withinRate(j, now) || c.isWide(j, f) {
		return admission.Job{}, nil
	}
	described := c.describe(j, &queue{name: j.Queue, newest: &configured}, averages)
	return described, admission.Decide(described, c.linesOf(f, team, j, configured.Pool, described, now), c.forecasts.factor(j.Queue, now))
}

// isWide reports whether a step of a job is so wide that its tasks run in several waves, which the
// objective does not count.
func (c *Core) isWide(j *job.Job, f *forecast) bool {
	return slices.ContainsFunc(j.Steps, func(step job.Step) bool {
		need := step.Need.Times(int64(step.Count))
		return !need.Times(wideFraction).Within(f.capacity) || c.team(j.Team).capped() && !need.Within(c.team(j.Team).room())
	})
}

// withinRate reports whether a new job is within the rate of its team, so that it starts before
// those beyond it.
func (c *Core) withinRate(j *job.Job, now time.Time) bool {
	weight, bucket := c.view.Teams[j.Team].Weight, c.team(j.Team).bucket
	return weight > 0 && bucket.Take(weight, now)
}

// linesOf returns what a job of a team has to wait for.
func (c *Core) linesOf(f *forecast, team *teamForecast, j *job.Job, pool string, described admission.Job, now time.Time) admission.Lines {
	timely := described.Objective - described.Chain
	out := admission.Lines{Pool: team.line, PoolIdle: f.idle}
	out.Pool.Growing = c.forecasts.offered[offer{pool, j.Team}].Exceed(f.capacity, timely, now)
	if team.capped {
		byCap := team.line
		byCap.Supply = team.capSupply
		byCap.Growing = c.forecasts.offered[teamOffer(j.Team)].Exceed(c.team(j.Team).room(), timely, now)
		out.Team = &byCap
	}
	return out
}

// mayRefuse reports whether jobs may be refused by a forecast: not while the room of the pool
// or what may join it is not known well, as after a change of owner or an outage of the store.
func (c *Core) mayRefuse(f *forecast, now time.Time) bool {
	return !c.handingOver && len(c.gates) == 0 && f.known && now.Sub(f.at) <= forecastMaxAge &&
		c.forecasts.epoch == c.epoch && now.Sub(c.forecasts.since) >= newOwnerGrace &&
		c.demandSettled(now) && len(c.machines) > 0 && now.Sub(c.machinesListedAt) <= admissionListMaxAge
}

// tooLargeForAll reports whether a task of the job needs more than any VM or machine has.
func (c *Core) tooLargeForAll(j *job.Job) bool {
	return slices.ContainsFunc(j.Steps, func(step job.Step) bool {
		need := (&stage{step: &step}).need()
		return !slices.ContainsFunc(c.forecasts.capacities, need.Within)
	})
}

// describe returns what decides on the admission of a job. Its value is comparable to those of
// the work that waited when the queue had the given averages.
func (c *Core) describe(j *job.Job, q *queue, averages queueAverages) admission.Job {
	tj := &trackedJob{Job: j, queue: q, criticalPath: slices.Max(chainLengths(j)), totalCores: coresOf(j)}
	taskTime, objective := c.meanTaskTime(j.Queue), c.allowance(tj)
	out := admission.Job{
		ID: string(j.ID), Order: admission.Later, Value: averages.valueDensity(tj),
		Work: workOf(j, taskTime), Chain: time.Duration(tj.criticalPath) * taskTime, Objective: objective,
		Expiry: time.Duration(q.newest.Expiry * float64(objective)),
	}
	if q.urgent() {
		out.Order = admission.Urgent
	}
	return out
}

// refuse counts and logs the refusal of a job.
func (c *Core) refuse(j *job.Job, v admission.Refused, expiry time.Duration, now time.Time) Refusal {
	c.stats.Refused[v.Reason]++
	f := &c.forecasts
	if now.Sub(f.logsSince) >= refusalLogInterval {
		f.logsSince, f.logs = now, 0
	}
	f.unlogged++
	if f.logs < maxRefusalLogs {
		c.config.Log.Info("job refused", "job", j.ID, "queue", j.Queue, "team", j.Team, "binds", v.Reason,
			"start", v.Wait.Milliseconds(), "end", v.End.Milliseconds(), "expiry", expiry.Milliseconds(),
			"retry", v.Retry.Milliseconds(), "refused", f.unlogged)
		f.logs++
		f.unlogged = 0
	}
	return Refusal{Reason: v.Reason.String(), Retry: v.Retry}
}
