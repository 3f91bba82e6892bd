// Package dispatch combines the decisions on the request path: which tasks wait,
// which task starts next, whether the upper limit of its team allows the start,
// and which VM runs it.
//
// # Usage
//
//	core := dispatch.New(dispatch.Config{Centre: "east", Seed: seed})
//	core.Configure(cfg, seats, now)
//	if refused := core.Admit(t, now); refused != nil {
//		return refused
//	}
//	core.StartReady(now) // calls t.OnReady with the VM once t may be sent
//	core.Finish(t, dispatch.AttemptEnd{Proof: task.Done, Succeeded: true, Load: -1}, now)
//
// The package does no input or output and reads no clock. A core is not safe
// for concurrent use.
package dispatch

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"almondcove/fleet"
	"almondcove/limit"
	"almondcove/route"
	"almondcove/share"
	"almondcove/task"
)

// MaxStartDelay is the longest time after a task is sent during which the VM may
// start it. It bounds how long VMs of a data centre that was taken out may still
// start tasks.
const MaxStartDelay = time.Second

// The parameters of retries and of the run time estimates.
const (
	// poisonThreshold is the number of VMs on which a task must fail to count as
	// one that can never run.
	poisonThreshold = 3
	// retryTokensPerTask is what each admitted task adds to the retry budget. The
	// retry of a task that a VM began takes one token.
	retryTokensPerTask = 0.1
	// maxRetryTokens is the upper bound of the retry budget.
	maxRetryTokens = 50
	// costSmoothing is the weight of a new run time in a queue's exponential moving
	// average.
	costSmoothing = 0.1
	// initialCostSeconds is the assumed run time while a queue has no finished task.
	initialCostSeconds = 0.05
)

// Config configures a core.
type Config struct {
	Centre string
	// Seed makes the random choices reproducible.
	Seed uint64
}

// Core holds the waiting and running tasks of one entry.
type Core struct {
	centre string
	config *fleet.Config
	book   *limit.Book
	table  *route.Table
	// poolQueues holds the waiting tasks of each pool.
	poolQueues map[string]*share.Queue
	// depth is the number of waiting tasks of each queue.
	depth map[string]int
	// meanCost is the moving average of each queue's run times, in seconds.
	meanCost map[string]float64
	listed   map[string]ListedVM
	// dirty holds the pools in which a task may have become able to start.
	dirty map[string]bool
	// retryTokens is the retry budget.
	retryTokens float64
	// running is the number of the entry's running tasks by pool, team and class.
	running map[string]map[demandKey]int
	// contended holds the pools whose demand exceeds their slots.
	contended map[string]contention
	random    *rand.Rand
	// lastAttempt is the number of the latest start.
	lastAttempt limit.AttemptID
}

// Task is one request, from its admission to its end.
type Task struct {
	ID    task.ID
	Team  string
	Key   string
	Queue string
	// Deadline is the last moment at which the task may start.
	Deadline time.Time
	// OnReady is called with the VM once the task may be sent.
	OnReady func(vm string)
	// OnRefused is called with the reason when the task leaves the queue without
	// being run.
	OnRefused func(task.NotRun)

	pool      string
	item      share.Item
	vm        string
	startedAt time.Time
	failedVMs []string
	// failedAgain is true when the latest failure was on a VM on which the task had
	// failed before.
	failedAgain bool
	// attempt identifies the current attempt in the limit book. The task's ID is not
	// used there, since an earlier attempt whose end is not proved may still count.
	attempt limit.AttemptID
}

// VM returns the VM to which the task was last assigned.
func (t *Task) VM() string { return t.vm }

// IsPoison reports whether the task counts as one that can never run: it failed on
// several VMs, or twice on the same VM because no other was available.
func (t *Task) IsPoison() bool {
	return len(t.failedVMs) >= poisonThreshold || t.failedAgain
}

// ListedVM is the state of a VM in the platform's list.
type ListedVM struct {
	Slots   int
	Leaving bool
	// Gone marks a VM that is no longer in the list.
	Gone bool
}

// New returns a core without a configuration. [Core.Configure] must be called
// before [Core.Admit].
func New(c Config) *Core {
	return &Core{
		centre:     c.Centre,
		book:       limit.New(limit.Config{}),
		table:      route.New(route.Config{Centre: c.Centre, Seed: c.Seed}),
		poolQueues: make(map[string]*share.Queue),
		depth:      make(map[string]int),
		meanCost:   make(map[string]float64),
		listed:     make(map[string]ListedVM),
		dirty:      make(map[string]bool),
		running:    make(map[string]map[demandKey]int),
		random:     rand.New(rand.NewPCG(c.Seed, 2)),
	}
}

// Book returns the account of each team's units and running tasks at this entry.
func (c *Core) Book() *limit.Book { return c.book }

// Table returns the routing table, which holds the state of the VMs.
func (c *Core) Table() *route.Table { return c.table }

// Config returns the configuration in force, or nil.
func (c *Core) Config() *fleet.Config { return c.config }

// Configure applies a configuration to this entry, which holds the given seats of
// its data centre.
func (c *Core) Configure(cfg *fleet.Config, seats []int, now time.Time) {
	c.config = cfg
	c.book.SetMaxTaskTime(MaxStartDelay+cfg.LongestLease(), now)
	centres := cfg.CentreNames()
	for _, name := range c.book.Teams() {
		if _, ok := cfg.Teams[name]; !ok {
			c.book.SetOwnUnits(name, 0)
		}
	}
	for name, t := range cfg.Teams {
		c.book.SetOwnUnits(name, limit.Part(t.Limit, centres, c.centre, seats))
	}
	for name, p := range cfg.Pools {
		c.table.SetBudget(name, max(p.Budget, 1))
	}
	c.syncTable()
	c.wakeAll()
}

// SetListedVMs replaces the platform's list of VMs.
func (c *Core) SetListedVMs(listed map[string]ListedVM) {
	c.listed = listed
	if c.config == nil {
		return
	}
	c.syncTable()
	c.wakeAll()
}

// syncTable updates the routing table from the configuration and the list of VMs.
func (c *Core) syncTable() {
	// The names are sorted so that the same seed chooses the same VMs.
	for _, name := range slices.Sorted(maps.Keys(c.config.VMs)) {
		v := c.config.VMs[name]
		l, known := c.listed[name]
		if !known {
			continue
		}
		c.table.Set(route.VM{
			Name:     name,
			Centre:   v.Centre,
			Pool:     v.Pool,
			Slots:    l.Slots,
			Serves:   v.Serves() && !l.Leaving && !c.config.Centres[v.Centre].OutOfService,
			Delisted: l.Gone,
		})
	}
	for _, name := range c.table.Names() {
		if _, ok := c.config.VMs[name]; !ok {
			c.table.Remove(name)
		}
	}
}

func (c *Core) wakeAll() {
	for pool, q := range c.poolQueues {
		q.WakeAll()
		c.dirty[pool] = true
	}
}

// MarkLeaving stops new tasks on a VM that reports that it is leaving, until
// [Core.SetListedVMs] replaces the list.
func (c *Core) MarkLeaving(name string) {
	l, ok := c.listed[name]
	if !ok || l.Leaving {
		return
	}
	l.Leaving = true
	c.listed[name] = l
	if c.config != nil {
		c.syncTable()
	}
}

// Suspect stops new tasks on a VM that does not respond.
func (c *Core) Suspect(vm string) {
	c.table.Suspect(vm)
}

// ClearSuspect lets a suspected VM that responded take tasks again.
func (c *Core) ClearSuspect(vm string) {
	c.table.ClearSuspect(vm)
	c.wakeAll()
}

// MeanRunTime returns the moving average of the run times of a queue's tasks.
func (c *Core) MeanRunTime(queue string) time.Duration {
	return time.Duration(c.expectedCost(queue) * float64(time.Second))
}

// Admit puts a task into its queue and returns nil, or returns why the task is
// refused.
func (c *Core) Admit(t *Task, now time.Time) *task.NotRun {
	q, ok := c.config.Queues[t.Queue]
	if !ok {
		return &task.NotRun{Reason: task.ReasonQueueRemoved}
	}
	if c.depth[t.Queue] >= q.Depth {
		return &task.NotRun{Reason: task.ReasonQueueFull, RetryAfter: c.drainTime(t.Queue, q)}
	}
	if now.Add(c.minWait(t, q)).After(t.Deadline) || !now.Before(t.Deadline) {
		return &task.NotRun{Reason: task.ReasonDeadline, RetryAfter: c.drainTime(t.Queue, q)}
	}
	t.pool = q.Pool
	t.item = share.Item{Team: t.Team, Rank: q.Class.Rank(), Cost: c.expectedCost(t.Queue), Value: t}
	c.poolQueue(q.Pool).Push(&t.item)
	c.depth[t.Queue]++
	c.dirty[q.Pool] = true
	c.retryTokens = min(c.retryTokens+retryTokensPerTask, maxRetryTokens)
	return nil
}

// minWait estimates a lower bound of the task's wait: the time that the team's tasks
// ahead of it take if they run on all slots that the team may use. It is 0 while no
// run time is known or no slot may be used.
func (c *Core) minWait(t *Task, q fleet.Queue) time.Duration {
	meanCost, known := c.meanCost[t.Queue]
	slots := min(c.table.Slots(q.Pool), c.config.Teams[t.Team].Limit)
	if !known || slots <= 0 {
		return 0
	}
	ahead := c.poolQueue(q.Pool).WaitingAhead(t.Team, q.Class.Rank())
	return time.Duration(float64(ahead) * meanCost / float64(slots) * float64(time.Second))
}

// drainTime estimates the time after which a caller may retry: how long the pool's
// slots need to run all waiting tasks of the queue, at least 1 s.
func (c *Core) drainTime(queue string, q fleet.Queue) time.Duration {
	slots := max(c.table.Slots(q.Pool), 1)
	wait := time.Duration(float64(c.depth[queue]) * c.expectedCost(queue) / float64(slots) * float64(time.Second))
	return max(wait, time.Second)
}

// expectedCost returns the mean run time of a queue's tasks in seconds, or
// initialCostSeconds while no task of the queue has finished.
func (c *Core) expectedCost(queue string) float64 {
	if v, ok := c.meanCost[queue]; ok {
		return v
	}
	return initialCostSeconds
}

func (c *Core) poolQueue(pool string) *share.Queue {
	q := c.poolQueues[pool]
	if q == nil {
		q = share.New(share.Config{Share: func(team string) int { return c.config.Share(team) }})
		c.poolQueues[pool] = q
	}
	return q
}

// Cancel removes a waiting task and reports whether it was waiting.
func (c *Core) Cancel(t *Task) bool {
	if t.pool == "" || !c.poolQueue(t.pool).Remove(&t.item) {
		return false
	}
	c.depth[t.Queue]--
	return true
}

// Waiting returns the number of waiting tasks in all pools.
func (c *Core) Waiting() int {
	n := 0
	for _, q := range c.poolQueues {
		n += q.Len()
	}
	return n
}

// Depths returns the number of waiting tasks of each queue that has any.
func (c *Core) Depths() map[string]int {
	out := make(map[string]int)
	for name, n := range c.depth {
		if n > 0 {
			out[name] = n
		}
	}
	return out
}
