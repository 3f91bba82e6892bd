package entry_test

import (
	"context"
	"flag"
	"fmt"
	"net/netip"
	"runtime"
	"strings"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"almondcove/entry"
	"almondcove/fleet"
	"almondcove/peer"
	"almondcove/standin"
)

// capacitySizes makes TestCapacity measure the first sizes of fleetSizes and print
// the table of docs/CAPACITY.md. Without it the test measures the first size only.
var capacitySizes = flag.Int("capacity", 0, "measure control traffic at the first `n` fleet sizes")

// fleetSize is the size of a fleet to measure. Its field entries is the number of
// entries in each data centre; the other fields count the whole fleet.
type fleetSize struct {
	centres, entries, vms, pools, teams int
}

// fleetSizes are the measured sizes, in growing order. The last one is the size
// that the design is made for.
var fleetSizes = []fleetSize{
	{centres: 2, entries: 7, vms: 50, pools: 6, teams: 6},
	{centres: 4, entries: 7, vms: 200, pools: 25, teams: 12},
	{centres: 22, entries: 2, vms: 1000, pools: 125, teams: 47},
	{centres: 22, entries: 7, vms: 2300, pools: 287, teams: 47},
}

// testCluster is a fleet of entries in one process, with an in-memory network and
// the fake clock of package synctest.
type testCluster struct {
	net            *standin.Network
	platform       *standin.Platform
	platformServer *standin.RunningServer
	entries        []*entry.Entry
}

func (s fleetSize) config() *fleet.Config {
	d := fleet.Document{
		Preset:  "ordinary",
		Teams:   make(map[string]fleet.Team),
		Queues:  make(map[string]fleet.Queue),
		Pools:   make(map[string]fleet.Pool),
		Presets: map[string]fleet.Preset{"ordinary": {}, "peak": {}},
		Centres: make(map[string]map[string]fleet.VM),
	}
	for i := range s.teams {
		d.Teams[fmt.Sprintf("team-%02d", i)] = fleet.Team{Share: 1 + i%5, Limit: 400}
	}
	for i := range s.pools {
		d.Pools[fmt.Sprintf("pool-%03d", i)] = fleet.Pool{Budget: 1, Period: fleet.Duration(35 * 24 * time.Hour)}
		d.Queues[fmt.Sprintf("queue-%03d", i)] = fleet.Queue{
			Pool: fmt.Sprintf("pool-%03d", i), Class: fleet.Normal, Teams: []string{fmt.Sprintf("team-%02d", i%s.teams)},
			Lease: fleet.Duration(10 * time.Second), Wait: fleet.Duration(30 * time.Second), Depth: 1000,
		}
	}
	for i := range s.centres {
		d.Centres[centreName(i)] = make(map[string]fleet.VM)
	}
	for i := range s.vms {
		d.Centres[centreName(i%s.centres)][fmt.Sprintf("vm-%04d", i)] = fleet.VM{Pool: fmt.Sprintf("pool-%03d", i%s.pools)}
	}
	return d.Config()
}

func centreName(i int) string { return fmt.Sprintf("dc-%02d", i) }

// startCluster starts the platform with a list of VMs, and all entries.
func (s fleetSize) startCluster(g *gomega.WithT) *testCluster {
	cluster := &testCluster{net: &standin.Network{}, platform: standin.NewPlatform()}
	host := netip.MustParseAddr("10.0.0.1")
	var err error
	cluster.platformServer, err = standin.Serve(cluster.net.ForHost(host), netip.AddrPortFrom(host, 0), cluster.platform)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	for i := range s.vms {
		name := fmt.Sprintf("vm-%04d", i)
		cluster.platform.Put(standin.VMListKey(entry.DefaultPrefix, centreName(i%s.centres), name), standin.VMListValue(peer.VM{
			Centre: centreName(i % s.centres), Address: netip.MustParseAddrPort("10.9.0.1:1"), Slots: 8, Rack: "r", State: peer.VMLive,
		}))
	}
	var seeds []netip.AddrPort
	for c := range s.centres {
		for i := range s.entries {
			address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(c), byte(i + 1)}), 9000)
			e, err := entry.New(entry.Config{
				Self:     peer.Member{Name: fmt.Sprintf("%s-%d", centreName(c), i), Centre: centreName(c), Address: address},
				Seeds:    seeds,
				Platform: []string{cluster.platformServer.URL()},
				Network:  cluster.net.ForHost(address.Addr()),
			})
			g.Expect(err).NotTo(gomega.HaveOccurred())
			cluster.entries = append(cluster.entries, e)
			if len(seeds) == 0 {
				seeds = []netip.AddrPort{address}
			}
		}
	}
	return cluster
}

func (c *testCluster) stop() {
	for _, e := range c.entries {
		e.Close()
	}
	c.platformServer.Close()
}

// counterTotal returns the sum of a counter over all entries, or -1 when an
// entry's metrics can't be read.
func (c *testCluster) counterTotal(name string) float64 {
	sum := 0.0
	for _, e := range c.entries {
		families, err := e.MetricsGatherer().Gather()
		if err != nil {
			return -1
		}
		for _, f := range families {
			if f.GetName() != name {
				continue
			}
			for _, m := range f.GetMetric() {
				sum += m.GetCounter().GetValue()
			}
		}
	}
	return sum
}

// resourceUse holds the message bytes, messages and platform calls of all entries and
// the CPU time of the whole process, up to now.
type resourceUse struct {
	bytes, messages, calls float64
	cpu                    time.Duration
}

func (c *testCluster) resourceUse() resourceUse {
	var use syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &use)
	return resourceUse{
		bytes:    c.counterTotal("almondcove_peer_sent_bytes_total"),
		messages: c.counterTotal("almondcove_peer_sent_total"),
		calls:    c.counterTotal("almondcove_platform_calls_total"),
		cpu:      time.Duration(use.Utime.Nano() + use.Stime.Nano()),
	}
}

// timeToInForce makes a change and returns the time until it is in force on all
// entries.
func (c *testCluster) timeToInForce(g *gomega.WithT, change fleet.Change) time.Duration {
	started := time.Now()
	result, err := c.entries[0].Change(context.Background(), change)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	for _, e := range c.entries {
		for e.EffectiveConfig().Head.Rev < result.Rev {
			time.Sleep(time.Millisecond)
		}
	}
	return time.Since(started)
}

// measurement is one row of the table of docs/CAPACITY.md.
type measurement struct {
	fleetSize
	// startup is the time until all entries hold their configuration and seats. It
	// includes the 5 s before the configuration is loaded.
	startup time.Duration
	// bytes and messages are what a node, which runs one entry, sends to its peers
	// per second while nothing changes. calls are the platform calls of all nodes
	// per second, and cpu is the fraction of one CPU that a node uses.
	bytes, messages, calls, cpu float64
	// heap is the growth of the heap per node, in bytes. It includes the stand-in
	// platform.
	heap float64
	// config is the size of the configuration's records, in bytes.
	config int
	// changeBytes is the number of bytes that all nodes together send for one
	// change, without the idle traffic.
	changeBytes float64
	// changeDelay is the longest time until a change was in force everywhere.
	changeDelay time.Duration
}

func (s fleetSize) measure(t *testing.T) measurement {
	out := measurement{fleetSize: s}
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		cluster := s.startCluster(g)
		defer cluster.stop()
		started := time.Now()
		time.Sleep(5 * time.Second)
		_, err := cluster.entries[0].Change(t.Context(), fleet.ConfigLoad{Config: s.config(), At: time.Now()})
		g.Expect(err).NotTo(gomega.HaveOccurred())
		for _, e := range cluster.entries {
			for len(e.Status().Seats) == 0 || e.EffectiveConfig().Head.Rev == 0 {
				time.Sleep(100 * time.Millisecond)
			}
		}
		out.startup = time.Since(started)
		time.Sleep(30 * time.Second)
		runtime.GC()
		runtime.ReadMemStats(&after)
		for _, r := range cluster.entries[0].Records() {
			out.config += len(r.Key) + len(r.Body)
		}
		nodes := float64(len(cluster.entries))
		out.heap = float64(after.HeapAlloc-before.HeapAlloc) / nodes
		const idleSeconds = 60
		idleStart := cluster.resourceUse()
		time.Sleep(idleSeconds * time.Second)
		idleEnd := cluster.resourceUse()
		out.bytes = (idleEnd.bytes - idleStart.bytes) / nodes / idleSeconds
		out.messages = (idleEnd.messages - idleStart.messages) / nodes / idleSeconds
		out.calls = (idleEnd.calls - idleStart.calls) / idleSeconds
		out.cpu = (idleEnd.cpu - idleStart.cpu).Seconds() / nodes / idleSeconds
		const changes = 10
		bytesBefore := cluster.resourceUse().bytes
		changesStarted := time.Now()
		for i := range changes {
			took := cluster.timeToInForce(g, fleet.TeamSet{Name: "team-00", Team: fleet.Team{Share: 1 + i, Limit: 400 + i}})
			out.changeDelay = max(out.changeDelay, took)
			time.Sleep(time.Second)
		}
		idleBytes := out.bytes * nodes * time.Since(changesStarted).Seconds()
		out.changeBytes = (cluster.resourceUse().bytes - bytesBefore - idleBytes) / changes
	})
	return out
}

func (m measurement) String() string {
	return fmt.Sprintf("| %d | %d | %d | %.1f s | %.0f | %.1f | %.2f | %.3f %% | %.1f MB | %.0f | %s | %d |",
		m.centres, m.centres*m.entries, m.vms, m.startup.Seconds(), m.bytes, m.messages, m.calls, 100*m.cpu, m.heap/1e6, m.changeBytes, m.changeDelay.Round(time.Millisecond), m.config)
}

// Limits on the control traffic of one node and on the delay of a change, as the
// users require them.
const (
	maxIdleBytesPerSecond = 5000
	maxChangeDelay        = 18 * time.Second
)

// TestCapacity guards against control traffic between idle entries, or a delay until a
// change is in force everywhere, that exceeds what the users require.
func TestCapacity(t *testing.T) {
	measured := fleetSizes[:1]
	if *capacitySizes > 0 {
		measured = fleetSizes[:min(*capacitySizes, len(fleetSizes))]
	}
	var table strings.Builder
	table.WriteString("| centres | entries | VMs | start | bytes/s a node | messages/s a node | platform calls/s in all | CPU a node | heap a node | bytes a change in all | in force | bytes of configuration |\n")
	for _, size := range measured {
		result := size.measure(t)
		g := gomega.NewWithT(t)
		g.Expect(result.bytes).To(gomega.BeNumerically("<", maxIdleBytesPerSecond))
		g.Expect(result.changeDelay).To(gomega.BeNumerically("<", maxChangeDelay))
		table.WriteString(result.String() + "\n")
	}
	if *capacitySizes > 0 {
		fmt.Print(table.String())
	}
}
