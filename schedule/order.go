package schedule

import (
	"cmp"
	"slices"
	"time"
)

// rankedBacklog returns the stages of a pool that have waiting tasks, the most
// important first.
//
// The ranking matters when the load exceeds the pool's capacity. Tasks of jobs that can
// still meet their objective come before those of jobs that cannot. Within a rank, the
// stages of jobs with the greatest value for each unit of remaining work come first, so
// that a nearly complete job comes before one that has not begun. Among jobs that are too
// late, those that have missed their objective by [overdueAfter] come first, the oldest
// before the others, so that each is done in the end.
//
// The ranking is kept for [backlogSortInterval], because sorting takes longer the more
// stages wait. A stage that becomes ready meanwhile waits for the next ranking, which
// matters little while others wait for capacity anyway. Stages that are too late already
// are ranked again only once in [missedSortInterval]: in an overload there are many of
// them, and their order hardly changes.
func (c *Core) rankedBacklog(p *pool, now time.Time) []*stage {
	idle := func(s *stage) bool { return s.waitingTasks == 0 || p.stages[s.id] != s }
	p.backlog = slices.DeleteFunc(p.backlog, idle)
	if len(p.backlog) > 0 && now.Sub(p.backlogSortedAt) < backlogSortInterval {
		return p.backlog
	}
	p.backlogSortedAt = now
	p.missed = slices.DeleteFunc(p.missed, func(s *stage) bool {
		s.missed = !idle(s)
		return !s.missed
	})
	if now.Sub(p.missedSortedAt) >= missedSortInterval {
		p.missedSortedAt = now
		for _, s := range p.missed {
			s.missed = false
		}
		p.missed = p.missed[:0]
	}
	var missed []*stage
	p.backlog, missed = c.sortStages(p, now)
	for _, s := range missed {
		s.missed = true
	}
	p.missed = append(p.missed, missed...)
	p.backlog = append(p.backlog, p.missed...)
	c.updateForecast(p, now)
	return p.backlog
}

const (
	// backlogSortInterval is how long a ranked backlog is kept.
	backlogSortInterval = 25 * time.Millisecond
	// missedSortInterval is how long the order of the stages that are too late is kept.
	missedSortInterval = 500 * time.Millisecond
)

// sortStages returns the stages of a pool that are ready, due and have waiting tasks, but are
// not among pool.missed, in the order of their ranks: first those of jobs that can be in time,
// then the others. It sets their rank and valueDensity.
func (c *Core) sortStages(p *pool, now time.Time) (timely, missed []*stage) {
	out := p.backlog[:0]
	for _, s := range p.stages {
		if s.ready && !s.missed && s.waitingTasks > 0 && s.isDue(now) {
			c.rankStage(s, now)
			out = append(out, s)
		}
	}
	slices.SortFunc(out, compareStages)
	c.applyShares(p, out, now)
	first := len(out)
	for first > 0 && out[first-1].rank == rankMissed {
		first--
	}
	return out[:first:first], out[first:]
}

// rankStage sets what the order of a stage depends on.
func (c *Core) rankStage(s *stage, now time.Time) {
	s.rank = c.rankOf(s, now)
	s.valueDensity = c.valueDensity(s)
	s.overdue = s.rank == rankMissed && now.Sub(s.objective(c)) > overdueAfter
}

// compareStages orders stages by their ranks.
func compareStages(a, b *stage) int {
	return cmp.Or(
		cmp.Compare(a.rank, b.rank),
		compareOverdue(a, b),
		cmp.Compare(b.valueDensity, a.valueDensity),
		a.trackedJob.Accepted.Compare(b.trackedJob.Accepted),
		cmp.Compare(a.id.Job, b.id.Job),
		cmp.Compare(a.id.Step, b.id.Step),
	)
}

// overdueAfter is how long after its objective a job comes before others that are late.
const overdueAfter = 10 * time.Second

// compareOverdue orders stages that are overdue before others, and by their due times.
func compareOverdue(a, b *stage) int {
	switch {
	case a.overdue && b.overdue:
		return a.due.Compare(b.due)
	case a.overdue:
		return -1
	case b.overdue:
		return 1
	}
	return 0
}

// rank is the class of a stage in the backlog; lower ranks come first.
type rank int

// The ranks of stages.
const (
	// rankService is a step of service tasks other than fillers.
	rankService rank = iota
	// rankUrgent is a step of a queue with priority zero.
	rankUrgent
	// rankLater is a step of any other queue.
	rankLater
	// rankLate is a step of a job that can no longer meet its objective, but can still end
	// before it expires.
	rankLate
	// rankMissed is a step of a job that can do neither, or that has missed the objective of a
	// queue without expiry.
	rankMissed
)

var rankNames = [...]string{"service", "urgent", "later", "late", "missed"}

func (r rank) String() string { return rankNames[r] }

// rankOf returns the rank of a stage: service tasks come first, then tasks by the
// priority of their queue, and last those of jobs that can no longer meet their
// objective.
func (c *Core) rankOf(s *stage, now time.Time) rank {
	switch {
	case s.step.Service && !s.step.Filler:
		return rankService
	case !s.step.Service && now.Add(c.remainingTime(s)).After(s.objective(c)):
		if expiry := s.expiry(c); !expiry.IsZero() && !now.Add(c.remainingTime(s)).After(expiry) {
			return rankLate
		}
		return rankMissed
	case s.trackedJob.queue.urgent():
		return rankUrgent
	}
	return rankLater
}

// urgent reports whether the queue is known to be one of the most urgent ones.
func (q *queue) urgent() bool {
	s, known := q.settings()
	return known && s.Priority == 0
}

// isDue reports whether the stage's due time allows its tasks to start. A stage of a job
// without set times is always due: its due time is when an entry accepted the job, and
// that entry's clock may have been ahead of the owner's.
func (s *stage) isDue(now time.Time) bool {
	return s.trackedJob.ScheduledOccurrences == 0 || !s.due.After(now)
}

// objective returns the time by which the stage's occurrence is to be completed.
func (s *stage) objective(c *Core) time.Time {
	return s.due.Add(c.allowance(s.trackedJob))
}

// expiry returns the time after which the end of the stage's occurrence is of no use to the
// caller; zero means that there is no such time.
func (s *stage) expiry(c *Core) time.Time {
	q, known := s.trackedJob.queue.settings()
	if !known || q.Expiry == 0 {
		return time.Time{}
	}
	return s.due.Add(time.Duration(q.Expiry * float64(c.allowance(s.trackedJob))))
}

// remainingTime returns the least time that an occurrence takes from the start of a
// stage to its end: the longest path of steps that begins with the stage.
func (c *Core) remainingTime(s *stage) time.Duration {
	taskTime := c.meanTaskTime(s.trackedJob.Queue)
	return time.Duration(float64(taskTime) * float64(s.trackedJob.depth[s.id.Step]))
}

// valueDensity returns the value of a job for each core-second that it still needs.
// A part of the value is the same for all jobs; the rest grows with the job's work
// relative to the mean of its queue, up to [maxRelativeWork]. The divisors are at least
// 0.01 core-seconds, so that none is zero or negative.
func (c *Core) valueDensity(s *stage) float64 {
	return c.averages[s.trackedJob.Queue].valueDensity(s.trackedJob)
}

func (a *queueAverages) valueDensity(tj *trackedJob) float64 {
	taskSeconds := a.meanTaskTime().Seconds()
	work := tj.totalCores * taskSeconds
	meanWork := a.meanWork()
	remainingWork := max(tj.remainingCores()*taskSeconds, 0.01)
	if meanWork <= 0 {
		meanWork = work
	}
	return (perJobShare + (1-perJobShare)*min(work/max(meanWork, 0.01), maxRelativeWork)) / remainingWork
}

const (
	// perJobShare is the part of a job's value that does not depend on its work.
	perJobShare = 0.3
	// maxRelativeWork bounds the work of a job, relative to the mean of its queue,
	// that counts for its value.
	maxRelativeWork = 5.3
)
