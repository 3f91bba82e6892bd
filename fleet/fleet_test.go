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

// example returns the example configuration with one key, at revision 2.
func example() *fleet.Config {
	doc, err := settings.ReadDocument(examples.Fleet)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	c, _, err := (&fleet.Config{}).Apply(fleet.ConfigLoad{Config: doc.Config(), At: time.Unix(1e9, 0)}, "s0")
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	c, _, err = c.Apply(fleet.KeyGrant{ID: "k1", Key: fleet.Key{Team: "till", Hash: fleet.HashSecret("secret")}}, "s1")
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	return c
}

var _ = ginkgo.DescribeTable("a refused change returns no configuration and no records",
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
	ginkgo.Entry("end of a move of a VM that is not moving", fleet.VMMoveFinish{Name: "east-1"}, "not moving"),
	ginkgo.Entry("drain without budget", fleet.VMDrain{Name: "east-1", DownCount: 1}, "budget"),
	ginkgo.Entry("another set of data centres", fleet.ConfigLoad{Config: fleet.Document{Centres: map[string]map[string]fleet.VM{"x": {}}}.Config()}, "can't change"),
)

var _ = ginkgo.Describe("a configuration", func() {
	ginkgo.It("can be decoded from its records", func() {
		c := example()
		decoded, err := fleet.Decode(&fleet.Config{}, c.Records(0))
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(decoded.Document()).To(gomega.Equal(c.Document()))
		gomega.Expect(decoded.Keys).To(gomega.Equal(c.Keys))
		gomega.Expect(decoded.Head).To(gomega.Equal(c.Head))
	})

	ginkgo.It("refuses the records of an older revision", func() {
		c := example()
		next, _, err := c.Apply(fleet.PresetUse{Name: "peak"}, "s2")
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		_, err = fleet.Decode(next, c.Records(0))
		gomega.Expect(err).To(gomega.BeAssignableToTypeOf(&fleet.StaleRevisionError{}))
		gomega.Expect(next.Head.Preset).To(gomega.Equal("peak"))
	})

	ginkgo.It("keeps its past stamps when a later revision is decoded", func() {
		c := example()
		for i := range 20 {
			var err error
			c, _, err = c.Apply(fleet.TeamSet{Name: "till", Team: fleet.Team{Share: 1 + i, Limit: 24}}, fmt.Sprint("t", i))
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
		}
		past := append([]string{}, c.Head.PastStamps...)
		next, records, err := c.Apply(fleet.PresetUse{Name: "peak"}, "last")
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		_, err = fleet.Decode(c, records)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(c.Head.PastStamps).To(gomega.Equal(past))
		gomega.Expect(next.Head.PastStamps).To(gomega.HaveLen(16))
		gomega.Expect(next.Head.PastStamps[0]).To(gomega.Equal(c.Head.Stamp))
	})

	ginkgo.It("is unchanged by a change that is already in force", func() {
		c := example()
		next, records, err := c.Apply(fleet.PresetUse{Name: "ordinary"}, "s2")
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(next).To(gomega.BeIdenticalTo(c))
		gomega.Expect(records).To(gomega.BeEmpty())
	})

	ginkgo.It("lets a later return overrule a restriction that is not recorded", func() {
		c := example()
		out := fleet.Restriction{Kind: fleet.RestrictCentre, Name: "east", Stamp: "5"}
		gomega.Expect(c.Restrict([]fleet.Restriction{out}).Centres["east"].OutOfService).To(gomega.BeTrue())
		back, _, err := c.Apply(fleet.CentreBack{Name: "east", Stamp: "6"}, "s2")
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(back.Supersedes(out)).To(gomega.BeTrue())
		gomega.Expect(back.Restrict([]fleet.Restriction{out}).Centres["east"].OutOfService).To(gomega.BeFalse())
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

// FuzzDecode guards against records with arbitrary data that make Decode panic,
// modify its base, or return both or neither of a configuration and an error.
func FuzzDecode(f *testing.F) {
	f.Add("team/x", []byte(`{"share":1,"limit":2}`), []byte(`{"rev":3,"stamp":"s","preset":"p"}`))
	f.Add("vms/x", []byte(`{"a":{"pool":"p"}}`), []byte(`{"rev":-1}`))
	f.Fuzz(func(t *testing.T, key string, body, head []byte) {
		base := &fleet.Config{}
		c, err := fleet.Decode(base, []fleet.Record{{Key: key, Rev: 1, Body: body}, {Key: fleet.HeadKey, Rev: 1, Body: head}})
		if (c == nil) == (err == nil) {
			t.Fatalf("expected either a configuration or an error for key %q", key)
		}
		if base.Head.Rev != 0 {
			t.Fatal("Decode modified the base")
		}
	})
}
