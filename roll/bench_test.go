package roll_test

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"almondcove/roll"
)

// The durations in the simulated fleets.
const (
	week = 7 * 24 * time.Hour
	// maintenanceTime is how long the maintenance of a VM takes: its tasks end
	// and it reboots.
	maintenanceTime = 10 * time.Minute
	// repairTime is how long a failed VM stays down.
	repairTime = 4 * time.Hour
	// fineInterval and coarseInterval are the times between plans.
	fineInterval   = time.Minute
	coarseInterval = 20 * time.Minute
)

// fleetSpec gives the size and the failure rate of a simulated fleet.
type fleetSpec struct {
	vms, pools, centres int
	// failures is the average number of VMs that fail per day.
	failures float64
}

var (
	smallFleet3Centres = fleetSpec{vms: 50, pools: 5, centres: 3, failures: 0.4}
	smallFleet4Centres = fleetSpec{vms: 50, pools: 5, centres: 4, failures: 0.4}
	largeFleet         = fleetSpec{vms: 2300, pools: 287, centres: 22, failures: 17}
)

func (s fleetSpec) snapshot(now time.Time) roll.Snapshot {
	snapshot := roll.Snapshot{Now: now, Pools: make(map[string]roll.Pool)}
	for i := range s.pools {
		snapshot.Pools[poolName(i)] = roll.Pool{Budget: 1, Period: 5 * week, Target: -1}
	}
	snapshot.Pools["spare"] = roll.Pool{Spare: true, Budget: 1, Target: -1}
	for i := range s.vms {
		snapshot.VMs = append(snapshot.VMs, roll.VM{
			Name: fmt.Sprintf("vm%04d", i), Centre: fmt.Sprint("c", i%s.centres), Rack: fmt.Sprint("r", i/4),
			Pool: poolName(i % s.pools), MaintainedAt: now,
		})
	}
	return snapshot
}

// planFunc plans and carries out the next steps of w. busy holds the VMs whose
// maintenance has started, with the time at which they have rebooted.
type planFunc func(w *world, busy map[string]time.Time)

// applyPlan carries out the steps of [roll.Plan].
func applyPlan(w *world, busy map[string]time.Time) {
	for _, a := range roll.Plan(w.snapshot) {
		w.apply(a)
		if d, ok := a.(roll.Drain); ok {
			busy[d.VM] = w.snapshot.Now.Add(maintenanceTime)
		}
	}
}

// firstFit is the baseline: it maintains one VM of the whole fleet at a time, the
// first that is due and whose pool has budget, even if the budgets allow more.
func firstFit(w *world, busy map[string]time.Time) {
	for i := range w.snapshot.VMs {
		v := &w.snapshot.VMs[i]
		if v.InMaintenance && v.Rebooted {
			v.InMaintenance, v.Rebooted, v.MaintainedAt = false, false, w.snapshot.Now
		}
	}
	if len(busy) > 0 {
		return
	}
	for i := range w.snapshot.VMs {
		v := &w.snapshot.VMs[i]
		pool := w.snapshot.Pools[v.Pool]
		all, _ := w.used(v.Pool)
		due := v.MaintainedAt.Before(pool.Wave) || pool.Period > 0 && w.snapshot.Now.Sub(v.MaintainedAt) > time.Duration(0.7*float64(pool.Period))
		if due && !v.InMaintenance && !v.Down && all < pool.Budget {
			v.InMaintenance = true
			busy[v.Name] = w.snapshot.Now.Add(maintenanceTime)
			return
		}
	}
}

// simResult is the result of a simulation.
type simResult struct {
	// maxAge is the longest time that any VM went without maintenance.
	maxAge time.Duration
	// vmHours is the time that VMs spent in maintenance, in VM-hours.
	vmHours float64
	// waveTime is the time from the start of the wave until the maintenance of every
	// VM is over.
	waveTime time.Duration
}

// simulate runs a fleet with random failures for d, and plans once per interval.
// If wave is true, it starts a wave and returns when the wave is over.
func simulate(s fleetSpec, plan planFunc, d, interval time.Duration, wave bool) simResult {
	start := time.Unix(1_000_000_000, 0)
	w := newWorld(s.snapshot(start))
	if wave {
		for name, p := range w.snapshot.Pools {
			p.Wave = start.Add(time.Second)
			w.snapshot.Pools[name] = p
		}
	}
	random := rand.New(rand.NewPCG(1, 2))
	busy, failed := make(map[string]time.Time), make(map[string]time.Time)
	var out simResult
	chance := s.failures * interval.Hours() / 24
	for w.snapshot.Now = start.Add(interval); w.snapshot.Now.Sub(start) < d; w.snapshot.Now = w.snapshot.Now.Add(interval) {
		if random.Float64() < chance {
			v := &w.snapshot.VMs[random.IntN(len(w.snapshot.VMs))]
			v.Down = true
			failed[v.Name] = w.snapshot.Now.Add(repairTime)
		}
		for name, at := range failed {
			if !w.snapshot.Now.Before(at) {
				w.vm(name).Down = false
				delete(failed, name)
			}
		}
		for name, at := range busy {
			if !w.snapshot.Now.Before(at) {
				w.vm(name).Rebooted = true
				delete(busy, name)
			}
		}
		plan(w, busy)
		out.vmHours += float64(len(busy)) * interval.Hours()
		if w.snapshot.Now.Sub(start)%time.Hour == 0 || wave {
			due := false
			for _, v := range w.snapshot.VMs {
				out.maxAge = max(out.maxAge, w.snapshot.Now.Sub(v.MaintainedAt))
				due = due || v.MaintainedAt.Before(start.Add(time.Second)) || v.InMaintenance
			}
			if wave && !due {
				out.waveTime = w.snapshot.Now.Sub(start)
				return out
			}
		}
	}
	return out
}

// BenchmarkRollout reports how long a wave over the whole fleet takes.
func BenchmarkRollout(b *testing.B) {
	for _, s := range []fleetSpec{smallFleet3Centres, smallFleet4Centres, largeFleet} {
		for _, planner := range []struct {
			name string
			plan planFunc
		}{{"ours", applyPlan}, {"first-fit", firstFit}} {
			b.Run(fmt.Sprintf("vms=%d/centres=%d/%s", s.vms, s.centres, planner.name), func(b *testing.B) {
				var out simResult
				for b.Loop() {
					out = simulate(s, planner.plan, 20*24*time.Hour, fineInterval, true)
				}
				b.ReportMetric(out.waveTime.Hours(), "rollout-h")
				b.ReportMetric(out.vmHours, "buffer-VMh")
				b.ReportMetric(0, "ns/op")
			})
		}
	}
}

// BenchmarkPeriod simulates ten weeks with failures and reports the longest time
// that a VM went without maintenance, in weeks.
func BenchmarkPeriod(b *testing.B) {
	b.Run(fmt.Sprintf("vms=%d", largeFleet.vms), func(b *testing.B) {
		var out simResult
		for b.Loop() {
			out = simulate(largeFleet, applyPlan, 10*week, coarseInterval, false)
		}
		b.ReportMetric(out.maxAge.Hours()/24/7, "oldest-weeks")
		b.ReportMetric(0, "ns/op")
	})
}

// BenchmarkPlan measures one plan in which a tenth of the VMs are due and a tenth
// of the pools lack a VM.
func BenchmarkPlan(b *testing.B) {
	for _, n := range []int{50, 500, 2300} {
		b.Run(fmt.Sprintf("vms=%d", n), func(b *testing.B) {
			s := fleetSpec{vms: n, pools: max(n/8, 1), centres: 22}
			snapshot := s.snapshot(time.Unix(1_000_000_000, 0))
			for i := range snapshot.VMs {
				if i%10 == 0 {
					snapshot.VMs[i].MaintainedAt = snapshot.Now.Add(-4 * week)
				}
				if i%20 == 5 {
					snapshot.VMs[i].Pool = "spare"
				}
			}
			for i := 0; i < s.pools; i += 10 {
				name := poolName(i)
				pool := snapshot.Pools[name]
				pool.Target = 9
				snapshot.Pools[name] = pool
			}
			for b.Loop() {
				roll.Plan(snapshot)
			}
		})
	}
}

// BenchmarkMoves switches to targets that give every tenth pool two more VMs, each
// taken from one of the next two pools, and back, and reports the number of moves.
// The baseline assigns the VMs to the pools in the order of their names.
func BenchmarkMoves(b *testing.B) {
	for _, s := range []fleetSpec{smallFleet3Centres, smallFleet4Centres, largeFleet} {
		b.Run(fmt.Sprintf("vms=%d/centres=%d", s.vms, s.centres), func(b *testing.B) {
			var moves, baseline int
			for b.Loop() {
				w := newWorld(s.snapshot(time.Unix(1_000_000_000, 0)))
				usual := w.sizes()
				peak := maps.Clone(usual)
				for i := 0; i+2 < s.pools; i += 10 {
					peak[poolName(i)] += 2
					peak[poolName(i+1)]--
					peak[poolName(i+2)]--
				}
				moves = w.switchTo(peak) + w.switchTo(usual)
				baseline = w.firstFitMoves(peak, usual) * 2
			}
			b.ReportMetric(float64(moves), "moves")
			b.ReportMetric(float64(baseline), "first-fit-moves")
			b.ReportMetric(0, "ns/op")
		})
	}
}

func poolName(i int) string { return fmt.Sprintf("p%03d", i) }

// sizes returns the number of VMs of each pool.
func (w *world) sizes() map[string]int {
	out := make(map[string]int)
	for _, v := range w.snapshot.VMs {
		out[v.Pool]++
	}
	return out
}

// switchTo sets the targets, carries out plans until none has a step left, and
// returns the number of moves.
func (w *world) switchTo(targets map[string]int) int {
	for name, p := range w.snapshot.Pools {
		if n, ok := targets[name]; ok {
			p.Target = n
			w.snapshot.Pools[name] = p
		}
	}
	moves := 0
	for {
		plan := roll.Plan(w.snapshot)
		if len(plan) == 0 {
			return moves
		}
		for _, a := range plan {
			w.apply(a)
			if _, ok := a.(roll.Move); ok {
				moves++
			}
		}
		for i := range w.snapshot.VMs {
			w.snapshot.VMs[i].Idle = w.snapshot.VMs[i].MovingTo != ""
		}
	}
}

// firstFitMoves returns how many VMs change pools when the pool sizes change from
// a to b and each time the VMs are assigned to the pools in the order of names.
func (w *world) firstFitMoves(a, b map[string]int) int {
	assign := func(sizes map[string]int) []string {
		var out []string
		for _, name := range slices.Sorted(maps.Keys(sizes)) {
			for range sizes[name] {
				out = append(out, name)
			}
		}
		return out
	}
	changed := 0
	before, after := assign(a), assign(b)
	for i := range before {
		if before[i] != after[i] {
			changed++
		}
	}
	return changed
}
