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

// electionLoop campaigns whenever it is triggered and this entry is eligible.
func (s *Shard) electionLoop() {
	for {
		select {
		case <-s.ctx.Done():
			return
		case <-s.electionTrigger:
		}
		for s.eligible() {
			if !delay.Sleep(s.ctx, s.electionDelay()) {
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

// electionDelay returns how long this entry waits before it campaigns, so that the last
// owner goes first, and then more powerful entries.
func (s *Shard) electionDelay() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.wasLastOwner() {
		return 0
	}
	jitter := rand.N(maxElectionJitter)
	maxPower := s.config.Self.Power
	for _, m := range s.members {
		maxPower = max(maxPower, m.Power)
	}
	if maxPower == 0 {
		return jitter
	}
	return jitter + time.Duration(float64(maxElectionDelay)*float64(maxPower-s.config.Self.Power)/float64(maxPower))
}

// lastEpoch returns the highest epoch that this entry knows of. The caller holds s.mu.
func (s *Shard) lastEpoch() int64 { return max(s.tailEpoch, s.owner.Epoch) }

// wasLastOwner reports whether no owner is known that was elected after this process. The
// caller holds s.mu.
func (s *Shard) wasLastOwner() bool { return s.ownEpoch > 0 && s.ownEpoch >= s.lastEpoch() }

// maxElectionDelay bounds the election delay of the least powerful entry.
const maxElectionDelay = 400 * time.Millisecond

// eligible reports whether this entry should campaign now.
func (s *Shard) eligible() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.eligibleLocked()
}

// eligibleLocked is eligible for a caller that holds s.mu.
func (s *Shard) eligibleLocked() bool {
	if s.leaving || s.lease == 0 || s.isOwner {
		return false
	}
	now := s.config.Clock()
	// The last owner may act on pledges that the other entries gave before they knew of
	// this registration, and one of them may be from a previous process of this entry. All
	// of them have expired a PledgeDuration after the registration. There are none if the
	// last owner was this process or its previous one, or has left.
	namesSelf := s.owner.Name == s.config.Self.Name
	ownerMayAct := s.lastEpoch() > s.vacatedEpoch && !s.wasLastOwner() && !namesSelf
	if now < s.pledgedUntil || ownerMayAct && now-s.registeredAt < PledgeDuration {
		return false
	}
	// After a step-down the other entries are to be elected first.
	if s.steppedDownAt > 0 && now-s.steppedDownAt < TTL && len(s.members) > 1 {
		return false
	}
	vacant := s.owner.Name == "" || s.owner.Run == s.deadRun
	// The owner key can name this entry if the answer to its election was lost, or if
	// its previous process was the owner.
	return vacant || namesSelf
}

// campaign tries once to become the owner. It also returns nil if another entry wins.
func (s *Shard) campaign() error {
	ctx, cancel := context.WithTimeout(s.ctx, callTimeout)
	defer cancel()
	ownerItem, err := s.config.Store.Get(ctx, s.ownerKey())
	if err != nil {
		return err
	}
	tailItem, lastTail, err := s.readTail(ctx)
	if err != nil {
		return err
	}
	s.mu.Lock()
	knownOwner, deadRun, lease := s.owner, s.deadRun, s.lease
	s.tailEpoch = max(s.tailEpoch, lastTail.Epoch)
	s.mu.Unlock()
	if !s.mayReplace(ownerItem, deadRun) {
		s.applyOwner(ownerItem, ownerItem.Rev)
		return nil
	}
	term := Term{
		Epoch:            max(lastTail.Epoch, knownOwner.Epoch) + 1,
		Replaced:         lastTail,
		PredecessorEnded: tailItem.Rev == 0 || lastTail.Run == deadRun || ownedByEarlierProcess(ownerItem, lastTail, s.config.Self),
	}
	begun, inDoubt := s.beginElection(term.Epoch)
	if !begun {
		return nil
	}
	s.logCampaign(term)
	newTail := ledger.Tail{Run: s.config.Self.Run, Epoch: term.Epoch, Count: lastTail.Count}
	sent := s.config.Clock()
	rev, err := s.config.Store.Commit(ctx, s.electionTxn(ownerItem, tailItem, newTail, lease))
	if _, ok := errors.Into[*store.Conflict](err); ok {
		s.endElection()
		return nil
	}
	if err != nil {
		if _, ok := errors.Into[*store.Unavailable](err); ok && !inDoubt {
			s.endElection()
		}
		return err
	}
	term.Tail = ledger.StoredTail{Tail: newTail, Rev: rev}
	if !s.becomeOwner(term, sent) {
		return s.vacate(ctx, rev, term.Epoch)
	}
	return nil
}

// logCampaign logs why this entry may campaign.
func (s *Shard) logCampaign(term Term) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.config.Clock()
	pledge := "none"
	if s.pledgedUntil > 0 {
		pledge = (now - s.pledgedUntil).String()
	}
	s.config.Log.Info("campaigning", "epoch", term.Epoch, "predecessor", term.Replaced, "predecessor_left", s.vacatedEpoch >= term.Replaced.Epoch, "predecessor_ended", term.PredecessorEnded, "registered_for", now-s.registeredAt, "pledge_expired_for", pledge, "members", len(s.members))
}

// beginElection reports whether this entry may still campaign, now that the records
// have been read. If so, it gives no pledge until the outcome of the election is known.
// inDoubt is set if the outcome of an earlier election is not.
func (s *Shard) beginElection(epoch int64) (begun, inDoubt bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.eligibleLocked() {
		return false, false
	}
	inDoubt = s.candidateEpoch != 0
	s.candidateEpoch = epoch
	return true, inDoubt
}

// endElection records that no transaction of an election by this entry can take effect
// any more.
func (s *Shard) endElection() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.candidateEpoch = 0
}

// mayReplace reports whether an election may overwrite the given owner key: it must
// be missing, undecodable, or name this entry or a process that has ended.
func (s *Shard) mayReplace(ownerItem store.Item, deadRun string) bool {
	if ownerItem.Rev == 0 {
		return true
	}
	var o Owner
	if err := json.Unmarshal(ownerItem.Value, &o); err != nil {
		return true
	}
	return o.Run == deadRun || o.Name == s.config.Self.Name
}

// ownedByEarlierProcess reports whether the owner key names an earlier process of the
// entry self as the owner of the last term.
func ownedByEarlierProcess(ownerItem store.Item, lastTail ledger.Tail, self Member) bool {
	var o Owner
	if ownerItem.Rev == 0 || json.Unmarshal(ownerItem.Value, &o) != nil {
		return false
	}
	return o.Name == self.Name && o.Run != self.Run && o.Run == lastTail.Run
}

// readTail returns the stored tail, both as the store item and decoded. Both are
// empty if no owner has been elected yet.
func (s *Shard) readTail(ctx context.Context) (store.Item, ledger.Tail, error) {
	var lastTail ledger.Tail
	tailItem, err := s.config.Store.Get(ctx, ledger.TailKey(s.config.Prefix))
	if err != nil || tailItem.Rev == 0 {
		return tailItem, lastTail, err
	}
	if err := json.Unmarshal(tailItem.Value, &lastTail); err != nil {
		return tailItem, lastTail, &store.Invalid{Call: "tail", Cause: err}
	}
	return tailItem, lastTail, nil
}

// electionTxn returns the transaction that makes this entry the owner, provided that
// neither the owner key nor the tail has changed since it was read.
func (s *Shard) electionTxn(ownerItem, tailItem store.Item, newTail ledger.Tail, lease store.LeaseID) store.Txn {
	// Encoding can't fail: the records hold only names, addresses and numbers.
	ownerValue, _ := json.Marshal(Owner{Member: s.config.Self, Epoch: newTail.Epoch})
	tailValue, _ := json.Marshal(newTail)
	return store.Txn{
		Guards: []store.Guard{{Key: s.ownerKey(), Rev: ownerItem.Rev}, {Key: ledger.TailKey(s.config.Prefix), Rev: tailItem.Rev}},
		Puts: []store.Put{
			{Key: s.ownerKey(), Value: ownerValue, Lease: lease},
			{Key: s.lastOwnerKey(), Value: ownerValue},
			{Key: ledger.TailKey(s.config.Prefix), Value: tailValue},
		},
	}
}

// becomeOwner records a won election, whose transaction was sent at sent. It reports false
// if this entry has left meanwhile, so that it must not own anything.
func (s *Shard) becomeOwner(term Term, sent time.Duration) bool {
	s.mu.Lock()
	if s.leaving {
		s.candidateEpoch = 0
		s.mu.Unlock()
		return false
	}
	s.isOwner = true
	s.candidateEpoch = 0
	s.ownEpoch = term.Epoch
	s.confirmedAt, s.lapsed = sent, false
	s.deadRun = ""
	s.setOwner(Owner{Member: s.config.Self, Epoch: term.Epoch}, term.Tail.Rev)
	s.ownerReadRev = max(s.ownerReadRev, term.Tail.Rev)
	s.mu.Unlock()
	s.config.Log.Info("elected as owner", "epoch", term.Epoch, "replaced", term.Replaced)
	s.config.Elected(term)
	return true
}
