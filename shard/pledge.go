package shard

import (
	"time"
)

// Valid reports whether this process is the owner and may give orders: for less
// than the lease's time to live after each renewal, and beyond it while every
// other entry has pledged to stand for no election.
func (s *Shard) Valid() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.owning {
		return false
	}
	now := s.config.Clock()
	return now-min(s.renewed, s.proved) < TTL-margin || s.allPledged(now)
}

func (s *Shard) allPledged(now time.Duration) bool {
	for name := range s.members {
		if name == s.config.Self.Name {
			continue
		}
		asked, ok := s.pledges[name]
		if !ok || now-asked >= PledgeFor-margin {
			return false
		}
	}
	return len(s.members) > 1
}

// Asks reports whether the owner needs pledges because it can't renew its lease.
func (s *Shard) Asks() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.owning && s.config.Clock()-min(s.renewed, s.proved) > askAfter
}

// Pledge makes this entry stand for no election for PledgeFor, if the one that
// asks is the owner as far as is known. It reports whether it does.
func (s *Shard) Pledge(o Owner) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.owning || o.Epoch < s.owner.Epoch {
		return false
	}
	s.pledged = s.config.Clock() + PledgeFor
	return true
}

// Pledged takes note of another entry's pledge, which answered a question that
// was sent at asked by the clock of the configuration.
func (s *Shard) Pledged(name string, asked time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pledges[name] = asked
}
