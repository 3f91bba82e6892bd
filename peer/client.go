package peer

import (
	"context"
	"encoding/json"
	"net"
	"net/netip"
	"sync"
	"syscall"
	"time"

	"github.com/go-faster/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/credentials/insecure"

	"almondcove/peer/wire"
	"almondcove/timeline"
)

// Unreachable reports an entry that did not answer.
type Unreachable struct {
	Address netip.AddrPort
	Cause   error
}

func (e *Unreachable) Error() string {
	return "peer: " + e.Address.String() + " did not answer: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *Unreachable) Unwrap() error { return e.Cause }

// client is the connection to one address.
type client struct {
	address netip.AddrPort
	dial    func() (*grpc.ClientConn, error)
	mu      sync.Mutex
	conn    *grpc.ClientConn
	failed  int
	beating bool
}

// client returns the client for an address. The mesh is locked.
func (m *Mesh) client(a netip.AddrPort) *client {
	c := m.dialed[a]
	if c == nil {
		c = &client{address: a, dial: func() (*grpc.ClientConn, error) { return m.connect(a) }}
		m.dialed[a] = c
	}
	return c
}

func (m *Mesh) connect(a netip.AddrPort) (*grpc.ClientConn, error) {
	return connect(a, m.config.Dial, callTimeout, callTimeout)
}

// firstRetry is the first pause between two tries to open a connection.
const firstRetry = 100 * time.Millisecond

// connect prepares the connection to an address. It is tried anew after pauses of
// retry at the most; dialing bounds one try.
func connect(
	a netip.AddrPort, dial func(context.Context, string) (net.Conn, error), retry, dialing time.Duration,
	more ...grpc.DialOption,
) (*grpc.ClientConn, error) {
	return grpc.NewClient("passthrough:///"+a.String(), append(more,
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithContextDialer(dial),
		grpc.WithNoProxy(),
		grpc.WithConnectParams(grpc.ConnectParams{
			Backoff:           backoff.Config{BaseDelay: firstRetry, Multiplier: 1.6, MaxDelay: retry},
			MinConnectTimeout: dialing,
		}),
	)...)
}

// begin reports whether a beat may start; one goes out at a time.
func (c *client) begin() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.beating {
		return false
	}
	c.beating = true
	return true
}

func (c *client) end() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.beating = false
}

// close gives the connection up. The next call opens a new one.
func (c *client) close() {
	c.mu.Lock()
	conn := c.conn
	c.conn = nil
	c.mu.Unlock()
	if conn != nil {
		// It is given up whatever it says.
		_ = conn.Close()
	}
}

// note counts failures in a row and reports whether the connection should be
// given up.
func (c *client) note(err error) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if err == nil {
		c.failed = 0
		return false
	}
	c.failed++
	return c.failed%strikes == 0
}

// call runs f with the connection's stub. After a few failures in a row the
// next call opens a new connection.
func (c *client) call(ctx context.Context, f func(context.Context, wire.PeerClient) error) error {
	c.mu.Lock()
	if c.conn == nil {
		conn, err := c.dial()
		if err != nil {
			c.mu.Unlock()
			return &Unreachable{Address: c.address, Cause: err}
		}
		c.conn = conn
	}
	stub := wire.NewPeerClient(c.conn)
	c.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	err := f(ctx, stub)
	if c.note(err) {
		c.close()
	}
	if err == nil {
		return nil
	}
	return &Unreachable{Address: c.address, Cause: err}
}

// beat exchanges states with one address and pulls what is newer there.
func (m *Mesh) beat(ctx context.Context, c *client) {
	defer c.end()
	state, err := m.exchange(ctx, c)
	if err != nil {
		m.probe(ctx, c.address)
		return
	}
	m.follow(ctx, c, state)
}

// exchange sends the own state and returns the other's.
func (m *Mesh) exchange(ctx context.Context, c *client) (State, error) {
	var out State
	err := c.call(ctx, func(ctx context.Context, stub wire.PeerClient) error {
		req := &wire.BeatRequest{State: m.state(m.isNear(c.address))}
		m.config.Sent(sizeOf(req))
		reply, err := stub.Beat(ctx, req)
		if err != nil {
			return err
		}
		out = m.decodeState(reply.State)
		return nil
	})
	if err != nil {
		return State{}, err
	}
	if out.From.Address == c.address {
		m.heard(out)
	}
	return out, nil
}

// isNear reports whether an address belongs to the own data centre. One that
// is not known yet counts as near.
func (m *Mesh) isNear(a netip.AddrPort) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, p := range m.peers {
		if p.From.Address == a {
			return p.From.Centre == m.config.Self.Centre
		}
	}
	return true
}

// follow pulls from a member that holds something newer.
func (m *Mesh) follow(ctx context.Context, c *client, theirs State) {
	select {
	case m.pulling <- struct{}{}:
		defer func() { <-m.pulling }()
	case <-ctx.Done():
		return
	}
	own := m.host.State()
	if theirs.Rev <= own.Rev && !m.wantsList(own, theirs) {
		return
	}
	var reply *wire.PullReply
	err := c.call(ctx, func(ctx context.Context, stub wire.PeerClient) error {
		req := &wire.PullRequest{Since: own.Rev, Members: hashOf(m.members())}
		if m.wantsList(own, theirs) {
			req.List = encodePosition(own.List)
		}
		var err error
		reply, err = stub.Pull(ctx, req)
		return err
	})
	if err != nil {
		// The next beat asks again.
		return
	}
	m.Learn(decodeMembers(reply.Members))
	if records := decodeRecords(reply.Records); len(records) > 0 {
		m.host.Offer(records)
	}
	if m.wantsList(own, theirs) {
		m.host.OfferList(decodeList(reply))
	}
}

// wantsList reports whether the other's list of VMs should be taken: its own
// leader's, or anyone's by an entry that has none.
func (m *Mesh) wantsList(own, theirs State) bool {
	if theirs.List.Run == "" || theirs.List == own.List {
		return false
	}
	if own.List.Run == "" {
		return true
	}
	return theirs.Leader && !own.Leader && theirs.From.Centre == m.config.Self.Centre
}

// probe looks whether an address that did not answer refuses connections.
func (m *Mesh) probe(ctx context.Context, a netip.AddrPort) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	conn, err := m.config.Dial(ctx, a.String())
	if err == nil {
		_ = conn.Close()
		return
	}
	if Refused(err) {
		m.markRefused(a)
	}
}

// Refused reports whether err says that an address has no listener, as opposed
// to one that can't be reached.
func Refused(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && errors.Is(err, syscall.ECONNREFUSED)
}

// Survey asks every entry that is not proved dead for its state now and
// returns the answers by run. Members that don't answer are left out.
func (m *Mesh) Survey(ctx context.Context) map[string]State {
	var mu sync.Mutex
	out := make(map[string]State)
	var all sync.WaitGroup
	for _, p := range m.Peers() {
		if !p.Dead.IsZero() {
			continue
		}
		all.Go(func() {
			s, err := m.exchange(ctx, m.clientOf(p.From.Address))
			if err != nil {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			out[s.From.Run] = s
		})
	}
	all.Wait()
	return out
}

func (m *Mesh) clientOf(a netip.AddrPort) *client {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.client(a)
}

// Borrow asks a member for units of teams' limits and returns what it lent.
func (m *Mesh) Borrow(ctx context.Context, to netip.AddrPort, asks []Ask, term time.Duration) ([]Ask, error) {
	var out []Ask
	err := m.clientOf(to).call(ctx, func(ctx context.Context, stub wire.PeerClient) error {
		req := &wire.BorrowRequest{From: encodeMember(m.config.Self), Term: int64(term), Asks: encodeAsks(asks)}
		m.config.Sent(sizeOf(req))
		reply, err := stub.Borrow(ctx, req)
		if err != nil {
			return err
		}
		out = decodeAsks(reply.Grants)
		return nil
	})
	return out, err
}

// Return tells a member how many units remain of loans that it gave.
func (m *Mesh) Return(ctx context.Context, to netip.AddrPort, loans []Ask) error {
	return m.clientOf(to).call(ctx, func(ctx context.Context, stub wire.PeerClient) error {
		req := &wire.ReturnRequest{Loans: encodeAsks(loans)}
		m.config.Sent(sizeOf(req))
		_, err := stub.Return(ctx, req)
		return err
	})
}

// Events returns the time line of every entry that answers, and the names of
// those that did not.
func (m *Mesh) Events(ctx context.Context, f timeline.Filter) (lines [][]timeline.Event, missing []string) {
	filter, err := json.Marshal(f)
	if err != nil {
		return nil, nil
	}
	var mu sync.Mutex
	var all sync.WaitGroup
	for _, p := range m.Peers() {
		if !p.Dead.IsZero() {
			continue
		}
		all.Go(func() {
			events, err := m.eventsOf(ctx, p.From.Address, filter)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				missing = append(missing, p.From.Name)
				return
			}
			lines = append(lines, events)
		})
	}
	all.Wait()
	return lines, missing
}

func (m *Mesh) eventsOf(ctx context.Context, a netip.AddrPort, filter []byte) ([]timeline.Event, error) {
	var events []timeline.Event
	err := m.clientOf(a).call(ctx, func(ctx context.Context, stub wire.PeerClient) error {
		reply, err := stub.Events(ctx, &wire.EventsRequest{Filter: filter})
		if err != nil {
			return err
		}
		return json.Unmarshal(reply.Events, &events)
	})
	return events, err
}
