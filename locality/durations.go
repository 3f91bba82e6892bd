package locality

import (
	"math"
	"time"
)

const (
	// durationWeight is the weight of a new value in the moving averages. The first values
	// weigh as much as each other.
	durationWeight = 0.05
	// minDurations is the number of values from which an estimate counts as known.
	minDurations = 8
	// minVariation is the least coefficient of variation that is assumed.
	minVariation = 0.1
)

// Durations learns how long the tasks of one kind take near their data, and how much that
// varies. Estimates assume a log-normal distribution. The zero value has seen no task.
type Durations struct {
	count int
	// mean is in seconds, and variance in their square.
	mean, variance float64
	// table holds the expected remaining time, in seconds, at ages that are multiples of
	// tableStep means. It was computed for tableMean and tableVariance.
	table                    [tableSteps + 1]float64
	tableMean, tableVariance float64
}

const (
	// tableStep is the interval between two ages in the table, in means, and tableSteps the
	// number of intervals.
	tableStep  = 0.125
	tableSteps = 32
	// tableTolerance is the relative change of the moments from which the table is computed
	// again.
	tableTolerance = 0.02
)

// Observe adds the time that a task took.
func (d *Durations) Observe(took time.Duration) {
	if took <= 0 {
		return
	}
	d.count++
	weight := max(1/float64(d.count), durationWeight)
	delta := took.Seconds() - d.mean
	d.mean += weight * delta
	d.variance = (1 - weight) * (d.variance + weight*delta*delta)
}

// Known reports whether enough tasks have ended for an estimate.
func (d *Durations) Known() bool { return d != nil && d.count >= minDurations }

// Mean returns the mean time that a task takes.
func (d *Durations) Mean() time.Duration { return time.Duration(d.mean * float64(time.Second)) }

// Remaining returns the expected time until the end of a task that has run for age. It grows
// with the age of a task that has run for much longer than others.
func (d *Durations) Remaining(age time.Duration) time.Duration {
	if d.count == 0 {
		return 0
	}
	if differs(d.mean, d.tableMean) || differs(d.variance, d.tableVariance) {
		d.computeTable()
	}
	position := max(age.Seconds(), 0) / (d.tableMean * tableStep)
	step := min(int(position), tableSteps-1)
	from, to := d.table[step], d.table[step+1]
	// Beyond the table, the last interval is extrapolated.
	remaining := from + (to-from)*(position-float64(step))
	return time.Duration(max(remaining, 0) * float64(time.Second))
}

func differs(a, b float64) bool { return math.Abs(a-b) > tableTolerance*b }

// computeTable computes the table from the present moments.
func (d *Durations) computeTable() {
	d.tableMean, d.tableVariance = d.mean, d.variance
	variation := max(math.Sqrt(d.variance)/d.mean, minVariation)
	sigma := math.Sqrt(math.Log1p(variation * variation))
	mu := math.Log(d.mean) - sigma*sigma/2
	d.table[0] = d.mean
	for i := 1; i <= tableSteps; i++ {
		d.table[i] = residual(mu, sigma, d.mean, d.mean*tableStep*float64(i))
	}
}

// residual returns the mean residual life at an age for a log-normal distribution.
func residual(mu, sigma, mean, age float64) float64 {
	z := (math.Log(age) - mu) / sigma
	survival := math.Erfc(z/math.Sqrt2) / 2
	if survival < negligible {
		return age * sigma / z
	}
	return max(mean*math.Erfc((z-sigma)/math.Sqrt2)/2/survival-age, 0)
}

// negligible is the probability below which the quotient of two tails is inexact, so that the
// limit of the mean residual life is used instead.
const negligible = 1e-9
