package owner

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"almondcove/ledger"
	"almondcove/schedule"
)

func placeOf(vm, pool string) schedule.Place {
	return schedule.Place{VM: schedule.VM{ID: vm, Pool: pool}}
}

// TestFleetRecord guards against VMs that may run tasks and are missing from what the next
// owner reads, also while an earlier version's record is being replaced part by part. An
// earlier version must fail to read a record without its VMs.
func TestFleetRecord(t *testing.T) {
	g := gomega.NewWithT(t)
	retired := []schedule.RetiredVM{{ID: "r", Born: time.Unix(1_700_000_000, 0).UTC(), Left: time.Second}}
	fleet, parts, err := encodeFleet(schedule.RecordBatch{
		Fleet: &schedule.Fleet{HandedOver: true, Ordered: []string{"n"}},
		Parts: []schedule.FleetPart{
			{Number: 3, VMs: []schedule.Place{placeOf("a", "new")}, Begun: map[int64][]string{1: {"m"}, 2: {"m"}}},
			{Number: 5, VMs: []schedule.Place{placeOf("b", "new")}, Retired: retired, Begun: map[int64][]string{1: {"o"}}},
		},
	})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	got, err := decodeFleet(ledger.Snapshot{Fleet: fleet, FleetParts: [][]byte{parts[3], parts[5]}})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(got).To(gomega.Equal(schedule.Fleet{
		VMs:   []schedule.Place{placeOf("a", "new"), placeOf("b", "new")},
		Begun: map[int64][]string{1: {"m", "o"}, 2: {"m"}}, HandedOver: true, Ordered: []string{"n"}, Retired: retired,
	}))

	var asEarlier schedule.Fleet
	g.Expect(json.Unmarshal(fleet, &asEarlier)).NotTo(gomega.Succeed())
	var begunAsEarlier struct {
		Begun map[int64][]string `json:"begun"`
	}
	g.Expect(json.Unmarshal(fleet, &begunAsEarlier)).NotTo(gomega.Succeed())

	earlier, err := json.Marshal(schedule.Fleet{VMs: []schedule.Place{placeOf("b", "old"), placeOf("c", "old")}})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	got, err = decodeFleet(ledger.Snapshot{Fleet: earlier, FleetParts: [][]byte{parts[3], parts[5]}})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(got.VMs).To(gomega.Equal([]schedule.Place{placeOf("a", "new"), placeOf("b", "new"), placeOf("c", "old")}))

	got, err = decodeFleet(ledger.Snapshot{Fleet: []byte(`{"vms":{},"begun":{"1":["p"]}}`), FleetParts: [][]byte{parts[3]}})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(got.Begun).To(gomega.Equal(map[int64][]string{1: {"p", "m"}, 2: {"m"}}))

	got, err = decodeFleet(ledger.Snapshot{})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(got.VMs).To(gomega.BeEmpty())
}

// TestLearnedKeepsFleetReadable guards against a damaged record of what was learned that keeps
// a new owner from reading the fleet.
func TestLearnedKeepsFleetReadable(t *testing.T) {
	g := gomega.NewWithT(t)
	for _, learned := range []string{`{"queues":[{"name":"q","time":800}]}`, `{"queues":7}`, `"x"`} {
		fleet, _, err := encodeFleet(schedule.RecordBatch{Fleet: &schedule.Fleet{HandedOver: true, Learned: json.RawMessage(learned)}})
		g.Expect(err).NotTo(gomega.HaveOccurred())
		got, err := decodeFleet(ledger.Snapshot{Fleet: fleet})
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(got.HandedOver).To(gomega.BeTrue())
		g.Expect(got.Learned).To(gomega.MatchJSON(learned))
	}
}
