package schedule

import (
	"cmp"
	"slices"
	"time"

	"almondcove/job"
)

// queue is what the core knows of a queue on behalf of its accepted jobs, which go on when the
// configuration no longer has the queue.
type queue struct {
	name string
	// newest is the queue as of the newest configuration that has it, and recordedQueue as of
	// its record; nil means that none is known.
	newest, recordedQueue *Queue
	// usedAt is when a job of the queue was last admitted or added.
	usedAt time.Time
	// pools holds the pools in which runs of the queue's jobs may exist.
	pools poolSet
	// recorded holds those that the record of the fleet lists, and will list whatever becomes
	// of the commit in flight.
	recorded poolSet
}

// QueueRecord is the record of a queue that has accepted jobs.
type QueueRecord struct {
	Name string `json:"name"`
	// Settings is the queue as of the newest configuration that has it; nil means that no
	// such configuration is known.
	Settings *Queue `json:"settings,omitempty"`
	// Pools lists the pools in which tasks of the queue's jobs may have been started; nil
	// means that it is not known which.
	Pools []string `json:"pools,omitempty"`
}

// queue returns what is known of a queue. It begins to keep track of the queue if necessary;
// jobs that were accepted earlier may then have runs in any pool.
func (c *Core) queue(name string, earlierJobs bool, now time.Time) *queue {
	q := c.queues[name]
	if q == nil {
		q = &queue{name: name, pools: poolSet{all: earlierJobs}}
		c.queues[name] = q
		c.queueChanged(q)
	}
	q.usedAt = now
	c.configureQueue(q)
	return q
}

// configureQueue applies the configuration to a queue, if it has the queue. Tasks may then soon
// start in the pool to which it sends the queue.
func (c *Core) configureQueue(q *queue) {
	configured, ok := c.view.Queues[q.name]
	if !ok {
		return
	}
	if q.newest == nil || *q.newest != configured {
		q.newest = &configured
		c.queueChanged(q)
	}
	if q.pools.add(configured.Pool) {
		c.queueChanged(q)
	}
}

// settings returns the queue as of the newest configuration that has it. It reports false if no
// such configuration is known: the jobs were accepted by an earlier version, which did not
// record it, and the queue is gone. They wait until it is back.
func (q *queue) settings() (Queue, bool) {
	if q.newest == nil {
		return Queue{}, false
	}
	return *q.newest, true
}

// queueChanged marks the record of a queue as out of date. Starts wait for it, so that it is
// recorded before other changes.
func (c *Core) queueChanged(q *queue) { c.changedParts[partOf(q.name)] = 0 }

// restoreQueues restores the queues that the previous owner recorded.
func (c *Core) restoreQueues(records []QueueRecord, now time.Time) {
	for _, r := range records {
		pools := poolSetOf(r.Pools)
		q := &queue{name: r.Name, newest: r.Settings, recordedQueue: r.Settings, pools: pools, recorded: pools, usedAt: now}
		c.queues[r.Name] = q
		for _, name := range pools.names {
			c.knownPools[name] = true
		}
		c.configureQueue(q)
	}
}

// takeQueues adds the records of the queues to the parts of a batch. index holds the index of
// each part in parts, by number.
func (c *Core) takeQueues(parts []FleetPart, index map[int]int) {
	for _, q := range c.queues {
		if i, ok := index[partOf(q.name)]; ok {
			parts[i].Queues = append(parts[i].Queues, QueueRecord{Name: q.name, Settings: q.newest, Pools: q.pools.record()})
			q.recorded = q.recorded.intersection(q.pools)
		}
	}
	for _, part := range parts {
		slices.SortFunc(part.Queues, func(a, b QueueRecord) int { return cmp.Compare(a.Name, b.Name) })
	}
}

// queuesCommitted handles the queues of a part that was committed. The record of a VM may now
// say where its runs are.
func (c *Core) queuesCommitted(records []QueueRecord) {
	for _, r := range records {
		if q := c.queues[r.Name]; q != nil {
			q.recorded, q.recordedQueue = poolSetOf(r.Pools), r.Settings
		}
	}
	if len(records) == 0 {
		return
	}
	for id, v := range c.vms {
		if v.runsUnrecorded {
			v.runsUnrecorded = false
			c.placeChanged(id)
		}
	}
}

// mayStartIn reports whether tasks of a queue may start in a pool: only once the record of the
// queue lists the pool, by which the next owner knows where to expect runs.
func (c *Core) mayStartIn(q *queue, p *pool) bool {
	if q.pools.add(p.name) {
		c.queueChanged(q)
	}
	return q.recorded.has(p.name)
}

// SettingsRecorded reports whether the queue and the team of a job are recorded as they are now,
// or will be with the batch, so that the job can go on under another owner if they are removed
// from the configuration.
func (c *Core) SettingsRecorded(r RecordBatch, j *job.Job) bool {
	return (c.queueRecorded(j.Queue) || r.hasQueue(j.Queue)) && (c.team(j.Team).recorded() || r.hasTeam(j.Team))
}

func (c *Core) queueRecorded(name string) bool {
	q := c.queues[name]
	return q != nil && q.newest != nil && q.recordedQueue != nil && *q.newest == *q.recordedQueue
}

func (r RecordBatch) hasQueue(name string) bool {
	return slices.ContainsFunc(r.Parts, func(p FleetPart) bool {
		return slices.ContainsFunc(p.Queues, func(q QueueRecord) bool { return q.Name == name })
	})
}

const (
	// settingsReviewInterval is the least time between two searches for pools that queues have
	// left, and for queues that are no longer needed.
	settingsReviewInterval = time.Second
	// settingsRetention is how long a queue or a team that the configuration lacks is kept after
	// the last of its jobs was admitted. A job that was admitted may be added much later, if its commit
	// is in doubt.
	settingsRetention = 10 * time.Minute
)

// reviewSettings drops the pools in which no run of a queue's jobs exists any more, and the queues
// and teams that are neither configured nor have jobs that have not ended.
func (c *Core) reviewSettings(now time.Time) {
	if now.Sub(c.settingsReviewedAt) < settingsReviewInterval {
		return
	}
	c.settingsReviewedAt = now
	c.dropQueues(now)
	c.dropTeams(now)
	if len(c.gates) == 0 {
		c.leavePools()
	}
}

// dropQueues removes the queues that are no longer needed.
func (c *Core) dropQueues(now time.Time) {
	unused := make(map[*queue]bool)
	for name, q := range c.queues {
		if _, configured := c.view.Queues[name]; !configured && now.Sub(q.usedAt) > settingsRetention {
			unused[q] = true
		}
	}
	if len(unused) == 0 {
		return
	}
	for _, tj := range c.active {
		delete(unused, tj.queue)
	}
	for q := range unused {
		delete(c.queues, q.name)
		c.queueChanged(q)
	}
}

// leavePools drops the pools in which no run of a queue's jobs exists any more. All runs must
// be known.
func (c *Core) leavePools() {
	several := func(q *queue) bool { return q.pools.all || len(q.pools.names) > 1 }
	needed := make(map[*queue]*poolSet)
	for _, q := range c.queues {
		if several(q) {
			needed[q] = &poolSet{}
		}
	}
	if len(needed) == 0 {
		return
	}
	for _, v := range c.vms {
		for _, r := range v.runs {
			if pools := needed[r.task.stage.trackedJob.queue]; pools != nil {
				pools.add(r.pool)
			}
		}
	}
	for q, pools := range needed {
		if s, ok := q.settings(); ok {
			pools.add(s.Pool)
		}
		if len(pools.names) > 0 && !pools.equal(q.pools) {
			q.pools = *pools
			c.queueChanged(q)
		}
	}
}
