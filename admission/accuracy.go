package admission

import (
	"math"
	"time"
)

const (
	// ratioWeight is the weight of a new ratio in the moving averages.
	ratioWeight = 0.1
	// initialRatio and initialError are the mean ratio and its mean error without
	// observations.
	initialRatio = 1.0
	initialError = 0.25
	// forgetTime is the time constant with which observations are forgotten.
	forgetTime = 30 * time.Second
	// minFactor is the least result of [Accuracy.Factor], and maxRatio the greatest ratio that
	// an observation counts as.
	minFactor = 0.25
	maxRatio  = 4.0
)

// Accuracy holds what was learned of the ratio of actual to predicted waits. The zero value
// has learned nothing.
type Accuracy struct {
	// ratio and spread are the moving averages of the ratio and of its absolute error, as
	// differences to initialRatio and initialError.
	ratio, spread float64
	updatedAt     time.Time
}

// Observe adds an actual wait. It may be the time waited so far, of a job that is still
// waiting. The predicted time must be positive.
func (a *Accuracy) Observe(predicted, actual time.Duration, now time.Time) {
	ratio := min(actual.Seconds()/predicted.Seconds(), maxRatio)
	a.ratio, a.spread = a.decayed(now)
	a.updatedAt = now
	difference := math.Abs(ratio - initialRatio - a.ratio)
	a.ratio += ratioWeight * (ratio - initialRatio - a.ratio)
	a.spread += ratioWeight * (difference - initialError - a.spread)
}

// decayed returns ratio and spread as of now.
func (a *Accuracy) decayed(now time.Time) (ratio, spread float64) {
	if a.updatedAt.IsZero() {
		return 0, 0
	}
	keep := math.Exp(-now.Sub(a.updatedAt).Seconds() / forgetTime.Seconds())
	return a.ratio * keep, a.spread * keep
}

// Factor returns the least ratio of actual to predicted waits that is to be expected: the
// mean ratio less its mean error.
func (a *Accuracy) Factor(now time.Time) float64 {
	ratio, spread := a.decayed(now)
	return max(initialRatio+ratio-initialError-spread, minFactor)
}
