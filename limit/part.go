// Package limit keeps the number of running tasks of each team within the
// team's upper limit across the whole fleet. Starting a task needs no request to
// another process.
//
// Each upper limit is a number of units; a running task uses one unit. The units
// are divided into parts, and only the holder of a part may use it. The division
// is first over the data centres and then over the [SeatsPerCentre] seats of each
// data centre; it depends only on the configuration. A running entry holds some
// of the seats of its data centre, which it claims in the platform by
// compare-and-swap. The division is monotone: lowering a limit raises no part, so
// entries that have different revisions of the configuration together never
// exceed the greater of the two limits.
//
// An entry lends units that it does not need to other entries under a lease. The
// lender debits the units before it grants the loan. It credits them back only
// when the borrower has returned them, or when the loan term, the maximum task
// time and [ClockMargin] have passed. A lost message therefore makes units
// unavailable for a while, but never creates any.
//
// # Usage
//
//	book := limit.New(limit.Config{MaxTaskTime: 30 * time.Second})
//	book.SetOwnUnits("festival", limit.Part(12, centres, centre, seats))
//	if book.Start("festival", attempt, now) {
//		// run the task, then:
//		book.End("festival", attempt)
//	}
//
// The package performs no I/O and does not read the clock.
package limit

import "slices"

// SeatsPerCentre is the number of seats into which the part of each data centre is
// divided, and so the largest number of its entries that can hold units of their
// own. The parts of the seats of a data centre differ by at most one unit.
const SeatsPerCentre = 8

// Part returns the units of limit that belong to the given seats of a data centre.
// It returns 0 if centre is not one of centres.
func Part(limit int, centres []string, centre string, seats []int) int {
	i := slices.Index(centres, centre)
	if i < 0 {
		return 0
	}
	base := portion(limit, len(centres), i)
	units := 0
	for _, s := range seats {
		units += portion(base, SeatsPerCentre, s)
	}
	return units
}

// portion returns the i-th of n portions of total, which differ by at most one.
// No portion grows when total shrinks.
func portion(total, n, i int) int {
	if total <= 0 || i < 0 || i >= n {
		return 0
	}
	p := total / n
	if i < total%n {
		p++
	}
	return p
}
