package schedule

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"almondcove/fairshare"
	"almondcove/job"
)

// poolUse is what the runs in a pool take of its VMs: those of service tasks together, and the
// others by team.
type poolUse struct {
	services job.Resources
	teams    map[string]job.Resources
	// loggedAt is when teams beyond their share were last logged.
	loggedAt time.Time
}

// add adds the needs of a run that begins to the use of its pool.
func (u *poolUse) add(r *run) { u.change(r, r.need) }

// subtract subtracts the needs of a run that is released.
func (u *poolUse) subtract(r *run) { u.change(r, job.Resources{}.Minus(r.need)) }

func (u *poolUse) change(r *run, by job.Resources) {
	if r.task.stage.step.Service {
		u.services = u.services.Plus(by)
		return
	}
	name := r.task.stage.trackedJob.Team
	if u.teams == nil {
		u.teams = make(map[string]job.Resources)
	}
	if u.teams[name] = u.teams[name].Plus(by); u.teams[name] == (job.Resources{}) {
		delete(u.teams, name)
	}
}

// takeToken counts a new job towards the rate of its team, and marks it if it exceeds that rate.
// A job with set times is not marked: its occurrences are due long after it was handed in.
func (c *Core) takeToken(tj *trackedJob, now time.Time) {
	weight := c.view.Teams[tj.Team].Weight
	if weight <= 0 || tj.Epoch != c.epoch || c.team(tj.Team).bucket.Take(weight, now) || tj.ScheduledOccurrences > 0 {
		return
	}
	tj.excess = true
	c.stats.Excess++
}

// turn is the place of a stage among those of its rank.
type turn int

// The turns of stages. Each comes before the next one.
const (
	// turnOwed is a stage that leaves its team within its share, and any stage to which no
	// share applies.
	turnOwed turn = iota
	// turnPartlyOwed is a stage that takes its team, which is below its share, beyond it. The
	// teams that have the least of their share come first, and among equals those that have
	// started a task the longest ago.
	turnPartlyOwed
	// turnLent is a stage of a team that has its share.
	turnLent
	// turnExcess is a stage of a job beyond its team's rate.
	turnExcess
	numTurns
)

// division divides a pool among the teams with a weight that have waiting tasks there. The room
// of service tasks, which come before all others, is not part of it. A division is used again,
// so that its buffers are.
type division struct {
	index    map[string]int
	teams    []string
	claims   []fairshare.Claim
	owed     []float64
	capacity job.Resources
	sorted   []*stage
}

// applyShares reorders sorted stages of a pool: within each rank, those of teams that are below
// their share come first, then those of the other teams, and last the jobs beyond their teams'
// rates. The order among the stages of the same turn stays, but for those that are owed in part.
// Shares apply only to stages that can still be in time: late ones stay in the order of their
// values, so that more of them are done. Nothing changes for service tasks, for teams without a
// weight, and for overdue stages, so that these are done in the end.
func (c *Core) applyShares(p *pool, stages []*stage, now time.Time) {
	d := &c.division
	if !c.divide(d, p, stages, now) {
		return
	}
	for _, s := range stages {
		s.turn = d.turnOf(s)
	}
	d.sorted = append(d.sorted[:0], stages...)
	sorted, out := d.sorted, stages[:0]
	for len(sorted) > 0 {
		n := slices.IndexFunc(sorted, func(s *stage) bool { return s.rank != sorted[0].rank })
		if n < 0 {
			n = len(sorted)
		}
		out = c.appendInTurn(out, sorted[:n])
		sorted = sorted[n:]
	}
	clear(d.sorted)
	c.logShares(d, p, now)
}

// appendInTurn appends the stages of one rank in the order of their turns.
func (c *Core) appendInTurn(out, stages []*stage) []*stage {
	for t := range numTurns {
		first := len(out)
		for _, s := range stages {
			if s.turn == t {
				out = append(out, s)
			}
		}
		if t == turnPartlyOwed {
			slices.SortStableFunc(out[first:], func(a, b *stage) int {
				return cmp.Or(
					cmp.Compare(a.shareUsed, b.shareUsed),
					c.team(a.trackedJob.Team).startedAt.Compare(c.team(b.trackedJob.Team).startedAt),
				)
			})
		}
	}
	return out
}

// divide sets the division of a pool. It reports false if it can't matter: all stages are of one
// team, or none is of a team with a weight.
func (c *Core) divide(d *division, p *pool, stages []*stage, now time.Time) bool {
	if d.index == nil {
		d.index = make(map[string]int)
	}
	clear(d.index)
	d.teams, d.claims = d.teams[:0], d.claims[:0]
	for _, list := range [...][]*stage{stages, p.missed} {
		for _, s := range list {
			i := c.claimOf(d, p, s.trackedJob.Team)
			if i >= 0 && s.rank != rankService && !s.trackedJob.excess {
				d.claims[i].Waiting = d.claims[i].Waiting.Plus(s.need().Times(int64(s.waitingTasks)))
			}
		}
	}
	if len(d.claims) == 0 || len(d.index) < 2 {
		return false
	}
	for name := range p.use.teams {
		c.claimOf(d, p, name)
	}
	for i, name := range d.teams {
		d.claims[i].Waiting = c.team(name).withinCap(d.claims[i].Waiting)
	}
	d.capacity = c.divisible(p, now)
	d.owed = fairshare.Divide(d.capacity, d.claims)
	return true
}

// claimOf returns the index of a team's claim, which it adds if necessary, or -1 if the team has
// no weight.
func (c *Core) claimOf(d *division, p *pool, name string) int {
	i, ok := d.index[name]
	if ok {
		return i
	}
	i = -1
	if weight := c.view.Teams[name].Weight; weight > 0 {
		i = len(d.claims)
		d.teams = append(d.teams, name)
		d.claims = append(d.claims, fairshare.Claim{Weight: weight, Used: p.use.teams[name]})
	}
	d.index[name] = i
	return i
}

// withinCap returns the part of what a team's waiting tasks need that its cap allows.
func (t *team) withinCap(waiting job.Resources) job.Resources {
	if t.cap == nil {
		return waiting
	}
	left := t.cap.Minus(t.used.Plus(t.gatedUse))
	bound := func(need *int64, limit, left int64) {
		if limit > 0 {
			*need = max(min(*need, left), 0)
		}
	}
	bound(&waiting.CPU, t.cap.CPU, left.CPU)
	bound(&waiting.Memory, t.cap.Memory, left.Memory)
	bound(&waiting.GPU, t.cap.GPU, left.GPU)
	return waiting
}

// divisible returns the capacity of a pool that is divided among the teams: that of the VMs on
// which tasks may start, and what runs elsewhere, but not what service tasks take.
func (c *Core) divisible(p *pool, now time.Time) job.Resources {
	var out job.Resources
	for _, v := range p.vms {
		if c.acceptsTasks(v, now) {
			out = out.Plus(v.Capacity)
		} else {
			out = out.Plus(v.used)
		}
	}
	return out.Minus(p.use.services)
}

// turnOf returns the turn of a stage, and charges its team for it. The stages of a team must be
// passed in their order.
func (d *division) turnOf(s *stage) turn {
	i := d.index[s.trackedJob.Team]
	switch {
	case i < 0 || s.rank == rankService || s.overdue:
		return turnOwed
	case s.trackedJob.excess:
		return turnExcess
	case s.rank > rankLater:
		return turnOwed
	}
	claim := &d.claims[i]
	before := fairshare.Dominant(claim.Used, d.capacity)
	claim.Used = claim.Used.Plus(s.need().Times(int64(s.waitingTasks)))
	switch after := fairshare.Dominant(claim.Used, d.capacity); {
	case after <= d.owed[i]:
		return turnOwed
	case before < d.owed[i]:
		s.shareUsed = before / d.owed[i]
		return turnPartlyOwed
	}
	return turnLent
}

// shareLogInterval is the least time between two log lines on the shares of a pool.
const shareLogInterval = time.Second

// logShares logs which teams use more of a contended pool than their share, and which have
// handed in waiting jobs beyond their rate.
func (c *Core) logShares(d *division, p *pool, now time.Time) {
	if now.Sub(p.use.loggedAt) < shareLogInterval || !p.lacksRoom() {
		return
	}
	p.use.loggedAt = now
	var over, loud []string
	for i, name := range d.teams {
		if fairshare.Dominant(p.use.teams[name], d.capacity) > d.owed[i] {
			over = append(over, name)
		}
	}
	excess := p.excessStages()
	for _, s := range excess {
		if name := s.trackedJob.Team; !slices.Contains(loud, name) {
			loud = append(loud, name)
		}
	}
	slices.Sort(over)
	slices.Sort(loud)
	c.config.Log.Info("pool lacks room", "pool", p.name, "teams", len(d.teams),
		"over", strings.Join(over, ","), "excess", len(excess), "loud", strings.Join(loud, ","))
}

// lacksRoom reports whether tasks of the pool wait that fit on no VM.
func (p *pool) lacksRoom() bool {
	for _, s := range p.stages {
		if s.ready && s.waitingTasks > 0 && !s.blockedSince.IsZero() {
			return true
		}
	}
	return false
}

// excessStages returns the stages with waiting tasks of jobs beyond their teams' rates.
func (p *pool) excessStages() []*stage {
	var out []*stage
	for _, s := range p.stages {
		if s.ready && s.waitingTasks > 0 && s.trackedJob.excess {
			out = append(out, s)
		}
	}
	return out
}
