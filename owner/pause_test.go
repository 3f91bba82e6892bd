package owner

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// TestPlanPause guards against one long plan that keeps tasks from starting for several times as long.
func TestPlanPause(t *testing.T) {
	for _, c := range []struct{ took, want time.Duration }{
		{0, minPlanPause},
		{time.Millisecond, minPlanPause},
		{5 * time.Millisecond, 20 * time.Millisecond},
		{85 * time.Millisecond, planInterval},
		{time.Second, planInterval},
	} {
		gomega.NewWithT(t).Expect(planPause(c.took)).To(gomega.Equal(c.want), "%v", c.took)
	}
}
