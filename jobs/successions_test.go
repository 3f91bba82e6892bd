package jobs_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"almondcove/job"
	"almondcove/jobs"
	"almondcove/owner"
	"almondcove/schedule"
	"almondcove/standin"
	"almondcove/store"
)

// wayFault is how a faultyWay misbehaves.
type wayFault int

const (
	wayHealthy wayFault = iota
	// wayFrozen means that calls reach the store only after the fault.
	wayFrozen
	// wayLosesAnswers means that a third of the calls take effect without an answer.
	wayLosesAnswers
	// wayLate means that transactions take effect 1 to 6 s later and have no answer.
	wayLate
	// wayRefuses means that every call fails with an error which says that it had no effect.
	wayRefuses
	wayFaults
)

// faultyWay is the way of one entry to the store. It is safe for concurrent use.
type faultyWay struct {
	store.Store

	mu    sync.Mutex
	rand  *rand.Rand
	fault wayFault
	until time.Time
}

func (w *faultyWay) setFault(f wayFault, d time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.fault, w.until = f, time.Now().Add(d)
}

// outcome is what becomes of one call.
type outcome struct {
	// err is the error of a call that is not carried out.
	err error
	// silent is set if the call has no answer, and late, unless it is zero, is when it is
	// carried out.
	silent bool
	late   time.Duration
}

// begin decides what becomes of a call.
func (w *faultyWay) begin(ctx context.Context, call string) outcome {
	w.mu.Lock()
	fault, left, draw := w.fault, time.Until(w.until), w.rand.Float64()
	w.mu.Unlock()
	if left <= 0 {
		return outcome{}
	}
	switch fault {
	case wayFrozen:
		select {
		case <-time.After(left):
		case <-ctx.Done():
			return outcome{err: &store.Uncertain{Call: call, Cause: ctx.Err()}}
		}
	case wayLosesAnswers:
		return outcome{silent: draw < 0.35}
	case wayLate:
		return outcome{silent: true, late: time.Second + time.Duration(draw*float64(5*time.Second))}
	case wayRefuses:
		return outcome{err: &store.Unavailable{Call: call, Refused: true, Cause: &standin.InjectedFault{}}}
	case wayHealthy, wayFaults:
	}
	return outcome{}
}

// end ends a call that has taken effect.
func (o outcome) end(ctx context.Context, call string) error {
	if !o.silent {
		return nil
	}
	<-ctx.Done()
	return &store.Uncertain{Call: call, Cause: ctx.Err()}
}

func (w *faultyWay) Commit(ctx context.Context, t store.Txn) (int64, error) {
	o := w.begin(ctx, "commit")
	if o.err != nil {
		return 0, o.err
	}
	if o.late > 0 {
		time.AfterFunc(o.late, func() {
			late, cancel := context.WithTimeout(context.Background(), time.Second)
			defer cancel()
			// The caller gets no answer, so the result is dropped.
			_, _ = w.Store.Commit(late, t)
		})
		return 0, o.end(ctx, "commit")
	}
	rev, err := w.Store.Commit(ctx, t)
	if lost := o.end(ctx, "commit"); lost != nil {
		return 0, lost
	}
	return rev, err
}

func (w *faultyWay) Get(ctx context.Context, key string) (store.Item, error) {
	o := w.begin(ctx, "get")
	if o.err != nil {
		return store.Item{Key: key}, o.err
	}
	it, err := w.Store.Get(ctx, key)
	if lost := o.end(ctx, "get"); lost != nil {
		return store.Item{Key: key}, lost
	}
	return it, err
}

func (w *faultyWay) RenewLease(ctx context.Context, id store.LeaseID) error {
	o := w.begin(ctx, "keep")
	if o.err != nil {
		return o.err
	}
	err := w.Store.RenewLease(ctx, id)
	if lost := o.end(ctx, "keep"); lost != nil {
		return lost
	}
	return err
}

// submission is what a caller knows of a job.
type submission struct {
	outcome owner.Outcome
	// cancels is set if the caller cancels the job, and cancelledAt is when it was told that the
	// job is cancelled or does not exist; zero means never.
	cancels     bool
	cancelledAt time.Time
}

// successions plays owners that follow each other under faults of their ways to the store, and
// checks what callers are told against what runs.
type successions struct {
	*system
	label string
	rand  *rand.Rand
	ways  []*faultyWay
	calls sync.WaitGroup

	mu   sync.Mutex
	jobs map[job.ID]*submission
	// epoch is the highest one of a start order.
	epoch int64
}

const (
	// successionTime is how long faults begin, and settleTime how long the entries then have
	// to complete the jobs.
	successionTime = 60 * time.Second
	settleTime     = 30 * time.Second
)

func newSuccessions(t *testing.T, seed uint64) *successions {
	r := rand.New(rand.NewPCG(seed, 46))
	s := &successions{
		system: newSystem(t, 0, 3), label: fmt.Sprint("seed ", seed), rand: r, jobs: make(map[job.ID]*submission),
	}
	s.started, s.retention = s.checkStart, time.Hour
	for i := range 2 + r.IntN(3) {
		s.ways = append(s.ways, &faultyWay{Store: s.kv, rand: rand.New(rand.NewPCG(seed, uint64(i)))})
		s.store = s.ways[i]
		s.nodes = append(s.nodes, s.startEntry(i, "a"))
	}
	return s
}

// epochShift is the number of bits below the epoch in a fencing token.
const epochShift = 20

// checkStart checks that no later owner has given orders before a start order, and that the
// caller has not been told that there is no such job.
func (s *successions) checkStart(entry int, a schedule.Start) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r, epoch := a.Run, a.Fence>>epochShift
	if epoch < s.epoch {
		s.t.Errorf("%s: entry %d starts %v under epoch %d, after orders of epoch %d", s.label, entry, r, epoch, s.epoch)
	}
	s.epoch = max(s.epoch, epoch)
	j := s.jobs[r.Task.Job]
	switch {
	case j == nil:
	case !j.cancelledAt.IsZero() && time.Since(j.cancelledAt) > answerVisible:
		s.t.Errorf("%s: %v starts %v after its cancelling was acknowledged", s.label, r, time.Since(j.cancelledAt))
	case j.outcome == owner.Refused:
		s.t.Errorf("%s: %v starts although the job was refused", s.label, r)
	}
}

// submitAt submits a job at an entry and returns the outcome.
func (s *successions) submitAt(entry int, id job.ID) owner.Outcome {
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	return s.node(entry).Submit(ctx, s.job(id, 3)).Outcome
}

// call submits a job at an entry and then cancels it, whatever the answer was, if that is
// wanted.
func (s *successions) call(id job.ID, j *submission, entry int) {
	outcome := s.submitAt(entry, id)
	s.mu.Lock()
	j.outcome = outcome
	s.mu.Unlock()
	if !j.cancels {
		return
	}
	for range 60 {
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		a := s.node(entry).Cancel(ctx, id, owner.Scope{})
		cancel()
		if a.Outcome == owner.Done || a.Outcome == owner.NoJob {
			s.mu.Lock()
			j.cancelledAt = time.Now()
			s.mu.Unlock()
			return
		}
		time.Sleep(200 * time.Millisecond)
	}
}

// disturb begins a random fault.
func (s *successions) disturb() {
	i := s.rand.IntN(len(s.ways))
	length := time.Second + time.Duration(s.rand.Int64N(int64(4*time.Second)))
	switch kind := s.rand.IntN(8); kind {
	case 0:
		s.kv.ExpireLeases()
	case 1:
		s.restart(i)
	case 2:
		s.kv.SetFault(standin.KeyValueDropsRequests)
		time.Sleep(length)
		s.kv.SetFault(standin.KeyValueHealthy)
	case 3, 4:
		s.freeze(s.ways, i, length)
	default:
		for k := range s.ways {
			s.ways[k].setFault(wayLosesAnswers+wayFault(kind-5), length)
		}
	}
}

// freeze keeps an entry for a while from reaching the store and the other entries.
func (s *system) freeze(ways []*faultyWay, i int, length time.Duration) {
	ways[i].setFault(wayFrozen, length)
	for k := range ways {
		if k != i {
			s.net.Partition(entryAddr(i), entryAddr(k))
			s.net.Partition(entryAddr(k), entryAddr(i))
		}
	}
	time.Sleep(length)
	s.net.Heal()
}

// restart stops an entry as planned and starts it again as another process.
func (s *successions) restart(i int) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	s.nodes[i].Stop(ctx)
	s.restarts++
	s.store = s.ways[i]
	n := s.startEntry(i, fmt.Sprint("r", s.restarts))
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nodes[i] = n
}

func (s *successions) node(i int) *jobs.Node {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.nodes[i]
}

// play submits jobs while faults begin and end.
func (s *successions) play() {
	time.Sleep(3 * time.Second)
	began, n := time.Now(), 0
	callers := rand.New(rand.NewPCG(s.rand.Uint64(), 1))
	stop := make(chan struct{})
	var faults sync.WaitGroup
	faults.Go(func() {
		for time.Since(began) < successionTime {
			time.Sleep(time.Duration(s.rand.Int64N(int64(3 * time.Second))))
			s.disturb()
		}
		close(stop)
	})
	for {
		select {
		case <-stop:
			faults.Wait()
			s.calls.Wait()
			return
		case <-time.After(time.Duration(callers.Int64N(int64(800 * time.Millisecond)))):
		}
		n++
		id, j := job.ID(fmt.Sprint("job-", n)), &submission{outcome: owner.Unsettled, cancels: callers.IntN(3) == 0}
		s.mu.Lock()
		s.jobs[id] = j
		s.mu.Unlock()
		entry := callers.IntN(len(s.ways))
		s.calls.Go(func() { s.call(id, j, entry) })
	}
}

// check compares what callers were told with what entries say after the faults, and returns
// how many jobs were accepted.
func (s *successions) check() int {
	time.Sleep(settleTime)
	accepted := 0
	for id, j := range s.jobs {
		for i := range s.ways {
			a := s.show(i, id)
			switch {
			case a.Outcome != owner.Done && a.Outcome != owner.NoJob:
				s.t.Errorf("%s: entry %d does not tell the phase of %s: %v", s.label, i, id, a)
			case !j.cancelledAt.IsZero():
				if a.Outcome == owner.Done && a.Phase != job.Cancelled && a.Phase != job.Completed {
					s.t.Errorf("%s: cancelled job %s is %v", s.label, id, a.Phase)
				}
			case !j.cancels && j.outcome == owner.Done && (a.Outcome != owner.Done || a.Phase != job.Completed):
				s.t.Errorf("%s: accepted job %s: %v, %v", s.label, id, a.Outcome, a.Phase)
			case j.outcome == owner.Refused && a.Outcome != owner.NoJob:
				s.t.Errorf("%s: refused job %s: %v, %v", s.label, id, a.Outcome, a.Phase)
			}
		}
		if j.outcome == owner.Done {
			accepted++
		}
	}
	return accepted
}

// TestSuccessionsOfOwners guards against an owner whose state in memory is not that of the
// records: under frozen entries, lapsed leases, planned stops and a store whose answers are
// lost, late or refused, accepted jobs are completed, cancelled and refused ones do not run,
// no task runs twice, and no two owners act.
//
// Owners that went on with the state of an earlier term, or dropped the jobs of a commit in
// doubt, failed with the seeds from 20 on.
func TestSuccessionsOfOwners(t *testing.T) {
	for _, seed := range []uint64{0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 20, 38, 46, 47, 72, 97, 107, 116, 121, 126, 138, 168, 169, 192} {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newSuccessions(t, seed)
				s.play()
				if s.check() == 0 {
					t.Errorf("%s: no job was accepted", s.label)
				}
				s.stopAndCheck()
			})
		})
	}
}
