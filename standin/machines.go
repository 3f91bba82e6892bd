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

// Machines stands in for the platform's machines. An order takes a machine away
// at once and brings it back later with a new VM. It reads the runtime's clock.
type Machines struct {
	config MachinesConfig

	mu       sync.Mutex
	machines map[string]*machine
	lives    int
	// away is the number of machines that are in maintenance, by wave.
	away     map[int64]int
	breaches []string
}

// MachinesConfig configures stand-in machines.
type MachinesConfig struct {
	// Spare is the pool whose machines are switched off.
	Spare string
	// Move and Maintenance are how long a machine is away.
	Move, Maintenance time.Duration
	// Most bounds the machines that are in maintenance at once, by wave.
	Most map[int64]int
	// Joins is told of a new VM, Leaves of one that ends at once.
	Joins  func(machine, pool, vm string)
	Leaves func(vm string)
}

type machine struct {
	schedule.Machine
	// token is the highest that an order carried.
	token int64
	// maintained holds the waves whose maintenance has begun.
	maintained map[int64]bool
}

// NewMachines returns a stand-in without machines.
func NewMachines(c MachinesConfig) *Machines {
	return &Machines{config: c, machines: make(map[string]*machine), away: make(map[int64]int)}
}

// Add adds a machine, whose VM joins its pool at once.
func (m *Machines) Add(at schedule.Machine) {
	m.mu.Lock()
	defer m.mu.Unlock()
	at.State = schedule.Up
	m.machines[at.Name] = &machine{Machine: at, maintained: make(map[int64]bool)}
	m.arrive(m.machines[at.Name])
}

// Pool returns the number of machines of a pool that are up.
func (m *Machines) Pool(name string) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	n := 0
	for _, at := range m.machines {
		if at.Pool == name && at.State == schedule.Up {
			n++
		}
	}
	return n
}

// Breaches returns the orders that should not have been given.
func (m *Machines) Breaches() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.Clone(m.breaches)
}

// List implements owner.Machines.
func (m *Machines) List(context.Context) ([]schedule.Machine, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := make([]schedule.Machine, 0, len(m.machines))
	for _, at := range m.machines {
		out = append(out, at.Machine)
	}
	slices.SortFunc(out, func(a, b schedule.Machine) int { return cmp.Compare(a.Name, b.Name) })
	return out, nil
}

// Move implements owner.Machines.
func (m *Machines) Move(_ context.Context, token int64, a schedule.Move) schedule.MachineResult {
	m.mu.Lock()
	defer m.mu.Unlock()
	at, result := m.accept(a.Machine, token, func(at *machine) bool { return at.Pool == a.Pool })
	if at == nil {
		return result
	}
	m.take(at, schedule.Moving)
	at.Pool = a.Pool
	time.AfterFunc(m.config.Move, func() { m.back(at) })
	return schedule.MachineDone
}

// Maintain implements owner.Machines.
func (m *Machines) Maintain(_ context.Context, token int64, a schedule.Maintain) schedule.MachineResult {
	m.mu.Lock()
	defer m.mu.Unlock()
	at, result := m.accept(a.Machine, token, func(at *machine) bool { return at.maintained[a.Wave] })
	if at == nil {
		return result
	}
	if m.away[a.Wave] >= m.config.Most[a.Wave] {
		m.breaches = append(m.breaches, fmt.Sprintf("%s goes to maintenance beyond the bound of wave %d", a.Machine, a.Wave))
	}
	m.away[a.Wave]++
	at.maintained[a.Wave] = true
	m.take(at, schedule.InMaintenance)
	time.AfterFunc(m.config.Maintenance, func() {
		m.back(at)
		m.mu.Lock()
		defer m.mu.Unlock()
		m.away[a.Wave]--
	})
	return schedule.MachineDone
}

// accept returns the machine that an order takes away, or nil with the result of
// one that changes nothing; done reports whether it was carried out before.
func (m *Machines) accept(
	name string, token int64, done func(*machine) bool,
) (*machine, schedule.MachineResult) {
	at := m.machines[name]
	if at == nil {
		return nil, schedule.MachineWrong
	}
	if token < at.token {
		return nil, schedule.MachineFenced
	}
	at.token = token
	switch {
	case done(at):
		return nil, schedule.MachineDone
	case at.State != schedule.Up:
		return nil, schedule.MachineBusy
	}
	return at, schedule.MachineDone
}

func (m *Machines) take(at *machine, state schedule.MachineState) {
	if at.VM != "" {
		m.config.Leaves(at.VM)
	}
	at.VM, at.State = "", state
}

func (m *Machines) back(at *machine) {
	m.mu.Lock()
	defer m.mu.Unlock()
	at.State = schedule.Up
	m.arrive(at)
}

// arrive starts a machine's VM, unless the machine is switched off.
func (m *Machines) arrive(at *machine) {
	if at.Pool == m.config.Spare {
		return
	}
	m.lives++
	at.VM = fmt.Sprintf("%s-%d", at.Name, m.lives)
	m.config.Joins(at.Name, at.Pool, at.VM)
}
