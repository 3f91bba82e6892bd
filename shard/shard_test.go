package shard_test

import (
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/onsi/gomega"

	"almondcove/shard"
	"almondcove/standin"
)

func start(k *standin.KeyValue, name, run string, terms chan shard.Term) *shard.Shard {
	began := time.Now()
	return shard.New(shard.Config{
		Store: k, Prefix: "t/",
		Self:  shard.Member{Name: name, Run: run, Address: netip.MustParseAddrPort("10.0.0.1:1")},
		Clock: func() time.Duration { return time.Since(began) + time.Hour },
		Elected: func(t shard.Term) {
			if terms != nil {
				terms <- t
			}
		},
		Deposed: func() {}, Log: hclog.NewNullLogger(),
	})
}

// valid counts the shards that may give orders; more than one must never be.
func valid(all ...*shard.Shard) int {
	n := 0
	for _, s := range all {
		if s.Valid() {
			n++
		}
	}
	return n
}

func TestOneOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		k := standin.NewKeyValue()
		a, b := start(k, "a", "1", nil), start(k, "b", "1", nil)
		defer a.Close()
		defer b.Close()
		time.Sleep(time.Second)
		g.Expect(valid(a, b)).To(gomega.Equal(1))
		first, second := a, b
		if b.Valid() {
			first, second = b, a
		}
		g.Expect(first.Resign(t.Context())).To(gomega.Succeed())
		time.Sleep(time.Second)
		g.Expect(first.Valid()).To(gomega.BeFalse())
		g.Expect(second.Valid()).To(gomega.BeTrue(), "the next one takes over at once")
	})
}

// TestOutage: without an answer of the store an owner stops before its lease can
// have ended, unless every other entry has pledged to stand for no election.
func TestOutage(t *testing.T) {
	for _, c := range []struct {
		name   string
		pledge bool
	}{{"no pledges", false}, {"pledges", true}} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := gomega.NewWithT(t)
				k := standin.NewKeyValue()
				began := time.Now()
				a, b := start(k, "a", "1", nil), start(k, "b", "1", nil)
				defer a.Close()
				defer b.Close()
				time.Sleep(3 * time.Second)
				owner, other, name := a, b, "b"
				if b.Valid() {
					owner, other, name = b, a, "a"
				}
				k.Set(standin.Mute)
				for range 12 {
					time.Sleep(500 * time.Millisecond)
					o, _ := owner.Owner()
					if c.pledge && owner.Asks() && other.Pledge(o) {
						owner.Pledged(name, time.Since(began)+time.Hour)
					}
					g.Expect(valid(a, b)).To(gomega.BeNumerically("<=", 1))
				}
				g.Expect(owner.Valid()).To(gomega.Equal(c.pledge))
				k.Lapse()
				k.Set(standin.Sound)
				for range 40 {
					time.Sleep(100 * time.Millisecond)
					g.Expect(valid(a, b)).To(gomega.BeNumerically("<=", 1))
				}
				g.Expect(valid(a, b)).To(gomega.Equal(1))
			})
		})
	}
}

// TestRestart: a process that finds its machine named as the owner takes over at
// once, and knows that it has to read the records.
func TestRestart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		k := standin.NewKeyValue()
		terms := make(chan shard.Term, 4)
		a := start(k, "a", "1", terms)
		time.Sleep(time.Second)
		g.Expect((<-terms).Epoch).To(gomega.Equal(int64(1)))
		a.Close()
		a = start(k, "a", "2", terms)
		defer a.Close()
		time.Sleep(500 * time.Millisecond)
		term := <-terms
		g.Expect(term.Epoch).To(gomega.Equal(int64(2)))
		g.Expect(term.Again).To(gomega.BeFalse())
		k.Lapse()
		time.Sleep(2 * time.Second)
		term = <-terms
		g.Expect(term.Epoch).To(gomega.Equal(int64(3)))
		g.Expect(term.Again).To(gomega.BeTrue(), "nobody else has owned the jobs meanwhile")
	})
}
