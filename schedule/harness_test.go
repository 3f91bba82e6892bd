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
	recordedParts map[int]schedule.FleetPart
	// workTime is how long each batch task runs.
	workTime time.Duration
	// workOf returns how long a started task runs; nil means workTime. farFactor is that of the
	// configuration of the owners that follow.
	workOf    func(schedule.Start) time.Duration
	farFactor float64
	// stops and starts list the stop and start orders that were given.
	stops  []schedule.Stop
	starts []schedule.Start
	// maintained lists the machines that were sent to maintenance.
	maintained []string
	machines   []schedule.Machine
	view       schedule.View
	moved      []schedule.Move
	paces      []int
	// advice holds the tickets that the advice service gives, by VM. adviceAsked lists the
	// requests to it, which it does not answer while adviceSilent is set. adviceOf holds other
	// tickets for single jobs.
	advice       map[string]string
	adviceOf     map[job.ID]map[string]string
	adviceAsked  []schedule.Advise
	adviceSilent bool
	// restoreTime is the time that runs take to restore a checkpoint, for the owners that
	// follow.
	restoreTime time.Duration
	// machineOrderGap and lateMachineOrders are those of the configuration of the owners
	// that follow.
	machineOrderGap, lateMachineOrders time.Duration
	// deadly holds the tasks that crash each VM that runs them, with the time from the
	// beginning of a run to the crash. It is set by setDeadly.
	deadly map[job.Task]time.Duration
	// afterRecords is called in each step between the writing of the records and the
	// execution of the plan; nil means that nothing is.
	afterRecords func()
	// platform carries out the moves of machines; nil means that none is carried out.
	platform func(schedule.Move)
	// refusesOrders makes the platform refuse all orders for machines.
	refusesOrders bool
	// storeDown makes all commits fail.
	storeDown bool
	// ignoreSpeeds is that of the configuration of the owners that follow.
	ignoreSpeeds bool
	// maxRecordBytes is that of the configuration of the owners that follow.
	maxRecordBytes int
	// longestBatch is the greatest length of the states in a batch, in bytes.
	longestBatch int
	// slowness is how many times as long batch tasks run on a VM, if not once.
	slowness map[string]float64
	// gone holds the VMs that have crashed for good. They are not listed any more.
	gone map[string]bool
}

// maxLease is the longest lease of a VM, the same as in package standin.
const maxLease = 6 * time.Second

func newHarness(t testing.TB, vms int) *harness {
	h := &harness{
		t: t, now: time.Unix(1_700_000_000, 0), vms: make(map[string]*standin.Worker), jobs: make(map[job.ID]*job.Job),
		records: make(map[job.ID][]byte), recordedParts: make(map[int]schedule.FleetPart), workTime: time.Second, checker: standin.NewChecker(),
		adviceOf: make(map[job.ID]map[string]string), deadly: make(map[job.Task]time.Duration), gone: make(map[string]bool),
	}
	h.view = schedule.View{
		Queues: map[string]schedule.Queue{
			"q": {Name: "q", Pool: "till", Attempts: 2, Stretch: 1.6, Slack: 600 * time.Millisecond},
		},
		Teams: map[string]schedule.Team{"team": {Name: "team", Weight: 1}},
	}
	for i := range vms {
		h.addVM(fmt.Sprintf("vm-%d", i), "till")
	}
	h.changeOwner()
	t.Cleanup(func() {
		for _, violation := range h.checker.Violations() {
			t.Error(violation)
		}
	})
	return h
}

func (h *harness) addVM(id, pool string) *standin.Worker {
	v := standin.NewWorker(schedule.VM{
		ID: id, Pool: pool, Centre: "east", Labels: []string{"a", "rack-1"}, Born: h.now,
		Capacity: job.Resources{CPU: 8000, Memory: 16000}, Address: netip.MustParseAddrPort("10.0.0.1:80"),
	}, h.checker, h.now)
	for task, after := range h.deadly {
		v.SetCrash(task, after)
	}
	h.vms[id] = v
	return v
}

// setDeadly makes each later run of a task crash its VM the given time after the run
// begins.
func (h *harness) setDeadly(t job.Task, after time.Duration) {
	h.deadly[t] = after
	for _, v := range h.vms {
		v.SetCrash(t, after)
	}
}

// crashes returns how often VMs have crashed, for whatever reason.
func (h *harness) crashes() int {
	n := 0
	for _, v := range h.vms {
		n += v.Crashes()
	}
	return n
}

// changeOwner replaces the owner by a new one that reads the records.
func (h *harness) changeOwner() {
	h.epoch++
	h.core = schedule.New(schedule.Config{
		Epoch: h.epoch, MaxLease: maxLease, Retention: time.Minute, MaintenanceTime: 2 * time.Second, MoveTime: 1500 * time.Millisecond,
		MaxStopTime: 900 * time.Millisecond, RestoreTime: h.restoreTime, MachineOrderGap: h.machineOrderGap, LateMachineOrders: h.lateMachineOrders,
		FarFactor: h.farFactor, IgnoreSpeeds: h.ignoreSpeeds, MaxRecordBytes: h.maxRecordBytes, Log: hclog.NewNullLogger(),
	})
	h.core.SetView(h.view, h.now)
	fleet := h.recordedFleet
	fleet.Begun = make(map[int64][]string)
	for n := range schedule.FleetParts {
		for wave, machines := range h.recordedParts[n].Begun {
			fleet.Begun[wave] = append(fleet.Begun[wave], machines...)
		}
		fleet.VMs = append(fleet.VMs, h.recordedParts[n].VMs...)
		fleet.Retired = append(fleet.Retired, h.recordedParts[n].Retired...)
		fleet.Queues = append(fleet.Queues, h.recordedParts[n].Queues...)
		fleet.Teams = append(fleet.Teams, h.recordedParts[n].Teams...)
	}
	h.core.RestoreFleet(fleet, h.now, 6500*time.Millisecond)
	for id, data := range h.records {
		s := job.NewState(h.jobs[id])
		if data != nil {
			if err := s.Load(data); err != nil {
				h.t.Fatal(err)
			}
		}
		h.core.Add(h.jobs[id], s, h.now)
	}
	h.listVMs()
}

// listVMs passes the platform's list of VMs to the core.
func (h *harness) listVMs() {
	var out []schedule.VM
	for id, v := range h.vms {
		if !h.gone[id] {
			out = append(out, v.VM)
		}
	}
	slices.SortFunc(out, func(a, b schedule.VM) int { return compare(a.ID, b.ID) })
	h.core.SetVMs(out, h.now)
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

// submit hands in a job, which is recorded with its queue.
func (h *harness) submit(j *job.Job) {
	h.core.Admit(j, h.now)
	h.record(j)
}

// record records a job with its queue, whether or not the core has admitted it.
func (h *harness) record(j *job.Job) {
	j.Accepted, j.Epoch = h.now, h.epoch
	h.jobs[j.ID] = j
	h.records[j.ID] = nil
	h.writeRecords()
	h.core.Add(j, job.NewState(j), h.now)
}

// step advances the clock by d, lets the VMs work, sends a hold to each of them,
// writes the records and executes the plan.
func (h *harness) step(d time.Duration) {
	h.now = h.now.Add(d)
	h.advanceVMs()
	for _, id := range h.vmIDs() {
		h.hold(id)
	}
	h.writeRecords()
	if h.afterRecords != nil {
		h.afterRecords()
	}
	if h.platform != nil {
		h.core.SetMachines(h.machines, h.now)
	}
	h.executePlan()
}

// advanceVMs lets the VMs work until now. The platform's list is passed to the core if it
// has changed because a VM has restarted.
func (h *harness) advanceVMs() {
	restarted := false
	for _, id := range h.vmIDs() {
		v := h.vms[id]
		born := v.VM.Born
		v.Advance(h.now)
		restarted = restarted || !v.VM.Born.Equal(born)
	}
	h.breakGangs()
	if restarted {
		h.listVMs()
	}
}

// breakGangs ends the runs of gangs of which a member no longer runs.
func (h *harness) breakGangs() {
	members := make(map[gangRun]int)
	for _, v := range h.vms {
		for _, r := range v.Running() {
			members[gangRun{r.Task.Stage(), r.Number}]++
		}
	}
	for _, v := range h.vms {
		for _, r := range v.Running() {
			step := h.jobs[r.Task.Job].Steps[r.Task.Step]
			if step.Gang && members[gangRun{r.Task.Stage(), r.Number}] < step.Count {
				v.Break(r)
			}
		}
	}
}

// gangRun identifies one attempt of a gang, whose members have the same run number.
type gangRun struct {
	stage  job.Stage
	number int
}

func (h *harness) run(d time.Duration) {
	const tick = 50 * time.Millisecond
	for range int(d / tick) {
		h.step(tick)
	}
}

func (h *harness) vmIDs() []string {
	out := make([]string, 0, len(h.vms))
	for id := range h.vms {
		out = append(out, id)
	}
	slices.Sort(out)
	return out
}

func (h *harness) hold(id string) {
	hold, ok := h.core.Hold(id, h.now)
	if !ok {
		return
	}
	report, result := h.vms[id].Hold(hold, h.now)
	if result == schedule.Accepted {
		h.core.Held(hold, report, h.now)
	} else {
		h.core.HoldFailed(hold, result, h.now)
	}
}

// writeRecords records everything that has changed.
func (h *harness) writeRecords() {
	for {
		r, err := h.core.TakeRecords(14, 16, h.now)
		if err != nil {
			h.t.Fatal(err)
		}
		if h.storeDown {
			h.core.CommitFailed(r)
			return
		}
		bytes := 0
		for _, s := range r.States {
			h.records[s.Job] = s.Data
			bytes += len(s.Data)
		}
		h.longestBatch = max(h.longestBatch, bytes)
		h.recordFleet(r)
		h.core.Committed(r)
		if !h.core.Unrecorded() {
			return
		}
	}
}

// recordFleet records the changes of the fleet in a batch.
func (h *harness) recordFleet(r schedule.RecordBatch) {
	if r.Fleet != nil {
		h.recordedFleet = *r.Fleet
	}
	for _, part := range r.Parts {
		h.recordedParts[part.Number] = part
	}
}

func (h *harness) executePlan() {
	for _, a := range h.core.Plan(h.now) {
		switch a := a.(type) {
		case schedule.Start:
			h.starts = append(h.starts, a)
			j := h.jobs[a.Run.Task.Job]
			result := h.vms[a.VM].Start(a, j.Steps[a.Run.Task.Step], h.timeOf(a), h.now)
			h.core.Started(a, result, h.now)
		case schedule.Stop:
			h.stops = append(h.stops, a)
			h.core.Stopped(a, h.vms[a.VM].Stop(a), h.now)
		case schedule.Maintain:
			result := h.orderMachine(a.Machine)
			if result == schedule.MachineDone {
				h.maintained = append(h.maintained, a.Machine)
			}
			h.core.Maintained(a, result, h.now)
		case schedule.Move:
			result := h.orderMachine(a.Machine)
			h.core.Moved(a, result, h.now)
			if result != schedule.MachineDone {
				continue
			}
			h.moved = append(h.moved, a)
			if h.platform != nil {
				h.platform(a)
			}
		case schedule.Pace:
			h.paces = append(h.paces, a.Percent)
			h.core.Paced(a, schedule.Accepted, h.now)
		case schedule.Advise:
			h.answerAdvice(a)
		case schedule.ImmediateHold:
		}
	}
}

// timeOf returns how long a started task runs.
func (h *harness) timeOf(s schedule.Start) time.Duration {
	if h.workOf != nil {
		return h.workOf(s)
	}
	if factor, ok := h.slowness[s.VM]; ok {
		return time.Duration(factor * float64(h.workTime))
	}
	return h.workTime
}

// answerAdvice answers a request for advice with the tickets in h.advice, out of those for the
// VMs that it names.
func (h *harness) answerAdvice(a schedule.Advise) {
	h.adviceAsked = append(h.adviceAsked, a)
	if h.adviceSilent {
		return
	}
	given, ok := h.adviceOf[a.Stage.Job]
	if !ok {
		given = h.advice
	}
	tickets := make(map[string]string)
	for _, id := range a.VMs {
		if ticket := given[id]; ticket != "" {
			tickets[id] = ticket
		}
	}
	h.core.Advised(a, tickets, 3*time.Second, h.now)
}

// orderMachine returns the platform's answer to an order for a machine. It fails the test if
// the order ends runs.
func (h *harness) orderMachine(machine string) schedule.MachineResult {
	if h.refusesOrders {
		return schedule.MachineRefused
	}
	for _, m := range h.machines {
		if m.Name != machine {
			continue
		}
		if m.State != schedule.Up {
			return schedule.MachineBusy
		}
		if v := h.vms[m.VM]; v != nil && len(v.Running()) > 0 {
			h.t.Errorf("an order for machine %s ends %v", machine, v.Running())
		}
	}
	return schedule.MachineDone
}
