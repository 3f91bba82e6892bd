package timeline_test

import (
	"testing"

	"github.com/onsi/gomega"

	"almondcove/timeline"
)

// TestStampsAtOneWallTime guards against stamps out of order when more events carry the
// same wall time than a stamp can count, as after a stamp from a clock that is ahead.
func TestStampsAtOneWallTime(t *testing.T) {
	g := gomega.NewWithT(t)
	var c timeline.Clock
	last := timeline.Stamp("7000000000000000.fffd")
	c.Observe(last)
	for range 5 {
		next := c.Now()
		g.Expect(next).To(gomega.HaveLen(len(last)))
		g.Expect(next > last).To(gomega.BeTrue(), "%s after %s", next, last)
		last = next
	}
}
