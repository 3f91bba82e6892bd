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

// elect stands for election whenever there may be no owner.
func (s *Shard) elect() {
	for {
		select {
		case <-s.ctx.Done():
			return
		case <-s.stand:
		}
		for s.stands() {
			if !delay.For(s.ctx, s.yield()+rand.N(standPause)) {
				return
			}
			if !s.stands() {
				break
			}
			if err := s.attempt(); err != nil {
				s.config.Log.Warn("election", "error", err)
				if !delay.For(s.ctx, retryPause) {
					return
				}
			}
		}
	}
}

// yield is how long this entry lets those with more power go first.
func (s *Shard) yield() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	most := s.config.Self.Power
	for _, m := range s.members {
		most = max(most, m.Power)
	}
	if most == 0 {
		return 0
	}
	return time.Duration(float64(yieldMost) * float64(most-s.config.Self.Power) / float64(most))
}

// yieldMost is how long the weakest entry lets others go first.
const yieldMost = 400 * time.Millisecond

// stands reports whether this entry should try to become the owner.
func (s *Shard) stands() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leaving || s.lease == 0 || s.owning {
		return false
	}
	now := s.config.Clock()
	// A process before this one on the same machine may have pledged.
	own := s.owner.Name == s.config.Self.Name
	if now < s.pledged || now-s.started < PledgeFor && s.owner.Name != "" && !own {
		return false
	}
	if s.resigned > 0 && now-s.resigned < TTL && len(s.members) > 1 {
		return false
	}
	free := s.owner.Name == "" || s.owner.Run == s.dead
	// The last is an election whose answer was lost, or one of the process before
	// this one.
	return free || own
}

// attempt tries once to become the owner.
func (s *Shard) attempt() error {
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
	known, dead, lease := s.owner, s.dead, s.lease
	s.mu.Unlock()
	if !s.mayReplace(current, dead) {
		s.learn(current)
		return nil
	}
	term := Term{
		Epoch: max(before.Epoch, known.Epoch) + 1,
		Again: before.Run == s.config.Self.Run,
	}
	next := ledger.Tail{Run: s.config.Self.Run, Epoch: term.Epoch, Count: before.Count}
	sent := s.config.Clock()
	rev, err := s.config.Store.Commit(ctx, s.ballot(current, tail, next, lease))
	if _, ok := errors.Into[*store.Conflict](err); ok {
		return nil
	}
	if err != nil {
		return err
	}
	term.Tail = ledger.Held{Tail: next, Rev: rev}
	s.win(term, sent)
	return nil
}

func (s *Shard) mayReplace(current store.Item, dead string) bool {
	if current.Rev == 0 {
		return true
	}
	var o Owner
	if err := json.Unmarshal(current.Value, &o); err != nil {
		return true
	}
	return o.Run == dead || o.Name == s.config.Self.Name
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

func (s *Shard) ballot(current, tail store.Item, next ledger.Tail, lease store.LeaseID) store.Txn {
	// Names, addresses and numbers always encode.
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

func (s *Shard) win(t Term, sent time.Duration) {
	s.mu.Lock()
	s.owning = true
	s.proved = sent
	s.dead = ""
	s.setOwner(Owner{Member: s.config.Self, Epoch: t.Epoch}, t.Tail.Rev)
	s.mu.Unlock()
	s.config.Log.Info("elected", "epoch", t.Epoch, "again", t.Again)
	s.config.Elected(t)
}
