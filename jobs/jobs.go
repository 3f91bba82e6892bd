// Package jobs puts together what an entry needs to take jobs: its part in the
// election of the owner, the owner itself, the copies of the operators' records
// and of the list of VMs, and the calls to other entries.
//
// Every entry takes every request; it passes those about jobs on to the owner.
//
// # Usage
//
//	n, err := jobs.Start(jobs.Config{Self: self, Store: direct, Decode: decode, VMs: vms, Machines: machines})
//	defer n.Stop(ctx)
//	answer := n.Submit(ctx, j)
package jobs

import (
	"context"
	"net"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"google.golang.org/grpc"
	"google.golang.org/grpc/keepalive"

	"almondcove/delay"
	"almondcove/ledger"
	"almondcove/mirror"
	"almondcove/network"
	"almondcove/owner"
	"almondcove/peer"
	"almondcove/schedule"
	"almondcove/shard"
	"almondcove/store"
)

// The times of a node.
const (
	// meetEvery is how often an entry meets the owner and one other entry.
	meetEvery = 500 * time.Millisecond
	// meetTimeout bounds one meeting.
	meetTimeout = 700 * time.Millisecond
	// freshFor is how long an answer of the store counts as of late.
	freshFor = 1500 * time.Millisecond
	// cutAfter is how long owner and store may be silent before the entry asks for
	// no more connections.
	cutAfter = 1500 * time.Millisecond
	// aloneFor is how long an owner that most other entries do not reach goes on.
	aloneFor = 2 * time.Second
	// muchStronger is how many times the own power an entry has to have to be handed
	// the ownership: an owner that is too weak stays behind for as long as it owns.
	muchStronger = 2
	// handOverFor bounds the writing of the record for the next owner.
	handOverFor = 2500 * time.Millisecond
	// listWait is how long a read of the list of VMs waits for a change: watches may
	// go silent, and what is missing for two seconds after an outage counts as gone.
	listWait = 600 * time.Millisecond
	// listGap is the least time between two reads of the list of VMs.
	listGap = 150 * time.Millisecond
	// serverPing is how often a silent link from another entry is probed.
	serverPing = 10 * time.Second
	serverWait = 2 * time.Second
)

// Decoder reads the records of the operators and of the platform.
type Decoder interface {
	// View decodes the operators' records. It reports false while there is no
	// configuration.
	View(items map[string]store.Item) (schedule.View, bool)
	// VMs decodes the list of VMs.
	VMs(items map[string]store.Item) []schedule.VM
}

// Config configures a node.
type Config struct {
	Self shard.Member
	// Store is the store as this entry reaches it.
	Store  store.Store
	Prefix string
	// Operators and List are the prefixes of the operators' records and of the
	// list of VMs.
	Operators, List string
	Decoder         Decoder
	// Changed is called with the operators' records after each change.
	Changed  func(items map[string]store.Item, rev int64)
	Schedule schedule.Config
	VMs      owner.VMs
	Machines owner.Machines
	Advisor  owner.Advisor
	// Report writes how far maintenance waves are.
	Report  func(ctx context.Context, s store.Store, states []schedule.WaveState) error
	Network network.Network
	Clock   func() time.Duration
	Log     hclog.Logger
}

// Node takes jobs at one entry. Its methods may be called from any goroutine.
type Node struct {
	config    Config
	ctx       context.Context
	cancel    context.CancelFunc
	done      sync.WaitGroup
	links     *peer.JobLinks
	relay     *peer.Relay
	shard     *shard.Shard
	owner     *owner.Owner
	operators *mirror.Mirror
	list      *mirror.Mirror
	server    *grpc.Server
	metrics   *metrics

	mu sync.Mutex
	// met is when each other entry was last met while this one owned the jobs.
	met map[string]time.Time
	// reachable holds when an entry that reaches the store was last heard of.
	reachable map[netip.AddrPort]time.Time
	owning    time.Time
	leaving   bool
	// touched is when the owner last answered.
	touched time.Time
}

// Start listens for other entries and starts all goroutines.
func Start(c Config) (*Node, error) {
	l, err := c.Network.Listen(c.Self.Address)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	n := &Node{
		config: c, ctx: ctx, cancel: cancel,
		met: make(map[string]time.Time), reachable: make(map[netip.AddrPort]time.Time),
	}
	n.links = peer.NewJobLinks(c.Network.DialContext)
	n.relay = peer.NewRelay(peer.RelayConfig{Direct: c.Store, Links: n.links, Peers: n.relays})
	n.metrics = newMetrics(n)
	n.startOwner()
	n.startMirrors()
	n.serve(l)
	n.done.Go(n.meet)
	return n, nil
}

func (n *Node) startOwner() {
	c := n.config
	book := ledger.New(ledger.Config{Store: n.relay, Prefix: c.Prefix, Run: c.Self.Run, Failed: func(err error) {
		c.Log.Warn("commit tried", "error", err)
	}})
	n.owner = owner.New(owner.Config{
		Ledger: book, Schedule: c.Schedule,
		Valid: n.valid,
		VMs:   c.VMs, Machines: c.Machines, Advisor: c.Advisor,
		GiveUp:    n.giveUp,
		Report:    func(ctx context.Context, s []schedule.WaveState) error { return c.Report(ctx, n.relay, s) },
		Committed: n.metrics.committed, Ordered: n.metrics.ordered,
		Log: c.Log,
	})
	s := shard.New(shard.Config{
		Store: n.relay, Prefix: c.Prefix, Self: c.Self, Clock: c.Clock,
		Elected: n.elected, Deposed: n.owner.Deposed, Log: c.Log,
	})
	n.mu.Lock()
	n.shard = s
	n.mu.Unlock()
}

// current returns the shard, which is set shortly after the owner is.
func (n *Node) current() *shard.Shard {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.shard
}

func (n *Node) valid() bool {
	s := n.current()
	return s != nil && s.Valid()
}

func (n *Node) elected(t shard.Term) {
	n.mu.Lock()
	n.owning = time.Now()
	n.mu.Unlock()
	n.owner.Elected(t)
}

func (n *Node) startMirrors() {
	c := n.config
	n.operators = mirror.New(mirror.Config{
		Store: n.relay, Prefix: c.Operators, Changed: n.changed, Log: c.Log,
	})
	n.list = mirror.New(mirror.Config{
		Store: n.relay, Prefix: c.List, Wait: listWait, Gap: listGap, Active: n.valid, Log: c.Log,
		Changed: func(copied mirror.Copy) { n.owner.SetVMs(c.Decoder.VMs(copied.Items)) },
	})
}

func (n *Node) changed(copied mirror.Copy) {
	if v, ok := n.config.Decoder.View(copied.Items); ok {
		n.owner.SetView(v)
	}
	n.config.Changed(copied.Items, copied.Rev)
}

func (n *Node) serve(l net.Listener) {
	n.server = grpc.NewServer(
		grpc.KeepaliveParams(keepalive.ServerParameters{Time: serverPing, Timeout: serverWait}),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: time.Second, PermitWithoutStream: true}),
	)
	peer.RegisterJobs(n.server, &host{n})
	n.done.Go(func() {
		if err := n.server.Serve(l); err != nil {
			n.config.Log.Error("links from entries no longer served", "error", err)
		}
	})
}

// Stop hands the ownership over and stops all goroutines. ctx bounds the hand-over.
func (n *Node) Stop(ctx context.Context) {
	if err := n.Leave(ctx); err != nil {
		n.config.Log.Warn("ownership not handed over", "error", err)
	}
	n.cancel()
	n.operators.Close()
	n.list.Close()
	n.shard.Close()
	n.owner.Close()
	n.server.Stop()
	n.links.Close()
	n.done.Wait()
}

// giveUp lets another entry own the jobs.
func (n *Node) giveUp(reason string) {
	n.done.Go(func() {
		ctx, cancel := context.WithTimeout(n.ctx, meetTimeout)
		defer cancel()
		if err := n.shard.StepDown(ctx, reason); err != nil {
			n.config.Log.Warn("ownership not given up", "reason", reason, "error", err)
		}
	})
}

// Leave gives up ownership; the entry goes on passing requests to the next owner.
func (n *Node) Leave(ctx context.Context) error {
	n.mu.Lock()
	was := n.leaving
	n.leaving = true
	n.mu.Unlock()
	if was {
		return nil
	}
	brief, cancel := context.WithTimeout(ctx, handOverFor)
	defer cancel()
	n.owner.HandOver(brief)
	return n.shard.Resign(ctx)
}

// relays returns the entries through which the store may be reached: those that
// were heard to reach it of late, else all.
func (n *Node) relays() []netip.AddrPort {
	n.mu.Lock()
	defer n.mu.Unlock()
	var out []netip.AddrPort
	for a, t := range n.reachable {
		if time.Since(t) < 2*freshFor {
			out = append(out, a)
		}
	}
	return out
}

// meet exchanges news with the owner and with one other entry in turn.
func (n *Node) meet() {
	turn := 0
	for n.ctx.Err() == nil {
		members := n.shard.Members()
		slices.SortFunc(members, func(a, b shard.Member) int { return a.Address.Compare(b.Address) })
		own, known := n.shard.Owner()
		turn++
		for i, m := range members {
			if n.shard.Asks() || i == turn%len(members) {
				n.meetOne(m)
			}
		}
		if known && own.Name != n.config.Self.Name {
			n.meetOne(own.Member)
		}
		n.judgeOwn(members)
		delay.For(n.ctx, meetEvery)
	}
}

func (n *Node) meetOne(m shard.Member) {
	n.done.Go(func() {
		ctx, cancel := context.WithTimeout(n.ctx, meetTimeout)
		defer cancel()
		asked := n.config.Clock()
		theirs, err := n.links.Meet(ctx, m.Address, n.meeting())
		if err != nil {
			return
		}
		if theirs.Pledge {
			n.shard.Pledged(theirs.Name, asked)
		}
		if o, ok := n.shard.Owner(); ok && o.Run == theirs.Run {
			n.touch()
		}
		n.heard(theirs, m.Address)
	})
}

// touch notes that the owner has answered.
func (n *Node) touch() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.touched = time.Now()
}

// CutOff reports whether neither the owner nor the store has answered of late,
// so that no request can be served here.
func (n *Node) CutOff() bool {
	if n.valid() {
		return false
	}
	n.mu.Lock()
	silent := time.Since(n.touched) > cutAfter
	n.mu.Unlock()
	return silent && time.Since(n.relay.Heard()) > cutAfter
}

func (n *Node) meeting() peer.Meeting {
	m := peer.Meeting{
		Name: n.config.Self.Name, Run: n.config.Self.Run, Revision: n.operators.Copy().Rev,
		Reaches: time.Since(n.relay.Heard()) < freshFor, Ask: n.shard.Asks(),
	}
	if o, ok := n.shard.Owner(); ok {
		m.Owner = o
	}
	return m
}

// heard takes what another entry has told.
func (n *Node) heard(m peer.Meeting, from netip.AddrPort) {
	if m.Reaches {
		n.mu.Lock()
		n.reachable[from] = time.Now()
		n.mu.Unlock()
	}
	if m.Owner.Name != "" {
		n.shard.Heard(m.Owner)
	}
	if own, ok := n.shard.Owner(); ok && own.Address == from && own.Run != m.Run {
		n.config.Log.Info("owner restarted", "name", own.Name, "run", own.Run)
		n.shard.Dead(own.Run)
	}
	if m.Revision > n.operators.Copy().Rev {
		n.fetch(from)
	}
}

func (n *Node) fetch(from netip.AddrPort) {
	ctx, cancel := context.WithTimeout(n.ctx, meetTimeout)
	defer cancel()
	items, rev, err := n.links.Fetch(ctx, from)
	if err != nil {
		n.config.Log.Warn("operators' records not fetched", "from", from, "error", err)
		return
	}
	copied := mirror.Copy{Items: make(map[string]store.Item, len(items)), Rev: rev, Read: true}
	for _, it := range items {
		copied.Items[it.Key] = it
	}
	n.config.Log.Info("operators' records fetched", "from", from, "revision", rev)
	n.operators.Offer(copied)
}

// judgeOwn gives up the ownership when most other entries don't reach this one, or
// when one that is much stronger could take it.
func (n *Node) judgeOwn(members []shard.Member) {
	n.mu.Lock()
	met, strongest := 0, 0
	for _, m := range members {
		if time.Since(n.met[m.Name]) < aloneFor {
			met++
			strongest = max(strongest, m.Power)
		}
	}
	young := time.Since(n.owning) < 2*aloneFor
	n.mu.Unlock()
	own, known := n.shard.Owner()
	if !known || own.Run != n.config.Self.Run || young {
		return
	}
	switch {
	case len(members) >= 2 && 2*met < len(members):
		n.giveUp("not reached by most entries")
	case n.config.Self.Power > 0 && strongest >= muchStronger*n.config.Self.Power && n.valid():
		n.yield()
	}
}

// yield hands the ownership over to a stronger entry, which stands first.
func (n *Node) yield() {
	ctx, cancel := context.WithTimeout(n.ctx, handOverFor)
	defer cancel()
	n.owner.HandOver(ctx)
	n.giveUp("a stronger entry is there")
}
