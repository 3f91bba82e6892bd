package demo_test

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"almondcove/demo"
	"almondcove/operator"
	"almondcove/standin"
)

// load sends tasks at a steady rate to all entries in turn and returns the replies.
func load(d *demo.Demo, queue string, each time.Duration, lasts time.Duration) []reply {
	var mu sync.Mutex
	var out []reply
	var all sync.WaitGroup
	for i := range int(lasts / each) {
		all.Go(func() {
			r := post(d, i%len(d.Access.Callers), queue, []byte(strconv.Itoa(i)))
			mu.Lock()
			defer mu.Unlock()
			out = append(out, r)
		})
		time.Sleep(each)
	}
	all.Wait()
	return out
}

// count returns the replies by status; broken connections count as 0.
func count(rs []reply) map[int]int {
	out := make(map[int]int)
	for _, r := range rs {
		out[r.status]++
	}
	return out
}

// starts returns every start by upstream name, and by task.
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

func change(d *demo.Demo, i int, method, path string, in any) (operator.Result, error) {
	return d.Operator(i).Change(context.Background(), method, path, in, 18*time.Second)
}

func TestBodiesAreWhole(t *testing.T) {
	inMemory(t, func(g *gomega.WithT, d *demo.Demo, _ *standin.Network) {
		body := make([]byte, 1<<20)
		_, _ = rand.NewChaCha8([32]byte{7}).Read(body)
		for i := range d.Access.Callers {
			r := post(d, i, d.Access.Queue, body, "Accept", "application/octet-stream")
			g.Expect(r.status).To(gomega.Equal(http.StatusOK))
			g.Expect(digest(r.body)).To(gomega.Equal(digest(body)))
		}
	})
}

func TestWithdrawnKeyStops(t *testing.T) {
	for _, c := range []struct {
		name string
		down bool
	}{{"platform up", false}, {"platform down", true}} {
		t.Run(c.name, func(t *testing.T) {
			inMemory(t, func(g *gomega.WithT, d *demo.Demo, _ *standin.Network) {
				if c.down {
					d.Platform.Fault("down", time.Minute)
				}
				begun := time.Now()
				r, err := change(d, 3, http.MethodDelete, "/keys/"+d.Access.Key, nil)
				g.Expect(err).NotTo(gomega.HaveOccurred())
				g.Expect(r.ChangeResult.Recorded).To(gomega.Equal(!c.down))
				g.Expect(r.Force.Everywhere()).To(gomega.BeTrue())
				g.Expect(time.Since(begun)).To(gomega.BeNumerically("<", 3*time.Second))
				for i := range d.Access.Callers {
					r := post(d, i, d.Access.Queue, nil)
					g.Expect(r.status).To(gomega.Equal(http.StatusUnauthorized))
					g.Expect(r.run()).To(gomega.Equal("no"))
				}
				time.Sleep(2 * time.Minute)
				var keys map[string]operator.KeyView
				g.Expect(d.Operator(0).Do(context.Background(), http.MethodGet, "/keys", nil, nil, &keys)).To(gomega.Succeed())
				for _, k := range keys {
					g.Expect(k.Gone).To(gomega.BeTrue())
				}
				g.Expect(d.Nodes[0].Entry().Status().Pending).To(gomega.BeEmpty())
			})
		})
	}
}

func TestCentreOutAndBack(t *testing.T) {
	for _, down := range []bool{false, true} {
		t.Run("platform down "+strconv.FormatBool(down), func(t *testing.T) {
			inMemory(t, func(g *gomega.WithT, d *demo.Demo, _ *standin.Network) {
				var replies []reply
				var loading sync.WaitGroup
				loading.Go(func() { replies = load(d, d.Access.Queue, 10*time.Millisecond, 12*time.Second) })
				time.Sleep(time.Second)
				if down {
					d.Platform.Fault("down", 5*time.Second)
				}
				out := time.Now()
				_, err := change(d, 0, http.MethodPost, "/centres/east/out", nil)
				g.Expect(err).NotTo(gomega.HaveOccurred())
				time.Sleep(7*time.Second - time.Since(out))
				back := time.Now()
				_, err = change(d, 1, http.MethodPost, "/centres/east/back", nil)
				g.Expect(err).NotTo(gomega.HaveOccurred())
				loading.Wait()
				g.Expect(count(replies)).To(gomega.Equal(map[int]int{http.StatusOK: 1200}))
				all, _ := starts(d)
				east := 0
				for _, s := range all {
					if s.VM[:4] != "east" {
						continue
					}
					g.Expect(s.Time.After(out.Add(3*time.Second)) && s.Time.Before(back)).To(gomega.BeFalse())
					if s.Time.After(back) {
						east++
					}
				}
				g.Expect(east).To(gomega.BeNumerically(">", 0))
			})
		})
	}
}

func TestPlatformDownForAMinute(t *testing.T) {
	inMemory(t, func(g *gomega.WithT, d *demo.Demo, _ *standin.Network) {
		d.Platform.Fault("down", time.Minute)
		g.Expect(count(load(d, d.Access.Queue, 10*time.Millisecond, time.Minute))).To(gomega.Equal(map[int]int{http.StatusOK: 6000}))
		r, err := change(d, 2, http.MethodPost, "/presets/peak/use", nil)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(r.Force.Everywhere()).To(gomega.BeTrue())
	})
}

func TestLostAnswersTakeEffectOnce(t *testing.T) {
	inMemory(t, func(g *gomega.WithT, d *demo.Demo, _ *standin.Network) {
		d.Platform.Fault("lost", time.Minute)
		rev := d.Nodes[0].Entry().EffectiveConfig().Head.Rev
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
			r, err := change(d, 0, c.method, c.path, c.in)
			g.Expect(err).NotTo(gomega.HaveOccurred(), c.path)
			rev++
			g.Expect(r.Rev).To(gomega.Equal(rev), c.path)
			g.Expect(r.ChangeResult.Recorded).To(gomega.BeTrue(), c.path)
			g.Expect(r.Force.Everywhere()).To(gomega.BeTrue(), c.path)
		}
	})
}

func TestRewindRevertsNothing(t *testing.T) {
	inMemory(t, func(g *gomega.WithT, d *demo.Demo, _ *standin.Network) {
		time.Sleep(time.Minute)
		r, err := change(d, 0, http.MethodPost, "/presets/peak/use", nil)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		d.Platform.Fault("rewind", 30*time.Second)
		time.Sleep(time.Minute)
		for _, n := range d.Nodes {
			g.Expect(n.Entry().EffectiveConfig().Head.Preset).To(gomega.Equal("peak"))
		}
		_, err = change(d, 1, http.MethodPost, "/presets/ordinary/use", nil)
		g.Expect(err).To(gomega.MatchError(gomega.ContainSubstring("lost history")))
		restored, err := change(d, 2, http.MethodPost, "/config/restore", nil)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(restored.Rev).To(gomega.Equal(r.Rev + 1))
		_, err = change(d, 1, http.MethodPost, "/presets/ordinary/use", nil)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		for _, n := range d.Nodes {
			g.Expect(n.Entry().EffectiveConfig().Head.Preset).To(gomega.Equal("ordinary"))
		}
	})
}

func TestGracefulStopCutsNothing(t *testing.T) {
	inMemory(t, func(g *gomega.WithT, d *demo.Demo, _ *standin.Network) {
		var replies []reply
		var loading sync.WaitGroup
		// The balancer stops sending to the entry within its linger.
		loading.Go(func() { replies = load(d, d.Access.Slow, 50*time.Millisecond, 3*time.Second) })
		time.Sleep(1500 * time.Millisecond)
		err := d.Nodes[2].Stop(context.Background())
		g.Expect(err).NotTo(gomega.HaveOccurred())
		loading.Wait()
		g.Expect(count(replies)).To(gomega.Equal(map[int]int{http.StatusOK: 60}))
		_, byTask := starts(d)
		g.Expect(byTask).To(gomega.HaveLen(60))
		// The others take over its seats, and with them its part of the limits.
		time.Sleep(20 * time.Second)
		g.Expect(d.Nodes[3].Entry().Status().Seats).To(gomega.HaveLen(8))
	})
}
