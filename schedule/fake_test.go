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
)

// fakeVM obeys orders as a VM does: it checks fences, runs what it is told for
// the time of each task, and lists ends until they are seen.
type fakeVM struct {
	vm      schedule.VM
	start   time.Time
	fence   int64
	until   time.Duration
	running map[schedule.Run]*fakeRun
	ended   []schedule.End
	number  int64
	// mute makes the VM obey and answer nothing, deaf makes it unreachable.
	mute, deaf bool
	// fails makes every run fail.
	fails bool
}

type fakeRun struct {
	ends time.Time
	need job.Resources
}

// world plays one core against fake VMs.
type world struct {
	t     *testing.T
	now   time.Time
	core  *schedule.Core
	epoch int64
	vms   map[string]*fakeVM
	jobs  map[job.ID]*job.Job
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
}

const holdTime = 6 * time.Second

func newWorld(t *testing.T, vms int) *world {
	w := &world{
		t: t, now: time.Unix(1_700_000_000, 0), vms: make(map[string]*fakeVM), jobs: make(map[job.ID]*job.Job),
		kept: make(map[job.ID][]byte), works: time.Second,
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
	return w
}

func (w *world) addVM(id, pool string) *fakeVM {
	v := &fakeVM{
		vm: schedule.VM{
			ID: id, Pool: pool, Centre: "east", Labels: []string{"a", "rack-1"}, Born: w.now,
			Capacity: job.Resources{CPU: 8000, Memory: 16000}, Address: netip.MustParseAddrPort("10.0.0.1:80"),
		},
		start: w.now, running: make(map[schedule.Run]*fakeRun),
	}
	w.vms[id] = v
	return v
}

// elect replaces the owner by a new one that reads the record.
func (w *world) elect() {
	w.epoch++
	w.core = schedule.New(schedule.Config{
		Epoch: w.epoch, Hold: holdTime, Keep: time.Minute, Maintenance: 2 * time.Second, Move: 1500 * time.Millisecond,
		Log: hclog.NewNullLogger(),
	})
	w.core.SetView(w.view, w.now)
	w.core.Gate(w.fleet, w.now, 6500*time.Millisecond)
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
		out = append(out, v.vm)
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
		w.vms[id].work(w.now)
		w.hold(id)
	}
	w.record()
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
	report, result := w.vms[id].hold(h, w.now)
	if result == schedule.Accepted {
		w.core.Held(h, report, w.now)
	} else {
		w.core.HoldFailed(h, result, w.now)
	}
}

// record writes what has changed, as a ledger does.
func (w *world) record() {
	for {
		r, err := w.core.Take(30, w.now)
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
			result := w.vms[a.VM].startRun(a, w.now, w.works, j.Steps[a.Run.Task.Step])
			w.core.Started(a, result, w.now)
		case schedule.Stop:
			w.stops = append(w.stops, a)
			w.core.Stopped(a, w.vms[a.VM].stop(a), w.now)
		case schedule.Maintain:
			w.maintained = append(w.maintained, a.Machine)
			w.core.Maintained(a, schedule.MachineDone, w.now)
		case schedule.Move:
			w.moved = append(w.moved, a)
			w.core.Moved(a, schedule.MachineDone, w.now)
		case schedule.Look, schedule.Pace, schedule.Advise:
		}
	}
}

func (v *fakeVM) clock(now time.Time) time.Duration { return now.Sub(v.start) }

// work ends what is done or has lapsed.
func (v *fakeVM) work(now time.Time) {
	for _, r := range v.runs() {
		switch {
		case v.until > 0 && v.clock(now) > v.until:
			v.end(r, schedule.Lapsed)
		case !now.Before(v.running[r].ends) && v.fails:
			v.end(r, schedule.Failed)
		case !now.Before(v.running[r].ends):
			v.end(r, schedule.Done)
		}
	}
}

func (v *fakeVM) runs() []schedule.Run {
	out := make([]schedule.Run, 0, len(v.running))
	for r := range v.running {
		out = append(out, r)
	}
	slices.SortFunc(out, func(a, b schedule.Run) int { return compare(fmt.Sprint(a), fmt.Sprint(b)) })
	return out
}

func (v *fakeVM) end(r schedule.Run, how schedule.How) {
	delete(v.running, r)
	v.number++
	v.ended = append(v.ended, schedule.End{Number: v.number, Run: r, How: how})
}

func (v *fakeVM) hold(h schedule.Hold, now time.Time) (schedule.Report, schedule.Result) {
	if v.deaf {
		return schedule.Report{}, schedule.Unanswered
	}
	if h.Fence < v.fence {
		return schedule.Report{}, schedule.Fenced
	}
	v.fence = h.Fence
	v.until = max(v.until, min(h.Until, v.clock(now)+holdTime))
	v.ended = slices.DeleteFunc(v.ended, func(e schedule.End) bool { return e.Number <= h.Seen })
	if v.mute {
		return schedule.Report{}, schedule.Unanswered
	}
	out := schedule.Report{Clock: v.clock(now), Born: v.vm.Born, Ended: slices.Clone(v.ended)}
	for _, r := range v.runs() {
		out.Running = append(out.Running, schedule.Progress{Run: r, Percent: 100})
	}
	return out, schedule.Accepted
}

func (v *fakeVM) startRun(a schedule.Start, now time.Time, works time.Duration, s job.Step) schedule.Result {
	switch {
	case v.deaf:
		return schedule.Unanswered
	case a.Fence < v.fence:
		return schedule.Fenced
	case v.clock(now) > a.Until:
		return schedule.Late
	}
	v.fence = a.Fence
	v.until = max(v.until, a.Until)
	ends := now.Add(works)
	if s.Service {
		ends = now.Add(time.Hour)
	}
	v.running[a.Run] = &fakeRun{ends: ends, need: s.Need}
	if v.mute {
		return schedule.Unanswered
	}
	return schedule.Accepted
}

func (v *fakeVM) stop(a schedule.Stop) schedule.Result {
	if v.deaf {
		return schedule.Unanswered
	}
	if a.Fence < v.fence {
		return schedule.Fenced
	}
	if v.running[a.Run] != nil {
		v.end(a.Run, schedule.Stopped)
	}
	return schedule.Accepted
}

// used returns what runs on the VM.
func (v *fakeVM) used() job.Resources {
	var sum job.Resources
	for _, r := range v.running {
		sum = sum.Plus(r.need)
	}
	return sum
}
