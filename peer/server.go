package peer

import (
	"context"
	"encoding/json"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"almondcove/peer/wire"
	"almondcove/timeline"
)

// meshServer answers the mesh calls of other entries.
type meshServer struct {
	wire.UnimplementedPeerServer
	mesh *Mesh
}

// Beat records the state in a member's heartbeat and answers with the own state.
// If the member has something newer, the entry pulls it in the background.
func (s *meshServer) Beat(_ context.Context, req *wire.BeatRequest) (*wire.BeatReply, error) {
	theirs := s.mesh.decodeState(req.State)
	s.mesh.observeState(theirs)
	own := s.mesh.host.State()
	if theirs.Rev > own.Rev || s.mesh.wantsList(own, theirs) {
		s.mesh.wg.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
			defer cancel()
			s.mesh.pullFrom(ctx, s.mesh.clientFor(theirs.Identity.Address), theirs)
		})
	}
	reply := &wire.BeatReply{State: s.mesh.encodeOwnState(theirs.Identity.Centre == s.mesh.config.Self.Centre)}
	s.mesh.config.OnSent(sizeOf(reply))
	return reply, nil
}

// Pull returns the configuration records and the changes in the list of VMs that
// the caller lacks, and all members if the hash of the caller's members differs.
func (s *meshServer) Pull(_ context.Context, req *wire.PullRequest) (*wire.PullReply, error) {
	reply := &wire.PullReply{}
	if members := s.mesh.members(); hashMembers(members) != req.Members {
		reply.Members = encodeMembers(members)
	}
	reply.Records = encodeRecords(s.mesh.host.Records(req.Since))
	if req.List != nil {
		encodeVMList(reply, s.mesh.host.VMList(decodePosition(req.List)))
	}
	s.mesh.config.OnSent(sizeOf(reply))
	return reply, nil
}

// members returns the entry itself and the members that are not proved dead.
func (m *Mesh) members() []Member {
	out := []Member{m.config.Self}
	for _, p := range m.Peers() {
		if p.DeadSince.IsZero() {
			out = append(out, p.Identity)
		}
	}
	return out
}

// Borrow lends units to the caller and returns the units that it grants.
func (s *meshServer) Borrow(_ context.Context, req *wire.BorrowRequest) (*wire.BorrowReply, error) {
	grants := s.mesh.host.Lend(decodeMember(req.From), decodeLoanAmounts(req.Asks), time.Duration(req.Term))
	reply := &wire.BorrowReply{Grants: encodeLoanAmounts(grants)}
	s.mesh.config.OnSent(sizeOf(reply))
	return reply, nil
}

// Return takes back lent units that the borrower no longer holds.
func (s *meshServer) Return(_ context.Context, req *wire.ReturnRequest) (*wire.ReturnReply, error) {
	s.mesh.host.ReduceLoans(decodeLoanAmounts(req.Loans))
	return &wire.ReturnReply{}, nil
}

// Events returns the matching events of the entry's own timeline.
func (s *meshServer) Events(_ context.Context, req *wire.EventsRequest) (*wire.EventsReply, error) {
	var f timeline.Filter
	if err := json.Unmarshal(req.Filter, &f); err != nil {
		return nil, status.Error(codes.InvalidArgument, err.Error())
	}
	events, err := json.Marshal(s.mesh.host.Events(f))
	if err != nil {
		return nil, status.Error(codes.Internal, err.Error())
	}
	return &wire.EventsReply{Events: events}, nil
}
