package jobs_test

import (
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"almondcove/job"
	"almondcove/owner"
)

// TestAdvisedQueue: the tasks of a queue whose VMs another service chooses run.
func TestAdvisedQueue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		s := newSite(t, 2, 2)
		defer s.stop()
		time.Sleep(3 * time.Second)
		j := s.job("1", 3)
		j.Queue = "advised"
		g.Expect(s.nodes[0].Submit(t.Context(), j).Outcome).To(gomega.Equal(owner.Done))
		time.Sleep(4 * time.Second)
		g.Expect(s.show(1, "1").Phase).To(gomega.Equal(job.Completed))
	})
}

// TestEndedJobsTakeLittleRoom: what was handed in with a job is not kept once the
// job has ended, and its phase still is, also for the next owner.
func TestEndedJobsTakeLittleRoom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		s := newSite(t, 2, 2)
		defer s.stop()
		time.Sleep(3 * time.Second)
		g.Expect(s.submit(0, "1")).To(gomega.Equal(owner.Done))
		time.Sleep(4 * time.Second)
		items, _, err := s.kv.Range(t.Context(), "own/")
		g.Expect(err).NotTo(gomega.HaveOccurred())
		for _, it := range items {
			g.Expect(it.Key).NotTo(gomega.HavePrefix("own/job/"))
			if strings.HasPrefix(it.Key, "own/state/") {
				g.Expect(len(it.Value)).To(gomega.BeNumerically("<", 100))
			}
		}
		for i := range s.nodes {
			s.restart(i)
			time.Sleep(3 * time.Second)
			g.Expect(s.show(1-i, "1").Phase).To(gomega.Equal(job.Completed))
			g.Expect(s.submit(1-i, "1")).To(gomega.Equal(owner.Done), "the same job again")
		}
	})
}
