package peer

import (
	"net/netip"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"almondcove/fleet"
	"almondcove/timeline"
)

// emptyHost is a Host without any state.
type emptyHost struct{}

func (emptyHost) State() State                                          { return State{} }
func (emptyHost) Records(uint64) []fleet.Record                         { return nil }
func (emptyHost) ApplyRecords([]fleet.Record)                           {}
func (emptyHost) ApplyRestrictions([]fleet.Restriction)                 {}
func (emptyHost) VMList(Position) VMList                                { return VMList{} }
func (emptyHost) ApplyVMList(VMList)                                    {}
func (emptyHost) Lend(Member, []LoanAmount, time.Duration) []LoanAmount { return nil }
func (emptyHost) ReduceLoans([]LoanAmount)                              {}
func (emptyHost) Events(timeline.Filter) []timeline.Event               { return nil }

// TestWhoIsDead guards against a run that is wrongly taken for dead or for alive.
// A state proves another run dead only if it comes from the same address,
// whatever the name of its sender.
func TestWhoIsDead(t *testing.T) {
	here, there := netip.MustParseAddrPort("10.0.0.2:1"), netip.MustParseAddrPort("10.0.0.3:1")
	for _, c := range []struct {
		name   string
		sender Member
		dead   bool
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
				config: Config{Self: Member{Name: "me", Run: "0"}, OnDead: func(p Peer) { died = append(died, p.Identity.Run) }, Clock: &timeline.Clock{}},
				host:   emptyHost{},
				peers:  make(map[string]*Peer),
			}
			m.observeState(State{Identity: Member{Name: "a", Address: here, Run: "1"}})
			m.observeState(State{Identity: c.sender})
			g.Expect(died).To(gomega.HaveLen(map[bool]int{false: 0, true: 1}[c.dead]))
			g.Expect(m.peers["1"].DeadSince.IsZero()).To(gomega.Equal(!c.dead))
		})
	}
}
