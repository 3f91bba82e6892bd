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
	// planInterval is the time between planning rounds.
	planInterval = time.Second
	// staleConfigTimeout is how long an unreachable entry may go on sending tasks
	// under an old configuration. Unless all entries are known to hold the current
	// revision, a VM that is in maintenance or moving counts as idle only after this
	// time.
	staleConfigTimeout = 18 * time.Second
	// stuckTimeout is how long a VM may be in maintenance or moving before it is
	// reported.
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
	// usage holds the last report of each VM in the data centre that is in
	// maintenance or moving.
	usage map[string]vmUsage
	// unavailableSince holds when the entry first saw each VM in maintenance or
	// moving.
	unavailableSince map[string]time.Time
	// rebooted holds the VMs that were told to reboot since they became
	// unavailable, and stuckReported those that were reported as stuck.
	rebooted      map[string]bool
	stuckReported map[string]bool
	follower      roll.DemandFollower
}

// vmUsage is a VM's report of its own state.
type vmUsage struct {
	// ok is true when the VM answered and gave the expected name.
	ok      bool
	running int
	boot    string
}

func newMaintainer(e *Entry) *maintainer {
	m := &maintainer{entry: e}
	m.reset()
	return m
}

func (m *maintainer) reset() {
	m.usage = make(map[string]vmUsage)
	m.unavailableSince = make(map[string]time.Time)
	m.rebooted = make(map[string]bool)
	m.stuckReported = make(map[string]bool)
	m.follower = roll.DemandFollower{}
}

// run plans and executes steps while the entry leads its data centre, until ctx ends.
func (m *maintainer) run(ctx context.Context) {
	for delay.Sleep(ctx, planInterval) {
		if !m.entry.leader.isLeading() || m.entry.Leaving() {
			m.reset()
			continue
		}
		cfg := m.entry.configStore.recorded()
		if cfg.Head.Rev == 0 {
			continue
		}
		m.pollUsage(ctx, cfg)
		snapshot := m.snapshotWithUsage(cfg, time.Now())
		if !m.executePlan(ctx, cfg, snapshot) && cfg.Presets[cfg.Head.Preset].FollowDemand {
			m.followDemand(ctx, cfg, snapshot)
		}
	}
}

// executePlan executes the planned steps, up to and including the first that changes
// the configuration. It reports whether it attempted such a step, after which a new
// snapshot is needed.
func (m *maintainer) executePlan(ctx context.Context, cfg *fleet.Config, snapshot roll.Snapshot) bool {
	for _, step := range roll.Plan(snapshot) {
		if !m.executeStep(ctx, cfg, step) {
			return true
		}
	}
	return false
}

// followDemand lends spare VMs to pools with more work than slots, and takes them
// back. Like an operator's move, such a move changes the pools' targets in the
// configuration, so that the leaders of all data centres see it.
func (m *maintainer) followDemand(ctx context.Context, cfg *fleet.Config, snapshot roll.Snapshot) {
	for _, step := range m.follower.PlanMoves(snapshot, m.entry.config.Self.Centre, m.entry.poolLoads()) {
		move := step.(roll.Move)
		lending := cfg.Pools[cfg.VMs[move.VM].Pool].Spare
		change := fleet.VMMove{Name: move.VM, Pool: move.Pool, DownCount: m.entry.numDownVMs(cfg.VMs[move.VM].Pool), Lending: lending}
		if err := m.entry.applyChangeAt(ctx, cfg.Head.Rev, change); err != nil {
			m.entry.log.Debug("failed to record move that follows demand", "vm", move.VM, "error", err)
			return
		}
		m.entry.recordEvent(timeline.Event{Kind: "vmfollow", VM: move.VM, Note: "to " + move.Pool})
		// This move created a new revision. The next round plans the other moves
		// against it.
		return
	}
}

// poolLoads returns the demand of the data centre's entries on each pool that has
// slots there.
func (e *Entry) poolLoads() []roll.Load {
	demand := make(map[string]int)
	if own := e.demands.Load(); own != nil {
		for _, d := range *own {
			demand[d.Pool] += d.Count
		}
	}
	for _, d := range e.peerDemands() {
		demand[d.Pool] += d.Count
	}
	var out []roll.Load
	e.taskDispatcher.read(func(core *dispatch.Core, _ time.Time) {
		for pool := range core.Config().Pools {
			if slots := core.Table().LocalSlots(pool); slots > 0 {
				out = append(out, roll.Load{Pool: pool, Tasks: demand[pool], Slots: slots})
			}
		}
	})
	return out
}

// pollUsage asks the VMs of the data centre that are in maintenance or moving for
// their usage.
func (m *maintainer) pollUsage(ctx context.Context, cfg *fleet.Config) {
	now := time.Now()
	var mu sync.Mutex
	var calls sync.WaitGroup
	usage := make(map[string]vmUsage)
	for name, v := range cfg.VMs {
		if v.Centre != m.entry.config.Self.Centre {
			continue
		}
		if !v.InMaintenance && v.MovingTo == "" {
			m.forgetVM(name)
			continue
		}
		if m.unavailableSince[name].IsZero() {
			m.unavailableSince[name] = now
		}
		address, ok := m.entry.list.address(name)
		if !ok {
			continue
		}
		calls.Go(func() {
			report, ok := m.entry.upstream.Usage(ctx, address)
			mu.Lock()
			defer mu.Unlock()
			usage[name] = vmUsage{ok: ok && report.VM == name, running: report.Running, boot: report.Boot}
		})
	}
	calls.Wait()
	m.usage = usage
}

func (m *maintainer) forgetVM(name string) {
	delete(m.unavailableSince, name)
	delete(m.rebooted, name)
	delete(m.stuckReported, name)
}

// snapshotWithUsage returns the fleet for the planner: the snapshot of
// Entry.fleetSnapshot, in which it marks the VMs that are idle or have rebooted
// according to their usage reports. It also reports VMs that are stuck.
func (m *maintainer) snapshotWithUsage(cfg *fleet.Config, now time.Time) roll.Snapshot {
	snapshot := m.entry.fleetSnapshot(cfg, now)
	allUpdated := m.allHoldRevision(cfg.Head.Rev)
	for i, v := range snapshot.VMs {
		usage, ok := m.usage[v.Name]
		if !ok {
			continue
		}
		v.Rebooted = v.InMaintenance && usage.ok && usage.boot != cfg.VMs[v.Name].Boot
		elapsed := now.Sub(m.unavailableSince[v.Name])
		// A task that an entry sent just before it learned of the change may still
		// be in flight.
		noneInFlight := allUpdated && elapsed > 2*dispatch.MaxStartDelay || elapsed > staleConfigTimeout
		v.Idle = usage.ok && usage.running == 0 && noneInFlight && !m.rebooted[v.Name]
		snapshot.VMs[i] = v
		m.reportStuck(v, now)
	}
	return snapshot
}

// reportStuck records one event, for operators, when a VM has been in maintenance or
// moving for longer than stuckTimeout.
func (m *maintainer) reportStuck(v roll.VM, now time.Time) {
	if now.Sub(m.unavailableSince[v.Name]) > stuckTimeout && !m.stuckReported[v.Name] {
		m.stuckReported[v.Name] = true
		m.entry.recordEvent(timeline.Event{Kind: "stuck", VM: v.Name, Note: "out or moving for " + stuckTimeout.String()})
	}
}

// allHoldRevision reports whether every entry that is not proved dead is live and
// holds at least the revision rev.
func (m *maintainer) allHoldRevision(rev uint64) bool {
	now := time.Now()
	for _, p := range m.entry.mesh.Peers() {
		if p.DeadSince.IsZero() && (p.Rev < rev || !p.Live(now)) {
			return false
		}
	}
	return true
}

// fleetSnapshot returns the fleet as the configuration and the list of VMs show
// it. A VM is down when it is not in maintenance but is missing from the list, not
// live there, or suspect.
func (e *Entry) fleetSnapshot(cfg *fleet.Config, now time.Time) roll.Snapshot {
	snapshot := roll.Snapshot{Now: now, Pools: make(map[string]roll.Pool)}
	for name, pool := range cfg.Pools {
		target, ok := cfg.Target(name)
		snapshot.Pools[name] = roll.Pool{
			Spare: pool.Spare, Budget: pool.Budget, Period: time.Duration(pool.Period), Wave: pool.Wave,
			Target: lo.Ternary(ok, target, -1),
		}
	}
	listed := lo.KeyBy(e.list.all(), func(v peer.VM) string { return v.Name })
	var suspects []string
	e.taskDispatcher.read(func(core *dispatch.Core, _ time.Time) { suspects = core.Table().Suspects() })
	for name, v := range cfg.VMs {
		fromList, ok := listed[name]
		snapshot.VMs = append(snapshot.VMs, roll.VM{
			Name: name, Centre: v.Centre, Rack: fromList.Rack, Pool: v.Pool, MovingTo: v.MovingTo, InMaintenance: v.InMaintenance,
			Disabled:     v.Disabled || cfg.Centres[v.Centre].OutOfService,
			Down:         !v.InMaintenance && (!ok || fromList.State != peer.VMLive || lo.Contains(suspects, name)),
			MaintainedAt: v.MaintainedAt,
			HomePool:     v.HomePool,
		})
	}
	return snapshot
}

// numDownVMs returns how many VMs of the pool are down although the configuration
// lets them serve. See fleetSnapshot for when a VM is down.
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

// executeStep performs one planned step, unless the VM belongs to another data centre.
// It reports false when the step changed the configuration, or tried to and failed,
// so that the remaining steps need a new snapshot.
func (m *maintainer) executeStep(ctx context.Context, cfg *fleet.Config, step roll.Action) bool {
	vm := vmOf(step)
	if cfg.VMs[vm].Centre != m.entry.config.Self.Centre {
		return true
	}
	if _, ok := step.(roll.Reboot); ok {
		m.reboot(ctx, vm)
		return true
	}
	change, kind := m.changeFor(ctx, cfg, step)
	if change == nil {
		return true
	}
	if err := m.entry.applyChangeAt(ctx, cfg.Head.Rev, change); err != nil {
		m.entry.log.Debug("failed to record maintenance step", "vm", vm, "step", kind, "error", err)
		return false
	}
	m.entry.recordEvent(timeline.Event{Kind: kind, VM: vm})
	// This step created a new revision. The next round plans the other steps
	// against it.
	return false
}

func vmOf(step roll.Action) string {
	switch step := step.(type) {
	case roll.Drain:
		return step.VM
	case roll.Reboot:
		return step.VM
	case roll.FinishMaintenance:
		return step.VM
	case roll.Move:
		return step.VM
	case roll.FinishMove:
		return step.VM
	}
	return ""
}

// changeFor returns the configuration change that records a step, and the kind of
// its event. The change is nil when a VM to be drained doesn't answer, since its
// boot must be known to detect the reboot.
func (m *maintainer) changeFor(ctx context.Context, cfg *fleet.Config, step roll.Action) (fleet.Change, string) {
	down := m.entry.numDownVMs(cfg.VMs[vmOf(step)].Pool)
	switch step := step.(type) {
	case roll.Drain:
		address, _ := m.entry.list.address(step.VM)
		usage, ok := m.entry.upstream.Usage(ctx, address)
		if !ok {
			return nil, ""
		}
		return fleet.VMDrain{Name: step.VM, Boot: usage.Boot, DownCount: down}, "vmdrain"
	case roll.FinishMaintenance:
		return fleet.VMMaintenanceFinish{Name: step.VM, At: time.Now()}, "vmreturn"
	case roll.Move:
		return fleet.VMMove{Name: step.VM, Pool: step.Pool, DownCount: down, Planned: true}, "vmmove"
	case roll.FinishMove:
		return fleet.VMMoveFinish{Name: step.VM}, "vmplace"
	}
	return nil, ""
}

func (m *maintainer) reboot(ctx context.Context, vm string) {
	address, ok := m.entry.list.address(vm)
	if ok && m.entry.upstream.Reboot(ctx, address) {
		m.rebooted[vm] = true
		m.entry.recordEvent(timeline.Event{Kind: "vmreboot", VM: vm})
	}
}
