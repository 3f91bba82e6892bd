package fleet

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"
)

// Change is a change of the configuration. The types of this file implement it.
type Change interface{ change() }

type (
	// PresetUse puts a preset in force.
	PresetUse struct{ Name string }
	// PresetSet creates or replaces a preset.
	PresetSet struct {
		Name   string
		Preset Preset
	}
	// TeamSet creates or replaces a team.
	TeamSet struct {
		Name string
		Team Team
	}
	// KeyGrant adds a key.
	KeyGrant struct {
		ID  string
		Key Key
	}
	// KeyWithdraw withdraws a key, which never becomes valid again.
	KeyWithdraw struct{ ID string }
	// QueueSet creates or replaces a queue.
	QueueSet struct {
		Name  string
		Queue Queue
	}
	// PoolSet creates or replaces a pool.
	PoolSet struct {
		Name string
		Pool Pool
	}
	// VMMove starts the move of a VM to another pool. A move to the VM's own pool
	// cancels the one in progress.
	VMMove struct {
		Name, Pool string
		// DownCount is the number of VMs of the VM's pool that failed or can't be
		// seen. They use the availability budget first.
		DownCount int
		// Planned marks a move that a plan starts to reach the targets. Any other
		// move changes the targets of both pools by one VM.
		Planned bool
		// Lending stores the VM's present pool as its home pool, to which it can
		// be returned.
		Lending bool
	}
	// VMDrain starts the maintenance of a VM. Boot identifies the present run of the
	// VM's process, which the maintenance ends. DownCount has the same meaning as in
	// VMMove, and the same budget applies.
	VMDrain struct {
		Name, Boot string
		DownCount  int
	}
	// VMMaintenanceFinish ends the maintenance of a VM at the time At.
	VMMaintenanceFinish struct {
		Name string
		At   time.Time
	}
	// PoolWave starts a maintenance wave: every VM of the pool that was last
	// maintained before At is due.
	PoolWave struct {
		Name string
		At   time.Time
	}
	// VMMoveFinish puts a moving VM into its new pool, once it has no task left.
	VMMoveFinish struct{ Name string }
	// VMLeave disables a VM: it takes no new tasks.
	VMLeave struct{ Name, Stamp string }
	// VMReturn lets a disabled VM take tasks again.
	VMReturn struct{ Name, Stamp string }
	// CentreOut takes a data centre out of service: its VMs take no new tasks.
	CentreOut struct{ Name, Stamp string }
	// CentreBack puts a data centre back into service.
	CentreBack struct{ Name, Stamp string }
	// ConfigLoad replaces the whole configuration except its keys and the state
	// of its data centres. The set of data centres can't change once it is in
	// use, since upper limits are divided among the data centres. At is the time
	// of the change.
	ConfigLoad struct {
		Config *Config
		At     time.Time
	}
)

func (PresetUse) change()           {}
func (PresetSet) change()           {}
func (TeamSet) change()             {}
func (KeyGrant) change()            {}
func (KeyWithdraw) change()         {}
func (QueueSet) change()            {}
func (PoolSet) change()             {}
func (VMMove) change()              {}
func (VMMoveFinish) change()        {}
func (VMDrain) change()             {}
func (VMMaintenanceFinish) change() {}
func (PoolWave) change()            {}
func (VMLeave) change()             {}
func (VMReturn) change()            {}
func (CentreOut) change()           {}
func (CentreBack) change()          {}
func (ConfigLoad) change()          {}

// Apply returns the configuration after ch and the records that differ, the
// head last. The stamp identifies the write, see [Head]. If ch changes nothing,
// Apply returns c itself and no records. The error is *InvalidError,
// *NotFoundError or *ConflictError. Apply never modifies c.
func (c *Config) Apply(ch Change, stamp string) (*Config, []Record, error) {
	next := c.clone()
	touched, err := next.mutate(ch)
	if err != nil {
		return nil, nil, err
	}
	if err := next.Check(); err != nil {
		return nil, nil, err
	}
	next.Head.advance(stamp)
	records, err := next.changedRecords(touched)
	if err != nil {
		return nil, nil, err
	}
	if len(records) == 0 && next.Head.Preset == c.Head.Preset {
		return c, nil, nil
	}
	head, err := next.encode(HeadKey)
	if err != nil {
		return nil, nil, err
	}
	next.records[HeadKey] = head
	return next, append(records, head), nil
}

// NextRevision returns the same configuration at the next revision, and its head
// record. The stamp identifies the write, see [Head].
func (c *Config) NextRevision(stamp string) (*Config, Record, error) {
	next := c.clone()
	next.Head.advance(stamp)
	head, err := next.encode(HeadKey)
	if err != nil {
		return nil, head, err
	}
	next.records[HeadKey] = head
	return next, head, nil
}

// changedRecords encodes the objects with the touched record keys. It returns the
// records that differ from those of c, and stores them in c.
func (c *Config) changedRecords(touched []string) ([]Record, error) {
	var records []Record
	for _, key := range touched {
		r, err := c.encode(key)
		if err != nil {
			return nil, err
		}
		if old, ok := c.records[key]; ok && slices.Equal(old.Body, r.Body) {
			continue
		}
		c.records[key] = r
		records = append(records, r)
	}
	return records, nil
}

// mutate applies ch to c in place and returns the record keys of the objects that it
// may have changed.
func (c *Config) mutate(ch Change) ([]string, error) {
	switch ch := ch.(type) {
	case PresetUse:
		if _, ok := c.Presets[ch.Name]; !ok {
			return nil, &NotFoundError{Kind: "preset", Name: ch.Name}
		}
		if c.Head.Preset != ch.Name {
			c.Head.Preset = ch.Name
			c.Head.TargetOffsets = nil
		}
		return nil, nil
	case PresetSet:
		c.Presets[ch.Name] = ch.Preset
		return []string{"preset/" + ch.Name}, nil
	case TeamSet:
		c.Teams[ch.Name] = ch.Team
		return []string{"team/" + ch.Name}, nil
	case QueueSet:
		c.Queues[ch.Name] = ch.Queue
		return []string{"queue/" + ch.Name}, nil
	case PoolSet:
		c.Pools[ch.Name] = ch.Pool
		return []string{"pool/" + ch.Name}, nil
	case KeyGrant, KeyWithdraw:
		return c.mutateKey(ch)
	case VMMove, VMMoveFinish, VMLeave, VMReturn, VMDrain, VMMaintenanceFinish:
		return c.mutateVM(ch)
	case PoolWave:
		p, ok := c.Pools[ch.Name]
		if !ok {
			return nil, &NotFoundError{Kind: "pool", Name: ch.Name}
		}
		p.Wave = ch.At
		c.Pools[ch.Name] = p
		return []string{"pool/" + ch.Name}, nil
	case CentreOut, CentreBack:
		return c.mutateCentre(ch)
	case ConfigLoad:
		return c.replace(ch.Config, ch.At)
	}
	return nil, &NotFoundError{Kind: "change", Name: "of this type"}
}

func (c *Config) mutateKey(ch Change) ([]string, error) {
	switch ch := ch.(type) {
	case KeyGrant:
		if old, ok := c.Keys[ch.ID]; ok && old != ch.Key {
			return nil, &ConflictError{Path: "key/" + ch.ID, Reason: "the key exists"}
		}
		c.Keys[ch.ID] = ch.Key
		return []string{"key/" + ch.ID}, nil
	case KeyWithdraw:
		k, ok := c.Keys[ch.ID]
		if !ok {
			return nil, &NotFoundError{Kind: "key", Name: ch.ID}
		}
		k.Withdrawn = true
		c.Keys[ch.ID] = k
		return []string{"key/" + ch.ID}, nil
	}
	return nil, nil
}

func (c *Config) mutateVM(ch Change) ([]string, error) {
	name := vmName(ch)
	v, ok := c.VMs[name]
	if !ok {
		return nil, &NotFoundError{Kind: "vm", Name: name}
	}
	switch ch := ch.(type) {
	case VMMove:
		if _, ok := c.Pools[ch.Pool]; !ok {
			return nil, &NotFoundError{Kind: "pool", Name: ch.Pool}
		}
		if from := cmp.Or(v.MovingTo, v.Pool); !ch.Planned && from != ch.Pool {
			c.Head.shiftTargets(from, ch.Pool)
		}
		if ch.Pool == v.Pool {
			// A move to the VM's own pool cancels the move in progress. It needs no
			// budget.
			v.MovingTo, v.HomePool = "", ""
			break
		}
		if err := c.checkBudget(name, v, ch.DownCount); err != nil {
			return nil, err
		}
		v.MovingTo, v.HomePool = ch.Pool, ""
		if ch.Lending {
			v.HomePool = v.Pool
		}
	case VMDrain:
		if err := c.checkBudget(name, v, ch.DownCount); err != nil {
			return nil, err
		}
		v.InMaintenance, v.Boot = true, ch.Boot
	case VMMaintenanceFinish:
		if !v.InMaintenance {
			return nil, &ConflictError{Path: "vm/" + name, Reason: "the VM is not out for maintenance"}
		}
		v.InMaintenance, v.Boot, v.MaintainedAt = false, "", ch.At
	case VMMoveFinish:
		if v.MovingTo == "" {
			return nil, &ConflictError{Path: "vm/" + name, Reason: "the VM is not moving"}
		}
		v.Pool, v.MovingTo = v.MovingTo, ""
		if v.HomePool == v.Pool {
			v.HomePool = ""
		}
	case VMLeave:
		v.Disabled, v.Stamp = true, ch.Stamp
	case VMReturn:
		v.Disabled, v.Stamp = false, ch.Stamp
	}
	c.VMs[name] = v
	return []string{"vms/" + v.Centre}, nil
}

// checkBudget returns *ConflictError if the availability budget of the VM's pool
// doesn't allow one more VM to be taken out of service. A VM that is unavailable
// already uses the budget, and a spare pool has no limit. downCount is the number
// of VMs of the pool that should serve and are down.
func (c *Config) checkBudget(name string, v VM, downCount int) error {
	pool := c.Pools[v.Pool]
	if pool.Spare || !v.Serves() || c.Centres[v.Centre].OutOfService {
		return nil
	}
	if used := c.CountUnavailable(v.Pool) + downCount; used >= pool.Budget {
		return &ConflictError{Path: "vm/" + name, Reason: fmt.Sprintf(
			"the availability budget of pool %s is used up: %d of %d VMs are unavailable", v.Pool, used, pool.Budget)}
	}
	return nil
}

// vmName returns the name of the VM that ch changes.
func vmName(ch Change) string {
	switch ch := ch.(type) {
	case VMDrain:
		return ch.Name
	case VMMaintenanceFinish:
		return ch.Name
	case VMMove:
		return ch.Name
	case VMMoveFinish:
		return ch.Name
	case VMLeave:
		return ch.Name
	case VMReturn:
		return ch.Name
	}
	return ""
}

func (c *Config) mutateCentre(ch Change) ([]string, error) {
	var next Centre
	var name string
	switch ch := ch.(type) {
	case CentreOut:
		name, next = ch.Name, Centre{OutOfService: true, Stamp: ch.Stamp}
	case CentreBack:
		name, next = ch.Name, Centre{Stamp: ch.Stamp}
	}
	old, ok := c.Centres[name]
	if !ok {
		return nil, &NotFoundError{Kind: "centre", Name: name}
	}
	// CentreBack always stores its stamp, even if the data centre is in service:
	// the stamp overrules an earlier restriction that is not recorded yet.
	if !next.OutOfService || !old.OutOfService {
		c.Centres[name] = next
	}
	return []string{"centre/" + name}, nil
}

// replace replaces every object with those of from, except the keys, the state of
// data centres already in use and the revision. New VMs get maintenance times
// spread evenly over the last half of their pool's period, so that they don't
// all become due at once.
func (c *Config) replace(from *Config, now time.Time) ([]string, error) {
	if len(c.Centres) > 0 && !sameNames(c.Centres, from.Centres) {
		return nil, &ConflictError{Path: "centres", Reason: "the set of data centres can't change once it is in use"}
	}
	touched := append(c.objectKeys(), from.objectKeys()...)
	slices.Sort(touched)
	touched = slices.Compact(touched)
	oldCentres, oldVMs := c.Centres, c.VMs
	from = from.clone()
	from.spreadMaintenance(oldVMs, now)
	c.Teams, c.Queues, c.Pools = from.Teams, from.Queues, from.Pools
	c.Presets, c.Centres, c.VMs = from.Presets, from.Centres, from.VMs
	for name, centre := range oldCentres {
		c.Centres[name] = centre
	}
	if from.Head.Preset != "" {
		c.Head.Preset, c.Head.TargetOffsets = from.Head.Preset, nil
	}
	return touched, nil
}

// spreadMaintenance sets MaintainedAt of each VM that has none: to the time in
// oldVMs if there is one, otherwise to a time spread evenly over the last half of
// the period of the VM's pool.
func (c *Config) spreadMaintenance(oldVMs map[string]VM, now time.Time) {
	newVMs := make(map[string][]string)
	for _, name := range slices.Sorted(maps.Keys(c.VMs)) {
		v := c.VMs[name]
		if old, ok := oldVMs[name]; ok && v.MaintainedAt.IsZero() {
			v.MaintainedAt = old.MaintainedAt
		}
		if v.MaintainedAt.IsZero() {
			newVMs[v.Pool] = append(newVMs[v.Pool], name)
		}
		c.VMs[name] = v
	}
	for pool, names := range newVMs {
		half := time.Duration(c.Pools[pool].Period) / 2
		for i, name := range names {
			v := c.VMs[name]
			v.MaintainedAt = now.Add(-half * time.Duration(i) / time.Duration(len(names))).UTC()
			c.VMs[name] = v
		}
	}
}

// objectKeys returns the record keys of all objects except callers' keys.
func (c *Config) objectKeys() []string {
	var out []string
	out = appendKeys(out, "team/", c.Teams)
	out = appendKeys(out, "queue/", c.Queues)
	out = appendKeys(out, "pool/", c.Pools)
	out = appendKeys(out, "preset/", c.Presets)
	out = appendKeys(out, "centre/", c.Centres)
	return appendKeys(out, "vms/", c.Centres)
}

func appendKeys[V any](out []string, prefix string, m map[string]V) []string {
	for name := range m {
		out = append(out, prefix+name)
	}
	return out
}

func sameNames[V any](a, b map[string]V) bool {
	if len(a) != len(b) {
		return false
	}
	for name := range a {
		if _, ok := b[name]; !ok {
			return false
		}
	}
	return true
}
