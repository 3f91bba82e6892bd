package schedule_test

import (
	"fmt"
	"testing"
	"time"

	"almondcove/job"
	"almondcove/schedule"
)

// BenchmarkDecision looks once, with one task to place; it is timed without the
// bookkeeping before and after.
func BenchmarkDecision(b *testing.B) {
	for _, vms := range []int{350, 2300} {
		b.Run(fmt.Sprintf("VMs=%d", vms), func(b *testing.B) {
			w := busySite(b, vms, 0)
			w.core.Plan(w.now)
			ends := make(map[string]int64)
			b.ReportAllocs()
			b.ResetTimer()
			for n := range b.N {
				b.StopTimer()
				j := batch(job.ID(fmt.Sprint(n)), 1)
				j.Queue = fmt.Sprint("qpool-", n%pools)
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
						Ended: []schedule.End{{Number: ends[s.VM], Run: s.Run, How: schedule.Done}},
					}, w.now)
				}
				b.StartTimer()
			}
		})
	}
}
