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

// countUnavailable returns how many VMs of a pool take no new tasks according to the
// configuration in force at entry 0.
func countUnavailable(d *demo.Demo, pool string) int {
	return d.Nodes[0].Entry().EffectiveConfig().CountUnavailable(pool)
}

// watchMaxUnavailable polls the configuration every 50 ms until stop is closed. It
// returns, for each pool, the greatest number of VMs that were unavailable at once.
func watchMaxUnavailable(d *demo.Demo, stop <-chan struct{}, pools ...string) map[string]int {
	highest := make(map[string]int)
	for {
		for _, p := range pools {
			highest[p] = max(highest[p], countUnavailable(d, p))
		}
		select {
		case <-stop:
			return highest
		case <-time.After(50 * time.Millisecond):
		}
	}
}

// TestMaintenanceWave guards against maintenance of a pool under load that makes tasks
// fail, exceeds the pool's budget of one unavailable VM, or stops short of some VM. The
// platform works, does not answer writes, is down, or lets all leases lapse.
func TestMaintenanceWave(t *testing.T) {
	for _, fault := range []string{"", "lost", "down", "lapse"} {
		t.Run("platform "+fault, func(t *testing.T) {
			runInMemory(t, func(g *gomega.WithT, d *demo.Demo, _ *standin.Network) {
				stop := make(chan struct{})
				var replies []reply
				var maxUnavailable map[string]int
				var wg sync.WaitGroup
				wg.Go(func() { replies = generateLoad(d, d.Access.Queue, 20*time.Millisecond, 2*time.Minute) })
				wg.Go(func() { maxUnavailable = watchMaxUnavailable(d, stop, "tokens") })
				start := time.Now()
				_, err := applyChange(d, 0, http.MethodPost, "/presets/maintenance/use", nil)
				g.Expect(err).NotTo(gomega.HaveOccurred())
				_, err = applyChange(d, 0, http.MethodPost, "/pools/tokens/maintain", nil)
				g.Expect(err).NotTo(gomega.HaveOccurred())
				time.Sleep(5 * time.Second)
				if fault != "" {
					d.Platform.Fault(fault, 15*time.Second)
				}
				time.Sleep(110 * time.Second)
				close(stop)
				wg.Wait()
				g.Expect(countByStatus(replies)).To(gomega.Equal(map[int]int{http.StatusOK: 6000}))
				g.Expect(maxUnavailable["tokens"]).To(gomega.Equal(1))
				for name, v := range d.Nodes[1].Entry().EffectiveConfig().VMs {
					if v.Pool == "tokens" {
						g.Expect(v.MaintainedAt.After(start)).To(gomega.BeTrue(), name)
						g.Expect(v.Serves()).To(gomega.BeTrue(), name)
					}
				}
			})
		})
	}
}

// TestPresetMovesVMs guards against a change of preset after which the pools do not reach
// the preset's targets within two minutes. It changes to another preset and back.
func TestPresetMovesVMs(t *testing.T) {
	runInMemory(t, func(g *gomega.WithT, d *demo.Demo, _ *standin.Network) {
		for _, c := range []struct {
			preset string
			want   map[string]int
		}{
			{"peak", map[string]int{"tokens": 6, "takings": 2, "spare": 0}},
			{"ordinary", map[string]int{"tokens": 4, "takings": 2, "spare": 2}},
		} {
			_, err := applyChange(d, 0, http.MethodPost, "/presets/"+c.preset+"/use", nil)
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

// TestOperatorsCantPassBudget guards against two operators who exceed a pool's budget of
// one because they move two of its VMs at the same time through different entries.
func TestOperatorsCantPassBudget(t *testing.T) {
	runInMemory(t, func(g *gomega.WithT, d *demo.Demo, _ *standin.Network) {
		var errs [2]error
		var wg sync.WaitGroup
		for i, vm := range []string{"east-1", "west-1"} {
			wg.Go(func() {
				_, errs[i] = applyChange(d, 2*i, http.MethodPost, "/vms/"+vm+"/move", map[string]string{"pool": "spare"})
			})
		}
		wg.Wait()
		refused := 0
		for _, err := range errs {
			if err != nil {
				g.Expect(err).To(gomega.MatchError(gomega.ContainSubstring("budget")))
				refused++
			}
		}
		g.Expect(refused).To(gomega.Equal(1))
		g.Expect(countUnavailable(d, "tokens")).To(gomega.Equal(1))
		time.Sleep(time.Minute)
		var s entry.Status
		g.Expect(d.OperatorClient(1).Do(context.Background(), http.MethodGet, "/status", nil, nil, &s)).To(gomega.Succeed())
		spare := 0
		for _, v := range s.VMs {
			if v.Pool == "spare" {
				spare++
			}
		}
		g.Expect(spare).To(gomega.Equal(3))
	})
}

// TestFailedVMStopsDrains guards against maintenance that takes more VMs out of a pool
// whose budget is already used up by a failed VM.
func TestFailedVMStopsDrains(t *testing.T) {
	runInMemory(t, func(g *gomega.WithT, d *demo.Demo, _ *standin.Network) {
		// The platform's list shows west-2 as leaving, so it uses the budget up.
		d.Platform.Put(standin.VMListKey(entry.DefaultPrefix, "west", "west-2"), []byte(`{"address":"10.0.0.2:9","slots":8,"state":"leaving"}`))
		time.Sleep(5 * time.Second)
		_, err := applyChange(d, 0, http.MethodPost, "/pools/tokens/maintain", nil)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		time.Sleep(time.Minute)
		for name, v := range d.Nodes[0].Entry().EffectiveConfig().VMs {
			g.Expect(v.InMaintenance).To(gomega.BeFalse(), name)
		}
		_, _, err = d.Nodes[0].Entry().EffectiveConfig().Apply(fleet.VMDrain{Name: "east-1", DownCount: 1}, "x")
		g.Expect(err).To(gomega.BeAssignableToTypeOf(&fleet.ConflictError{}))
	})
}

// TestFollowingDemand guards against a preset that follows demand without effect: with
// it, spare VMs must be lent to a flooded pool with one VM per data centre, more than 1.2
// times as many tasks must succeed as without it, and the VMs must return when demand
// falls.
func TestFollowingDemand(t *testing.T) {
	succeeded := make(map[bool]int)
	for _, follow := range []bool{false, true} {
		t.Run(strconv.FormatBool(follow), func(t *testing.T) {
			runInMemory(t, func(g *gomega.WithT, d *demo.Demo, _ *standin.Network) {
				for path, in := range map[string]any{
					"/presets/flow": fleet.Preset{Targets: map[string]int{"tokens": 4, "takings": 2, "spare": 2}, FollowDemand: follow},
					"/teams/till":   fleet.Team{Share: 2, Limit: 200},
					"/queues/settle": fleet.Queue{
						Pool: "takings", Class: fleet.Normal, Teams: []string{"festival"}, Open: true, Owner: "till",
						Lease: fleet.Duration(5 * time.Second), Wait: fleet.Duration(10 * time.Second), Depth: 5000,
					},
					"/teams/festival": fleet.Team{Share: 2, Limit: 200},
				} {
					_, err := applyChange(d, 0, http.MethodPut, path, in)
					g.Expect(err).NotTo(gomega.HaveOccurred())
				}
				_, err := applyChange(d, 0, http.MethodPost, "/presets/flow/use", nil)
				g.Expect(err).NotTo(gomega.HaveOccurred())
				// Each second, 64 tasks of 500 ms arrive. They need 32 slots, and the pool
				// has 16.
				for _, r := range generateLoad(d, d.Access.SlowQueue, time.Second/64, time.Minute) {
					if r.status == http.StatusOK {
						succeeded[follow]++
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
	t.Logf("tasks succeeded in a minute: %d without following demand, %d with it", succeeded[false], succeeded[true])
	gomega.NewWithT(t).Expect(float64(succeeded[true])).To(gomega.BeNumerically(">", 1.2*float64(succeeded[false])))
}
