package fleet

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"
)

// Change is one operator's change. The implementations are the types of this file.
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
	// KeyWithdraw ends a key for ever.
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
	// VMMove starts the move of a VM to another pool. Down is the number of VMs
	// of its pool that failed or can't be seen; they use the budget up first.
	VMMove struct {
		Name, Pool string
		Down       int
		// Planned marks a move towards the targets; others shift them.
		Planned bool
		// Lend remembers the VM's pool, so that it can go home.
		Lend bool
	}
	// VMDrain takes a VM out for maintenance, under the same budget.
	VMDrain struct {
		Name, Boot string
		Down       int
	}
	// VMDone ends the maintenance of a VM.
	VMDone struct {
		Name string
		At   time.Time
	}
	// PoolWave makes every VM of a pool due for maintenance.
	PoolWave struct {
		Name string
		At   time.Time
	}
	// VMPlace ends a move once the VM has no task left.
	VMPlace struct{ Name string }
	// VMLeave stops new tasks on a VM.
	VMLeave struct{ Name, Stamp string }
	// VMReturn lets a VM take tasks again.
	VMReturn struct{ Name, Stamp string }
	// CentreOut stops new tasks in a data centre.
	CentreOut struct{ Name, Stamp string }
	// CentreBack lets a data centre take tasks again.
	CentreBack struct{ Name, Stamp string }
	// Load replaces the whole configuration except its keys.
	// The set of data centres of a configuration in use can't change, since
	// the upper limits are divided over it.
	Load struct {
		Config *Config
		At     time.Time
	}
)

func (PresetUse) change()   {}
func (PresetSet) change()   {}
func (TeamSet) change()     {}
func (KeyGrant) change()    {}
func (KeyWithdraw) change() {}
func (QueueSet) change()    {}
func (PoolSet) change()     {}
func (VMMove) change()      {}
func (VMPlace) change()     {}
func (VMDrain) change()     {}
func (VMDone) change()      {}
func (PoolWave) change()    {}
func (VMLeave) change()     {}
func (VMReturn) change()    {}
func (CentreOut) change()   {}
func (CentreBack) change()  {}
func (Load) change()        {}

// Apply returns the configuration after ch and the records that differ, the
// head last. A change that is already in force returns c itself and no
// records. The error is *Invalid, *Missing or *Conflict, and c is unchanged.
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
	records, err := next.differing(touched)
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

// Renewed returns the same configuration under the next revision, and its head
// record.
func (c *Config) Renewed(stamp string) (*Config, Record, error) {
	next := c.clone()
	next.Head.advance(stamp)
	head, err := next.encode(HeadKey)
	if err != nil {
		return nil, head, err
	}
	next.records[HeadKey] = head
	return next, head, nil
}

// differing encodes the touched objects and stores those that changed.
func (c *Config) differing(touched []string) ([]Record, error) {
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

// mutate changes c in place and returns the keys of the objects it touched.
func (c *Config) mutate(ch Change) ([]string, error) {
	switch ch := ch.(type) {
	case PresetUse:
		if _, ok := c.Presets[ch.Name]; !ok {
			return nil, &Missing{Kind: "preset", Name: ch.Name}
		}
		if c.Head.Preset != ch.Name {
			c.Head.Preset = ch.Name
			c.Head.Shift = nil
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
	case VMMove, VMPlace, VMLeave, VMReturn, VMDrain, VMDone:
		return c.mutateVM(ch)
	case PoolWave:
		p, ok := c.Pools[ch.Name]
		if !ok {
			return nil, &Missing{Kind: "pool", Name: ch.Name}
		}
		p.Wave = ch.At
		c.Pools[ch.Name] = p
		return []string{"pool/" + ch.Name}, nil
	case CentreOut, CentreBack:
		return c.mutateCentre(ch)
	case Load:
		return c.load(ch.Config, ch.At)
	}
	return nil, &Missing{Kind: "change", Name: "of this type"}
}

func (c *Config) mutateKey(ch Change) ([]string, error) {
	switch ch := ch.(type) {
	case KeyGrant:
		if old, ok := c.Keys[ch.ID]; ok && old != ch.Key {
			return nil, &Conflict{Path: "key/" + ch.ID, Reason: "the key exists"}
		}
		c.Keys[ch.ID] = ch.Key
		return []string{"key/" + ch.ID}, nil
	case KeyWithdraw:
		k, ok := c.Keys[ch.ID]
		if !ok {
			return nil, &Missing{Kind: "key", Name: ch.ID}
		}
		k.Gone = true
		c.Keys[ch.ID] = k
		return []string{"key/" + ch.ID}, nil
	}
	return nil, nil
}

func (c *Config) mutateVM(ch Change) ([]string, error) {
	name := vmName(ch)
	v, ok := c.VMs[name]
	if !ok {
		return nil, &Missing{Kind: "vm", Name: name}
	}
	switch ch := ch.(type) {
	case VMMove:
		if _, ok := c.Pools[ch.Pool]; !ok {
			return nil, &Missing{Kind: "pool", Name: ch.Pool}
		}
		if from := cmp.Or(v.To, v.Pool); !ch.Planned && from != ch.Pool {
			c.Head.shift(from, ch.Pool)
		}
		if ch.Pool == v.Pool {
			// A move back to the VM's own pool takes an unfinished move back.
			v.To, v.Home = "", ""
			break
		}
		if err := c.spend(name, v, ch.Down); err != nil {
			return nil, err
		}
		v.To, v.Home = ch.Pool, ""
		if ch.Lend {
			v.Home = v.Pool
		}
	case VMDrain:
		if err := c.spend(name, v, ch.Down); err != nil {
			return nil, err
		}
		v.Out, v.Boot = true, ch.Boot
	case VMDone:
		if !v.Out {
			return nil, &Conflict{Path: "vm/" + name, Reason: "the VM is not out for maintenance"}
		}
		v.Out, v.Boot, v.Done = false, "", ch.At
	case VMPlace:
		if v.To == "" {
			return nil, &Conflict{Path: "vm/" + name, Reason: "the VM is not moving"}
		}
		v.Pool, v.To = v.To, ""
		if v.Home == v.Pool {
			v.Home = ""
		}
	case VMLeave:
		v.Leave, v.Stamp = true, ch.Stamp
	case VMReturn:
		v.Leave, v.Stamp = false, ch.Stamp
	}
	c.VMs[name] = v
	return []string{"vms/" + v.Centre}, nil
}

// spend checks that the availability budget of the VM's pool allows one more
// VM to be out by plan.
func (c *Config) spend(name string, v VM, down int) error {
	pool := c.Pools[v.Pool]
	if pool.Spare || !v.Serves() || c.Centres[v.Centre].Out {
		return nil
	}
	if used := c.Unavailable(v.Pool) + down; used >= pool.Budget {
		return &Conflict{Path: "vm/" + name, Reason: fmt.Sprintf(
			"the availability budget of pool %s is used up: %d of %d VMs are unavailable", v.Pool, used, pool.Budget)}
	}
	return nil
}

func vmName(ch Change) string {
	switch ch := ch.(type) {
	case VMDrain:
		return ch.Name
	case VMDone:
		return ch.Name
	case VMMove:
		return ch.Name
	case VMPlace:
		return ch.Name
	case VMLeave:
		return ch.Name
	case VMReturn:
		return ch.Name
	}
	return ""
}

func (c *Config) mutateCentre(ch Change) ([]string, error) {
	var to Centre
	var name string
	switch ch := ch.(type) {
	case CentreOut:
		name, to = ch.Name, Centre{Out: true, Stamp: ch.Stamp}
	case CentreBack:
		name, to = ch.Name, Centre{Stamp: ch.Stamp}
	}
	old, ok := c.Centres[name]
	if !ok {
		return nil, &Missing{Kind: "centre", Name: name}
	}
	// Coming back always gets its stamp, since a restriction that is not
	// recorded yet may have to be overruled.
	if !to.Out || !old.Out {
		c.Centres[name] = to
	}
	return []string{"centre/" + name}, nil
}

// load takes over every object of from but its keys and head revision. VMs
// that are new count as maintained within the last half of their pool's period,
// at even distances, so that they don't all become due at once.
func (c *Config) load(from *Config, now time.Time) ([]string, error) {
	if len(c.Centres) > 0 && !sameNames(c.Centres, from.Centres) {
		return nil, &Conflict{Path: "centres", Reason: "the set of data centres can't change once it is in use"}
	}
	touched := append(c.keysOf(), from.keysOf()...)
	slices.Sort(touched)
	touched = slices.Compact(touched)
	old, known := c.Centres, c.VMs
	from = from.clone()
	from.spread(known, now)
	c.Teams, c.Queues, c.Pools = from.Teams, from.Queues, from.Pools
	c.Presets, c.Centres, c.VMs = from.Presets, from.Centres, from.VMs
	for name, centre := range old {
		c.Centres[name] = centre
	}
	if from.Head.Preset != "" {
		c.Head.Preset, c.Head.Shift = from.Head.Preset, nil
	}
	return touched, nil
}

// spread sets when the VMs were last maintained: as known, or spread evenly.
func (c *Config) spread(known map[string]VM, now time.Time) {
	fresh := make(map[string][]string)
	for _, name := range slices.Sorted(maps.Keys(c.VMs)) {
		v := c.VMs[name]
		if old, ok := known[name]; ok && v.Done.IsZero() {
			v.Done = old.Done
		}
		if v.Done.IsZero() {
			fresh[v.Pool] = append(fresh[v.Pool], name)
		}
		c.VMs[name] = v
	}
	for pool, names := range fresh {
		half := time.Duration(c.Pools[pool].Period) / 2
		for i, name := range names {
			v := c.VMs[name]
			v.Done = now.Add(-half * time.Duration(i) / time.Duration(len(names))).UTC()
			c.VMs[name] = v
		}
	}
}

// keysOf returns the record key of every object except access keys.
func (c *Config) keysOf() []string {
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
