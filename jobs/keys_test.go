package jobs_test

import (
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"almondcove/standin"
)

const maxRecordsAge = 3 * time.Second

// startSystemWithKeys starts two entries. The second has a clock and a way to the store
// of its own.
func startSystemWithKeys(t *testing.T) (s *system, suspended *atomic.Int64, second *standin.StoreLink) {
	s = newSystem(t, 0, 2)
	s.maxRecordsAge = maxRecordsAge
	s.nodes = append(s.nodes, s.startEntry(0, "a"))
	time.Sleep(time.Second)
	second, suspended = standin.NewStoreLink(s.kv), &atomic.Int64{}
	began := time.Now()
	s.store = second
	s.clock = func() time.Duration { return time.Since(began) + time.Hour + time.Duration(suspended.Load()) }
	s.nodes = append(s.nodes, s.startEntry(1, "a"))
	time.Sleep(4 * time.Second)
	return s, suspended, second
}

// expectKeys checks for d whether the second entry accepts keys.
func expectKeys(g *gomega.WithT, s *system, d time.Duration, current bool) {
	for range int(d / (50 * time.Millisecond)) {
		g.Expect(s.nodes[1].KeysCurrent()).To(gomega.Equal(current))
		g.Expect(s.nodes[1].Ready()).To(gomega.Equal(current))
		time.Sleep(50 * time.Millisecond)
	}
}

// TestKeysAfterSuspension guards against an entry that wakes up after a suspension and
// accepts a key that was withdrawn meanwhile.
func TestKeysAfterSuspension(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		s, suspended, _ := startSystemWithKeys(t)
		defer s.stopAndCheck()
		expectKeys(g, s, 5*time.Second, true)
		suspended.Add(int64(10 * time.Second))
		g.Expect(s.nodes[1].KeysCurrent()).To(gomega.BeFalse())
		time.Sleep(3 * time.Second)
		expectKeys(g, s, 2*time.Second, true)
	})
}

// TestKeysWithoutStore guards against keys that an entry accepts although it can't learn
// of their withdrawal. An entry that is cut off from the store only reads through another
// one and goes on. During an outage, the records that other entries pass on are no newer.
func TestKeysWithoutStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		s, _, second := startSystemWithKeys(t)
		defer s.stopAndCheck()
		second.SetFault(standin.LinkCut)
		expectKeys(g, s, 10*time.Second, true)
		s.kv.SetFault(standin.KeyValueRefuses)
		time.Sleep(maxRecordsAge + 50*time.Millisecond)
		expectKeys(g, s, 3*time.Second, false)
		s.kv.SetFault(standin.KeyValueHealthy)
		time.Sleep(3 * time.Second)
		expectKeys(g, s, 3*time.Second, true)
	})
}

// TestOldRecordsOfOtherEntries guards against records that count as current because
// another entry, itself without a way to the store, has passed them on.
func TestOldRecordsOfOtherEntries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		s, _, second := startSystemWithKeys(t)
		defer s.stopAndCheck()
		s.net.Partition(entryAddr(0), entryAddr(1))
		second.SetFault(standin.LinkCut)
		time.Sleep(maxRecordsAge + 50*time.Millisecond)
		expectKeys(g, s, time.Second, false)
		s.putJSON("conf/other", "changed")
		time.Sleep(2 * time.Second)
		s.kv.SetFault(standin.KeyValueRefuses)
		s.net.Heal()
		time.Sleep(time.Second)
		expectKeys(g, s, 3*time.Second, false)
	})
}
