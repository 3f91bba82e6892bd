// Package route chooses the VM that runs the next task of a pool.
//
// A [Table] holds what one entry knows of every VM: its own tasks on it, the
// load that the VM last reported, and how its tasks ended. It compares two VMs
// taken at random and chooses the less loaded, first among the VMs of its own
// data centre. A VM that fails much more than its pool is set aside and probed
// with single tasks; never more VMs are set aside than the pool's budget.
//
// # Usage
//
//	t := route.New(route.Config{Centre: "east", Seed: seed})
//	t.Set(route.VM{Name: "vm-1", Centre: "east", Pool: "till", Slots: 8, Serves: true})
//	name, ok := t.Choose("till", nil, now)
//	// send the task, then:
//	t.Finish(name, route.Report{Good: true}, now)
//
// The package does no input or output and reads no clock.
package route

import (
	"container/heap"
	"math/rand/v2"
	"slices"
	"time"
)

// The scoring of VMs.
const (
	// weight is the part of a new result in a VM's failure rate.
	weight = 0.1
	// asideRate is the failure rate from which a VM may be set aside.
	asideRate = 0.5
	// asideAfter is the least number of results before a VM is set aside.
	asideAfter = 5
	// asideRatio is how many times the pool's rate a VM's must be.
	asideRatio = 2
	// probeFirst and probeMost bound the time between probes of a VM set aside.
	probeFirst = time.Second
	probeMost  = time.Minute
	// busyPause keeps a VM that refused for want of a slot from the next choice.
	busyPause = 10 * time.Millisecond
)

// Config configures a table.
type Config struct {
	// Centre is the data centre whose VMs are preferred.
	Centre string
	// Seed fixes the random choices.
	Seed uint64
}

// VM is what configuration and platform say of one VM.
type VM struct {
	Name   string
	Centre string
	Pool   string
	Slots  int
	// Serves is false for a VM that is leaving, moving or in a data centre taken out.
	Serves bool
	// Unseen marks a VM that the platform's list no longer shows. It is used
	// only when no listed VM has a free slot.
	Unseen bool
}

// Report says how a task on a VM ended.
type Report struct {
	Result Result
	// Load is the number of tasks that the VM said it runs; negative means unknown.
	Load int
}

// Result is how a task ended as far as the VM's health goes.
type Result int

// The results.
const (
	// Good is a task that ran as it should.
	Good Result = iota
	// Bad is a task that failed on the VM.
	Bad
	// Busy is a refusal for want of a slot.
	Busy
	// Silent is a VM that could not be reached or did not answer.
	Silent
	// Neutral says nothing about the VM.
	Neutral
)

// Table is the state of all VMs. It is not safe for concurrent use.
type Table struct {
	centre string
	random *rand.Rand
	vms    map[string]*vm
	pools  map[string]*pool
	timed  timedHeap
}

// pool holds the candidates of one pool: near, far and unseen.
type pool struct {
	free   [3][]*vm
	budget int
	aside  int
	rate   float64
	// slots counts those of the VMs that take tasks, near those of the own
	// data centre.
	slots int
	near  int
}

type vm struct {
	VM
	pool *pool
	// own is the number of this entry's tasks on the VM.
	own int
	// others is the number of other entries' tasks, as last reported.
	others int
	rate   float64
	count  int
	aside  bool
	// suspect marks a VM that gave no sign of itself; it gets no task until it does.
	suspect bool
	// probing marks a task that tests a VM set aside.
	probing bool
	backoff time.Duration
	// until is when a pause ends; zero means that there is none.
	until time.Time
	timed int
	tier  int
	index int
}

// New returns an empty table.
func New(c Config) *Table {
	return &Table{
		centre: c.Centre,
		random: rand.New(rand.NewPCG(c.Seed, 1)),
		vms:    make(map[string]*vm),
		pools:  make(map[string]*pool),
	}
}

// Set adds or changes a VM. Its tasks and score stay.
func (t *Table) Set(v VM) {
	m := t.vms[v.Name]
	if m == nil {
		m = &vm{index: -1, timed: -1}
		t.vms[v.Name] = m
	}
	if m.VM == v && m.pool != nil {
		return
	}
	t.leave(m)
	if m.pool != nil {
		t.tally(m, -1)
	}
	if m.pool != nil && m.aside && m.Pool != v.Pool {
		m.pool.aside--
		m.aside = false
	}
	m.VM = v
	m.pool = t.poolOf(v.Pool)
	t.tally(m, 1)
	t.place(m)
}

// Remove forgets a VM.
func (t *Table) Remove(name string) {
	m := t.vms[name]
	if m == nil {
		return
	}
	t.leave(m)
	t.tally(m, -1)
	if m.aside {
		m.pool.aside--
	}
	if m.timed >= 0 {
		heap.Remove(&t.timed, m.timed)
	}
	delete(t.vms, name)
}

// SetBudget sets how many VMs of the pool may be set aside at once.
func (t *Table) SetBudget(pool string, budget int) {
	t.poolOf(pool).budget = budget
}

// Names returns the names of all VMs.
func (t *Table) Names() []string {
	out := make([]string, 0, len(t.vms))
	for name := range t.vms {
		out = append(out, name)
	}
	slices.Sort(out)
	return out
}

// Ready reports whether a VM of the pool has a free slot.
func (t *Table) Ready(pool string) bool {
	p := t.pools[pool]
	return p != nil && len(p.free[near])+len(p.free[far])+len(p.free[unseen]) > 0
}

// Slots returns the number of slots of the pool's VMs that take tasks.
func (t *Table) Slots(pool string) int {
	if p := t.pools[pool]; p != nil {
		return p.slots
	}
	return 0
}

// Near returns the number of those slots in the table's own data centre.
func (t *Table) Near(pool string) int {
	if p := t.pools[pool]; p != nil {
		return p.near
	}
	return 0
}

// tally adds the VM's slots to its pool's, or with -1 takes them off.
func (t *Table) tally(m *vm, sign int) {
	if !m.Serves {
		return
	}
	m.pool.slots += sign * m.Slots
	if m.Centre == t.centre {
		m.pool.near += sign * m.Slots
	}
}

// Own returns the number of this entry's tasks on the VM.
func (t *Table) Own(name string) int {
	if m := t.vms[name]; m != nil {
		return m.own
	}
	return 0
}

// Serves reports whether the VM may still take the task that was chosen for it.
func (t *Table) Serves(name string) bool {
	m := t.vms[name]
	return m != nil && m.Serves
}

// Aside reports whether the VM is set aside.
func (t *Table) Aside(name string) bool {
	m := t.vms[name]
	return m != nil && m.aside
}

func (t *Table) poolOf(name string) *pool {
	p := t.pools[name]
	if p == nil {
		p = &pool{}
		t.pools[name] = p
	}
	return p
}

// Choose returns a VM of the pool with a free slot, other than those in skip,
// and counts a task on it.
func (t *Table) Choose(pool string, skip []string, now time.Time) (string, bool) {
	t.Wake(now)
	p := t.pools[pool]
	if p == nil {
		return "", false
	}
	for _, free := range p.free {
		if m := t.pick(free, skip); m != nil {
			m.own++
			m.probing = m.aside
			t.replace(m)
			return m.Name, true
		}
	}
	return "", false
}

// pick compares two random candidates. With VMs to skip it looks at all.
func (t *Table) pick(free []*vm, skip []string) *vm {
	if len(skip) > 0 {
		free = slices.DeleteFunc(slices.Clone(free), func(m *vm) bool {
			return slices.Contains(skip, m.Name)
		})
	}
	if len(free) == 0 {
		return nil
	}
	a := free[t.random.IntN(len(free))]
	b := free[t.random.IntN(len(free))]
	if b.load() < a.load() {
		return b
	}
	return a
}

func (m *vm) load() float64 {
	return float64(m.own+m.others) / float64(max(m.Slots, 1))
}

// Finish takes a task off the VM and learns from how it ended.
func (t *Table) Finish(name string, r Report, now time.Time) {
	m := t.vms[name]
	if m == nil {
		return
	}
	m.own = max(m.own-1, 0)
	if r.Load >= 0 {
		m.others = max(r.Load-m.own, 0)
	}
	probe := m.probing
	m.probing = false
	switch r.Result {
	case Good:
		t.good(m, probe)
	case Bad:
		t.bad(m, probe, now)
	case Silent:
		m.suspect = true
	case Busy:
		t.pause(m, now.Add(busyPause))
	case Neutral:
	}
	t.replace(m)
}

func (t *Table) good(m *vm, probe bool) {
	m.score(0)
	if m.aside && probe {
		m.aside = false
		m.pool.aside--
		m.rate, m.count, m.backoff = 0, 0, 0
	}
}

func (t *Table) bad(m *vm, probe bool, now time.Time) {
	m.score(1)
	if m.aside {
		if probe {
			m.backoff = min(2*m.backoff, probeMost)
			t.pause(m, now.Add(m.backoff))
		}
		return
	}
	p := m.pool
	if m.count < asideAfter || m.rate < asideRate || m.rate < asideRatio*p.rate || p.aside >= p.budget {
		return
	}
	m.aside = true
	p.aside++
	m.backoff = probeFirst
	t.pause(m, now.Add(m.backoff))
}

// score adds a result, 1 for a failure, to the VM's rate and its pool's.
func (m *vm) score(failure float64) {
	m.count++
	// The first results weigh as much as a plain mean gives them.
	w := max(weight, 1/float64(m.count))
	m.rate += w * (failure - m.rate)
	m.pool.rate += weight / 10 * (failure - m.pool.rate)
}

// Wake ends the pauses that are over at now.
func (t *Table) Wake(now time.Time) {
	for len(t.timed) > 0 && !now.Before(t.timed[0].until) {
		m := heap.Pop(&t.timed).(*vm)
		m.until = time.Time{}
		m.others = 0
		t.replace(m)
	}
}

// Suspect stops new tasks on a VM that gives no sign of itself.
func (t *Table) Suspect(name string) {
	if m := t.vms[name]; m != nil {
		m.suspect = true
		t.replace(m)
	}
}

// Clear lets a suspect VM that gave a sign of itself take tasks again.
func (t *Table) Clear(name string) {
	if m := t.vms[name]; m != nil {
		m.suspect = false
		t.replace(m)
	}
}

// Suspected reports whether the VM gave no sign of itself.
func (t *Table) Suspected(name string) bool {
	m := t.vms[name]
	return m != nil && m.suspect
}

// Suspects returns the names of the VMs that gave no sign of themselves.
func (t *Table) Suspects() []string {
	var out []string
	for name, m := range t.vms {
		if m.suspect {
			out = append(out, name)
		}
	}
	return out
}

// Next returns when the next pause ends, or false when there is none.
func (t *Table) Next() (time.Time, bool) {
	if len(t.timed) == 0 {
		return time.Time{}, false
	}
	return t.timed[0].until, true
}

func (t *Table) pause(m *vm, until time.Time) {
	m.until = until
	if m.timed >= 0 {
		heap.Fix(&t.timed, m.timed)
		return
	}
	heap.Push(&t.timed, m)
}
