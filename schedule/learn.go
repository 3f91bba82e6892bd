package schedule

import (
	"maps"
	"slices"
	"time"

	"almondcove/admission"
	"almondcove/job"
)

const (
	// minExpectedWait is the least predicted wait from which the accuracy is learned.
	minExpectedWait = 250 * time.Millisecond
	// maxExpected is the greatest number of predictions that are followed at a time, and
	// expectedTimeout how long a job is followed that is not recorded.
	maxExpected     = 1000
	expectedTimeout = 10 * time.Second
	// joinTimeout is how long a move is followed.
	joinTimeout = 15 * time.Second
)

// offer names a team, a pool or both, for which work is handed in.
type offer struct{ pool, team string }

func poolOffer(name string) offer { return offer{pool: name} }
func teamOffer(name string) offer { return offer{team: name} }

// expectedStart is the predicted start of an accepted job.
type expectedStart struct {
	job        job.ID
	queue      string
	acceptedAt time.Time
	wait       time.Duration
}

// join is a move of a machine to a pool. vm is the one that ran on the machine before.
type join struct {
	pool, vm string
	chosenAt time.Time
}

// offer notes that a job was handed in.
func (f *forecasts) offer(c *Core, j *job.Job, pool string, now time.Time) {
	if f.offered == nil {
		f.offered = make(map[offer]*admission.Arrivals)
	}
	work := workOf(j, c.meanTaskTime(j.Queue))
	for _, o := range []offer{poolOffer(pool), teamOffer(j.Team), {pool, j.Team}} {
		if f.offered[o] == nil {
			f.offered[o] = &admission.Arrivals{}
		}
		f.offered[o].Add(work, now)
	}
}

// workOf returns the work of one occurrence of a job.
func workOf(j *job.Job, taskTime time.Duration) admission.Work {
	var sum admission.Work
	for i := range j.Steps {
		sum = sum.Plus(admission.WorkOf((&stage{step: &j.Steps[i]}).need(), j.Steps[i].Count, taskTime))
	}
	return sum
}

// expect notes the predicted start of an accepted job, from which the accuracy is learned.
func (f *forecasts) expect(j *job.Job, wait time.Duration, now time.Time) {
	if wait >= minExpectedWait && wait < admission.Never && len(f.expected) < maxExpected {
		f.expected = append(f.expected, expectedStart{job: j.ID, queue: j.Queue, acceptedAt: now, wait: wait})
	}
}

// factor returns the least ratio of actual to predicted waits that is expected of a queue.
func (f *forecasts) factor(queue string, now time.Time) float64 {
	a := f.accuracy[queue]
	if a == nil {
		a = &admission.Accuracy{}
	}
	return a.Factor(now)
}

// learnWaits compares the predicted starts with the actual ones. A job that waits for twice
// the predicted time counts as if it started then.
func (c *Core) learnWaits(now time.Time) {
	f := &c.forecasts
	f.expected = slices.DeleteFunc(f.expected, func(e expectedStart) bool {
		tj, waited := c.jobs[e.job], now.Sub(e.acceptedAt)
		switch {
		case tj == nil:
			return waited > expectedTimeout
		case !tj.state.Started() && tj.state.Phase().Final():
			return true
		case !tj.state.Started() && waited < 2*e.wait:
			return false
		}
		if f.accuracy == nil {
			f.accuracy = make(map[string]*admission.Accuracy)
		}
		if f.accuracy[e.queue] == nil {
			f.accuracy[e.queue] = &admission.Accuracy{}
		}
		f.accuracy[e.queue].Observe(e.wait, max(waited, time.Millisecond), now)
		return true
	})
}

// learnJoins compares the time that machines took to join their pools with the time that a move
// takes.
func (c *Core) learnJoins(now time.Time) {
	f := &c.forecasts
	// The order of observations must not depend on that of the map.
	for _, name := range slices.Sorted(maps.Keys(f.joins)) {
		j, m := f.joins[name], c.machines[name]
		v := c.vms[m.VM]
		joined := v != nil && m.VM != j.vm && m.Pool == j.pool && c.acceptsTasks(v, now)
		if joined && c.config.MoveTime > 0 {
			f.joinTime.Observe(c.config.MoveTime, now.Sub(j.chosenAt), now)
		}
		if joined || now.Sub(j.chosenAt) > joinTimeout {
			delete(f.joins, name)
		}
	}
	for name, m := range c.moves {
		if m.toPool != c.view.Spare && now.Sub(m.chosenAt) <= joinTimeout && c.movedVM(name, m) == nil {
			f.joins[name] = join{pool: m.toPool, vm: m.vm, chosenAt: m.chosenAt}
		}
	}
}
