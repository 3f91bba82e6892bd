// Package peer connects the entries with each other over gRPC.
//
// The [Mesh] exchanges heartbeats. Every entry sends heartbeats to all entries
// of its own data centre. An entry of another data centre gets them from only a
// few entries, which rendezvous hashing of the names selects without any
// coordination. A heartbeat carries the sender's configuration revision, its
// seats and the restrictions that the platform has not recorded yet. An entry
// that learns something new sends heartbeats at once, and an entry that receives
// a newer revision pulls the records that it lacks.
//
// A member that does not answer is silent, which proves nothing. It is dead if
// its address refuses connections or another run of the process answers there:
// an entry keeps its peer listener open for as long as it runs.
//
// [JobLinks] makes the calls about jobs, and [Relay] reaches the store through
// another entry.
//
// # Usage
//
//	mesh := peer.New(peer.Config{Self: self, Seeds: seeds, Host: host, Clock: clock})
//	go grpcServer.Serve(listener) // after mesh.Register(grpcServer)
//	mesh.TriggerHeartbeats() // the own state has changed
//	defer mesh.Close()
package peer

import (
	"cmp"
	"context"
	"maps"
	"net"
	"net/netip"
	"slices"
	"sync"
	"time"

	"google.golang.org/grpc"

	"almondcove/dispatch"
	"almondcove/fleet"
	"almondcove/peer/wire"
	"almondcove/timeline"
)

const (
	// HeartbeatInterval is the time between heartbeats within a data centre.
	HeartbeatInterval = time.Second
	// remoteHeartbeatRounds is the interval of heartbeats to other data centres,
	// as a multiple of HeartbeatInterval.
	remoteHeartbeatRounds = 6
	// callTimeout is the time limit of one call.
	callTimeout = time.Second
	// localSilenceTimeout is how long a member of the own data centre may be silent
	// before it no longer counts as live.
	localSilenceTimeout = 4 * time.Second
	// remoteSilenceTimeout is the same for a member of another data centre: three
	// intervals of the heartbeats to other data centres.
	remoteSilenceTimeout = 3 * remoteHeartbeatRounds * HeartbeatInterval
	// deadRetention is how long a run that is proved dead is still listed.
	deadRetention = 10 * time.Minute
	// heartbeatSendersPerRemoteEntry is how many entries of a data centre send
	// heartbeats to each entry of another one.
	heartbeatSendersPerRemoteEntry = 2
	// failuresBeforeReconnect is the number of consecutive failed calls after
	// which a connection is replaced. An existing connection may be broken although
	// a new one could be opened.
	failuresBeforeReconnect = 2
)

// Host is the entry that the mesh serves. Its methods must be safe for concurrent use.
type Host interface {
	// State returns the entry's state; the mesh fills in the identity.
	State() State
	// Records returns the configuration records that changed after a revision.
	Records(since uint64) []fleet.Record
	// ApplyRecords takes configuration records from another entry.
	ApplyRecords(records []fleet.Record)
	// ApplyRestrictions takes restrictions from another entry.
	ApplyRestrictions(rs []fleet.Restriction)
	// VMList returns the changes in the list of VMs after a position.
	VMList(since Position) VMList
	// ApplyVMList takes another entry's list of VMs.
	ApplyVMList(l VMList)
	// Lend answers a request to borrow units for a term with the units it grants.
	Lend(borrower Member, asks []LoanAmount, term time.Duration) []LoanAmount
	// ReduceLoans takes lent units back: it lowers each loan to the units that
	// the borrower still holds.
	ReduceLoans(loans []LoanAmount)
	// Events returns the events of the entry's own timeline that match f.
	Events(f timeline.Filter) []timeline.Event
}

// Member identifies one run of an entry's process.
type Member struct {
	Name    string         `json:"name"`
	Centre  string         `json:"centre"`
	Address netip.AddrPort `json:"address"`
	Run     string         `json:"run"`
}

// State is the state of an entry that heartbeats carry.
type State struct {
	Identity Member
	// Rev is the revision of the configuration that the entry holds.
	Rev uint64
	// Seats are the seats that the entry holds in its data centre.
	Seats []int
	// Leader is set while the entry is the leader of its data centre.
	Leader bool
	// Leaving is set while the entry shuts down.
	Leaving bool
	// Restrictions are those that the platform has not recorded yet.
	Restrictions []fleet.Restriction
	// ListPosition is the position of the entry's list of VMs.
	ListPosition Position
	// Demands are the entry's demands on contended pools. They are sent only
	// within the data centre.
	Demands []dispatch.Demand
}

// Peer is what the mesh knows about one run of another entry.
type Peer struct {
	State
	// LastSeen is when the member's last state arrived; zero means never.
	LastSeen time.Time
	// local is set for a member of the own data centre.
	local bool
	// DeadSince is when the run was proved to have ended; zero means that there
	// is no proof.
	DeadSince time.Time
}

// Live reports whether the member was heard from recently and is not leaving.
func (p Peer) Live(now time.Time) bool {
	timeout := remoteSilenceTimeout
	if p.local {
		timeout = localSilenceTimeout
	}
	return p.DeadSince.IsZero() && !p.Leaving && !p.LastSeen.IsZero() && now.Sub(p.LastSeen) < timeout
}

// Config configures a mesh.
type Config struct {
	Self Member
	// Seeds are addresses of entries known from the settings.
	Seeds []netip.AddrPort
	Host  Host
	Clock *timeline.Clock
	// Dial opens connections; nil means TCP.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// OnDead is called with each run that is proved dead; nil is allowed.
	OnDead func(Peer)
	// OnSent is called with the size of a message that is sent; nil is allowed.
	OnSent func(bytes int)
}

// Mesh exchanges states with the other entries and makes the calls that are not
// about jobs. Its methods are safe for concurrent use.
type Mesh struct {
	config Config
	host   Host
	mu     sync.Mutex
	// peers holds what is known about other entries, by the run of their process.
	peers           map[string]*Peer
	clientByAddress map[netip.AddrPort]*client
	// round counts the regular heartbeat rounds.
	round int
	// pullSlot is a semaphore that admits one pull at a time, so that a pull does
	// not fetch again what the previous one has fetched.
	pullSlot chan struct{}
	// trigger starts a heartbeat round at once.
	trigger chan struct{}
	stop    context.CancelFunc
	wg      sync.WaitGroup
}

// New starts a mesh.
func New(c Config) *Mesh {
	if c.OnDead == nil {
		c.OnDead = func(Peer) {}
	}
	if c.OnSent == nil {
		c.OnSent = func(int) {}
	}
	if c.Dial == nil {
		c.Dial = func(ctx context.Context, address string) (net.Conn, error) {
			return (&net.Dialer{}).DialContext(ctx, "tcp", address)
		}
	}
	ctx, stop := context.WithCancel(context.Background())
	m := &Mesh{
		config:          c,
		host:            c.Host,
		peers:           make(map[string]*Peer),
		clientByAddress: make(map[netip.AddrPort]*client),
		trigger:         make(chan struct{}, 1),
		pullSlot:        make(chan struct{}, 1),
		stop:            stop,
	}
	m.wg.Go(func() { m.run(ctx) })
	return m
}

// Register adds the mesh's service to a gRPC server.
func (m *Mesh) Register(s *grpc.Server) {
	wire.RegisterPeerServer(s, &meshServer{mesh: m})
}

// Close stops the heartbeats and closes all connections.
func (m *Mesh) Close() {
	m.stop()
	m.wg.Wait()
	m.mu.Lock()
	clients := slices.Collect(maps.Values(m.clientByAddress))
	m.mu.Unlock()
	// Closing a connection writes to the network and may block, so it happens
	// without the lock.
	for _, c := range clients {
		c.close()
	}
}

// TriggerHeartbeats sends heartbeats at once to the members that lack something
// of the own state. It does not block.
func (m *Mesh) TriggerHeartbeats() {
	select {
	case m.trigger <- struct{}{}:
	default:
	}
}

// AddMembers adds members known from another source, such as the platform's
// records or another entry.
func (m *Mesh) AddMembers(members []Member) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, member := range members {
		m.addMemberLocked(member)
	}
}

// addMemberLocked adds a run that is not known yet. A known run is replaced only
// by a state that it sends itself.
func (m *Mesh) addMemberLocked(member Member) {
	if member.Run == "" || member.Run == m.config.Self.Run {
		return
	}
	if _, ok := m.peers[member.Run]; !ok {
		m.peers[member.Run] = &Peer{State: State{Identity: member}, local: member.Centre == m.config.Self.Centre}
	}
}

// RemoveRun removes a run that is known to have ended, so that nothing waits for it.
func (m *Mesh) RemoveRun(run string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.peers, run)
}

// Peers returns all known runs of other entries, sorted by name.
func (m *Mesh) Peers() []Peer {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := make([]Peer, 0, len(m.peers))
	for _, p := range m.peers {
		out = append(out, *p)
	}
	slices.SortFunc(out, func(a, b Peer) int { return cmp.Compare(a.Identity.Name, b.Identity.Name) })
	return out
}

// observeState records a state that a member sent, and marks as dead the other
// runs that listened on its address.
func (m *Mesh) observeState(s State) {
	if s.Identity.Run == m.config.Self.Run {
		return
	}
	now := time.Now()
	m.mu.Lock()
	m.peers[s.Identity.Run] = &Peer{State: s, LastSeen: now, local: s.Identity.Centre == m.config.Self.Centre}
	died := m.markDeadLocked(s.Identity.Address, s.Identity.Run, now)
	m.mu.Unlock()
	for _, p := range died {
		m.config.OnDead(p)
	}
	m.host.ApplyRestrictions(s.Restrictions)
}

// markDeadLocked marks the runs that listened on an address as dead, except one,
// and returns those that it marked.
func (m *Mesh) markDeadLocked(a netip.AddrPort, exceptRun string, now time.Time) []Peer {
	var died []Peer
	for _, p := range m.peers {
		if p.Identity.Address == a && p.Identity.Run != exceptRun && p.DeadSince.IsZero() {
			p.DeadSince = now
			died = append(died, *p)
		}
	}
	return died
}

// markRefused marks the runs on an address that refuses connections as dead.
func (m *Mesh) markRefused(a netip.AddrPort) {
	m.mu.Lock()
	died := m.markDeadLocked(a, "", time.Now())
	m.mu.Unlock()
	for _, p := range died {
		m.config.OnDead(p)
	}
}

// pruneLocked removes the runs that have been dead for longer than deadRetention.
func (m *Mesh) pruneLocked(now time.Time) {
	for run, p := range m.peers {
		if !p.DeadSince.IsZero() && now.Sub(p.DeadSince) > deadRetention {
			delete(m.peers, run)
		}
	}
}

// run sends heartbeats until ctx ends.
func (m *Mesh) run(ctx context.Context) {
	ticker := time.NewTicker(HeartbeatInterval)
	defer ticker.Stop()
	for {
		triggered := false
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-m.trigger:
			triggered = true
		}
		for _, c := range m.heartbeatTargets(triggered) {
			m.wg.Go(func() { m.heartbeat(ctx, c) })
		}
	}
}

// heartbeatTargets returns the clients to send a heartbeat to, and marks each as
// having a heartbeat in flight. A regular round covers the own data centre, and
// every remoteHeartbeatRounds rounds also those entries of other data centres for
// which isHeartbeatSender selects this entry. A triggered round covers both, but
// only members that lack something of the own state. A seed gets a heartbeat in
// every round while every run known at its address, if any, is proved dead.
func (m *Mesh) heartbeatTargets(triggered bool) []*client {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !triggered {
		m.round++
	}
	includeRemote := triggered || m.round%remoteHeartbeatRounds == 0
	addresses := make(map[netip.AddrPort]bool)
	known := make(map[netip.AddrPort]bool)
	m.pruneLocked(time.Now())
	localNames := m.localNamesLocked()
	own := m.host.State()
	for _, p := range m.peers {
		if !p.DeadSince.IsZero() {
			continue
		}
		known[p.Identity.Address] = true
		if triggered && !needsUpdate(p.State, own) {
			continue
		}
		local := p.Identity.Centre == m.config.Self.Centre
		if local || includeRemote && isHeartbeatSender(localNames, m.config.Self.Name, p.Identity.Name) {
			addresses[p.Identity.Address] = true
		}
	}
	for _, a := range m.config.Seeds {
		if a != m.config.Self.Address && (!known[a] || includeRemote && len(m.peers) == 0) {
			addresses[a] = true
		}
	}
	var out []*client
	for _, a := range slices.SortedFunc(maps.Keys(addresses), netip.AddrPort.Compare) {
		if c := m.clientLocked(a); c.beginHeartbeat() {
			out = append(out, c)
		}
	}
	return out
}

// needsUpdate reports whether a member's last state lacks something of the own
// state. While the own entry is leaving, every member needs an update.
func needsUpdate(theirs, own State) bool {
	return theirs.Rev < own.Rev ||
		len(theirs.Restrictions) < len(own.Restrictions) ||
		own.Leader && theirs.ListPosition != own.ListPosition ||
		own.Leaving
}

// localNamesLocked returns the names of the live entries of the own data centre,
// including the entry itself.
func (m *Mesh) localNamesLocked() []string {
	names := []string{m.config.Self.Name}
	now := time.Now()
	for _, p := range m.peers {
		if p.Identity.Centre == m.config.Self.Centre && p.Live(now) {
			names = append(names, p.Identity.Name)
		}
	}
	return names
}
