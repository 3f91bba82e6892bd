package speed

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// QueueRecord is the record of what is usual in a queue.
type QueueRecord struct {
	Name string `json:"name"`
	// Typical is the geometric mean of the time of a task, in milliseconds; zero if too few
	// ends are known.
	Typical int64 `json:"typical,omitempty"`
	// Spread is the standard deviation of the natural logarithm of that time, in thousandths.
	Spread int64 `json:"spread,omitempty"`
}

// VMRecord is the record of a VM of notable speed.
type VMRecord struct {
	VM string `json:"vm"`
	// Speed is the speed in thousandths of the usual one.
	Speed int64 `json:"speed"`
}

// Queue returns the record of a queue.
func (t *Table) Queue(name string) QueueRecord {
	q := t.queues[name]
	if q == nil || q.groups < settledGroups {
		return QueueRecord{Name: name}
	}
	return QueueRecord{
		Name: name, Typical: int64(math.Round(1000 * math.Exp(q.centre))), Spread: int64(math.Round(1000 * q.spread)),
	}
}

// VMs returns the records of at most limit VMs of notable speed, in the order of their ids.
// If there are more, those whose speed differs most from usual are returned.
func (t *Table) VMs(limit int) []VMRecord {
	if t.doubtful {
		return nil
	}
	var notable []string
	for id, v := range t.vms {
		if v.notable {
			notable = append(notable, id)
		}
	}
	slices.SortFunc(notable, func(a, b string) int {
		return cmp.Or(cmp.Compare(math.Abs(t.vms[b].ratio), math.Abs(t.vms[a].ratio)), cmp.Compare(a, b))
	})
	notable = notable[:min(len(notable), limit)]
	slices.Sort(notable)
	var out []VMRecord
	for _, id := range notable {
		out = append(out, VMRecord{VM: id, Speed: int64(math.Round(1000 * math.Exp(-t.vms[id].ratio)))})
	}
	return out
}

// restoredDivisor is the part of the retention time, as a divisor, for which a record counts.
const restoredDivisor = 2

// RestoreQueue takes over the record of a queue of which nothing has been observed. It counts
// as a few observations.
func (t *Table) RestoreQueue(r QueueRecord) {
	if t.queues[r.Name] != nil || r.Typical <= 0 || r.Spread < 0 || r.Spread > 1000*int64(maxRatio) {
		return
	}
	t.queues[r.Name] = &queue{
		centre: math.Log(float64(r.Typical) / 1000), spread: float64(r.Spread) / 1000, groups: settledGroups,
	}
}

// RestoreVM takes over the record of a VM of which nothing has been observed. It counts as the
// fewest samples that make a speed notable, for half of the retention time, and each sample
// observed replaces one of them.
func (t *Table) RestoreVM(r VMRecord, now time.Time) {
	if t.vms[r.VM] != nil || r.Speed <= 0 {
		return
	}
	ratio := -math.Log(float64(r.Speed) / 1000)
	if math.Abs(ratio) > maxRatio {
		return
	}
	at := now.Add(-t.config.Retention / restoredDivisor)
	// The recorded speed was notable, which takes no evidence anew.
	v := &vm{notable: true, ratio: ratio}
	for range minSamples {
		v.samples = append(v.samples, sample{sum: ratio, ends: 1, spread: minSpread, at: at, restored: true})
	}
	v.judge(now.Add(-t.config.Retention))
	t.vms[r.VM] = v
}
