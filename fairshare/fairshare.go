// Package fairshare divides the room of a contended pool among teams by weighted dominant
// resource fairness, and marks the jobs that a team hands in beyond its rate.
//
// A team's dominant share is the greatest fraction that it uses of any resource of the pool.
// [Divide] raises the dominant shares of all teams together, in proportion to their weights,
// until a resource is used up (A. Ghodsi et al., "Dominant Resource Fairness", NSDI 2011). A
// team that wants less than its part gets what it wants, and the rest is lent to the others.
// The division depends on the present demand alone, so a lent part is owed again as soon as
// its team has work.
//
// # Usage
//
//	owed := fairshare.Divide(capacity, claims)
//	if fairshare.Dominant(claims[0].Used, capacity) < owed[0] {
//		// The team is below its share.
//	}
//
// The package does no input or output and reads no clock.
package fairshare

import (
	"math"

	"almondcove/job"
)

// Claim is the demand of one team for the room of a pool.
type Claim struct {
	// Weight is the team's weight; it must be positive.
	Weight float64
	// Used is what the team's tasks use, and Waiting what its waiting tasks need.
	Used, Waiting job.Resources
}

// numResources is the number of fields of [job.Resources].
const numResources = 3

// fractions returns what r takes of each resource, as a fraction of the capacity. What needs a
// resource that the pool lacks takes an infinite fraction of it.
func fractions(r, capacity job.Resources) [numResources]float64 {
	fraction := func(need, have int64) float64 {
		switch {
		case need <= 0:
			return 0
		case have <= 0:
			return math.Inf(1)
		}
		return float64(need) / float64(have)
	}
	return [numResources]float64{
		fraction(r.CPU, capacity.CPU), fraction(r.Memory, capacity.Memory), fraction(r.GPU, capacity.GPU),
	}
}

// Dominant returns the greatest fraction of the capacity that r takes of a resource.
func Dominant(r, capacity job.Resources) float64 {
	f := fractions(r, capacity)
	return max(f[0], f[1], f[2])
}

// demand is a claim relative to the capacity.
type demand struct {
	weight float64
	// total is the dominant share that the team wants, and need what it takes of each resource
	// for each unit of that share.
	total float64
	need  [numResources]float64
	open  bool
}

// Divide returns the dominant share that each claim is owed, in the order of claims. No claim
// is owed more than it wants. Claims that want the same resource are owed dominant shares in
// proportion to their weights, but for those that want less.
func Divide(capacity job.Resources, claims []Claim) []float64 {
	demands := make([]demand, len(claims))
	for i, c := range claims {
		demands[i] = newDemand(c, capacity)
	}
	owed := make([]float64, len(claims))
	left := [numResources]float64{1, 1, 1}
	for {
		step := nextStep(demands, owed, left)
		if math.IsInf(step, 1) {
			return owed
		}
		for i := range demands {
			d := &demands[i]
			if !d.open {
				continue
			}
			owed[i] += step * d.weight
			for r := range left {
				left[r] -= step * d.weight * d.need[r]
			}
		}
		for i := range demands {
			demands[i].close(&owed[i], left)
		}
	}
}

// newDemand returns the demand of a claim. It is open unless the team wants nothing, or a
// resource that the pool lacks.
func newDemand(c Claim, capacity job.Resources) demand {
	want := fractions(c.Used.Plus(c.Waiting), capacity)
	total := max(want[0], want[1], want[2])
	d := demand{weight: c.Weight, total: total}
	if total <= 0 || math.IsInf(total, 1) || c.Weight <= 0 {
		return d
	}
	d.open = true
	for r := range want {
		d.need[r] = want[r] / total
	}
	return d
}

// nextStep returns by how much the level of the open claims, their dominant share for each unit
// of weight, may rise until one has what it wants or a resource is used up. It returns infinity
// if no claim is open.
func nextStep(demands []demand, owed []float64, left [numResources]float64) float64 {
	step := math.Inf(1)
	var rate [numResources]float64
	for i, d := range demands {
		if !d.open {
			continue
		}
		step = min(step, (d.total-owed[i])/d.weight)
		for r := range rate {
			rate[r] += d.weight * d.need[r]
		}
	}
	for r := range rate {
		if rate[r] > 0 {
			step = min(step, left[r]/rate[r])
		}
	}
	return max(step, 0)
}

// tolerance absorbs rounding errors in the comparison of fractions.
const tolerance = 1e-9

// close closes a demand that has what it wants, or needs a resource that is used up.
func (d *demand) close(owed *float64, left [numResources]float64) {
	if !d.open {
		return
	}
	if d.total-*owed <= tolerance {
		*owed, d.open = d.total, false
		return
	}
	for r := range left {
		if left[r] <= tolerance && d.need[r] > 0 {
			d.open = false
		}
	}
}
