package shard

import (
	"time"
)

// HoldsOwnership reports whether this process is the owner and may send orders. It
// may do so for less than the lease's time to live after each renewal, and beyond
// that while every other entry has pledged to stand in no election.
func (s *Shard) HoldsOwnership() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.isOwner {
		return false
	}
	now := s.config.Clock()
	return now-min(s.renewedAt, s.confirmedAt) < TTL-safetyMargin || s.allPledged(now)
}

// allPledged reports whether there are other entries and all have given pledges that
// still hold.
func (s *Shard) allPledged(now time.Duration) bool {
	for name := range s.members {
		if name == s.config.Self.Name {
			continue
		}
		asked, ok := s.pledges[name]
		if !ok || now-asked >= PledgeDuration-safetyMargin {
			return false
		}
	}
	return len(s.members) > 1
}

// NeedsPledges reports whether this entry is an owner that has to request pledges
// because it can't renew its lease.
func (s *Shard) NeedsPledges() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.isOwner && s.config.Clock()-min(s.renewedAt, s.confirmedAt) > requestPledgesAfter
}

// Pledge promises the owner o that this entry stands in no election for
// [PledgeDuration]. It reports false, without a promise, if this entry is itself the
// owner or knows of an owner with a higher epoch.
func (s *Shard) Pledge(o Owner) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.isOwner || o.Epoch < s.owner.Epoch {
		return false
	}
	s.pledgedUntil = s.config.Clock() + PledgeDuration
	return true
}

// RecordPledge records that the named entry gave a pledge in answer to a request
// sent at asked, a time of Config.Clock.
func (s *Shard) RecordPledge(name string, asked time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pledges[name] = asked
}
