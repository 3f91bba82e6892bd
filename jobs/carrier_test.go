package jobs_test

import (
	"fmt"
	"math/rand/v2"
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
func TestFaultsWithCarriers(t *testing.T) {
	const seeds, seedsPerSubtest = 24, 8
	all := faults()
	for first := uint64(0); first < seeds; first += seedsPerSubtest {
		t.Run(fmt.Sprintf("seeds from %d", first), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				for seed := first; seed < first+seedsPerSubtest; seed++ {
					r := rand.New(rand.NewPCG(seed, 2))
					faultA, faultB := all[int(seed)%len(all)], all[r.IntN(len(all))]
					runFaults(t, r, alwaysCarried, faultA, faultB, fmt.Sprintf("seed %d, %s, %s", seed, faultA.name, faultB.name))
				}
			})
		})
	}
}

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
