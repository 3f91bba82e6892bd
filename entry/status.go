package entry

import (
	"context"
	"slices"
	"time"

	"almondcove/delay"
	"almondcove/dispatch"
	"almondcove/fleet"
	"almondcove/peer"
	"almondcove/timeline"
)

// forcePollInterval is the time between rounds in which WaitInForce asks all entries.
const forcePollInterval = 100 * time.Millisecond

// Force says on how many entries a revision or a restriction is in force.
type Force struct {
	// On is the number of entries that have it in force, out of Of. Entries that
	// are leaving or proved dead don't count.
	On int `json:"on"`
	Of int `json:"of"`
	// Missing holds the names of the entries that don't have it in force.
	Missing []string `json:"missing,omitempty"`
}

// Everywhere reports whether all entries that count have it in force.
func (f Force) Everywhere() bool { return f.On == f.Of }

// WaitInForce asks all entries whether a revision and a restriction, if not nil,
// are in force there. It returns when they are in force everywhere or ctx ends.
func (e *Entry) WaitInForce(ctx context.Context, rev uint64, r *fleet.Restriction) Force {
	for {
		f := e.countInForce(ctx, rev, r)
		if f.Everywhere() || !delay.Sleep(ctx, forcePollInterval) {
			return f
		}
	}
}

// countInForce asks all entries once. The entry itself counts as one that has the
// revision and the restriction in force.
func (e *Entry) countInForce(ctx context.Context, rev uint64, r *fleet.Restriction) Force {
	// All answers are collected even if ctx has ended.
	states := e.mesh.CollectStates(context.WithoutCancel(ctx))
	out := Force{On: 1, Of: 1}
	for _, p := range e.mesh.Peers() {
		if !p.DeadSince.IsZero() || p.Leaving {
			continue
		}
		out.Of++
		s, ok := states[p.Identity.Run]
		if ok && s.Rev >= rev && showsRestriction(s, r, rev) {
			out.On++
			continue
		}
		out.Missing = append(out.Missing, p.Identity.Name)
	}
	return out
}

// showsRestriction reports whether the restriction is in force on the entry with
// this state, either as a pending restriction or as part of a revision after rev.
func showsRestriction(s peer.State, r *fleet.Restriction, rev uint64) bool {
	if r == nil || s.Rev > rev {
		return true
	}
	return slices.ContainsFunc(s.Restrictions, func(other fleet.Restriction) bool {
		return other.Kind == r.Kind && other.Name == r.Name
	})
}

// Status is the state of the fleet as one entry knows it.
type Status struct {
	Entry  string `json:"entry"`
	Centre string `json:"centre"`
	// Leader is the entry that leads the data centre, if one is known.
	Leader string `json:"leader,omitempty"`
	Rev    uint64 `json:"rev"`
	Preset string `json:"preset"`
	Seats  []int  `json:"seats"`
	// Pending holds the restrictions that are in force but not recorded yet.
	Pending []fleet.Restriction   `json:"pending,omitempty"`
	Entries []MemberStatus        `json:"entries"`
	Teams   map[string]TeamStatus `json:"teams"`
	Queues  map[string]int        `json:"queues"`
	Centres map[string]string     `json:"centres"`
	VMs     map[string]VMStatus   `json:"vms"`
}

// MemberStatus is the state of another entry as this one knows it.
type MemberStatus struct {
	Name   string        `json:"name"`
	Centre string        `json:"centre"`
	State  string        `json:"state" enum:"live,silent,leaving,dead"`
	Rev    uint64        `json:"rev"`
	Seats  []int         `json:"seats"`
	Leader bool          `json:"leader,omitempty"`
	Seen   time.Duration `json:"seen" doc:"nanoseconds since the entry was last heard"`
}

// TeamStatus is a team's use of its upper limit on this entry.
type TeamStatus struct {
	Share   int `json:"share"`
	Limit   int `json:"limit"`
	Running int `json:"running"`
	// Usable is how many of the team's tasks the entry may run now.
	Usable int `json:"usable"`
}

// VMStatus is the state of a VM in the configuration and in the platform's list.
type VMStatus struct {
	Centre string `json:"centre"`
	Pool   string `json:"pool"`
	To     string `json:"to,omitempty"`
	State  string `json:"state" enum:"live,leaving,gone,unlisted"`
	Serves bool   `json:"serves"`
	// Running is the number of this entry's tasks on the VM.
	Running int `json:"running"`
	// Aside is true while the entry sets the VM aside because of its failures and
	// only probes it with single tasks.
	Aside bool `json:"aside,omitempty"`
}

// Status returns the state of the fleet as this entry knows it.
func (e *Entry) Status() Status {
	cfg := e.configStore.effective()
	s := Status{
		Entry:   e.config.Self.Name,
		Centre:  e.config.Self.Centre,
		Rev:     cfg.Head.Rev,
		Preset:  cfg.Head.Preset,
		Seats:   e.seats.held(),
		Pending: e.configStore.pending(),
		Entries: e.memberStatuses(),
		Teams:   make(map[string]TeamStatus),
		Centres: make(map[string]string),
		VMs:     make(map[string]VMStatus),
	}
	if e.leader.isLeading() {
		s.Leader = e.config.Self.Name
	}
	for _, p := range s.Entries {
		if p.Leader && p.Centre == s.Centre && p.State == "live" && s.Leader == "" {
			s.Leader = p.Name
		}
	}
	for name, c := range cfg.Centres {
		s.Centres[name] = "in"
		if c.OutOfService {
			s.Centres[name] = "out"
		}
	}
	e.taskDispatcher.read(func(core *dispatch.Core, now time.Time) {
		s.Queues = core.Depths()
		for name, t := range cfg.Teams {
			s.Teams[name] = TeamStatus{
				Share: cfg.Share(name), Limit: t.Limit,
				Running: core.Book().Running(name, now), Usable: core.Book().Allowance(name, now),
			}
		}
		for name, v := range cfg.VMs {
			s.VMs[name] = VMStatus{
				Centre: v.Centre, Pool: v.Pool, To: v.MovingTo, State: "unlisted",
				Serves: core.Table().Serves(name), Running: core.Table().OwnTasks(name), Aside: core.Table().Quarantined(name),
			}
		}
	})
	for _, v := range e.list.all() {
		if vs, ok := s.VMs[v.Name]; ok {
			vs.State = string(v.State)
			s.VMs[v.Name] = vs
		}
	}
	return s
}

func (e *Entry) memberStatuses() []MemberStatus {
	now := time.Now()
	out := []MemberStatus{}
	for _, p := range e.mesh.Peers() {
		s := MemberStatus{Name: p.Identity.Name, Centre: p.Identity.Centre, State: "silent", Rev: p.Rev, Seats: p.Seats, Leader: p.Leader}
		if !p.LastSeen.IsZero() {
			s.Seen = now.Sub(p.LastSeen)
		}
		switch {
		case !p.DeadSince.IsZero():
			s.State = "dead"
		case p.Leaving:
			s.State = "leaving"
		case p.Live(now):
			s.State = "live"
		}
		out = append(out, s)
	}
	return out
}

// Timeline returns the merged events of all entries that match the filter, and
// the names of the entries that did not answer.
func (e *Entry) Timeline(ctx context.Context, f timeline.Filter) ([]timeline.Event, []string) {
	timelines, missing := e.mesh.Events(ctx, f)
	return timeline.Merge(append(timelines, e.eventLog.Events(f))...), missing
}

// Remove declares an unreachable entry dead, so that its seats may be claimed.
// It is for operators who know that the entry's VM is gone.
func (e *Entry) Remove(name string) error {
	removed := false
	for _, p := range e.mesh.Peers() {
		if p.Identity.Name != name || !p.DeadSince.IsZero() {
			continue
		}
		if p.Live(time.Now()) {
			return &fleet.ConflictError{Path: "entry/" + name, Reason: "the entry answers, so it has not ended"}
		}
		p.DeadSince = time.Now()
		e.recordDeath(p)
		e.mesh.RemoveRun(p.Identity.Run)
		removed = true
	}
	if !removed {
		return &fleet.NotFoundError{Kind: "entry", Name: name}
	}
	return nil
}

// Stamp returns a stamp later than that of every restriction seen.
func (e *Entry) Stamp() timeline.Stamp { return e.eventLog.Clock().Now() }
