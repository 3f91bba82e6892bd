package shard

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"time"

	"github.com/go-faster/errors"

	"almondcove/delay"
	"almondcove/ledger"
	"almondcove/store"
)

// electionLoop campaigns whenever there may be no owner.
func (s *Shard) electionLoop() {
	for {
		select {
		case <-s.ctx.Done():
			return
		case <-s.electionTrigger:
		}
		for s.eligible() {
			if !delay.Sleep(s.ctx, s.electionDelay()+rand.N(maxElectionJitter)) {
				return
			}
			if !s.eligible() {
				break
			}
			if err := s.campaign(); err != nil {
				s.config.Log.Warn("election attempt failed", "error", err)
				if !delay.Sleep(s.ctx, retryDelay) {
					return
				}
			}
		}
	}
}

// electionDelay returns how long this entry waits before it campaigns, so that more
// powerful entries go first.
func (s *Shard) electionDelay() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	most := s.config.Self.Power
	for _, m := range s.members {
		most = max(most, m.Power)
	}
	if most == 0 {
		return 0
	}
	return time.Duration(float64(maxElectionDelay) * float64(most-s.config.Self.Power) / float64(most))
}

// maxElectionDelay bounds the election delay of the weakest entry.
const maxElectionDelay = 400 * time.Millisecond

// eligible reports whether this entry should campaign now.
func (s *Shard) eligible() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leaving || s.lease == 0 || s.isOwner {
		return false
	}
	now := s.config.Clock()
	// A previous process of this entry may have given a pledge that is unknown here.
	own := s.owner.Name == s.config.Self.Name
	if now < s.pledgedUntil || now-s.startedAt < PledgeDuration && s.owner.Name != "" && !own {
		return false
	}
	if s.steppedDownAt > 0 && now-s.steppedDownAt < TTL && len(s.members) > 1 {
		return false
	}
	free := s.owner.Name == "" || s.owner.Run == s.deadRun
	// The owner key can name this entry if the answer to its election was lost, or if
	// its previous process was the owner.
	return free || own
}

// campaign tries once to become the owner. It returns nil if another entry wins.
func (s *Shard) campaign() error {
	ctx, cancel := context.WithTimeout(s.ctx, callTimeout)
	defer cancel()
	current, err := s.config.Store.Get(ctx, s.ownerKey())
	if err != nil {
		return err
	}
	tail, before, err := s.readTail(ctx)
	if err != nil {
		return err
	}
	s.mu.Lock()
	known, deadRun, lease := s.owner, s.deadRun, s.lease
	s.mu.Unlock()
	if !s.mayReplace(current, deadRun) {
		s.applyOwner(current)
		return nil
	}
	term := Term{
		Epoch:     max(before.Epoch, known.Epoch) + 1,
		Reelected: before.Run == s.config.Self.Run,
	}
	next := ledger.Tail{Run: s.config.Self.Run, Epoch: term.Epoch, Count: before.Count}
	sent := s.config.Clock()
	rev, err := s.config.Store.Commit(ctx, s.electionTxn(current, tail, next, lease))
	if _, ok := errors.Into[*store.Conflict](err); ok {
		return nil
	}
	if err != nil {
		return err
	}
	term.Tail = ledger.StoredTail{Tail: next, Rev: rev}
	s.becomeOwner(term, sent)
	return nil
}

// mayReplace reports whether an election may overwrite the owner key as read: if it
// is missing or unreadable, or names a process that has ended or this entry itself.
func (s *Shard) mayReplace(current store.Item, deadRun string) bool {
	if current.Rev == 0 {
		return true
	}
	var o Owner
	if err := json.Unmarshal(current.Value, &o); err != nil {
		return true
	}
	return o.Run == deadRun || o.Name == s.config.Self.Name
}

func (s *Shard) readTail(ctx context.Context) (store.Item, ledger.Tail, error) {
	var before ledger.Tail
	tail, err := s.config.Store.Get(ctx, ledger.TailKey(s.config.Prefix))
	if err != nil || tail.Rev == 0 {
		return tail, before, err
	}
	if err := json.Unmarshal(tail.Value, &before); err != nil {
		return tail, before, &store.Invalid{Call: "tail", Cause: err}
	}
	return tail, before, nil
}

// electionTxn returns the transaction that makes this entry the owner if neither the
// owner key nor the tail has changed since they were read.
func (s *Shard) electionTxn(current, tail store.Item, next ledger.Tail, lease store.LeaseID) store.Txn {
	// Encoding can't fail: the records hold only names, addresses and numbers.
	owner, _ := json.Marshal(Owner{Member: s.config.Self, Epoch: next.Epoch})
	value, _ := json.Marshal(next)
	return store.Txn{
		Guards: []store.Guard{{Key: s.ownerKey(), Rev: current.Rev}, {Key: ledger.TailKey(s.config.Prefix), Rev: tail.Rev}},
		Puts: []store.Put{
			{Key: s.ownerKey(), Value: owner, Lease: lease},
			{Key: ledger.TailKey(s.config.Prefix), Value: value},
		},
	}
}

// becomeOwner records a won election whose transaction was sent at sent.
func (s *Shard) becomeOwner(t Term, sent time.Duration) {
	s.mu.Lock()
	s.isOwner = true
	s.confirmedAt = sent
	s.deadRun = ""
	s.setOwner(Owner{Member: s.config.Self, Epoch: t.Epoch}, t.Tail.Rev)
	s.mu.Unlock()
	s.config.Log.Info("elected as owner", "epoch", t.Epoch, "again", t.Reelected)
	s.config.Elected(t)
}
