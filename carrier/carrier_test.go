package carrier_test

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/onsi/gomega"

	"almondcove/carrier"
	"almondcove/schedule"
)

// fakeVMs answers calls after a time with a result.
type fakeVMs struct {
	mu     sync.Mutex
	calls  []string
	result schedule.Result
	took   time.Duration
}

func (v *fakeVMs) call(ctx context.Context, kind string, vm schedule.VM) schedule.Result {
	v.mu.Lock()
	v.calls = append(v.calls, kind+" "+vm.ID)
	result, took := v.result, v.took
	v.mu.Unlock()
	select {
	case <-time.After(took):
		return result
	case <-ctx.Done():
		return schedule.Unanswered
	}
}

// count returns the number of calls so far.
func (v *fakeVMs) count() int {
	v.mu.Lock()
	defer v.mu.Unlock()
	return len(v.calls)
}

func (v *fakeVMs) set(r schedule.Result, took time.Duration) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.result, v.took = r, took
}

func (v *fakeVMs) Hold(ctx context.Context, vm schedule.VM, h schedule.Hold) (schedule.Report, schedule.Result) {
	result := v.call(ctx, "hold", vm)
	select {
	case <-time.After(h.Wait):
		return schedule.Report{Clock: h.Until}, result
	case <-ctx.Done():
		return schedule.Report{}, schedule.Unanswered
	}
}

func (v *fakeVMs) Start(ctx context.Context, vm schedule.VM, _ schedule.Start) schedule.Result {
	return v.call(ctx, "start", vm)
}

func (v *fakeVMs) Stop(ctx context.Context, vm schedule.VM, _ schedule.Stop) schedule.Result {
	return v.call(ctx, "stop", vm)
}

func (v *fakeVMs) Pace(ctx context.Context, vm schedule.VM, _ schedule.Pace) schedule.Result {
	return v.call(ctx, "pace", vm)
}

// fakeCarrier is a carrier in memory. While it is frozen, nothing passes in either direction.
type fakeCarrier struct {
	vms     *fakeVMs
	mu      sync.Mutex
	frozen  bool
	batches int
}

func (c *fakeCarrier) freeze(frozen bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.frozen = frozen
}

func (c *fakeCarrier) isFrozen() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.frozen
}

// memoryStream is a stream in memory, with both of its ends.
type memoryStream struct {
	ctx     context.Context
	carrier *fakeCarrier
	calls   chan []carrier.Call
	replies chan []carrier.Reply
}

func (c *fakeCarrier) open(ctx context.Context) (carrier.Stream, error) {
	if c.isFrozen() {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	s := &memoryStream{ctx: ctx, carrier: c, calls: make(chan []carrier.Call, 64), replies: make(chan []carrier.Reply, 64)}
	go func() { _ = carrier.Serve(ctx, c.vms, memoryServer{s}) }()
	return s, nil
}

func (s *memoryStream) Send(calls []carrier.Call) error {
	s.carrier.mu.Lock()
	s.carrier.batches++
	s.carrier.mu.Unlock()
	s.calls <- calls
	return s.ctx.Err()
}

func (s *memoryStream) Receive() ([]carrier.Reply, error) {
	for {
		select {
		case r := <-s.replies:
			if !s.carrier.isFrozen() {
				return r, nil
			}
		case <-s.ctx.Done():
			return nil, s.ctx.Err()
		}
	}
}

type memoryServer struct{ stream *memoryStream }

func (s memoryServer) Send(replies []carrier.Reply) error {
	select {
	case s.stream.replies <- replies:
		return nil
	case <-s.stream.ctx.Done():
		return s.stream.ctx.Err()
	}
}

func (s memoryServer) Receive() ([]carrier.Call, error) {
	for {
		select {
		case calls := <-s.stream.calls:
			if !s.stream.carrier.isFrozen() {
				return calls, nil
			}
		case <-s.stream.ctx.Done():
			return nil, s.stream.ctx.Err()
		}
	}
}

// fixture is an owner's client with carriers.
type fixture struct {
	client   *carrier.Client
	direct   *fakeVMs
	carriers map[netip.AddrPort]*fakeCarrier
	entries  []carrier.Entry
}

// newFixture returns a client with that many carriers in the centre "east", whose links are up.
func newFixture(t *testing.T, carriers int) *fixture {
	f := &fixture{direct: &fakeVMs{}, carriers: make(map[netip.AddrPort]*fakeCarrier)}
	for i := range carriers {
		e := carrier.Entry{
			Name: fmt.Sprint("entry-", i), Run: "a", Centre: "east", Power: 800,
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 7000),
		}
		f.entries = append(f.entries, e)
		f.carriers[e.Address] = &fakeCarrier{vms: &fakeVMs{}}
	}
	f.client = carrier.New(carrier.Config{
		Direct: f.direct, Log: hclog.NewNullLogger(),
		Dial: func(ctx context.Context, to netip.AddrPort) (carrier.Stream, error) { return f.carriers[to].open(ctx) },
	})
	t.Cleanup(f.client.Close)
	f.client.SetEntries(f.entries)
	time.Sleep(100 * time.Millisecond)
	return f
}

func (f *fixture) hold(vm string) schedule.Result {
	ctx, cancel := context.WithTimeout(context.Background(), 1500*time.Millisecond)
	defer cancel()
	_, result := f.client.Hold(ctx, schedule.VM{ID: vm, Centre: "east"}, schedule.Hold{VM: vm, Wait: time.Second})
	return result
}

func (f *fixture) start(vm string) schedule.Result {
	ctx, cancel := context.WithTimeout(context.Background(), 1500*time.Millisecond)
	defer cancel()
	return f.client.Start(ctx, schedule.VM{ID: vm, Centre: "east"}, schedule.Start{VM: vm})
}

// carried returns the number of calls that carriers have made.
func (f *fixture) carried() int {
	n := 0
	for _, c := range f.carriers {
		n += c.vms.count()
	}
	return n
}

// TestCallsAreCarriedInBatches checks that carriers make the calls, few batches hold many of
// them, and that VMs of other data centres are called directly.
func TestCallsAreCarriedInBatches(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		f := newFixture(t, 2)
		g.Expect(f.client.Links()).To(gomega.Equal(2))
		var calls sync.WaitGroup
		for i := range 200 {
			calls.Go(func() { g.Expect(f.start(fmt.Sprint("vm-", i))).To(gomega.Equal(schedule.Accepted)) })
		}
		calls.Wait()
		g.Expect(f.direct.count()).To(gomega.BeZero())
		for _, c := range f.carriers {
			g.Expect(c.vms.count()).To(gomega.BeNumerically("~", 100, 30))
			g.Expect(c.batches).To(gomega.BeNumerically("<=", 2))
		}
		ctx := context.Background()
		g.Expect(f.client.Start(ctx, schedule.VM{ID: "w", Centre: "west"}, schedule.Start{})).To(gomega.Equal(schedule.Accepted))
		g.Expect(f.direct.count()).To(gomega.Equal(1))
	})
}

// TestFrozenCarrier guards against VMs that count as silent because the entry that carries
// their calls no longer answers. An owner tolerates one hold without an answer.
func TestFrozenCarrier(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		f := newFixture(t, 1)
		c := f.carriers[f.entries[0].Address]
		g.Expect(f.hold("vm")).To(gomega.Equal(schedule.Accepted))
		c.freeze(true)
		began := time.Now()
		g.Expect(f.hold("vm")).To(gomega.Equal(schedule.Accepted), "the lost hold is sent directly")
		g.Expect(time.Since(began)).To(gomega.BeNumerically("<", time.Second))
		g.Expect(f.direct.count()).To(gomega.Equal(1))
		g.Expect(f.client.Links()).To(gomega.BeZero())
		g.Expect(f.start("vm")).To(gomega.Equal(schedule.Accepted))
		g.Expect(f.direct.count()).To(gomega.Equal(2))
		c.freeze(false)
		time.Sleep(3 * time.Second)
		g.Expect(f.client.Links()).To(gomega.Equal(1), "the carrier is used again")
	})
}

// TestLostStartIsUnanswered guards against a start order that counts as not carried out, or
// is given a second time, although a lost carrier may have sent it.
func TestLostStartIsUnanswered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		f := newFixture(t, 1)
		c := f.carriers[f.entries[0].Address]
		c.vms.set(schedule.Accepted, time.Second)
		result := make(chan schedule.Result, 1)
		go func() { result <- f.start("vm") }()
		time.Sleep(100 * time.Millisecond)
		g.Expect(c.vms.count()).To(gomega.Equal(1))
		f.client.SetEntries(nil)
		g.Expect(<-result).To(gomega.Equal(schedule.Unanswered))
		g.Expect(f.direct.count()).To(gomega.BeZero())
	})
}

// TestWayAroundCarrier guards against VMs that count as silent because their carrier can't
// reach them, although the owner or another carrier can.
func TestWayAroundCarrier(t *testing.T) {
	for _, c := range []struct {
		name     string
		result   schedule.Result
		carriers int
	}{{"refused", schedule.Unsent, 1}, {"no answer", schedule.Unanswered, 1}, {"two carriers", schedule.Unanswered, 2}} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := gomega.NewWithT(t)
				f := newFixture(t, c.carriers)
				for _, carrier := range f.carriers {
					carrier.vms.set(c.result, time.Millisecond)
				}
				accepted := 0
				for range c.carriers + 1 {
					if f.hold("vm") == schedule.Accepted {
						accepted++
					}
				}
				g.Expect(accepted).To(gomega.BeNumerically(">=", 1))
				g.Expect(f.hold("vm")).To(gomega.Equal(schedule.Accepted), "the way that works is kept")
			})
		})
	}
}

// TestCallInvalid guards against a carrier that is stopped by a call without an order.
func TestCallInvalid(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		ctx, cancel := context.WithCancel(t.Context())
		s := &memoryStream{ctx: ctx, carrier: &fakeCarrier{}, calls: make(chan []carrier.Call, 1), replies: make(chan []carrier.Reply, 9)}
		done := make(chan error, 1)
		go func() { done <- carrier.Serve(ctx, &fakeVMs{}, memoryServer{s}) }()
		g.Expect(<-s.replies).To(gomega.BeEmpty(), "the carrier announces itself")
		s.calls <- []carrier.Call{{Number: 7, Timeout: time.Second}}
		g.Expect(<-s.replies).To(gomega.Equal([]carrier.Reply{{Number: 7, Result: schedule.Unsent}}))
		cancel()
		g.Expect(errors.Is(<-done, context.Canceled)).To(gomega.BeTrue())
	})
}

// TestLargeBatchesAreDivided guards against a batch that exceeds what a stream accepts, so that
// the stream fails again and again.
func TestLargeBatchesAreDivided(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		f := newFixture(t, 1)
		var calls sync.WaitGroup
		spec := string(make([]byte, 200<<10))
		for i := range 20 {
			calls.Go(func() {
				vm := schedule.VM{ID: fmt.Sprint("vm-", i), Centre: "east"}
				ctx, cancel := context.WithTimeout(t.Context(), time.Second)
				defer cancel()
				g.Expect(f.client.Start(ctx, vm, schedule.Start{VM: vm.ID, Spec: spec})).To(gomega.Equal(schedule.Accepted))
			})
		}
		calls.Wait()
		c := f.carriers[f.entries[0].Address]
		g.Expect(c.vms.count()).To(gomega.Equal(20))
		g.Expect(c.batches).To(gomega.Equal(10), "batches of two")
	})
}

// TestChoose checks how many entries of each data centre are chosen, and that they are the
// most powerful ones.
func TestChoose(t *testing.T) {
	entry := func(name, centre string, power int) carrier.Entry {
		return carrier.Entry{Name: name, Centre: centre, Power: power}
	}
	entries := []carrier.Entry{entry("a", "east", 200), entry("b", "east", 800), entry("c", "east", 800), entry("d", "west", 200)}
	for _, c := range []struct {
		name  string
		vms   map[string]int
		names []string
	}{
		{"small fleet", map[string]int{"east": 300, "west": 100}, nil},
		{"one a centre", map[string]int{"east": 128, "west": 500}, []string{"b", "d"}},
		{"two in the east", map[string]int{"east": 129, "west": 300}, []string{"b", "c", "d"}},
		{"more than there are", map[string]int{"east": 4000, "north": 10}, []string{"b", "c", "a"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			var names []string
			for _, e := range carrier.Choose(entries, c.vms, 400) {
				names = append(names, e.Name)
			}
			gomega.NewWithT(t).Expect(names).To(gomega.Equal(c.names))
		})
	}
}

// TestAssignment checks that the calls are shared in proportion to the power of the carriers,
// and that only the VMs of a lost carrier get another one.
func TestAssignment(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		f := newFixture(t, 3)
		f.entries[0].Power = 200
		f.client.SetEntries(f.entries)
		time.Sleep(time.Second)
		const vms = 2000
		carriers := func() map[string]string {
			out := make(map[string]string)
			for i := range vms {
				id := fmt.Sprint("vm-", i)
				out[id] = f.client.Carrier(schedule.VM{ID: id, Centre: "east"})
			}
			return out
		}
		before, shares := carriers(), make(map[string]int)
		for _, name := range before {
			shares[name]++
		}
		g.Expect(shares["entry-0"]).To(gomega.BeNumerically("~", vms/9, vms/30))
		g.Expect(shares["entry-1"]).To(gomega.BeNumerically("~", vms*4/9, vms/20))
		f.client.SetEntries(f.entries[:2])
		for id, name := range carriers() {
			if before[id] != "entry-2" {
				g.Expect(name).To(gomega.Equal(before[id]), id)
			}
			g.Expect(name).To(gomega.BeElementOf("entry-0", "entry-1"))
		}
	})
}
