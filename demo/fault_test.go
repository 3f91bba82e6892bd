package demo_test

import (
	"context"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"almondcove/demo"
	"almondcove/operator"
	"almondcove/standin"
	"almondcove/timeline"
)

// generateLoad sends one task per interval for the given duration, to all entries in
// turn. It returns the replies once all have arrived.
func generateLoad(d *demo.Demo, queue string, interval time.Duration, duration time.Duration) []reply {
	var mu sync.Mutex
	var out []reply
	var wg sync.WaitGroup
	for i := range int(duration / interval) {
		wg.Go(func() {
			r := post(d, i%len(d.Access.Callers), queue, []byte(strconv.Itoa(i)))
			mu.Lock()
			defer mu.Unlock()
			out = append(out, r)
		})
		time.Sleep(interval)
	}
	wg.Wait()
	return out
}

// countByStatus returns the number of replies by status. Requests without a response
// count under status 0.
func countByStatus(rs []reply) map[int]int {
	out := make(map[int]int)
	for _, r := range rs {
		out[r.status]++
	}
	return out
}

// starts returns all task starts on the upstreams, and the number of starts by task.
func starts(d *demo.Demo) (all []standin.TaskStart, byTask map[string]int) {
	byTask = make(map[string]int)
	for _, u := range d.Upstreams {
		for _, s := range u.Starts() {
			all = append(all, s)
			byTask[s.ID]++
		}
	}
	return all, byTask
}

// applyChange makes a configuration change through entry i and waits up to 18 s until
// it is in force on all entries.
func applyChange(d *demo.Demo, i int, method, path string, in any) (operator.Result, error) {
	return d.OperatorClient(i).Change(context.Background(), method, path, in, 18*time.Second)
}

// TestBodiesAreWhole guards against bodies of 1 MiB that are truncated or changed on
// their way to the upstream and back.
func TestBodiesAreWhole(t *testing.T) {
	runInMemory(t, func(g *gomega.WithT, d *demo.Demo, _ *standin.Network) {
		body := make([]byte, 1<<20)
		_, _ = rand.NewChaCha8([32]byte{7}).Read(body)
		for i := range d.Access.Callers {
			r := post(d, i, d.Access.Queue, body, "Accept", "application/octet-stream")
			g.Expect(r.status).To(gomega.Equal(http.StatusOK))
			g.Expect(digest(r.body)).To(gomega.Equal(digest(body)))
		}
	})
}

// TestWithdrawnKeyStops guards against a withdrawn caller key that still works on some
// entry after 3 s, also when the platform is down and the entries can only tell each
// other. Once the platform is back, it must record the withdrawal.
func TestWithdrawnKeyStops(t *testing.T) {
	for _, c := range []struct {
		name string
		down bool
	}{{"platform up", false}, {"platform down", true}} {
		t.Run(c.name, func(t *testing.T) {
			runInMemory(t, func(g *gomega.WithT, d *demo.Demo, _ *standin.Network) {
				if c.down {
					d.Platform.Fault("down", time.Minute)
				}
				start := time.Now()
				r, err := applyChange(d, 3, http.MethodDelete, "/keys/"+d.Access.Key, nil)
				g.Expect(err).NotTo(gomega.HaveOccurred())
				g.Expect(r.ChangeResult.Recorded).To(gomega.Equal(!c.down))
				g.Expect(r.Force.Everywhere()).To(gomega.BeTrue())
				g.Expect(time.Since(start)).To(gomega.BeNumerically("<", 3*time.Second))
				for i := range d.Access.Callers {
					r := post(d, i, d.Access.Queue, nil)
					g.Expect(r.status).To(gomega.Equal(http.StatusUnauthorized))
					g.Expect(r.runMember()).To(gomega.Equal("no"))
				}
				time.Sleep(2 * time.Minute)
				var keys map[string]operator.KeyView
				g.Expect(d.OperatorClient(0).Do(context.Background(), http.MethodGet, "/keys", nil, nil, &keys)).To(gomega.Succeed())
				for _, k := range keys {
					g.Expect(k.Gone).To(gomega.BeTrue())
				}
				g.Expect(d.Nodes[0].Entry().Status().Pending).To(gomega.BeEmpty())
			})
		})
	}
}

// TestCentreOutAndBack guards against tasks that fail, or that start in a data centre
// more than 3 s after it was taken out of service, also when the platform is down. Once
// the data centre is back, it takes tasks again.
func TestCentreOutAndBack(t *testing.T) {
	for _, down := range []bool{false, true} {
		t.Run("platform down "+strconv.FormatBool(down), func(t *testing.T) {
			runInMemory(t, func(g *gomega.WithT, d *demo.Demo, _ *standin.Network) {
				var replies []reply
				var loading sync.WaitGroup
				loading.Go(func() { replies = generateLoad(d, d.Access.Queue, 10*time.Millisecond, 12*time.Second) })
				time.Sleep(time.Second)
				if down {
					d.Platform.Fault("down", 5*time.Second)
				}
				outAt := time.Now()
				_, err := applyChange(d, 0, http.MethodPost, "/centres/east/out", nil)
				g.Expect(err).NotTo(gomega.HaveOccurred())
				time.Sleep(7*time.Second - time.Since(outAt))
				backAt := time.Now()
				_, err = applyChange(d, 1, http.MethodPost, "/centres/east/back", nil)
				g.Expect(err).NotTo(gomega.HaveOccurred())
				loading.Wait()
				g.Expect(countByStatus(replies)).To(gomega.Equal(map[int]int{http.StatusOK: 1200}))
				started, _ := starts(d)
				eastStarts := 0
				for _, s := range started {
					if s.VM[:4] != "east" {
						continue
					}
					g.Expect(s.Time.After(outAt.Add(3*time.Second)) && s.Time.Before(backAt)).To(gomega.BeFalse())
					if s.Time.After(backAt) {
						eastStarts++
					}
				}
				g.Expect(eastStarts).To(gomega.BeNumerically(">", 0))
			})
		})
	}
}

// TestPlatformDownForAMinute guards against a platform outage that makes tasks fail or
// keeps configuration changes from taking effect afterwards.
func TestPlatformDownForAMinute(t *testing.T) {
	runInMemory(t, func(g *gomega.WithT, d *demo.Demo, _ *standin.Network) {
		d.Platform.Fault("down", time.Minute)
		g.Expect(countByStatus(generateLoad(d, d.Access.Queue, 10*time.Millisecond, time.Minute))).To(gomega.Equal(map[int]int{http.StatusOK: 6000}))
		r, err := applyChange(d, 2, http.MethodPost, "/presets/peak/use", nil)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(r.Force.Everywhere()).To(gomega.BeTrue())
	})
}

// TestLostAnswersTakeEffectOnce guards against a change that is applied twice. While the
// platform carries writes out without answering, an entry does not know whether its
// write took effect and may write again. Each change must raise the revision by one, as do the
// steps that entries plan themselves.
func TestLostAnswersTakeEffectOnce(t *testing.T) {
	runInMemory(t, func(g *gomega.WithT, d *demo.Demo, _ *standin.Network) {
		d.Platform.Fault("lost", time.Minute)
		first, planned := d.Nodes[0].Entry().EffectiveConfig().Head.Rev, plannedSteps(g, d)
		last, changes := first, 0
		for _, c := range []struct {
			method, path string
			in           any
		}{
			{http.MethodPost, "/presets/peak/use", nil},
			{http.MethodPost, "/keys", map[string]string{"team": "till"}},
			{http.MethodPut, "/teams/till", map[string]int{"share": 5, "limit": 20}},
			{http.MethodPost, "/vms/east-1/leave", nil},
			{http.MethodPost, "/vms/east-1/return", nil},
			{http.MethodPost, "/centres/west/out", nil},
			{http.MethodPost, "/centres/west/back", nil},
		} {
			r, err := applyChange(d, 0, c.method, c.path, c.in)
			g.Expect(err).NotTo(gomega.HaveOccurred(), c.path)
			g.Expect(r.Rev).To(gomega.BeNumerically(">", last), c.path)
			last = r.Rev
			changes++
			g.Expect(r.ChangeResult.Recorded).To(gomega.BeTrue(), c.path)
			g.Expect(r.Force.Everywhere()).To(gomega.BeTrue(), c.path)
		}
		d.Platform.Clear()
		time.Sleep(30 * time.Second)
		raised := int(d.Nodes[0].Entry().EffectiveConfig().Head.Rev - first)
		g.Expect(raised).To(gomega.Equal(changes + plannedSteps(g, d) - planned))
	})
}

// plannedSteps returns how many steps that change the configuration the entries have planned and
// recorded.
func plannedSteps(g *gomega.WithT, d *demo.Demo) int {
	events, missing := d.Nodes[0].Entry().Timeline(context.Background(), timeline.Filter{})
	g.Expect(missing).To(gomega.BeEmpty())
	n := 0
	for _, e := range events {
		if slices.Contains([]string{"vmfollow", "vmmove", "vmplace", "vmdrain", "vmreturn"}, e.Kind) {
			n++
		}
	}
	return n
}

// TestRewindRevertsNothing guards against a platform that loses its last writes and so
// takes the entries back to an older configuration. The entries keep the newer one and
// refuse changes until an operator has it restored on the platform.
func TestRewindRevertsNothing(t *testing.T) {
	runInMemory(t, func(g *gomega.WithT, d *demo.Demo, _ *standin.Network) {
		time.Sleep(time.Minute)
		r, err := applyChange(d, 0, http.MethodPost, "/presets/peak/use", nil)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		d.Platform.Fault("rewind", 30*time.Second)
		time.Sleep(time.Minute)
		for _, n := range d.Nodes {
			g.Expect(n.Entry().EffectiveConfig().Head.Preset).To(gomega.Equal("peak"))
		}
		_, err = applyChange(d, 1, http.MethodPost, "/presets/ordinary/use", nil)
		g.Expect(err).To(gomega.MatchError(gomega.ContainSubstring("lost history")))
		restored, err := applyChange(d, 2, http.MethodPost, "/config/restore", nil)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(restored.Rev).To(gomega.Equal(r.Rev + 1))
		_, err = applyChange(d, 1, http.MethodPost, "/presets/ordinary/use", nil)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		for _, n := range d.Nodes {
			g.Expect(n.Entry().EffectiveConfig().Head.Preset).To(gomega.Equal("ordinary"))
		}
	})
}

// TestGracefulStopCutsNothing guards against an entry that cuts tasks when it shuts down
// under load, and against seats that stay without a holder afterwards.
func TestGracefulStopCutsNothing(t *testing.T) {
	runInMemory(t, func(g *gomega.WithT, d *demo.Demo, _ *standin.Network) {
		var replies []reply
		var loading sync.WaitGroup
		// The load ends within the linger of the entry, as if a balancer had stopped
		// sending to it.
		loading.Go(func() { replies = generateLoad(d, d.Access.SlowQueue, 50*time.Millisecond, 3*time.Second) })
		time.Sleep(1500 * time.Millisecond)
		err := d.Nodes[2].Stop(context.Background())
		g.Expect(err).NotTo(gomega.HaveOccurred())
		loading.Wait()
		g.Expect(countByStatus(replies)).To(gomega.Equal(map[int]int{http.StatusOK: 60}))
		_, byTask := starts(d)
		g.Expect(byTask).To(gomega.HaveLen(60))
		// The other entry of the data centre takes over its seats, and with them its
		// part of the limits.
		time.Sleep(20 * time.Second)
		g.Expect(d.Nodes[3].Entry().Status().Seats).To(gomega.HaveLen(8))
	})
}
