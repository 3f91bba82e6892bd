package schedule

import (
	"net/netip"
	"time"

	"almondcove/job"
)

// Queue is what the configuration says of a queue.
type Queue struct {
	Name string
	Pool string
	// Priority is zero for the most urgent.
	Priority int
	// Attempts is how many runs of a task may fail before the job has failed.
	Attempts int
	// Stretch and Slack set the objective: Stretch times the job's longest chain
	// of work, and Slack more.
	Stretch float64
	Slack   time.Duration
	// Advised is set when another service decides which VMs may run a step.
	Advised bool
}

// Team is what the configuration says of a team.
type Team struct {
	Name   string
	Weight float64
	// Cap bounds what the team may have running; a member of zero is no bound.
	Cap job.Resources
}

// View is the operators' configuration as far as scheduling goes.
type View struct {
	Version int64
	Queues  map[string]Queue
	Teams   map[string]Team
	// Spare is the pool whose machines are switched off; empty means none.
	Spare string
	// Out lists the data centres that are taken out.
	Out map[string]bool
	// Waves are the maintenance waves that are asked for.
	Waves []Wave
}

// Wave asks for the maintenance of some machines.
type Wave struct {
	Number   int64
	Machines []string
	// Within bounds the whole wave, from when it was first seen.
	Within time.Duration
	// Cap bounds the machines under maintenance at once.
	Cap int
}

// VM is what the platform's list says of a VM.
type VM struct {
	ID       string
	Pool     string
	Centre   string
	Labels   []string
	Capacity job.Resources
	Address  netip.AddrPort
	Draining bool
	// Left is the least time until a draining VM leaves; zero means unknown.
	Left time.Duration
	// Born is when the VM's process started; zero means unknown.
	Born time.Time
}

// Machine is one machine of the platform; a VM is one life of it.
type Machine struct {
	Name  string
	Pool  string
	State MachineState
	// VM is the id of the machine's VM; empty when it has none.
	VM       string
	Centre   string
	Capacity job.Resources
}

// MachineState is the state of a machine.
type MachineState int

// The states of machines.
const (
	Up MachineState = iota
	Moving
	InMaintenance
	Down
)

var machineStates = [...]string{"up", "moving", "in maintenance", "down"}

func (s MachineState) String() string { return machineStates[s] }
