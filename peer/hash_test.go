package peer

import (
	"fmt"
	"testing"

	"github.com/onsi/gomega"
)

// TestLinksAreShared checks that exactly two local entries send heartbeats to each
// entry of another data centre, and that each local entry sends to fewer than twice
// its share of them.
func TestLinksAreShared(t *testing.T) {
	g := gomega.NewWithT(t)
	var local []string
	for i := range 7 {
		local = append(local, fmt.Sprint("own-", i))
	}
	load := make(map[string]int)
	const remotes = 147
	for i := range remotes {
		n := 0
		for _, self := range local {
			if isHeartbeatSender(local, self, fmt.Sprint("far-", i)) {
				n++
				load[self]++
			}
		}
		g.Expect(n).To(gomega.Equal(heartbeatSendersPerRemoteEntry))
	}
	for self, n := range load {
		g.Expect(n).To(gomega.BeNumerically("<", 2*remotes*heartbeatSendersPerRemoteEntry/len(local)), self)
	}
}

func TestSmallDataCentreLinksToAll(t *testing.T) {
	g := gomega.NewWithT(t)
	g.Expect(isHeartbeatSender([]string{"a"}, "a", "x")).To(gomega.BeTrue())
	g.Expect(isHeartbeatSender([]string{"a", "b"}, "b", "x")).To(gomega.BeTrue())
}
