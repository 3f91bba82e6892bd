package share

import "slices"

// Claim is what one team asks of a pool's slots.
type Claim struct {
	Team string
	Rank int
	// Weight is the team's share.
	Weight int
	// Want is the number of slots that the team could use now.
	Want int
}

// Fill divides slots over the claims and returns the part of each, in their
// order. Lower ranks are filled first, but for a twentieth of the slots that the
// later ones keep. Within a rank the parts are in the proportion of the
// weights, except that no claim gets more than it wants; what it leaves goes to
// the others.
func Fill(slots float64, claims []Claim) []float64 {
	out := make([]float64, len(claims))
	most := slots / lastTurn
	for rank := range Ranks {
		later := 0.0
		for _, c := range claims {
			if c.Rank > rank {
				later += float64(c.Want)
			}
		}
		kept := min(later, most)
		var open []int
		for i, c := range claims {
			if c.Rank == rank && c.Want > 0 {
				open = append(open, i)
			}
		}
		slots -= fillRank(max(slots-kept, 0), claims, open, out)
	}
	return out
}

// fillRank fills the claims of one rank, the most modest first, and returns
// the slots that they use.
func fillRank(slots float64, claims []Claim, open []int, out []float64) float64 {
	slices.SortStableFunc(open, func(i, j int) int {
		a, b := claims[i], claims[j]
		return a.Want*max(b.Weight, 1) - b.Want*max(a.Weight, 1)
	})
	weights := 0
	for _, i := range open {
		weights += max(claims[i].Weight, 1)
	}
	used := 0.0
	for _, i := range open {
		weight := max(claims[i].Weight, 1)
		out[i] = min(float64(claims[i].Want), (slots-used)*float64(weight)/float64(weights))
		used += out[i]
		weights -= weight
	}
	return used
}
