// Package entry is the process on an entry VM. It accepts tasks from callers, has
// upstreams run them, and keeps its configuration in sync with the other entries
// and the platform.
//
// All entries have the same role. To run tasks without an idempotency key, an entry
// needs only what it holds itself: its configuration, its seats, which are its parts
// of the upper limits, and the last list of VMs. Only changes, and claims on
// idempotency keys, need the platform. One entry of each data centre, the leader,
// reads the platform on behalf of the others.
//
// # Usage
//
//	e, err := entry.New(entry.Config{
//		Self:     peer.Member{Name: "a1", Centre: "east", Address: peerAddr},
//		Platform: []string{"http://10.0.0.5:2379"},
//	})
//	if err != nil {
//		return err
//	}
//	defer e.Close()
//	id, outcome := e.Submit(ctx, entry.Call{Queue: "pay", Team: "till", Body: body})
package entry

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"maps"
	"net"
	"net/netip"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/samber/do/v2"
	"google.golang.org/grpc"

	"almondcove/dispatch"
	"almondcove/etcd"
	"almondcove/fleet"
	"almondcove/network"
	"almondcove/peer"
	"almondcove/timeline"
	"almondcove/upstream"
)

// DefaultPrefix is the default prefix of all keys in the platform.
const DefaultPrefix = "almondcove/"

// Config configures an entry.
type Config struct {
	// Self identifies the entry; New chooses its Run.
	Self peer.Member
	// Seeds are the peer addresses of other entries.
	Seeds []netip.AddrPort
	// Platform lists the base URLs of the platform's key-value service.
	Platform []string
	// Prefix is the prefix of all keys in the platform; empty means DefaultPrefix.
	Prefix string
	// Listener accepts connections from peers; nil means a new one on
	// Self.Address.
	Listener net.Listener
	// Network connects to peers, platform and upstreams; nil means TCP.
	Network network.Network
	// SilenceTimeout is the longest time that a sent task may go unanswered before the
	// entry asks its VM about it; zero means upstream.DefaultQueryAfter.
	SilenceTimeout time.Duration
	// Log receives log lines; nil discards them.
	Log hclog.Logger
}

// Entry is a running entry. Its methods are safe for concurrent use.
type Entry struct {
	config         Config
	log            hclog.Logger
	injector       *do.RootScope
	eventLog       *timeline.Buffer
	metrics        *metrics
	configStore    *configStore
	list           *vmList
	taskDispatcher *dispatcher
	platform       *etcd.Client
	upstream       *upstream.Client
	mesh           *peer.Mesh
	server         *grpc.Server
	seats          *seats
	claims         *claimWriter
	leader         *leader
	maintainer     *maintainer
	stop           context.CancelFunc
	done           sync.WaitGroup
	started        time.Time
	// demands holds the demands that the entry reports to its data centre.
	demands atomic.Pointer[[]dispatch.Demand]
	mu      sync.Mutex
	leaving bool
	// deadRuns maps each run of an entry that is proved dead to the time of the
	// proof.
	deadRuns map[string]time.Time
}

// New starts an entry. A failure to listen gives *network.ListenError.
func New(c Config) (*Entry, error) {
	if c.Prefix == "" {
		c.Prefix = DefaultPrefix
	}
	if c.SilenceTimeout <= 0 {
		c.SilenceTimeout = upstream.DefaultQueryAfter
	}
	if c.Log == nil {
		c.Log = hclog.NewNullLogger()
	}
	if c.Network == nil {
		c.Network = network.TCP{}
	}
	c.Self.Run = rand.Text()
	if c.Listener == nil {
		l, err := c.Network.Listen(c.Self.Address)
		if err != nil {
			return nil, err
		}
		c.Listener = l
	}
	e := &Entry{config: c, log: c.Log, injector: do.New(), started: time.Now(), deadRuns: make(map[string]time.Time)}
	e.provide()
	e.eventLog = do.MustInvoke[*timeline.Buffer](e.injector)
	e.metrics = do.MustInvoke[*metrics](e.injector)
	e.configStore = do.MustInvoke[*configStore](e.injector)
	e.list = do.MustInvoke[*vmList](e.injector)
	e.taskDispatcher = do.MustInvoke[*dispatcher](e.injector)
	e.platform = do.MustInvoke[*etcd.Client](e.injector)
	e.upstream = do.MustInvoke[*upstream.Client](e.injector)
	e.claims = do.MustInvoke[*claimWriter](e.injector)
	e.seats = do.MustInvoke[*seats](e.injector)
	e.leader = do.MustInvoke[*leader](e.injector)
	e.maintainer = do.MustInvoke[*maintainer](e.injector)
	e.start()
	return e, nil
}

// provide registers the constructors of the entry's components.
func (e *Entry) provide() {
	c := e.config
	do.Provide(e.injector, func(do.Injector) (*timeline.Buffer, error) {
		return timeline.New(timeline.Config{Source: c.Self.Name}), nil
	})
	do.Provide(e.injector, func(do.Injector) (*metrics, error) {
		return newMetrics(c.Self), nil
	})
	do.Provide(e.injector, func(do.Injector) (*configStore, error) {
		return newConfigStore(), nil
	})
	do.Provide(e.injector, func(do.Injector) (*vmList, error) {
		return newVMList(), nil
	})
	do.Provide(e.injector, func(do.Injector) (*dispatcher, error) {
		return newDispatcher(c.Self.Centre, randomSeed()), nil
	})
	do.Provide(e.injector, func(i do.Injector) (*etcd.Client, error) {
		m := do.MustInvoke[*metrics](i)
		return etcd.New(etcd.Config{URLs: c.Platform, OnCall: m.countPlatformCall, Dial: c.Network.DialContext}), nil
	})
	do.Provide(e.injector, func(do.Injector) (*upstream.Client, error) {
		return upstream.New(upstream.Config{QueryAfter: c.SilenceTimeout, Dial: c.Network.DialContext}), nil
	})
	do.Provide(e.injector, func(do.Injector) (*claimWriter, error) {
		return newClaimWriter(e), nil
	})
	do.Provide(e.injector, func(do.Injector) (*seats, error) {
		return &seats{entry: e}, nil
	})
	do.Provide(e.injector, func(do.Injector) (*maintainer, error) {
		return newMaintainer(e), nil
	})
	do.Provide(e.injector, func(do.Injector) (*leader, error) {
		return &leader{entry: e}, nil
	})
}

// start creates the mesh and the gRPC server, and starts the background
// goroutines.
func (e *Entry) start() {
	e.mesh = peer.New(peer.Config{
		Self:   e.config.Self,
		Seeds:  e.config.Seeds,
		Host:   (*meshHost)(e),
		Clock:  e.eventLog.Clock(),
		OnDead: e.recordDeath,
		Dial: func(ctx context.Context, address string) (net.Conn, error) {
			return e.config.Network.DialContext(ctx, "tcp", address)
		},
		OnSent: e.metrics.countPeerMessage,
	})
	e.server = grpc.NewServer()
	e.mesh.Register(e.server)
	ctx, stop := context.WithCancel(context.Background())
	e.stop = stop
	e.done.Go(func() {
		// Serve returns when Close stops the server, so the error is ignored.
		_ = e.server.Serve(e.config.Listener)
	})
	e.done.Go(func() { e.leader.run(ctx) })
	e.done.Go(func() { e.seats.run(ctx) })
	e.done.Go(func() { e.claims.run(ctx) })
	e.done.Go(func() { e.manageLoans(ctx) })
	e.done.Go(func() { e.probeSuspects(ctx) })
	e.done.Go(func() { e.balanceStarts(ctx) })
	e.done.Go(func() { e.maintainer.run(ctx) })
	e.done.Go(func() { e.maintainRecords(ctx) })
	e.done.Go(func() { e.taskDispatcher.run(ctx) })
	e.recordEvent(timeline.Event{Kind: "start", Note: "run " + e.config.Self.Run})
}

// recordDeath records that a peer's run is proved dead.
func (e *Entry) recordDeath(p peer.Peer) {
	e.mu.Lock()
	e.deadRuns[p.Identity.Run] = p.DeadSince
	e.mu.Unlock()
	e.recordEvent(timeline.Event{Kind: "dead", Note: p.Identity.Name + " run " + p.Identity.Run})
}

// deadSince returns the runs that are proved dead, each with the time of the
// proof.
func (e *Entry) deadSince() map[string]time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	return maps.Clone(e.deadRuns)
}

// recordEvent adds an event to the entry's timeline and writes it to the log.
func (e *Entry) recordEvent(ev timeline.Event) {
	e.eventLog.Add(ev)
	args := make([]any, 0, 10)
	for _, pair := range [][2]string{{"task", ev.Task}, {"vm", ev.VM}, {"team", ev.Team}, {"key", ev.Key}, {"note", ev.Note}} {
		if pair[1] != "" {
			args = append(args, pair[0], pair[1])
		}
	}
	e.log.Info(ev.Kind, args...)
}

// randomSeed returns a random seed, so that entries make different choices.
func randomSeed() uint64 {
	var b [8]byte
	// rand.Read never returns an error on the supported systems.
	_, _ = rand.Read(b[:])
	return binary.LittleEndian.Uint64(b[:])
}

// Self returns the entry's member record.
func (e *Entry) Self() peer.Member { return e.config.Self }

// MetricsGatherer returns the entry's metrics.
func (e *Entry) MetricsGatherer() prometheus.Gatherer { return e.metrics.registry }

// Drain marks the entry as shutting down and tells the peers. The entry still
// accepts and runs tasks.
func (e *Entry) Drain() {
	e.mu.Lock()
	e.leaving = true
	e.mu.Unlock()
	e.recordEvent(timeline.Event{Kind: "drain"})
	e.mesh.TriggerHeartbeats()
}

// Release revokes the leader lease and releases the entry's seats. It returns
// when that is done or ctx ends. The caller must make sure that no task is running
// and that none arrives any more.
func (e *Entry) Release(ctx context.Context) {
	e.leader.resign(ctx)
	e.seats.releaseAll(ctx)
	e.recordEvent(timeline.Event{Kind: "leave"})
}

// RecordAborted records the number of requests that were still running when the
// shutdown stopped waiting for them.
func (e *Entry) RecordAborted(requests int) {
	e.recordEvent(timeline.Event{Kind: "cut", Note: strconv.Itoa(requests) + " requests"})
}

// Leaving reports whether the entry is shutting down.
func (e *Entry) Leaving() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.leaving
}

// Close stops the entry. The peer server stops only after the mesh, since other
// entries take a refused connection as proof that this one has ended.
func (e *Entry) Close() {
	e.stop()
	e.mesh.Close()
	e.server.Stop()
	e.done.Wait()
	e.platform.Close()
	e.upstream.Close()
	e.injector.Shutdown()
}

// EffectiveConfig returns the configuration in force.
func (e *Entry) EffectiveConfig() *fleet.Config { return e.configStore.effective() }

// Records returns all records of the newest recorded configuration, without
// pending restrictions.
func (e *Entry) Records() []fleet.Record { return e.configStore.recorded().Records(0) }
