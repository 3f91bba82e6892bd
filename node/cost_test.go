package node_test

import (
	"bytes"
	"context"
	"crypto/rand"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/onsi/gomega"

	"almondcove/entry"
	"almondcove/fleet"
	"almondcove/network"
	"almondcove/node"
	"almondcove/peer"
	"almondcove/standin"
	"almondcove/upstream"
)

// cost enables TestCost and TestWaitingMemory, which measure over real sockets.
// They are skipped without it, since their figures depend on the machine.
var cost = flag.Bool("cost", false, "measure the cost of an entry over loopback")

var loopback = netip.MustParseAddrPort("127.0.0.1:0")

// bench is one entry in front of four upstreams, over loopback.
type bench struct {
	node      *node.Node
	callers   string
	upstreams []string
}

// newBench returns a bench whose upstreams have the given number of slots, and a
// function that stops it.
func newBench(g *gomega.WithT, slots int) (*bench, func()) {
	store := standin.NewPlatform()
	running, err := standin.Serve(network.TCP{}, loopback, store)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	out := &bench{}
	doc := fleet.Document{
		Preset:  "p",
		Teams:   map[string]fleet.Team{"t": {Share: 1, Limit: 100_000}},
		Pools:   map[string]fleet.Pool{"pool": {Budget: 1}},
		Presets: map[string]fleet.Preset{"p": {}},
		Queues: map[string]fleet.Queue{
			"fast": {Pool: "pool", Class: fleet.Normal, Open: true, Owner: "t", Lease: fleet.Duration(time.Minute), Wait: fleet.Duration(10 * time.Minute), Depth: 100_000},
			"slow": {Pool: "pool", Class: fleet.Normal, Open: true, Owner: "t", Lease: fleet.Duration(5 * time.Minute), Wait: fleet.Duration(10 * time.Minute), Depth: 100_000},
		},
		Centres: map[string]map[string]fleet.VM{"c": {}},
	}
	closers := []func(){running.Close}
	for i := range 4 {
		name := "vm-" + strconv.Itoa(i)
		r, err := standin.Serve(network.TCP{}, loopback, standin.NewUpstream(standin.UpstreamConfig{
			VM: name, Centre: "c", Slots: slots, RunTimes: map[string]fleet.Duration{"fast": fleet.Duration(5 * time.Millisecond), "slow": fleet.Duration(time.Minute)},
		}))
		g.Expect(err).NotTo(gomega.HaveOccurred())
		closers = append(closers, r.Close)
		out.upstreams = append(out.upstreams, r.URL())
		doc.Centres["c"][name] = fleet.VM{Pool: "pool"}
		store.Put(standin.VMListKey(entry.DefaultPrefix, "c", name), standin.VMListValue(peer.VM{Centre: "c", Address: r.Address, Slots: slots, State: peer.VMLive}))
	}
	l, err := network.TCP{}.Listen(loopback)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	out.node, err = node.Start(node.Config{
		Entry: entry.Config{
			Self:     peer.Member{Name: "a", Centre: "c", Address: network.AddrPort(l.Addr())},
			Platform: []string{running.URL()},
			Listener: l,
		},
		Callers: loopback, Operators: loopback, TokenHash: fleet.HashSecret("x"), Linger: time.Millisecond,
	})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	out.callers = "http://" + out.node.Callers().String()
	_, err = out.node.Entry().Change(context.Background(), fleet.ConfigLoad{Config: doc.Config(), At: time.Now()})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Eventually(func() int { return len(out.node.Entry().Status().Seats) }, 10*time.Second).Should(gomega.Equal(8))
	return out, func() {
		out.node.Kill()
		for _, f := range closers {
			f()
		}
	}
}

// sendAtRate sends requests at a steady rate. It returns the latencies of the
// successful ones in microseconds and the number of failed ones.
func sendAtRate(perSecond int, duration time.Duration, send func(i int) error) (*hdrhistogram.Histogram, int) {
	var mu sync.Mutex
	failed := 0
	h := hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
	var wg sync.WaitGroup
	start := time.Now()
	for i := range int(duration.Seconds() * float64(perSecond)) {
		time.Sleep(time.Until(start.Add(time.Duration(i) * time.Second / time.Duration(perSecond))))
		wg.Go(func() {
			sent := time.Now()
			err := send(i)
			took := time.Since(sent)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				failed++
				return
			}
			_ = h.RecordValue(took.Microseconds())
		})
	}
	wg.Wait()
	return h, failed
}

// cpuTime returns the processor time that the process has used.
func cpuTime() time.Duration {
	var usage syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// TestCost prints the latency and the processor time that an entry adds to a
// call, compared with calls that go directly to the upstreams.
func TestCost(t *testing.T) {
	if !*cost {
		t.Skip("run with -cost to measure")
	}
	g := gomega.NewWithT(t)
	b, stop := newBench(g, 512)
	defer stop()
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 512}}
	do := func(method, url string, header http.Header) error {
		req, err := http.NewRequest(method, url, bytes.NewReader([]byte("one pint")))
		if err != nil {
			return err
		}
		req.Header = header
		res, err := client.Do(req)
		if err != nil {
			return err
		}
		defer func() { _ = res.Body.Close() }()
		_, err = io.Copy(io.Discard, res.Body)
		return err
	}
	direct := func(i int) error {
		header := http.Header{}
		header.Set(upstream.HeaderQueue, "fast")
		header.Set(upstream.HeaderLease, "1m")
		return do(http.MethodPut, b.upstreams[i%4]+"/tasks/"+rand.Text(), header)
	}
	through := func(int) error {
		return do(http.MethodPost, b.callers+"/queues/fast/tasks", http.Header{})
	}
	const perSecond = 2000
	sendAtRate(perSecond, time.Second, direct)
	sendAtRate(perSecond, time.Second, through)
	directLatency, throughLatency := hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3), hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
	var directFailed, throughFailed int
	var usedDirect, usedThrough time.Duration
	// The two kinds of calls alternate, so that changes in the load of the
	// machine affect both alike.
	const rounds = 8
	for range rounds {
		used := cpuTime()
		part, failed := sendAtRate(perSecond, time.Second, direct)
		usedDirect += cpuTime() - used
		directLatency.Merge(part)
		directFailed += failed
		used = cpuTime()
		part, failed = sendAtRate(perSecond, time.Second, through)
		usedThrough += cpuTime() - used
		throughLatency.Merge(part)
		throughFailed += failed
	}
	fmt.Printf("direct:  p50 %d µs, p99 %d µs, failed %d\n", directLatency.ValueAtQuantile(50), directLatency.ValueAtQuantile(99), directFailed)
	fmt.Printf("through: p50 %d µs, p99 %d µs, failed %d\n", throughLatency.ValueAtQuantile(50), throughLatency.ValueAtQuantile(99), throughFailed)
	fmt.Printf("added:   p50 %d µs, p99 %d µs at %d requests a second; %.0f µs of processor time a task\n",
		throughLatency.ValueAtQuantile(50)-directLatency.ValueAtQuantile(50), throughLatency.ValueAtQuantile(99)-directLatency.ValueAtQuantile(99), perSecond,
		float64((usedThrough-usedDirect).Microseconds())/perSecond/rounds)
}

// TestWaitingMemory prints the memory that tasks use while they wait at an entry,
// each on a connection of its own. The callers run in the same process, but add
// little: each is a plain connection that has sent one request.
func TestWaitingMemory(t *testing.T) {
	if !*cost {
		t.Skip("run with -cost to measure")
	}
	g := gomega.NewWithT(t)
	b, stop := newBench(g, 1)
	defer stop()
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	const waiting = 5000
	body := strings.Repeat("x", 1024)
	var conns []net.Conn
	for range waiting {
		c, err := network.TCP{}.DialContext(t.Context(), "tcp", b.node.Callers().String())
		g.Expect(err).NotTo(gomega.HaveOccurred())
		conns = append(conns, c)
		_, err = fmt.Fprintf(c, "POST /queues/slow/tasks HTTP/1.1\r\nHost: entry\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
		g.Expect(err).NotTo(gomega.HaveOccurred())
	}
	g.Eventually(func() int { return b.node.Entry().Status().Queues["slow"] }, 20*time.Second).Should(gomega.BeNumerically(">=", waiting-8))
	runtime.GC()
	runtime.ReadMemStats(&after)
	fmt.Printf("%d tasks wait with 1 KB bodies, each on a connection: heap %d bytes a task, stacks %d bytes a task, %d goroutines\n", waiting,
		(int(after.HeapAlloc)-int(before.HeapAlloc))/waiting, (int(after.StackInuse)-int(before.StackInuse))/waiting, runtime.NumGoroutine())
	for _, c := range conns {
		_ = c.Close()
	}
}
