package demo_test

import (
	"bytes"
	"cmp"
	"context"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"github.com/samber/lo"

	"almondcove/demo"
	"almondcove/entry"
	"almondcove/standin"
)

// cutOff cuts a data centre's entries off from the other's and from the platform.
func cutOff(net *standin.Network) {
	net.Partition(demo.EastHost, demo.WestHost)
	net.Partition(demo.EastHost, demo.PlatformHost)
}

// slowTask is how long a task of the slow queue runs.
const slowTask = 500 * time.Millisecond

// TestDataCentreCutOff cuts the east off for five minutes under load that needs
// more than its own part of the limit.
func TestDataCentreCutOff(t *testing.T) {
	inMemory(t, func(g *gomega.WithT, d *demo.Demo, net *standin.Network) {
		stop := make(chan struct{})
		var all sync.WaitGroup
		var mu sync.Mutex
		answered := make(map[int]int)
		// 24 callers at the two entries of the east keep slow tasks waiting.
		for i := range 24 {
			all.Go(func() {
				for {
					select {
					case <-stop:
						return
					default:
					}
					r := post(d, i%2, d.Access.Slow, nil)
					mu.Lock()
					answered[r.status]++
					mu.Unlock()
				}
			})
		}
		rate := func() int {
			mu.Lock()
			n := answered[http.StatusOK]
			mu.Unlock()
			time.Sleep(10 * time.Second)
			mu.Lock()
			defer mu.Unlock()
			return answered[http.StatusOK] - n
		}
		time.Sleep(10 * time.Second)
		whole := rate()
		cutOff(net)
		// Loans from the west end, and the west gets its units back.
		time.Sleep(20 * time.Second)
		apart := time.Now()
		part := rate()
		r, err := change(d, 2, http.MethodPost, "/presets/peak/use", nil)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(r.Force.Missing).To(gomega.ConsistOf("east-a", "east-b"))
		g.Expect(d.Nodes[0].Entry().EffectiveConfig().Head.Preset).To(gomega.Equal("ordinary"))
		_, err = change(d, 0, http.MethodPost, "/presets/maintenance/use", nil)
		g.Expect(err).To(gomega.HaveOccurred())
		time.Sleep(4 * time.Minute)
		net.Heal()
		time.Sleep(30 * time.Second)
		for _, n := range d.Nodes {
			g.Expect(n.Entry().EffectiveConfig().Head.Preset).To(gomega.Equal("peak"))
		}
		again := rate()
		close(stop)
		all.Wait()
		started, _ := starts(d)
		alone := lo.Filter(started, func(s standin.TaskStart, _ int) bool {
			return !s.Time.Before(apart) && s.Time.Before(apart.Add(10*time.Second))
		})
		// The limit of 12 gives 240 starts in 10 s, the east's part of 6 half of them.
		g.Expect(whole).To(gomega.BeNumerically(">=", 228))
		g.Expect(part).To(gomega.BeNumerically(">=", 114))
		g.Expect(mostRunning(alone, slowTask)).To(gomega.BeNumerically("<=", 6))
		g.Expect(again).To(gomega.BeNumerically(">=", 228))
		g.Expect(answered).To(gomega.HaveLen(1), "%v", answered)
		g.Expect(mostRunning(started, slowTask)).To(gomega.BeNumerically("<=", 12))
	})
}

// mostRunning returns the greatest number of the started tasks that ran at
// once, given that each took that long.
func mostRunning(started []standin.TaskStart, took time.Duration) int {
	type edge struct {
		at time.Time
		n  int
	}
	var edges []edge
	for _, s := range started {
		edges = append(edges, edge{s.Time, 1}, edge{s.Time.Add(took), -1})
	}
	// Ends go before starts of the same moment.
	slices.SortFunc(edges, func(a, b edge) int { return cmp.Or(a.at.Compare(b.at), cmp.Compare(a.n, b.n)) })
	running, most := 0, 0
	for _, e := range edges {
		running += e.n
		most = max(most, running)
	}
	return most
}

// TestApartForAnHour counts what the first minute after an hour apart costs.
func TestApartForAnHour(t *testing.T) {
	inMemory(t, func(g *gomega.WithT, d *demo.Demo, net *standin.Network) {
		time.Sleep(time.Minute)
		usual := spentInMinute(d)
		cutOff(net)
		for _, preset := range []string{"peak", "ordinary", "peak"} {
			_, err := change(d, 2, http.MethodPost, "/presets/"+preset+"/use", nil)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			time.Sleep(20 * time.Minute)
		}
		net.Heal()
		first := spentInMinute(d)
		t.Logf("bytes and platform calls a minute: usual %v, first after an hour apart %v", usual, first)
		g.Expect(first[0]).To(gomega.BeNumerically("<", 3*usual[0]))
		g.Expect(first[1]).To(gomega.BeNumerically("<", 3*usual[1]))
		for _, n := range d.Nodes {
			g.Expect(n.Entry().EffectiveConfig().Head.Preset).To(gomega.Equal("peak"))
		}
	})
}

// spentInMinute returns the bytes between entries and the platform calls of a minute.
func spentInMinute(d *demo.Demo) [2]float64 {
	sum := func() (out [2]float64) {
		for _, n := range d.Nodes {
			families, err := n.Entry().MetricsGatherer().Gather()
			if err != nil {
				return out
			}
			for _, f := range families {
				for _, m := range f.GetMetric() {
					switch f.GetName() {
					case "almondcove_peer_sent_bytes_total":
						out[0] += m.GetCounter().GetValue()
					case "almondcove_platform_calls_total":
						out[1] += m.GetCounter().GetValue()
					}
				}
			}
		}
		return out
	}
	before := sum()
	time.Sleep(time.Minute)
	after := sum()
	return [2]float64{after[0] - before[0], after[1] - before[1]}
}

// TestNewEntryWhilePlatformIsDown starts an entry that can ask only its peers.
func TestNewEntryWhilePlatformIsDown(t *testing.T) {
	inMemory(t, func(g *gomega.WithT, d *demo.Demo, _ *standin.Network) {
		d.Platform.Fault("down", 5*time.Minute)
		_, err := d.Add("east-c", "east")
		g.Expect(err).NotTo(gomega.HaveOccurred())
		r := post(d, 4, d.Access.Queue, nil)
		g.Expect(r.status).To(gomega.Equal(http.StatusServiceUnavailable))
		g.Expect(r.run()).To(gomega.Equal("no"))
		g.Expect(r.header.Get("Retry-After")).NotTo(gomega.BeEmpty())
		time.Sleep(5 * time.Second)
		// It holds no seat and borrows what it needs.
		g.Expect(d.Nodes[4].Entry().Status().Seats).To(gomega.BeEmpty())
		r = post(d, 4, d.Access.Queue, nil)
		g.Expect(r.status).To(gomega.Equal(http.StatusOK), "%s", r.body)
		time.Sleep(6 * time.Minute)
		seats := 0
		for _, i := range []int{0, 1, 4} {
			n := len(d.Nodes[i].Entry().Status().Seats)
			g.Expect(n).To(gomega.BeNumerically(">=", 2))
			seats += n
		}
		g.Expect(seats).To(gomega.Equal(8))
	})
}

// TestLeaderDies kills the leader of the east and then changes the configuration
// through the west.
func TestLeaderDies(t *testing.T) {
	inMemory(t, func(g *gomega.WithT, d *demo.Demo, _ *standin.Network) {
		g.Expect(d.Nodes[0].Entry().Status().Leader).NotTo(gomega.BeEmpty())
		leader, other := 0, 1
		if d.Nodes[1].Entry().Status().Leader == "east-b" {
			leader, other = 1, 0
		}
		d.Nodes[leader].Kill()
		time.Sleep(15 * time.Second)
		self := d.Nodes[other].Entry().Self().Name
		g.Expect(d.Nodes[other].Entry().Status().Leader).To(gomega.Equal(self))
		r, err := change(d, 2, http.MethodPost, "/presets/peak/use", nil)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(r.Force).To(gomega.Equal(entry.Force{On: 3, Of: 3}))
	})
}

// TestBadInput sends what callers and operators may get wrong.
func TestBadInput(t *testing.T) {
	inMemory(t, func(g *gomega.WithT, d *demo.Demo, _ *standin.Network) {
		for _, c := range []struct {
			name   string
			queue  string
			header []string
			body   []byte
			status int
		}{
			{"unknown queue", "nope", nil, nil, 404},
			{"no key", "redeem", []string{"Authorization", ""}, nil, 401},
			{"not a bearer", "redeem", []string{"Authorization", "Basic x"}, nil, 401},
			{"unknown key", "redeem", []string{"Authorization", "Bearer a.b"}, nil, 401},
			{"unknown key on an open queue", "restock", []string{"Authorization", "Bearer a.b"}, nil, 401},
			{"another team's queue", "report", nil, nil, 403},
			{"body over the limit", "redeem", nil, make([]byte, 4<<20+1), 413},
			{"idempotency key without a key", "restock", []string{"Idempotency-Key", "k"}, nil, 400},
			{"bad deadline", "redeem", []string{"Task-Deadline", "soon"}, nil, 400},
			{"negative deadline", "redeem", []string{"Task-Deadline", "-1s"}, nil, 400},
			{"long idempotency key", "redeem", []string{"Idempotency-Key", string(bytes.Repeat([]byte("k"), 256))}, nil, 422},
		} {
			r := post(d, 0, c.queue, c.body, c.header...)
			g.Expect(r.status).To(gomega.Equal(c.status), c.name)
			g.Expect(r.run()).To(gomega.Equal("no"), c.name)
			g.Expect(r.header.Get("Content-Type")).To(gomega.Equal("application/problem+json"), c.name)
		}
		g.Expect(post(d, 0, "redeem", make([]byte, 4<<20)).status).To(gomega.Equal(http.StatusOK))
		all, _ := starts(d)
		g.Expect(all).To(gomega.HaveLen(1))
		bad := d.Operator(0)
		bad.Token = "x"
		g.Expect(bad.Do(context.Background(), http.MethodGet, "/status", nil, nil, &struct{}{})).To(gomega.MatchError(gomega.ContainSubstring("Unauthorized")))
		_, err := change(d, 0, http.MethodPut, "/teams/till", map[string]any{"share": 1, "limit": 2, "colour": 3})
		g.Expect(err).To(gomega.MatchError(gomega.ContainSubstring("unexpected property")))
	})
}

// TestQueueFull fills a queue and looks at the refusal.
func TestQueueFull(t *testing.T) {
	inMemory(t, func(g *gomega.WithT, d *demo.Demo, _ *standin.Network) {
		_, err := change(d, 0, http.MethodPut, "/queues/settle", map[string]any{
			"pool": "tokens", "class": "normal", "teams": []string{"festival"}, "lease": "10s", "wait": "2s", "depth": 3,
		})
		g.Expect(err).NotTo(gomega.HaveOccurred())
		var mu sync.Mutex
		var replies []reply
		var all sync.WaitGroup
		for range 40 {
			all.Go(func() {
				r := post(d, 0, d.Access.Slow, nil)
				mu.Lock()
				defer mu.Unlock()
				replies = append(replies, r)
			})
		}
		all.Wait()
		statuses := count(replies)
		g.Expect(statuses[http.StatusTooManyRequests]).To(gomega.BeNumerically(">", 20), "%v", statuses)
		for _, r := range replies {
			if r.status != http.StatusOK {
				g.Expect(r.run()).To(gomega.Equal("no"))
				g.Expect(r.header.Get("Retry-After")).NotTo(gomega.BeEmpty())
			}
		}
		ran, _ := starts(d)
		g.Expect(ran).To(gomega.HaveLen(statuses[http.StatusOK]))
	})
}

// TestSameNameTwice starts a second entry under the name of a running one, by
// mistake. The first keeps its seats, and the limit holds.
func TestSameNameTwice(t *testing.T) {
	inMemory(t, func(g *gomega.WithT, d *demo.Demo, _ *standin.Network) {
		_, err := d.Add("east-a", "east")
		g.Expect(err).NotTo(gomega.HaveOccurred())
		time.Sleep(2 * time.Minute)
		held := make(map[int]int)
		for _, i := range []int{0, 1, 4} {
			for _, seat := range d.Nodes[i].Entry().Status().Seats {
				held[seat]++
			}
		}
		g.Expect(held).To(gomega.HaveLen(8))
		for seat, n := range held {
			g.Expect(n).To(gomega.Equal(1), "seat %d", seat)
		}
	})
}

// TestRewindBeforeAnOutage takes the platform back to a time before an outage,
// whose leases have ended since.
func TestRewindBeforeAnOutage(t *testing.T) {
	inMemory(t, func(g *gomega.WithT, d *demo.Demo, _ *standin.Network) {
		time.Sleep(time.Minute)
		d.Platform.Fault("down", 30*time.Second)
		time.Sleep(30 * time.Second)
		// While answers are lost no entry is elected.
		d.Platform.Fault("lost", 10*time.Second)
		time.Sleep(5 * time.Second)
		d.Platform.Fault("rewind", 20*time.Second)
		time.Sleep(30 * time.Second)
		for _, n := range d.Nodes {
			g.Expect(n.Entry().Status().Leader).NotTo(gomega.BeEmpty())
			g.Expect(n.Entry().Status().Seats).To(gomega.HaveLen(4))
		}
	})
}

// TestOneWayLink loses what the east sends, while it still hears the others.
func TestOneWayLink(t *testing.T) {
	inMemory(t, func(g *gomega.WithT, d *demo.Demo, net *standin.Network) {
		net.PartitionOneWay(demo.EastHost, demo.WestHost)
		net.PartitionOneWay(demo.EastHost, demo.PlatformHost)
		time.Sleep(30 * time.Second)
		r, err := change(d, 2, http.MethodPost, "/presets/peak/use", nil)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(r.Force.Missing).To(gomega.ConsistOf("east-a", "east-b"))
		var replies []reply
		var all sync.WaitGroup
		for i := range 2 {
			all.Go(func() {
				for range 20 {
					replies = append(replies, post(d, i, d.Access.Queue, nil))
				}
			})
			all.Wait()
		}
		g.Expect(count(replies)).To(gomega.Equal(map[int]int{http.StatusOK: 40}))
		net.Heal()
		time.Sleep(20 * time.Second)
		for _, n := range d.Nodes {
			g.Expect(n.Entry().EffectiveConfig().Head.Preset).To(gomega.Equal("peak"))
			g.Expect(n.Entry().Status().Seats).To(gomega.HaveLen(4))
		}
	})
}

// TestSlowLinks puts 100 ms on every write between data centres and to the platform.
func TestSlowLinks(t *testing.T) {
	inMemory(t, func(g *gomega.WithT, d *demo.Demo, net *standin.Network) {
		// The shutdown has its own tests, and libraries may write under locks there,
		// which the paused clock can't see through.
		defer net.Heal()
		net.SetDelay(demo.EastHost, demo.WestHost, 100*time.Millisecond)
		net.SetDelay(demo.EastHost, demo.PlatformHost, 100*time.Millisecond)
		net.SetDelay(demo.WestHost, demo.PlatformHost, 100*time.Millisecond)
		time.Sleep(time.Minute)
		begun := time.Now()
		r, err := change(d, 0, http.MethodPost, "/presets/peak/use", nil)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(r.Force.Everywhere()).To(gomega.BeTrue(), "%v", r.Force)
		g.Expect(time.Since(begun)).To(gomega.BeNumerically("<", 18*time.Second))
		g.Expect(count(load(d, d.Access.Queue, 20*time.Millisecond, 5*time.Second))).To(gomega.Equal(map[int]int{http.StatusOK: 250}))
		for _, n := range d.Nodes {
			g.Expect(n.Entry().Status().Leader).NotTo(gomega.BeEmpty())
		}
	})
}

// TestSeatsAfterRewind moves seats to a third entry, takes the platform back to
// before that, and kills the third.
func TestSeatsAfterRewind(t *testing.T) {
	inMemory(t, func(g *gomega.WithT, d *demo.Demo, _ *standin.Network) {
		time.Sleep(time.Minute)
		_, err := d.Add("east-c", "east")
		g.Expect(err).NotTo(gomega.HaveOccurred())
		time.Sleep(30 * time.Second)
		g.Expect(len(d.Nodes[4].Entry().Status().Seats)).To(gomega.BeNumerically(">=", 2))
		d.Platform.Fault("rewind", 40*time.Second)
		time.Sleep(time.Second)
		d.Nodes[4].Kill()
		for range 90 {
			time.Sleep(time.Second)
			g.Expect(seatsOnce(d, 0, 1)).To(gomega.BeTrue())
		}
		g.Expect(len(d.Nodes[0].Entry().Status().Seats) + len(d.Nodes[1].Entry().Status().Seats)).To(gomega.Equal(8))
	})
}

// seatsOnce reports whether no seat is held by two of the entries.
func seatsOnce(d *demo.Demo, entries ...int) bool {
	held := make(map[int]bool)
	for _, i := range entries {
		for _, seat := range d.Nodes[i].Entry().Status().Seats {
			if held[seat] {
				return false
			}
			held[seat] = true
		}
	}
	return true
}
