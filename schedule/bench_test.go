package schedule_test

import (
	"fmt"
	"testing"
	"time"

	"almondcove/job"
	"almondcove/schedule"
)

// benchPools is the number of pools in the benchmarks.
const benchPools = 4

// newLoadedWorld returns a world with VMs in several pools, and with waiting jobs for
// whose tasks no VM has room.
func newLoadedWorld(b *testing.B, vms, waiting int) *harness {
	w := newHarness(b, 0)
	w.view.Queues = map[string]schedule.Queue{}
	for p := range benchPools {
		name := fmt.Sprint("pool-", p)
		w.view.Queues["q"+name] = schedule.Queue{Name: "q" + name, Pool: name, Attempts: 2, Stretch: 1.6, Slack: 600 * time.Millisecond}
	}
	w.core.SetView(w.view, w.now)
	for i := range vms {
		pool := fmt.Sprint("pool-", i%benchPools)
		id := fmt.Sprintf("vm-%04d", i)
		w.addVM(id, pool)
		w.machines = append(w.machines, schedule.Machine{Name: "m-" + id, Pool: pool, VM: id, Capacity: job.Resources{CPU: 8000, Memory: 16000}})
	}
	w.listVMs()
	w.run(200 * time.Millisecond)
	w.core.SetMachines(w.machines, w.now)
	for i := range waiting {
		j := batch(job.ID(fmt.Sprint("large-", i)), 8)
		j.Queue = fmt.Sprint("qpool-", i%benchPools)
		j.Steps[0].Need.CPU = 9000
		w.submit(j)
	}
	return w
}

// BenchmarkPlacement adds a job of one task, places the task and handles its end.
func BenchmarkPlacement(b *testing.B) {
	for _, vms := range []int{350, 2300} {
		for _, waiting := range []int{0, 200} {
			b.Run(fmt.Sprintf("VMs=%d/waiting=%d", vms, waiting), func(b *testing.B) {
				w := newLoadedWorld(b, vms, waiting)
				b.ReportAllocs()
				n := int64(0)
				ends := make(map[string]int64)
				for b.Loop() {
					n++
					w.now = w.now.Add(time.Millisecond)
					j := batch(job.ID(fmt.Sprint(n)), 1)
					j.Queue = fmt.Sprint("qpool-", n%benchPools)
					j.Accepted, j.Epoch = w.now, w.epoch
					w.core.Add(j, job.NewState(j), w.now)
					for _, a := range w.core.Plan(w.now) {
						s, ok := a.(schedule.Start)
						if !ok {
							continue
						}
						w.core.Started(s, schedule.Accepted, w.now)
						h, ok := w.core.Hold(s.VM, w.now)
						if !ok {
							b.Fatal("no hold")
						}
						ends[s.VM]++
						w.core.Held(h, schedule.Report{
							Clock: time.Hour, Born: w.vms[s.VM].VM.Born,
							Ended: []schedule.End{{Number: ends[s.VM], Run: s.Run, Outcome: schedule.Done}},
						}, w.now)
					}
					if n%200 == 0 {
						w.core.SetMachines(w.machines, w.now)
						w.now = w.now.Add(2 * time.Minute)
						w.writeRecords()
					}
				}
			})
		}
	}
}

// BenchmarkDecision plans once with one task to place. The timer excludes adding the job
// and handling its end.
func BenchmarkDecision(b *testing.B) {
	for _, vms := range []int{350, 2300} {
		b.Run(fmt.Sprintf("VMs=%d", vms), func(b *testing.B) {
			w := newLoadedWorld(b, vms, 0)
			w.core.Plan(w.now)
			ends := make(map[string]int64)
			b.ReportAllocs()
			b.ResetTimer()
			for n := range b.N {
				b.StopTimer()
				j := batch(job.ID(fmt.Sprint(n)), 1)
				j.Queue = fmt.Sprint("qpool-", n%benchPools)
				j.Accepted, j.Epoch = w.now, w.epoch
				w.core.Add(j, job.NewState(j), w.now)
				b.StartTimer()
				actions := w.core.Plan(w.now)
				b.StopTimer()
				for _, a := range actions {
					s, ok := a.(schedule.Start)
					if !ok {
						b.Fatal(a)
					}
					w.core.Started(s, schedule.Accepted, w.now)
					h, _ := w.core.Hold(s.VM, w.now)
					ends[s.VM]++
					w.core.Held(h, schedule.Report{
						Clock: time.Hour, Born: w.vms[s.VM].VM.Born,
						Ended: []schedule.End{{Number: ends[s.VM], Run: s.Run, Outcome: schedule.Done}},
					}, w.now)
				}
				b.StartTimer()
			}
		})
	}
}
