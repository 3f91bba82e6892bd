package demo_test

import (
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"almondcove/demo"
	"almondcove/entry"
	"almondcove/standin"
)

// TestUpstreamFaults sets one fault on every upstream at once, in the middle of
// a steady load, and looks at the outcomes. Tasks of queue "redeem" are not
// idempotent: none may start twice, whatever happens. The faults are shorter
// than the tasks' lease.
func TestUpstreamFaults(t *testing.T) {
	for _, c := range []struct {
		kind string
		// allowed are the statuses that callers may see.
		allowed []int
		// whole is true when every caller must get its answer.
		whole bool
	}{
		{kind: "silent", allowed: []int{200}, whole: true},
		{kind: "slow", allowed: []int{200}, whole: true},
		{kind: "crossed", allowed: []int{200}, whole: true},
		{kind: "cut", allowed: []int{200}, whole: true},
		{kind: "busy", allowed: []int{200}, whole: true},
		{kind: "pause", allowed: []int{200}, whole: true},
		{kind: "leaving", allowed: []int{200, 503}},
		{kind: "fail", allowed: []int{200, 502}},
	} {
		t.Run(c.kind, func(t *testing.T) {
			inMemory(t, func(g *gomega.WithT, d *demo.Demo, _ *standin.Network) {
				var replies []reply
				var loading sync.WaitGroup
				loading.Go(func() { replies = load(d, d.Access.Queue, 20*time.Millisecond, 10*time.Second) })
				time.Sleep(2 * time.Second)
				for _, u := range d.Upstreams {
					u.Fault(c.kind, 2500*time.Millisecond)
				}
				loading.Wait()
				statuses := count(replies)
				all, byTask := starts(d)
				for id, n := range byTask {
					g.Expect(n).To(gomega.Equal(1), id)
				}
				g.Expect(replies).To(gomega.HaveLen(500))
				for status, n := range statuses {
					g.Expect(c.allowed).To(gomega.ContainElement(status), "%v", statuses)
					if c.whole {
						g.Expect(n).To(gomega.Equal(500), "%v", statuses)
					}
				}
				ran := 0
				for _, r := range replies {
					if r.status == http.StatusOK || r.run() == "yes" {
						ran++
					}
				}
				// A refusal that says "not run" is true: what ran is what was said to.
				g.Expect(all).To(gomega.HaveLen(ran))
			})
		})
	}
}

// TestOneBadUpstream fails one of the four VMs of a pool for good.
func TestOneBadUpstream(t *testing.T) {
	for _, kind := range []string{"fail", "pause", "silent", "busy", "leaving"} {
		t.Run(kind, func(t *testing.T) {
			inMemory(t, func(g *gomega.WithT, d *demo.Demo, _ *standin.Network) {
				d.Upstreams[0].Fault(kind, 0)
				replies := load(d, d.Access.Queue, 10*time.Millisecond, 20*time.Second)
				bad := len(d.Upstreams[0].Starts())
				statuses := count(replies)
				lost := len(replies) - statuses[http.StatusOK]
				if kind == "silent" {
					// Only connections of the past are dead; all tasks run.
					g.Expect(lost).To(gomega.Equal(0), "%v", statuses)
					return
				}
				if kind == "fail" {
					g.Expect(statuses[http.StatusBadGateway]).To(gomega.Equal(bad))
				}
				// Four entries learn of it, each within 50 tasks of which under
				// 1 % of all go there.
				g.Expect(bad).To(gomega.BeNumerically("<", 4*(50+len(replies)/400)))
				g.Expect(lost).To(gomega.BeNumerically("<=", 60), "%v", statuses)
				_, byTask := starts(d)
				for id, n := range byTask {
					g.Expect(n).To(gomega.Equal(1), id)
				}
			})
		})
	}
}

// TestLimitHolds floods the entries with slow tasks of a team with limit 12.
func TestLimitHolds(t *testing.T) {
	inMemory(t, func(g *gomega.WithT, d *demo.Demo, _ *standin.Network) {
		var all sync.WaitGroup
		for i := range 400 {
			// One entry gets nearly all arrivals.
			to := 0
			if i%20 == 0 {
				to = i / 20 % 4
			}
			all.Go(func() { post(d, to, d.Access.Slow, nil) })
		}
		all.Wait()
		running, most := 0, 0
		full := 0
		begun, _ := starts(d)
		// Each start runs for half a second.
		for _, s := range begun {
			running = 0
			for _, other := range begun {
				if !other.Time.After(s.Time) && other.Time.Add(500*time.Millisecond).After(s.Time) {
					running++
				}
			}
			most = max(most, running)
			if running == 12 {
				full++
			}
		}
		g.Expect(most).To(gomega.BeNumerically("<=", 12))
		g.Expect(full).To(gomega.BeNumerically(">", 300))
	})
}

// TestKilledEntry crashes one of two entries of a data centre.
func TestKilledEntry(t *testing.T) {
	inMemory(t, func(g *gomega.WithT, d *demo.Demo, _ *standin.Network) {
		var replies []reply
		var loading sync.WaitGroup
		loading.Go(func() { replies = load(d, d.Access.Queue, 20*time.Millisecond, 10*time.Second) })
		time.Sleep(2 * time.Second)
		d.Nodes[1].Kill()
		loading.Wait()
		for i, r := range replies {
			g.Expect(r.err != nil || r.status == http.StatusOK).To(gomega.BeTrue(), "task %d: %d %s", i, r.status, r.body)
		}
		g.Expect(count(replies)[http.StatusOK]).To(gomega.BeNumerically(">", 370))
		g.Expect(d.Nodes[0].Entry().Status().Seats).To(gomega.HaveLen(4))
		// Its seats come back once all that it lent or started has ended.
		time.Sleep(time.Minute)
		g.Expect(d.Nodes[0].Entry().Status().Seats).To(gomega.HaveLen(8))
	})
}

// TestKeyedOnce sends the same idempotency key through two entries at once.
func TestKeyedOnce(t *testing.T) {
	for _, fault := range []string{"", "lost", "slow"} {
		t.Run("platform "+fault, func(t *testing.T) {
			inMemory(t, func(g *gomega.WithT, d *demo.Demo, _ *standin.Network) {
				if fault != "" {
					d.Platform.Fault(fault, time.Minute)
				}
				var replies [4]reply
				var all sync.WaitGroup
				for i := range replies {
					all.Go(func() {
						replies[i] = post(d, i, d.Access.Slow, []byte("pay once"), "Idempotency-Key", "k1")
					})
				}
				all.Wait()
				for _, r := range replies {
					g.Expect(r.status).To(gomega.Equal(http.StatusOK), "%s", r.body)
					g.Expect(r.body).To(gomega.Equal(replies[0].body))
				}
				begun, _ := starts(d)
				g.Expect(begun).To(gomega.HaveLen(1))
				again := post(d, 2, d.Access.Slow, []byte("pay once"), "Idempotency-Key", "k1")
				g.Expect(again.body).To(gomega.Equal(replies[0].body))
				reused := post(d, 3, d.Access.Slow, []byte("pay twice"), "Idempotency-Key", "k1")
				g.Expect(reused.status).To(gomega.Equal(http.StatusUnprocessableEntity))
				g.Expect(reused.run()).To(gomega.Equal("no"))
				other := post(d, 2, d.Access.Slow, []byte("pay once"), "Idempotency-Key", "k2")
				g.Expect(other.status).To(gomega.Equal(http.StatusOK))
				g.Expect(other.body).NotTo(gomega.Equal(replies[0].body))
			})
		})
	}
}

// TestKeyedNeedsPlatform refuses what can't be claimed.
func TestKeyedNeedsPlatform(t *testing.T) {
	inMemory(t, func(g *gomega.WithT, d *demo.Demo, _ *standin.Network) {
		d.Platform.Fault("down", time.Minute)
		r := post(d, 0, d.Access.Queue, nil, "Idempotency-Key", "k1")
		g.Expect(r.status).To(gomega.Equal(http.StatusConflict))
		g.Expect(r.run()).To(gomega.Equal("no"))
		g.Expect(r.header.Get("Retry-After")).NotTo(gomega.BeEmpty())
		begun, _ := starts(d)
		g.Expect(begun).To(gomega.BeEmpty())
		d.Platform.Clear()
		r = post(d, 1, d.Access.Queue, nil, "Idempotency-Key", "k1")
		g.Expect(r.status).To(gomega.Equal(http.StatusOK))
	})
}

// TestFencedTaskRunsOnItsOnlyVM makes the connections of a pool with one VM a
// data centre go dead under load. Tasks that were fenced there run there later.
func TestFencedTaskRunsOnItsOnlyVM(t *testing.T) {
	inMemory(t, func(g *gomega.WithT, d *demo.Demo, _ *standin.Network) {
		_, err := change(d, 0, http.MethodPost, "/centres/west/out", nil)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		var replies []reply
		var loading sync.WaitGroup
		loading.Go(func() { replies = load(d, d.Access.Open, 10*time.Millisecond, 6*time.Second) })
		for range 5 {
			time.Sleep(time.Second)
			// east-3 is the only VM that runs the queue now.
			d.Upstreams[2].Fault("silent", time.Millisecond)
		}
		loading.Wait()
		g.Expect(count(replies)).To(gomega.Equal(map[int]int{http.StatusOK: 600}))
	})
}

// TestPoisonTask sends a task to a pool in which every VM fails it.
func TestPoisonTask(t *testing.T) {
	inMemory(t, func(g *gomega.WithT, d *demo.Demo, _ *standin.Network) {
		// The retries that one task may use are earned by others.
		g.Expect(count(load(d, d.Access.Open, 10*time.Millisecond, time.Second))).To(gomega.Equal(map[int]int{http.StatusOK: 100}))
		for _, u := range d.Upstreams {
			u.Fault("fail", 0)
		}
		before, _ := starts(d)
		begun := time.Now()
		r := post(d, 0, d.Access.Open, nil)
		g.Expect(r.status).To(gomega.Equal(http.StatusBadGateway))
		g.Expect(r.run()).To(gomega.Equal("yes"))
		g.Expect(string(r.body)).To(gomega.ContainSubstring("can never run"))
		g.Expect(time.Since(begun)).To(gomega.BeNumerically("<", time.Second))
		after, _ := starts(d)
		g.Expect(len(after) - len(before)).To(gomega.BeNumerically("<=", 3))
	})
}

// TestHopelessDeadlineIsRefusedAtOnce asks for a start that the tasks before
// it make impossible.
func TestHopelessDeadlineIsRefusedAtOnce(t *testing.T) {
	inMemory(t, func(g *gomega.WithT, d *demo.Demo, _ *standin.Network) {
		var all sync.WaitGroup
		for range 200 {
			all.Go(func() { post(d, 0, d.Access.Slow, nil) })
		}
		time.Sleep(3 * time.Second)
		begun := time.Now()
		r := post(d, 0, d.Access.Slow, nil, "Task-Deadline", "1s")
		g.Expect(r.status).To(gomega.Equal(http.StatusServiceUnavailable))
		g.Expect(r.run()).To(gomega.Equal("no"))
		g.Expect(r.header.Get("Retry-After")).NotTo(gomega.BeEmpty())
		g.Expect(time.Since(begun)).To(gomega.BeNumerically("<", 100*time.Millisecond))
		all.Wait()
	})
}

// TestLimitIsUsable sends all of a team's tasks through one of four entries. At
// least 95 % of the limit of 12 are in use within 2 s, and stay so.
func TestLimitIsUsable(t *testing.T) {
	inMemory(t, func(g *gomega.WithT, d *demo.Demo, _ *standin.Network) {
		begun := time.Now()
		var all sync.WaitGroup
		for range 300 {
			all.Go(func() { post(d, 0, d.Access.Slow, nil) })
		}
		all.Wait()
		begins, _ := starts(d)
		for at := 2 * time.Second; at < 11*time.Second; at += 100 * time.Millisecond {
			running := 0
			for _, s := range begins {
				since := begun.Add(at).Sub(s.Time)
				if since >= 0 && since < 505*time.Millisecond {
					running++
				}
			}
			g.Expect(running).To(gomega.BeNumerically(">=", 0.95*12), at.String())
		}
	})
}

// TestLeavingUpstreamGetsNothing tells of a leaving VM in each way there is.
func TestLeavingUpstreamGetsNothing(t *testing.T) {
	for name, tell := range map[string]func(g *gomega.WithT, d *demo.Demo){
		"refusal": func(_ *gomega.WithT, d *demo.Demo) { d.Upstreams[0].Fault("leaving", 0) },
		"mark": func(g *gomega.WithT, d *demo.Demo) {
			_, err := change(d, 3, http.MethodPost, "/vms/east-1/leave", nil)
			g.Expect(err).NotTo(gomega.HaveOccurred())
		},
		"mark, platform down": func(g *gomega.WithT, d *demo.Demo) {
			d.Platform.Fault("down", time.Minute)
			_, err := change(d, 3, http.MethodPost, "/vms/east-1/leave", nil)
			g.Expect(err).NotTo(gomega.HaveOccurred())
		},
		"list": func(_ *gomega.WithT, d *demo.Demo) {
			d.Platform.Put(standin.VMListKey(entry.DefaultPrefix, "east", "east-1"),
				[]byte(`{"centre":"east","address":"`+strings.TrimPrefix(d.Access.Upstreams[0], "http://")+`","slots":8,"state":"leaving"}`))
		},
	} {
		t.Run(name, func(t *testing.T) {
			inMemory(t, func(g *gomega.WithT, d *demo.Demo, _ *standin.Network) {
				var replies []reply
				var loading sync.WaitGroup
				loading.Go(func() { replies = load(d, d.Access.Queue, 10*time.Millisecond, 8*time.Second) })
				time.Sleep(2 * time.Second)
				told := time.Now()
				tell(g, d)
				loading.Wait()
				g.Expect(count(replies)).To(gomega.Equal(map[int]int{http.StatusOK: 800}))
				g.Expect(d.Upstreams[0].Starts()).NotTo(gomega.BeEmpty())
				for _, s := range d.Upstreams[0].Starts() {
					g.Expect(s.Time.Sub(told)).To(gomega.BeNumerically("<", 2*time.Second))
				}
			})
		})
	}
}

// TestKeyedOnceThroughCrashes kills the entry that has a keyed task at every
// point of its way, and sends the request again through others.
func TestKeyedOnceThroughCrashes(t *testing.T) {
	for after := time.Duration(0); after <= 600*time.Millisecond; after += 50 * time.Millisecond {
		t.Run(after.String(), func(t *testing.T) {
			inMemory(t, func(g *gomega.WithT, d *demo.Demo, _ *standin.Network) {
				// Each call to the platform takes 1.5 s, so that crashes fall before,
				// into and after the claim.
				d.Platform.Fault("slow", 0)
				var first sync.WaitGroup
				first.Go(func() { post(d, 0, d.Access.Slow, []byte("pay"), "Idempotency-Key", "k") })
				time.Sleep(1250*time.Millisecond + after)
				d.Nodes[0].Kill()
				first.Wait()
				d.Platform.Clear()
				var answers [][]byte
				for _, i := range []int{1, 2, 3} {
					r := post(d, i, d.Access.Slow, []byte("pay"), "Idempotency-Key", "k")
					g.Expect(r.status).To(gomega.Equal(http.StatusOK), "%s", r.body)
					answers = append(answers, r.body)
				}
				g.Expect(answers[1]).To(gomega.Equal(answers[0]))
				g.Expect(answers[2]).To(gomega.Equal(answers[0]))
				begun, _ := starts(d)
				g.Expect(begun).To(gomega.HaveLen(1))
			})
		})
	}
}

// TestCentreOutDuringClaim takes a data centre out while claims of keyed tasks
// are on their way to a slow platform.
func TestCentreOutDuringClaim(t *testing.T) {
	inMemory(t, func(g *gomega.WithT, d *demo.Demo, _ *standin.Network) {
		d.Platform.Fault("slow", 0)
		var all sync.WaitGroup
		for i := range 20 {
			all.Go(func() {
				r := post(d, i%2, d.Access.Queue, nil, "Idempotency-Key", strconv.Itoa(i))
				g.Expect(r.status).To(gomega.Equal(http.StatusOK), "%s", r.body)
			})
		}
		time.Sleep(100 * time.Millisecond)
		out := time.Now()
		_, err := change(d, 3, http.MethodPost, "/centres/east/out", nil)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		all.Wait()
		begun, _ := starts(d)
		g.Expect(begun).To(gomega.HaveLen(20))
		for _, s := range begun {
			g.Expect(s.VM[:4] == "east" && s.Time.Sub(out) > time.Second).To(gomega.BeFalse(), "%s %v", s.VM, s.Time.Sub(out))
		}
	})
}
