package carrier

import (
	"cmp"
	"hash/fnv"
	"math"
	"slices"
)

// vmsPerEntry is how many VMs one entry carries at most, as long as its data centre has
// others. Fewer carriers mean larger batches.
const vmsPerEntry = 128

// Choose returns the entries that carry the calls to a fleet with that many VMs in each data
// centre: the most powerful ones of each centre, one for each [vmsPerEntry] VMs. It returns
// none if the owner can call all VMs itself, which it can up to maxDirect.
func Choose(entries []Entry, vms map[string]int, maxDirect int) []Entry {
	total := 0
	for _, n := range vms {
		total += n
	}
	if total <= maxDirect {
		return nil
	}
	sorted := slices.SortedFunc(slices.Values(entries), func(a, b Entry) int {
		return cmp.Or(cmp.Compare(b.Power, a.Power), cmp.Compare(a.Name, b.Name))
	})
	left := make(map[string]int, len(vms))
	for centre, n := range vms {
		left[centre] = (n + vmsPerEntry - 1) / vmsPerEntry
	}
	var out []Entry
	for _, e := range sorted {
		if left[e.Centre] > 0 {
			left[e.Centre]--
			out = append(out, e)
		}
	}
	return out
}

// score returns the weight of an entry in the rendezvous hashing of a VM: of several entries,
// each has the highest score for a share of the VMs in proportion to its power.
func score(entry Entry, vm string) float64 {
	h := fnv.New64a()
	// Writing to a hash never fails.
	_, _ = h.Write([]byte(entry.Name))
	_, _ = h.Write([]byte{0})
	_, _ = h.Write([]byte(vm))
	// A fraction between zero and one, both excluded.
	fraction := (float64(mix(h.Sum64())>>11) + 0.5) / (1 << 53)
	return float64(max(entry.Power, 1)) / -math.Log(fraction)
}

// mix spreads the bits of a hash whose inputs differ in few bytes.
func mix(h uint64) uint64 {
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	h ^= h >> 33
	h *= 0xc4ceb9fe1a85ec53
	return h ^ h>>33
}
