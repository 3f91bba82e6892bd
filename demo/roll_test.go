package demo_test

import (
	"context"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"almondcove/demo"
	"almondcove/entry"
	"almondcove/fleet"
	"almondcove/standin"
)

// unavailable returns how many VMs of a pool take no tasks, and how many are
// in no pool or unknown.
func unavailable(d *demo.Demo, pool string) int {
	return d.Nodes[0].Entry().EffectiveConfig().CountUnavailable(pool)
}

// watchBudget looks at the pools every 50 ms until stop is closed, and returns
// the most VMs of each that were unavailable by plan at once.
func watchBudget(d *demo.Demo, stop <-chan struct{}, pools ...string) map[string]int {
	most := make(map[string]int)
	for {
		for _, p := range pools {
			most[p] = max(most[p], unavailable(d, p))
		}
		select {
		case <-stop:
			return most
		case <-time.After(50 * time.Millisecond):
		}
	}
}

// TestMaintenanceWave maintains a pool under load, also with a platform that
// loses answers or is down for a while.
func TestMaintenanceWave(t *testing.T) {
	for _, fault := range []string{"", "lost", "down", "lapse"} {
		t.Run("platform "+fault, func(t *testing.T) {
			inMemory(t, func(g *gomega.WithT, d *demo.Demo, _ *standin.Network) {
				stop := make(chan struct{})
				var replies []reply
				var most map[string]int
				var all sync.WaitGroup
				all.Go(func() { replies = load(d, d.Access.Queue, 20*time.Millisecond, 2*time.Minute) })
				all.Go(func() { most = watchBudget(d, stop, "tokens") })
				begun := time.Now()
				_, err := change(d, 0, http.MethodPost, "/presets/maintenance/use", nil)
				g.Expect(err).NotTo(gomega.HaveOccurred())
				_, err = change(d, 0, http.MethodPost, "/pools/tokens/maintain", nil)
				g.Expect(err).NotTo(gomega.HaveOccurred())
				time.Sleep(5 * time.Second)
				if fault != "" {
					d.Platform.Fault(fault, 15*time.Second)
				}
				time.Sleep(110 * time.Second)
				close(stop)
				all.Wait()
				g.Expect(count(replies)).To(gomega.Equal(map[int]int{http.StatusOK: 6000}))
				g.Expect(most["tokens"]).To(gomega.Equal(1))
				for name, v := range d.Nodes[1].Entry().EffectiveConfig().VMs {
					if v.Pool == "tokens" {
						g.Expect(v.MaintainedAt.After(begun)).To(gomega.BeTrue(), name)
						g.Expect(v.Serves()).To(gomega.BeTrue(), name)
					}
				}
			})
		})
	}
}

// TestPresetMovesVMs switches presets back and forth and looks at the pools.
func TestPresetMovesVMs(t *testing.T) {
	inMemory(t, func(g *gomega.WithT, d *demo.Demo, _ *standin.Network) {
		for _, c := range []struct {
			preset string
			want   map[string]int
		}{
			{"peak", map[string]int{"tokens": 6, "takings": 2, "spare": 0}},
			{"ordinary", map[string]int{"tokens": 4, "takings": 2, "spare": 2}},
		} {
			_, err := change(d, 0, http.MethodPost, "/presets/"+c.preset+"/use", nil)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			time.Sleep(2 * time.Minute)
			got := make(map[string]int)
			for _, v := range d.Nodes[3].Entry().EffectiveConfig().VMs {
				g.Expect(v.MovingTo).To(gomega.BeEmpty())
				got[v.Pool]++
			}
			for pool, n := range c.want {
				g.Expect(got[pool]).To(gomega.Equal(n), c.preset+" "+pool)
			}
		}
	})
}

// TestOperatorsCantPassBudget moves two VMs of a pool whose budget is one.
func TestOperatorsCantPassBudget(t *testing.T) {
	inMemory(t, func(g *gomega.WithT, d *demo.Demo, _ *standin.Network) {
		var errs [2]error
		var all sync.WaitGroup
		for i, vm := range []string{"east-1", "west-1"} {
			all.Go(func() {
				_, errs[i] = change(d, 2*i, http.MethodPost, "/vms/"+vm+"/move", map[string]string{"pool": "spare"})
			})
		}
		all.Wait()
		refused := 0
		for _, err := range errs {
			if err != nil {
				g.Expect(err).To(gomega.MatchError(gomega.ContainSubstring("budget")))
				refused++
			}
		}
		g.Expect(refused).To(gomega.Equal(1))
		g.Expect(unavailable(d, "tokens")).To(gomega.Equal(1))
		time.Sleep(time.Minute)
		var s entry.Status
		g.Expect(d.Operator(1).Do(context.Background(), http.MethodGet, "/status", nil, nil, &s)).To(gomega.Succeed())
		spare := 0
		for _, v := range s.VMs {
			if v.Pool == "spare" {
				spare++
			}
		}
		g.Expect(spare).To(gomega.Equal(3))
	})
}

// TestFailedVMStopsDrains fails a VM in the middle of a wave.
func TestFailedVMStopsDrains(t *testing.T) {
	inMemory(t, func(g *gomega.WithT, d *demo.Demo, _ *standin.Network) {
		// west-2 is gone from the platform's list and uses the budget up.
		d.Platform.Put(standin.VMListKey(entry.DefaultPrefix, "west", "west-2"), []byte(`{"address":"10.0.0.2:9","slots":8,"state":"leaving"}`))
		time.Sleep(5 * time.Second)
		_, err := change(d, 0, http.MethodPost, "/pools/tokens/maintain", nil)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		time.Sleep(time.Minute)
		for name, v := range d.Nodes[0].Entry().EffectiveConfig().VMs {
			g.Expect(v.InMaintenance).To(gomega.BeFalse(), name)
		}
		_, _, err = d.Nodes[0].Entry().EffectiveConfig().Apply(fleet.VMDrain{Name: "east-1", DownCount: 1}, "x")
		g.Expect(err).To(gomega.BeAssignableToTypeOf(&fleet.ConflictError{}))
	})
}

// TestFollowingDemand floods the queue of a pool with one VM a data centre,
// once while standing still and once while following, and compares the work.
func TestFollowingDemand(t *testing.T) {
	done := make(map[bool]int)
	for _, follow := range []bool{false, true} {
		t.Run(strconv.FormatBool(follow), func(t *testing.T) {
			inMemory(t, func(g *gomega.WithT, d *demo.Demo, _ *standin.Network) {
				for path, in := range map[string]any{
					"/presets/flow": fleet.Preset{Targets: map[string]int{"tokens": 4, "takings": 2, "spare": 2}, FollowDemand: follow},
					"/teams/till":   fleet.Team{Share: 2, Limit: 200},
					"/queues/settle": fleet.Queue{
						Pool: "takings", Class: fleet.Normal, Teams: []string{"festival"}, Open: true, Owner: "till",
						Lease: fleet.Duration(5 * time.Second), Wait: fleet.Duration(10 * time.Second), Depth: 5000,
					},
					"/teams/festival": fleet.Team{Share: 2, Limit: 200},
				} {
					_, err := change(d, 0, http.MethodPut, path, in)
					g.Expect(err).NotTo(gomega.HaveOccurred())
				}
				_, err := change(d, 0, http.MethodPost, "/presets/flow/use", nil)
				g.Expect(err).NotTo(gomega.HaveOccurred())
				// 64 tasks of half a second each second need 32 slots, and the pool has 16.
				for _, r := range load(d, d.Access.Slow, time.Second/64, time.Minute) {
					if r.status == http.StatusOK {
						done[follow]++
					}
				}
				lent := 0
				for _, v := range d.Nodes[0].Entry().EffectiveConfig().VMs {
					if v.HomePool == "spare" {
						lent++
					}
				}
				g.Expect(lent).To(gomega.Equal(map[bool]int{false: 0, true: 2}[follow]))
				time.Sleep(6 * time.Minute)
				for name, v := range d.Nodes[0].Entry().EffectiveConfig().VMs {
					g.Expect(v.HomePool).To(gomega.BeEmpty(), name)
					g.Expect(v.MovingTo).To(gomega.BeEmpty(), name)
				}
				g.Expect(d.Nodes[0].Entry().EffectiveConfig().Head.TargetOffsets["takings"]).To(gomega.BeZero())
			})
		})
	}
	t.Logf("tasks done in a minute: standing still %d, following %d", done[false], done[true])
	gomega.NewWithT(t).Expect(float64(done[true])).To(gomega.BeNumerically(">", 1.2*float64(done[false])))
}
