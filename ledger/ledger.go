// Package ledger keeps jobs and their states in the store, so that the next
// owner finds all that was promised.
//
// Each job has two keys, one for what was handed in and one for its state; the
// first is removed once the job has ended. The records are guarded by one key, the tail: every commit requires the tail as
// the commit before it left it and writes it anew. A commit that the store
// carries out late therefore fails, and an owner that was replaced can't write.
// One commit is on its way at a time; all that gathers meanwhile goes into the
// next.
//
// # Usage
//
//	l := ledger.New(ledger.Config{Store: s, Prefix: "almondcove/", Run: run})
//	l.Take(tail) // after an election
//	content, err := l.Load(ctx)
//	err = l.Commit(ctx, ledger.Batch{Jobs: accepted, States: changed})
package ledger

import (
	"context"
	"encoding/json"
	"strings"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"almondcove/delay"
	"almondcove/job"
	"almondcove/store"
)

// MostWrites is the number of keys that fit into one commit beside the tail.
const MostWrites = store.MaxTxn - 2

// The pauses between tries of a commit that the store does not take.
const (
	firstPause = 20 * time.Millisecond
	mostPause  = 250 * time.Millisecond
	// refusedFor is how long a commit that the store refuses is tried again.
	refusedFor = 250 * time.Millisecond
	// tryTimeout bounds one try; the outcome is then looked up.
	tryTimeout = 1300 * time.Millisecond
)

// Tail is the record that guards the ledger.
type Tail struct {
	// Run is the process that owns the ledger.
	Run string `json:"run"`
	// Epoch grows with every election.
	Epoch int64 `json:"epoch"`
	// Count is the number of commits.
	Count int64 `json:"count"`
}

// Held is a tail with the revision at which it was written.
type Held struct {
	Tail
	Rev int64
}

// Config configures a ledger.
type Config struct {
	Store  store.Store
	Prefix string
	// Run names the process.
	Run string
	// Failed is told of each try of a commit that did not succeed; nil is allowed.
	Failed func(error)
}

// Ledger writes the records of one owner.
type Ledger struct {
	config Config
	mu     sync.Mutex
	tail   Held
}

// New returns a ledger that owns nothing yet.
func New(c Config) *Ledger {
	if c.Failed == nil {
		c.Failed = func(error) {}
	}
	return &Ledger{config: c}
}

// TailKey returns the key of the tail.
func TailKey(prefix string) string { return prefix + "tail" }

func (l *Ledger) jobKey(id job.ID) string   { return l.config.Prefix + "job/" + string(id) }
func (l *Ledger) stateKey(id job.ID) string { return l.config.Prefix + "state/" + string(id) }
func (l *Ledger) fleetKey() string          { return l.config.Prefix + "fleet" }

// Take makes the ledger go on from a tail that an election has just written.
func (l *Ledger) Take(tail Held) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.tail = tail
}

func (l *Ledger) held() Held {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.tail
}

// Batch is what one commit writes.
type Batch struct {
	Jobs   []*job.Job
	States []Record
	// Removed names jobs whose records are no longer kept.
	Removed []job.ID
	// Fleet is the record of the VMs that may run tasks; nil writes none.
	Fleet []byte
}

// Record is the state of one job.
type Record struct {
	Job  job.ID
	Data []byte
	// Final is set when the job has ended: what was handed in is no longer kept.
	Final bool
}

// Keys returns the number of keys that the record writes or removes.
func (r Record) Keys() int {
	if r.Final {
		return 2
	}
	return 1
}

// Size returns the number of keys that the batch writes.
func (b *Batch) Size() int {
	n := len(b.Jobs) + 2*len(b.Removed)
	for _, r := range b.States {
		n += r.Keys()
	}
	if b.Fleet != nil {
		n++
	}
	return n
}

// Deposed reports a ledger that another process owns.
type Deposed struct {
	Tail Tail
}

func (e *Deposed) Error() string { return "ledger: owned by " + e.Tail.Run }

// Unwritten reports a commit that the store refused; nothing of it was written.
type Unwritten struct {
	Cause error
}

func (e *Unwritten) Error() string { return "ledger: refused by the store: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *Unwritten) Unwrap() error { return e.Cause }

// Unsettled reports a commit that was given up while its outcome was unknown.
type Unsettled struct {
	Cause error
}

func (e *Unsettled) Error() string { return "ledger: outcome unknown: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *Unsettled) Unwrap() error { return e.Cause }

// Commit writes a batch. It tries until the outcome is known or ctx ends. After
// *Unwritten nothing was written and the ledger may be used on. When ctx ends,
// the error is *Unsettled, and nothing else may be committed. After *Deposed the
// batch was not written by the last try, but may have been by an earlier one
// whose answer was lost.
func (l *Ledger) Commit(ctx context.Context, b Batch) error {
	if b.Size() == 0 {
		return nil
	}
	puts, err := l.puts(b)
	if err != nil {
		return err
	}
	pause := firstPause
	certain := true
	began := time.Now()
	for {
		done, err := l.try(ctx, puts, b)
		if refused, ok := errors.Into[*store.Unavailable](err); ok {
			if certain && time.Since(began) > refusedFor {
				return &Unwritten{Cause: refused}
			}
			err = nil
		} else if !done {
			certain = false
		}
		if done || err != nil {
			return err
		}
		if !delay.For(ctx, pause) {
			return &Unsettled{Cause: ctx.Err()}
		}
		pause = min(2*pause, mostPause)
	}
}

// try sends the batch once and reports whether it is now written.
func (l *Ledger) try(ctx context.Context, puts []store.Put, b Batch) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, tryTimeout)
	defer cancel()
	held := l.held()
	next := held.Tail
	next.Count++
	rev, err := l.config.Store.Commit(ctx, l.txn(held, next, puts, b))
	if err == nil {
		l.Take(Held{next, rev})
		return true, nil
	}
	l.config.Failed(err)
	if conflict, ok := errors.Into[*store.Conflict](err); ok {
		return l.judge(conflict.Find(TailKey(l.config.Prefix)), next)
	}
	if _, ok := errors.Into[*store.Invalid](err); ok {
		return false, err
	}
	if _, ok := errors.Into[*store.Unavailable](err); ok {
		return false, err
	}
	if _, ok := errors.Into[*store.Uncertain](err); ok {
		item, err := l.config.Store.Get(ctx, TailKey(l.config.Prefix))
		if err != nil {
			return false, nil
		}
		return l.judge(item, next)
	}
	return false, nil
}

// judge decides from the tail as it stands whether the commit that wrote next
// has taken effect.
func (l *Ledger) judge(item store.Item, next Tail) (bool, error) {
	var found Tail
	if item.Rev != 0 {
		if err := json.Unmarshal(item.Value, &found); err != nil {
			return false, &store.Invalid{Call: "tail", Cause: err}
		}
	}
	switch {
	case found.Run != l.config.Run:
		return false, &Deposed{found}
	case found.Count == next.Count:
		l.Take(Held{found, item.Rev})
		return true, nil
	case found.Count == next.Count-1:
		l.Take(Held{found, item.Rev})
		return false, nil
	}
	return false, &Deposed{found}
}

func (l *Ledger) txn(held Held, next Tail, puts []store.Put, b Batch) store.Txn {
	// A tail is plain text and numbers, which always encode.
	value, _ := json.Marshal(next)
	tail := TailKey(l.config.Prefix)
	t := store.Txn{
		Guards: []store.Guard{{Key: tail, Rev: held.Rev}},
		Puts:   append([]store.Put{{Key: tail, Value: value}}, puts...),
	}
	for _, r := range b.States {
		if r.Final {
			t.Removes = append(t.Removes, l.jobKey(r.Job))
		}
	}
	for _, id := range b.Removed {
		t.Removes = append(t.Removes, l.jobKey(id), l.stateKey(id))
	}
	return t
}

func (l *Ledger) puts(b Batch) ([]store.Put, error) {
	var out []store.Put
	for _, j := range b.Jobs {
		value, err := json.Marshal(j)
		if err != nil {
			return nil, &store.Invalid{Call: "job " + string(j.ID), Cause: err}
		}
		out = append(out, store.Put{Key: l.jobKey(j.ID), Value: value})
	}
	for _, r := range b.States {
		out = append(out, store.Put{Key: l.stateKey(r.Job), Value: r.Data})
	}
	if b.Fleet != nil {
		out = append(out, store.Put{Key: l.fleetKey(), Value: b.Fleet})
	}
	return out, nil
}

// Kept is one job as it was recorded. Of one that has ended, Job may hold its id
// alone.
type Kept struct {
	Job   *job.Job
	State *job.State
}

// Content is all that the ledger holds.
type Content struct {
	Jobs  []Kept
	Fleet []byte
}

// Load reads the records. It must be called after an election and before the
// first commit, so that nothing changes meanwhile. Records that can't be read
// are errors: what they promised is not known.
func (l *Ledger) Load(ctx context.Context) (Content, error) {
	jobs, _, err := l.config.Store.Range(ctx, l.config.Prefix+"job/")
	if err != nil {
		return Content{}, err
	}
	states, _, err := l.config.Store.Range(ctx, l.config.Prefix+"state/")
	if err != nil {
		return Content{}, err
	}
	fleet, err := l.config.Store.Get(ctx, l.fleetKey())
	if err != nil {
		return Content{}, err
	}
	out := Content{Fleet: fleet.Value}
	recorded := make(map[string][]byte, len(states))
	for _, it := range states {
		recorded[strings.TrimPrefix(it.Key, l.config.Prefix+"state/")] = it.Value
	}
	for _, it := range jobs {
		j := new(job.Job)
		if err := json.Unmarshal(it.Value, j); err != nil {
			return Content{}, &store.Invalid{Call: "load", Cause: err}
		}
		kept, err := load(j, recorded[string(j.ID)])
		if err != nil {
			return Content{}, err
		}
		out.Jobs = append(out.Jobs, kept)
		delete(recorded, string(j.ID))
	}
	for id, value := range recorded {
		kept, err := load(&job.Job{ID: job.ID(id)}, value)
		if err != nil {
			return Content{}, err
		}
		if !kept.State.Phase().Final() {
			return Content{}, &store.Invalid{Call: "load", Cause: &Orphan{kept.Job.ID}}
		}
		out.Jobs = append(out.Jobs, kept)
	}
	return out, nil
}

// Orphan reports the state of a job that has not ended, without the job.
type Orphan struct {
	Job job.ID
}

func (e *Orphan) Error() string { return "ledger: job " + string(e.Job) + " is missing" }

// load returns a job with its recorded state, if there is one.
func load(j *job.Job, data []byte) (Kept, error) {
	s := job.NewState(j)
	if data == nil {
		return Kept{j, s}, nil
	}
	return Kept{j, s}, s.Load(data)
}
