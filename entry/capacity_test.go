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

// capacity makes TestCapacity measure all sizes and print the table of docs/CAPACITY.md.
var capacity = flag.Int("capacity", 0, "measure control at the first `n` sizes")

// size is a fleet to measure.
type size struct {
	centres, entries, vms, pools, teams int
}

// sizes grow to the one that the design is made for.
var sizes = []size{
	{centres: 2, entries: 7, vms: 50, pools: 6, teams: 6},
	{centres: 4, entries: 7, vms: 200, pools: 25, teams: 12},
	{centres: 22, entries: 2, vms: 1000, pools: 125, teams: 47},
	{centres: 22, entries: 7, vms: 2300, pools: 287, teams: 47},
}

// site is a fleet of entries in memory with a paused clock.
type site struct {
	net      *standin.Network
	platform *standin.Platform
	running  *standin.Running
	entries  []*entry.Entry
}

func (s size) config() *fleet.Config {
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

// start starts the platform, the list of VMs and all entries.
func (s size) start(g *gomega.WithT) *site {
	out := &site{net: &standin.Network{}, platform: standin.NewPlatform()}
	host := netip.MustParseAddr("10.0.0.1")
	var err error
	out.running, err = standin.Serve(out.net.From(host), netip.AddrPortFrom(host, 0), out.platform)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	for i := range s.vms {
		name := fmt.Sprintf("vm-%04d", i)
		out.platform.Put(standin.ListKey(entry.DefaultPrefix, centreName(i%s.centres), name), standin.ListEntry(peer.VM{
			Centre: centreName(i % s.centres), Address: netip.MustParseAddrPort("10.9.0.1:1"), Slots: 8, Rack: "r", State: peer.Live,
		}))
	}
	var seeds []netip.AddrPort
	for c := range s.centres {
		for i := range s.entries {
			at := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(c), byte(i + 1)}), 9000)
			e, err := entry.New(entry.Config{
				Self:     peer.Member{Name: fmt.Sprintf("%s-%d", centreName(c), i), Centre: centreName(c), Address: at},
				Seeds:    seeds,
				Platform: []string{out.running.URL()},
				Network:  out.net.From(at.Addr()),
			})
			g.Expect(err).NotTo(gomega.HaveOccurred())
			out.entries = append(out.entries, e)
			if len(seeds) == 0 {
				seeds = []netip.AddrPort{at}
			}
		}
	}
	return out
}

func (s *site) stop() {
	for _, e := range s.entries {
		e.Close()
	}
	s.running.Close()
}

// total adds up a counter of all entries.
func (s *site) total(name string) float64 {
	sum := 0.0
	for _, e := range s.entries {
		families, err := e.Gather().Gather()
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

// spent is what the entries have used so far.
type spent struct {
	bytes, messages, calls float64
	cpu                    time.Duration
}

func (s *site) spent() spent {
	var use syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &use)
	return spent{
		bytes:    s.total("almondcove_peer_sent_bytes_total"),
		messages: s.total("almondcove_peer_sent_total"),
		calls:    s.total("almondcove_platform_calls_total"),
		cpu:      time.Duration(use.Utime.Nano() + use.Stime.Nano()),
	}
}

// inForce returns how long after a change it is in force on all entries.
func (s *site) inForce(g *gomega.WithT, ch fleet.Change) time.Duration {
	begun := time.Now()
	done, err := s.entries[0].Change(context.Background(), ch)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	for _, e := range s.entries {
		for e.Settings().Head.Rev < done.Rev {
			time.Sleep(time.Millisecond)
		}
	}
	return time.Since(begun)
}

// row is one line of the table.
type row struct {
	size
	// start is how long all entries took to hold their configuration and seats.
	start time.Duration
	// idle is what a node spends in a second without changes.
	bytes, messages, calls, cpu float64
	// heap is the memory in use of all entries together with the stand-in.
	heap float64
	// config is the size of the configuration's records.
	config int
	// changed is what one change costs all nodes together, and took its longest way.
	changeBytes float64
	took        time.Duration
}

func (s size) measure(t *testing.T) row {
	out := row{size: s}
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		site := s.start(g)
		defer site.stop()
		begun := time.Now()
		time.Sleep(5 * time.Second)
		_, err := site.entries[0].Change(t.Context(), fleet.ConfigLoad{Config: s.config(), At: time.Now()})
		g.Expect(err).NotTo(gomega.HaveOccurred())
		for _, e := range site.entries {
			for len(e.Status().Seats) == 0 || e.Settings().Head.Rev == 0 {
				time.Sleep(100 * time.Millisecond)
			}
		}
		out.start = time.Since(begun)
		time.Sleep(30 * time.Second)
		runtime.GC()
		runtime.ReadMemStats(&after)
		for _, r := range site.entries[0].Records() {
			out.config += len(r.Key) + len(r.Body)
		}
		nodes := float64(len(site.entries))
		out.heap = float64(after.HeapAlloc-before.HeapAlloc) / nodes
		const quiet = 60
		first := site.spent()
		time.Sleep(quiet * time.Second)
		second := site.spent()
		out.bytes = (second.bytes - first.bytes) / nodes / quiet
		out.messages = (second.messages - first.messages) / nodes / quiet
		out.calls = (second.calls - first.calls) / quiet
		out.cpu = (second.cpu - first.cpu).Seconds() / nodes / quiet
		const changes = 10
		begunBytes := site.spent().bytes
		begunAt := time.Now()
		for i := range changes {
			took := site.inForce(g, fleet.TeamSet{Name: "team-00", Team: fleet.Team{Share: 1 + i, Limit: 400 + i}})
			out.took = max(out.took, took)
			time.Sleep(time.Second)
		}
		spentIdle := out.bytes * nodes * time.Since(begunAt).Seconds()
		out.changeBytes = (site.spent().bytes - begunBytes - spentIdle) / changes
	})
	return out
}

func (r row) String() string {
	return fmt.Sprintf("| %d | %d | %d | %.1f s | %.0f | %.1f | %.2f | %.3f %% | %.1f MB | %.0f | %s | %d |",
		r.centres, r.centres*r.entries, r.vms, r.start.Seconds(), r.bytes, r.messages, r.calls, 100*r.cpu, r.heap/1e6, r.changeBytes, r.took.Round(time.Millisecond), r.config)
}

// The budgets of control for one node, from the users' letter.
const (
	budgetBytes = 5000
	budgetTook  = 18 * time.Second
)

func TestCapacity(t *testing.T) {
	measured := sizes[:1]
	if *capacity > 0 {
		measured = sizes[:min(*capacity, len(sizes))]
	}
	var table strings.Builder
	table.WriteString("| centres | entries | VMs | start | bytes/s a node | messages/s a node | platform calls/s in all | CPU a node | heap a node | bytes a change in all | in force | bytes of configuration |\n")
	for _, s := range measured {
		r := s.measure(t)
		g := gomega.NewWithT(t)
		g.Expect(r.bytes).To(gomega.BeNumerically("<", budgetBytes))
		g.Expect(r.took).To(gomega.BeNumerically("<", budgetTook))
		table.WriteString(r.String() + "\n")
	}
	if *capacity > 0 {
		fmt.Print(table.String())
	}
}
