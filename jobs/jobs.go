// Package jobs assembles what an entry needs to take jobs: the election of the owner,
// the owner itself, the copies of the operators' records and of the list of VMs, and
// the calls to other entries.
//
// Every entry accepts every request and forwards those about jobs to the owner.
//
// # Usage
//
//	n, err := jobs.Start(jobs.Config{Self: self, Store: direct, Decoder: decoder, VMs: vms, Machines: machines})
//	defer n.Stop(ctx)
//	answer := n.Submit(ctx, j)
package jobs

import (
	"cmp"
	"context"
	"maps"
	"net"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/samber/lo"
	"google.golang.org/grpc"
	"google.golang.org/grpc/keepalive"

	"almondcove/carrier"
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

// Intervals, time limits and thresholds of a node.
const (
	// statusInterval is the interval of status exchanges with the owner and one other
	// entry.
	statusInterval = 500 * time.Millisecond
	// statusTimeout limits one status exchange with an entry other than the owner, and also a call to step down and the first
	// call to fetch the operators' records.
	statusTimeout = 700 * time.Millisecond
	// storeFreshPeriod is how long the store counts as reachable after an answer.
	storeFreshPeriod = time.Second
	// cutOffTimeout is how long both the owner and the store may be silent before
	// the entry reports that it is not ready, so that it gets no more connections.
	cutOffTimeout = time.Second
	// isolationTimeout is how long after its last status exchange another entry counts
	// as reaching the owner. An owner that most other entries do not reach steps down.
	isolationTimeout = 2 * time.Second
	// handOverPowerRatio is how many times as powerful as the owner another entry must
	// be for the owner to hand over to it. An owner that is too weak for the load lags
	// behind for as long as it owns the jobs.
	handOverPowerRatio = 2
	// handOverTimeout limits the time in which an owner records its state for the next
	// owner.
	handOverTimeout = 2500 * time.Millisecond
	// vmListWait is how long a watch of the list of VMs waits for a change. It is
	// short because a watch may stop reporting changes unnoticed, and a VM that is
	// missing from the list for two seconds after an outage counts as gone.
	vmListWait = 600 * time.Millisecond
	// vmListMinInterval is the minimum time between two reads of the list of VMs.
	vmListMinInterval = 150 * time.Millisecond
	// keepaliveTime is how long a connection from another entry may be silent before
	// it is probed, and keepaliveTimeout is how long the answer may then take.
	keepaliveTime    = 10 * time.Second
	keepaliveTimeout = 2 * time.Second
)

// DefaultMaxDirectVMs is the number of VMs that an owner calls itself.
const DefaultMaxDirectVMs = 400

// Decoder decodes the records of the operators and of the platform.
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
	Store store.Store
	// StoreLimits are the sizes that the store accepts.
	StoreLimits store.Limits
	// Prefix is the key prefix of the election and the ledger.
	Prefix string
	// OperatorRecordsPrefix and VMsPrefix are the key prefixes of the operators'
	// records and of the list of VMs.
	OperatorRecordsPrefix, VMsPrefix string
	Decoder                          Decoder
	// OperatorRecordsChanged is called with the operators' records and their
	// revision after each change.
	OperatorRecordsChanged func(items map[string]store.Item, rev int64)
	Schedule               schedule.Config
	VMs                    owner.VMs
	// MaxDirectVMs is the size of the fleet above which other entries carry the calls of the
	// owner to its VMs; zero means [DefaultMaxDirectVMs].
	MaxDirectVMs int
	Machines     owner.Machines
	Advisor      owner.Advisor
	// MaxRecordsAge limits the age of the operators' records by which requests with keys
	// are served; zero means no limit.
	MaxRecordsAge time.Duration
	// ReportWaves writes the progress of maintenance waves to the store.
	ReportWaves func(ctx context.Context, s store.Store, states []schedule.WaveState) error
	Network     network.Network
	// Clock is a monotonic clock that keeps counting while the machine is suspended;
	// see [shard.Config].
	Clock func() time.Duration
	Log   hclog.Logger
}

// Node is the part of an entry that takes jobs. Its methods may be called from any
// goroutine.
type Node struct {
	config          Config
	ctx             context.Context
	cancel          context.CancelFunc
	wg              sync.WaitGroup
	links           *peer.JobLinks
	relay           *peer.Relay
	shard           *shard.Shard
	owner           *owner.Owner
	carriers        *carrier.Client
	operatorRecords *mirror.Mirror
	vmList          *mirror.Mirror
	// vmListOutdated is set when the owner has no list of VMs of the present term, so that
	// vmList has to read all VMs anew.
	vmListOutdated atomic.Bool
	server         *grpc.Server
	metrics        *metrics

	// applyMu is held while the operators' records are put in force.
	applyMu sync.Mutex
	// appliedRev is the revision of those that are in force.
	appliedRev int64

	mu sync.Mutex
	// lastContact holds, by name, when each other entry last reached this one with a
	// status exchange.
	lastContact map[string]time.Time
	// storePeers holds, by address, when each other entry last reported that it
	// reaches the store.
	storePeers map[netip.AddrPort]time.Time
	// vmsByCentre holds the largest number of VMs that the list has had in each data centre,
	// so that carriers do not come and go with the VMs.
	vmsByCentre map[string]int
	// electedAt is when this entry was last elected.
	electedAt time.Time
	leaving   bool
	// ownerRun is the process of the owner to which requests were last passed, and ownerSince
	// when the first one was.
	ownerRun   string
	ownerSince time.Time
	// ownerAnsweredAt is when the owner last answered a status exchange.
	ownerAnsweredAt time.Time
	// changes follows the operators' records.
	changes recordsChanges
	fetches *fetchPlan
	// fetchTrigger makes fetchLoop look at fetches again.
	fetchTrigger chan struct{}
}

// Start starts listening for calls of other entries and starts all goroutines.
func Start(c Config) (*Node, error) {
	listener, err := c.Network.Listen(c.Self.Address)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	n := &Node{
		config: c, ctx: ctx, cancel: cancel,
		lastContact: make(map[string]time.Time), storePeers: make(map[netip.AddrPort]time.Time),
		vmsByCentre: make(map[string]int),
		fetches:     newFetchPlan(), fetchTrigger: make(chan struct{}, 1),
	}
	n.links = peer.NewJobLinks(c.Network.DialContext)
	n.relay = peer.NewRelay(peer.RelayConfig{Direct: c.Store, Links: n.links, Peers: n.relayPeers})
	n.metrics = newMetrics(n)
	n.startOwner()
	n.startMirrors()
	n.servePeers(listener)
	n.wg.Go(n.statusLoop)
	n.wg.Go(n.fetchLoop)
	return n, nil
}

func (n *Node) startOwner() {
	c := n.config
	n.carriers = carrier.New(carrier.Config{Direct: c.VMs, Dial: n.links.Carry, Log: c.Log})
	jobLedger := ledger.New(ledger.Config{Store: n.relay, Limits: c.StoreLimits, Prefix: c.Prefix, Run: c.Self.Run, AttemptFailed: func(err error) {
		c.Log.Warn("commit attempt failed", "error", err)
	}})
	c.Schedule.MaxRecordBytes = c.StoreLimits.ValueBytes
	n.owner = owner.New(owner.Config{
		Ledger: jobLedger, Schedule: c.Schedule,
		HoldsOwnership: n.holdsOwnership,
		VMs:            n.carriers, Carriers: n.carriers.Links, Machines: c.Machines, Advisor: c.Advisor,
		StepDown:    n.stepDown,
		ReportWaves: func(ctx context.Context, s []schedule.WaveState) error { return c.ReportWaves(ctx, n.relay, s) },
		Committed:   n.metrics.observeCommit, Ordered: n.metrics.countOrder,
		Log: c.Log,
	})
	s := shard.New(shard.Config{
		Store: n.relay, Prefix: c.Prefix, Self: c.Self, Clock: c.Clock,
		Elected: n.elected, Deposed: n.deposed, Log: c.Log,
	})
	n.mu.Lock()
	n.shard = s
	n.mu.Unlock()
}

// currentShard returns the shard, or nil if it is not set yet: the owner, which
// asks for it, is created first.
func (n *Node) currentShard() *shard.Shard {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.shard
}

func (n *Node) holdsOwnership() bool {
	s := n.currentShard()
	return s != nil && s.HoldsOwnership()
}

func (n *Node) elected(t shard.Term) {
	n.mu.Lock()
	n.electedAt = time.Now()
	n.mu.Unlock()
	n.owner.Elected(t)
}

func (n *Node) deposed(epoch int64) {
	n.owner.Deposed(epoch)
	n.vmListOutdated.Store(true)
}

// needsVMList reports whether vmList may continue with the changes of the list. After it
// has reported false, vmList reads all VMs anew.
func (n *Node) needsVMList() bool {
	if !n.holdsOwnership() {
		n.vmListOutdated.Store(false)
		return false
	}
	return !n.vmListOutdated.Swap(false)
}

func (n *Node) applyVMList(copied mirror.Snapshot) {
	vms := n.config.Decoder.VMs(copied.Items)
	n.mu.Lock()
	for centre, count := range lo.CountValuesBy(vms, func(v schedule.VM) string { return v.Centre }) {
		n.vmsByCentre[centre] = max(n.vmsByCentre[centre], count)
	}
	n.mu.Unlock()
	if !n.owner.SetVMs(vms) {
		n.vmListOutdated.Store(true)
	}
}

// updateCarriers sets the entries that carry the calls to VMs: none unless this entry is the
// owner.
func (n *Node) updateCarriers(members []shard.Member) {
	if !n.holdsOwnership() {
		n.carriers.SetEntries(nil)
		return
	}
	n.mu.Lock()
	vms := maps.Clone(n.vmsByCentre)
	n.mu.Unlock()
	entries := lo.Map(members, func(m shard.Member, _ int) carrier.Entry {
		return carrier.Entry{Name: m.Name, Run: m.Run, Centre: m.Centre, Address: m.Address, Power: m.Power}
	})
	n.carriers.SetEntries(carrier.Choose(entries, vms, cmp.Or(n.config.MaxDirectVMs, DefaultMaxDirectVMs)))
}

func (n *Node) startMirrors() {
	c := n.config
	n.operatorRecords = mirror.New(mirror.Config{
		Store: n.relay, Prefix: c.OperatorRecordsPrefix, OnChange: n.applyOperatorRecords, Log: c.Log,
		Clock: c.Clock, Wait: recordsWait(c.MaxRecordsAge),
	})
	n.vmList = mirror.New(mirror.Config{
		Store: n.relay, Prefix: c.VMsPrefix, Wait: vmListWait, MinInterval: vmListMinInterval, Active: n.needsVMList, Log: c.Log,
		OnChange: n.applyVMList,
	})
}

// recordsWait returns how long a watch of the operators' records waits for a change: the
// default, or less if the records must not get older than that.
func recordsWait(maxAge time.Duration) time.Duration {
	if maxAge == 0 {
		return 0
	}
	return min(mirror.DefaultWait, maxAge/3)
}

// applyOperatorRecords puts the operators' records in force, unless newer ones are. The
// store and a fetch may deliver records at once.
func (n *Node) applyOperatorRecords(copied mirror.Snapshot) {
	n.applyMu.Lock()
	defer n.applyMu.Unlock()
	if copied.Rev < n.appliedRev {
		return
	}
	n.appliedRev = copied.Rev
	n.mu.Lock()
	n.changes.update(copied)
	n.mu.Unlock()
	if v, ok := n.config.Decoder.View(copied.Items); ok {
		n.owner.SetView(v)
	}
	n.config.OperatorRecordsChanged(copied.Items, copied.Rev)
}

func (n *Node) servePeers(listener net.Listener) {
	n.server = grpc.NewServer(append(peer.ServerOptions(),
		grpc.KeepaliveParams(keepalive.ServerParameters{Time: keepaliveTime, Timeout: keepaliveTimeout}),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: time.Second, PermitWithoutStream: true}),
	)...)
	peer.RegisterJobs(n.server, &jobHost{n})
	n.wg.Go(func() {
		if err := n.server.Serve(listener); err != nil {
			n.config.Log.Error("peer server failed; calls of other entries are no longer served", "error", err)
		}
	})
}

// Stop hands over the ownership and stops all goroutines. ctx limits the hand-over.
func (n *Node) Stop(ctx context.Context) {
	if err := n.Leave(ctx); err != nil {
		n.config.Log.Warn("ownership not handed over before stop", "error", err)
	}
	n.cancel()
	n.operatorRecords.Close()
	n.vmList.Close()
	n.shard.Close()
	n.owner.Close()
	n.carriers.Close()
	n.server.Stop()
	n.links.Close()
	n.wg.Wait()
}

// stepDown gives up the ownership so that another entry can be elected. It does
// not wait for the store.
func (n *Node) stepDown(reason string) {
	n.wg.Go(func() {
		ctx, cancel := context.WithTimeout(n.ctx, statusTimeout)
		defer cancel()
		if err := n.shard.StepDown(ctx, reason); err != nil {
			n.config.Log.Warn("step-down not confirmed by the store", "reason", reason, "error", err)
		}
	})
}

// Leave hands over the ownership and ends the registration. The entry does not
// campaign again, but keeps forwarding requests to the next owner.
func (n *Node) Leave(ctx context.Context) error {
	n.mu.Lock()
	alreadyLeaving := n.leaving
	n.leaving = true
	n.mu.Unlock()
	if alreadyLeaving {
		return nil
	}
	handOverCtx, cancel := context.WithTimeout(ctx, handOverTimeout)
	defer cancel()
	n.owner.HandOver(handOverCtx)
	return n.shard.Deregister(ctx)
}

// relayPeers returns the entries through which calls to the store can be relayed: those that
// recently reported that they reach it, without much weaker ones. The answer to a watch may be
// too much for an entry with a slow link.
func (n *Node) relayPeers() []netip.AddrPort {
	power := make(map[netip.AddrPort]int)
	for _, m := range n.currentShard().Peers() {
		power[m.Address] = m.Power
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	var out []netip.AddrPort
	for address, reportedAt := range n.storePeers {
		if time.Since(reportedAt) < 2*storeFreshPeriod {
			out = append(out, address)
		}
	}
	strongest := lo.Max(lo.Map(out, func(a netip.AddrPort, _ int) int { return power[a] }))
	return slices.DeleteFunc(out, func(a netip.AddrPort) bool { return 2*power[a] < strongest })
}

// statusLoop exchanges status with the owner, and with the other entries one by one. The
// last owner is called although its registration is gone: it may act on pledges and not
// know this entry.
// While this entry is the owner and needs pledges, because it cannot renew its lease,
// it exchanges status with every entry.
func (n *Node) statusLoop() {
	turn := 0
	for n.ctx.Err() == nil {
		members := n.shard.Peers()
		slices.SortFunc(members, func(a, b shard.Member) int { return a.Address.Compare(b.Address) })
		o, known := n.shard.LastOwner()
		turn++
		next := statusTurn(members, n.config.Self.Address, turn)
		for i, m := range members {
			if n.shard.NeedsPledges() || i == next {
				n.exchangeStatus(m, statusTimeout)
			}
		}
		if known && o.Name != n.config.Self.Name {
			n.exchangeStatus(o.Member, ownerCallTimeout)
		}
		n.updateCarriers(members)
		n.maybeYieldOwnership(members)
		delay.Sleep(n.ctx, statusInterval)
	}
}

// statusTurn returns the index of the entry to exchange status with in a turn. members are
// the other entries by address. Entries that are in the same turn, because they have
// started together, get different ones.
func statusTurn(members []shard.Member, self netip.AddrPort, turn int) int {
	before := 0
	for _, m := range members {
		if m.Address.Compare(self) < 0 {
			before++
		}
	}
	return (before + turn) % max(len(members), 1)
}

// exchangeStatus exchanges status with another entry. It does not wait for the answer.
func (n *Node) exchangeStatus(m shard.Member, timeout time.Duration) {
	n.wg.Go(func() {
		ctx, cancel := context.WithTimeout(n.ctx, timeout)
		defer cancel()
		sentAt := n.config.Clock()
		reply, err := n.links.ExchangeStatus(ctx, m.Address, n.ownStatus())
		if err != nil {
			return
		}
		if reply.Pledge {
			n.shard.ObserveEntries(reply.Members...)
			n.shard.RecordPledge(reply.Name, sentAt)
		}
		// An owner that has lost the ownership names itself no longer.
		if o, ok := n.shard.Owner(); ok && o.Run == reply.Run && reply.Owner.Run == reply.Run {
			n.recordOwnerAnswer()
		}
		n.applyStatus(reply, m.Address)
	})
}

func (n *Node) recordOwnerAnswer() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.ownerAnsweredAt = time.Now()
}

// CutOff reports whether neither the owner nor the store has answered recently,
// so that this entry cannot serve requests.
func (n *Node) CutOff() bool {
	if n.holdsOwnership() {
		return false
	}
	n.mu.Lock()
	silent := time.Since(n.ownerAnsweredAt) > cutOffTimeout
	n.mu.Unlock()
	return silent && time.Since(n.relay.LastDirectAnswer()) > cutOffTimeout
}

// ownStatus returns the status of this entry for a status exchange.
func (n *Node) ownStatus() peer.EntryStatus {
	n.mu.Lock()
	rev := n.changes.rev
	n.mu.Unlock()
	status := peer.EntryStatus{
		Name: n.config.Self.Name, Run: n.config.Self.Run, Revision: rev,
		ReachesStore: time.Since(n.relay.LastDirectAnswer()) < storeFreshPeriod, RequestsPledge: n.shard.NeedsPledges(),
	}
	if o, ok := n.shard.Owner(); ok && (o.Run != n.config.Self.Run || n.holdsOwnership()) {
		status.Owner = o
	}
	return status
}

// applyStatus applies the status of another entry.
func (n *Node) applyStatus(status peer.EntryStatus, from netip.AddrPort) {
	if status.ReachesStore {
		n.mu.Lock()
		n.storePeers[from] = time.Now()
		n.mu.Unlock()
	}
	if status.Owner.Name != "" {
		n.shard.ObserveOwner(status.Owner)
	}
	if o, ok := n.shard.Owner(); ok && o.Address == from && o.Run != status.Run {
		n.config.Log.Info("owner process has restarted, starting an election", "name", o.Name, "run", o.Run)
		n.shard.MarkDead(o.Run)
	}
	n.reportRecords(from, status.Revision)
}

// maybeYieldOwnership gives up the ownership if most other entries do not reach this
// one, and hands it over if a much more powerful entry could take it and the store answers.
// It does nothing within 2*isolationTimeout after an election.
func (n *Node) maybeYieldOwnership(members []shard.Member) {
	n.mu.Lock()
	reached, strongest := 0, 0
	for _, m := range members {
		if time.Since(n.lastContact[m.Name]) < isolationTimeout {
			reached++
			strongest = max(strongest, m.Power)
		}
	}
	recentlyElected := time.Since(n.electedAt) < 2*isolationTimeout
	n.mu.Unlock()
	o, known := n.shard.Owner()
	if !known || o.Run != n.config.Self.Run || recentlyElected {
		return
	}
	switch {
	case len(members) >= 2 && 2*reached < len(members):
		n.stepDown("not reached by most entries")
	case n.config.Self.Power > 0 && strongest >= handOverPowerRatio*n.config.Self.Power && n.holdsOwnership() && !n.shard.NeedsPledges():
		n.handOverToStronger()
	}
}

// handOverToStronger hands the ownership over to a more powerful entry. It names no
// successor, since the most powerful entry campaigns first.
func (n *Node) handOverToStronger() {
	ctx, cancel := context.WithTimeout(n.ctx, handOverTimeout)
	defer cancel()
	n.owner.HandOver(ctx)
	n.stepDown("a stronger entry is there")
}
