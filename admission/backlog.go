package admission

import "math"

// Order is the class of waiting work; lower ones start first.
type Order int

// The orders of waiting work.
const (
	// Urgent and Later are the work of jobs that may end within their objective.
	Urgent Order = iota
	Later
	// Late is the work of jobs that may no longer end within their objective, but early
	// enough to be of use.
	Late
)

// Orders is the number of orders.
const Orders = 3

const (
	// buckets is the number of ranges of values in an order, bucketsPerOctave of which
	// make a factor of two. The first one begins at 2^minOctave.
	buckets          = 256
	bucketsPerOctave = 16
	minOctave        = -10
	// octaves is the number of octaves.
	octaves = buckets / bucketsPerOctave
)

// Backlog is the work that waits, by order and value. Within an order, work of greater
// value starts first, and earlier work of the same value. The zero value is empty.
type Backlog struct {
	orders [Orders]orderBacklog
}

// orderBacklog is the waiting work of an order, with the sums by octave and over all.
type orderBacklog struct {
	buckets [buckets]bucket
	octaves [octaves]Work
	all     Work
}

// bucket is the waiting work in a range of values.
type bucket struct {
	work Work
	// least is the least value of the work; it is valid if work is not zero.
	least float64
}

// Add adds waiting work.
func (b *Backlog) Add(o Order, value float64, w Work) {
	if w == (Work{}) {
		return
	}
	at, order := bucketOf(value), &b.orders[o]
	bucket := &order.buckets[at]
	if bucket.work == (Work{}) || value < bucket.least {
		bucket.least = value
	}
	bucket.work = bucket.work.Plus(w)
	octave := &order.octaves[at/bucketsPerOctave]
	*octave = octave.Plus(w)
	order.all = order.all.Plus(w)
}

// bucketOf returns the index of the range of a value.
func bucketOf(value float64) int {
	if value <= 0 {
		return 0
	}
	octave := math.Log2(value) - minOctave
	return int(min(max(octave*bucketsPerOctave, 0), buckets-1))
}

// before returns the work that certainly starts before later work of an order and a value.
// Work of the orders before counts, except that only late work counts for [Late].
func (b *Backlog) before(o Order, value float64) Work {
	var sum Work
	if o != Late {
		for earlier := range o {
			sum = sum.Plus(b.orders[earlier].all)
		}
	}
	first, order := bucketOf(value), &b.orders[o]
	octave := first / bucketsPerOctave
	for _, greater := range order.octaves[octave+1:] {
		sum = sum.Plus(greater)
	}
	for i := first; i < (octave+1)*bucketsPerOctave; i++ {
		bucket := &order.buckets[i]
		if i > first || value <= bucket.least {
			sum = sum.Plus(bucket.work)
		}
	}
	return sum
}
