package share

import "slices"

// Claim is one team's demand for slots of a pool in one class.
type Claim struct {
	Team string
	Rank int
	// Weight is the team's share.
	Weight int
	// Want is the number of slots that the team can use now.
	Want int
}

// Fill divides slots among the claims by weighted max-min fairness and returns
// the allocation of each claim, in the order of claims. Ranks are filled in
// ascending order. Each rank leaves slots for the demand of the later ranks, up to
// a twentieth of all slots (1/lowRankInterval). Within a rank the allocations are
// proportional to the weights, except that no claim gets more than it wants; the
// surplus goes to the other claims.
func Fill(slots float64, claims []Claim) []float64 {
	allocations := make([]float64, len(claims))
	maxReserve := slots / lowRankInterval
	for rank := range NumRanks {
		laterDemand := 0.0
		for _, c := range claims {
			if c.Rank > rank {
				laterDemand += float64(c.Want)
			}
		}
		reserved := min(laterDemand, maxReserve)
		var indices []int
		for i, c := range claims {
			if c.Rank == rank && c.Want > 0 {
				indices = append(indices, i)
			}
		}
		slots -= fillRank(max(slots-reserved, 0), claims, indices, allocations)
	}
	return allocations
}

// fillRank divides slots among the claims of one rank, those at the given
// indices, and returns the number of slots allocated. It goes through the claims
// in ascending order of demand per weight, so that the surplus of one claim is
// divided among those after it.
func fillRank(slots float64, claims []Claim, indices []int, allocations []float64) float64 {
	slices.SortStableFunc(indices, func(i, j int) int {
		a, b := claims[i], claims[j]
		return a.Want*max(b.Weight, 1) - b.Want*max(a.Weight, 1)
	})
	weights := 0
	for _, i := range indices {
		weights += max(claims[i].Weight, 1)
	}
	used := 0.0
	for _, i := range indices {
		weight := max(claims[i].Weight, 1)
		allocations[i] = min(float64(claims[i].Want), (slots-used)*float64(weight)/float64(weights))
		used += allocations[i]
		weights -= weight
	}
	return used
}
