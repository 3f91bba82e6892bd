// Package demand estimates how much work a pool of VMs has to do: from the rate at which work
// arrives, from how that rate changes, and from its recent peak.
//
// It answers loads that rise within a few seconds to many times their mean. A machine takes
// more than a second to join a pool, so one that is ordered for the work of now joins too late.
// [Load.Expected] extrapolates a rise to the time when the machine has joined. A rise has to be
// statistically significant first, since the rate of a few jobs varies by chance.
//
// The estimates do no I/O and read no clock. They are not safe for concurrent use.
//
// # Usage
//
//	var l demand.Load
//	l.Add(coreSeconds, now)
//	cores := l.Expected(1500*time.Millisecond, now)
package demand

import (
	"math"
	"time"

	"almondcove/job"
)

const (
	// steadyFraction is the fraction of the steady rate of arriving work that counts as
	// demand before its tasks wait.
	steadyFraction = 0.9
	// steadyWindow is the averaging window of the steady rate.
	steadyWindow = time.Second
	// risingWindow is the averaging window in which a rise is detected.
	risingWindow = 400 * time.Millisecond
	// minRisingJobs is the least number of jobs in risingWindow by which a rise is
	// extrapolated: fewer may have been handed in together.
	minRisingJobs = 6
	// maxGrowth bounds an extrapolated rate, as a multiple of the present one.
	maxGrowth = 4.0
)

// Load estimates the offered load of a pool: it averages the rate of arriving work over a long
// and a short window. The zero value is a load without work.
type Load struct {
	steady, rising rate
}

// Add records the arrival of work, in core-seconds.
func (l *Load) Add(work float64, now time.Time) {
	l.steady.add(work, steadyWindow, now)
	l.rising.add(work, risingWindow, now)
}

// Expected returns the number of cores that are needed after the time ahead if the rate at
// which work arrives keeps changing as it does now. The rate over the short window is
// discounted by its relative sampling error for n jobs, 1/sqrt(n), because a few jobs are weak
// evidence of a rise. A fall is not extrapolated.
func (l *Load) Expected(ahead time.Duration, now time.Time) float64 {
	steady, _ := l.steady.decayed(steadyWindow, now)
	rising, jobs := l.rising.decayed(risingWindow, now)
	if jobs <= 1 {
		return steadyFraction * steady
	}
	certain := rising * (1 - 1/math.Sqrt(jobs))
	present := max(steadyFraction*steady, certain)
	if certain <= steady || jobs < minRisingJobs {
		return present
	}
	// Averages lag behind a steady rise by their windows.
	slope := (rising - steady) / (steadyWindow - risingWindow).Seconds()
	return min(present+slope*(risingWindow+ahead).Seconds(), maxGrowth*rising)
}

// rate is an exponential moving average of the work of arriving jobs, in core-seconds per
// second. It also counts the jobs in the averaging window.
type rate struct {
	work, jobs float64
	last       time.Time
}

func (r *rate) add(work float64, window time.Duration, now time.Time) {
	r.work, r.jobs = r.decayed(window, now)
	r.work += work / window.Seconds()
	r.jobs++
	r.last = now
}

// decayed returns the average and the count of jobs as of now.
func (r *rate) decayed(window time.Duration, now time.Time) (work, jobs float64) {
	decay := math.Exp(-now.Sub(r.last).Seconds() / window.Seconds())
	return r.work * decay, r.jobs * decay
}

// peakDecayTime is the time constant of a peak: without new demand it falls to about a third
// (1/e) in this time, because demand varies from one job to the next.
const peakDecayTime = 1500 * time.Millisecond

// Peak tracks the peak of a pool's demand: it rises with the demand at once and decays towards
// it exponentially. The zero value is a peak of zero.
type Peak struct {
	cpu, memory float64
	updatedAt   time.Time
}

// Update returns the peak after a new value of the demand. GPUs have no peak: their demand is
// returned as it is.
func (p *Peak) Update(demand job.Resources, now time.Time) job.Resources {
	decay := math.Exp(-now.Sub(p.updatedAt).Seconds() / peakDecayTime.Seconds())
	p.cpu = max(float64(demand.CPU), float64(demand.CPU)+(p.cpu-float64(demand.CPU))*decay)
	p.memory = max(float64(demand.Memory), float64(demand.Memory)+(p.memory-float64(demand.Memory))*decay)
	p.updatedAt = now
	return job.Resources{CPU: int64(p.cpu), Memory: int64(p.memory), GPU: demand.GPU}
}
