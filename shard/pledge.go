package shard

import (
	"maps"
	"slices"
	"time"
)

// HoldsOwnership reports whether this process is the owner and may send orders. The
// latest lease renewal and the latest confirmation of the ownership must both be less
// than TTL minus safetyMargin old; otherwise every other entry must have given a
// pledge.
func (s *Shard) HoldsOwnership() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.isOwner {
		return false
	}
	now := s.config.Clock()
	return now < s.confirmedUntil() || !s.lapsed && s.allPledged(now)
}

// confirmedUntil returns the time until which the store lets this entry act as the owner. The
// caller holds s.mu.
func (s *Shard) confirmedUntil() time.Duration {
	return min(s.renewedAt, s.confirmedAt) + TTL - safetyMargin
}

// allPledged reports whether there are other entries and all of them have given
// pledges that have not expired. A pledge counts from when its request was sent. The
// caller holds s.mu.
func (s *Shard) allPledged(now time.Duration) bool {
	return len(s.members) > 1 && len(s.unpledged(now)) == 0
}

// unpledged returns the names of the entries that may campaign. The caller holds s.mu.
func (s *Shard) unpledged(now time.Duration) []string {
	var out []string
	for name := range s.members {
		if !s.pledged(name, now) {
			out = append(out, name)
		}
	}
	for name := range s.reported {
		if _, known := s.members[name]; !known && !s.pledged(name, now) {
			out = append(out, name)
		}
	}
	return out
}

// logOwnership logs what lets this entry act as the owner while it can't renew its lease.
func (s *Shard) logOwnership() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.isOwner {
		return
	}
	now := s.config.Clock()
	s.config.Log.Info("owner without renewal", "epoch", s.ownEpoch, "renewed_for", now-s.renewedAt, "confirmed_for", now-s.confirmedAt,
		"members", len(s.members), "unpledged", s.unpledged(now))
}

// pledged reports whether an entry can't campaign because of its pledge. This entry
// needs none. The caller holds s.mu.
func (s *Shard) pledged(name string, now time.Duration) bool {
	requestedAt, ok := s.pledges[name]
	return name == s.config.Self.Name || ok && now-requestedAt < PledgeDuration-safetyMargin
}

// ObserveEntries records that the named entries may be registered, although this entry
// may not have read their registrations.
func (s *Shard) ObserveEntries(names ...string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, name := range names {
		s.reported[name] = s.config.Clock()
	}
}

// MemberNames returns the names of the registered entries.
func (s *Shard) MemberNames() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Sorted(maps.Keys(s.members))
}

// NeedsPledges reports whether this entry is the owner and has to request pledges,
// because its last lease renewal or the last confirmation of its ownership is older
// than requestPledgesAfter.
func (s *Shard) NeedsPledges() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.isOwner && s.config.Clock()-min(s.renewedAt, s.confirmedAt) > requestPledgesAfter
}

// GivePledge promises the owner o that this entry does not campaign for
// [PledgeDuration]. It returns false, and promises nothing, if this entry is itself
// the owner, may be about to become it, or knows of an owner with a higher epoch.
func (s *Shard) GivePledge(o Owner) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.isOwner || s.candidateEpoch != 0 || o.Epoch < s.owner.Epoch {
		s.config.Log.Info("pledge refused", "to", o.Name, "epoch", o.Epoch, "known_epoch", s.owner.Epoch, "candidate_epoch", s.candidateEpoch)
		return false
	}
	now := s.config.Clock()
	if now >= s.pledgedUntil {
		s.config.Log.Info("pledge given", "to", o.Name, "epoch", o.Epoch, "for", PledgeDuration)
	}
	s.pledgedUntil = now + PledgeDuration
	return true
}

// RecordPledge records that the named entry gave a pledge in answer to a request
// sent at requestedAt, a time of Config.Clock.
func (s *Shard) RecordPledge(name string, requestedAt time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, member := s.members[name]
	_, before := s.pledges[name]
	if (member || before) && requestedAt >= s.confirmedUntil() && !s.pledged(name, requestedAt) {
		s.lapse(name)
	}
	s.pledges[name] = requestedAt
}

// lapse records that for some time nothing kept an entry from campaigning while this one
// could not reach the store. Another owner may have been elected since, of which those that
// pledge know nothing, so that only the store can confirm the ownership. The caller holds s.mu.
func (s *Shard) lapse(name string) {
	if s.isOwner && !s.lapsed {
		s.config.Log.Warn("ownership needs the store's confirmation, because a pledge was interrupted", "epoch", s.ownEpoch, "entry", name)
		s.lapsed = true
	}
}

// forgetReported forgets the entries that were reported before a time at which the
// registrations were still to be read. Those that are registered are known as members now.
func (s *Shard) forgetReported(before time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	maps.DeleteFunc(s.reported, func(_ string, at time.Duration) bool { return at < before })
}
