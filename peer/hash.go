package peer

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// hashMembers returns a hash of the names and runs of members, which does not
// depend on their order. It sorts the slice in place.
func hashMembers(members []Member) uint64 {
	slices.SortFunc(members, func(a, b Member) int { return cmp.Compare(a.Name, b.Name) })
	h := xxhash.New()
	for _, m := range members {
		// Writing to a hash never fails.
		_, _ = h.WriteString(m.Name + "\x00" + m.Run + "\x00")
	}
	return h.Sum64()
}

// isHeartbeatSender reports whether the entry self sends heartbeats to the entry
// remote of another data centre. Rendezvous hashing selects
// heartbeatSendersPerRemoteEntry senders from local, the names of the entries of the
// own data centre. If there are no more than that, all of them are senders.
func isHeartbeatSender(local []string, self, remote string) bool {
	if len(local) <= heartbeatSendersPerRemoteEntry {
		return true
	}
	type candidate struct {
		name string
		hash uint64
	}
	candidates := make([]candidate, 0, len(local))
	for _, name := range local {
		candidates = append(candidates, candidate{name, xxhash.Sum64String(name + "\x00" + remote)})
	}
	slices.SortFunc(candidates, func(a, b candidate) int { return cmp.Compare(b.hash, a.hash) })
	for _, c := range candidates[:heartbeatSendersPerRemoteEntry] {
		if c.name == self {
			return true
		}
	}
	return false
}
