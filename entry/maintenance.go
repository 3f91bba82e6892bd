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

// Intervals and timeouts of maintenance.
const (
	planInterval = time.Second
	// staleConfigTimeout is how long an unreachable entry may go on sending tasks
	// under an old configuration. Unless all entries are known to hold the current
	// revision, a VM that is out or moving counts as idle only after this time.
	staleConfigTimeout = 18 * time.Second
	// stuckTimeout is how long a VM may stay out or moving before it is reported.
	stuckTimeout = 10 * time.Minute
	// assumedDrainTime is the time that forecasts assume for the maintenance of
	// one VM.
	assumedDrainTime = 10 * time.Minute
)

// maintainer plans and executes maintenance and moves of VMs while the entry leads
// its data centre. It is not safe for concurrent use: only its run goroutine may
// use it.
type maintainer struct {
	entry *Entry
	// usage holds the last report of each VM in the data centre that is out or
	// moving.
	usage map[string]vmUsage
	// unavailableSince holds when the entry first saw each VM out or moving.
	unavailableSince map[string]time.Time
	// rebooted holds the VMs that were told to reboot since they became
	// unavailable, and stuckReported those that were reported as stuck.
	rebooted      map[string]bool
	stuckReported map[string]bool
	follower      roll.DemandFollower
}

// vmUsage is a VM's report of its own state.
type vmUsage struct {
	// ok is set when the VM answered and gave the expected name.
	ok      bool
	running int
	boot    string
}

func newMaintainer(e *Entry) *maintainer {
	r := &maintainer{entry: e}
	r.reset()
	return r
}

func (r *maintainer) reset() {
	r.usage = make(map[string]vmUsage)
	r.unavailableSince = make(map[string]time.Time)
	r.rebooted = make(map[string]bool)
	r.stuckReported = make(map[string]bool)
	r.follower = roll.DemandFollower{}
}

// run plans while the entry leads, until ctx ends.
func (r *maintainer) run(ctx context.Context) {
	for delay.Sleep(ctx, planInterval) {
		if !r.entry.leader.leads() || r.entry.Leaving() {
			r.reset()
			continue
		}
		cfg := r.entry.configStore.recorded()
		if cfg.Head.Rev == 0 {
			continue
		}
		r.pollUsage(ctx, cfg)
		p := r.fleetSnapshot(cfg, time.Now())
		if !r.plan(ctx, cfg, p) && cfg.Presets[cfg.Head.Preset].FollowDemand {
			r.followDemand(ctx, cfg, p)
		}
	}
}

// plan executes the planned steps up to the first that changes the
// configuration. It reports whether it tried such a step, after which a new
// snapshot is needed.
func (r *maintainer) plan(ctx context.Context, cfg *fleet.Config, p roll.Snapshot) bool {
	for _, a := range roll.Plan(p) {
		if !r.execute(ctx, cfg, a) {
			return true
		}
	}
	return false
}

// followDemand lends spare VMs to pools with more work than slots, and takes them
// back. Like an operator's move, such a move changes the pools' targets, so that
// all leaders see it.
func (r *maintainer) followDemand(ctx context.Context, cfg *fleet.Config, p roll.Snapshot) {
	for _, a := range r.follower.PlanMoves(p, r.entry.config.Self.Centre, r.entry.poolLoads()) {
		move := a.(roll.Move)
		lend := cfg.Pools[cfg.VMs[move.VM].Pool].Spare
		ch := fleet.VMMove{Name: move.VM, Pool: move.Pool, DownCount: r.entry.numDownVMs(cfg.VMs[move.VM].Pool), Lending: lend}
		if err := r.entry.applyChangeAt(ctx, cfg.Head.Rev, ch); err != nil {
			r.entry.log.Debug("failed to record move that follows demand", "vm", move.VM, "error", err)
			return
		}
		r.entry.recordEvent(timeline.Event{Kind: "vmfollow", VM: move.VM, Note: "to " + move.Pool})
		// This move created a new revision; further moves are planned against it.
		return
	}
}

// poolLoads returns the demand of the data centre's entries on each pool that has
// slots there.
func (e *Entry) poolLoads() []roll.Load {
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
	e.taskDispatcher.read(func(core *dispatch.Core, _ time.Time) {
		for pool := range core.Config().Pools {
			if slots := core.Table().LocalSlots(pool); slots > 0 {
				out = append(out, roll.Load{Pool: pool, Tasks: want[pool], Slots: slots})
			}
		}
	})
	return out
}

// pollUsage asks the VMs of the data centre that are out or moving for their
// usage.
func (r *maintainer) pollUsage(ctx context.Context, cfg *fleet.Config) {
	now := time.Now()
	var mu sync.Mutex
	var calls sync.WaitGroup
	usage := make(map[string]vmUsage)
	for name, v := range cfg.VMs {
		if v.Centre != r.entry.config.Self.Centre {
			continue
		}
		if !v.InMaintenance && v.MovingTo == "" {
			r.forget(name)
			continue
		}
		if r.unavailableSince[name].IsZero() {
			r.unavailableSince[name] = now
		}
		address, ok := r.entry.list.address(name)
		if !ok {
			continue
		}
		calls.Go(func() {
			use, ok := r.entry.upstream.Usage(ctx, address)
			mu.Lock()
			defer mu.Unlock()
			usage[name] = vmUsage{ok: ok && use.VM == name, running: use.Running, boot: use.Boot}
		})
	}
	calls.Wait()
	r.usage = usage
}

func (r *maintainer) forget(name string) {
	delete(r.unavailableSince, name)
	delete(r.rebooted, name)
	delete(r.stuckReported, name)
}

// fleetSnapshot returns the fleet for the planner, including which VMs are idle or
// freshly rebooted. It also reports VMs that are stuck.
func (r *maintainer) fleetSnapshot(cfg *fleet.Config, now time.Time) roll.Snapshot {
	p := r.entry.fleetSnapshot(cfg, now)
	everywhere := r.allHoldRevision(cfg.Head.Rev)
	for i, v := range p.VMs {
		u, ok := r.usage[v.Name]
		if !ok {
			continue
		}
		v.Rebooted = v.InMaintenance && u.ok && u.boot != cfg.VMs[v.Name].Boot
		elapsed := now.Sub(r.unavailableSince[v.Name])
		// A task that was sent just before the change may still be on its way.
		noneOnTheWay := everywhere && elapsed > 2*dispatch.MaxStartDelay || elapsed > staleConfigTimeout
		v.Idle = u.ok && u.running == 0 && noneOnTheWay && !r.rebooted[v.Name]
		p.VMs[i] = v
		r.reportStuck(v, now)
	}
	return p
}

// reportStuck records one event, for operators, when a VM has been out or moving
// for longer than stuckTimeout.
func (r *maintainer) reportStuck(v roll.VM, now time.Time) {
	if now.Sub(r.unavailableSince[v.Name]) > stuckTimeout && !r.stuckReported[v.Name] {
		r.stuckReported[v.Name] = true
		r.entry.recordEvent(timeline.Event{Kind: "stuck", VM: v.Name, Note: "out or moving for " + stuckTimeout.String()})
	}
}

// allHoldRevision reports whether every entry that is not proved dead is live and
// holds at least the revision rev.
func (r *maintainer) allHoldRevision(rev uint64) bool {
	now := time.Now()
	for _, p := range r.entry.mesh.Peers() {
		if p.DeadSince.IsZero() && (p.Rev < rev || !p.Live(now)) {
			return false
		}
	}
	return true
}

// fleetSnapshot returns the fleet as the configuration and the list of VMs show
// it. A VM is down when it is not out for maintenance and is missing from the
// list, not live there, or suspect.
func (e *Entry) fleetSnapshot(cfg *fleet.Config, now time.Time) roll.Snapshot {
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
	e.taskDispatcher.read(func(core *dispatch.Core, _ time.Time) { suspects = core.Table().Suspects() })
	for name, v := range cfg.VMs {
		l, ok := listed[name]
		p.VMs = append(p.VMs, roll.VM{
			Name: name, Centre: v.Centre, Rack: l.Rack, Pool: v.Pool, MovingTo: v.MovingTo, InMaintenance: v.InMaintenance,
			Disabled:     v.Disabled || cfg.Centres[v.Centre].OutOfService,
			Down:         !v.InMaintenance && (!ok || l.State != peer.VMLive || lo.Contains(suspects, name)),
			MaintainedAt: v.MaintainedAt,
			HomePool:     v.HomePool,
		})
	}
	return p
}

// numDownVMs returns how many VMs of the pool are down, leaving or unseen although
// the configuration lets them serve.
func (e *Entry) numDownVMs(pool string) int {
	n := 0
	for _, v := range e.fleetSnapshot(e.configStore.effective(), time.Now()).VMs {
		if v.Pool == pool && v.Down && !v.Disabled && v.MovingTo == "" {
			n++
		}
	}
	return n
}

// Forecasts returns the maintenance forecast of each pool that has a period or a
// wave.
func (e *Entry) Forecasts() []roll.Forecast {
	now := time.Now()
	return roll.Forecasts(e.fleetSnapshot(e.configStore.effective(), now), assumedDrainTime)
}

// execute performs one planned step, unless the VM belongs to another data centre.
// It reports false when the step changed the configuration or failed to, so that
// the remaining steps need a new snapshot.
func (r *maintainer) execute(ctx context.Context, cfg *fleet.Config, a roll.Action) bool {
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
		r.entry.log.Debug("failed to record maintenance step", "vm", vm, "step", kind, "error", err)
		return false
	}
	r.entry.recordEvent(timeline.Event{Kind: kind, VM: vm})
	// This step created a new revision; the next step is planned against it.
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

// changeFor returns the configuration change that records a step, and the kind of
// its event. The change is nil when a VM to be drained doesn't answer, since its
// boot must be known to detect the reboot.
func (r *maintainer) changeFor(ctx context.Context, cfg *fleet.Config, a roll.Action) (fleet.Change, string) {
	down := r.entry.numDownVMs(cfg.VMs[vmOf(a)].Pool)
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

func (r *maintainer) reboot(ctx context.Context, vm string) {
	address, ok := r.entry.list.address(vm)
	if ok && r.entry.upstream.Reboot(ctx, address) {
		r.rebooted[vm] = true
		r.entry.recordEvent(timeline.Event{Kind: "vmreboot", VM: vm})
	}
}
