package owner

import (
	"context"
	"encoding/json"
	"time"

	"almondcove/delay"
	"almondcove/ledger"
	"almondcove/schedule"
	"almondcove/shard"
	"almondcove/store"
)

// Elected makes the owner act under a new term.
func (o *Owner) Elected(t shard.Term) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.term = t
	o.config.Ledger.Take(t.Tail)
	if t.Again && o.core != nil {
		o.core.SetEpoch(t.Epoch)
		if o.list {
			o.core.SetVMs(o.vms, time.Now())
		}
		o.active = true
		o.keepSessions()
		wake(o.plan)
		wake(o.commit)
		return
	}
	o.core = nil
	o.done.Go(func() { o.recover(t) })
}

// Deposed makes the owner stop at once.
func (o *Owner) Deposed() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.active = false
	o.list = false
	for _, a := range o.queue {
		if !a.writing {
			o.settle(a, Answer{Outcome: Refused, Retry: retrySoon, Reason: "owner replaced"})
		}
	}
	o.queue = nil
}

// HandOver records what runs where, so that the next owner can go on at once,
// and stops giving orders. ctx bounds it.
func (o *Owner) HandOver(ctx context.Context) {
	o.mu.Lock()
	if o.active {
		o.core.BeginHandover()
		wake(o.commit)
	}
	o.mu.Unlock()
	for ctx.Err() == nil {
		o.mu.Lock()
		left := o.active && (o.core.Unrecorded() || !o.since.IsZero() || len(o.queue) > 0)
		o.mu.Unlock()
		if !left {
			return
		}
		delay.For(ctx, commitGap)
	}
}

// current reports whether a term is still the one of the last election.
func (o *Owner) current(t shard.Term) bool {
	return o.term.Epoch == t.Epoch
}

// recover reads the records and begins to act.
func (o *Owner) recover(t shard.Term) {
	began := time.Now()
	for o.ctx.Err() == nil {
		o.mu.Lock()
		current, configured := o.current(t), o.configured
		o.mu.Unlock()
		if !current {
			return
		}
		err := error(&Unconfigured{})
		if configured {
			err = o.load(t, began)
		}
		if err == nil {
			return
		}
		o.config.Log.Warn("records not read", "epoch", t.Epoch, "error", err)
		if time.Since(began) > loadFor {
			o.config.GiveUp("records not read")
			return
		}
		delay.For(o.ctx, loadRetry)
	}
}

// Unconfigured reports an owner that does not know the operators' configuration
// yet. Without it nobody knows where tasks may run and how often they may fail.
type Unconfigured struct{}

func (*Unconfigured) Error() string { return "owner: no configuration yet" }

// load reads the records once and begins to act by them.
func (o *Owner) load(t shard.Term, began time.Time) error {
	ctx, cancel := context.WithTimeout(o.ctx, loadTimeout)
	defer cancel()
	content, err := o.config.Ledger.Load(ctx)
	if err != nil {
		return err
	}
	return o.begin(t, content, began)
}

// begin makes a core of the records.
func (o *Owner) begin(t shard.Term, content ledger.Content, began time.Time) error {
	var fleet schedule.Fleet
	if content.Fleet != nil {
		if err := json.Unmarshal(content.Fleet, &fleet); err != nil {
			return &store.Invalid{Call: "fleet", Cause: err}
		}
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if !o.current(t) {
		return nil
	}
	now := time.Now()
	c := o.config.Schedule
	c.Epoch = t.Epoch
	c.Log = o.config.Log
	o.core = schedule.New(c)
	o.core.SetView(o.view, now)
	o.core.RestoreFleet(fleet, began, c.Longest()+gateMargin)
	for _, k := range content.Jobs {
		o.core.Add(k.Job, k.State, now)
	}
	if o.list {
		o.core.SetVMs(o.vms, now)
	}
	o.active = true
	o.keepSessions()
	o.config.Log.Info("records read", "epoch", t.Epoch, "jobs", len(content.Jobs), "vms", len(fleet.VMs), "took", time.Since(began))
	wake(o.plan)
	wake(o.commit)
	return nil
}
