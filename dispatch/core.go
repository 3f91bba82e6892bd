// Package dispatch joins the decisions on the request path: which tasks wait,
// whose goes next, whether its team's upper limit allows a start, and which VM
// runs it.
//
// # Usage
//
//	core := dispatch.New(dispatch.Config{Centre: "east", Seed: seed})
//	core.Configure(cfg, seats, now)
//	if refused := core.Admit(t, now); refused != nil {
//		return refused
//	}
//	core.Next(now) // calls t.Ready with the VM once t may be sent
//	core.Finish(t, dispatch.End{Proof: task.Done, Good: true, Load: -1}, now)
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

// StartBound is how long after sending a task the VM may still start it. It
// bounds how long a data centre taken out may see starts.
const StartBound = time.Second

// The bounds of retries.
const (
	// distinctFailures is on how many VMs a task may fail before it is taken
	// as one that can never run.
	distinctFailures = 3
	// retryEarned is the part of a retry that each first try earns.
	retryEarned = 0.1
	// retryMost bounds the retries saved up.
	retryMost = 50
	// costWeight is the part of a new run time in a queue's mean.
	costWeight = 0.1
	// costFirst is the run time assumed of a new queue's tasks, in seconds.
	costFirst = 0.05
)

// Config configures a core.
type Config struct {
	Centre string
	// Seed fixes the random choices.
	Seed uint64
}

// Core holds the waiting and running tasks of one entry.
type Core struct {
	centre string
	config *fleet.Config
	book   *limit.Book
	table  *route.Table
	queues map[string]*share.Queue
	// depth counts the waiting tasks of each queue.
	depth map[string]int
	// cost is the mean run time of each queue, in seconds.
	cost    map[string]float64
	listed  map[string]Listed
	dirty   map[string]bool
	retries float64
	// active counts the entry's running tasks by pool, team and class.
	active map[string]map[demandKey]int
	// contended holds the pools that have more work than slots.
	contended map[string]contention
	random    *rand.Rand
	// tries counts the starts.
	tries limit.Task
}

// Task is one request on its way.
type Task struct {
	ID    task.ID
	Team  string
	Key   string
	Queue string
	// Deadline is the last moment at which the task may start.
	Deadline time.Time
	// Ready is told the VM once the task may be sent.
	Ready func(vm string)
	// Refuse is told why the task leaves the queue without being run.
	Refuse func(task.NotRun)

	pool   string
	item   share.Item
	vm     string
	start  time.Time
	failed []string
	// repeated is true once the task failed on the same VM again.
	repeated bool
	// number identifies the present try in the account of limits, since an
	// earlier try whose end is not proved may still count.
	number limit.Task
}

// VM returns the VM that the task was last given to.
func (t *Task) VM() string { return t.vm }

// Poison reports whether the task is taken as one that can never run: it
// failed on several VMs, or on one again for want of another.
func (t *Task) Poison() bool {
	return len(t.failed) >= distinctFailures || t.repeated
}

// Listed is what the platform's list says of a VM.
type Listed struct {
	Slots   int
	Leaving bool
	// Gone marks a VM that the list showed once and shows no more.
	Gone bool
}

// New returns a core without configuration, which admits nothing.
func New(c Config) *Core {
	return &Core{
		centre: c.Centre,
		book:   limit.New(limit.Config{}),
		table:  route.New(route.Config{Centre: c.Centre, Seed: c.Seed}),
		queues: make(map[string]*share.Queue),
		depth:  make(map[string]int),
		cost:   make(map[string]float64),
		listed: make(map[string]Listed),
		dirty:  make(map[string]bool),
		active: make(map[string]map[demandKey]int),
		random: rand.New(rand.NewPCG(c.Seed, 2)),
	}
}

// Book returns the account of upper limits.
func (c *Core) Book() *limit.Book { return c.book }

// Table returns the state of the VMs.
func (c *Core) Table() *route.Table { return c.table }

// Config returns the configuration in force, or nil.
func (c *Core) Config() *fleet.Config { return c.config }

// Configure puts a configuration in force for this entry, which holds the
// given seats of its data centre.
func (c *Core) Configure(cfg *fleet.Config, seats []int, now time.Time) {
	c.config = cfg
	c.book.SetTask(StartBound+cfg.MaxLease(), now)
	centres := cfg.CentreNames()
	for _, name := range c.book.Teams() {
		if _, ok := cfg.Teams[name]; !ok {
			c.book.SetOwn(name, 0)
		}
	}
	for name, t := range cfg.Teams {
		c.book.SetOwn(name, limit.Part(t.Limit, centres, c.centre, seats))
	}
	for name, p := range cfg.Pools {
		c.table.SetBudget(name, max(p.Budget, 1))
	}
	c.placeAll()
	c.wakeAll()
}

// List replaces what the platform's list says.
func (c *Core) List(listed map[string]Listed) {
	c.listed = listed
	if c.config == nil {
		return
	}
	c.placeAll()
	c.wakeAll()
}

// placeAll brings the table in line with configuration and list.
func (c *Core) placeAll() {
	// In order, so that the same seed chooses the same VMs.
	for _, name := range slices.Sorted(maps.Keys(c.config.VMs)) {
		v := c.config.VMs[name]
		l, known := c.listed[name]
		if !known {
			continue
		}
		c.table.Set(route.VM{
			Name:   name,
			Centre: v.Centre,
			Pool:   v.Pool,
			Slots:  l.Slots,
			Serves: v.Serves() && !l.Leaving && !c.config.Centres[v.Centre].Out,
			Unseen: l.Gone,
		})
	}
	for _, name := range c.table.Names() {
		if _, ok := c.config.VMs[name]; !ok {
			c.table.Remove(name)
		}
	}
}

func (c *Core) wakeAll() {
	for pool, q := range c.queues {
		q.WakeAll()
		c.dirty[pool] = true
	}
}

// Leave stops new tasks on a VM that says it is leaving, until the list or the
// configuration changes.
func (c *Core) Leave(name string) {
	l, ok := c.listed[name]
	if !ok || l.Leaving {
		return
	}
	l.Leaving = true
	c.listed[name] = l
	if c.config != nil {
		c.placeAll()
	}
}

// Suspect stops new tasks on a VM that gives no sign of itself.
func (c *Core) Suspect(vm string) {
	c.table.Suspect(vm)
}

// Clear lets a VM that gave a sign of itself take tasks again.
func (c *Core) Clear(vm string) {
	c.table.Clear(vm)
	c.wakeAll()
}

// Cost returns the mean run time of a queue's tasks.
func (c *Core) Cost(queue string) time.Duration {
	return time.Duration(c.costOf(queue) * float64(time.Second))
}

// Admit puts a task into its queue, or says why it is refused.
func (c *Core) Admit(t *Task, now time.Time) *task.NotRun {
	q, ok := c.config.Queues[t.Queue]
	if !ok {
		return &task.NotRun{Reason: task.Absent}
	}
	if c.depth[t.Queue] >= q.Depth {
		return &task.NotRun{Reason: task.Full, Retry: c.drainTime(t.Queue, q)}
	}
	if now.Add(c.leastWait(t, q)).After(t.Deadline) || !now.Before(t.Deadline) {
		return &task.NotRun{Reason: task.Deadline, Retry: c.drainTime(t.Queue, q)}
	}
	t.pool = q.Pool
	t.item = share.Item{Team: t.Team, Rank: q.Class.Rank(), Cost: c.costOf(t.Queue), Value: t}
	c.queue(q.Pool).Push(&t.item)
	c.depth[t.Queue]++
	c.dirty[q.Pool] = true
	c.retries = min(c.retries+retryEarned, retryMost)
	return nil
}

// leastWait returns how long the task waits at least: until those of its team
// before it have run, even if every slot that the team may use served it.
func (c *Core) leastWait(t *Task, q fleet.Queue) time.Duration {
	cost, known := c.cost[t.Queue]
	slots := min(c.table.Slots(q.Pool), c.config.Teams[t.Team].Limit)
	if !known || slots <= 0 {
		return 0
	}
	ahead := c.queue(q.Pool).Ahead(t.Team, q.Class.Rank())
	return time.Duration(float64(ahead) * cost / float64(slots) * float64(time.Second))
}

// drainTime estimates when a full queue has room again.
func (c *Core) drainTime(queue string, q fleet.Queue) time.Duration {
	slots := max(c.table.Slots(q.Pool), 1)
	wait := time.Duration(float64(c.depth[queue]) * c.costOf(queue) / float64(slots) * float64(time.Second))
	return max(wait, time.Second)
}

func (c *Core) costOf(queue string) float64 {
	if v, ok := c.cost[queue]; ok {
		return v
	}
	return costFirst
}

func (c *Core) queue(pool string) *share.Queue {
	q := c.queues[pool]
	if q == nil {
		q = share.New(share.Config{Share: func(team string) int { return c.config.Share(team) }})
		c.queues[pool] = q
	}
	return q
}

// Cancel takes a waiting task out and reports whether it was waiting.
func (c *Core) Cancel(t *Task) bool {
	if t.pool == "" || !c.queue(t.pool).Remove(&t.item) {
		return false
	}
	c.depth[t.Queue]--
	return true
}

// Waiting returns the number of waiting tasks.
func (c *Core) Waiting() int {
	n := 0
	for _, q := range c.queues {
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
