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

// TestUpstreamFaults guards against tasks that start twice, and against replies that
// misreport whether a task ran, when all upstreams have the same fault at once under
// steady load. Tasks of queue "redeem" are not idempotent, so none may start twice
// under any fault. The faults are shorter than the tasks' lease.
func TestUpstreamFaults(t *testing.T) {
	for _, c := range []struct {
		kind string
		// allowed lists the statuses that callers may see.
		allowed []int
		// allSucceed reports whether every caller must get the result of its task.
		allSucceed bool
	}{
		{kind: "silent", allowed: []int{200}, allSucceed: true},
		{kind: "slow", allowed: []int{200}, allSucceed: true},
		{kind: "crossed", allowed: []int{200}, allSucceed: true},
		{kind: "cut", allowed: []int{200}, allSucceed: true},
		{kind: "busy", allowed: []int{200}, allSucceed: true},
		{kind: "pause", allowed: []int{200}, allSucceed: true},
		{kind: "leaving", allowed: []int{200, 503}},
		{kind: "fail", allowed: []int{200, 502}},
	} {
		t.Run(c.kind, func(t *testing.T) {
			runInMemory(t, func(g *gomega.WithT, d *demo.Demo, _ *standin.Network) {
				var replies []reply
				var loading sync.WaitGroup
				loading.Go(func() { replies = generateLoad(d, d.Access.Queue, 20*time.Millisecond, 10*time.Second) })
				time.Sleep(2 * time.Second)
				for _, u := range d.Upstreams {
					u.Fault(c.kind, 2500*time.Millisecond)
				}
				loading.Wait()
				statuses := countByStatus(replies)
				started, byTask := starts(d)
				for id, n := range byTask {
					g.Expect(n).To(gomega.Equal(1), id)
				}
				g.Expect(replies).To(gomega.HaveLen(500))
				for status, n := range statuses {
					g.Expect(c.allowed).To(gomega.ContainElement(status), "%v", statuses)
					if c.allSucceed {
						g.Expect(n).To(gomega.Equal(500), "%v", statuses)
					}
				}
				ran := 0
				for _, r := range replies {
					if r.status == http.StatusOK || r.runMember() == "yes" {
						ran++
					}
				}
				// Replies tell the truth about whether the task ran: as many tasks
				// started as the replies say ran.
				g.Expect(started).To(gomega.HaveLen(ran))
			})
		})
	}
}

// TestOneBadUpstream guards against a permanently faulty VM that keeps getting tasks,
// because the entries do not notice the fault or probe the VM too often. The VM is one
// of four in its pool.
func TestOneBadUpstream(t *testing.T) {
	for _, kind := range []string{"fail", "pause", "silent", "busy", "leaving"} {
		t.Run(kind, func(t *testing.T) {
			runInMemory(t, func(g *gomega.WithT, d *demo.Demo, _ *standin.Network) {
				d.Upstreams[0].Fault(kind, 0)
				replies := generateLoad(d, d.Access.Queue, 10*time.Millisecond, 20*time.Second)
				badStarts := len(d.Upstreams[0].Starts())
				statuses := countByStatus(replies)
				failed := len(replies) - statuses[http.StatusOK]
				if kind == "silent" {
					// The fault affects only connections that are open when it starts, so
					// all tasks run.
					g.Expect(failed).To(gomega.Equal(0), "%v", statuses)
					return
				}
				if kind == "fail" {
					g.Expect(statuses[http.StatusBadGateway]).To(gomega.Equal(badStarts))
				}
				// Each of the four entries notices the fault within 50 tasks. Beyond
				// these, less than 1 % of all tasks go to the VM.
				g.Expect(badStarts).To(gomega.BeNumerically("<", 4*(50+len(replies)/400)))
				g.Expect(failed).To(gomega.BeNumerically("<=", 60), "%v", statuses)
				_, byTask := starts(d)
				for id, n := range byTask {
					g.Expect(n).To(gomega.Equal(1), id)
				}
			})
		})
	}
}

// TestLimitHolds guards against a team that runs more tasks at once than its limit of 12,
// and against a limit left unused. Nearly all tasks arrive at one entry, so the other
// entries must lend it their units.
func TestLimitHolds(t *testing.T) {
	runInMemory(t, func(g *gomega.WithT, d *demo.Demo, _ *standin.Network) {
		var wg sync.WaitGroup
		for i := range 400 {
			// Entry 0 gets nearly all tasks.
			entryIndex := 0
			if i%20 == 0 {
				entryIndex = i / 20 % 4
			}
			wg.Go(func() { post(d, entryIndex, d.Access.SlowQueue, nil) })
		}
		wg.Wait()
		running, maxRunning := 0, 0
		atLimit := 0
		started, _ := starts(d)
		// Each task runs for 500 ms.
		for _, s := range started {
			running = 0
			for _, other := range started {
				if !other.Time.After(s.Time) && other.Time.Add(500*time.Millisecond).After(s.Time) {
					running++
				}
			}
			maxRunning = max(maxRunning, running)
			if running == 12 {
				atLimit++
			}
		}
		g.Expect(maxRunning).To(gomega.BeNumerically("<=", 12))
		g.Expect(atLimit).To(gomega.BeNumerically(">", 300))
	})
}

// TestKilledEntry guards against a crash that costs more than the requests to the crashed
// entry, and against seats of that entry that are taken over too early or never. The
// entry is one of two in its data centre.
func TestKilledEntry(t *testing.T) {
	runInMemory(t, func(g *gomega.WithT, d *demo.Demo, _ *standin.Network) {
		var replies []reply
		var loading sync.WaitGroup
		loading.Go(func() { replies = generateLoad(d, d.Access.Queue, 20*time.Millisecond, 10*time.Second) })
		time.Sleep(2 * time.Second)
		d.Nodes[1].Kill()
		loading.Wait()
		for i, r := range replies {
			g.Expect(r.err != nil || r.status == http.StatusOK).To(gomega.BeTrue(), "task %d: %d %s", i, r.status, r.body)
		}
		g.Expect(countByStatus(replies)[http.StatusOK]).To(gomega.BeNumerically(">", 370))
		g.Expect(d.Nodes[0].Entry().Status().Seats).To(gomega.HaveLen(4))
		// The other entry takes over the seats once all loans and tasks of the crashed
		// entry have ended.
		time.Sleep(time.Minute)
		g.Expect(d.Nodes[0].Entry().Status().Seats).To(gomega.HaveLen(8))
	})
}

// TestKeyedOnce guards against two runs of one task when requests with the same
// idempotency key arrive at all four entries at once, also when the platform is slow or
// does not answer writes. Every request gets the result of the one run.
func TestKeyedOnce(t *testing.T) {
	for _, fault := range []string{"", "lost", "slow"} {
		t.Run("platform "+fault, func(t *testing.T) {
			runInMemory(t, func(g *gomega.WithT, d *demo.Demo, _ *standin.Network) {
				if fault != "" {
					d.Platform.Fault(fault, time.Minute)
				}
				var replies [4]reply
				var wg sync.WaitGroup
				for i := range replies {
					wg.Go(func() {
						replies[i] = post(d, i, d.Access.SlowQueue, []byte("pay once"), "Idempotency-Key", "k1")
					})
				}
				wg.Wait()
				for _, r := range replies {
					g.Expect(r.status).To(gomega.Equal(http.StatusOK), "%s", r.body)
					g.Expect(r.body).To(gomega.Equal(replies[0].body))
				}
				started, _ := starts(d)
				g.Expect(started).To(gomega.HaveLen(1))
				again := post(d, 2, d.Access.SlowQueue, []byte("pay once"), "Idempotency-Key", "k1")
				g.Expect(again.body).To(gomega.Equal(replies[0].body))
				reused := post(d, 3, d.Access.SlowQueue, []byte("pay twice"), "Idempotency-Key", "k1")
				g.Expect(reused.status).To(gomega.Equal(http.StatusUnprocessableEntity))
				g.Expect(reused.runMember()).To(gomega.Equal("no"))
				other := post(d, 2, d.Access.SlowQueue, []byte("pay once"), "Idempotency-Key", "k2")
				g.Expect(other.status).To(gomega.Equal(http.StatusOK))
				g.Expect(other.body).NotTo(gomega.Equal(replies[0].body))
			})
		})
	}
}

// TestKeyedNeedsPlatform guards against a task that runs without a claim of its
// idempotency key. Claims are stored on the platform, so while it is down the entries
// refuse such tasks.
func TestKeyedNeedsPlatform(t *testing.T) {
	runInMemory(t, func(g *gomega.WithT, d *demo.Demo, _ *standin.Network) {
		d.Platform.Fault("down", time.Minute)
		r := post(d, 0, d.Access.Queue, nil, "Idempotency-Key", "k1")
		g.Expect(r.status).To(gomega.Equal(http.StatusConflict))
		g.Expect(r.runMember()).To(gomega.Equal("no"))
		g.Expect(r.header.Get("Retry-After")).NotTo(gomega.BeEmpty())
		started, _ := starts(d)
		g.Expect(started).To(gomega.BeEmpty())
		d.Platform.Clear()
		r = post(d, 1, d.Access.Queue, nil, "Idempotency-Key", "k1")
		g.Expect(r.status).To(gomega.Equal(http.StatusOK))
	})
}

// TestFencedTaskRunsOnItsOnlyVM guards against tasks that fail because they were fenced
// on the only VM that can run them. Fencing occurs when the VM's connections go dead
// under load. A fenced task must run on the same VM later.
func TestFencedTaskRunsOnItsOnlyVM(t *testing.T) {
	runInMemory(t, func(g *gomega.WithT, d *demo.Demo, _ *standin.Network) {
		_, err := applyChange(d, 0, http.MethodPost, "/centres/west/out", nil)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		var replies []reply
		var loading sync.WaitGroup
		loading.Go(func() { replies = generateLoad(d, d.Access.OpenQueue, 10*time.Millisecond, 6*time.Second) })
		for range 5 {
			time.Sleep(time.Second)
			// With the west out of service, east-3 is the only VM that runs the queue.
			d.Upstreams[2].Fault("silent", time.Millisecond)
		}
		loading.Wait()
		g.Expect(countByStatus(replies)).To(gomega.Equal(map[int]int{http.StatusOK: 600}))
	})
}

// TestPoisonTask guards against a task that is retried without end because every VM
// fails it. The entry gives up after at most three starts.
func TestPoisonTask(t *testing.T) {
	runInMemory(t, func(g *gomega.WithT, d *demo.Demo, _ *standin.Network) {
		// Each admitted task adds to the retry budget, which the retries below use.
		g.Expect(countByStatus(generateLoad(d, d.Access.OpenQueue, 10*time.Millisecond, time.Second))).To(gomega.Equal(map[int]int{http.StatusOK: 100}))
		for _, u := range d.Upstreams {
			u.Fault("fail", 0)
		}
		before, _ := starts(d)
		start := time.Now()
		r := post(d, 0, d.Access.OpenQueue, nil)
		g.Expect(r.status).To(gomega.Equal(http.StatusBadGateway))
		g.Expect(r.runMember()).To(gomega.Equal("yes"))
		g.Expect(string(r.body)).To(gomega.ContainSubstring("can never run"))
		g.Expect(time.Since(start)).To(gomega.BeNumerically("<", time.Second))
		after, _ := starts(d)
		g.Expect(len(after) - len(before)).To(gomega.BeNumerically("<=", 3))
	})
}

// TestHopelessDeadlineIsRefusedAtOnce guards against a task that waits in its queue
// although the tasks before it make its deadline impossible. The caller gets the refusal
// within 100 ms.
func TestHopelessDeadlineIsRefusedAtOnce(t *testing.T) {
	runInMemory(t, func(g *gomega.WithT, d *demo.Demo, _ *standin.Network) {
		var wg sync.WaitGroup
		for range 200 {
			wg.Go(func() { post(d, 0, d.Access.SlowQueue, nil) })
		}
		time.Sleep(3 * time.Second)
		start := time.Now()
		r := post(d, 0, d.Access.SlowQueue, nil, "Task-Deadline", "1s")
		g.Expect(r.status).To(gomega.Equal(http.StatusServiceUnavailable))
		g.Expect(r.runMember()).To(gomega.Equal("no"))
		g.Expect(r.header.Get("Retry-After")).NotTo(gomega.BeEmpty())
		g.Expect(time.Since(start)).To(gomega.BeNumerically("<", 100*time.Millisecond))
		wg.Wait()
	})
}

// TestLimitIsUsable guards against units of a limit that stay unused at entries without
// tasks. All tasks of a team arrive at one of four entries. At least 95 % of the limit
// of 12 must be in use after 2 s and stay in use.
func TestLimitIsUsable(t *testing.T) {
	runInMemory(t, func(g *gomega.WithT, d *demo.Demo, _ *standin.Network) {
		start := time.Now()
		var wg sync.WaitGroup
		for range 300 {
			wg.Go(func() { post(d, 0, d.Access.SlowQueue, nil) })
		}
		wg.Wait()
		started, _ := starts(d)
		for elapsed := 2 * time.Second; elapsed < 11*time.Second; elapsed += 100 * time.Millisecond {
			running := 0
			for _, s := range started {
				since := start.Add(elapsed).Sub(s.Time)
				if since >= 0 && since < 505*time.Millisecond {
					running++
				}
			}
			g.Expect(running).To(gomega.BeNumerically(">=", 0.95*12), elapsed.String())
		}
	})
}

// TestLeavingUpstreamGetsNothing guards against tasks that start on a leaving VM more
// than 2 s after this was announced: by the VM's refusals, by an operator with the
// platform up or down, or by the platform's list of VMs. No task may fail.
func TestLeavingUpstreamGetsNothing(t *testing.T) {
	for name, announce := range map[string]func(g *gomega.WithT, d *demo.Demo){
		"refusal": func(_ *gomega.WithT, d *demo.Demo) { d.Upstreams[0].Fault("leaving", 0) },
		"mark": func(g *gomega.WithT, d *demo.Demo) {
			_, err := applyChange(d, 3, http.MethodPost, "/vms/east-1/leave", nil)
			g.Expect(err).NotTo(gomega.HaveOccurred())
		},
		"mark, platform down": func(g *gomega.WithT, d *demo.Demo) {
			d.Platform.Fault("down", time.Minute)
			_, err := applyChange(d, 3, http.MethodPost, "/vms/east-1/leave", nil)
			g.Expect(err).NotTo(gomega.HaveOccurred())
		},
		"list": func(_ *gomega.WithT, d *demo.Demo) {
			d.Platform.Put(standin.VMListKey(entry.DefaultPrefix, "east", "east-1"),
				[]byte(`{"centre":"east","address":"`+strings.TrimPrefix(d.Access.Upstreams[0], "http://")+`","slots":8,"state":"leaving"}`))
		},
	} {
		t.Run(name, func(t *testing.T) {
			runInMemory(t, func(g *gomega.WithT, d *demo.Demo, _ *standin.Network) {
				var replies []reply
				var loading sync.WaitGroup
				loading.Go(func() { replies = generateLoad(d, d.Access.Queue, 10*time.Millisecond, 8*time.Second) })
				time.Sleep(2 * time.Second)
				announcedAt := time.Now()
				announce(g, d)
				loading.Wait()
				g.Expect(countByStatus(replies)).To(gomega.Equal(map[int]int{http.StatusOK: 800}))
				g.Expect(d.Upstreams[0].Starts()).NotTo(gomega.BeEmpty())
				for _, s := range d.Upstreams[0].Starts() {
					g.Expect(s.Time.Sub(announcedAt)).To(gomega.BeNumerically("<", 2*time.Second))
				}
			})
		})
	}
}

// TestKeyedOnceThroughCrashes guards against a task with an idempotency key that runs
// twice or never because its entry crashes before, during or after the claim. The caller
// sends the request again through the other entries.
func TestKeyedOnceThroughCrashes(t *testing.T) {
	for after := time.Duration(0); after <= 600*time.Millisecond; after += 50 * time.Millisecond {
		t.Run(after.String(), func(t *testing.T) {
			runInMemory(t, func(g *gomega.WithT, d *demo.Demo, _ *standin.Network) {
				// Each call to the platform takes 1.5 s, so that crashes happen before,
				// during and after the claim.
				d.Platform.Fault("slow", 0)
				var first sync.WaitGroup
				first.Go(func() { post(d, 0, d.Access.SlowQueue, []byte("pay"), "Idempotency-Key", "k") })
				time.Sleep(1250*time.Millisecond + after)
				d.Nodes[0].Kill()
				first.Wait()
				d.Platform.Clear()
				var answers [][]byte
				for _, i := range []int{1, 2, 3} {
					r := post(d, i, d.Access.SlowQueue, []byte("pay"), "Idempotency-Key", "k")
					g.Expect(r.status).To(gomega.Equal(http.StatusOK), "%s", r.body)
					answers = append(answers, r.body)
				}
				g.Expect(answers[1]).To(gomega.Equal(answers[0]))
				g.Expect(answers[2]).To(gomega.Equal(answers[0]))
				started, _ := starts(d)
				g.Expect(started).To(gomega.HaveLen(1))
			})
		})
	}
}

// TestCentreOutDuringClaim guards against tasks that start in a data centre more than 1 s
// after it was taken out of service, because claims of their idempotency keys were in
// flight to a slow platform at that time. The tasks must run elsewhere.
func TestCentreOutDuringClaim(t *testing.T) {
	runInMemory(t, func(g *gomega.WithT, d *demo.Demo, _ *standin.Network) {
		d.Platform.Fault("slow", 0)
		var wg sync.WaitGroup
		for i := range 20 {
			wg.Go(func() {
				r := post(d, i%2, d.Access.Queue, nil, "Idempotency-Key", strconv.Itoa(i))
				g.Expect(r.status).To(gomega.Equal(http.StatusOK), "%s", r.body)
			})
		}
		time.Sleep(100 * time.Millisecond)
		outAt := time.Now()
		_, err := applyChange(d, 3, http.MethodPost, "/centres/east/out", nil)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		wg.Wait()
		started, _ := starts(d)
		g.Expect(started).To(gomega.HaveLen(20))
		for _, s := range started {
			g.Expect(s.VM[:4] == "east" && s.Time.Sub(outAt) > time.Second).To(gomega.BeFalse(), "%s %v", s.VM, s.Time.Sub(outAt))
		}
	})
}
