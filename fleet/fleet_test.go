package fleet_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"almondcove/examples"
	"almondcove/fleet"
	"almondcove/settings"
)

func TestFleet(t *testing.T) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "fleet")
}

// example returns the example configuration at revision 1 with one key.
func example() *fleet.Config {
	doc, err := settings.ReadDocument(examples.Fleet)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	c, _, err := (&fleet.Config{}).Apply(fleet.Load{Config: doc.Config(), At: time.Unix(1e9, 0)}, "s0")
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	c, _, err = c.Apply(fleet.KeyGrant{ID: "k1", Key: fleet.Key{Team: "till", Hash: fleet.HashSecret("secret")}}, "s1")
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	return c
}

var _ = ginkgo.DescribeTable("a change is refused whole",
	func(ch fleet.Change, text string) {
		c := example()
		next, records, err := c.Apply(ch, "s")
		gomega.Expect(err).To(gomega.MatchError(gomega.ContainSubstring(text)))
		gomega.Expect(next).To(gomega.BeNil())
		gomega.Expect(records).To(gomega.BeNil())
		gomega.Expect(c.Head.Rev).To(gomega.Equal(uint64(2)))
	},
	ginkgo.Entry("unknown preset", fleet.PresetUse{Name: "x"}, `no preset "x"`),
	ginkgo.Entry("negative limit", fleet.TeamSet{Name: "till", Team: fleet.Team{Share: 1, Limit: -1}}, "team/till.limit"),
	ginkgo.Entry("no share", fleet.TeamSet{Name: "till", Team: fleet.Team{Limit: 1}}, "team/till.share"),
	ginkgo.Entry("bad name", fleet.TeamSet{Name: "A b", Team: fleet.Team{Share: 1, Limit: 1}}, "a name of a-z"),
	ginkgo.Entry("key of no team", fleet.KeyGrant{ID: "k2", Key: fleet.Key{Team: "x"}}, "key/k2.team"),
	ginkgo.Entry("second grant of an id", fleet.KeyGrant{ID: "k1", Key: fleet.Key{Team: "till", Hash: "h"}}, "the key exists"),
	ginkgo.Entry("queue without lease", fleet.QueueSet{Name: "q", Queue: fleet.Queue{Pool: "tokens", Class: fleet.Normal, Teams: []string{"till"}, Wait: fleet.Duration(time.Second), Depth: 1}}, "queue/q.lease"),
	ginkgo.Entry("queue on a spare pool", fleet.QueueSet{Name: "q", Queue: fleet.Queue{Pool: "spare"}}, "a pool that is not spare"),
	ginkgo.Entry("unknown VM", fleet.VMMove{Name: "x", Pool: "tokens"}, `no vm "x"`),
	ginkgo.Entry("unknown pool", fleet.VMMove{Name: "east-1", Pool: "x"}, `no pool "x"`),
	ginkgo.Entry("place of a VM that stands", fleet.VMPlace{Name: "east-1"}, "not moving"),
	ginkgo.Entry("drain without budget", fleet.VMDrain{Name: "east-1", Down: 1}, "budget"),
	ginkgo.Entry("another set of data centres", fleet.Load{Config: fleet.Document{Centres: map[string]map[string]fleet.VM{"x": {}}}.Config()}, "can't change"),
)

var _ = ginkgo.Describe("a configuration", func() {
	ginkgo.It("comes back from its records", func() {
		c := example()
		back, err := fleet.Decode(&fleet.Config{}, c.Records(0))
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(back.Document()).To(gomega.Equal(c.Document()))
		gomega.Expect(back.Keys).To(gomega.Equal(c.Keys))
		gomega.Expect(back.Head).To(gomega.Equal(c.Head))
	})

	ginkgo.It("never goes back to an older revision", func() {
		c := example()
		next, _, err := c.Apply(fleet.PresetUse{Name: "peak"}, "s2")
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		_, err = fleet.Decode(next, c.Records(0))
		gomega.Expect(err).To(gomega.BeAssignableToTypeOf(&fleet.Stale{}))
		gomega.Expect(next.Head.Preset).To(gomega.Equal("peak"))
	})

	ginkgo.It("keeps its past when a later one is decoded", func() {
		c := example()
		for i := range 20 {
			var err error
			c, _, err = c.Apply(fleet.TeamSet{Name: "till", Team: fleet.Team{Share: 1 + i, Limit: 24}}, fmt.Sprint("t", i))
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
		}
		past := append([]string{}, c.Head.Past...)
		next, records, err := c.Apply(fleet.PresetUse{Name: "peak"}, "last")
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		_, err = fleet.Decode(c, records)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(c.Head.Past).To(gomega.Equal(past))
		gomega.Expect(next.Head.Past).To(gomega.HaveLen(16))
		gomega.Expect(next.Head.Past[0]).To(gomega.Equal(c.Head.Stamp))
	})

	ginkgo.It("changes nothing when it says so already", func() {
		c := example()
		next, records, err := c.Apply(fleet.PresetUse{Name: "ordinary"}, "s2")
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(next).To(gomega.BeIdenticalTo(c))
		gomega.Expect(records).To(gomega.BeEmpty())
	})

	ginkgo.It("lets a later return overrule a restriction that is not recorded", func() {
		c := example()
		out := fleet.Restriction{Kind: fleet.RestrictCentre, Name: "east", Stamp: "5"}
		gomega.Expect(c.Restrict([]fleet.Restriction{out}).Centres["east"].Out).To(gomega.BeTrue())
		back, _, err := c.Apply(fleet.CentreBack{Name: "east", Stamp: "6"}, "s2")
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(back.Absorbs(out)).To(gomega.BeTrue())
		gomega.Expect(back.Restrict([]fleet.Restriction{out}).Centres["east"].Out).To(gomega.BeFalse())
	})
})

var _ = ginkgo.DescribeTable("a key",
	func(text string, valid bool) {
		id, team, ok := example().Authenticate(text)
		gomega.Expect(ok).To(gomega.Equal(valid))
		if valid {
			gomega.Expect([]string{id, team}).To(gomega.Equal([]string{"k1", "till"}))
		}
	},
	ginkgo.Entry("right", "k1.secret", true),
	ginkgo.Entry("wrong secret", "k1.secre", false),
	ginkgo.Entry("unknown id", "k2.secret", false),
	ginkgo.Entry("no dot", "k1secret", false),
	ginkgo.Entry("empty", "", false),
	ginkgo.Entry("empty secret of an unknown id", "k2.", false),
)

// FuzzDecode reads records that may hold anything.
func FuzzDecode(f *testing.F) {
	f.Add("team/x", []byte(`{"share":1,"limit":2}`), []byte(`{"rev":3,"stamp":"s","preset":"p"}`))
	f.Add("vms/x", []byte(`{"a":{"pool":"p"}}`), []byte(`{"rev":-1}`))
	f.Fuzz(func(t *testing.T, key string, body, head []byte) {
		base := &fleet.Config{}
		c, err := fleet.Decode(base, []fleet.Record{{Key: key, Rev: 1, Body: body}, {Key: fleet.HeadKey, Rev: 1, Body: head}})
		if (c == nil) == (err == nil) {
			t.Fatalf("neither a configuration nor an error for %q", key)
		}
		if base.Head.Rev != 0 {
			t.Fatal("the base changed")
		}
	})
}
