package schedule_test

import (
	"fmt"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"almondcove/job"
	"almondcove/schedule"
	"almondcove/standin"
)

// world plays one core against fake VMs.
type world struct {
	t     testing.TB
	now   time.Time
	core  *schedule.Core
	epoch int64
	vms   map[string]*standin.Worker
	// checks says what has broken a rule.
	checks *standin.Fleet
	jobs   map[job.ID]*job.Job
	// kept is the record of jobs and states, as a ledger has it.
	kept  map[job.ID][]byte
	fleet schedule.Fleet
	// works is how long each task works.
	works time.Duration
	// stops lists the orders to stop, starts those to start.
	stops  []schedule.Stop
	starts []schedule.Start
	// maintained lists the machines sent to maintenance.
	maintained []string
	machines   []schedule.Machine
	view       schedule.View
	moved      []schedule.Move
	paces      []int
	// advice holds the tickets of the VMs that may run anything.
	advice map[string]string
	// platform carries out moves; nil carries out none.
	platform func(schedule.Move)
}

const holdTime = 6 * time.Second

func newWorld(t testing.TB, vms int) *world {
	w := &world{
		t: t, now: time.Unix(1_700_000_000, 0), vms: make(map[string]*standin.Worker), jobs: make(map[job.ID]*job.Job),
		kept: make(map[job.ID][]byte), works: time.Second, checks: standin.NewFleet(),
	}
	w.view = schedule.View{
		Queues: map[string]schedule.Queue{
			"q": {Name: "q", Pool: "till", Attempts: 2, Stretch: 1.6, Slack: 600 * time.Millisecond},
		},
		Teams: map[string]schedule.Team{"team": {Name: "team", Weight: 1}},
	}
	for i := range vms {
		w.addVM(fmt.Sprintf("vm-%d", i), "till")
	}
	w.elect()
	t.Cleanup(func() {
		for _, b := range w.checks.Breaches() {
			t.Error(b)
		}
	})
	return w
}

func (w *world) addVM(id, pool string) *standin.Worker {
	v := standin.NewWorker(schedule.VM{
		ID: id, Pool: pool, Centre: "east", Labels: []string{"a", "rack-1"}, Born: w.now,
		Capacity: job.Resources{CPU: 8000, Memory: 16000}, Address: netip.MustParseAddrPort("10.0.0.1:80"),
	}, w.checks, w.now)
	w.vms[id] = v
	return v
}

// elect replaces the owner by a new one that reads the record.
func (w *world) elect() {
	w.epoch++
	w.core = schedule.New(schedule.Config{
		Epoch: w.epoch, Hold: holdTime, Keep: time.Minute, Maintenance: 2 * time.Second, Move: 1500 * time.Millisecond,
		Stop: 900 * time.Millisecond,
		Log:  hclog.NewNullLogger(),
	})
	w.core.SetView(w.view, w.now)
	w.core.RestoreFleet(w.fleet, w.now, 6500*time.Millisecond)
	for id, data := range w.kept {
		s := job.NewState(w.jobs[id])
		if data != nil {
			if err := s.Load(data); err != nil {
				w.t.Fatal(err)
			}
		}
		w.core.Add(w.jobs[id], s, w.now)
	}
	w.list()
}

// list passes the list of VMs to the core.
func (w *world) list() {
	var out []schedule.VM
	for _, v := range w.vms {
		out = append(out, v.VM)
	}
	slices.SortFunc(out, func(a, b schedule.VM) int { return compare(a.ID, b.ID) })
	w.core.SetVMs(out, w.now)
}

func compare(a, b string) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}

func (w *world) submit(j *job.Job) {
	j.Accepted, j.Epoch = w.now, w.epoch
	w.jobs[j.ID] = j
	w.kept[j.ID] = nil
	w.core.Add(j, job.NewState(j), w.now)
}

// step moves time on, lets VMs work, holds them all and carries out the plan.
func (w *world) step(d time.Duration) {
	w.now = w.now.Add(d)
	for _, id := range w.ids() {
		w.vms[id].Work(w.now)
		w.hold(id)
	}
	w.record()
	if w.platform != nil {
		w.core.SetMachines(w.machines, w.now)
	}
	w.plan()
}

func (w *world) run(d time.Duration) {
	const tick = 50 * time.Millisecond
	for range int(d / tick) {
		w.step(tick)
	}
}

func (w *world) ids() []string {
	out := make([]string, 0, len(w.vms))
	for id := range w.vms {
		out = append(out, id)
	}
	slices.Sort(out)
	return out
}

func (w *world) hold(id string) {
	h, ok := w.core.Hold(id, w.now)
	if !ok {
		return
	}
	report, result := w.vms[id].Hold(h, w.now)
	if result == schedule.Accepted {
		w.core.Held(h, report, w.now)
	} else {
		w.core.HoldFailed(h, result, w.now)
	}
}

// record writes what has changed, as a ledger does.
func (w *world) record() {
	for {
		r, err := w.core.TakeRecords(30, w.now)
		if err != nil {
			w.t.Fatal(err)
		}
		for _, s := range r.States {
			w.kept[s.Job] = s.Data
		}
		if r.Fleet != nil {
			w.fleet = *r.Fleet
		}
		w.core.Written(r)
		if !w.core.Unrecorded() {
			return
		}
	}
}

func (w *world) plan() {
	for _, a := range w.core.Plan(w.now) {
		switch a := a.(type) {
		case schedule.Start:
			w.starts = append(w.starts, a)
			j := w.jobs[a.Run.Task.Job]
			result := w.vms[a.VM].Start(a, j.Steps[a.Run.Task.Step], w.works, w.now)
			w.core.Started(a, result, w.now)
		case schedule.Stop:
			w.stops = append(w.stops, a)
			w.core.Stopped(a, w.vms[a.VM].Stop(a), w.now)
		case schedule.Maintain:
			w.maintained = append(w.maintained, a.Machine)
			w.core.Maintained(a, schedule.MachineDone, w.now)
		case schedule.Move:
			w.moved = append(w.moved, a)
			w.core.Moved(a, schedule.MachineDone, w.now)
			if w.platform != nil {
				w.platform(a)
			}
		case schedule.Pace:
			w.paces = append(w.paces, a.Percent)
			w.core.Paced(a, schedule.Accepted, w.now)
		case schedule.Advise:
			w.core.Advised(a.Stage, w.advice, 3*time.Second, w.now)
		case schedule.ImmediateHold:
		}
	}
}
