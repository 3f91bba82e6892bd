package admission

import (
	"math"
	"time"

	"almondcove/job"
)

// Never is a time that no work waits for. Sums of several such times don't overflow.
const Never = time.Duration(math.MaxInt64 / 8)

const (
	// supplyStep is the resolution of a supply.
	supplyStep = 100 * time.Millisecond
	// supplySteps is the length of a supply. What joins later counts as if it joined at
	// its end.
	supplySteps = 100
)

// Gain is room that waiting work gets at a time.
type Gain struct {
	// After is the time from now; zero means that the room is free now.
	After time.Duration
	Room  job.Resources
}

// Supply is the room for waiting work over time.
type Supply struct {
	// room is the room in each step, and done the work that was done before it, if all
	// room is used.
	room, done [supplySteps]Work
}

// NewSupply returns the supply that gains add up to. Negative room counts as none.
func NewSupply(gains []Gain) *Supply {
	s := new(Supply)
	for _, g := range gains {
		r := g.Room
		r.CPU, r.Memory, r.GPU = max(r.CPU, 0), max(r.Memory, 0), max(r.GPU, 0)
		step := min(max(g.After/supplyStep, 0), supplySteps-1)
		s.room[step] = s.room[step].Plus(rateOf(r))
	}
	for i := 1; i < supplySteps; i++ {
		s.room[i] = s.room[i].Plus(s.room[i-1])
		s.done[i] = s.done[i-1].Plus(s.room[i-1].times(supplyStep.Seconds()))
	}
	return s
}

// Time returns the least time in which the work can be done, or [Never].
func (s *Supply) Time(w Work) time.Duration {
	longest := time.Duration(0)
	for r, amount := range w {
		if amount > 0 {
			longest = max(longest, s.timeOf(r, amount))
		}
	}
	return longest
}

// timeOf returns the least time in which an amount of work of one resource can be done.
func (s *Supply) timeOf(r int, amount float64) time.Duration {
	// The last step before which less than the amount is done.
	first, last := 0, supplySteps-1
	for first < last {
		middle := (first + last + 1) / 2
		if s.done[middle][r] < amount {
			first = middle
		} else {
			last = middle - 1
		}
	}
	room := s.room[first][r]
	if room <= 0 {
		return Never
	}
	seconds := (amount - s.done[first][r]) / room
	if seconds >= Never.Seconds()/2 {
		return Never
	}
	return time.Duration(first)*supplyStep + time.Duration(seconds*float64(time.Second))
}
