package limit

import "slices"

// SeatAssignment is the stored record of who holds the seats of a data centre. It
// changes only by compare-and-swap. An entry decides which units it may use from
// its own memory, not from this record.
type SeatAssignment struct {
	// Seq increases with each write.
	Seq   uint64                 `json:"seq"`
	Seats [SeatsPerCentre]Holder `json:"seats"`
}

// Holder is one run of an entry, from its start to its end. The zero value means
// that the seat is vacant.
type Holder struct {
	Run     string `json:"run,omitempty"`
	Name    string `json:"name,omitempty"`
	Address string `json:"address,omitempty"`
}

// SeatsOf returns the seats that the run holds.
func (a SeatAssignment) SeatsOf(run string) []int {
	var out []int
	for i, h := range a.Seats {
		if h.Run == run {
			out = append(out, i)
		}
	}
	return out
}

// Claim assigns to h up to want seats that its run does not hold and for which free
// returns true. It returns the new assignment and the claimed seats.
func (a SeatAssignment) Claim(h Holder, want int, free func(seat int, current Holder) bool) (SeatAssignment, []int) {
	var claimed []int
	for i, current := range a.Seats {
		if len(claimed) >= want {
			break
		}
		if current.Run != h.Run && free(i, current) {
			a.Seats[i] = h
			claimed = append(claimed, i)
		}
	}
	a.Seq++
	return a, claimed
}

// Vacate returns the assignment after the run gave up the given seats. Seats that
// the run does not hold stay as they are.
func (a SeatAssignment) Vacate(run string, seats []int) SeatAssignment {
	for i, current := range a.Seats {
		if current.Run == run && slices.Contains(seats, i) {
			a.Seats[i] = Holder{}
		}
	}
	a.Seq++
	return a
}

// unknownRun is the run of a holder that can't be determined because the platform
// has lost its latest history. No run with this name ever ends, so the seat can be
// claimed only after its actual holder has recorded itself and vacated the seat.
const unknownRun = "lost"

// Repair returns the assignment as far as one entry can reconstruct it after the
// platform has lost history. The seats in own go to self, and the seats in
// announced go to the entries that last announced them. Of the other seats, those
// that the record shows as vacant or as held by self may in fact be held by any
// run, so they go to unknownRun; the rest keep their holders. The argument seq is
// the highest Seq that the entry has seen.
func (a SeatAssignment) Repair(self Holder, own []int, announced map[int]Holder, seq uint64) SeatAssignment {
	for i, current := range a.Seats {
		other, ok := announced[i]
		switch {
		case slices.Contains(own, i):
			a.Seats[i] = self
		case ok:
			a.Seats[i] = other
		case current.Run == "" || current.Run == self.Run:
			a.Seats[i] = Holder{Run: unknownRun}
		}
	}
	a.Seq = seq + 1
	return a
}

// FairSeats returns the least and the most seats that each of n live entries should
// hold for an even distribution.
func FairSeats(n int) (least, most int) {
	n = max(n, 1)
	return SeatsPerCentre / n, (SeatsPerCentre + n - 1) / n
}
