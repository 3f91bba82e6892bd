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

// The bounds of one change.
const (
	// changeTries is how often a change is tried anew after another came first.
	changeTries = 20
	// doubtTime is how long a lost answer is looked into.
	doubtTime  = 8 * time.Second
	doubtPause = 250 * time.Millisecond
	// restrictTime is how long an operator waits for the record of a restriction.
	restrictTime = time.Second
)

// Recorded says what became of a change.
type Recorded struct {
	// Rev is the revision that holds the change.
	Rev uint64 `json:"rev"`
	// Recorded is false for a restriction that is in force without the
	// platform's record, which follows as soon as the platform answers.
	Recorded bool `json:"recorded"`
	// Changed is false when the configuration said so already.
	Changed bool `json:"changed"`
}

func (e *Entry) confKey(key string) string {
	return e.config.Prefix + "view/conf/" + key
}

// Change records an operator's change in the platform and puts it in force.
// The errors of package fleet refuse the change itself; *NotRecorded,
// *Rewound and *Forked mean that nothing was changed, and *Doubtful that it
// may have been.
func (e *Entry) Change(ctx context.Context, ch fleet.Change) (Recorded, error) {
	if move, ok := ch.(fleet.VMMove); ok {
		move.DownCount = e.downIn(e.keeper.now().VMs[move.Name].Pool)
		ch = move
	}
	return e.change(ctx, ch)
}

// Restrict puts a restriction in force at once, passes it to the other
// entries, and records it as soon as the platform answers.
func (e *Entry) Restrict(ctx context.Context, r fleet.Restriction) (Recorded, error) {
	r.Stamp = e.line.Clock().Now()
	held := e.keeper.held()
	if _, _, err := held.Apply(r.Change(), ""); err != nil {
		return Recorded{}, err
	}
	e.restrict([]fleet.Restriction{r})
	// The restriction is in force without the record, which is made later when
	// the platform takes too long.
	ctx, cancel := context.WithTimeout(ctx, restrictTime)
	defer cancel()
	done, err := e.change(ctx, r.Change())
	if err == nil {
		return done, nil
	}
	if e.keeper.held().Supersedes(r) {
		return Recorded{Rev: e.keeper.held().Head.Rev, Recorded: true, Changed: true}, nil
	}
	if refusedChange(err) {
		return Recorded{}, err
	}
	e.note(timeline.Event{Kind: "unrecorded", Note: r.Kind + " " + r.Name + ": " + err.Error()})
	return Recorded{Rev: held.Head.Rev, Changed: true}, nil
}

// refusedChange reports whether err refuses the change itself.
func refusedChange(err error) bool {
	_, invalid := errors.Into[*fleet.InvalidError](err)
	_, missing := errors.Into[*fleet.NotFoundError](err)
	_, conflict := errors.Into[*fleet.ConflictError](err)
	return invalid || missing || conflict
}

func (e *Entry) change(ctx context.Context, ch fleet.Change) (Recorded, error) {
	for range changeTries {
		held := e.keeper.held()
		next, records, err := held.Apply(ch, rand.Text())
		if err != nil {
			return Recorded{}, err
		}
		if next == held {
			return Recorded{Rev: held.Head.Rev, Recorded: true}, nil
		}
		err = e.commit(ctx, held, next, records)
		if err == nil {
			if e.keeper.adopt(next) {
				e.inForce("operator")
			}
			return Recorded{Rev: next.Head.Rev, Recorded: true, Changed: true}, nil
		}
		if _, ok := errors.Into[*raced](err); !ok {
			return Recorded{}, err
		}
		if err := e.catchUp(ctx); err != nil {
			return Recorded{}, err
		}
	}
	return Recorded{}, &NotRecorded{Cause: &raced{}}
}

// changeAt records a change if the configuration is still at the revision for
// which it was planned.
func (e *Entry) changeAt(ctx context.Context, rev uint64, ch fleet.Change) error {
	held := e.keeper.held()
	if held.Head.Rev != rev {
		return &raced{}
	}
	next, records, err := held.Apply(ch, rand.Text())
	if err != nil || next == held {
		return err
	}
	if err := e.commit(ctx, held, next, records); err != nil {
		if _, ok := errors.Into[*raced](err); ok {
			return errors.Join(err, e.catchUp(ctx))
		}
		return err
	}
	if e.keeper.adopt(next) {
		e.inForce("plan")
	}
	return nil
}

// raced reports that another change came first.
type raced struct{}

func (*raced) Error() string { return "entry: other changes came first" }

// commit writes the records of next if the platform still holds the head of held.
func (e *Entry) commit(ctx context.Context, held, next *fleet.Config, records []fleet.Record) error {
	guard, err := e.guard(held)
	if err != nil {
		return err
	}
	return e.commitUnder(ctx, guard, next, records)
}

// commitUnder writes the records of next if the guard holds. A guard that does
// not gives *raced.
func (e *Entry) commitUnder(ctx context.Context, guard etcd.Compare, next *fleet.Config, records []fleet.Record) error {
	txn := etcd.TxnRequest{Compare: []etcd.Compare{guard}}
	for _, r := range records {
		value, err := json.Marshal(r)
		if err != nil {
			return &NotRecorded{Cause: err}
		}
		txn.Success = append(txn.Success, etcd.Put(e.confKey(r.Key), value))
	}
	done, err := e.platform.Commit(ctx, txn)
	if err == nil {
		if !done.Succeeded {
			return &raced{}
		}
		return nil
	}
	if _, ok := errors.Into[*etcd.Uncertain](err); ok {
		return e.resolve(ctx, next.Head, err)
	}
	return &NotRecorded{Cause: err}
}

// guard is the condition that the platform holds the head of held.
func (e *Entry) guard(held *fleet.Config) (etcd.Compare, error) {
	head := e.confKey(fleet.HeadKey)
	if held.Head.Rev == 0 {
		return etcd.Absent(head), nil
	}
	records := held.Records(held.Head.Rev - 1)
	value, err := json.Marshal(records[len(records)-1])
	if err != nil {
		return etcd.Compare{}, &NotRecorded{Cause: err}
	}
	return etcd.Holds(head, value), nil
}

// resolve finds out whether a write took effect whose answer was lost.
func (e *Entry) resolve(ctx context.Context, wrote fleet.Head, cause error) error {
	ctx, cancel := context.WithTimeout(ctx, doubtTime)
	defer cancel()
	for {
		kv, err := e.platform.Get(ctx, e.confKey(fleet.HeadKey))
		if err == nil {
			return e.judge(kv, wrote, cause)
		}
		if !delay.For(ctx, doubtPause) {
			return &Doubtful{Cause: cause}
		}
	}
}

func (e *Entry) judge(kv etcd.KV, wrote fleet.Head, cause error) error {
	if kv.Mod == 0 {
		return &NotRecorded{Cause: cause}
	}
	head, err := decodeHead(kv.Value)
	switch {
	case err != nil:
		return err
	case head.Stamp == wrote.Stamp || slices.Contains(head.PastStamps, wrote.Stamp):
		return nil
	case head.Rev < wrote.Rev:
		return &NotRecorded{Cause: cause}
	}
	return &raced{}
}

// catchUp reads the configuration from the platform after another change came first.
func (e *Entry) catchUp(ctx context.Context) error {
	kvs, _, err := e.platform.List(ctx, e.confKey(""))
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
	held := e.keeper.held().Head
	switch {
	case head.Rev < held.Rev:
		return &Rewound{Held: held.Rev, Platform: head.Rev}
	case head.Rev == held.Rev && head.Stamp != held.Stamp:
		return &Forked{Rev: head.Rev}
	}
	e.offer(records, "platform")
	return nil
}

// Restore writes the held configuration into a platform that has lost history.
func (e *Entry) Restore(ctx context.Context) (Recorded, error) {
	held := e.keeper.held()
	if held.Head.Rev == 0 {
		return Recorded{}, &Unready{}
	}
	kv, err := e.platform.Get(ctx, e.confKey(fleet.HeadKey))
	if err != nil {
		return Recorded{}, &NotRecorded{Cause: err}
	}
	if kv.Mod > 0 {
		head, err := decodeHead(kv.Value)
		if err != nil {
			return Recorded{}, err
		}
		if head.Rev > held.Head.Rev || head.Stamp == held.Head.Stamp {
			return Recorded{Rev: head.Rev, Recorded: true}, nil
		}
	}
	next, head, err := held.NextRevision(rand.Text())
	if err != nil {
		return Recorded{}, err
	}
	records := held.Records(0)
	records[len(records)-1] = head
	err = e.commitUnder(ctx, etcd.Unchanged(kv), next, records)
	if _, ok := errors.Into[*raced](err); ok {
		err = &NotRecorded{Cause: err}
	}
	if err != nil {
		return Recorded{}, err
	}
	if e.keeper.adopt(next) {
		e.inForce("restore")
	}
	return Recorded{Rev: next.Head.Rev, Recorded: true, Changed: true}, nil
}
