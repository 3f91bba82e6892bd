// Package entry is one entry VM's process: it takes tasks from callers, has
// them run by upstreams, and keeps the configuration together with the other
// entries and the platform.
//
// All entries are alike. Serving needs nothing but what the entry holds: its
// configuration, its seats in the upper limits and the last list of VMs. The
// platform is needed to change things, and one entry of each data centre, the
// leader, reads it for the others.
//
// # Usage
//
//	e, err := entry.New(entry.Config{
//		Self:     peer.Member{Name: "a1", Centre: "east", Address: peerAddr},
//		Platform: []string{"http://10.0.0.5:2379"},
//	})
//	id, outcome := e.Submit(ctx, entry.Call{Queue: "pay", Team: "till", Body: body})
//	defer e.Close()
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

// DefaultPrefix starts every key that almondcove keeps in the platform.
const DefaultPrefix = "almondcove/"

// Config configures an entry.
type Config struct {
	// Self names the entry; New chooses its Run.
	Self peer.Member
	// Seeds are peer addresses of other entries.
	Seeds []netip.AddrPort
	// Platform lists the base URLs of the platform's key-value service.
	Platform []string
	// Prefix starts every key; empty means DefaultPrefix.
	Prefix string
	// Listener accepts peers; nil means a new one on Self.Address.
	Listener net.Listener
	// Network reaches peers, platform and upstreams; nil means TCP.
	Network network.Network
	// Silence is how long a sent task may go unanswered, at most, before it is
	// asked for; zero means upstream.DefaultSilence.
	Silence time.Duration
	Log     hclog.Logger
}

// Entry is a running entry. Its methods may be called from any goroutine.
type Entry struct {
	config   Config
	log      hclog.Logger
	injector *do.RootScope
	line     *timeline.Line
	metrics  *metrics
	keeper   *keeper
	list     *vmList
	work     *dispatcher
	platform *etcd.Client
	upstream *upstream.Client
	mesh     *peer.Mesh
	server   *grpc.Server
	seats    *seats
	claims   *claimWriter
	leader   *leader
	roller   *roller
	stop     context.CancelFunc
	done     sync.WaitGroup
	started  time.Time
	// demands are what the entry tells the others of its data centre.
	demands atomic.Pointer[[]dispatch.Demand]
	mu      sync.Mutex
	leaving bool
	// dead holds the runs of entries that are proved to have ended, and since when.
	dead map[string]time.Time
}

// New returns a running entry. The error is *network.ListenError.
func New(c Config) (*Entry, error) {
	if c.Prefix == "" {
		c.Prefix = DefaultPrefix
	}
	if c.Silence <= 0 {
		c.Silence = upstream.DefaultSilence
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
	e := &Entry{config: c, log: c.Log, injector: do.New(), started: time.Now(), dead: make(map[string]time.Time)}
	e.provide()
	e.line = do.MustInvoke[*timeline.Line](e.injector)
	e.metrics = do.MustInvoke[*metrics](e.injector)
	e.keeper = do.MustInvoke[*keeper](e.injector)
	e.list = do.MustInvoke[*vmList](e.injector)
	e.work = do.MustInvoke[*dispatcher](e.injector)
	e.platform = do.MustInvoke[*etcd.Client](e.injector)
	e.upstream = do.MustInvoke[*upstream.Client](e.injector)
	e.claims = do.MustInvoke[*claimWriter](e.injector)
	e.seats = do.MustInvoke[*seats](e.injector)
	e.leader = do.MustInvoke[*leader](e.injector)
	e.roller = do.MustInvoke[*roller](e.injector)
	e.start()
	return e, nil
}

// provide declares how each part is made.
func (e *Entry) provide() {
	c := e.config
	do.Provide(e.injector, func(do.Injector) (*timeline.Line, error) {
		return timeline.New(timeline.Config{Source: c.Self.Name}), nil
	})
	do.Provide(e.injector, func(do.Injector) (*metrics, error) {
		return newMetrics(c.Self), nil
	})
	do.Provide(e.injector, func(do.Injector) (*keeper, error) {
		return newKeeper(), nil
	})
	do.Provide(e.injector, func(do.Injector) (*vmList, error) {
		return newVMList(), nil
	})
	do.Provide(e.injector, func(do.Injector) (*dispatcher, error) {
		return newDispatcher(c.Self.Centre, seed()), nil
	})
	do.Provide(e.injector, func(i do.Injector) (*etcd.Client, error) {
		m := do.MustInvoke[*metrics](i)
		return etcd.New(etcd.Config{URLs: c.Platform, Called: m.countPlatformCall, Dial: c.Network.DialContext}), nil
	})
	do.Provide(e.injector, func(do.Injector) (*upstream.Client, error) {
		return upstream.New(upstream.Config{Silence: c.Silence, Dial: c.Network.DialContext}), nil
	})
	do.Provide(e.injector, func(do.Injector) (*claimWriter, error) {
		return newClaimWriter(e), nil
	})
	do.Provide(e.injector, func(do.Injector) (*seats, error) {
		return &seats{entry: e}, nil
	})
	do.Provide(e.injector, func(do.Injector) (*roller, error) {
		return newRoller(e), nil
	})
	do.Provide(e.injector, func(do.Injector) (*leader, error) {
		return &leader{entry: e}, nil
	})
}

// start connects the parts and starts what runs by itself.
func (e *Entry) start() {
	e.mesh = peer.New(peer.Config{
		Self:  e.config.Self,
		Seeds: e.config.Seeds,
		Host:  (*meshHost)(e),
		Clock: e.line.Clock(),
		Died:  e.died,
		Dial: func(ctx context.Context, address string) (net.Conn, error) {
			return e.config.Network.DialContext(ctx, "tcp", address)
		},
		Sent: e.metrics.countPeerMessage,
	})
	e.server = grpc.NewServer()
	e.mesh.Register(e.server)
	ctx, stop := context.WithCancel(context.Background())
	e.stop = stop
	e.done.Go(func() {
		// Serve returns when Close stops the server.
		_ = e.server.Serve(e.config.Listener)
	})
	e.done.Go(func() { e.leader.run(ctx) })
	e.done.Go(func() { e.seats.run(ctx) })
	e.done.Go(func() { e.claims.run(ctx) })
	e.done.Go(func() { e.lend(ctx) })
	e.done.Go(func() { e.probeSuspects(ctx) })
	e.done.Go(func() { e.balanceStarts(ctx) })
	e.done.Go(func() { e.roller.run(ctx) })
	e.done.Go(func() { e.maintainRecords(ctx) })
	e.done.Go(func() { e.work.run(ctx) })
	e.note(timeline.Event{Kind: "start", Note: "run " + e.config.Self.Run})
}

// died takes note of an entry that is proved to have ended.
func (e *Entry) died(p peer.Peer) {
	e.mu.Lock()
	e.dead[p.From.Run] = p.Dead
	e.mu.Unlock()
	e.note(timeline.Event{Kind: "dead", Note: p.From.Name + " run " + p.From.Run})
}

// ended returns the runs that are proved to have ended.
func (e *Entry) ended() map[string]time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	return maps.Clone(e.dead)
}

// note writes an event to the time line and to the log.
func (e *Entry) note(ev timeline.Event) {
	e.line.Add(ev)
	args := make([]any, 0, 10)
	for _, pair := range [][2]string{{"task", ev.Task}, {"vm", ev.VM}, {"team", ev.Team}, {"key", ev.Key}, {"note", ev.Note}} {
		if pair[1] != "" {
			args = append(args, pair[0], pair[1])
		}
	}
	e.log.Info(ev.Kind, args...)
}

// seed returns a random seed, so that entries choose differently.
func seed() uint64 {
	var b [8]byte
	// Read never fails on the supported systems.
	_, _ = rand.Read(b[:])
	return binary.LittleEndian.Uint64(b[:])
}

// Self returns the entry's own member record.
func (e *Entry) Self() peer.Member { return e.config.Self }

// Gather returns the entry's metrics.
func (e *Entry) Gather() prometheus.Gatherer { return e.metrics.registry }

// Drain marks the entry as shutting down. It goes on running the tasks that come.
func (e *Entry) Drain() {
	e.mu.Lock()
	e.leaving = true
	e.mu.Unlock()
	e.note(timeline.Event{Kind: "drain"})
	e.mesh.Kick()
}

// Leave gives the entry's seats and its lease back, until ctx ends. No task
// may run or come any more.
func (e *Entry) Leave(ctx context.Context) {
	e.leader.resign(ctx)
	e.seats.release(ctx)
	e.note(timeline.Event{Kind: "leave"})
}

// Cut takes note of requests that the shutdown did not wait for.
func (e *Entry) Cut(requests int) {
	e.note(timeline.Event{Kind: "cut", Note: strconv.Itoa(requests) + " requests"})
}

// Leaving reports whether the entry is shutting down.
func (e *Entry) Leaving() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.leaving
}

// Close stops the entry. The peer listener closes last, since others take its
// refusal as the proof that the entry has ended.
func (e *Entry) Close() {
	e.stop()
	e.mesh.Close()
	e.server.Stop()
	e.done.Wait()
	e.platform.Close()
	e.upstream.Close()
	e.injector.Shutdown()
}

// Settings returns the configuration in force.
func (e *Entry) Settings() *fleet.Config { return e.keeper.now() }

// Records returns the records of the configuration held.
func (e *Entry) Records() []fleet.Record { return e.keeper.held().Records(0) }
