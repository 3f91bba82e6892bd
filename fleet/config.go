// Package fleet holds the typed configuration of a fleet: teams with their
// keys, queues, pools of VMs, presets and data centres.
//
// A [Config] is an immutable snapshot. It is stored as a set of [Record]s, one
// for each object, under one head that numbers the revisions. Every change
// produces the next revision and the records that differ, so that readers
// receive deltas and a revision is accepted or refused as a whole.
//
// # Usage
//
//	next, records, err := cfg.Apply(fleet.KeyWithdraw{ID: "f3a9"}, stamp)
//	if err != nil {
//		return err // a *fleet.Invalid or *fleet.Missing; cfg is unchanged
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

// Class orders tasks that wait for the same pool.
type Class string

// The classes, from first to last served.
const (
	Urgent     Class = "urgent"
	Normal     Class = "normal"
	Deferrable Class = "deferrable"
)

// Rank returns the position of c among the classes, lowest served first.
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

// Team is a customer's group that submits tasks.
type Team struct {
	// Share is the team's weight when a pool is full; at least 1.
	Share int `json:"share"`
	// Limit is the greatest number of tasks running at once over the whole fleet.
	Limit int `json:"limit"`
}

// Key is the stored half of a caller's key. The secret is never stored.
type Key struct {
	Team string `json:"team"`
	// Hash is the SHA-256 of the secret, in hex.
	Hash string `json:"hash"`
	// Gone marks a withdrawn key, which never becomes valid again.
	Gone bool `json:"gone,omitempty"`
}

// Queue accepts tasks and sends them to one pool.
type Queue struct {
	Pool  string `json:"pool"`
	Class Class  `json:"class"`
	// Teams may submit to the queue.
	Teams []string `json:"teams,omitempty"`
	// Open admits callers without a key; their tasks count for Owner.
	Open  bool   `json:"open,omitempty"`
	Owner string `json:"owner,omitempty"`
	// Idempotent allows a task to be run again on another VM.
	Idempotent bool `json:"idempotent,omitempty"`
	// Lease bounds the run time of a task.
	Lease Duration `json:"lease"`
	// Wait bounds the time from arrival to start when the caller names no deadline.
	Wait Duration `json:"wait"`
	// Depth is the number of tasks that may wait at one entry.
	Depth int `json:"depth"`
	// Unkeyed allows non-idempotent tasks with an idempotency key to run
	// while the platform can't record the claim.
	Unkeyed bool `json:"unkeyed,omitempty"`
}

// Pool is a set of VMs that serve the same queues.
type Pool struct {
	// Spare marks a pool whose VMs wait to be moved.
	Spare bool `json:"spare,omitempty"`
	// Budget is the number of VMs that may be unavailable at once.
	Budget int `json:"budget"`
	// Period is the time within which each VM is maintained once.
	Period Duration `json:"period,omitempty"`
	// Wave makes every VM due that was maintained before it.
	Wave time.Time `json:"wave,omitzero"`
}

// Preset is a named set of targets, exactly one of which is in force.
type Preset struct {
	// Targets gives the wished number of VMs for each pool.
	Targets map[string]int `json:"targets,omitempty"`
	// Shares replaces the shares of the named teams.
	Shares map[string]int `json:"shares,omitempty"`
	// Follow lends spare VMs to pools that have more work than slots.
	Follow bool `json:"follow,omitempty"`
	// Hold stops new starts of deferrable tasks.
	Hold bool `json:"hold,omitempty"`
}

// Centre is a data centre.
type Centre struct {
	// Out forbids starts in the data centre.
	Out bool `json:"out,omitempty"`
	// Stamp orders the last Out or back against restrictions still on their way.
	Stamp string `json:"stamp,omitempty"`
}

// VM is the place of one VM in the fleet.
type VM struct {
	Centre string `json:"-"`
	Pool   string `json:"pool"`
	// To names the pool that the VM is moving to; it takes no tasks meanwhile.
	To string `json:"to,omitempty"`
	// Home is the pool that lent the VM to its present one, if any.
	Home string `json:"home,omitempty"`
	// Out marks a VM that is out for maintenance; it takes no tasks meanwhile.
	Out bool `json:"out,omitempty"`
	// Boot is the run of the VM's process when it was taken out.
	Boot string `json:"boot,omitempty"`
	// Done is when the VM was last maintained.
	Done time.Time `json:"done,omitzero"`
	// Leave marks a VM that takes no new tasks.
	Leave bool `json:"leave,omitempty"`
	// Stamp orders the last Leave or return against restrictions still on their way.
	Stamp string `json:"stamp,omitempty"`
}

// Serves reports whether the VM's record allows new tasks.
func (v VM) Serves() bool {
	return !v.Leave && !v.Out && v.To == ""
}

// Config is one revision of the configuration. Its maps must not be changed.
type Config struct {
	Head    Head
	Teams   map[string]Team
	Keys    map[string]Key
	Queues  map[string]Queue
	Pools   map[string]Pool
	Presets map[string]Preset
	Centres map[string]Centre
	VMs     map[string]VM
	records map[string]Record
}

// Head numbers a revision and names what exactly one of is in force.
type Head struct {
	// Rev grows by one with each change and never falls.
	Rev uint64 `json:"rev"`
	// Stamp identifies the write, so that its author can recognise it after a lost answer.
	Stamp string `json:"stamp"`
	// Preset is the preset in force.
	Preset string `json:"preset"`
	// Shift is by how many VMs operators' moves have changed the targets of the
	// preset in force, for each pool.
	Shift map[string]int `json:"shift,omitempty"`
	// Past holds the stamps of the last revisions, the latest first.
	Past []string `json:"past,omitempty"`
}

// pastMost is how many stamps a head remembers.
const pastMost = 16

// advance moves the head to the next revision.
func (h *Head) advance(stamp string) {
	if h.Stamp != "" {
		h.Past = append([]string{h.Stamp}, h.Past[:min(len(h.Past), pastMost-1)]...)
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

// CentreNames returns the names of the data centres, sorted. Upper limits are
// divided in this order.
func (c *Config) CentreNames() []string {
	return slices.Sorted(maps.Keys(c.Centres))
}

// Target returns the number of VMs that a pool should have under the preset in
// force and the operators' moves since, or false when any number will do.
func (c *Config) Target(pool string) (int, bool) {
	n, ok := c.Presets[c.Head.Preset].Targets[pool]
	return max(n+c.Head.Shift[pool], 0), ok
}

// shift changes the targets by one VM that operators move.
func (h *Head) shift(from, to string) {
	h.Shift = cloneMap(h.Shift)
	h.Shift[from]--
	h.Shift[to]++
}

// MaxLease returns the longest run time that any queue grants.
func (c *Config) MaxLease() time.Duration {
	var longest time.Duration
	for _, q := range c.Queues {
		longest = max(longest, time.Duration(q.Lease))
	}
	return longest
}

// Unavailable returns how many VMs of the pool take no tasks by the record.
func (c *Config) Unavailable(pool string) int {
	n := 0
	for _, v := range c.VMs {
		if v.Pool == pool && (!v.Serves() || c.Centres[v.Centre].Out) {
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
