package schedule

import (
	"net/netip"
	"time"

	"almondcove/job"
)

// Queue is the configuration of a queue.
type Queue struct {
	Name string `json:"name"`
	Pool string `json:"pool"`
	// Priority is zero for the most urgent queues.
	Priority int `json:"priority,omitempty"`
	// Attempts is the number of failed runs of one task after which its job fails.
	Attempts int `json:"attempts"`
	// Stretch and Slack set the objective for the time from a job's due time to its end:
	// Stretch times the mean time of its longest chain of dependent tasks, plus Slack.
	Stretch float64       `json:"stretch,omitempty"`
	Slack   time.Duration `json:"slack,omitempty"`
	// Expiry is the multiple of the objective after which the end of a job is of no use to
	// its caller; zero means that there is no such time.
	Expiry float64 `json:"expiry,omitempty"`
	// Advised is set when the advice service decides which VMs may run a step.
	Advised bool `json:"advised,omitempty"`
}

// Team is the configuration of a team.
type Team struct {
	Name   string
	Weight float64
	// Cap bounds the resources of the team's runs; zero for a resource means no bound.
	Cap job.Resources
}

// View is the part of the operators' configuration that scheduling uses.
type View struct {
	Version int64
	Queues  map[string]Queue
	Teams   map[string]Team
	// Pools lists the names of all pools. Those of the queues and Spare may be left out.
	Pools []string
	// Spare is the name of the pool whose machines are switched off; empty means that there
	// is none.
	Spare string
	// CentresOut holds the data centres that are taken out of service.
	CentresOut map[string]bool
	// Waves lists the requested maintenance waves.
	Waves []Wave
}

// Wave is a request for the maintenance of some machines.
type Wave struct {
	Number   int64
	Machines []string
	// TimeLimit bounds the duration of the wave. Each owner counts it from when it first
	// saw the wave.
	TimeLimit time.Duration
	// Cap bounds the number of machines that are drained or under maintenance at once.
	Cap int
}

// VM is an entry of the platform's list of VMs.
type VM struct {
	ID       string
	Pool     string
	Centre   string
	Labels   []string
	Capacity job.Resources
	Address  netip.AddrPort
	Draining bool
	// Left is the least remaining time until a draining VM leaves the platform; zero means
	// unknown.
	Left time.Duration
	// Born is when the VM's process started; zero means unknown.
	Born time.Time
}

// Machine is a machine of the platform. It runs one VM at a time, and another one after
// it was moved or maintained.
type Machine struct {
	Name  string
	Pool  string
	State MachineState
	// VM is the id of the VM that the machine runs; empty when it runs none.
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

var machineStateNames = [...]string{"up", "moving", "in maintenance", "down"}

func (s MachineState) String() string { return machineStateNames[s] }
