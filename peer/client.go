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

// MeshCallError reports a failed call to another entry.
type MeshCallError struct {
	Address netip.AddrPort
	Cause   error
}

func (e *MeshCallError) Error() string {
	return "peer: mesh call to " + e.Address.String() + " failed: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *MeshCallError) Unwrap() error { return e.Cause }

// client makes the mesh's calls to one address.
type client struct {
	address netip.AddrPort
	dial    func() (*grpc.ClientConn, error)
	mu      sync.Mutex
	// conn is nil until the next call opens a connection.
	conn *grpc.ClientConn
	// failures counts consecutive failed calls.
	failures          int
	heartbeatInFlight bool
}

// clientLocked returns the client for an address, which it creates if necessary.
// The caller holds m.mu.
func (m *Mesh) clientLocked(a netip.AddrPort) *client {
	c := m.clientByAddress[a]
	if c == nil {
		c = &client{address: a, dial: func() (*grpc.ClientConn, error) { return m.connect(a) }}
		m.clientByAddress[a] = c
	}
	return c
}

func (m *Mesh) connect(a netip.AddrPort) (*grpc.ClientConn, error) {
	return connect(a, m.config.Dial, callTimeout, callTimeout)
}

// initialBackoff is the pause after the first failed attempt to open a connection.
// Each further failure multiplies it by 1.6.
const initialBackoff = 100 * time.Millisecond

// connect returns a connection to an address, which gRPC opens on the first call.
// If an attempt to open it fails, gRPC retries with an exponential backoff of at
// most maxBackoff. connectTimeout is the time limit of one attempt.
func connect(
	a netip.AddrPort, dial func(context.Context, string) (net.Conn, error), maxBackoff, connectTimeout time.Duration,
	options ...grpc.DialOption,
) (*grpc.ClientConn, error) {
	return grpc.NewClient("passthrough:///"+a.String(), append(options,
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithContextDialer(dial),
		grpc.WithNoProxy(),
		grpc.WithConnectParams(grpc.ConnectParams{
			Backoff:           backoff.Config{BaseDelay: initialBackoff, Multiplier: 1.6, MaxDelay: maxBackoff},
			MinConnectTimeout: connectTimeout,
		}),
	)...)
}

// beginHeartbeat reports whether a heartbeat may be sent, and marks it as in
// flight. At most one heartbeat to an address is in flight.
func (c *client) beginHeartbeat() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.heartbeatInFlight {
		return false
	}
	c.heartbeatInFlight = true
	return true
}

// endHeartbeat marks the heartbeat as finished.
func (c *client) endHeartbeat() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.heartbeatInFlight = false
}

// close closes the connection. The next call opens a new one.
func (c *client) close() {
	c.mu.Lock()
	conn := c.conn
	c.conn = nil
	c.mu.Unlock()
	if conn != nil {
		// The connection is dropped even if closing it fails.
		_ = conn.Close()
	}
}

// recordResult records the result of a call. It reports whether the connection is
// to be replaced, which is the case after every failuresBeforeReconnect
// consecutive failures.
func (c *client) recordResult(err error) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if err == nil {
		c.failures = 0
		return false
	}
	c.failures++
	return c.failures%failuresBeforeReconnect == 0
}

// call runs f with the connection's stub. After failuresBeforeReconnect
// consecutive failures it closes the connection, and the next call opens a new one.
// The error is *MeshCallError.
func (c *client) call(ctx context.Context, f func(context.Context, wire.PeerClient) error) error {
	c.mu.Lock()
	if c.conn == nil {
		conn, err := c.dial()
		if err != nil {
			c.mu.Unlock()
			return &MeshCallError{Address: c.address, Cause: err}
		}
		c.conn = conn
	}
	stub := wire.NewPeerClient(c.conn)
	c.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	err := f(ctx, stub)
	if c.recordResult(err) {
		c.close()
	}
	if err == nil {
		return nil
	}
	return &MeshCallError{Address: c.address, Cause: err}
}

// heartbeat exchanges states with one address and pulls what is newer there. If
// the call fails, it checks whether the address refuses connections.
func (m *Mesh) heartbeat(ctx context.Context, c *client) {
	defer c.endHeartbeat()
	state, err := m.exchangeStates(ctx, c)
	if err != nil {
		m.probe(ctx, c.address)
		return
	}
	m.pullFrom(ctx, c, state)
}

// exchangeStates sends the own state to one address and returns the state of the
// entry that answers. It records that state only if the entry gives the called
// address as its own.
func (m *Mesh) exchangeStates(ctx context.Context, c *client) (State, error) {
	var out State
	err := c.call(ctx, func(ctx context.Context, stub wire.PeerClient) error {
		req := &wire.BeatRequest{State: m.encodeOwnState(m.isLocal(c.address))}
		m.config.OnSent(sizeOf(req))
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
	if out.Identity.Address == c.address {
		m.observeState(out)
	}
	return out, nil
}

// isLocal reports whether an address belongs to the own data centre. An unknown
// address counts as local.
func (m *Mesh) isLocal(a netip.AddrPort) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, p := range m.peers {
		if p.Identity.Address == a {
			return p.Identity.Centre == m.config.Self.Centre
		}
	}
	return true
}

// pullFrom pulls from a member what the own entry lacks: configuration records,
// members, and changes in the list of VMs. It makes no call unless the member's
// state has a newer revision or wantsList reports true.
func (m *Mesh) pullFrom(ctx context.Context, c *client, theirs State) {
	select {
	case m.pullSlot <- struct{}{}:
		defer func() { <-m.pullSlot }()
	case <-ctx.Done():
		return
	}
	own := m.host.State()
	if theirs.Rev <= own.Rev && !m.wantsList(own, theirs) {
		return
	}
	var reply *wire.PullReply
	err := c.call(ctx, func(ctx context.Context, stub wire.PeerClient) error {
		req := &wire.PullRequest{Since: own.Rev, Members: hashMembers(m.members())}
		if m.wantsList(own, theirs) {
			req.List = encodePosition(own.ListPosition)
		}
		var err error
		reply, err = stub.Pull(ctx, req)
		return err
	})
	if err != nil {
		// The next heartbeat tries again.
		return
	}
	m.AddMembers(decodeMembers(reply.Members))
	if records := decodeRecords(reply.Records); len(records) > 0 {
		m.host.ApplyRecords(records)
	}
	if m.wantsList(own, theirs) {
		m.host.ApplyVMList(decodeVMList(reply))
	}
}

// wantsList reports whether this entry should replace its list of VMs by the one of
// another entry. While it has no list, it accepts that of any entry. Afterwards it
// accepts only that of the leader of its own data centre, and a leader keeps its own.
func (m *Mesh) wantsList(own, theirs State) bool {
	if theirs.ListPosition.Run == "" || theirs.ListPosition == own.ListPosition {
		return false
	}
	if own.ListPosition.Run == "" {
		return true
	}
	return theirs.Leader && !own.Leader && theirs.Identity.Centre == m.config.Self.Centre
}

// probe tries to open a connection to an address that did not answer. If the
// address refuses connections, it marks the runs there as dead.
func (m *Mesh) probe(ctx context.Context, a netip.AddrPort) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	conn, err := m.config.Dial(ctx, a.String())
	if err == nil {
		_ = conn.Close()
		return
	}
	if ConnectionRefused(err) {
		m.markRefused(a)
	}
}

// ConnectionRefused reports whether err shows that nothing listens on an address,
// as opposed to an address that is unreachable.
func ConnectionRefused(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && errors.Is(err, syscall.ECONNREFUSED)
}

// CollectStates asks every entry that is not proved dead for its current state
// and returns the answers by run. Members that do not answer are left out.
func (m *Mesh) CollectStates(ctx context.Context) map[string]State {
	var mu sync.Mutex
	out := make(map[string]State)
	var wg sync.WaitGroup
	for _, p := range m.Peers() {
		if !p.DeadSince.IsZero() {
			continue
		}
		wg.Go(func() {
			s, err := m.exchangeStates(ctx, m.clientFor(p.Identity.Address))
			if err != nil {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			out[s.Identity.Run] = s
		})
	}
	wg.Wait()
	return out
}

// clientFor is clientLocked for callers that do not hold m.mu.
func (m *Mesh) clientFor(a netip.AddrPort) *client {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.clientLocked(a)
}

// Borrow asks a member to lend units of teams' limits for a term and returns the
// units that it lent.
func (m *Mesh) Borrow(ctx context.Context, to netip.AddrPort, asks []LoanAmount, term time.Duration) ([]LoanAmount, error) {
	var out []LoanAmount
	err := m.clientFor(to).call(ctx, func(ctx context.Context, stub wire.PeerClient) error {
		req := &wire.BorrowRequest{From: encodeMember(m.config.Self), Term: int64(term), Asks: encodeLoanAmounts(asks)}
		m.config.OnSent(sizeOf(req))
		reply, err := stub.Borrow(ctx, req)
		if err != nil {
			return err
		}
		out = decodeLoanAmounts(reply.Grants)
		return nil
	})
	return out, err
}

// Return tells the lender of loans how many units of each loan the entry still
// holds.
func (m *Mesh) Return(ctx context.Context, to netip.AddrPort, loans []LoanAmount) error {
	return m.clientFor(to).call(ctx, func(ctx context.Context, stub wire.PeerClient) error {
		req := &wire.ReturnRequest{Loans: encodeLoanAmounts(loans)}
		m.config.OnSent(sizeOf(req))
		_, err := stub.Return(ctx, req)
		return err
	})
}

// Events returns the matching timeline events of every entry that answers, and the
// names of the entries that do not. It asks no entry that is proved dead.
func (m *Mesh) Events(ctx context.Context, f timeline.Filter) (lines [][]timeline.Event, missing []string) {
	filter, err := json.Marshal(f)
	if err != nil {
		return nil, nil
	}
	var mu sync.Mutex
	var wg sync.WaitGroup
	for _, p := range m.Peers() {
		if !p.DeadSince.IsZero() {
			continue
		}
		wg.Go(func() {
			events, err := m.eventsOf(ctx, p.Identity.Address, filter)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				missing = append(missing, p.Identity.Name)
				return
			}
			lines = append(lines, events)
		})
	}
	wg.Wait()
	return lines, missing
}

func (m *Mesh) eventsOf(ctx context.Context, a netip.AddrPort, filter []byte) ([]timeline.Event, error) {
	var events []timeline.Event
	err := m.clientFor(a).call(ctx, func(ctx context.Context, stub wire.PeerClient) error {
		reply, err := stub.Events(ctx, &wire.EventsRequest{Filter: filter})
		if err != nil {
			return err
		}
		return json.Unmarshal(reply.Events, &events)
	})
	return events, err
}
