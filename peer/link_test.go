package peer

import (
	"fmt"
	"testing"

	"github.com/onsi/gomega"
)

// TestLinksAreShared checks that exactly two local entries keep a link to each
// entry of another data centre, and that no local entry has twice its share of
// the links or more.
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
			if keepsLink(local, self, fmt.Sprint("far-", i)) {
				n++
				load[self]++
			}
		}
		g.Expect(n).To(gomega.Equal(linksPerRemoteEntry))
	}
	for self, n := range load {
		g.Expect(n).To(gomega.BeNumerically("<", 2*remotes*linksPerRemoteEntry/len(local)), self)
	}
}

func TestSmallDataCentreLinksToAll(t *testing.T) {
	g := gomega.NewWithT(t)
	g.Expect(keepsLink([]string{"a"}, "a", "x")).To(gomega.BeTrue())
	g.Expect(keepsLink([]string{"a", "b"}, "b", "x")).To(gomega.BeTrue())
}
