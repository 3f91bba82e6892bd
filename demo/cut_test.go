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

// isolateEast cuts the connections between the entries of the east and those of the
// west, and between the east and the platform.
func isolateEast(net *standin.Network) {
	net.Partition(demo.EastHost, demo.WestHost)
	net.Partition(demo.EastHost, demo.PlatformHost)
}

// slowTaskDuration is how long a task of the slow queue runs on an upstream stand-in.
const slowTaskDuration = 500 * time.Millisecond

// TestDataCentreCutOff guards against a data centre that stops running tasks, or that
// exceeds its part of a limit, while it is cut off from the other one and from the
// platform. The east is cut off for about five minutes, under load that needs more than
// its own part of the limit. Meanwhile, changes through the east are refused, and a change
// through the west must reach the east afterwards.
func TestDataCentreCutOff(t *testing.T) {
	runInMemory(t, func(g *gomega.WithT, d *demo.Demo, net *standin.Network) {
		stop := make(chan struct{})
		var wg sync.WaitGroup
		var mu sync.Mutex
		replyCounts := make(map[int]int)
		// 24 callers at the two entries of the east keep slow tasks waiting.
		for i := range 24 {
			wg.Go(func() {
				for {
					select {
					case <-stop:
						return
					default:
					}
					r := post(d, i%2, d.Access.SlowQueue, nil)
					mu.Lock()
					replyCounts[r.status]++
					mu.Unlock()
				}
			})
		}
		measureThroughput := func() int {
			mu.Lock()
			n := replyCounts[http.StatusOK]
			mu.Unlock()
			time.Sleep(10 * time.Second)
			mu.Lock()
			defer mu.Unlock()
			return replyCounts[http.StatusOK] - n
		}
		time.Sleep(10 * time.Second)
		throughputBefore := measureThroughput()
		isolateEast(net)
		// Meanwhile the loans from the west end, and the west gets its units back.
		time.Sleep(20 * time.Second)
		cutAt := time.Now()
		throughputDuring := measureThroughput()
		r, err := applyChange(d, 2, http.MethodPost, "/presets/peak/use", nil)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(r.Force.Missing).To(gomega.ConsistOf("east-a", "east-b"))
		g.Expect(d.Nodes[0].Entry().EffectiveConfig().Head.Preset).To(gomega.Equal("ordinary"))
		_, err = applyChange(d, 0, http.MethodPost, "/presets/maintenance/use", nil)
		g.Expect(err).To(gomega.HaveOccurred())
		time.Sleep(4 * time.Minute)
		net.Heal()
		time.Sleep(30 * time.Second)
		for _, n := range d.Nodes {
			g.Expect(n.Entry().EffectiveConfig().Head.Preset).To(gomega.Equal("peak"))
		}
		throughputAfter := measureThroughput()
		close(stop)
		wg.Wait()
		started, _ := starts(d)
		startsDuring := lo.Filter(started, func(s standin.TaskStart, _ int) bool {
			return !s.Time.Before(cutAt) && s.Time.Before(cutAt.Add(10*time.Second))
		})
		// The limit of 12 allows 240 starts in 10 s; the east's part of 6 allows 120.
		g.Expect(throughputBefore).To(gomega.BeNumerically(">=", 228))
		g.Expect(throughputDuring).To(gomega.BeNumerically(">=", 114))
		g.Expect(maxConcurrent(startsDuring, slowTaskDuration)).To(gomega.BeNumerically("<=", 6))
		g.Expect(throughputAfter).To(gomega.BeNumerically(">=", 228))
		g.Expect(replyCounts).To(gomega.HaveLen(1), "%v", replyCounts)
		g.Expect(maxConcurrent(started, slowTaskDuration)).To(gomega.BeNumerically("<=", 12))
	})
}

// maxConcurrent returns the greatest number of started tasks that ran at once, given
// that each ran for the same duration.
func maxConcurrent(started []standin.TaskStart, duration time.Duration) int {
	type change struct {
		at    time.Time
		delta int
	}
	var changes []change
	for _, s := range started {
		changes = append(changes, change{s.Time, 1}, change{s.Time.Add(duration), -1})
	}
	// At the same time, ends sort before starts.
	slices.SortFunc(changes, func(a, b change) int { return cmp.Or(a.at.Compare(b.at), cmp.Compare(a.delta, b.delta)) })
	running, highest := 0, 0
	for _, c := range changes {
		running += c.delta
		highest = max(highest, running)
	}
	return highest
}

// TestApartForAnHour guards against a burst of messages and platform calls when two data
// centres are connected again after an hour in which the configuration changed: the first
// minute may cost less than three times a usual minute.
func TestApartForAnHour(t *testing.T) {
	runInMemory(t, func(g *gomega.WithT, d *demo.Demo, net *standin.Network) {
		time.Sleep(time.Minute)
		usual := trafficInNextMinute(d)
		isolateEast(net)
		for _, preset := range []string{"peak", "ordinary", "peak"} {
			_, err := applyChange(d, 2, http.MethodPost, "/presets/"+preset+"/use", nil)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			time.Sleep(20 * time.Minute)
		}
		net.Heal()
		afterHeal := trafficInNextMinute(d)
		t.Logf("bytes and platform calls a minute: usual %v, first after an hour apart %v", usual, afterHeal)
		g.Expect(afterHeal[0]).To(gomega.BeNumerically("<", 3*usual[0]))
		g.Expect(afterHeal[1]).To(gomega.BeNumerically("<", 3*usual[1]))
		for _, n := range d.Nodes {
			g.Expect(n.Entry().EffectiveConfig().Head.Preset).To(gomega.Equal("peak"))
		}
	})
}

// trafficInNextMinute waits a minute. It returns the bytes sent between entries and the
// number of platform calls during that minute.
func trafficInNextMinute(d *demo.Demo) [2]float64 {
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

// TestNewEntryWhilePlatformIsDown guards against a new entry that cannot serve while the
// platform is down. It must fetch the configuration from its peers. Until then it refuses
// tasks as not run. Once the platform is back, it must get its part of the seats.
func TestNewEntryWhilePlatformIsDown(t *testing.T) {
	runInMemory(t, func(g *gomega.WithT, d *demo.Demo, _ *standin.Network) {
		d.Platform.Fault("down", 5*time.Minute)
		_, err := d.AddEntry("east-c", "east")
		g.Expect(err).NotTo(gomega.HaveOccurred())
		r := post(d, 4, d.Access.Queue, nil)
		g.Expect(r.status).To(gomega.Equal(http.StatusServiceUnavailable))
		g.Expect(r.runMember()).To(gomega.Equal("no"))
		g.Expect(r.header.Get("Retry-After")).NotTo(gomega.BeEmpty())
		time.Sleep(5 * time.Second)
		// The new entry holds no seat and borrows the units that it needs.
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

// TestLeaderDies guards against a data centre that stays without a leader after its leader
// crashed, and against a change that waits for the crashed entry to put it in force.
func TestLeaderDies(t *testing.T) {
	runInMemory(t, func(g *gomega.WithT, d *demo.Demo, _ *standin.Network) {
		g.Expect(d.Nodes[0].Entry().Status().Leader).NotTo(gomega.BeEmpty())
		leader, other := 0, 1
		if d.Nodes[1].Entry().Status().Leader == "east-b" {
			leader, other = 1, 0
		}
		d.Nodes[leader].Kill()
		time.Sleep(15 * time.Second)
		self := d.Nodes[other].Entry().Self().Name
		g.Expect(d.Nodes[other].Entry().Status().Leader).To(gomega.Equal(self))
		r, err := applyChange(d, 2, http.MethodPost, "/presets/peak/use", nil)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(r.Force).To(gomega.Equal(entry.Force{On: 3, Of: 3}))
	})
}

// TestBadInput guards against invalid requests of callers and operators that are carried
// out, or that are refused with the wrong status or without a problem document. It also
// guards against the refusal of a body that is exactly as large as allowed.
func TestBadInput(t *testing.T) {
	runInMemory(t, func(g *gomega.WithT, d *demo.Demo, _ *standin.Network) {
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
			g.Expect(r.runMember()).To(gomega.Equal("no"), c.name)
			g.Expect(r.header.Get("Content-Type")).To(gomega.Equal("application/problem+json"), c.name)
		}
		g.Expect(post(d, 0, "redeem", make([]byte, 4<<20)).status).To(gomega.Equal(http.StatusOK))
		started, _ := starts(d)
		g.Expect(started).To(gomega.HaveLen(1))
		badClient := d.OperatorClient(0)
		badClient.Token = "x"
		g.Expect(badClient.Do(context.Background(), http.MethodGet, "/status", nil, nil, &struct{}{})).To(gomega.MatchError(gomega.ContainSubstring("Unauthorized")))
		_, err := applyChange(d, 0, http.MethodPut, "/teams/till", map[string]any{"share": 1, "limit": 2, "colour": 3})
		g.Expect(err).To(gomega.MatchError(gomega.ContainSubstring("unexpected property")))
	})
}

// TestQueueFull guards against a queue that takes more tasks than its depth, and against
// refusals that are wrong about whether the task ran or lack Retry-After.
func TestQueueFull(t *testing.T) {
	runInMemory(t, func(g *gomega.WithT, d *demo.Demo, _ *standin.Network) {
		_, err := applyChange(d, 0, http.MethodPut, "/queues/settle", map[string]any{
			"pool": "tokens", "class": "normal", "teams": []string{"festival"}, "lease": "10s", "wait": "2s", "depth": 3,
		})
		g.Expect(err).NotTo(gomega.HaveOccurred())
		var mu sync.Mutex
		var replies []reply
		var wg sync.WaitGroup
		for range 40 {
			wg.Go(func() {
				r := post(d, 0, d.Access.SlowQueue, nil)
				mu.Lock()
				defer mu.Unlock()
				replies = append(replies, r)
			})
		}
		wg.Wait()
		statuses := countByStatus(replies)
		g.Expect(statuses[http.StatusTooManyRequests]).To(gomega.BeNumerically(">", 20), "%v", statuses)
		for _, r := range replies {
			if r.status != http.StatusOK {
				g.Expect(r.runMember()).To(gomega.Equal("no"))
				g.Expect(r.header.Get("Retry-After")).NotTo(gomega.BeEmpty())
			}
		}
		started, _ := starts(d)
		g.Expect(started).To(gomega.HaveLen(statuses[http.StatusOK]))
	})
}

// TestSameNameTwice guards against a seat with two holders, and so against an exceeded
// limit, when a second entry is started by mistake under the name of a running one. The
// first entry keeps its seats.
func TestSameNameTwice(t *testing.T) {
	runInMemory(t, func(g *gomega.WithT, d *demo.Demo, _ *standin.Network) {
		_, err := d.AddEntry("east-a", "east")
		g.Expect(err).NotTo(gomega.HaveOccurred())
		time.Sleep(2 * time.Minute)
		holders := make(map[int]int)
		for _, i := range []int{0, 1, 4} {
			for _, seat := range d.Nodes[i].Entry().Status().Seats {
				holders[seat]++
			}
		}
		g.Expect(holders).To(gomega.HaveLen(8))
		for seat, n := range holders {
			g.Expect(n).To(gomega.Equal(1), "seat %d", seat)
		}
	})
}

// TestRewindBeforeAnOutage guards against data centres without a leader, or entries
// without their seats, when the platform goes back to a state before an outage. The
// leases in that state have ended since.
func TestRewindBeforeAnOutage(t *testing.T) {
	runInMemory(t, func(g *gomega.WithT, d *demo.Demo, _ *standin.Network) {
		time.Sleep(time.Minute)
		d.Platform.Fault("down", 30*time.Second)
		time.Sleep(30 * time.Second)
		// No entry can be elected while the platform does not answer writes.
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

// TestOneWayLink guards against a link that fails in one direction only: the others get
// nothing that the east sends, but the east still gets what they send. Meanwhile the east
// must run tasks, and a change must report its entries as missing.
func TestOneWayLink(t *testing.T) {
	runInMemory(t, func(g *gomega.WithT, d *demo.Demo, net *standin.Network) {
		net.PartitionOneWay(demo.EastHost, demo.WestHost)
		net.PartitionOneWay(demo.EastHost, demo.PlatformHost)
		time.Sleep(30 * time.Second)
		r, err := applyChange(d, 2, http.MethodPost, "/presets/peak/use", nil)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(r.Force.Missing).To(gomega.ConsistOf("east-a", "east-b"))
		var replies []reply
		var wg sync.WaitGroup
		for i := range 2 {
			wg.Go(func() {
				for range 20 {
					replies = append(replies, post(d, i, d.Access.Queue, nil))
				}
			})
			wg.Wait()
		}
		g.Expect(countByStatus(replies)).To(gomega.Equal(map[int]int{http.StatusOK: 40}))
		net.Heal()
		time.Sleep(20 * time.Second)
		for _, n := range d.Nodes {
			g.Expect(n.Entry().EffectiveConfig().Head.Preset).To(gomega.Equal("peak"))
			g.Expect(n.Entry().Status().Seats).To(gomega.HaveLen(4))
		}
	})
}

// TestSlowLinks guards against changes, tasks or leader elections that fail when each
// write between data centres or to the platform takes 100 ms longer.
func TestSlowLinks(t *testing.T) {
	runInMemory(t, func(g *gomega.WithT, d *demo.Demo, net *standin.Network) {
		// Remove the delays before the shutdown, which has its own tests. During the
		// shutdown, libraries may write while they hold locks, and the fake clock does
		// not advance while a goroutine is blocked on a lock.
		defer net.Heal()
		net.SetDelay(demo.EastHost, demo.WestHost, 100*time.Millisecond)
		net.SetDelay(demo.EastHost, demo.PlatformHost, 100*time.Millisecond)
		net.SetDelay(demo.WestHost, demo.PlatformHost, 100*time.Millisecond)
		time.Sleep(time.Minute)
		start := time.Now()
		r, err := applyChange(d, 0, http.MethodPost, "/presets/peak/use", nil)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(r.Force.Everywhere()).To(gomega.BeTrue(), "%v", r.Force)
		g.Expect(time.Since(start)).To(gomega.BeNumerically("<", 18*time.Second))
		g.Expect(countByStatus(generateLoad(d, d.Access.Queue, 20*time.Millisecond, 5*time.Second))).To(gomega.Equal(map[int]int{http.StatusOK: 250}))
		for _, n := range d.Nodes {
			g.Expect(n.Entry().Status().Leader).NotTo(gomega.BeEmpty())
		}
	})
}

// TestSeatsAfterRewind guards against a seat with two holders after a rewind: seats move
// to a third entry, the platform goes back to its state before that, and the third entry
// crashes. Later the other two must hold all seats.
func TestSeatsAfterRewind(t *testing.T) {
	runInMemory(t, func(g *gomega.WithT, d *demo.Demo, _ *standin.Network) {
		time.Sleep(time.Minute)
		_, err := d.AddEntry("east-c", "east")
		g.Expect(err).NotTo(gomega.HaveOccurred())
		time.Sleep(30 * time.Second)
		g.Expect(len(d.Nodes[4].Entry().Status().Seats)).To(gomega.BeNumerically(">=", 2))
		d.Platform.Fault("rewind", 40*time.Second)
		time.Sleep(time.Second)
		d.Nodes[4].Kill()
		for range 90 {
			time.Sleep(time.Second)
			g.Expect(noSeatHeldTwice(d, 0, 1)).To(gomega.BeTrue())
		}
		g.Expect(len(d.Nodes[0].Entry().Status().Seats) + len(d.Nodes[1].Entry().Status().Seats)).To(gomega.Equal(8))
	})
}

// noSeatHeldTwice reports whether each seat is held by at most one of the entries.
func noSeatHeldTwice(d *demo.Demo, entries ...int) bool {
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
