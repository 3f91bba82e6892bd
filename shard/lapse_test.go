package shard_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"almondcove/standin"
)

// TestNoOwnershipAfterLapse guards against an owner that resumes on new pledges, without access to the store, after another entry may have been elected.
func TestNoOwnershipAfterLapse(t *testing.T) {
	for _, c := range []struct {
		name string
		// reports is set if the entry that starts calls the owner, and paused if the owner
		// receives no pledges for some time.
		reports, paused bool
	}{
		{"new entry reported without a pledge", true, false},
		{"owner paused", false, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := gomega.NewWithT(t)
				k := standin.NewKeyValue()
				began := time.Now()
				aLink, bLink := standin.NewStoreLink(k), standin.NewStoreLink(k)
				owner := startShard(aLink, "a", "1", nil)
				defer owner.Close()
				time.Sleep(time.Second)
				b := startShard(bLink, "b", "2", nil)
				defer b.Close()
				time.Sleep(3 * time.Second)
				g.Expect(owner.HoldsOwnership()).To(gomega.BeTrue())
				aLink.SetFault(standin.LinkCut)
				bLink.SetFault(standin.LinkCut)
				pledge := func() {
					if o, _ := owner.Owner(); owner.NeedsPledges() && b.GivePledge(o) {
						owner.RecordPledge("b", time.Since(began)+time.Hour)
					}
				}
				for range 20 {
					time.Sleep(100 * time.Millisecond)
					pledge()
				}
				g.Expect(owner.HoldsOwnership()).To(gomega.BeTrue(), "on pledges")
				next := startShard(k, "c", "3", nil)
				defer next.Close()
				if c.reports {
					owner.ObserveEntries("c")
				}
				for i := range 100 {
					time.Sleep(100 * time.Millisecond)
					if !c.paused || i > 40 {
						pledge()
					}
					g.Expect(countOwners(owner, b, next)).To(gomega.BeNumerically("<=", 1))
				}
				g.Expect(next.HoldsOwnership()).To(gomega.BeTrue())
				aLink.SetFault(standin.LinkHealthy)
				bLink.SetFault(standin.LinkHealthy)
				for range 50 {
					time.Sleep(100 * time.Millisecond)
					pledge()
					g.Expect(countOwners(owner, b, next)).To(gomega.Equal(1))
				}
			})
		})
	}
}
