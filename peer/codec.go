package peer

import (
	"encoding/json"
	"net/netip"

	"github.com/samber/lo"
	"google.golang.org/protobuf/proto"

	"almondcove/dispatch"
	"almondcove/fleet"
	"almondcove/peer/wire"
)

func sizeOf(m proto.Message) int {
	return proto.Size(m)
}

// encodeOwnState encodes the own state as a message. The message has demands only
// if local is set, which means that the receiver is in the own data centre.
func (m *Mesh) encodeOwnState(local bool) *wire.State {
	s := m.host.State()
	if !local {
		s.Demands = nil
	}
	return &wire.State{
		From:   encodeMember(m.config.Self),
		Rev:    s.Rev,
		Stamp:  m.config.Clock.Now(),
		Seats:  lo.Map(s.Seats, func(n, _ int) uint32 { return uint32(n) }),
		Leader: s.Leader, Leaving: s.Leaving,
		Restrictions: lo.Map(s.Restrictions, func(r fleet.Restriction, _ int) *wire.Restriction {
			return &wire.Restriction{Kind: r.Kind, Name: r.Name, Stamp: r.Stamp}
		}),
		List: encodePosition(s.ListPosition),
		Demands: lo.Map(s.Demands, func(d dispatch.Demand, _ int) *wire.Demand {
			return &wire.Demand{Pool: d.Pool, Team: d.Team, Rank: uint32(d.Rank), Count: uint32(d.Count), Waits: d.AnyWaiting}
		}),
	}
}

// decodeState returns the state in a message and advances the clock past its stamp.
func (m *Mesh) decodeState(s *wire.State) State {
	m.config.Clock.Observe(s.GetStamp())
	return State{
		Identity: decodeMember(s.GetFrom()),
		Rev:      s.GetRev(),
		Seats:    lo.Map(s.GetSeats(), func(n uint32, _ int) int { return int(n) }),
		Leader:   s.GetLeader(), Leaving: s.GetLeaving(),
		Restrictions: lo.Map(s.GetRestrictions(), func(r *wire.Restriction, _ int) fleet.Restriction {
			return fleet.Restriction{Kind: r.Kind, Name: r.Name, Stamp: r.Stamp}
		}),
		ListPosition: decodePosition(s.GetList()),
		Demands: lo.Map(s.GetDemands(), func(d *wire.Demand, _ int) dispatch.Demand {
			return dispatch.Demand{Pool: d.Pool, Team: d.Team, Rank: int(d.Rank), Count: int(d.Count), AnyWaiting: d.Waits}
		}),
	}
}

func encodeMember(m Member) *wire.Member {
	return &wire.Member{Name: m.Name, Centre: m.Centre, Address: m.Address.String(), Run: m.Run}
}

func decodeMember(m *wire.Member) Member {
	// An address that does not parse stays zero: such a member cannot be called.
	address, _ := netip.ParseAddrPort(m.GetAddress())
	return Member{Name: m.GetName(), Centre: m.GetCentre(), Address: address, Run: m.GetRun()}
}

func encodeMembers(ms []Member) []*wire.Member {
	return lo.Map(ms, func(m Member, _ int) *wire.Member { return encodeMember(m) })
}

func decodeMembers(ms []*wire.Member) []Member {
	return lo.Map(ms, func(m *wire.Member, _ int) Member { return decodeMember(m) })
}

func encodeRecords(rs []fleet.Record) []*wire.Record {
	return lo.Map(rs, func(r fleet.Record, _ int) *wire.Record {
		return &wire.Record{Key: r.Key, Rev: r.Rev, Body: r.Body}
	})
}

func decodeRecords(rs []*wire.Record) []fleet.Record {
	return lo.Map(rs, func(r *wire.Record, _ int) fleet.Record {
		out := fleet.Record{Key: r.Key, Rev: r.Rev}
		if len(r.Body) > 0 {
			out.Body = json.RawMessage(r.Body)
		}
		return out
	})
}

// LoanAmount is a number of units of a team's limit that belong to one loan.
// Depending on the call, they are asked for, granted or still held.
type LoanAmount struct {
	// ID identifies the loan.
	ID    string
	Team  string
	Units int
}

func encodeLoanAmounts(as []LoanAmount) []*wire.Ask {
	return lo.Map(as, func(a LoanAmount, _ int) *wire.Ask {
		return &wire.Ask{Id: a.ID, Team: a.Team, Units: uint32(max(a.Units, 0))}
	})
}

func decodeLoanAmounts(as []*wire.Ask) []LoanAmount {
	return lo.Map(as, func(a *wire.Ask, _ int) LoanAmount {
		return LoanAmount{ID: a.Id, Team: a.Team, Units: int(a.Units)}
	})
}

// Position is a position in the sequence of changes to one leader's list of VMs.
type Position struct {
	// Run identifies the leader's run; it is empty while there is no list.
	Run string
	// Seq is the number of the last change that is included.
	Seq uint64
}

func encodePosition(p Position) *wire.Position {
	return &wire.Position{Run: p.Run, Seq: p.Seq}
}

func decodePosition(p *wire.Position) Position {
	return Position{Run: p.GetRun(), Seq: p.GetSeq()}
}

// VMList is the list of VMs at a position, or the changes in it that lead there.
type VMList struct {
	Position
	// Whole is set if VMs is the whole list, and not only the changes.
	Whole bool
	VMs   []VM
}

// VM is one VM of the platform's list of VMs.
type VM struct {
	Name    string         `json:"-"`
	Centre  string         `json:"centre"`
	Address netip.AddrPort `json:"address"`
	Slots   int            `json:"slots"`
	Rack    string         `json:"rack,omitempty"`
	State   VMState        `json:"state"`
}

// VMState is the state of a VM in the platform's list.
type VMState string

// The states of a VM.
const (
	VMLive    VMState = "live"
	VMLeaving VMState = "leaving"
	// VMGone marks a VM that is no longer in the platform's list.
	VMGone VMState = "gone"
)

// encodeVMList puts a list of VMs into a reply.
func encodeVMList(reply *wire.PullReply, l VMList) {
	reply.List = encodePosition(l.Position)
	reply.Whole = l.Whole
	reply.Vms = lo.Map(l.VMs, func(v VM, _ int) *wire.VM {
		return &wire.VM{
			Name: v.Name, Centre: v.Centre, Address: v.Address.String(),
			Slots: uint32(v.Slots), Rack: v.Rack, State: string(v.State),
		}
	})
}

func decodeVMList(reply *wire.PullReply) VMList {
	return VMList{
		Position: decodePosition(reply.List),
		Whole:    reply.Whole,
		VMs: lo.Map(reply.Vms, func(v *wire.VM, _ int) VM {
			// An address that does not parse stays zero: such a VM cannot be called.
			address, _ := netip.ParseAddrPort(v.Address)
			return VM{
				Name: v.Name, Centre: v.Centre, Address: address,
				Slots: int(v.Slots), Rack: v.Rack, State: VMState(v.State),
			}
		}),
	}
}
