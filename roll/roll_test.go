package roll_test

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"almondcove/roll"
)

func TestMain(m *testing.M) {
	flag.Parse()
	if flag.Lookup("rapid.seed").Value.String() == "0" {
		// CI checks the same cases in every run; longer manual runs set their own seed.
		_ = flag.Set("rapid.seed", "20261204")
		_ = flag.Set("rapid.checks", "500")
	}
	os.Exit(m.Run())
}

// world is a simulated fleet on which plans are carried out.
type world struct {
	snapshot roll.Snapshot
	index    map[string]int
}

func newWorld(snapshot roll.Snapshot) *world {
	w := &world{snapshot: snapshot, index: make(map[string]int)}
	for i, v := range snapshot.VMs {
		w.index[v.Name] = i
	}
	return w
}

func (w *world) vm(name string) *roll.VM { return &w.snapshot.VMs[w.index[name]] }

// used counts the unavailable VMs of a pool, and those that a plan made unavailable.
func (w *world) used(pool string) (all, planned int) {
	for _, v := range w.snapshot.VMs {
		if v.Pool != pool {
			continue
		}
		if v.InMaintenance || v.MovingTo != "" {
			planned++
		}
		if v.InMaintenance || v.MovingTo != "" || v.Down || v.Disabled {
			all++
		}
	}
	return all, planned
}

// apply carries out one step. It returns an error text if the VM's pool exceeds
// its budget afterwards.
func (w *world) apply(a roll.Action) string {
	switch a := a.(type) {
	case roll.Drain:
		v := w.vm(a.VM)
		v.InMaintenance, v.Idle, v.Rebooted = true, false, false
		return w.check(v.Pool)
	case roll.Move:
		v := w.vm(a.VM)
		if a.Pool == v.Pool {
			v.MovingTo = ""
			return ""
		}
		v.MovingTo, v.Idle = a.Pool, false
		return w.check(v.Pool)
	case roll.Reboot:
		v := w.vm(a.VM)
		v.Rebooted, v.Idle = true, false
	case roll.FinishMaintenance:
		v := w.vm(a.VM)
		v.InMaintenance, v.Rebooted, v.MaintainedAt = false, false, w.snapshot.Now
	case roll.FinishMove:
		v := w.vm(a.VM)
		v.Pool, v.MovingTo, v.Idle = v.MovingTo, "", false
	}
	return ""
}

func (w *world) check(pool string) string {
	p := w.snapshot.Pools[pool]
	if all, _ := w.used(pool); !p.Spare && all > p.Budget {
		return fmt.Sprintf("pool %s has %d VMs unavailable after a planned step, budget %d", pool, all, p.Budget)
	}
	return ""
}

func drawWorld(t *rapid.T) *world {
	now := time.Unix(1_000_000_000, 0)
	snapshot := roll.Snapshot{Now: now, Pools: make(map[string]roll.Pool)}
	pools := rapid.IntRange(1, 5).Draw(t, "pools")
	for i := range pools {
		snapshot.Pools[fmt.Sprint("p", i)] = roll.Pool{
			Budget: rapid.IntRange(0, 3).Draw(t, "budget"), Period: time.Hour, Target: rapid.IntRange(-1, 6).Draw(t, "target"),
		}
	}
	snapshot.Pools["spare"] = roll.Pool{Spare: true, Budget: 1, Target: -1}
	for i := range rapid.IntRange(0, 24).Draw(t, "vms") {
		pool := fmt.Sprint("p", rapid.IntRange(0, pools).Draw(t, "pool"))
		if pool == fmt.Sprint("p", pools) {
			pool = "spare"
		}
		snapshot.VMs = append(snapshot.VMs, roll.VM{
			Name: fmt.Sprintf("vm%02d", i), Centre: fmt.Sprint("c", i%3), Rack: fmt.Sprint("r", i%4), Pool: pool,
			MaintainedAt: now.Add(-time.Duration(rapid.IntRange(0, 90).Draw(t, "age")) * time.Minute),
		})
	}
	return newWorld(snapshot)
}

// TestPlansPassNoBudget guards against plans that make more VMs of a pool
// unavailable than its budget allows, when VMs fail and recover, operators
// disable VMs, targets change and plans are carried out only in part.
func TestPlansPassNoBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := drawWorld(t)
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			w.applyRandomEvent(t)
			plan := roll.Plan(w.snapshot)
			// A leader may stop after any step; the next one plans from the state left behind.
			for _, a := range plan[:rapid.IntRange(0, len(plan)).Draw(t, "carried out")] {
				if text := w.apply(a); text != "" {
					t.Fatalf("%s: %T %+v", text, a, a)
				}
			}
			w.snapshot.Now = w.snapshot.Now.Add(time.Minute)
		}
	})
}

// applyRandomEvent changes the state of a random VM, or the target of one pool.
func (w *world) applyRandomEvent(t *rapid.T) {
	if len(w.snapshot.VMs) == 0 {
		return
	}
	v := &w.snapshot.VMs[rapid.IntRange(0, len(w.snapshot.VMs)-1).Draw(t, "vm")]
	switch rapid.IntRange(0, 4).Draw(t, "event") {
	case 0:
		v.Down = !v.Down
	case 1:
		v.Disabled = !v.Disabled
	case 2, 3:
		v.Idle = (v.InMaintenance || v.MovingTo != "") && !v.Rebooted
	case 4:
		for name, p := range w.snapshot.Pools {
			if !p.Spare {
				p.Target = rapid.IntRange(-1, 6).Draw(t, "target of "+name)
				w.snapshot.Pools[name] = p
				return
			}
		}
	}
}

// TestPlansEnd guards against plans that never come to an end, and against VMs
// that stay in maintenance, in a move or unmaintained, in a fleet without
// failures.
func TestPlansEnd(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := drawWorld(t)
		for i := 0; ; i++ {
			for j := range w.snapshot.VMs {
				v := &w.snapshot.VMs[j]
				v.Idle = (v.InMaintenance || v.MovingTo != "") && !v.Rebooted
			}
			plan := roll.Plan(w.snapshot)
			if len(plan) == 0 {
				break
			}
			if i > 200 {
				t.Fatalf("steps left after more than 200 plans: %T %+v", plan[0], plan[0])
			}
			for _, a := range plan {
				w.apply(a)
			}
		}
		for _, v := range w.snapshot.VMs {
			if v.InMaintenance || v.MovingTo != "" {
				t.Fatalf("%s is still in maintenance or moving", v.Name)
			}
			if p := w.snapshot.Pools[v.Pool]; !p.Spare && p.Budget > 0 && w.snapshot.Now.Sub(v.MaintainedAt) > p.Period {
				t.Fatalf("%s was last maintained %v ago", v.Name, w.snapshot.Now.Sub(v.MaintainedAt))
			}
		}
	})
}

// TestForecastNamesTheObstacle guards against a forecast that the period will be
// met although a failed VM uses up the whole budget.
func TestForecastNamesTheObstacle(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Unix(1_000_000_000, 0)
	snapshot := roll.Snapshot{Now: now, Pools: map[string]roll.Pool{"a": {Budget: 1, Period: time.Hour, Target: -1}}}
	snapshot.VMs = []roll.VM{{Name: "x", Pool: "a", Down: true, MaintainedAt: now}, {Name: "y", Pool: "a", MaintainedAt: now}}
	f := roll.Forecasts(snapshot, time.Minute)
	g.Expect(f).To(gomega.HaveLen(1))
	g.Expect(f[0].PeriodMet).To(gomega.BeFalse())
	g.Expect(f[0].Obstacle).To(gomega.ContainSubstring("no budget"))
	snapshot.VMs[0].Down = false
	g.Expect(roll.Forecasts(snapshot, time.Minute)[0].PeriodMet).To(gomega.BeTrue())
}

// TestFollowerWaitsAndGivesBack guards against a move for a short load peak, a
// second move while one is in progress, and a lent VM that is not returned after
// the load has fallen.
func TestFollowerWaitsAndGivesBack(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Unix(1_000_000_000, 0)
	snapshot := roll.Snapshot{Now: now, Pools: map[string]roll.Pool{"a": {Budget: 1, Target: -1}, "spare": {Spare: true, Target: -1}}}
	snapshot.VMs = []roll.VM{{Name: "x", Centre: "c", Pool: "a"}, {Name: "y", Centre: "c", Pool: "spare"}, {Name: "z", Centre: "other", Pool: "spare"}}
	var f roll.DemandFollower
	step := func(after time.Duration, want int) []roll.Action {
		snapshot.Now = now.Add(after)
		return f.PlanMoves(snapshot, "c", []roll.Load{{Pool: "a", Tasks: want, Slots: 8}})
	}
	g.Expect(step(0, 40)).To(gomega.BeEmpty())
	g.Expect(step(10*time.Second, 4)).To(gomega.BeEmpty(), "a short peak starts no move")
	g.Expect(step(20*time.Second, 40)).To(gomega.BeEmpty())
	g.Expect(step(35*time.Second, 40)).To(gomega.Equal([]roll.Action{roll.Move{VM: "y", Pool: "a"}}))
	snapshot.VMs[1].MovingTo = "a"
	g.Expect(step(60*time.Second, 40)).To(gomega.BeEmpty(), "a move is in progress")
	snapshot.VMs[1].Pool, snapshot.VMs[1].MovingTo, snapshot.VMs[1].HomePool = "a", "", "spare"
	g.Expect(step(2*time.Minute, 1)).To(gomega.BeEmpty())
	g.Expect(step(4*time.Minute, 1)).To(gomega.Equal([]roll.Action{roll.Move{VM: "y", Pool: "spare"}}))
}
