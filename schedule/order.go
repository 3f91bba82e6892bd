package schedule

import (
	"cmp"
	"slices"
	"time"
)

// rankedBacklog returns the stages of a pool that have waiting tasks, the most
// important first.
//
// The ranking is made for loads that exceed the pool's capacity. Tasks of jobs that
// can still meet their objective come before those of jobs that cannot. Within a
// rank, the stages of jobs with the greatest value for each unit of remaining work
// come first, so that jobs which are nearly complete come before those that have
// not begun.
//
// The ranking is kept for [backlogSortInterval]: sorting takes longer the more
// stages wait, and so short a delay changes little for stages that wait for
// capacity anyway.
func (c *Core) rankedBacklog(p *pool, now time.Time) []*stage {
	p.backlog = slices.DeleteFunc(p.backlog, func(g *stage) bool { return g.waitingTasks == 0 || p.stages[g.id] != g })
	if len(p.backlog) > 0 && now.Sub(p.backlogSortedAt) < backlogSortInterval {
		return p.backlog
	}
	p.backlogSortedAt = now
	p.backlog = c.sortStages(p, now)
	return p.backlog
}

// backlogSortInterval is how long a ranked backlog is kept.
const backlogSortInterval = 25 * time.Millisecond

// sortStages ranks the stages of a pool that are ready, due and have waiting tasks,
// and returns them in that order.
func (c *Core) sortStages(p *pool, now time.Time) []*stage {
	out := p.backlog[:0]
	for _, g := range p.stages {
		if g.ready && g.waitingTasks > 0 && g.isDue(now) {
			g.rank = c.rankOf(g, now)
			g.valueDensity = c.valueDensity(g)
			out = append(out, g)
		}
	}
	slices.SortFunc(out, func(a, b *stage) int {
		return cmp.Or(
			cmp.Compare(a.rank, b.rank),
			cmp.Compare(b.valueDensity, a.valueDensity),
			a.trackedJob.Accepted.Compare(b.trackedJob.Accepted),
			cmp.Compare(a.id.Job, b.id.Job),
			cmp.Compare(a.id.Step, b.id.Step),
		)
	})
	return out
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
	// rankMissed is a step of a job that can no longer meet its objective.
	rankMissed
)

var ranks = [...]string{"service", "urgent", "later", "missed"}

func (r rank) String() string { return ranks[r] }

// rankOf returns the rank of a stage: service tasks come first, then tasks by the
// priority of their queue, and last those of jobs that can no longer meet their
// objective.
func (c *Core) rankOf(g *stage, now time.Time) rank {
	switch {
	case g.step.Service && !g.step.Filler:
		return rankService
	case !g.step.Service && now.Add(c.remainingTime(g)).After(g.objective(c)):
		return rankMissed
	case c.view.Queues[g.trackedJob.Queue].Priority == 0:
		return rankUrgent
	}
	return rankLater
}

// isDue reports whether the stage's due time allows its tasks to start. A job
// without set times is always due: its due time is when another entry accepted it,
// and that entry's clock may have been ahead.
func (g *stage) isDue(now time.Time) bool {
	return g.trackedJob.Times == 0 || !g.due.After(now)
}

// objective returns the time by which the stage's occurrence is to be completed.
func (g *stage) objective(c *Core) time.Time {
	return g.due.Add(c.allowance(g.trackedJob))
}

// remainingTime returns the least time that an occurrence takes from the start of a
// stage to its end: the longest path of steps that begins with the stage.
func (c *Core) remainingTime(g *stage) time.Duration {
	d := c.meanTaskTime(g.trackedJob.Queue)
	return time.Duration(float64(d) * float64(g.trackedJob.depth[g.id.Step]))
}

// valueDensity returns the value of a job for each core-second that it still needs.
// A part of the value is the same for all jobs; the rest grows with the job's work
// relative to the mean of its queue, up to [maxRelativeWork].
func (c *Core) valueDensity(g *stage) float64 {
	w := g.trackedJob
	d := c.meanTaskTime(w.Queue).Seconds()
	size := w.cores * d
	mean := c.learned[w.Queue].size()
	left := max(w.remainingCores()*d, 0.01)
	if mean <= 0 {
		mean = size
	}
	return (perJobShare + (1-perJobShare)*min(size/max(mean, 0.01), maxRelativeWork)) / left
}

const (
	// perJobShare is the part of a job's value that does not depend on its work.
	perJobShare = 0.3
	// maxRelativeWork bounds the work of a job, relative to the mean of its queue,
	// that counts for its value.
	maxRelativeWork = 5.3
)
