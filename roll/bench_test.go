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

// The fleet of the benchmarks.
const (
	week = 7 * 24 * time.Hour
	// maintained is how long a VM is out: its tasks end and it reboots.
	maintained = 10 * time.Minute
	// mended is how long a failed VM is gone.
	mended = 4 * time.Hour
	// minute and coarse are the times between plans.
	minute = time.Minute
	coarse = 20 * time.Minute
)

type fleetSize struct {
	vms, pools, centres int
	// failures is the number of VMs that fail a day.
	failures float64
}

var (
	cooperative = fleetSize{vms: 50, pools: 5, centres: 3, failures: 0.4}
	brewery     = fleetSize{vms: 50, pools: 5, centres: 4, failures: 0.4}
	letterSize  = fleetSize{vms: 2300, pools: 287, centres: 22, failures: 17}
)

func (s fleetSize) picture(now time.Time) roll.Picture {
	p := roll.Picture{Now: now, Pools: make(map[string]roll.Pool)}
	for i := range s.pools {
		p.Pools[poolName(i)] = roll.Pool{Budget: 1, Period: 5 * week, Target: -1}
	}
	p.Pools["spare"] = roll.Pool{Spare: true, Budget: 1, Target: -1}
	for i := range s.vms {
		p.VMs = append(p.VMs, roll.VM{
			Name: fmt.Sprintf("vm%04d", i), Centre: fmt.Sprint("c", i%s.centres), Rack: fmt.Sprint("r", i/4),
			Pool: poolName(i % s.pools), Done: now,
		})
	}
	return p
}

// planner is ours or a baseline.
type planner func(w *world, busy map[string]time.Time)

func ours(w *world, busy map[string]time.Time) {
	for _, a := range roll.Plan(w.p) {
		w.apply(a)
		if d, ok := a.(roll.Drain); ok {
			busy[d.VM] = w.p.Now.Add(maintained)
		}
	}
}

// oneAtATime is the baseline: the first VM that is due, one in the whole
// fleet at a time, whatever the budgets have room for.
func oneAtATime(w *world, busy map[string]time.Time) {
	for i := range w.p.VMs {
		v := &w.p.VMs[i]
		if v.Out && v.Fresh {
			v.Out, v.Fresh, v.Done = false, false, w.p.Now
		}
	}
	if len(busy) > 0 {
		return
	}
	for i := range w.p.VMs {
		v := &w.p.VMs[i]
		pool := w.p.Pools[v.Pool]
		all, _ := w.used(v.Pool)
		due := v.Done.Before(pool.Wave) || pool.Period > 0 && w.p.Now.Sub(v.Done) > time.Duration(0.7*float64(pool.Period))
		if due && !v.Out && !v.Down && all < pool.Budget {
			v.Out = true
			busy[v.Name] = w.p.Now.Add(maintained)
			return
		}
	}
}

// outcome is what a run of weeks cost.
type outcome struct {
	// oldest is the greatest time any VM went without maintenance.
	oldest time.Duration
	// out is the time that VMs were out, in VM-hours.
	out float64
	// took is the time until no VM was due any more.
	took time.Duration
}

// simulate runs a fleet for d with failures, or until a wave is over.
func simulate(s fleetSize, plan planner, d, look time.Duration, wave bool) outcome {
	start := time.Unix(1_000_000_000, 0)
	w := newWorld(s.picture(start))
	if wave {
		for name, p := range w.p.Pools {
			p.Wave = start.Add(time.Second)
			w.p.Pools[name] = p
		}
	}
	random := rand.New(rand.NewPCG(1, 2))
	busy, broken := make(map[string]time.Time), make(map[string]time.Time)
	var out outcome
	chance := s.failures * look.Hours() / 24
	for w.p.Now = start.Add(look); w.p.Now.Sub(start) < d; w.p.Now = w.p.Now.Add(look) {
		if random.Float64() < chance {
			v := &w.p.VMs[random.IntN(len(w.p.VMs))]
			v.Down = true
			broken[v.Name] = w.p.Now.Add(mended)
		}
		for name, at := range broken {
			if !w.p.Now.Before(at) {
				w.vm(name).Down = false
				delete(broken, name)
			}
		}
		for name, at := range busy {
			if !w.p.Now.Before(at) {
				w.vm(name).Fresh = true
				delete(busy, name)
			}
		}
		plan(w, busy)
		out.out += float64(len(busy)) * look.Hours()
		if w.p.Now.Sub(start)%time.Hour == 0 || wave {
			late := false
			for _, v := range w.p.VMs {
				out.oldest = max(out.oldest, w.p.Now.Sub(v.Done))
				late = late || v.Done.Before(start.Add(time.Second)) || v.Out
			}
			if wave && !late {
				out.took = w.p.Now.Sub(start)
				return out
			}
		}
	}
	return out
}

// BenchmarkRollout prints how long a wave over the whole fleet takes.
func BenchmarkRollout(b *testing.B) {
	for _, s := range []fleetSize{cooperative, brewery, letterSize} {
		for _, way := range []struct {
			name string
			plan planner
		}{{"ours", ours}, {"first-fit", oneAtATime}} {
			b.Run(fmt.Sprintf("vms=%d/centres=%d/%s", s.vms, s.centres, way.name), func(b *testing.B) {
				var out outcome
				for b.Loop() {
					out = simulate(s, way.plan, 20*24*time.Hour, minute, true)
				}
				b.ReportMetric(out.took.Hours(), "rollout-h")
				b.ReportMetric(out.out, "buffer-VMh")
				b.ReportMetric(0, "ns/op")
			})
		}
	}
}

// BenchmarkPeriod runs ten weeks of failures and prints the oldest VM in weeks.
func BenchmarkPeriod(b *testing.B) {
	b.Run(fmt.Sprintf("vms=%d", letterSize.vms), func(b *testing.B) {
		var out outcome
		for b.Loop() {
			out = simulate(letterSize, ours, 10*week, coarse, false)
		}
		b.ReportMetric(out.oldest.Hours()/24/7, "oldest-weeks")
		b.ReportMetric(0, "ns/op")
	})
}

// BenchmarkPlan prints the time of one plan in which a tenth of the VMs are due
// and a tenth of the pools lack a VM.
func BenchmarkPlan(b *testing.B) {
	for _, n := range []int{50, 500, 2300} {
		b.Run(fmt.Sprintf("vms=%d", n), func(b *testing.B) {
			s := fleetSize{vms: n, pools: max(n/8, 1), centres: 22}
			p := s.picture(time.Unix(1_000_000_000, 0))
			for i := range p.VMs {
				if i%10 == 0 {
					p.VMs[i].Done = p.Now.Add(-4 * week)
				}
				if i%20 == 5 {
					p.VMs[i].Pool = "spare"
				}
			}
			for i := 0; i < s.pools; i += 10 {
				name := poolName(i)
				pool := p.Pools[name]
				pool.Target = 9
				p.Pools[name] = pool
			}
			for b.Loop() {
				roll.Plan(p)
			}
		})
	}
}

// BenchmarkMoves switches to a preset that gives every tenth pool two more VMs
// and takes one from two others each, and back, and prints the moves. The
// baseline gives each pool its number of VMs in the order of their names.
func BenchmarkMoves(b *testing.B) {
	for _, s := range []fleetSize{cooperative, brewery, letterSize} {
		b.Run(fmt.Sprintf("vms=%d/centres=%d", s.vms, s.centres), func(b *testing.B) {
			var moves, plain int
			for b.Loop() {
				w := newWorld(s.picture(time.Unix(1_000_000_000, 0)))
				usual := w.sizes()
				peak := maps.Clone(usual)
				for i := 0; i+2 < s.pools; i += 10 {
					peak[poolName(i)] += 2
					peak[poolName(i+1)]--
					peak[poolName(i+2)]--
				}
				moves = w.switchTo(peak) + w.switchTo(usual)
				plain = w.inOrder(peak, usual) * 2
			}
			b.ReportMetric(float64(moves), "moves")
			b.ReportMetric(float64(plain), "first-fit-moves")
			b.ReportMetric(0, "ns/op")
		})
	}
}

func poolName(i int) string { return fmt.Sprintf("p%03d", i) }

// sizes returns the number of VMs of each pool.
func (w *world) sizes() map[string]int {
	out := make(map[string]int)
	for _, v := range w.p.VMs {
		out[v.Pool]++
	}
	return out
}

// switchTo carries out plans until the pools have their targets, and returns
// the number of VMs that were moved.
func (w *world) switchTo(targets map[string]int) int {
	for name, p := range w.p.Pools {
		if n, ok := targets[name]; ok {
			p.Target = n
			w.p.Pools[name] = p
		}
	}
	moves := 0
	for {
		plan := roll.Plan(w.p)
		if len(plan) == 0 {
			return moves
		}
		for _, a := range plan {
			w.apply(a)
			if _, ok := a.(roll.Move); ok {
				moves++
			}
		}
		for i := range w.p.VMs {
			w.p.VMs[i].Idle = w.p.VMs[i].To != ""
		}
	}
}

// inOrder returns how many VMs change pools when both assignments go by name.
func (w *world) inOrder(a, b map[string]int) int {
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
