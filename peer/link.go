package peer

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// hashOf returns a hash of a set of members.
func hashOf(members []Member) uint64 {
	slices.SortFunc(members, func(a, b Member) int { return cmp.Compare(a.Name, b.Name) })
	h := xxhash.New()
	for _, m := range members {
		// Writing to a hash never fails.
		_, _ = h.WriteString(m.Name + "\x00" + m.Run + "\x00")
	}
	return h.Sum64()
}

// linked reports whether self is one of the entries among own that keep a link
// to the entry far, by rendezvous hashing.
func linked(own []string, self, far string) bool {
	if len(own) <= links {
		return true
	}
	type ranked struct {
		name string
		hash uint64
	}
	ranks := make([]ranked, 0, len(own))
	for _, name := range own {
		ranks = append(ranks, ranked{name, xxhash.Sum64String(name + "\x00" + far)})
	}
	slices.SortFunc(ranks, func(a, b ranked) int { return cmp.Compare(b.hash, a.hash) })
	for _, r := range ranks[:links] {
		if r.name == self {
			return true
		}
	}
	return false
}
