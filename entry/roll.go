package entry

import (
	"context"
	"sync"
	"time"

	"github.com/samber/lo"

	"almondcove/delay"
	"almondcove/dispatch"
	"almondcove/fleet"
	"almondcove/peer"
	"almondcove/roll"
	"almondcove/timeline"
)

// The times of maintenance.
const (
	// rollPause is the time between plans.
	rollPause = time.Second
	// staleTime is how long an entry that can't be asked may still send tasks
	// under an old configuration before a VM counts as idle.
	staleTime = 18 * time.Second
	// stuckTime is how long a VM may take to come back before it is reported.
	stuckTime = 10 * time.Minute
	// drainTime is what forecasts assume for one VM.
	drainTime = 10 * time.Minute
)

// roller plans and carries out maintenance and moves while the entry leads.
// Only its own goroutine uses it.
type roller struct {
	entry *Entry
	// usage is what each VM of the data centre that is out or moving last said.
	usage map[string]seen
	// since is when the entry first saw a VM out or moving.
	since map[string]time.Time
	// rebooted and reported hold the VMs that were told to reboot, and those
	// reported as stuck, since they were taken out.
	rebooted map[string]bool
	reported map[string]bool
	follower roll.DemandFollower
}

// seen is what a VM last said of itself.
type seen struct {
	ok      bool
	running int
	boot    string
}

func newRoller(e *Entry) *roller {
	r := &roller{entry: e}
	r.reset()
	return r
}

func (r *roller) reset() {
	r.usage = make(map[string]seen)
	r.since = make(map[string]time.Time)
	r.rebooted = make(map[string]bool)
	r.reported = make(map[string]bool)
	r.follower = roll.DemandFollower{}
}

// run plans while the entry leads, until ctx ends.
func (r *roller) run(ctx context.Context) {
	for delay.For(ctx, rollPause) {
		if !r.entry.leader.leads() || r.entry.Leaving() {
			r.reset()
			continue
		}
		cfg := r.entry.keeper.held()
		if cfg.Head.Rev == 0 {
			continue
		}
		r.observe(ctx, cfg)
		p := r.picture(cfg, time.Now())
		if !r.plan(ctx, cfg, p) && cfg.Presets[cfg.Head.Preset].FollowDemand {
			r.follow(ctx, cfg, p)
		}
	}
}

// plan carries out the plan's steps and reports whether it changed anything.
func (r *roller) plan(ctx context.Context, cfg *fleet.Config, p roll.Snapshot) bool {
	for _, a := range roll.Plan(p) {
		if !r.carryOut(ctx, cfg, a) {
			return true
		}
	}
	return false
}

// follow lends VMs to pools with more work than slots, and takes them back. Such
// a move shifts the targets, as an operator's does, so that all leaders see it.
func (r *roller) follow(ctx context.Context, cfg *fleet.Config, p roll.Snapshot) {
	for _, a := range r.follower.PlanMoves(p, r.entry.config.Self.Centre, r.entry.loads()) {
		move := a.(roll.Move)
		lend := cfg.Pools[cfg.VMs[move.VM].Pool].Spare
		ch := fleet.VMMove{Name: move.VM, Pool: move.Pool, DownCount: r.entry.downIn(cfg.VMs[move.VM].Pool), Lending: lend}
		if err := r.entry.applyChangeAt(ctx, cfg.Head.Rev, ch); err != nil {
			r.entry.log.Debug("follow", "vm", move.VM, "error", err)
			return
		}
		r.entry.note(timeline.Event{Kind: "vmfollow", VM: move.VM, Note: "to " + move.Pool})
		// Another move is planned for the revision that this one made.
		return
	}
}

// loads returns what the data centre's entries ask of the pools that have slots
// there.
func (e *Entry) loads() []roll.Load {
	want := make(map[string]int)
	if own := e.demands.Load(); own != nil {
		for _, d := range *own {
			want[d.Pool] += d.Count
		}
	}
	for _, d := range e.peerDemands() {
		want[d.Pool] += d.Count
	}
	var out []roll.Load
	e.work.read(func(core *dispatch.Core, _ time.Time) {
		for pool := range core.Config().Pools {
			if slots := core.Table().LocalSlots(pool); slots > 0 {
				out = append(out, roll.Load{Pool: pool, Tasks: want[pool], Slots: slots})
			}
		}
	})
	return out
}

// observe asks the VMs of the data centre that are out or moving.
func (r *roller) observe(ctx context.Context, cfg *fleet.Config) {
	now := time.Now()
	var mu sync.Mutex
	var all sync.WaitGroup
	usage := make(map[string]seen)
	for name, v := range cfg.VMs {
		if v.Centre != r.entry.config.Self.Centre {
			continue
		}
		if !v.InMaintenance && v.MovingTo == "" {
			r.forget(name)
			continue
		}
		if r.since[name].IsZero() {
			r.since[name] = now
		}
		address, ok := r.entry.list.address(name)
		if !ok {
			continue
		}
		all.Go(func() {
			use, ok := r.entry.upstream.Usage(ctx, address)
			mu.Lock()
			defer mu.Unlock()
			usage[name] = seen{ok: ok && use.VM == name, running: use.Running, boot: use.Boot}
		})
	}
	all.Wait()
	r.usage = usage
}

func (r *roller) forget(name string) {
	delete(r.since, name)
	delete(r.rebooted, name)
	delete(r.reported, name)
}

// picture returns what the planner has to know.
func (r *roller) picture(cfg *fleet.Config, now time.Time) roll.Snapshot {
	p := r.entry.picture(cfg, now)
	everywhere := r.inForce(cfg.Head.Rev)
	for i, v := range p.VMs {
		u, ok := r.usage[v.Name]
		if !ok {
			continue
		}
		v.Rebooted = v.InMaintenance && u.ok && u.boot != cfg.VMs[v.Name].Boot
		since := now.Sub(r.since[v.Name])
		// A task that was sent just before may still be on its way.
		quiet := everywhere && since > 2*dispatch.MaxStartDelay || since > staleTime
		v.Idle = u.ok && u.running == 0 && quiet && !r.rebooted[v.Name]
		p.VMs[i] = v
		r.report(v, now)
	}
	return p
}

// report tells operators of a VM that does not come back.
func (r *roller) report(v roll.VM, now time.Time) {
	if now.Sub(r.since[v.Name]) > stuckTime && !r.reported[v.Name] {
		r.reported[v.Name] = true
		r.entry.note(timeline.Event{Kind: "stuck", VM: v.Name, Note: "out or moving for " + stuckTime.String()})
	}
}

// inForce reports whether every entry that is not proved dead holds the revision.
func (r *roller) inForce(rev uint64) bool {
	now := time.Now()
	for _, p := range r.entry.mesh.Peers() {
		if p.Dead.IsZero() && (p.Rev < rev || !p.Live(now)) {
			return false
		}
	}
	return true
}

// picture returns the fleet as configuration and list show it.
func (e *Entry) picture(cfg *fleet.Config, now time.Time) roll.Snapshot {
	p := roll.Snapshot{Now: now, Pools: make(map[string]roll.Pool)}
	for name, pool := range cfg.Pools {
		target, ok := cfg.Target(name)
		p.Pools[name] = roll.Pool{
			Spare: pool.Spare, Budget: pool.Budget, Period: time.Duration(pool.Period), Wave: pool.Wave,
			Target: lo.Ternary(ok, target, -1),
		}
	}
	listed := lo.KeyBy(e.list.all(), func(v peer.VM) string { return v.Name })
	var suspects []string
	e.work.read(func(core *dispatch.Core, _ time.Time) { suspects = core.Table().Suspects() })
	for name, v := range cfg.VMs {
		l, ok := listed[name]
		p.VMs = append(p.VMs, roll.VM{
			Name: name, Centre: v.Centre, Rack: l.Rack, Pool: v.Pool, MovingTo: v.MovingTo, InMaintenance: v.InMaintenance,
			Disabled:     v.Disabled || cfg.Centres[v.Centre].OutOfService,
			Down:         !v.InMaintenance && (!ok || l.State != peer.Live || lo.Contains(suspects, name)),
			MaintainedAt: v.MaintainedAt,
			HomePool:     v.HomePool,
		})
	}
	return p
}

// downIn returns how many VMs of the pool should serve by the record and are
// down, leaving or unseen.
func (e *Entry) downIn(pool string) int {
	n := 0
	for _, v := range e.picture(e.keeper.now(), time.Now()).VMs {
		if v.Pool == pool && v.Down && !v.Disabled && v.MovingTo == "" {
			n++
		}
	}
	return n
}

// Forecasts returns how the maintenance of each pool goes.
func (e *Entry) Forecasts() []roll.Forecast {
	now := time.Now()
	return roll.Forecasts(e.picture(e.keeper.now(), now), drainTime)
}

// carryOut does one step on a VM of the data centre. It reports false when the
// picture has to be taken anew.
func (r *roller) carryOut(ctx context.Context, cfg *fleet.Config, a roll.Action) bool {
	vm := vmOf(a)
	if cfg.VMs[vm].Centre != r.entry.config.Self.Centre {
		return true
	}
	if _, ok := a.(roll.Reboot); ok {
		r.reboot(ctx, vm)
		return true
	}
	ch, kind := r.changeFor(ctx, cfg, a)
	if ch == nil {
		return true
	}
	if err := r.entry.applyChangeAt(ctx, cfg.Head.Rev, ch); err != nil {
		r.entry.log.Debug("plan", "vm", vm, "step", kind, "error", err)
		return false
	}
	r.entry.note(timeline.Event{Kind: kind, VM: vm})
	// The next step is planned for the revision that this one made.
	return false
}

func vmOf(a roll.Action) string {
	switch a := a.(type) {
	case roll.Drain:
		return a.VM
	case roll.Reboot:
		return a.VM
	case roll.FinishMaintenance:
		return a.VM
	case roll.Move:
		return a.VM
	case roll.FinishMove:
		return a.VM
	}
	return ""
}

// changeFor returns the change that records a step, and its name in the time line.
func (r *roller) changeFor(ctx context.Context, cfg *fleet.Config, a roll.Action) (fleet.Change, string) {
	down := r.entry.downIn(cfg.VMs[vmOf(a)].Pool)
	switch a := a.(type) {
	case roll.Drain:
		address, _ := r.entry.list.address(a.VM)
		use, ok := r.entry.upstream.Usage(ctx, address)
		if !ok {
			return nil, ""
		}
		return fleet.VMDrain{Name: a.VM, Boot: use.Boot, DownCount: down}, "vmdrain"
	case roll.FinishMaintenance:
		return fleet.VMMaintenanceFinish{Name: a.VM, At: time.Now()}, "vmreturn"
	case roll.Move:
		return fleet.VMMove{Name: a.VM, Pool: a.Pool, DownCount: down, Planned: true}, "vmmove"
	case roll.FinishMove:
		return fleet.VMMoveFinish{Name: a.VM}, "vmplace"
	}
	return nil, ""
}

func (r *roller) reboot(ctx context.Context, vm string) {
	address, ok := r.entry.list.address(vm)
	if ok && r.entry.upstream.Reboot(ctx, address) {
		r.rebooted[vm] = true
		r.entry.note(timeline.Event{Kind: "vmreboot", VM: vm})
	}
}
