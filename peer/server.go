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

// server answers the calls of other entries.
type server struct {
	wire.UnimplementedPeerServer
	mesh *Mesh
}

// Beat answers a member's beat with the own state.
func (s *server) Beat(_ context.Context, req *wire.BeatRequest) (*wire.BeatReply, error) {
	theirs := s.mesh.decodeState(req.State)
	s.mesh.heard(theirs)
	own := s.mesh.host.State()
	if theirs.Rev > own.Rev || s.mesh.wantsList(own, theirs) {
		s.mesh.done.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
			defer cancel()
			s.mesh.follow(ctx, s.mesh.clientOf(theirs.From.Address), theirs)
		})
	}
	reply := &wire.BeatReply{State: s.mesh.state(theirs.From.Centre == s.mesh.config.Self.Centre)}
	s.mesh.config.Sent(sizeOf(reply))
	return reply, nil
}

// Pull answers with the records and the part of the list that the caller lacks.
func (s *server) Pull(_ context.Context, req *wire.PullRequest) (*wire.PullReply, error) {
	reply := &wire.PullReply{}
	if members := s.mesh.members(); hashOf(members) != req.Members {
		reply.Members = encodeMembers(members)
	}
	reply.Records = encodeRecords(s.mesh.host.Records(req.Since))
	if req.List != nil {
		encodeList(reply, s.mesh.host.List(decodePosition(req.List)))
	}
	s.mesh.config.Sent(sizeOf(reply))
	return reply, nil
}

// members returns the members that are not proved dead, and the entry itself.
func (m *Mesh) members() []Member {
	out := []Member{m.config.Self}
	for _, p := range m.Peers() {
		if p.Dead.IsZero() {
			out = append(out, p.From)
		}
	}
	return out
}

// Borrow answers a request for units.
func (s *server) Borrow(_ context.Context, req *wire.BorrowRequest) (*wire.BorrowReply, error) {
	grants := s.mesh.host.Lend(decodeMember(req.From), decodeAsks(req.Asks), time.Duration(req.Term))
	reply := &wire.BorrowReply{Grants: encodeAsks(grants)}
	s.mesh.config.Sent(sizeOf(reply))
	return reply, nil
}

// Return takes lent units back.
func (s *server) Return(_ context.Context, req *wire.ReturnRequest) (*wire.ReturnReply, error) {
	s.mesh.host.Restore(decodeAsks(req.Loans))
	return &wire.ReturnReply{}, nil
}

// Events answers with the entry's own time line.
func (s *server) Events(_ context.Context, req *wire.EventsRequest) (*wire.EventsReply, error) {
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
