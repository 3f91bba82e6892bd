package schedule

import (
	"cmp"
	"encoding/json"
	"hash/fnv"
	"maps"
	"slices"
	"time"

	"almondcove/record"
)

// Fleet is the record of the VMs and the maintenance waves, which the next owner needs in
// addition to the jobs.
type Fleet struct {
	// VMs lists the VMs that may run tasks.
	VMs []Place `json:"vms"`
	// Begun lists, by wave, the machines whose maintenance has begun.
	Begun map[int64][]string `json:"-"`
	// HandedOver is set if the owner has left and gives no more orders. Ordered then lists
	// the machines that it has given orders for within [Config.MachineOrderGap].
	HandedOver bool     `json:"left,omitempty"`
	Ordered    []string `json:"ordered,omitempty"`
	// Learned is the encoded [Learned]; nil in the record of an earlier version.
	Learned json.RawMessage `json:"learned,omitempty"`
	// Retired lists the VMs whose machines were moved or sent to maintenance, and which the
	// platform's list may still show.
	Retired []RetiredVM `json:"-"`
	// Queues and Teams list the queues and the teams that have or had accepted jobs.
	Queues []QueueRecord `json:"-"`
	Teams  []TeamRecord  `json:"-"`
	// EarlierList is set if the record of an earlier version lists VMs.
	EarlierList bool `json:"-"`
}

// RetiredVM is the record of a VM whose machine was moved or sent to maintenance.
type RetiredVM struct {
	ID string `json:"vm"`
	// Born is when the VM's process started. A later process may get tasks.
	Born time.Time `json:"born"`
	// Left is how long after the record was made the platform's list may still show the VM.
	Left time.Duration `json:"left"`
}

// Place is the record of one VM that may run tasks.
type Place struct {
	// VM lacks names that are too long for a record; see [maxRecordedName].
	VM
	// Machine is the machine on which the VM was last listed; empty if it is not known.
	Machine string `json:"machine,omitempty"`
	// Pools lists the pools whose tasks may run on the VM; nil means any pool, as in a record
	// of an earlier version.
	Pools []string `json:"pools,omitempty"`
	// Exact is set if the VM can run nothing but Held. That holds for a VM that does not
	// answer, because it gets no new runs and no lease renewal, and for every VM during a
	// handover, unless the VM has not reported to this owner yet.
	Exact bool `json:"exact,omitempty"`
	// Held lists the runs that may exist on the VM, and those whose ends may not be
	// recorded. It is empty unless Exact is set.
	Held []Run `json:"held,omitempty"`
	// Left is the longest time that the runs in Held may continue after the record was
	// made.
	Left time.Duration `json:"left,omitempty"`
}

// FleetPart is a part of the record of the VMs, the queues, the teams and the machines whose
// maintenance has begun. The part of each follows from its id or name, so that a change of one
// rewrites few others.
type FleetPart struct {
	Number  int           `json:"number"`
	VMs     []Place       `json:"vms"`
	Retired []RetiredVM   `json:"retired,omitempty"`
	Queues  []QueueRecord `json:"queues,omitempty"`
	Teams   []TeamRecord  `json:"teams,omitempty"`
	// Begun is that part of [Fleet.Begun].
	Begun map[int64][]string `json:"begun,omitempty"`
	// encoded is the stored form once it is known.
	encoded []byte
}

// Encode returns the stored form of the part.
func (p FleetPart) Encode() ([]byte, error) {
	if p.encoded != nil {
		return p.encoded, nil
	}
	return record.Encode(p)
}

// FleetParts is the number of parts of the record of the VMs, the queues and the teams.
const FleetParts = 32

// partOf returns the number of the part of a VM, a queue or a team.
func partOf(name string) int {
	h := fnv.New32a()
	// Writing to a hash never fails.
	_, _ = h.Write([]byte(name))
	return int(h.Sum32() % FleetParts)
}

// placeChanged marks the part that holds a VM or a machine as out of date.
func (c *Core) placeChanged(name string) {
	n := partOf(name)
	if _, marked := c.changedParts[n]; !marked {
		c.lastChange++
		c.changedParts[n] = c.lastChange
	}
}

// allPlacesChanged marks the records of all VMs as out of date. The rest of the record of
// the fleet follows them.
func (c *Core) allPlacesChanged() {
	for id := range c.vms {
		c.placeChanged(id)
	}
	c.recordAfter = c.lastChange
}

// PartsMissing reports whether parts are not recorded yet that the rest of the record of
// the fleet relies on: an owner that has left must have recorded all VMs, and so must one
// that replaces the record of an earlier version.
// A part that the store does not take is not waited for, unless the record of an earlier
// version lists its VMs: until such a part is recorded, its VMs get no tasks that its last
// record does not allow for.
func (c *Core) PartsMissing() bool {
	for n, change := range c.changedParts {
		if change <= c.recordAfter && (c.replacesList || !c.defers(partName(n))) {
			return true
		}
	}
	return false
}

// partsToTake returns the number of changed parts that may be in a batch.
func (c *Core) partsToTake() int {
	if len(c.deferrals) == 0 {
		return len(c.changedParts)
	}
	n := 0
	for number := range c.changedParts {
		if !c.defers(partName(number)) {
			n++
		}
	}
	return n
}

// takeParts returns at most limit of the changed parts of the record of the VMs, those
// first that have been out of date for longest.
func (c *Core) takeParts(limit int, now time.Time) ([]FleetPart, error) {
	numbers := slices.SortedFunc(maps.Keys(c.changedParts), func(a, b int) int {
		return cmp.Or(cmp.Compare(c.changedParts[a], c.changedParts[b]), cmp.Compare(a, b))
	})
	numbers = slices.DeleteFunc(numbers, func(n int) bool { return c.defers(partName(n)) })
	numbers = numbers[:max(min(limit, len(numbers)), 0)]
	var out []FleetPart
	bytes := 0
	for _, part := range c.parts(numbers, now) {
		if err := c.encodePart(&part); err != nil {
			return out, err
		}
		if bytes += len(part.encoded); bytes > maxBatchBytes && len(out) > 0 {
			break
		}
		delete(c.changedParts, part.Number)
		out = append(out, part)
	}
	return out, nil
}

// parts returns the parts of the record of the VMs with the given numbers.
func (c *Core) parts(numbers []int, now time.Time) []FleetPart {
	if len(numbers) == 0 {
		return nil
	}
	index := make(map[int]int, len(numbers))
	out := make([]FleetPart, len(numbers))
	for i, n := range numbers {
		index[n] = i
		out[i] = FleetPart{Number: n, VMs: []Place{}}
	}
	for _, v := range c.vms {
		if i, ok := index[partOf(v.ID)]; ok {
			out[i].VMs = append(out[i].VMs, c.place(v, now))
		}
	}
	c.takeQueues(out, index)
	c.takeTeams(out, index)
	for n, w := range c.waves {
		for i := range out {
			out[i].addBegun(n, w.begunByPart[out[i].Number])
		}
	}
	for id, r := range c.retired {
		left := retiredGracePeriod - now.Sub(r.at)
		if i, ok := index[partOf(id)]; ok && left > 0 {
			out[i].Retired = append(out[i].Retired, RetiredVM{ID: id, Born: r.born, Left: left})
		}
	}
	for _, part := range out {
		slices.SortFunc(part.Retired, func(a, b RetiredVM) int { return cmp.Compare(a.ID, b.ID) })
		slices.SortFunc(part.VMs, func(a, b Place) int { return cmp.Compare(a.ID, b.ID) })
	}
	return out
}

// place returns the record of a VM. From then on the core does not renew the lease of a VM
// that the record lists as exact, so that the next owner can rely on Left.
func (c *Core) place(v *vm, now time.Time) Place {
	// The runs of a VM with a gate are not known.
	out := Place{VM: recordedVM(v.VM), Machine: recordedName(v.lastMachine), Pools: c.poolsOn(v).record(), Exact: (c.handingOver || v.silent) && c.gates[v.ID] == nil}
	if !out.Exact {
		return out
	}
	v.noRenewal = true
	for _, r := range v.sortedRuns() {
		out.Held = append(out.Held, r.id)
	}
	for _, restored := range c.restoredRuns {
		if restored.vm == v {
			out.Held = append(out.Held, restored.id)
		}
	}
	// The next owner must not start these tasks again before the VM has told it of their
	// ends, unless a record does.
	for _, e := range v.unrecordedEnds {
		out.Held = append(out.Held, e.run)
	}
	out.Left = max(v.leaseEnd.Sub(now), 0)
	return out
}

// poolsOn returns the pools whose tasks may run on a VM: its own, those in which its runs were
// started, and those that its gate stands for. As long as the record of a queue does not list
// the pool of a run, the next owner has to expect tasks of any pool.
func (c *Core) poolsOn(v *vm) poolSet {
	out := poolSet{names: []string{v.Pool}}
	if g := c.gates[v.ID]; g != nil {
		out = out.union(g.pools)
	}
	v.runsUnrecorded = false
	for _, r := range v.runs {
		if q := r.task.stage.trackedJob.queue; q != nil && !q.recorded.has(r.pool) {
			v.runsUnrecorded = true
			return poolSet{all: true}
		}
		out.add(r.pool)
	}
	return out
}

// addBegun adds the machines whose maintenance has begun in a wave.
func (p *FleetPart) addBegun(wave int64, machines []string) {
	if len(machines) == 0 {
		return
	}
	if p.Begun == nil {
		p.Begun = make(map[int64][]string)
	}
	p.Begun[wave] = slices.Clone(machines)
}

// fleetWithoutVMs returns the record of the fleet without its parts.
func (c *Core) fleetWithoutVMs() *Fleet {
	out := &Fleet{HandedOver: c.handingOver}
	if c.handingOver {
		out.Ordered = slices.Sorted(maps.Keys(c.machineOrders))
	}
	return out
}

// BeginHandover prepares for a planned change of owner. From then until [Core.SetEpoch],
// the core plans nothing, and the record of the fleet lists as exact every VM that has
// reported to this owner.
func (c *Core) BeginHandover() {
	c.handingOver = true
	c.fleetChanged = true
	c.allPlacesChanged()
}
