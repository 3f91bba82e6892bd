// Package limit keeps every team within its upper limit over the whole fleet
// without asking anyone at the moment of a start.
//
// A limit is divided into parts that only their holder may use. It is first
// divided over the data centres and then over the [Seats] of each data centre;
// both divisions follow from the configuration alone. A running entry holds
// some seats of its data centre, claimed in the platform by compare-and-swap.
// The division is monotone: lowering a limit raises no part, so entries that
// know different revisions together never pass the greater of the two limits.
//
// What an entry doesn't need it lends to another under a lease. The lender
// debits first and restores the units only when the borrower returned them, or
// when the lease, the longest task lease and a margin for the clocks have
// passed. A lost message therefore strands units for a while and never creates any.
//
// # Usage
//
//	book := limit.New(limit.Config{Task: 30 * time.Second})
//	book.SetOwn("festival", limit.Part(12, centres, centre, seats))
//	if book.Start("festival", number, now) {
//		// run the task, then:
//		book.End("festival", number)
//	}
//
// The package does no input or output and reads no clock.
package limit

import "slices"

// Seats is the number of equal claims that each data centre's part is divided into.
const Seats = 8

// Part returns the units of limit that belong to the seats of one data centre.
func Part(limit int, centres []string, centre string, seats []int) int {
	i := slices.Index(centres, centre)
	if i < 0 {
		return 0
	}
	base := portion(limit, len(centres), i)
	units := 0
	for _, s := range seats {
		units += portion(base, Seats, s)
	}
	return units
}

// portion returns the i-th of n nearly equal portions of total.
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
