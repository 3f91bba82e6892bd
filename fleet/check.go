package fleet

import (
	"cmp"
	"regexp"
	"slices"
	"strconv"
	"time"
)

// The upper bounds of the values in a configuration.
const (
	MaxLimit = 1_000_000
	MaxShare = 10_000
	MaxLease = 10 * time.Minute
	MaxWait  = 10 * time.Minute
	MaxDepth = 100_000
)

// namePattern matches the names of teams, queues, pools, presets, data centres and
// VMs.
var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9-]{0,62}$`)

// Check returns nil if c is valid, and otherwise *InvalidError with every failed
// check.
func (c *Config) Check() error {
	k := &checker{config: c}
	k.names()
	k.teams()
	k.queues()
	k.pools()
	k.presets()
	k.vms()
	if len(k.reasons) == 0 {
		return nil
	}
	slices.SortFunc(k.reasons, func(a, b Reason) int { return cmp.Compare(a.Path, b.Path) })
	return &InvalidError{Reasons: k.reasons}
}

// checker collects the failed checks of a configuration.
type checker struct {
	config  *Config
	reasons []Reason
}

// expect records a failed check unless ok is true.
func (k *checker) expect(ok bool, path, expected string) {
	if !ok {
		k.reasons = append(k.reasons, Reason{Path: path, Expected: expected})
	}
}

// checkRange checks that n is in [low, high].
func (k *checker) checkRange(n, low, high int, path string) {
	k.expect(n >= low && n <= high, path, "a whole number from "+strconv.Itoa(low)+" to "+strconv.Itoa(high))
}

// checkDuration checks that d is in [low, high].
func (k *checker) checkDuration(d Duration, low, high time.Duration, path string) {
	ok := time.Duration(d) >= low && time.Duration(d) <= high
	k.expect(ok, path, "a duration from "+low.String()+" to "+high.String())
}

func (k *checker) names() {
	c := k.config
	checkNames(k, "team/", c.Teams)
	checkNames(k, "queue/", c.Queues)
	checkNames(k, "pool/", c.Pools)
	checkNames(k, "preset/", c.Presets)
	checkNames(k, "centre/", c.Centres)
	checkNames(k, "vm/", c.VMs)
}

func checkNames[V any](k *checker, prefix string, m map[string]V) {
	for name := range m {
		k.expect(namePattern.MatchString(name), prefix+name, "a name of a-z, 0-9 and '-', at most 63 long")
	}
}

func (k *checker) teams() {
	for name, t := range k.config.Teams {
		k.checkRange(t.Share, 1, MaxShare, "team/"+name+".share")
		k.checkRange(t.Limit, 0, MaxLimit, "team/"+name+".limit")
	}
	for id, key := range k.config.Keys {
		_, ok := k.config.Teams[key.Team]
		k.expect(ok || key.Withdrawn, "key/"+id+".team", "the name of a team")
	}
}

func (k *checker) queues() {
	for name, q := range k.config.Queues {
		path := "queue/" + name
		pool, ok := k.config.Pools[q.Pool]
		k.expect(ok, path+".pool", "the name of a pool")
		k.expect(!pool.Spare, path+".pool", "a pool that is not spare")
		k.expect(q.Class == Urgent || q.Class == Normal || q.Class == Deferrable, path+".class", "urgent, normal or deferrable")
		for _, t := range q.Teams {
			_, ok := k.config.Teams[t]
			k.expect(ok, path+".teams", "names of teams; there is no "+strconv.Quote(t))
		}
		_, owned := k.config.Teams[q.Owner]
		k.expect(!q.Open || owned, path+".owner", "the name of a team, since the queue is open")
		k.expect(q.Open || len(q.Teams) > 0, path+".teams", "at least one team, since the queue is not open")
		k.checkDuration(q.Lease, time.Millisecond, MaxLease, path+".lease")
		k.checkDuration(q.Wait, time.Millisecond, MaxWait, path+".wait")
		k.checkRange(q.Depth, 1, MaxDepth, path+".depth")
	}
}

func (k *checker) pools() {
	for name, p := range k.config.Pools {
		k.checkRange(p.Budget, 0, MaxLimit, "pool/"+name+".budget")
		k.expect(p.Period >= 0, "pool/"+name+".period", "a duration of at least 0s")
	}
}

func (k *checker) presets() {
	c := k.config
	_, ok := c.Presets[c.Head.Preset]
	k.expect(ok, "preset", "the name of a preset to be in force")
	for name, p := range c.Presets {
		for pool, target := range p.Targets {
			_, ok := c.Pools[pool]
			k.expect(ok, "preset/"+name+".targets", "names of pools; there is no "+strconv.Quote(pool))
			k.checkRange(target, 0, MaxLimit, "preset/"+name+".targets."+pool)
		}
		for team, share := range p.Shares {
			_, ok := c.Teams[team]
			k.expect(ok, "preset/"+name+".shares", "names of teams; there is no "+strconv.Quote(team))
			k.checkRange(share, 1, MaxShare, "preset/"+name+".shares."+team)
		}
	}
}

func (k *checker) vms() {
	c := k.config
	k.expect(len(c.Centres) > 0, "centres", "at least one data centre")
	for name, v := range c.VMs {
		_, ok := c.Centres[v.Centre]
		k.expect(ok, "vm/"+name+".centre", "the name of a data centre")
		_, ok = c.Pools[v.Pool]
		k.expect(ok, "vm/"+name+".pool", "the name of a pool")
		if v.MovingTo != "" {
			_, ok = c.Pools[v.MovingTo]
			k.expect(ok, "vm/"+name+".to", "the name of a pool")
		}
	}
}
