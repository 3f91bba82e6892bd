package standin

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"almondcove/schedule"
)

// Machines is a stand-in for the platform's machines. An order takes a machine down
// at once; it comes up again later with a new VM. Its timers run on the time package's
// clock, which may be a fake one.
type Machines struct {
	config MachinesConfig

	mu         sync.Mutex
	machines   map[string]*machine
	vmsStarted int
	// inMaintenance is the number of machines in maintenance, by wave.
	inMaintenance map[int64]int
	violations    []string
}

// MachinesConfig configures Machines.
type MachinesConfig struct {
	// Spare is the pool whose machines are switched off and run no VM.
	Spare string
	// MoveTime and MaintenanceTime are how long a move and a maintenance take a machine
	// down.
	MoveTime, MaintenanceTime time.Duration
	// MaxInMaintenance bounds the number of machines in maintenance at once, by wave.
	// An order that exceeds it is carried out and counts as a violation.
	MaxInMaintenance map[int64]int
	// VMStarted is called when a machine starts a VM, and VMEnded when a VM ends
	// because its machine goes down.
	VMStarted func(machine, pool, vm string)
	VMEnded   func(vm string)
}

type machine struct {
	schedule.Machine
	// token is the highest fencing token of an order so far.
	token int64
	// maintained holds the waves whose maintenance of the machine has begun.
	maintained map[int64]bool
}

// NewMachines returns a Machines without machines.
func NewMachines(c MachinesConfig) *Machines {
	return &Machines{config: c, machines: make(map[string]*machine), inMaintenance: make(map[int64]int)}
}

// Add adds a machine, which is up and starts its VM at once.
func (m *Machines) Add(added schedule.Machine) {
	m.mu.Lock()
	defer m.mu.Unlock()
	added.State = schedule.Up
	m.machines[added.Name] = &machine{Machine: added, maintained: make(map[int64]bool)}
	m.startVM(m.machines[added.Name])
}

// UpCount returns the number of machines that are up in a pool.
func (m *Machines) UpCount(pool string) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	n := 0
	for _, each := range m.machines {
		if each.Pool == pool && each.State == schedule.Up {
			n++
		}
	}
	return n
}

// Violations describes the orders that exceeded MaxInMaintenance.
func (m *Machines) Violations() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.Clone(m.violations)
}

// List implements owner.Machines.
func (m *Machines) List(context.Context) ([]schedule.Machine, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := make([]schedule.Machine, 0, len(m.machines))
	for _, each := range m.machines {
		out = append(out, each.Machine)
	}
	slices.SortFunc(out, func(a, b schedule.Machine) int { return cmp.Compare(a.Name, b.Name) })
	return out, nil
}

// Move implements owner.Machines.
func (m *Machines) Move(_ context.Context, token int64, order schedule.Move) schedule.MachineResult {
	m.mu.Lock()
	defer m.mu.Unlock()
	target, result := m.validateOrder(order.Machine, token, func(target *machine) bool { return target.Pool == order.Pool })
	if target == nil {
		return result
	}
	m.takeDown(target, schedule.Moving)
	target.Pool = order.Pool
	time.AfterFunc(m.config.MoveTime, func() { m.bringUp(target) })
	return schedule.MachineDone
}

// Maintain implements owner.Machines.
func (m *Machines) Maintain(_ context.Context, token int64, order schedule.Maintain) schedule.MachineResult {
	m.mu.Lock()
	defer m.mu.Unlock()
	target, result := m.validateOrder(order.Machine, token, func(target *machine) bool { return target.maintained[order.Wave] })
	if target == nil {
		return result
	}
	if m.inMaintenance[order.Wave] >= m.config.MaxInMaintenance[order.Wave] {
		m.violations = append(m.violations, fmt.Sprintf("maintenance of %s exceeds the bound of wave %d", order.Machine, order.Wave))
	}
	m.inMaintenance[order.Wave]++
	target.maintained[order.Wave] = true
	m.takeDown(target, schedule.InMaintenance)
	time.AfterFunc(m.config.MaintenanceTime, func() {
		m.bringUp(target)
		m.mu.Lock()
		defer m.mu.Unlock()
		m.inMaintenance[order.Wave]--
	})
	return schedule.MachineDone
}

// validateOrder returns the machine that an order takes down. If the order changes
// nothing, it returns nil and the result of the order. done reports whether the order has
// already been carried out on a machine.
func (m *Machines) validateOrder(
	name string, token int64, done func(*machine) bool,
) (*machine, schedule.MachineResult) {
	target := m.machines[name]
	if target == nil {
		return nil, schedule.MachineWrong
	}
	if token < target.token {
		return nil, schedule.MachineFenced
	}
	target.token = token
	switch {
	case done(target):
		return nil, schedule.MachineDone
	case target.State != schedule.Up:
		return nil, schedule.MachineBusy
	}
	return target, schedule.MachineDone
}

func (m *Machines) takeDown(target *machine, state schedule.MachineState) {
	if target.VM != "" {
		m.config.VMEnded(target.VM)
	}
	target.VM, target.State = "", state
}

func (m *Machines) bringUp(target *machine) {
	m.mu.Lock()
	defer m.mu.Unlock()
	target.State = schedule.Up
	m.startVM(target)
}

// startVM starts a new VM on a machine, unless the machine is switched off.
func (m *Machines) startVM(target *machine) {
	if target.Pool == m.config.Spare {
		return
	}
	m.vmsStarted++
	target.VM = fmt.Sprintf("%s-%d", target.Name, m.vmsStarted)
	m.config.VMStarted(target.Name, target.Pool, target.VM)
}
