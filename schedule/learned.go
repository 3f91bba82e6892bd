package schedule

import (
	"cmp"
	"encoding/json"
	"math"
	"slices"
	"time"

	"almondcove/speed"
)

const (
	// learnedInterval is the least time between two records of what was learned.
	learnedInterval = 5 * time.Second
	// learnedChange is the ratio by which a recorded value must be wrong to be recorded anew.
	learnedChange = 1.25
	// maxLearnedQueues and maxLearnedVMs bound the record.
	maxLearnedQueues = 64
	maxLearnedVMs    = 64
	// maxLearnedTime bounds the task times that are read.
	maxLearnedTime = time.Hour
)

// Learned is the record of what an owner has learned from the ends of runs. The next owner
// starts from it, and gives it less weight than what it sees itself.
type Learned struct {
	Queues []LearnedQueue `json:"queues,omitempty"`
	// VMs lists VMs of notable speed.
	VMs []speed.VMRecord `json:"vms,omitempty"`
}

// LearnedQueue is the record of what was learned of a queue.
type LearnedQueue struct {
	speed.QueueRecord
	// Time is the mean time of a task in milliseconds, and Cores the mean need of a job in
	// thousandths of a core; zero means not known.
	Time  int64 `json:"time,omitempty"`
	Cores int64 `json:"cores,omitempty"`
}

// currentLearned returns what is to be recorded now. Queues with the most work for a job are
// recorded first.
func (c *Core) currentLearned() Learned {
	out := Learned{VMs: c.speeds.VMs(maxLearnedVMs)}
	for name, a := range c.averages {
		if _, configured := c.view.Queues[name]; configured && a.taskTime > 0 {
			out.Queues = append(out.Queues, LearnedQueue{
				c.speeds.Queue(name), int64(math.Round(1000 * a.taskTime)), int64(math.Round(1000 * a.cores)),
			})
		}
	}
	slices.SortFunc(out.Queues, func(a, b LearnedQueue) int {
		return cmp.Or(cmp.Compare(b.Time*b.Cores, a.Time*a.Cores), cmp.Compare(a.Name, b.Name))
	})
	out.Queues = out.Queues[:min(len(out.Queues), maxLearnedQueues)]
	slices.SortFunc(out.Queues, func(a, b LearnedQueue) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

// differs reports whether two records differ noticeably.
func (l Learned) differs(o Learned) bool {
	far := func(a, b int64) bool {
		return float64(max(a, b)) > learnedChange*float64(min(a, b))
	}
	return !slices.EqualFunc(l.Queues, o.Queues, func(a, b LearnedQueue) bool {
		return a.Name == b.Name && !far(a.Time, b.Time) && !far(a.Cores, b.Cores) && !far(a.Typical, b.Typical)
	}) || !slices.EqualFunc(l.VMs, o.VMs, func(a, b speed.VMRecord) bool {
		return a.VM == b.VM && !far(a.Speed, b.Speed)
	})
}

// learnedOutdated reports whether what was learned is to be recorded with the next commit.
func (c *Core) learnedOutdated(now time.Time) bool {
	if now.Sub(c.learnedAt) < learnedInterval {
		return false
	}
	if c.currentLearned().differs(c.learned) {
		return true
	}
	c.learnedAt = now
	return false
}

// takeLearned returns the encoded record of what was learned.
func (c *Core) takeLearned(now time.Time) (json.RawMessage, error) {
	c.learned, c.learnedAt = c.currentLearned(), now
	return json.Marshal(c.learned)
}

// restoreLearned takes over what the previous owner has learned. A record that can't be decoded
// is ignored.
func (c *Core) restoreLearned(data json.RawMessage, now time.Time) {
	if data == nil {
		return
	}
	var l Learned
	if err := json.Unmarshal(data, &l); err != nil {
		c.config.Log.Warn("record of durations and speeds not decoded; ignoring it", "bytes", len(data), "error", err)
		return
	}
	for _, q := range l.Queues[:min(len(l.Queues), maxLearnedQueues)] {
		c.speeds.RestoreQueue(q.QueueRecord)
		if q.Time <= 0 || q.Time > maxLearnedTime.Milliseconds() || q.Cores < 0 {
			continue
		}
		a := c.averagesFor(q.Name)
		a.taskTime, a.timeWeight = float64(q.Time)/1000, restoredWeight
		a.cores, a.coresWeight = float64(q.Cores)/1000, restoredWeight
	}
	for _, r := range l.VMs[:min(len(l.VMs), maxLearnedVMs)] {
		c.speeds.RestoreVM(r, now)
	}
	c.learned = l
	c.config.Log.Info("durations and speeds restored", "queues", len(l.Queues), "vms", len(l.VMs), "bytes", len(data))
}
