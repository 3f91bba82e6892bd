package entry

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"slices"
	"time"

	"github.com/go-faster/errors"

	"almondcove/delay"
	"almondcove/etcd"
	"almondcove/fleet"
	"almondcove/timeline"
)

// Bounds of one change.
const (
	// maxChangeAttempts bounds the attempts to commit a change while concurrent
	// changes win.
	maxChangeAttempts = 20
	// resolveTimeout bounds the reads that find out whether a change was written
	// when the answer to the write is lost.
	resolveTimeout = 8 * time.Second
	// resolveInterval is the time between attempts to read back a change or a
	// claim when the answer to its write is lost.
	resolveInterval = 250 * time.Millisecond
	// restrictionTimeout bounds an operator's wait for the platform to record a
	// restriction.
	restrictionTimeout = time.Second
)

// ChangeResult is the result of a change.
type ChangeResult struct {
	// Rev is the revision that holds the change.
	Rev uint64 `json:"rev"`
	// Recorded is false for a restriction that is in force but that the platform
	// has not recorded; it is recorded as soon as the platform answers.
	Recorded bool `json:"recorded"`
	// Changed is false when the configuration already contained the change.
	Changed bool `json:"changed"`
}

func (e *Entry) configKey(key string) string {
	return e.config.Prefix + "view/conf/" + key
}

// Change records an operator's change in the platform and puts it in force.
// *fleet.InvalidError, *fleet.NotFoundError and *fleet.ConflictError mean that the
// change itself is refused. *NotRecorded, *Rewound and *Forked mean that nothing was
// changed; *Indeterminate means that the change may have taken effect.
// *fleet.UnreadableRecordError means that a record in the platform can't be decoded;
// the change may have taken effect then too.
func (e *Entry) Change(ctx context.Context, change fleet.Change) (ChangeResult, error) {
	if move, ok := change.(fleet.VMMove); ok {
		move.DownCount = e.numDownVMs(e.configStore.effective().VMs[move.Name].Pool)
		change = move
	}
	return e.applyChange(ctx, change)
}

// Restrict puts a restriction in force at once, passes it to the other
// entries, and records it as soon as the platform answers.
func (e *Entry) Restrict(ctx context.Context, r fleet.Restriction) (ChangeResult, error) {
	r.Stamp = e.eventLog.Clock().Now()
	held := e.configStore.recorded()
	if _, _, err := held.Apply(r.Change(), ""); err != nil {
		return ChangeResult{}, err
	}
	e.applyRestrictions([]fleet.Restriction{r})
	// The restriction is in force already. If the platform takes too long,
	// maintainRecords records it later.
	ctx, cancel := context.WithTimeout(ctx, restrictionTimeout)
	defer cancel()
	result, err := e.applyChange(ctx, r.Change())
	if err == nil {
		return result, nil
	}
	if e.configStore.recorded().Supersedes(r) {
		return ChangeResult{Rev: e.configStore.recorded().Head.Rev, Recorded: true, Changed: true}, nil
	}
	if refusedChange(err) {
		return ChangeResult{}, err
	}
	e.recordEvent(timeline.Event{Kind: "unrecorded", Note: r.Kind + " " + r.Name + ": " + err.Error()})
	return ChangeResult{Rev: held.Head.Rev, Changed: true}, nil
}

// refusedChange reports whether err means that the change itself is refused, so that
// another attempt would fail too.
func refusedChange(err error) bool {
	_, invalid := errors.Into[*fleet.InvalidError](err)
	_, missing := errors.Into[*fleet.NotFoundError](err)
	_, conflict := errors.Into[*fleet.ConflictError](err)
	return invalid || missing || conflict
}

// applyChange records a change and puts it in force. When a concurrent change
// comes first, it reads the new configuration and applies the change to that.
func (e *Entry) applyChange(ctx context.Context, change fleet.Change) (ChangeResult, error) {
	for range maxChangeAttempts {
		held := e.configStore.recorded()
		next, records, err := held.Apply(change, rand.Text())
		if err != nil {
			return ChangeResult{}, err
		}
		if next == held {
			return ChangeResult{Rev: held.Head.Rev, Recorded: true}, nil
		}
		err = e.commit(ctx, held, next, records)
		if err == nil {
			if e.configStore.adopt(next) {
				e.activateConfig("operator")
			}
			return ChangeResult{Rev: next.Head.Rev, Recorded: true, Changed: true}, nil
		}
		if _, ok := errors.Into[*concurrentWrite](err); !ok {
			return ChangeResult{}, err
		}
		if err := e.catchUp(ctx); err != nil {
			return ChangeResult{}, err
		}
	}
	return ChangeResult{}, &NotRecorded{Cause: &concurrentWrite{}}
}

// applyChangeAt records a change and puts it in force if the configuration is
// still at the revision for which the change was planned.
func (e *Entry) applyChangeAt(ctx context.Context, rev uint64, change fleet.Change) error {
	held := e.configStore.recorded()
	if held.Head.Rev != rev {
		return &concurrentWrite{}
	}
	next, records, err := held.Apply(change, rand.Text())
	if err != nil || next == held {
		return err
	}
	if err := e.commit(ctx, held, next, records); err != nil {
		if _, ok := errors.Into[*concurrentWrite](err); ok {
			return errors.Join(err, e.catchUp(ctx))
		}
		return err
	}
	if e.configStore.adopt(next) {
		e.activateConfig("plan")
	}
	return nil
}

// concurrentWrite reports that a conditional write failed because another write came
// first.
type concurrentWrite struct{}

func (*concurrentWrite) Error() string { return "entry: other changes came first" }

// commit writes the records of next if the platform still holds the head of held.
func (e *Entry) commit(ctx context.Context, held, next *fleet.Config, records []fleet.Record) error {
	guard, err := e.guard(held)
	if err != nil {
		return err
	}
	return e.commitIf(ctx, guard, next, records)
}

// commitIf writes the records of next if the guard holds. The error is
// *concurrentWrite if it does not hold.
func (e *Entry) commitIf(ctx context.Context, guard etcd.Compare, next *fleet.Config, records []fleet.Record) error {
	txn := etcd.TxnRequest{Compare: []etcd.Compare{guard}}
	for _, r := range records {
		value, err := json.Marshal(r)
		if err != nil {
			return &NotRecorded{Cause: err}
		}
		txn.Success = append(txn.Success, etcd.OpPut(e.configKey(r.Key), value))
	}
	done, err := e.platform.Commit(ctx, txn)
	if err == nil {
		if !done.Succeeded {
			return &concurrentWrite{}
		}
		return nil
	}
	if _, ok := errors.Into[*etcd.Uncertain](err); ok {
		return e.resolveCommit(ctx, next.Head, err)
	}
	return &NotRecorded{Cause: err}
}

// guard returns the transaction condition that the platform still holds the head of
// held.
func (e *Entry) guard(held *fleet.Config) (etcd.Compare, error) {
	headKey := e.configKey(fleet.HeadKey)
	if held.Head.Rev == 0 {
		return etcd.Absent(headKey), nil
	}
	records := held.Records(held.Head.Rev - 1)
	value, err := json.Marshal(records[len(records)-1])
	if err != nil {
		return etcd.Compare{}, &NotRecorded{Cause: err}
	}
	return etcd.ValueEquals(headKey, value), nil
}

// resolveCommit finds out whether a write whose answer was lost took effect. It
// returns nil when it did.
func (e *Entry) resolveCommit(ctx context.Context, written fleet.Head, cause error) error {
	ctx, cancel := context.WithTimeout(ctx, resolveTimeout)
	defer cancel()
	for {
		kv, err := e.platform.Get(ctx, e.configKey(fleet.HeadKey))
		if err == nil {
			return e.commitOutcome(kv, written, cause)
		}
		if !delay.Sleep(ctx, resolveInterval) {
			return &Indeterminate{Cause: cause}
		}
	}
}

// commitOutcome determines, from the head record kv in the platform, whether the
// commit that wrote the head written took effect. It returns nil when it did. A head
// keeps the stamps of the revisions just before it, so a commit is recognized after a
// few later changes too. After more of them its outcome stays unknown.
func (e *Entry) commitOutcome(kv etcd.KV, written fleet.Head, cause error) error {
	if kv.ModRevision == 0 {
		return &NotRecorded{Cause: cause}
	}
	head, err := decodeHead(kv.Value)
	switch {
	case err != nil:
		return err
	case head.Stamp == written.Stamp || slices.Contains(head.PastStamps, written.Stamp):
		return nil
	case head.Rev < written.Rev:
		return &NotRecorded{Cause: cause}
	case head.Rev-written.Rev > uint64(len(head.PastStamps)):
		return &Indeterminate{Cause: cause}
	}
	return &concurrentWrite{}
}

// catchUp reads the configuration from the platform after a concurrent change.
// It refuses one that is older than the configuration held, or that differs from
// it under the same revision.
func (e *Entry) catchUp(ctx context.Context) error {
	kvs, _, err := e.platform.List(ctx, e.configKey(""))
	if err != nil {
		return &NotRecorded{Cause: err}
	}
	var records []fleet.Record
	var head fleet.Head
	for _, kv := range kvs {
		var r fleet.Record
		if err := json.Unmarshal(kv.Value, &r); err != nil {
			return &fleet.UnreadableRecordError{Key: string(kv.Key), Reason: err.Error()}
		}
		records = append(records, r)
		if r.Key == fleet.HeadKey {
			if head, err = decodeHead(kv.Value); err != nil {
				return err
			}
		}
	}
	held := e.configStore.recorded().Head
	switch {
	case head.Rev < held.Rev:
		return &Rewound{Held: held.Rev, Platform: head.Rev}
	case head.Rev == held.Rev && head.Stamp != held.Stamp:
		return &Forked{Rev: head.Rev}
	}
	e.acceptRecords(records, "platform")
	return nil
}

// Restore writes the configuration that the entry holds to a platform that has
// lost history. It changes nothing when the platform holds the same head or a
// later revision.
func (e *Entry) Restore(ctx context.Context) (ChangeResult, error) {
	held := e.configStore.recorded()
	if held.Head.Rev == 0 {
		return ChangeResult{}, &Unready{}
	}
	kv, err := e.platform.Get(ctx, e.configKey(fleet.HeadKey))
	if err != nil {
		return ChangeResult{}, &NotRecorded{Cause: err}
	}
	if kv.ModRevision > 0 {
		head, err := decodeHead(kv.Value)
		if err != nil {
			return ChangeResult{}, err
		}
		if head.Rev > held.Head.Rev || head.Stamp == held.Head.Stamp {
			return ChangeResult{Rev: head.Rev, Recorded: true}, nil
		}
	}
	next, head, err := held.NextRevision(rand.Text())
	if err != nil {
		return ChangeResult{}, err
	}
	records := held.Records(0)
	records[len(records)-1] = head
	err = e.commitIf(ctx, etcd.Unchanged(kv), next, records)
	if _, ok := errors.Into[*concurrentWrite](err); ok {
		err = &NotRecorded{Cause: err}
	}
	if err != nil {
		return ChangeResult{}, err
	}
	if e.configStore.adopt(next) {
		e.activateConfig("restore")
	}
	return ChangeResult{Rev: next.Head.Rev, Recorded: true, Changed: true}, nil
}
