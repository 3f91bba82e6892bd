package peer

import (
	"context"
	"encoding/json"
	"net"
	"net/netip"
	"strings"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/keepalive"
	"google.golang.org/grpc/status"

	"almondcove/carrier"
	"almondcove/job"
	"almondcove/owner"
	"almondcove/peer/wire"
	"almondcove/record"
	"almondcove/shard"
	"almondcove/store"
)

const (
	// keepaliveIdle is how long a link may be idle before gRPC sends a keepalive
	// ping on it.
	keepaliveIdle = 10 * time.Second
	// keepaliveTimeout is how long gRPC waits for the answer to a ping before it
	// closes the link.
	keepaliveTimeout = 1500 * time.Millisecond
	// maxLinkBackoff is the longest pause between two attempts to open a link.
	maxLinkBackoff = 300 * time.Millisecond
	// linkDialTimeout is the time limit of one attempt to open a link.
	linkDialTimeout = 800 * time.Millisecond
)

// EntryStatus is the status that entries exchange about the owner, the store and
// the operators' records.
type EntryStatus struct {
	Name string
	// Run identifies the run of the entry's process.
	Run string
	// Revision is the revision of the last change of the operators' records.
	Revision int64
	// Owner is the owner that the entry knows; its name is empty if there is none.
	Owner shard.Owner
	// ReachesStore is set if the store has recently answered the entry directly.
	ReachesStore bool
	// RequestsPledge is set by an owner that cannot renew its lease and asks the
	// other entry for a pledge.
	RequestsPledge bool
	// Pledge is set in an answer that promises not to stand for election for
	// [shard.PledgeDuration].
	Pledge bool
	// Members names the registered entries that the entry knows. It is set with Pledge.
	Members []string
}

// JobHost is the entry that answers the calls about jobs. Its methods must be safe
// for concurrent use.
type JobHost interface {
	// Submit hands a job to the owner at this entry.
	Submit(ctx context.Context, j *job.Job) owner.Answer
	// Show returns the phase of a job in a scope.
	Show(id job.ID, scope owner.Scope) owner.Answer
	// Cancel cancels a job in a scope.
	Cancel(ctx context.Context, id job.ID, scope owner.Scope) owner.Answer
	// Count returns the number of a queue's jobs of which nothing has started.
	Count(queue string) owner.Answer
	// ExchangeStatus takes the status of another entry and returns that of this one.
	ExchangeStatus(theirs EntryStatus) EntryStatus
	// Records returns the operators' records and the revision of the last change.
	Records() ([]store.Item, int64)
	// Store returns the store to which this entry makes the calls that others relay
	// through it. That store must not relay them again.
	Store() store.Store
	// VMs makes the calls to VMs that this entry carries for the owner.
	VMs() carrier.VMs
}

// JobCallError reports a call to another entry by [JobLinks] or [Relay] that failed.
type JobCallError struct {
	Peer  netip.AddrPort
	Cause error
	// MayHaveArrived is false only if the call certainly never reached the other entry.
	MayHaveArrived bool
}

func (e *JobCallError) Error() string {
	return "peer: " + e.Peer.String() + " did not answer: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *JobCallError) Unwrap() error { return e.Cause }

// DialFunc opens a network connection, like [net.Dialer.DialContext].
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// JobLinks makes calls about jobs to other entries. Its methods are safe for
// concurrent use.
type JobLinks struct {
	dial DialFunc
	mu   sync.Mutex
	// links holds the links by address; it is nil after Close.
	links map[netip.AddrPort]*link
	// waitingSince holds when the first call was made to each entry that has answered none
	// since.
	waitingSince map[netip.AddrPort]time.Time
}

// link is the connection to one entry.
type link struct {
	conn *grpc.ClientConn
	// lastAnswer is the time of the last answer, or of opening the link.
	lastAnswer time.Time
}

// linkStaleAfter is the time without an answer after which a call that times out
// closes its link.
const linkStaleAfter = 700 * time.Millisecond

// NewJobLinks returns a JobLinks that opens its connections with dial.
func NewJobLinks(dial DialFunc) *JobLinks {
	return &JobLinks{dial: dial, links: make(map[netip.AddrPort]*link), waitingSince: make(map[netip.AddrPort]time.Time)}
}

// Close closes all links. Later calls fail with net.ErrClosed.
func (l *JobLinks) Close() {
	l.mu.Lock()
	links := l.links
	l.links = nil
	l.mu.Unlock()
	for _, c := range links {
		// The link is dropped even if closing it fails.
		_ = c.conn.Close()
	}
}

// client returns a client on the link to an address, which it opens if necessary.
func (l *JobLinks) client(to netip.AddrPort) (wire.JobsClient, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, waiting := l.waitingSince[to]; !waiting {
		l.waitingSince[to] = time.Now()
	}
	if c := l.links[to]; c != nil {
		return wire.NewJobsClient(c.conn), nil
	}
	if l.links == nil {
		return nil, &JobCallError{Peer: to, Cause: net.ErrClosed}
	}
	dial := func(ctx context.Context, address string) (net.Conn, error) { return l.dial(ctx, "tcp", address) }
	conn, err := connect(to, dial, maxLinkBackoff, linkDialTimeout,
		grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: keepaliveIdle, Timeout: keepaliveTimeout}),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxMessage)))
	if err != nil {
		return nil, &JobCallError{Peer: to, Cause: err}
	}
	l.links[to] = &link{conn: conn, lastAnswer: time.Now()}
	return wire.NewJobsClient(conn), nil
}

// recordAnswer records that the entry at an address has answered.
func (l *JobLinks) recordAnswer(to netip.AddrPort) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.waitingSince, to)
	if c := l.links[to]; c != nil {
		c.lastAnswer = time.Now()
	}
}

// SilentFor returns how long ago the first call was made to the entry at an address since which
// it has answered none. It is zero if it has answered since the last call.
func (l *JobLinks) SilentFor(to netip.AddrPort) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if since, ok := l.waitingSince[to]; ok {
		return time.Since(since)
	}
	return 0
}

// closeIfStale closes the link to an address after a call has timed out, unless the
// entry there has answered within linkStaleAfter. The next call then opens a new
// link, since the connection may be broken without an error.
func (l *JobLinks) closeIfStale(to netip.AddrPort) {
	l.mu.Lock()
	c := l.links[to]
	stale := c != nil && time.Since(c.lastAnswer) > linkStaleAfter
	if stale {
		delete(l.links, to)
	}
	l.mu.Unlock()
	if stale {
		// The link is dropped even if closing it fails.
		_ = c.conn.Close()
	}
}

// call makes one call to the entry at an address. The error is *JobCallError.
func call[Req, Reply any](l *JobLinks, to netip.AddrPort, f func(wire.JobsClient, Req) (Reply, error), req Req) (Reply, error) {
	var zero Reply
	c, err := l.client(to)
	if err != nil {
		return zero, err
	}
	reply, err := f(c, req)
	if err == nil {
		l.recordAnswer(to)
		return reply, nil
	}
	if status.Code(err) == codes.DeadlineExceeded {
		l.closeIfStale(to)
	}
	return zero, &JobCallError{Peer: to, Cause: err, MayHaveArrived: status.Code(err) != codes.Unavailable || !dialFailed(err)}
}

// dialFailed reports whether a call failed because no connection could be opened.
// gRPC tells this only by the text of the error.
func dialFailed(err error) bool {
	const dialing = "connection error: desc = \"transport: Error while dialing"
	return strings.HasPrefix(status.Convert(err).Message(), dialing)
}

// Submit submits a job to the owner at an address.
func (l *JobLinks) Submit(ctx context.Context, to netip.AddrPort, j *job.Job) (owner.Answer, error) {
	data, err := record.Encode(j)
	if err != nil {
		return owner.Answer{}, &store.Invalid{Call: "submit", Cause: err}
	}
	reply, err := call(l, to, func(c wire.JobsClient, req *wire.SubmitRequest) (*wire.JobReply, error) {
		return c.Submit(ctx, req)
	}, &wire.SubmitRequest{Job: data})
	return decodeAnswer(reply), err
}

// Show asks the owner at an address for the phase of a job.
func (l *JobLinks) Show(ctx context.Context, to netip.AddrPort, id job.ID, scope owner.Scope) (owner.Answer, error) {
	reply, err := call(l, to, func(c wire.JobsClient, req *wire.JobRequest) (*wire.JobReply, error) {
		return c.Show(ctx, req)
	}, encodeJobRequest(id, scope))
	return decodeAnswer(reply), err
}

// Cancel asks the owner at an address to cancel a job.
func (l *JobLinks) Cancel(ctx context.Context, to netip.AddrPort, id job.ID, scope owner.Scope) (owner.Answer, error) {
	reply, err := call(l, to, func(c wire.JobsClient, req *wire.JobRequest) (*wire.JobReply, error) {
		return c.Cancel(ctx, req)
	}, encodeJobRequest(id, scope))
	return decodeAnswer(reply), err
}

// Count asks the owner at an address for the number of a queue's jobs of which
// nothing has started.
func (l *JobLinks) Count(ctx context.Context, to netip.AddrPort, queue string) (owner.Answer, error) {
	reply, err := call(l, to, func(c wire.JobsClient, req *wire.CountRequest) (*wire.CountReply, error) {
		return c.Count(ctx, req)
	}, &wire.CountRequest{Queue: queue})
	return owner.Answer{Outcome: owner.Outcome(reply.GetOutcome()), Waiting: int(reply.GetWaiting())}, err
}

// ExchangeStatus sends the own status to the entry at an address and returns the
// status of that entry.
func (l *JobLinks) ExchangeStatus(ctx context.Context, to netip.AddrPort, own EntryStatus) (EntryStatus, error) {
	reply, err := call(l, to, func(c wire.JobsClient, req *wire.MeetRequest) (*wire.MeetReply, error) {
		return c.Meet(ctx, req)
	}, &wire.MeetRequest{State: encodeEntryStatus(own)})
	if err != nil {
		return EntryStatus{}, err
	}
	return decodeEntryStatus(reply.GetState())
}

// Fetch returns the operators' records that the entry at an address holds, and the
// revision of their last change.
func (l *JobLinks) Fetch(ctx context.Context, to netip.AddrPort) ([]store.Item, int64, error) {
	reply, err := call(l, to, func(c wire.JobsClient, req *wire.FetchRequest) (*wire.FetchReply, error) {
		return c.Fetch(ctx, req)
	}, &wire.FetchRequest{})
	if err != nil {
		return nil, 0, err
	}
	out := make([]store.Item, 0, len(reply.GetItems()))
	for _, it := range reply.GetItems() {
		out = append(out, store.Item{Key: it.GetKey(), Value: it.GetValue(), Rev: it.GetRevision()})
	}
	return out, reply.GetRevision(), nil
}

func decodeAnswer(reply *wire.JobReply) owner.Answer {
	return owner.Answer{
		Outcome: owner.Outcome(reply.GetOutcome()), Phase: job.Phase(reply.GetPhase()),
		Retry: time.Duration(reply.GetRetry()), Reason: reply.GetDetail(),
	}
}

func encodeAnswer(a owner.Answer) *wire.JobReply {
	return &wire.JobReply{
		Outcome: int32(a.Outcome), Phase: int32(a.Phase), Retry: int64(a.Retry), Detail: a.Reason,
	}
}

// encodeJobRequest encodes a request about a job in a scope.
func encodeJobRequest(id job.ID, scope owner.Scope) *wire.JobRequest {
	return &wire.JobRequest{Id: string(id), Queue: scope.Queue, Team: scope.Team}
}

func decodeScope(req *wire.JobRequest) owner.Scope {
	return owner.Scope{Queue: req.GetQueue(), Team: req.GetTeam()}
}

func encodeEntryStatus(s EntryStatus) *wire.MemberState {
	out := &wire.MemberState{
		Name: s.Name, Run: s.Run, Revision: s.Revision, Reaches: s.ReachesStore, Ask: s.RequestsPledge, Pledge: s.Pledge,
		Members: s.Members,
	}
	if s.Owner.Name != "" {
		// Encoding cannot fail: the owner consists of names, addresses and numbers.
		out.Owner, _ = json.Marshal(s.Owner)
	}
	return out
}

func decodeEntryStatus(s *wire.MemberState) (EntryStatus, error) {
	out := EntryStatus{
		Name: s.GetName(), Run: s.GetRun(), Revision: s.GetRevision(), ReachesStore: s.GetReaches(),
		RequestsPledge: s.GetAsk(), Pledge: s.GetPledge(), Members: s.GetMembers(),
	}
	if len(s.GetOwner()) > 0 {
		if err := json.Unmarshal(s.GetOwner(), &out.Owner); err != nil {
			return out, &store.Invalid{Call: "meet", Cause: err}
		}
	}
	return out, nil
}

// jobServer answers the calls of other entries about jobs.
type jobServer struct {
	wire.UnimplementedJobsServer
	host JobHost
}

// RegisterJobs adds the service for calls about jobs to a gRPC server.
func RegisterJobs(s *grpc.Server, h JobHost) {
	wire.RegisterJobsServer(s, &jobServer{host: h})
}

// Submit hands a job to the owner at this entry.
func (s *jobServer) Submit(ctx context.Context, req *wire.SubmitRequest) (*wire.JobReply, error) {
	j := new(job.Job)
	if err := json.Unmarshal(req.GetJob(), j); err != nil {
		return nil, status.Error(codes.InvalidArgument, err.Error())
	}
	return encodeAnswer(s.host.Submit(ctx, j)), nil
}

// Show returns the phase of a job.
func (s *jobServer) Show(_ context.Context, req *wire.JobRequest) (*wire.JobReply, error) {
	return encodeAnswer(s.host.Show(job.ID(req.GetId()), decodeScope(req))), nil
}

// Cancel cancels a job.
func (s *jobServer) Cancel(ctx context.Context, req *wire.JobRequest) (*wire.JobReply, error) {
	return encodeAnswer(s.host.Cancel(ctx, job.ID(req.GetId()), decodeScope(req))), nil
}

// Count returns the number of a queue's jobs of which nothing has started.
func (s *jobServer) Count(_ context.Context, req *wire.CountRequest) (*wire.CountReply, error) {
	a := s.host.Count(req.GetQueue())
	return &wire.CountReply{Outcome: int32(a.Outcome), Waiting: int64(a.Waiting)}, nil
}

// Meet takes the status of another entry and returns that of this one.
func (s *jobServer) Meet(_ context.Context, req *wire.MeetRequest) (*wire.MeetReply, error) {
	theirs, err := decodeEntryStatus(req.GetState())
	if err != nil {
		return nil, status.Error(codes.InvalidArgument, err.Error())
	}
	return &wire.MeetReply{State: encodeEntryStatus(s.host.ExchangeStatus(theirs))}, nil
}

// Fetch returns the operators' records.
func (s *jobServer) Fetch(context.Context, *wire.FetchRequest) (*wire.FetchReply, error) {
	items, rev := s.host.Records()
	out := &wire.FetchReply{Revision: rev}
	for _, it := range items {
		out.Items = append(out.Items, &wire.Item{Key: it.Key, Value: it.Value, Revision: it.Rev})
	}
	return out, nil
}

// Relay makes a call to the store on behalf of another entry.
func (s *jobServer) Relay(ctx context.Context, req *wire.RelayRequest) (*wire.RelayReply, error) {
	body, err := serveRelayed(ctx, s.host.Store(), req.GetCall(), req.GetBody())
	if err == nil {
		return &wire.RelayReply{Body: body}, nil
	}
	return encodeFailure(err), nil
}

// mayHaveArrived reports whether a failed call may have reached the other entry.
func mayHaveArrived(err error) bool {
	e, ok := errors.Into[*JobCallError](err)
	return ok && e.MayHaveArrived
}
