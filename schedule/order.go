package schedule

import (
	"cmp"
	"slices"
	"time"
)

// order returns the stages with waiting tasks, the most important first.
//
// It answers loads that exceed the room: tasks of jobs that can still be in time
// go before those that can't, and among these the ones that are worth most for
// the work that is left. Jobs that have come far go before those that have not begun.
//
// The order of a backlog is kept for a while: among stages that wait for room
// anyway, a moment's difference changes little, and sorting costs by their number.
func (c *Core) order(p *pool, now time.Time) []*stage {
	p.queue = slices.DeleteFunc(p.queue, func(g *stage) bool { return g.waiting == 0 || p.stages[g.id] != g })
	if len(p.queue) > 0 && now.Sub(p.queued) < orderEvery {
		return p.queue
	}
	p.queued = now
	p.queue = c.sorted(p, now)
	return p.queue
}

// orderEvery is how long the order of a backlog is kept.
const orderEvery = 25 * time.Millisecond

// sorted returns the stages of a pool that have waiting tasks in their order.
func (c *Core) sorted(p *pool, now time.Time) []*stage {
	out := p.queue[:0]
	for _, g := range p.stages {
		if g.open && g.waiting > 0 && g.isDue(now) {
			g.rank = c.rankOf(g, now)
			g.value = c.value(g)
			out = append(out, g)
		}
	}
	slices.SortFunc(out, func(a, b *stage) int {
		return cmp.Or(
			cmp.Compare(a.rank, b.rank),
			cmp.Compare(b.value, a.value),
			a.work.Accepted.Compare(b.work.Accepted),
			cmp.Compare(a.id.Job, b.id.Job),
			cmp.Compare(a.id.Step, b.id.Step),
		)
	})
	return out
}

// rank is how important a stage is; lower ones go first.
type rank int

// The ranks of stages.
const (
	rankService rank = iota
	rankUrgent
	rankLater
	rankMissed
)

var ranks = [...]string{"service", "urgent", "later", "missed"}

func (r rank) String() string { return ranks[r] }

// rankOf sorts service tasks first, then tasks by their queue's priority, and
// those of jobs that can't be in time any more last.
func (c *Core) rankOf(g *stage, now time.Time) rank {
	switch {
	case g.step.Service && !g.step.Filler:
		return rankService
	case !g.step.Service && now.Add(c.remaining(g)).After(g.objective(c)):
		return rankMissed
	case c.view.Queues[g.work.Queue].Priority == 0:
		return rankUrgent
	}
	return rankLater
}

// isDue reports whether the tasks of a stage may start as far as time goes. Only
// timed jobs wait: another entry's clock may have been ahead when it took the job.
func (g *stage) isDue(now time.Time) bool {
	return g.work.Times == 0 || !g.due.After(now)
}

// objective returns when the stage's occurrence has to be completed.
func (g *stage) objective(c *Core) time.Time {
	return g.due.Add(c.allowance(g.work))
}

// remaining returns how long the rest of a job takes at the least, from the
// start of a stage.
func (c *Core) remaining(g *stage) time.Duration {
	d := c.meanTaskTime(g.work.Queue)
	return time.Duration(float64(d) * float64(g.work.depth[g.id.Step]))
}

// value returns what is earned by a job for each second of a core that it still
// needs: a part is earned by each job, the rest by its work.
func (c *Core) value(g *stage) float64 {
	w := g.work
	d := c.meanTaskTime(w.Queue).Seconds()
	size := w.cores * d
	mean := c.learned[w.Queue].size()
	left := max(w.remainingCores()*d, 0.01)
	if mean <= 0 {
		mean = size
	}
	return (jobShare + (1-jobShare)*min(size/max(mean, 0.01), mostWork)) / left
}

// The worth of a job: a part for each, the rest by its work against the mean of
// its queue, up to a bound.
const (
	jobShare = 0.3
	mostWork = 5.3
)
