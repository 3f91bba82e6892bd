package peer

import (
	"net/netip"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"almondcove/fleet"
	"almondcove/timeline"
)

// nobody is a host that holds nothing.
type nobody struct{}

func (nobody) State() State                            { return State{} }
func (nobody) Records(uint64) []fleet.Record           { return nil }
func (nobody) Offer([]fleet.Record)                    {}
func (nobody) Restrict([]fleet.Restriction)            {}
func (nobody) List(Position) List                      { return List{} }
func (nobody) OfferList(List)                          {}
func (nobody) Lend(Member, []Ask, time.Duration) []Ask { return nil }
func (nobody) Restore([]Ask)                           {}
func (nobody) Events(timeline.Filter) []timeline.Event { return nil }

// TestWhoIsDead hears from runs under the same and other names and addresses.
func TestWhoIsDead(t *testing.T) {
	here, there := netip.MustParseAddrPort("10.0.0.2:1"), netip.MustParseAddrPort("10.0.0.3:1")
	for _, c := range []struct {
		name  string
		heard Member
		dead  bool
	}{
		{"the same run again", Member{Name: "a", Address: here, Run: "1"}, false},
		{"a replaced VM with the old address and name", Member{Name: "a", Address: here, Run: "2"}, true},
		{"a replaced VM with the old address under another name", Member{Name: "b", Address: here, Run: "2"}, true},
		{"the same name at another address", Member{Name: "a", Address: there, Run: "2"}, false},
		{"another entry", Member{Name: "b", Address: there, Run: "2"}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			var died []string
			m := &Mesh{
				config: Config{Self: Member{Name: "me", Run: "0"}, Died: func(p Peer) { died = append(died, p.From.Run) }, Clock: &timeline.Clock{}},
				host:   nobody{},
				peers:  make(map[string]*Peer),
			}
			m.heard(State{From: Member{Name: "a", Address: here, Run: "1"}})
			m.heard(State{From: c.heard})
			g.Expect(died).To(gomega.HaveLen(map[bool]int{false: 0, true: 1}[c.dead]))
			g.Expect(m.peers["1"].Dead.IsZero()).To(gomega.Equal(!c.dead))
		})
	}
}
