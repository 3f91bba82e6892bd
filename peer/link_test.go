package peer

import (
	"fmt"
	"testing"

	"github.com/onsi/gomega"
)

// TestLinksAreShared looks that every entry of another data centre has its two
// links, and that the links are spread over the own entries.
func TestLinksAreShared(t *testing.T) {
	g := gomega.NewWithT(t)
	var own []string
	for i := range 7 {
		own = append(own, fmt.Sprint("own-", i))
	}
	load := make(map[string]int)
	const others = 147
	for i := range others {
		n := 0
		for _, self := range own {
			if linked(own, self, fmt.Sprint("far-", i)) {
				n++
				load[self]++
			}
		}
		g.Expect(n).To(gomega.Equal(links))
	}
	for self, n := range load {
		g.Expect(n).To(gomega.BeNumerically("<", 2*others*links/len(own)), self)
	}
}

func TestSmallDataCentreLinksToAll(t *testing.T) {
	g := gomega.NewWithT(t)
	g.Expect(linked([]string{"a"}, "a", "x")).To(gomega.BeTrue())
	g.Expect(linked([]string{"a", "b"}, "b", "x")).To(gomega.BeTrue())
}
