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

	"almondcove/job"
	"almondcove/owner"
	"almondcove/peer/wire"
	"almondcove/shard"
	"almondcove/store"
)

// The times of links between entries for jobs.
const (
	// linkSilence is how long a link may be silent before it is probed, and then
	// before it is closed.
	linkSilence = 10 * time.Second
	linkProbe   = 1500 * time.Millisecond
	// linkRetry bounds the pause between two tries to open a link.
	linkRetry = 300 * time.Millisecond
	// linkDial bounds one try.
	linkDial = 800 * time.Millisecond
)

// Meeting is what an entry tells another about itself.
type Meeting struct {
	Name string
	Run  string
	// Revision is that of the last change of the operators' records.
	Revision int64
	// Owner is the owner as the entry knows it; its name is empty for none.
	Owner shard.Owner
	// Reaches is set when the store has answered the entry of late.
	Reaches bool
	// Ask is set by an owner that can't renew its lease and asks for a pledge.
	Ask bool
	// Pledge is set in the answer of an entry that won't stand for election for
	// shard.PledgeDuration.
	Pledge bool
}

// JobHost answers the calls of other entries.
type JobHost interface {
	Submit(ctx context.Context, j *job.Job) owner.Answer
	Show(id job.ID) owner.Answer
	Cancel(ctx context.Context, id job.ID) owner.Answer
	Count(queue string) owner.Answer
	Meet(m Meeting) Meeting
	// Records returns the operators' records with the revision of the last change.
	Records() ([]store.Item, int64)
	// Store is the store as the entry itself reaches it.
	Store() store.Store
}

// Unanswered reports a call that another entry did not answer.
type Unanswered struct {
	Peer  netip.AddrPort
	Cause error
	// Sent is set when the call may have arrived.
	Sent bool
}

func (e *Unanswered) Error() string {
	return "peer: " + e.Peer.String() + " did not answer: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *Unanswered) Unwrap() error { return e.Cause }

// Dial opens a connection.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// JobLinks calls other entries about jobs. Its methods may be called from any goroutine.
type JobLinks struct {
	dial Dial
	mu   sync.Mutex
	open map[netip.AddrPort]*link
}

// link is the connection to one entry.
type link struct {
	conn *grpc.ClientConn
	// heard is when it was opened or the last answer came.
	heard time.Time
}

// linkMute is how long a link may have answered nothing, when a call on it
// times out, before it is opened anew.
const linkMute = 700 * time.Millisecond

// NewJobLinks returns links that open connections with dial.
func NewJobLinks(dial Dial) *JobLinks {
	return &JobLinks{dial: dial, open: make(map[netip.AddrPort]*link)}
}

// Close closes all links.
func (l *JobLinks) Close() {
	l.mu.Lock()
	open := l.open
	l.open = nil
	l.mu.Unlock()
	for _, c := range open {
		// A link that fails to close is gone all the same.
		_ = c.conn.Close()
	}
}

func (l *JobLinks) client(to netip.AddrPort) (wire.JobsClient, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if c := l.open[to]; c != nil {
		return wire.NewJobsClient(c.conn), nil
	}
	if l.open == nil {
		return nil, &Unanswered{Peer: to, Cause: net.ErrClosed}
	}
	dial := func(ctx context.Context, address string) (net.Conn, error) { return l.dial(ctx, "tcp", address) }
	c, err := connect(to, dial, linkRetry, linkDial,
		grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: linkSilence, Timeout: linkProbe}))
	if err != nil {
		return nil, &Unanswered{Peer: to, Cause: err}
	}
	l.open[to] = &link{conn: c, heard: time.Now()}
	return wire.NewJobsClient(c), nil
}

// answered notes that an entry has answered.
func (l *JobLinks) answered(to netip.AddrPort) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if c := l.open[to]; c != nil {
		c.heard = time.Now()
	}
}

// timedOut closes the link to an entry that answers nothing any more, so that
// the next call opens a new one: the connection may have gone silent.
func (l *JobLinks) timedOut(to netip.AddrPort) {
	l.mu.Lock()
	c := l.open[to]
	mute := c != nil && time.Since(c.heard) > linkMute
	if mute {
		delete(l.open, to)
	}
	l.mu.Unlock()
	if mute {
		// A link that fails to close is gone all the same.
		_ = c.conn.Close()
	}
}

// call makes one call and tells whether a failed one may have arrived.
func call[Q, R any](l *JobLinks, to netip.AddrPort, f func(wire.JobsClient, Q) (R, error), q Q) (R, error) {
	var none R
	c, err := l.client(to)
	if err != nil {
		return none, err
	}
	r, err := f(c, q)
	if err == nil {
		l.answered(to)
		return r, nil
	}
	if status.Code(err) == codes.DeadlineExceeded {
		l.timedOut(to)
	}
	return none, &Unanswered{Peer: to, Cause: err, Sent: status.Code(err) != codes.Unavailable || !neverSent(err)}
}

// neverSent reports whether a call failed because no connection could be opened.
func neverSent(err error) bool {
	const dialing = "connection error: desc = \"transport: Error while dialing"
	return strings.HasPrefix(status.Convert(err).Message(), dialing)
}

// Submit hands a job to the entry at an address.
func (l *JobLinks) Submit(ctx context.Context, to netip.AddrPort, j *job.Job) (owner.Answer, error) {
	data, err := json.Marshal(j)
	if err != nil {
		return owner.Answer{}, &store.Invalid{Call: "submit", Cause: err}
	}
	r, err := call(l, to, func(c wire.JobsClient, q *wire.SubmitRequest) (*wire.JobReply, error) {
		return c.Submit(ctx, q)
	}, &wire.SubmitRequest{Job: data})
	return decodeAnswer(r), err
}

// Show asks the entry at an address for a job.
func (l *JobLinks) Show(ctx context.Context, to netip.AddrPort, id job.ID) (owner.Answer, error) {
	r, err := call(l, to, func(c wire.JobsClient, q *wire.JobRequest) (*wire.JobReply, error) {
		return c.Show(ctx, q)
	}, &wire.JobRequest{Id: string(id)})
	return decodeAnswer(r), err
}

// Cancel asks the entry at an address to cancel a job.
func (l *JobLinks) Cancel(ctx context.Context, to netip.AddrPort, id job.ID) (owner.Answer, error) {
	r, err := call(l, to, func(c wire.JobsClient, q *wire.JobRequest) (*wire.JobReply, error) {
		return c.Cancel(ctx, q)
	}, &wire.JobRequest{Id: string(id)})
	return decodeAnswer(r), err
}

// Count asks the entry at an address for the length of a queue.
func (l *JobLinks) Count(ctx context.Context, to netip.AddrPort, queue string) (owner.Answer, error) {
	r, err := call(l, to, func(c wire.JobsClient, q *wire.CountRequest) (*wire.CountReply, error) {
		return c.Count(ctx, q)
	}, &wire.CountRequest{Queue: queue})
	return owner.Answer{Outcome: owner.Outcome(r.GetOutcome()), Waiting: int(r.GetWaiting())}, err
}

// Meet exchanges what two entries know.
func (l *JobLinks) Meet(ctx context.Context, to netip.AddrPort, m Meeting) (Meeting, error) {
	r, err := call(l, to, func(c wire.JobsClient, q *wire.MeetRequest) (*wire.MeetReply, error) {
		return c.Meet(ctx, q)
	}, &wire.MeetRequest{State: encodeMeeting(m)})
	if err != nil {
		return Meeting{}, err
	}
	return decodeMeeting(r.GetState())
}

// Fetch returns the operators' records of the entry at an address.
func (l *JobLinks) Fetch(ctx context.Context, to netip.AddrPort) ([]store.Item, int64, error) {
	r, err := call(l, to, func(c wire.JobsClient, q *wire.FetchRequest) (*wire.FetchReply, error) {
		return c.Fetch(ctx, q)
	}, &wire.FetchRequest{})
	if err != nil {
		return nil, 0, err
	}
	out := make([]store.Item, 0, len(r.GetItems()))
	for _, it := range r.GetItems() {
		out = append(out, store.Item{Key: it.GetKey(), Value: it.GetValue(), Rev: it.GetRevision()})
	}
	return out, r.GetRevision(), nil
}

func decodeAnswer(r *wire.JobReply) owner.Answer {
	return owner.Answer{
		Outcome: owner.Outcome(r.GetOutcome()), Phase: job.Phase(r.GetPhase()),
		Retry: time.Duration(r.GetRetry()), Reason: r.GetDetail(),
	}
}

func encodeAnswer(a owner.Answer) *wire.JobReply {
	return &wire.JobReply{
		Outcome: int32(a.Outcome), Phase: int32(a.Phase), Retry: int64(a.Retry), Detail: a.Reason,
	}
}

func encodeMeeting(m Meeting) *wire.MemberState {
	out := &wire.MemberState{Name: m.Name, Run: m.Run, Revision: m.Revision, Reaches: m.Reaches, Ask: m.Ask, Pledge: m.Pledge}
	if m.Owner.Name != "" {
		// Names, addresses and numbers always encode.
		out.Owner, _ = json.Marshal(m.Owner)
	}
	return out
}

func decodeMeeting(s *wire.MemberState) (Meeting, error) {
	m := Meeting{
		Name: s.GetName(), Run: s.GetRun(), Revision: s.GetRevision(), Reaches: s.GetReaches(),
		Ask: s.GetAsk(), Pledge: s.GetPledge(),
	}
	if len(s.GetOwner()) > 0 {
		if err := json.Unmarshal(s.GetOwner(), &m.Owner); err != nil {
			return m, &store.Invalid{Call: "meet", Cause: err}
		}
	}
	return m, nil
}

// jobServer answers the calls of other entries.
type jobServer struct {
	wire.UnimplementedJobsServer
	host JobHost
}

// RegisterJobs makes a server answer calls about jobs.
func RegisterJobs(s *grpc.Server, h JobHost) {
	wire.RegisterJobsServer(s, &jobServer{host: h})
}

// Submit hands a job to the own entry.
func (s *jobServer) Submit(ctx context.Context, q *wire.SubmitRequest) (*wire.JobReply, error) {
	j := new(job.Job)
	if err := json.Unmarshal(q.GetJob(), j); err != nil {
		return nil, status.Error(codes.InvalidArgument, err.Error())
	}
	return encodeAnswer(s.host.Submit(ctx, j)), nil
}

// Show returns the phase of a job.
func (s *jobServer) Show(_ context.Context, q *wire.JobRequest) (*wire.JobReply, error) {
	return encodeAnswer(s.host.Show(job.ID(q.GetId()))), nil
}

// Cancel cancels a job.
func (s *jobServer) Cancel(ctx context.Context, q *wire.JobRequest) (*wire.JobReply, error) {
	return encodeAnswer(s.host.Cancel(ctx, job.ID(q.GetId()))), nil
}

// Count returns the length of a queue.
func (s *jobServer) Count(_ context.Context, q *wire.CountRequest) (*wire.CountReply, error) {
	a := s.host.Count(q.GetQueue())
	return &wire.CountReply{Outcome: int32(a.Outcome), Waiting: int64(a.Waiting)}, nil
}

// Meet exchanges what the entries know.
func (s *jobServer) Meet(_ context.Context, q *wire.MeetRequest) (*wire.MeetReply, error) {
	m, err := decodeMeeting(q.GetState())
	if err != nil {
		return nil, status.Error(codes.InvalidArgument, err.Error())
	}
	return &wire.MeetReply{State: encodeMeeting(s.host.Meet(m))}, nil
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

// Relay passes a call on to the store.
func (s *jobServer) Relay(ctx context.Context, q *wire.RelayRequest) (*wire.RelayReply, error) {
	body, err := perform(ctx, s.host.Store(), q.GetCall(), q.GetBody())
	if err == nil {
		return &wire.RelayReply{Body: body}, nil
	}
	return encodeFailure(err), nil
}

// maySent reports whether a failed call may have arrived.
func maySent(err error) bool {
	u, ok := errors.Into[*Unanswered](err)
	return ok && u.Sent
}
