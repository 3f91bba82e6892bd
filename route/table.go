// Package route chooses the VM that runs the next task of a pool.
//
// A [Table] holds what one entry knows about each VM: the entry's own tasks on the
// VM, the load that the VM last reported, and how its tasks ended. To choose a VM,
// it compares two random candidates and takes the less loaded one. It prefers VMs
// of its own data centre. A VM whose failure rate is much higher than that of its
// pool is quarantined and probed with single tasks. The budget of a pool limits how
// many of its VMs are quarantined at once.
//
// # Usage
//
//	t := route.New(route.Config{Centre: "east", Seed: seed})
//	t.Set(route.VM{Name: "vm-1", Centre: "east", Pool: "till", Slots: 8, Serves: true})
//	name, ok := t.Choose("till", nil, now)
//	// send the task, then:
//	t.Finish(name, route.Report{Result: route.Succeeded, Load: -1}, now)
//
// The package performs no I/O and does not read the clock.
package route

import (
	"container/heap"
	"math/rand/v2"
	"slices"
	"time"
)

// Parameters of failure rates, quarantine and pauses.
const (
	// resultWeight is the weight of a new result in a VM's failure rate, which is a
	// moving average.
	resultWeight = 0.1
	// quarantineRate is the lowest failure rate at which a VM may be quarantined.
	quarantineRate = 0.5
	// quarantineMinResults is the number of results that a VM must have before it
	// may be quarantined.
	quarantineMinResults = 5
	// quarantineRatio is the least ratio of a VM's failure rate to that of its pool
	// at which the VM may be quarantined.
	quarantineRatio = 2
	// minProbeBackoff and maxProbeBackoff bound the time between probes of a
	// quarantined VM.
	minProbeBackoff = time.Second
	maxProbeBackoff = time.Minute
	// busyPause is how long a VM gets no task after it refused one because it had
	// no free slot.
	busyPause = 10 * time.Millisecond
)

// Config configures a [Table].
type Config struct {
	// Centre is the data centre whose VMs are preferred.
	Centre string
	// Seed is the seed of the random choices.
	Seed uint64
}

// VM describes a VM as the configuration and the platform show it.
type VM struct {
	Name   string
	Centre string
	Pool   string
	Slots  int
	// Serves reports whether the VM takes tasks. It is false for a VM that is
	// leaving, is moving, or belongs to a data centre that was taken out of service.
	Serves bool
	// Delisted reports whether the VM is missing from the platform's list, which
	// showed it before. Such a VM is used only when no listed VM has a free slot.
	Delisted bool
}

// Report describes the end of a task on a VM.
type Report struct {
	Result Result
	// Load is the number of running tasks that the VM reported. A negative value
	// means unknown.
	Load int
}

// Result is what the end of a task says about the health of the VM.
type Result int

// The possible results.
const (
	// Succeeded means that the VM ran the task without a failure.
	Succeeded Result = iota
	// Failed means that the task failed on the VM.
	Failed
	// Busy means that the VM refused the task because it had no free slot.
	Busy
	// Unreachable means that the VM could not be reached or did not answer.
	Unreachable
	// Neutral means that the end of the task says nothing about the VM.
	Neutral
)

// Table holds the state of all VMs. It is not safe for concurrent use.
type Table struct {
	centre string
	random *rand.Rand
	vms    map[string]*vmState
	pools  map[string]*pool
	paused pauseHeap
}

// pool holds the state of one pool.
type pool struct {
	// candidates holds, for each tier, the VMs that may take one more task.
	candidates [3][]*vmState
	// budget is the number of VMs that may be quarantined at once, and quarantined
	// the number that are.
	budget      int
	quarantined int
	failureRate float64
	// slots is the number of slots of the VMs that take tasks, and localSlots the
	// number of those in the table's own data centre.
	slots      int
	localSlots int
}

// vmState is a VM with its load, its health and its place among the candidates.
type vmState struct {
	VM
	pool *pool
	// ownTasks is the number of this entry's tasks on the VM.
	ownTasks int
	// otherTasks is the number of other entries' tasks on the VM, as last reported.
	otherTasks  int
	failureRate float64
	// results is the number of results in failureRate.
	results     int
	quarantined bool
	// suspect marks a VM that did not respond. It gets no task until it responds.
	suspect bool
	// probing reports whether the VM is quarantined and runs a task as a probe.
	probing bool
	// backoff is the time from a failed probe of a quarantined VM to the next probe.
	backoff time.Duration
	// pausedUntil is when the pause of the VM ends. It is zero if the VM is not
	// paused.
	pausedUntil time.Time
	// pauseIndex is the index in Table.paused, or -1.
	pauseIndex int
	// tier and candidateIndex are the position in pool.candidates. The index is -1
	// if the VM is not a candidate.
	tier           int
	candidateIndex int
}

// New returns an empty [Table].
func New(c Config) *Table {
	return &Table{
		centre: c.Centre,
		random: rand.New(rand.NewPCG(c.Seed, 1)),
		vms:    make(map[string]*vmState),
		pools:  make(map[string]*pool),
	}
}

// Set adds a VM or replaces its description. The task counts and the failure rate
// of a known VM stay. A VM that changes its pool leaves quarantine.
func (t *Table) Set(v VM) {
	vm := t.vms[v.Name]
	if vm == nil {
		vm = &vmState{candidateIndex: -1, pauseIndex: -1}
		t.vms[v.Name] = vm
	}
	if vm.VM == v && vm.pool != nil {
		return
	}
	t.removeCandidate(vm)
	if vm.pool != nil {
		t.addSlots(vm, -1)
	}
	if vm.pool != nil && vm.quarantined && vm.Pool != v.Pool {
		vm.pool.quarantined--
		vm.quarantined = false
	}
	vm.VM = v
	vm.pool = t.poolOf(v.Pool)
	t.addSlots(vm, 1)
	t.addCandidate(vm)
}

// Remove deletes a VM and its state.
func (t *Table) Remove(name string) {
	vm := t.vms[name]
	if vm == nil {
		return
	}
	t.removeCandidate(vm)
	t.addSlots(vm, -1)
	if vm.quarantined {
		vm.pool.quarantined--
	}
	if vm.pauseIndex >= 0 {
		heap.Remove(&t.paused, vm.pauseIndex)
	}
	delete(t.vms, name)
}

// SetBudget sets how many VMs of the pool may be quarantined at once.
func (t *Table) SetBudget(pool string, budget int) {
	t.poolOf(pool).budget = budget
}

// Names returns the names of all VMs, sorted.
func (t *Table) Names() []string {
	out := make([]string, 0, len(t.vms))
	for name := range t.vms {
		out = append(out, name)
	}
	slices.Sort(out)
	return out
}

// HasCandidate reports whether any VM of the pool may take one more task.
func (t *Table) HasCandidate(pool string) bool {
	p := t.pools[pool]
	return p != nil && len(p.candidates[tierLocal])+len(p.candidates[tierRemote])+len(p.candidates[tierDelisted]) > 0
}

// Slots returns the number of slots of the pool, free or not, on VMs that serve.
func (t *Table) Slots(pool string) int {
	if p := t.pools[pool]; p != nil {
		return p.slots
	}
	return 0
}

// LocalSlots returns the number of slots of the pool, free or not, on VMs that
// serve in the table's own data centre.
func (t *Table) LocalSlots(pool string) int {
	if p := t.pools[pool]; p != nil {
		return p.localSlots
	}
	return 0
}

// addSlots adds the VM's slots to the counts of its pool if sign is 1, and subtracts
// them if sign is -1.
func (t *Table) addSlots(vm *vmState, sign int) {
	if !vm.Serves {
		return
	}
	vm.pool.slots += sign * vm.Slots
	if vm.Centre == t.centre {
		vm.pool.localSlots += sign * vm.Slots
	}
}

// OwnTasks returns the number of this entry's tasks on the VM.
func (t *Table) OwnTasks(name string) int {
	if vm := t.vms[name]; vm != nil {
		return vm.ownTasks
	}
	return 0
}

// Serves reports whether the VM still serves, so that a task for which it was chosen
// may be sent to it.
func (t *Table) Serves(name string) bool {
	vm := t.vms[name]
	return vm != nil && vm.Serves
}

// Quarantined reports whether the VM is quarantined.
func (t *Table) Quarantined(name string) bool {
	vm := t.vms[name]
	return vm != nil && vm.quarantined
}

// poolOf returns the pool with the given name and creates it if necessary.
func (t *Table) poolOf(name string) *pool {
	p := t.pools[name]
	if p == nil {
		p = &pool{}
		t.pools[name] = p
	}
	return p
}

// Choose returns a VM of the pool that may take one more task and is not in skip,
// and counts a task on it. It returns false if there is no such VM.
func (t *Table) Choose(pool string, skip []string, now time.Time) (string, bool) {
	t.EndPauses(now)
	p := t.pools[pool]
	if p == nil {
		return "", false
	}
	for _, candidates := range p.candidates {
		if vm := t.pick(candidates, skip); vm != nil {
			vm.ownTasks++
			vm.probing = vm.quarantined
			t.updateCandidate(vm)
			return vm.Name, true
		}
	}
	return "", false
}

// pick returns the less loaded of two random candidates that are not in skip, or nil
// if there are none. It copies the candidates only if skip is not empty.
func (t *Table) pick(candidates []*vmState, skip []string) *vmState {
	if len(skip) > 0 {
		candidates = slices.DeleteFunc(slices.Clone(candidates), func(vm *vmState) bool {
			return slices.Contains(skip, vm.Name)
		})
	}
	if len(candidates) == 0 {
		return nil
	}
	a := candidates[t.random.IntN(len(candidates))]
	b := candidates[t.random.IntN(len(candidates))]
	if b.load() < a.load() {
		return b
	}
	return a
}

// load returns the number of known tasks on the VM per slot.
func (vm *vmState) load() float64 {
	return float64(vm.ownTasks+vm.otherTasks) / float64(max(vm.Slots, 1))
}

// Finish removes a task from the count of the VM and updates the VM's load and
// health from the report.
func (t *Table) Finish(name string, r Report, now time.Time) {
	vm := t.vms[name]
	if vm == nil {
		return
	}
	vm.ownTasks = max(vm.ownTasks-1, 0)
	if r.Load >= 0 {
		vm.otherTasks = max(r.Load-vm.ownTasks, 0)
	}
	probe := vm.probing
	vm.probing = false
	switch r.Result {
	case Succeeded:
		t.recordSuccess(vm, probe)
	case Failed:
		t.recordFailure(vm, probe, now)
	case Unreachable:
		vm.suspect = true
	case Busy:
		t.pause(vm, now.Add(busyPause))
	case Neutral:
	}
	t.updateCandidate(vm)
}

// recordSuccess records a successful task. A successful probe ends the quarantine of
// the VM and resets its failure rate.
func (t *Table) recordSuccess(vm *vmState, probe bool) {
	vm.recordResult(0)
	if vm.quarantined && probe {
		vm.quarantined = false
		vm.pool.quarantined--
		vm.failureRate, vm.results, vm.backoff = 0, 0, 0
	}
}

// recordFailure records a failed task. A failed probe doubles the time to the next
// probe. A VM that is not quarantined is quarantined if its failure rate and the
// budget of its pool allow it.
func (t *Table) recordFailure(vm *vmState, probe bool, now time.Time) {
	vm.recordResult(1)
	if vm.quarantined {
		if probe {
			vm.backoff = min(2*vm.backoff, maxProbeBackoff)
			t.pause(vm, now.Add(vm.backoff))
		}
		return
	}
	p := vm.pool
	if vm.results < quarantineMinResults || vm.failureRate < quarantineRate || vm.failureRate < quarantineRatio*p.failureRate || p.quarantined >= p.budget {
		return
	}
	vm.quarantined = true
	p.quarantined++
	vm.backoff = minProbeBackoff
	t.pause(vm, now.Add(vm.backoff))
}

// recordResult adds a result, 1 for a failure and 0 for a success, to the failure
// rates of the VM and its pool.
func (vm *vmState) recordResult(failure float64) {
	vm.results++
	// The first 1/resultWeight results have the weight that they have in an
	// arithmetic mean.
	w := max(resultWeight, 1/float64(vm.results))
	vm.failureRate += w * (failure - vm.failureRate)
	vm.pool.failureRate += resultWeight / 10 * (failure - vm.pool.failureRate)
}

// EndPauses ends the pauses that are over at now, so that the VMs may take tasks
// again. It discards the load of other entries that these VMs last reported.
func (t *Table) EndPauses(now time.Time) {
	for len(t.paused) > 0 && !now.Before(t.paused[0].pausedUntil) {
		vm := heap.Pop(&t.paused).(*vmState)
		vm.pausedUntil = time.Time{}
		vm.otherTasks = 0
		t.updateCandidate(vm)
	}
}

// Suspect stops new tasks on a VM that does not respond.
func (t *Table) Suspect(name string) {
	if vm := t.vms[name]; vm != nil {
		vm.suspect = true
		t.updateCandidate(vm)
	}
}

// ClearSuspect lets a suspect VM that responded take tasks again.
func (t *Table) ClearSuspect(name string) {
	if vm := t.vms[name]; vm != nil {
		vm.suspect = false
		t.updateCandidate(vm)
	}
}

// Suspected reports whether the VM is suspect.
func (t *Table) Suspected(name string) bool {
	vm := t.vms[name]
	return vm != nil && vm.suspect
}

// Suspects returns the names of the suspect VMs, in no particular order.
func (t *Table) Suspects() []string {
	var out []string
	for name, vm := range t.vms {
		if vm.suspect {
			out = append(out, name)
		}
	}
	return out
}

// NextPauseEnd returns when the next pause ends. It returns false if no VM is
// paused.
func (t *Table) NextPauseEnd() (time.Time, bool) {
	if len(t.paused) == 0 {
		return time.Time{}, false
	}
	return t.paused[0].pausedUntil, true
}

// pause stops new tasks on the VM until the given time, which replaces the end of a
// present pause.
func (t *Table) pause(vm *vmState, until time.Time) {
	vm.pausedUntil = until
	if vm.pauseIndex >= 0 {
		heap.Fix(&t.paused, vm.pauseIndex)
		return
	}
	heap.Push(&t.paused, vm)
}
