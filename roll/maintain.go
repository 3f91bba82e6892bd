package roll

import (
	"cmp"
	"slices"
	"time"
)

// due returns when the VM is next due for maintenance. The zero time means never.
func (p Pool) due(v VM) time.Time {
	var at time.Time
	if p.Period > 0 {
		at = v.MaintainedAt.Add(time.Duration(dueFraction * float64(p.Period)))
	}
	if v.MaintainedAt.Before(p.Wave) && (at.IsZero() || p.Wave.Before(at)) {
		at = p.Wave
	}
	return at
}

// startDrains starts the maintenance of VMs that are due, as far as the budgets
// of their pools allow. Within a pool, VMs in the racks with the most VMs in
// maintenance go first, since a failure of such a rack then makes fewer VMs
// unavailable; after that the VMs that have been due longest.
func (s *planState) startDrains() {
	type candidate struct {
		vm  VM
		due time.Time
	}
	var all []candidate
	for _, v := range s.vms {
		due := s.snapshot.Pools[v.Pool].due(v)
		if !v.unavailable() && !due.IsZero() && !s.snapshot.Now.Before(due) {
			all = append(all, candidate{v, due})
		}
	}
	racks := s.maintenanceByRack()
	slices.SortStableFunc(all, func(a, b candidate) int {
		return cmp.Or(
			cmp.Compare(a.vm.Pool, b.vm.Pool),
			-cmp.Compare(racks[rackOf(a.vm)], racks[rackOf(b.vm)]),
			a.due.Compare(b.due),
			cmp.Compare(a.vm.Centre, b.vm.Centre),
			cmp.Compare(a.vm.Rack, b.vm.Rack),
		)
	})
	for _, c := range all {
		if !s.hasBudget(c.vm.Pool) {
			continue
		}
		s.budgetUsed[c.vm.Pool]++
		s.actions = append(s.actions, Drain{VM: c.vm.Name})
	}
}

// locationKey identifies the part of a pool in one rack or data centre.
type locationKey struct {
	pool, centre, rack string
}

func rackOf(v VM) locationKey {
	return locationKey{v.Pool, v.Centre, v.Rack}
}

// maintenanceByRack counts the VMs in maintenance, for each pool and rack.
func (s *planState) maintenanceByRack() map[locationKey]int {
	counts := make(map[locationKey]int)
	for _, v := range s.vms {
		if v.InMaintenance {
			counts[rackOf(v)]++
		}
	}
	return counts
}

// Forecast reports the state of a pool's maintenance and whether the pool's
// period will be met.
type Forecast struct {
	Pool string `json:"pool"`
	// VMs is the number of VMs of the pool. Due counts those that are due now
	// and not in maintenance, InMaintenance those in maintenance, and Down those
	// that failed, can't be seen or are disabled.
	VMs           int `json:"vms"`
	Due           int `json:"due"`
	InMaintenance int `json:"out"`
	Down          int `json:"down"`
	// NextDue is the earliest time in the future at which a VM is due; zero when
	// there is none.
	NextDue time.Time `json:"next,omitzero"`
	// Overdue counts the VMs that were last maintained a whole period ago or more.
	Overdue int `json:"late"`
	// PeriodMet reports whether the period will be met. Obstacle says why not.
	PeriodMet bool   `json:"met"`
	Obstacle  string `json:"obstacle,omitempty"`
}

// Forecasts returns the forecast of each pool that has a period or a wave, sorted
// by pool. It assumes that the maintenance of one VM takes perVM.
func Forecasts(snapshot Snapshot, perVM time.Duration) []Forecast {
	byPool := make(map[string][]VM)
	for _, v := range snapshot.VMs {
		byPool[v.Pool] = append(byPool[v.Pool], v)
	}
	var out []Forecast
	for name, pool := range snapshot.Pools {
		if pool.Period > 0 || !pool.Wave.IsZero() {
			out = append(out, forecast(snapshot.Now, name, pool, byPool[name], perVM))
		}
	}
	slices.SortFunc(out, func(a, b Forecast) int { return cmp.Compare(a.Pool, b.Pool) })
	return out
}

func forecast(now time.Time, name string, pool Pool, vms []VM, perVM time.Duration) Forecast {
	f := Forecast{Pool: name, VMs: len(vms)}
	used := 0
	for _, v := range vms {
		due := pool.due(v)
		if !now.Before(due) && !due.IsZero() && !v.InMaintenance {
			f.Due++
		}
		if now.Before(due) && (f.NextDue.IsZero() || due.Before(f.NextDue)) {
			f.NextDue = due
		}
		if pool.Period > 0 && !now.Before(v.MaintainedAt.Add(pool.Period)) {
			f.Overdue++
		}
		if v.InMaintenance {
			f.InMaintenance++
		}
		if v.Down || v.Disabled {
			f.Down++
			used++
		}
	}
	// parallel is the number of VMs that can be in maintenance at once.
	parallel := pool.Budget - used
	switch {
	case parallel <= 0 && len(vms) > 0:
		f.Obstacle = "no budget: failed, unseen and withdrawn VMs use it up"
	case f.Overdue > 0:
		f.Obstacle = "the period of some VMs is over"
	case pool.Period > 0 && time.Duration(len(vms))*perVM/time.Duration(max(parallel, 1)) > pool.Period:
		f.Obstacle = "the budget is too small to maintain all VMs within the period"
	default:
		f.PeriodMet = true
	}
	return f
}
