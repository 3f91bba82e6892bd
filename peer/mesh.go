// Package peer connects the entries with each other over gRPC.
//
// Every entry beats to all entries of its own data centre. To each other data
// centre a few entries keep links; which ones follows from rendezvous hashing
// of the names, so that nobody has to be asked. A beat carries the sender's
// revision, its seats and the restrictions that the platform has not recorded
// yet; whoever learns something new beats on at once. Configuration follows by
// [Mesh] pulling the records that differ.
//
// A member that doesn't answer is only silent. It is dead when its address
// refuses connections or is answered by another run of the process, since an
// entry keeps its peer listener open for as long as it runs.
//
// # Usage
//
//	mesh := peer.New(peer.Config{Self: self, Seeds: seeds, Host: host})
//	go grpcServer.Serve(listener) // after mesh.Register(grpcServer)
//	mesh.Kick() // something changed: beat now
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

// The times of the mesh.
const (
	// Beat is the time between beats within a data centre.
	Beat = time.Second
	// farBeats is how many beats pass between two to another data centre.
	farBeats = 6
	// callTimeout bounds one call.
	callTimeout = time.Second
	// nearSilence and farSilence are how long a member of the own or of another
	// data centre may be silent before it counts as missing.
	nearSilence = 4 * time.Second
	farSilence  = 3 * farBeats * Beat
	// deadTime is how long a run that is proved dead is still shown.
	deadTime = 10 * time.Minute
	// links is how many entries of a data centre beat to each other one.
	links = 2
	// strikes is how many failed calls end a connection, which may be dead
	// while new ones work.
	strikes = 2
)

// Host is the entry that the mesh serves. Its methods may be called from any goroutine.
type Host interface {
	// State describes the entry; the mesh fills in the member.
	State() State
	// Records returns the configuration records after a revision.
	Records(since uint64) []fleet.Record
	// Offer hands over records that another entry holds.
	Offer(records []fleet.Record)
	// Restrict hands over restrictions from another entry.
	Restrict(rs []fleet.Restriction)
	// List returns what changed in the list of VMs after a position.
	List(since Position) List
	// OfferList hands over another entry's list.
	OfferList(l List)
	// Lend answers a request for units.
	Lend(from Member, asks []Ask, term time.Duration) []Ask
	// Restore takes lent units back.
	Restore(loans []Ask)
	// Events returns the entry's own time line.
	Events(f timeline.Filter) []timeline.Event
}

// Member is one run of one entry.
type Member struct {
	Name    string         `json:"name"`
	Centre  string         `json:"centre"`
	Address netip.AddrPort `json:"address"`
	Run     string         `json:"run"`
}

// State is what an entry tells of itself.
type State struct {
	From         Member
	Rev          uint64
	Seats        []int
	Leader       bool
	Leaving      bool
	Restrictions []fleet.Restriction
	List         Position
	// Demands are the entry's demands on contended pools; they are told only
	// within the data centre.
	Demands []dispatch.Demand
}

// Peer is what the mesh knows of another entry.
type Peer struct {
	State
	// Seen is when the member was last heard; zero means never.
	Seen time.Time
	// near is true for a member of the own data centre.
	near bool
	// Dead is when the member's run was proved to have ended; zero means that
	// there is no proof.
	Dead time.Time
}

// Live reports whether the member was heard lately and is not leaving.
func (p Peer) Live(now time.Time) bool {
	silence := farSilence
	if p.near {
		silence = nearSilence
	}
	return p.Dead.IsZero() && !p.Leaving && !p.Seen.IsZero() && now.Sub(p.Seen) < silence
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
	// Died is told of a member that is proved dead; nil is allowed.
	Died func(Peer)
	// Sent is told the bytes of each message sent; nil is allowed.
	Sent func(bytes int)
}

// Mesh is the entry's connections to the others. Its methods may be called
// from any goroutine.
type Mesh struct {
	config Config
	host   Host
	mu     sync.Mutex
	// peers holds what is known of each run.
	peers  map[string]*Peer
	dialed map[netip.AddrPort]*client
	round  int
	// pulling has room for one pull at a time, so that the next sees its result.
	pulling chan struct{}
	kick    chan struct{}
	stop    context.CancelFunc
	done    sync.WaitGroup
}

// New returns a running mesh.
func New(c Config) *Mesh {
	if c.Died == nil {
		c.Died = func(Peer) {}
	}
	if c.Sent == nil {
		c.Sent = func(int) {}
	}
	if c.Dial == nil {
		c.Dial = func(ctx context.Context, address string) (net.Conn, error) {
			return (&net.Dialer{}).DialContext(ctx, "tcp", address)
		}
	}
	ctx, stop := context.WithCancel(context.Background())
	m := &Mesh{
		config:  c,
		host:    c.Host,
		peers:   make(map[string]*Peer),
		dialed:  make(map[netip.AddrPort]*client),
		kick:    make(chan struct{}, 1),
		pulling: make(chan struct{}, 1),
		stop:    stop,
	}
	m.done.Go(func() { m.run(ctx) })
	return m
}

// Register adds the mesh's service to a gRPC server.
func (m *Mesh) Register(s *grpc.Server) {
	wire.RegisterPeerServer(s, &server{mesh: m})
}

// Close stops the beats and closes all connections.
func (m *Mesh) Close() {
	m.stop()
	m.done.Wait()
	m.mu.Lock()
	clients := slices.Collect(maps.Values(m.dialed))
	m.mu.Unlock()
	// Closing says goodbye over the network, which may take its time.
	for _, c := range clients {
		c.close()
	}
}

// Kick makes the next beats go out at once.
func (m *Mesh) Kick() {
	select {
	case m.kick <- struct{}{}:
	default:
	}
}

// Learn adds members known from the platform's record.
func (m *Mesh) Learn(members []Member) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, member := range members {
		m.learn(member)
	}
}

// learn adds a run that is not known yet. One that is known is replaced only by
// what it says itself.
func (m *Mesh) learn(member Member) {
	if member.Run == "" || member.Run == m.config.Self.Run {
		return
	}
	if _, ok := m.peers[member.Run]; !ok {
		m.peers[member.Run] = &Peer{State: State{From: member}, near: member.Centre == m.config.Self.Centre}
	}
}

// Forget removes a run that is proved dead, so that nobody waits for it.
func (m *Mesh) Forget(run string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.peers, run)
}

// Peers returns what is known of all other runs of entries, by name.
func (m *Mesh) Peers() []Peer {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := make([]Peer, 0, len(m.peers))
	for _, p := range m.peers {
		out = append(out, *p)
	}
	slices.SortFunc(out, func(a, b Peer) int { return cmp.Compare(a.From.Name, b.From.Name) })
	return out
}

// heard takes note of a state that a member sent.
func (m *Mesh) heard(s State) {
	if s.From.Run == m.config.Self.Run {
		return
	}
	now := time.Now()
	m.mu.Lock()
	m.peers[s.From.Run] = &Peer{State: s, Seen: now, near: s.From.Centre == m.config.Self.Centre}
	died := m.markDead(s.From.Address, s.From.Run, now)
	m.mu.Unlock()
	for _, p := range died {
		m.config.Died(p)
	}
	m.host.Restrict(s.Restrictions)
}

// markDead marks every run but one that listened on an address as dead, and
// returns them.
func (m *Mesh) markDead(a netip.AddrPort, but string, now time.Time) []Peer {
	var died []Peer
	for _, p := range m.peers {
		if p.From.Address == a && p.From.Run != but && p.Dead.IsZero() {
			p.Dead = now
			died = append(died, *p)
		}
	}
	return died
}

// markRefused marks the runs whose address refuses connections as dead.
func (m *Mesh) markRefused(a netip.AddrPort) {
	m.mu.Lock()
	died := m.markDead(a, "", time.Now())
	m.mu.Unlock()
	for _, p := range died {
		m.config.Died(p)
	}
}

// prune forgets runs that have been dead for long.
func (m *Mesh) prune(now time.Time) {
	for run, p := range m.peers {
		if !p.Dead.IsZero() && now.Sub(p.Dead) > deadTime {
			delete(m.peers, run)
		}
	}
}

// run sends beats until ctx ends.
func (m *Mesh) run(ctx context.Context) {
	ticker := time.NewTicker(Beat)
	defer ticker.Stop()
	for {
		all := false
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-m.kick:
			all = true
		}
		for _, c := range m.targets(all) {
			m.done.Go(func() { m.beat(ctx, c) })
		}
	}
}

// targets returns whom to beat to now.
func (m *Mesh) targets(all bool) []*client {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !all {
		m.round++
	}
	far := all || m.round%farBeats == 0
	addresses := make(map[netip.AddrPort]bool)
	known := make(map[netip.AddrPort]bool)
	m.prune(time.Now())
	own := m.ownNames()
	state := m.host.State()
	for _, p := range m.peers {
		if !p.Dead.IsZero() {
			continue
		}
		known[p.From.Address] = true
		if all && !behind(p.State, state) {
			continue
		}
		near := p.From.Centre == m.config.Self.Centre
		if near || far && linked(own, m.config.Self.Name, p.From.Name) {
			addresses[p.From.Address] = true
		}
	}
	for _, a := range m.config.Seeds {
		if a != m.config.Self.Address && (!known[a] || far && len(m.peers) == 0) {
			addresses[a] = true
		}
	}
	var out []*client
	for _, a := range slices.SortedFunc(maps.Keys(addresses), netip.AddrPort.Compare) {
		if c := m.client(a); c.begin() {
			out = append(out, c)
		}
	}
	return out
}

// behind reports whether a member, as last heard, lacks something that own has.
func behind(theirs, own State) bool {
	return theirs.Rev < own.Rev ||
		len(theirs.Restrictions) < len(own.Restrictions) ||
		own.Leader && theirs.List != own.List ||
		own.Leaving
}

// ownNames returns the names of the live entries of the own data centre.
func (m *Mesh) ownNames() []string {
	names := []string{m.config.Self.Name}
	now := time.Now()
	for _, p := range m.peers {
		if p.From.Centre == m.config.Self.Centre && p.Live(now) {
			names = append(names, p.From.Name)
		}
	}
	return names
}
