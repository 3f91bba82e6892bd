package admission

import (
	"time"

	"almondcove/job"
)

// resources is the number of resources that are counted.
const resources = 3

// Work is an amount of work: resources times seconds, for each resource.
type Work [resources]float64

// WorkOf returns the work of tasks that need r each and take d each.
func WorkOf(r job.Resources, tasks int, d time.Duration) Work {
	return rateOf(r).times(float64(tasks) * d.Seconds())
}

// rateOf returns the work that r does in a second.
func rateOf(r job.Resources) Work {
	return Work{float64(r.CPU), float64(r.Memory), float64(r.GPU)}
}

// Plus returns w + o.
func (w Work) Plus(o Work) Work {
	for i := range w {
		w[i] += o[i]
	}
	return w
}

func (w Work) times(f float64) Work {
	for i := range w {
		w[i] *= f
	}
	return w
}

// CPUSeconds returns the work in core-seconds.
func (w Work) CPUSeconds() float64 { return w[0] / 1000 }
