// Package fleet defines the typed configuration of a fleet: teams with their
// keys, queues, pools of VMs, presets and data centres.
//
// A [Config] is an immutable snapshot. It is stored as a set of [Record]s: one
// for each object, except that the VMs of a data centre share one, and a head
// record with the revision. Every change produces the next revision and the
// records that differ. Readers therefore receive deltas; they accept or refuse a
// revision as a whole.
//
// # Usage
//
//	next, records, err := cfg.Apply(fleet.KeyWithdraw{ID: "f3a9"}, stamp)
//	if err != nil {
//		return err // a *fleet.InvalidError or *fleet.NotFoundError; cfg is unchanged
//	}
//	// store records in one transaction guarded by the head, then use next
//
// The package does no input or output and reads no clock.
package fleet

import (
	"maps"
	"slices"
	"time"
)

// Class is the priority class of a queue. It orders the tasks that wait for the
// same pool.
type Class string

// The classes, in the order in which they are served.
const (
	Urgent     Class = "urgent"
	Normal     Class = "normal"
	Deferrable Class = "deferrable"
)

// Rank returns the position of c in the order of service; 0 is served first.
func (c Class) Rank() int {
	switch c {
	case Urgent:
		return 0
	case Deferrable:
		return 2
	default:
		return 1
	}
}

// Team is a group of a customer that submits tasks.
type Team struct {
	// Share is the team's weight when a pool has no free slots; at least 1.
	Share int `json:"share"`
	// Limit is the upper limit on the team's running tasks in the whole fleet.
	Limit int `json:"limit"`
}

// Key is the stored part of a caller's key. The secret itself is never stored.
type Key struct {
	Team string `json:"team"`
	// Hash is the SHA-256 hash of the secret, in hexadecimal.
	Hash string `json:"hash"`
	// Withdrawn marks a withdrawn key, which never becomes valid again.
	Withdrawn bool `json:"gone,omitempty"`
}

// Queue accepts tasks and sends them to one pool.
type Queue struct {
	Pool  string `json:"pool"`
	Class Class  `json:"class"`
	// Teams are the teams that may submit to the queue.
	Teams []string `json:"teams,omitempty"`
	// Open admits callers of every team and callers without a key. Tasks of
	// callers without a key count as tasks of the team Owner.
	Open  bool   `json:"open,omitempty"`
	Owner string `json:"owner,omitempty"`
	// Idempotent allows a task to be run again on another VM.
	Idempotent bool `json:"idempotent,omitempty"`
	// Lease is the longest run time of a task.
	Lease Duration `json:"lease"`
	// Wait is the longest time from a task's arrival to its start if the caller
	// sets no deadline.
	Wait Duration `json:"wait"`
	// Depth is the largest number of tasks that may wait at one entry.
	Depth int `json:"depth"`
	// AllowUnclaimed allows non-idempotent tasks with an idempotency key to run
	// while the platform can't record the claim to the key.
	AllowUnclaimed bool `json:"unkeyed,omitempty"`
}

// Pool is a set of VMs that serve the same queues.
type Pool struct {
	// Spare marks a pool that serves no queue and supplies VMs to other pools.
	Spare bool `json:"spare,omitempty"`
	// Budget is the number of VMs that may be unavailable at once.
	Budget int `json:"budget"`
	// Period is the time within which each VM is maintained; zero means that
	// there is no periodic maintenance.
	Period Duration `json:"period,omitempty"`
	// Wave is the time at which the last maintenance wave started: every VM that
	// was last maintained before it is due.
	Wave time.Time `json:"wave,omitzero"`
}

// Preset is a named set of targets, shares and modes. Exactly one preset is in
// force.
type Preset struct {
	// Targets maps pools to the number of VMs that they should have.
	Targets map[string]int `json:"targets,omitempty"`
	// Shares maps teams to shares that replace their own.
	Shares map[string]int `json:"shares,omitempty"`
	// FollowDemand lends spare VMs to pools that have more tasks than slots.
	FollowDemand bool `json:"follow,omitempty"`
	// HoldDeferrable stops the start of deferrable tasks.
	HoldDeferrable bool `json:"hold,omitempty"`
}

// Centre is a data centre.
type Centre struct {
	// OutOfService stops the start of tasks in the data centre.
	OutOfService bool `json:"out,omitempty"`
	// Stamp is the stamp of the latest change of the state: the last [CentreBack],
	// or the last [CentreOut] of a data centre that was in service. It orders that
	// change against restrictions that are not recorded yet.
	Stamp string `json:"stamp,omitempty"`
}

// VM is the configured state of one VM: its place in the fleet, and whether it
// takes tasks.
type VM struct {
	Centre string `json:"-"`
	Pool   string `json:"pool"`
	// MovingTo is the pool that the VM is moving to, if any. The VM takes no new
	// tasks until the move is finished.
	MovingTo string `json:"to,omitempty"`
	// HomePool is the pool that lent the VM to its present one, if any.
	HomePool string `json:"home,omitempty"`
	// InMaintenance marks a VM that takes no new tasks until its maintenance is
	// over.
	InMaintenance bool `json:"out,omitempty"`
	// Boot identifies the run of the VM's process in which its maintenance
	// started. Another value from the VM shows that it has rebooted since.
	Boot string `json:"boot,omitempty"`
	// MaintainedAt is when the VM was last maintained.
	MaintainedAt time.Time `json:"done,omitzero"`
	// Disabled marks a VM that takes no new tasks by an operator's order.
	Disabled bool `json:"leave,omitempty"`
	// Stamp is the stamp of the last [VMLeave] or [VMReturn]. It orders that
	// change against restrictions that are not recorded yet.
	Stamp string `json:"stamp,omitempty"`
}

// Serves reports whether the VM's record allows new tasks. It doesn't take the
// state of the data centre into account.
func (v VM) Serves() bool {
	return !v.Disabled && !v.InMaintenance && v.MovingTo == ""
}

// Config is one revision of the configuration. Its maps must not be modified.
type Config struct {
	Head    Head
	Teams   map[string]Team
	Keys    map[string]Key
	Queues  map[string]Queue
	Pools   map[string]Pool
	Presets map[string]Preset
	Centres map[string]Centre
	VMs     map[string]VM
	// records holds the stored form of every object and of the head, by record key.
	records map[string]Record
}

// Head holds the revision of a configuration and the preset in force.
type Head struct {
	// Rev is the revision. It increases by one with each change and never decreases.
	Rev uint64 `json:"rev"`
	// Stamp identifies the write of this revision, so that the writer can tell
	// after a lost answer whether the write took place.
	Stamp string `json:"stamp"`
	// Preset is the preset in force.
	Preset string `json:"preset"`
	// TargetOffsets maps each pool to the number of VMs by which moves that are not
	// planned have raised its target since the preset came into force. The number is
	// negative if they have lowered it.
	TargetOffsets map[string]int `json:"shift,omitempty"`
	// PastStamps holds the stamps of at most maxPastStamps earlier revisions, the
	// latest first. A writer finds its stamp here if others wrote after it.
	PastStamps []string `json:"past,omitempty"`
}

const maxPastStamps = 16

// advance moves the head to the next revision.
func (h *Head) advance(stamp string) {
	if h.Stamp != "" {
		h.PastStamps = append([]string{h.Stamp}, h.PastStamps[:min(len(h.PastStamps), maxPastStamps-1)]...)
	}
	h.Rev++
	h.Stamp = stamp
}

// Share returns the team's weight under the preset in force.
func (c *Config) Share(team string) int {
	if s, ok := c.Presets[c.Head.Preset].Shares[team]; ok {
		return s
	}
	return c.Teams[team].Share
}

// CentreNames returns the sorted names of the data centres. Upper limits are
// divided among the data centres in this order.
func (c *Config) CentreNames() []string {
	return slices.Sorted(maps.Keys(c.Centres))
}

// Target returns the number of VMs that a pool should have: its target in the
// preset in force plus its target offset, at least 0. It returns false if the
// preset has no target for the pool, so that any number will do.
func (c *Config) Target(pool string) (int, bool) {
	n, ok := c.Presets[c.Head.Preset].Targets[pool]
	return max(n+c.Head.TargetOffsets[pool], 0), ok
}

// shiftTargets moves one VM from the target of one pool to that of another.
func (h *Head) shiftTargets(from, to string) {
	h.TargetOffsets = cloneMap(h.TargetOffsets)
	h.TargetOffsets[from]--
	h.TargetOffsets[to]++
}

// LongestLease returns the longest lease of all queues.
func (c *Config) LongestLease() time.Duration {
	var longest time.Duration
	for _, q := range c.Queues {
		longest = max(longest, time.Duration(q.Lease))
	}
	return longest
}

// CountUnavailable returns how many VMs of the pool take no new tasks according to
// the configuration.
func (c *Config) CountUnavailable(pool string) int {
	n := 0
	for _, v := range c.VMs {
		if v.Pool == pool && (!v.Serves() || c.Centres[v.Centre].OutOfService) {
			n++
		}
	}
	return n
}

// Allows reports whether the team may submit to the queue.
func (q Queue) Allows(team string) bool {
	if q.Open {
		return true
	}
	return slices.Contains(q.Teams, team)
}

func (c *Config) clone() *Config {
	return &Config{
		Head:    c.Head,
		Teams:   cloneMap(c.Teams),
		Keys:    cloneMap(c.Keys),
		Queues:  cloneMap(c.Queues),
		Pools:   cloneMap(c.Pools),
		Presets: cloneMap(c.Presets),
		Centres: cloneMap(c.Centres),
		VMs:     cloneMap(c.VMs),
		records: cloneMap(c.records),
	}
}

func cloneMap[V any](m map[string]V) map[string]V {
	if m == nil {
		return make(map[string]V)
	}
	return maps.Clone(m)
}
