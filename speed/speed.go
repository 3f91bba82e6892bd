// Package speed learns how fast VMs are from the times that tasks take on them.
//
// Tasks of one queue differ, so a single slow one says little about its VM. The time of each
// task is compared with what is usual for its queue, and a VM's speed becomes notable only
// once the median over several groups of tasks, such as those of one step, differs from
// usual by much more than the spread of the queues explains. Observations are forgotten
// after a while.
//
// The package performs no I/O and reads no clock.
//
// # Usage
//
//	t := speed.New(speed.Config{Retention: 30 * time.Second})
//	t.Observe(speed.End{Queue: "q", VM: "vm-1", Group: step, Share: 1, Took: took}, now)
//	if s, notable := t.Speed("vm-1"); notable {
//		expected = time.Duration(float64(expected) / s)
//	}
package speed

import (
	"math"
	"slices"
	"time"
)

// Config configures a table.
type Config struct {
	// Retention is how long an observation counts.
	Retention time.Duration
}

// End is the end of a task.
type End struct {
	Queue, VM string
	// Group identifies tasks that are alike. Those that end on one VM count as one.
	Group uint64
	// Share is the weight of the end for what is usual in its queue: one divided by the
	// number of tasks of the group.
	Share float64
	// Took is how long the task ran.
	Took time.Duration
}

// Table holds what is known of the speeds of VMs. It is not safe for concurrent use.
type Table struct {
	config Config
	queues map[string]*queue
	vms    map[string]*vm
	// doubtful is set while most of the measured VMs are notably slow, so that what is held
	// to be usual must be wrong.
	doubtful bool
}

// New returns an empty table.
func New(c Config) *Table {
	return &Table{config: c, queues: make(map[string]*queue), vms: make(map[string]*vm)}
}

// The parameters of a queue's usual time.
const (
	// meanWeight is the weight of a group of tasks in the moving averages of its queue.
	meanWeight = 0.05
	// settledGroups is how many groups a queue must have seen before its tasks say
	// something about their VMs.
	settledGroups = 8
	// outlierSpreads bounds the effect of a single time on the averages, in spreads.
	outlierSpreads = 2
	// minSpread and initialSpread are natural logarithms of ratios, like queue.spread.
	minSpread     = 0.15
	initialSpread = 0.5
	// deviationSpread is the ratio of the standard deviation to the mean absolute deviation of
	// a normal distribution.
	deviationSpread = 1.25
)

// queue holds what is usual in a queue.
type queue struct {
	// centre is the mean natural logarithm of the time of a task in seconds, and spread the
	// standard deviation of that logarithm.
	centre, spread float64
	// groups is the number of groups observed, at most 1/meanWeight.
	groups float64
}

// add adds the logarithm of a time, with the weight share.
func (q *queue) add(x, share float64) {
	if q.groups == 0 {
		q.centre, q.spread, q.groups = x, initialSpread, share
		return
	}
	weight := min(share*max(meanWeight, 1/(q.groups+1)), 1)
	q.groups = min(q.groups+share, 1/meanWeight)
	limit := outlierSpreads * max(q.spread, minSpread)
	d := min(max(x-q.centre, -limit), limit)
	q.centre += weight * d
	q.spread += weight * (deviationSpread*math.Abs(d) - q.spread)
}

// The parameters of a VM's speed.
const (
	// maxSamples is the number of samples kept of a VM, and minSamples how many it takes for
	// its speed to be notable.
	maxSamples = 12
	minSamples = 4
	// noticeErrors is how many standard errors a speed must differ from usual to become
	// notable, and keepErrors how many to remain so.
	noticeErrors = 3.5
	keepErrors   = 2.0
	// medianError is the ratio of the standard error of a median to that of a mean.
	medianError = 1.25
	// doubtfulDivisor is the part of the measured VMs, as a divisor, that may be slow.
	doubtfulDivisor = 2
)

var (
	// noticeRatio is the natural logarithm of the least ratio between a usual VM and one of
	// notable speed, and keepRatio of the least one to remain notable. maxRatio bounds single
	// ratios.
	noticeRatio = math.Log(1.5)
	keepRatio   = math.Log(1.25)
	maxRatio    = math.Log(64)
)

// sample holds the ends of one group on a VM.
type sample struct {
	group uint64
	// sum is the sum of the logarithms of the ratios to what is usual, of that many ends.
	sum  float64
	ends int
	// spread is the spread of the queue.
	spread float64
	at     time.Time
	// restored is set for a sample from a record.
	restored bool
}

func (s *sample) mean() float64 { return s.sum / float64(s.ends) }

// vm holds what is known of a VM.
type vm struct {
	// samples are in the order of their first ends.
	samples []sample
	// ratio is the logarithm of the time that a task takes on the VM relative to usual. It
	// is meaningful only while notable is set.
	ratio   float64
	notable bool
}

// Observe adds the end of a task that succeeded.
func (t *Table) Observe(e End, now time.Time) {
	if e.Took <= 0 || e.Share <= 0 {
		return
	}
	q := t.queues[e.Queue]
	if q == nil {
		q = &queue{}
		t.queues[e.Queue] = q
	}
	x := math.Log(e.Took.Seconds())
	if q.groups >= settledGroups {
		v := t.vms[e.VM]
		if v == nil {
			v = &vm{samples: make([]sample, 0, maxSamples)}
			t.vms[e.VM] = v
		}
		v.add(e.Group, min(max(x-q.centre, -maxRatio), maxRatio), q.spread, now)
		v.judge(now.Add(-t.config.Retention))
	}
	q.add(x, e.Share)
}

// add adds a ratio to the sample of its group. A new sample replaces one from a record.
func (v *vm) add(group uint64, ratio, spread float64, now time.Time) {
	for i := range v.samples {
		if s := &v.samples[i]; s.group == group && !s.restored {
			s.sum += ratio
			s.ends++
			s.at = now
			return
		}
	}
	oldest := slices.IndexFunc(v.samples, func(s sample) bool { return s.restored })
	if oldest < 0 && len(v.samples) == maxSamples {
		oldest = 0
	}
	if oldest >= 0 {
		v.samples = slices.Delete(v.samples, oldest, oldest+1)
	}
	v.samples = append(v.samples, sample{group: group, sum: ratio, ends: 1, spread: spread, at: now})
}

// judge drops the samples from before since, and finds out whether the speed is notable.
func (v *vm) judge(since time.Time) {
	v.samples = slices.DeleteFunc(v.samples, func(s sample) bool { return s.at.Before(since) })
	n := len(v.samples)
	if n < minSamples {
		v.notable, v.ratio = false, 0
		return
	}
	var buf [maxSamples]float64
	means, variance := buf[:0], 0.0
	for i := range v.samples {
		means = append(means, v.samples[i].mean())
		spread := max(v.samples[i].spread, minSpread)
		variance += spread * spread / float64(n)
	}
	slices.Sort(means)
	median := (means[(n-1)/2] + means[n/2]) / 2
	standardError := medianError * math.Sqrt(variance/float64(n))
	threshold := max(noticeRatio, noticeErrors*standardError)
	if v.notable && median*v.ratio > 0 {
		threshold = max(keepRatio, keepErrors*standardError)
	}
	v.ratio, v.notable = median, math.Abs(median) >= threshold
}

// Refresh forgets what is too old. It is to be called about once a second.
func (t *Table) Refresh(now time.Time) {
	measured, slow := 0, 0
	for id, v := range t.vms {
		v.judge(now.Add(-t.config.Retention))
		if len(v.samples) == 0 {
			delete(t.vms, id)
		}
		// Records hold only VMs of notable speed.
		if len(v.samples) < minSamples || v.samples[0].restored {
			continue
		}
		measured++
		if v.notable && v.ratio > 0 {
			slow++
		}
	}
	t.doubtful = slow*doubtfulDivisor > measured
}

// Speed returns the speed of a VM relative to usual, and whether it is notable. A task takes
// twice as long as usual on a VM of speed 0.5. A speed that is not notable is 1.
func (t *Table) Speed(id string) (float64, bool) {
	v := t.vms[id]
	if v == nil || !v.notable || t.doubtful {
		return 1, false
	}
	return math.Exp(-v.ratio), true
}
