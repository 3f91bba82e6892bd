package schedule

import (
	"cmp"
	"slices"
	"time"

	"almondcove/fairshare"
	"almondcove/job"
)

// team is what the core knows of a team on behalf of its accepted jobs.
type team struct {
	name string
	// cap is the team's cap as of the newest configuration that has the team, and recordedCap
	// as of its record; nil means that none is known.
	cap, recordedCap *job.Resources
	// usedAt is when a job of the team was last admitted or added.
	usedAt time.Time
	// used is the sum of the resources that the team's runs are charged for, and gatedUse a
	// bound of what its runs use on VMs that have not answered this owner yet.
	used, gatedUse job.Resources
	// startedAt is when a run of the team last began.
	startedAt time.Time
	// bucket counts the jobs that the team hands in. It is lost with the owner.
	bucket fairshare.Bucket
}

// TeamRecord is the record of a team that has accepted jobs.
type TeamRecord struct {
	Name string `json:"name"`
	// Cap is the team's cap as of the newest configuration that has the team; nil means that
	// no such configuration is known.
	Cap *job.Resources `json:"cap,omitempty"`
}

// team returns the team of that name and begins to keep track of it if necessary.
func (c *Core) team(name string) *team {
	t := c.teams[name]
	if t == nil {
		t = &team{name: name}
		c.teams[name] = t
		c.configureTeam(t)
	}
	return t
}

// useTeam notes that a job of a team is admitted or added.
func (c *Core) useTeam(name string, now time.Time) { c.team(name).usedAt = now }

// configureTeam applies the configuration to a team, if it has the team.
func (c *Core) configureTeam(t *team) {
	configured, ok := c.view.Teams[t.name]
	if ok && (t.cap == nil || *t.cap != configured.Cap) {
		t.cap = &configured.Cap
		c.changedParts[partOf(t.name)] = 0
	}
}

// restoreTeams restores the teams that the previous owner recorded.
func (c *Core) restoreTeams(records []TeamRecord, now time.Time) {
	for _, r := range records {
		t := &team{name: r.Name, cap: r.Cap, recordedCap: r.Cap, usedAt: now}
		c.teams[r.Name] = t
		c.configureTeam(t)
	}
}

// takeTeams adds the records of the teams to the parts of a batch, like takeQueues.
func (c *Core) takeTeams(parts []FleetPart, index map[int]int) {
	for _, t := range c.teams {
		if i, ok := index[partOf(t.name)]; ok && t.cap != nil {
			parts[i].Teams = append(parts[i].Teams, TeamRecord{Name: t.name, Cap: t.cap})
		}
	}
	for _, part := range parts {
		slices.SortFunc(part.Teams, func(a, b TeamRecord) int { return cmp.Compare(a.Name, b.Name) })
	}
}

// teamsCommitted handles the teams of a part that was committed.
func (c *Core) teamsCommitted(records []TeamRecord) {
	for _, r := range records {
		if t := c.teams[r.Name]; t != nil {
			t.recordedCap = r.Cap
		}
	}
}

// recorded reports whether the team is recorded as it is now. A team of which no configuration
// is known, such as that of jobs without a team, has no record.
func (t *team) recorded() bool {
	return t.cap == nil || t.recordedCap != nil && *t.cap == *t.recordedCap
}

// dropTeams removes the teams that are neither configured nor have jobs or runs.
func (c *Core) dropTeams(now time.Time) {
	unused := make(map[string]bool)
	for name, t := range c.teams {
		if _, configured := c.view.Teams[name]; !configured && t.used == (job.Resources{}) && now.Sub(t.usedAt) > settingsRetention {
			unused[name] = true
		}
	}
	if len(unused) == 0 {
		return
	}
	for _, tj := range c.active {
		delete(unused, tj.Team)
	}
	for name := range unused {
		delete(c.teams, name)
		c.changedParts[partOf(name)] = 0
	}
}

func (r RecordBatch) hasTeam(name string) bool {
	return slices.ContainsFunc(r.Parts, func(p FleetPart) bool {
		return slices.ContainsFunc(p.Teams, func(t TeamRecord) bool { return t.Name == name })
	})
}

// stopTimeAfterEnd is how long after the end of a job its runs may still be there: until their
// leases have expired.
func (c Config) stopTimeAfterEnd() time.Duration { return c.MaxLeaseWithDrift() + c.MaxStopTime }

// boundGatedUse bounds what the runs of each team use on the VMs that have not answered this
// owner: at most what those VMs have, and what the tasks of its earlier jobs need that may run
// there.
func (c *Core) boundGatedUse(now time.Time) {
	for _, t := range c.teams {
		t.gatedUse = job.Resources{}
	}
	if len(c.gates) == 0 {
		return
	}
	var pools poolSet
	var capacity job.Resources
	for id, g := range c.gates {
		pools = pools.union(g.pools)
		if v := c.vms[id]; v != nil {
			capacity = capacity.Plus(v.Capacity)
		}
	}
	for _, tj := range c.active {
		if tj.Epoch == c.epoch || !tj.queue.pools.overlaps(pools) {
			continue
		}
		for i := range tj.Steps {
			c.team(tj.Team).addGatedUse(tj.Steps[i], tj.Occurrences(), capacity)
		}
	}
	for _, tj := range c.endedWithRuns {
		if now.Sub(tj.state.EndedAt()).Abs() > c.config.stopTimeAfterEnd() {
			continue
		}
		for _, step := range tj.state.KeptSteps() {
			c.team(tj.Team).addGatedUse(step, 1, capacity)
		}
	}
}

// addGatedUse adds the runs of a step to a bound that is at most capacity.
func (t *team) addGatedUse(step job.Step, occurrences int, capacity job.Resources) {
	runs := int64(step.Count) * int64(occurrences)
	add := func(bound *int64, need, most int64) {
		// A task that needs more than there is does not run. The product is compared without
		// an overflow.
		if need > most {
			return
		}
		if need > 0 && runs > most/need {
			*bound = most
			return
		}
		*bound = min(*bound+need*runs, most)
	}
	add(&t.gatedUse.CPU, step.Need.CPU, capacity.CPU)
	add(&t.gatedUse.Memory, step.Need.Memory, capacity.Memory)
	add(&t.gatedUse.GPU, step.Need.GPU, capacity.GPU)
}
