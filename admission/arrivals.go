package admission

import (
	"math"
	"time"

	"almondcove/job"
)

const (
	// shortWindow is the averaging window in which the end of a load shows, and longWindow
	// the one in which a load must have lasted.
	shortWindow = 400 * time.Millisecond
	longWindow  = time.Second
)

// Arrivals averages the rate at which work is handed in, accepted or not. The zero value is no
// work.
type Arrivals struct {
	short, long Work
	// jobs is the number of jobs in the short window.
	jobs      float64
	updatedAt time.Time
}

// Add adds the work of a job.
func (a *Arrivals) Add(w Work, now time.Time) {
	*a = a.decayed(now)
	a.short = a.short.Plus(w.times(1 / shortWindow.Seconds()))
	a.long = a.long.Plus(w.times(1 / longWindow.Seconds()))
	a.jobs++
}

// decayed returns the averages as of now.
func (a *Arrivals) decayed(now time.Time) Arrivals {
	passed := now.Sub(a.updatedAt).Seconds()
	short := math.Exp(-passed / shortWindow.Seconds())
	return Arrivals{
		short: a.short.times(short), long: a.long.times(math.Exp(-passed / longWindow.Seconds())),
		jobs: a.jobs * short, updatedAt: now,
	}
}

// Rate returns the work that certainly arrives in a second: the lower rate of both windows. The
// short one is reduced by its relative sampling error for n jobs, 1/sqrt(n).
func (a *Arrivals) Rate(now time.Time) Work {
	at := a.decayed(now)
	certain := 1 - 1/math.Sqrt(max(at.jobs, 1))
	var out Work
	for r := range out {
		out[r] = min(at.short[r]*certain, at.long[r])
	}
	return out
}

// CPU returns the rate of [Arrivals.Rate] in cores.
func (a *Arrivals) CPU(now time.Time) int {
	if a == nil {
		return 0
	}
	return int(a.Rate(now)[0] / 1000)
}

// Exceed reports whether work certainly arrives faster than the room can do it within the time d
// from now: by more than twice the standard deviation of the number of jobs that the room does
// in that time. Where that number is small, nothing is certain.
func (a *Arrivals) Exceed(room job.Resources, d time.Duration, now time.Time) bool {
	if a == nil {
		return false
	}
	at, rate, limit := a.decayed(now), a.Rate(now), rateOf(room)
	for r := range rate {
		perJob := at.short[r] * shortWindow.Seconds() / max(at.jobs, 1)
		jobs := limit[r] * d.Seconds() / max(perJob, 1)
		if rate[r]*(1-2/math.Sqrt(max(jobs, 1))) > limit[r] {
			return true
		}
	}
	return false
}
