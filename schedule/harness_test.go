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

// harness runs one core against simulated VMs on a simulated clock.
type harness struct {
	t     testing.TB
	now   time.Time
	core  *schedule.Core
	epoch int64
	vms   map[string]*standin.Worker
	// checker finds violations of the rules for runs, such as two runs of one task.
	checker *standin.Checker
	jobs    map[job.ID]*job.Job
	// records holds the recorded state of each job, as a ledger does; nil means that
	// no state is recorded yet.
	records       map[job.ID][]byte
	recordedFleet schedule.Fleet
	// workTime is how long each batch task runs.
	workTime time.Duration
	// stops and starts list the stop and start orders that were given.
	stops  []schedule.Stop
	starts []schedule.Start
	// maintained lists the machines that were sent to maintenance.
	maintained []string
	machines   []schedule.Machine
	view       schedule.View
	moved      []schedule.Move
	paces      []int
	// advice holds the tickets that the advice service gives, by VM.
	advice map[string]string
	// platform carries out the moves of machines; nil means that none is carried out.
	platform func(schedule.Move)
}

// maxLease is the longest lease of a VM, the same as in package standin.
const maxLease = 6 * time.Second

func newHarness(t testing.TB, vms int) *harness {
	w := &harness{
		t: t, now: time.Unix(1_700_000_000, 0), vms: make(map[string]*standin.Worker), jobs: make(map[job.ID]*job.Job),
		records: make(map[job.ID][]byte), workTime: time.Second, checker: standin.NewChecker(),
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
	w.changeOwner()
	t.Cleanup(func() {
		for _, b := range w.checker.Violations() {
			t.Error(b)
		}
	})
	return w
}

func (w *harness) addVM(id, pool string) *standin.Worker {
	v := standin.NewWorker(schedule.VM{
		ID: id, Pool: pool, Centre: "east", Labels: []string{"a", "rack-1"}, Born: w.now,
		Capacity: job.Resources{CPU: 8000, Memory: 16000}, Address: netip.MustParseAddrPort("10.0.0.1:80"),
	}, w.checker, w.now)
	w.vms[id] = v
	return v
}

// changeOwner replaces the owner by a new one that reads the records.
func (w *harness) changeOwner() {
	w.epoch++
	w.core = schedule.New(schedule.Config{
		Epoch: w.epoch, Hold: maxLease, Retention: time.Minute, Maintenance: 2 * time.Second, Move: 1500 * time.Millisecond,
		Stop: 900 * time.Millisecond,
		Log:  hclog.NewNullLogger(),
	})
	w.core.SetView(w.view, w.now)
	w.core.RestoreFleet(w.recordedFleet, w.now, 6500*time.Millisecond)
	for id, data := range w.records {
		s := job.NewState(w.jobs[id])
		if data != nil {
			if err := s.Load(data); err != nil {
				w.t.Fatal(err)
			}
		}
		w.core.Add(w.jobs[id], s, w.now)
	}
	w.listVMs()
}

// listVMs passes the platform's list of VMs to the core.
func (w *harness) listVMs() {
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

func (w *harness) submit(j *job.Job) {
	j.Accepted, j.Epoch = w.now, w.epoch
	w.jobs[j.ID] = j
	w.records[j.ID] = nil
	w.core.Add(j, job.NewState(j), w.now)
}

// step advances the clock by d, lets the VMs work, sends a hold to each of them,
// writes the records and executes the plan.
func (w *harness) step(d time.Duration) {
	w.now = w.now.Add(d)
	for _, id := range w.vmIDs() {
		w.vms[id].Advance(w.now)
		w.hold(id)
	}
	w.writeRecords()
	if w.platform != nil {
		w.core.SetMachines(w.machines, w.now)
	}
	w.executePlan()
}

func (w *harness) run(d time.Duration) {
	const tick = 50 * time.Millisecond
	for range int(d / tick) {
		w.step(tick)
	}
}

func (w *harness) vmIDs() []string {
	out := make([]string, 0, len(w.vms))
	for id := range w.vms {
		out = append(out, id)
	}
	slices.Sort(out)
	return out
}

func (w *harness) hold(id string) {
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

// writeRecords records everything that has changed.
func (w *harness) writeRecords() {
	for {
		r, err := w.core.TakeRecords(30, w.now)
		if err != nil {
			w.t.Fatal(err)
		}
		for _, s := range r.States {
			w.records[s.Job] = s.Data
		}
		if r.Fleet != nil {
			w.recordedFleet = *r.Fleet
		}
		w.core.Written(r)
		if !w.core.Unrecorded() {
			return
		}
	}
}

func (w *harness) executePlan() {
	for _, a := range w.core.Plan(w.now) {
		switch a := a.(type) {
		case schedule.Start:
			w.starts = append(w.starts, a)
			j := w.jobs[a.Run.Task.Job]
			result := w.vms[a.VM].Start(a, j.Steps[a.Run.Task.Step], w.workTime, w.now)
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
