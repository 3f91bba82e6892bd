// Package ledger persists jobs and their states in the store, so that the next
// owner recovers every accepted job.
//
// Each job has two keys: one for the job as submitted and one for its state. The
// first is removed once the job has ended.
//
// A single key, the tail, fences all writes. It holds the owner's process and epoch
// and the number of commits. Every commit requires the tail to be unchanged since the
// previous commit or election, and rewrites it. A commit that the store applies only
// after a later commit or election therefore fails, and a replaced owner can't write.
// Only one commit may be in flight at a time; the owner collects later changes for the
// next one.
//
// # Usage
//
//	l := ledger.New(ledger.Config{Store: s, Prefix: "almondcove/", Run: run})
//	l.SetTail(tail) // after an election
//	snapshot, err := l.NewLoader().Load(ctx)
//	err = l.Commit(ctx, ledger.Batch{Jobs: accepted, States: changed})
package ledger

import (
	"context"
	"encoding/json"
	"fmt"
	"math"
	"strconv"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"almondcove/delay"
	"almondcove/job"
	"almondcove/record"
	"almondcove/store"
)

// MaxBatchSize is the largest [Batch.Size] that fits into one transaction. The
// remaining two operations are the guard and the write of the tail.
const MaxBatchSize = store.MaxTxnOps - 2

// The timing of commit attempts.
const (
	// initialBackoff is the pause after the first failed attempt; it doubles up to
	// maxBackoff.
	initialBackoff = 20 * time.Millisecond
	maxBackoff     = 250 * time.Millisecond
	// refusedTimeout is how long to retry a commit that the store keeps refusing.
	refusedTimeout = 250 * time.Millisecond
	// attemptTimeout bounds one attempt, including the lookup of its outcome, and
	// attemptTimePerMB is added to it for each megabyte of records.
	attemptTimeout   = 1300 * time.Millisecond
	attemptTimePerMB = time.Second
)

// Tail is the record that fences writes to the ledger.
type Tail struct {
	// Run identifies the process that owns the ledger.
	Run string `json:"run"`
	// Epoch increases with every election.
	Epoch int64 `json:"epoch"`
	// Count is the number of commits made so far, by all owners.
	Count int64 `json:"count"`
}

// String returns the form of the tail in logs: its members, or "none" if there has been no
// owner.
func (t Tail) String() string {
	if t == (Tail{}) {
		return "none"
	}
	return fmt.Sprintf("%s/%d/%d", t.Run, t.Epoch, t.Count)
}

// StoredTail is a tail with the store revision at which it was written.
type StoredTail struct {
	Tail
	Rev int64
}

// Config configures a ledger.
type Config struct {
	Store store.Store
	// Prefix is the key prefix of all records.
	Prefix string
	// Run identifies this process; it differs after a restart.
	Run string
	// Limits are the sizes that the store accepts.
	Limits store.Limits
	// AttemptFailed, if not nil, is called with the error of each failed commit
	// attempt.
	AttemptFailed func(error)
}

// Ledger reads and writes the records on behalf of one owner.
type Ledger struct {
	config Config
	mu     sync.Mutex
	tail   StoredTail
}

// New returns a ledger without a tail; [Ledger.SetTail] must precede the first commit.
func New(c Config) *Ledger {
	if c.AttemptFailed == nil {
		c.AttemptFailed = func(error) {}
	}
	return &Ledger{config: c}
}

// TailKey returns the store key of the tail.
func TailKey(prefix string) string { return prefix + "tail" }

func (l *Ledger) jobKey(id job.ID) string   { return l.config.Prefix + "job/" + string(id) }
func (l *Ledger) stateKey(id job.ID) string { return l.config.Prefix + "state/" + string(id) }
func (l *Ledger) fleetKey() string          { return l.config.Prefix + "fleet" }
func (l *Ledger) fleetPartsPrefix() string  { return l.config.Prefix + "fleet/" }

// SetTail sets the tail that the next commit must find in the store.
func (l *Ledger) SetTail(tail StoredTail) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.tail = tail
}

// advanceTail sets the tail that a commit has left, unless a later term has begun.
func (l *Ledger) advanceTail(tail StoredTail) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.tail.Epoch == tail.Epoch {
		l.tail = tail
	}
}

func (l *Ledger) currentTail() StoredTail {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.tail
}

// Batch is the set of records that one commit writes.
type Batch struct {
	Jobs   []*job.Job
	States []StateRecord
	// Removed lists the jobs whose records are deleted.
	Removed []job.ID
	// Fleet is the encoded record of the fleet without its VMs. If it is nil, the stored
	// record stays as it is. FleetParts are the encoded records of parts of the VMs that
	// may run tasks, by number; the others stay as they are.
	Fleet      []byte
	FleetParts map[int][]byte
}

// StateRecord is the encoded state of one job.
type StateRecord struct {
	Job  job.ID
	Data []byte
	// Final is set when the job has ended; the record of the job as submitted is then
	// deleted.
	Final bool
}

// Keys returns the number of keys that the record writes or removes.
func (r StateRecord) Keys() int {
	if r.Final {
		return 2
	}
	return 1
}

// Size returns the number of keys that the batch writes or removes.
func (b *Batch) Size() int {
	n := len(b.Jobs) + 2*len(b.Removed) + len(b.FleetParts)
	for _, r := range b.States {
		n += r.Keys()
	}
	if b.Fleet != nil {
		n++
	}
	return n
}

// Deposed reports that the stored tail is not one that this process expects, as a
// rule because another process owns the ledger.
type Deposed struct {
	// Tail is the tail that the store holds.
	Tail Tail
}

func (e *Deposed) Error() string { return "ledger: owned by " + e.Tail.Run }

// Unwritten reports a commit that was not sent, or that the store refused until the
// retries ended. Nothing was written.
type Unwritten struct {
	Cause error
}

func (e *Unwritten) Error() string { return "ledger: commit not written: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *Unwritten) Unwrap() error { return e.Cause }

// Unsettled reports a commit that was abandoned while its outcome was unknown.
type Unsettled struct {
	Cause error
}

func (e *Unsettled) Error() string { return "ledger: outcome unknown: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *Unsettled) Unwrap() error { return e.Cause }

// CheckJob returns a [*store.TooLarge] error if the record of a job is longer than the store
// takes.
func (l *Ledger) CheckJob(j *job.Job) error {
	if l.config.Limits.ValueBytes == 0 || j.MaxEncodedBytes() <= l.config.Limits.ValueBytes {
		return nil
	}
	// The members that are set when the job is accepted are as long as they can be.
	longest := *j
	longest.Accepted, longest.Epoch = time.Date(job.MaxYear, 12, 31, 23, 59, 59, 1, time.FixedZone("", -1)), math.MaxInt64
	value, err := record.Encode(&longest)
	if err != nil {
		return &store.Invalid{Call: "job " + string(j.ID), Cause: err}
	}
	return l.config.Limits.CheckPut(store.Put{Key: l.jobKey(j.ID), Value: value})
}

// TermEnded reports that the term in which a commit began has ended.
type TermEnded struct {
	Epoch int64
}

func (e *TermEnded) Error() string {
	return "ledger: term of epoch " + strconv.FormatInt(e.Epoch, 10) + " has ended"
}

// Commit writes a batch. It retries until the outcome is known or ctx ends.
//
// After [*Unwritten] and [*store.Invalid], nothing was written and the ledger remains usable. The
// latter means that the store will never accept the batch; a batch with a record that exceeds
// [Config.Limits] is not sent, and the cause is [*store.TooLarge]. If ctx or the
// term ends while the outcome is unknown, the error is [*Unsettled], and nothing else
// may be committed in that term. After [*Deposed], the last attempt did not write the
// batch, but an earlier attempt whose answer was lost may have.
func (l *Ledger) Commit(ctx context.Context, b Batch) error {
	if b.Size() == 0 {
		return nil
	}
	puts, err := l.encodePuts(b)
	if err != nil {
		return err
	}
	for _, p := range puts {
		if err := l.config.Limits.CheckPut(p); err != nil {
			return &store.Invalid{Call: "commit", Cause: err}
		}
	}
	epoch := l.currentTail().Epoch
	pause := initialBackoff
	// allRefused is set while the store has refused every attempt, so that none can
	// have taken effect.
	allRefused := true
	began := time.Now()
	for {
		done, err := l.attemptCommit(ctx, epoch, puts, b)
		if refused, ok := errors.Into[*store.Unavailable](err); ok {
			if allRefused && time.Since(began) > refusedTimeout {
				return &Unwritten{Cause: refused}
			}
			err = nil
		} else if !done {
			allRefused = false
		}
		if done || err != nil {
			return err
		}
		if !delay.Sleep(ctx, pause) {
			return &Unsettled{Cause: ctx.Err()}
		}
		pause = min(2*pause, maxBackoff)
	}
}

// attemptCommit sends the batch once and reports whether it is now written. If it is
// not, Commit may try again after a nil error or a [*store.Unavailable]; every other
// error is final. A batch of an earlier epoch is not sent: another owner may have
// written newer records since.
func (l *Ledger) attemptCommit(ctx context.Context, epoch int64, puts []store.Put, b Batch) (bool, error) {
	bytes := 0
	for _, p := range puts {
		bytes += len(p.Value)
	}
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout+time.Duration(bytes)*attemptTimePerMB/1e6)
	defer cancel()
	currentTail := l.currentTail()
	if currentTail.Epoch != epoch {
		return false, &Unsettled{Cause: &TermEnded{Epoch: epoch}}
	}
	next := currentTail.Tail
	next.Count++
	rev, err := l.config.Store.Commit(ctx, l.commitTxn(currentTail, next, puts, b))
	if err == nil {
		l.advanceTail(StoredTail{next, rev})
		return true, nil
	}
	l.config.AttemptFailed(err)
	if conflict, ok := errors.Into[*store.Conflict](err); ok {
		return l.resolveOutcome(conflict.Find(TailKey(l.config.Prefix)), next)
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
		return l.resolveOutcome(item, next)
	}
	return false, nil
}

// resolveOutcome determines from the stored tail whether the commit that writes
// next has taken effect. If so, or if the commit may be retried, it adopts the
// stored tail.
func (l *Ledger) resolveOutcome(item store.Item, next Tail) (bool, error) {
	var found Tail
	if item.Rev != 0 {
		if err := json.Unmarshal(item.Value, &found); err != nil {
			return false, &store.Invalid{Call: "tail", Cause: err}
		}
	}
	switch {
	case found.Run != l.config.Run || found.Epoch != next.Epoch:
		return false, &Deposed{found}
	case found.Count == next.Count:
		l.advanceTail(StoredTail{found, item.Rev})
		return true, nil
	case found.Count == next.Count-1:
		l.advanceTail(StoredTail{found, item.Rev})
		return false, nil
	}
	return false, &Deposed{found}
}

// commitTxn returns the transaction that writes a batch and the tail next, provided
// that current is still the stored tail.
func (l *Ledger) commitTxn(current StoredTail, next Tail, puts []store.Put, b Batch) store.Txn {
	// Encoding can't fail: a tail holds only strings and integers.
	value, _ := json.Marshal(next)
	tail := TailKey(l.config.Prefix)
	t := store.Txn{
		Guards: []store.Guard{{Key: tail, Rev: current.Rev}},
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

// encodePuts returns the writes of a batch, without that of the tail. The error is
// [*store.Invalid].
func (l *Ledger) encodePuts(b Batch) ([]store.Put, error) {
	var out []store.Put
	for _, j := range b.Jobs {
		value, err := record.Encode(j)
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
	for n, data := range b.FleetParts {
		out = append(out, store.Put{Key: l.fleetPartsPrefix() + strconv.Itoa(n), Value: data})
	}
	return out, nil
}
