package jobs_test

import (
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"almondcove/job"
	"almondcove/owner"
)

// alwaysCarried is a size of the fleet above which calls are carried that every fleet exceeds.
const alwaysCarried = -1

// TestFaultsWithCarriers is [TestFaults] with entries that carry the owner's calls to VMs.
func TestFaultsWithCarriers(t *testing.T) { testFaults(t, 2, alwaysCarried) }

// TestSurgeBeyondOneProcessor guards against a surge that is served late because the processor
// of one entry makes all calls to VMs, while other entries are idle.
func TestSurgeBeyondOneProcessor(t *testing.T) {
	const (
		vms, entries, surge = 300, 5, 110
		callTime            = 2500 * time.Microsecond
		// objective is that of the queue: 1.6 times the two tasks of 700 ms after each other,
		// and a second.
		objective = 3240 * time.Millisecond
	)
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		s := newSystem(t, 0, vms)
		defer s.stopAndCheck()
		s.maxDirectVMs, s.callTime = vms/2, callTime
		for i := range entries {
			s.nodes = append(s.nodes, s.startEntry(i, "a"))
		}
		time.Sleep(5 * time.Second)
		began := time.Now()
		var submissions sync.WaitGroup
		for i := range surge {
			submissions.Go(func() {
				g.Expect(s.submit(i%entries, job.ID(fmt.Sprint("job-", i)))).To(gomega.Equal(owner.Done))
			})
		}
		submissions.Wait()
		time.Sleep(objective - time.Since(began))
		late := 0
		for i := range surge {
			if s.show(0, job.ID(fmt.Sprint("job-", i))).Phase != job.Completed {
				late++
			}
		}
		g.Expect(late).To(gomega.BeZero(), "jobs that miss their objective; calls by entry: %v", s.calls)
	})
}
