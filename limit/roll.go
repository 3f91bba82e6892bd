package limit

import "slices"

// Roll is the record of who holds the seats of one data centre. It changes
// only by compare-and-swap; the holder's own memory decides what it uses.
type Roll struct {
	// Seq grows with each write.
	Seq   uint64        `json:"seq"`
	Seats [Seats]Holder `json:"seats"`
}

// Holder is one run of an entry; the zero value means that the seat is vacant.
type Holder struct {
	Run     string `json:"run,omitempty"`
	Name    string `json:"name,omitempty"`
	Address string `json:"address,omitempty"`
}

// Held returns the seats of a run.
func (r Roll) Held(run string) []int {
	var out []int
	for i, h := range r.Seats {
		if h.Run == run {
			out = append(out, i)
		}
	}
	return out
}

// Claim returns the roll after the holder took up to want of the seats that
// free allows, and the seats it took.
func (r Roll) Claim(h Holder, want int, free func(seat int, by Holder) bool) (Roll, []int) {
	var taken []int
	for i, by := range r.Seats {
		if len(taken) >= want {
			break
		}
		if by.Run != h.Run && free(i, by) {
			r.Seats[i] = h
			taken = append(taken, i)
		}
	}
	r.Seq++
	return r, taken
}

// Vacate returns the roll after a run gave up some of its seats.
func (r Roll) Vacate(run string, seats []int) Roll {
	for i, by := range r.Seats {
		if by.Run == run && slices.Contains(seats, i) {
			r.Seats[i] = Holder{}
		}
	}
	r.Seq++
	return r
}

// lost stands for a holder that a platform without its latest history can't
// name. It never ends, so that its seat is claimed only after the true holder
// has written itself in and given the seat up.
const lost = "lost"

// Mend returns the roll of a platform that lost history, as far as one entry
// can tell: its own seats are its own, others' are those that they announced
// last, and what the roll says is vacant, or the entry's without being so, may
// be anyone's. Seq is the highest position seen.
func (r Roll) Mend(me Holder, own []int, others map[int]Holder, seq uint64) Roll {
	for i, by := range r.Seats {
		other, announced := others[i]
		switch {
		case slices.Contains(own, i):
			r.Seats[i] = me
		case announced:
			r.Seats[i] = other
		case by.Run == "" || by.Run == me.Run:
			r.Seats[i] = Holder{Run: lost}
		}
	}
	r.Seq = seq + 1
	return r
}

// Fair returns how many seats an entry should hold at least and at most among
// n live entries.
func Fair(n int) (least, most int) {
	n = max(n, 1)
	return Seats / n, (Seats + n - 1) / n
}
