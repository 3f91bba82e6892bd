package roll

import (
	"cmp"
	"slices"
	"time"
)

// due returns when the VM should be maintained next, or the zero time for never.
func (p Pool) due(v VM) time.Time {
	var at time.Time
	if p.Period > 0 {
		at = v.Done.Add(time.Duration(early * float64(p.Period)))
	}
	if v.Done.Before(p.Wave) && (at.IsZero() || p.Wave.Before(at)) {
		at = p.Wave
	}
	return at
}

// drains takes out the VMs that are due, the longest due first. Among those of
// a pool, a VM in the rack of one that is out already goes first, since a
// failure of that rack then costs less.
func (s *state) drains() {
	type candidate struct {
		vm  VM
		due time.Time
	}
	var all []candidate
	for _, v := range s.vms {
		due := s.picture.Pools[v.Pool].due(v)
		if !v.unavailable() && !due.IsZero() && !s.picture.Now.Before(due) {
			all = append(all, candidate{v, due})
		}
	}
	racks := s.racksOut()
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
		if !s.room(c.vm.Pool) {
			continue
		}
		s.used[c.vm.Pool]++
		s.actions = append(s.actions, Drain{VM: c.vm.Name})
	}
}

// rackKey names a rack as one pool uses it.
type rackKey struct {
	pool, centre, rack string
}

func rackOf(v VM) rackKey {
	return rackKey{v.Pool, v.Centre, v.Rack}
}

// racksOut counts the VMs of each rack that are out for maintenance.
func (s *state) racksOut() map[rackKey]int {
	out := make(map[rackKey]int)
	for _, v := range s.vms {
		if v.Out {
			out[rackOf(v)]++
		}
	}
	return out
}

// Forecast says how a pool's maintenance goes.
type Forecast struct {
	Pool string `json:"pool"`
	// VMs is the number of VMs of the pool, Due of those that are due now, Out
	// of those that are out, and Down of those that failed or can't be seen.
	VMs  int `json:"vms"`
	Due  int `json:"due"`
	Out  int `json:"out"`
	Down int `json:"down"`
	// Next is when the next VM is due; zero when there is none.
	Next time.Time `json:"next,omitzero"`
	// Late counts the VMs whose period is over already.
	Late int `json:"late"`
	// Met is whether the period will be met, and Obstacle what stands in the way.
	Met      bool   `json:"met"`
	Obstacle string `json:"obstacle,omitempty"`
}

// Forecasts returns the forecast of each pool that has a period or a wave. A
// drain is expected to take each.
func Forecasts(p Picture, each time.Duration) []Forecast {
	byPool := make(map[string][]VM)
	for _, v := range p.VMs {
		byPool[v.Pool] = append(byPool[v.Pool], v)
	}
	var out []Forecast
	for name, pool := range p.Pools {
		if pool.Period > 0 || !pool.Wave.IsZero() {
			out = append(out, forecast(p.Now, name, pool, byPool[name], each))
		}
	}
	slices.SortFunc(out, func(a, b Forecast) int { return cmp.Compare(a.Pool, b.Pool) })
	return out
}

func forecast(now time.Time, name string, pool Pool, vms []VM, each time.Duration) Forecast {
	f := Forecast{Pool: name, VMs: len(vms)}
	used := 0
	for _, v := range vms {
		due := pool.due(v)
		if !now.Before(due) && !due.IsZero() && !v.Out {
			f.Due++
		}
		if now.Before(due) && (f.Next.IsZero() || due.Before(f.Next)) {
			f.Next = due
		}
		if pool.Period > 0 && !now.Before(v.Done.Add(pool.Period)) {
			f.Late++
		}
		if v.Out {
			f.Out++
		}
		if v.Down || v.Leave {
			f.Down++
			used++
		}
	}
	lanes := pool.Budget - used
	switch {
	case lanes <= 0 && len(vms) > 0:
		f.Obstacle = "no budget: failed, unseen and withdrawn VMs use it up"
	case f.Late > 0:
		f.Obstacle = "the period of some VMs is over"
	case pool.Period > 0 && time.Duration(len(vms))*each/time.Duration(max(lanes, 1)) > pool.Period:
		f.Obstacle = "the budget is too small to maintain all VMs within the period"
	default:
		f.Met = true
	}
	return f
}
