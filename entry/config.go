package entry

import (
	"cmp"
	"slices"
	"sync"

	"github.com/go-faster/errors"

	"almondcove/fleet"
)

// configStore holds the newest recorded configuration that the entry has seen,
// and the restrictions that are in force but not recorded in the platform yet.
type configStore struct {
	mu sync.Mutex
	// base is the recorded configuration.
	base *fleet.Config
	// restrictions holds the restrictions that base does not reflect.
	restrictions map[fleet.Restriction]bool
	// merged is base with the restrictions applied.
	merged *fleet.Config
}

func newConfigStore() *configStore {
	empty := &fleet.Config{}
	return &configStore{base: empty, merged: empty, restrictions: make(map[fleet.Restriction]bool)}
}

// recorded returns the newest recorded configuration, without the pending
// restrictions.
func (s *configStore) recorded() *fleet.Config {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.base
}

// effective returns the configuration in force: the recorded one with the pending
// restrictions applied.
func (s *configStore) effective() *fleet.Config {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.merged
}

// applyRecords updates the recorded configuration from records of a later
// revision. It reports whether they were newer; stale records are not an error.
func (s *configStore) applyRecords(records []fleet.Record) (bool, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	next, err := fleet.Decode(s.base, records)
	if _, ok := errors.Into[*fleet.StaleRevisionError](err); ok {
		return false, nil
	}
	if err != nil {
		return false, err
	}
	s.replaceBase(next)
	return true, nil
}

// adopt replaces the recorded configuration by next if next is newer, and reports
// whether it did. The caller must have derived next from a recorded configuration.
func (s *configStore) adopt(next *fleet.Config) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if next.Head.Rev <= s.base.Head.Rev {
		return false
	}
	s.replaceBase(next)
	return true
}

// restrict puts restrictions in force and returns those that are new. It ignores
// unknown kinds, and restrictions that the recorded configuration already
// reflects or that a later decision supersedes.
func (s *configStore) restrict(rs []fleet.Restriction) []fleet.Restriction {
	s.mu.Lock()
	defer s.mu.Unlock()
	var added []fleet.Restriction
	for _, r := range rs {
		if !s.restrictions[r] && r.Change() != nil && !s.base.Supersedes(r) {
			s.restrictions[r] = true
			added = append(added, r)
		}
	}
	if len(added) > 0 {
		s.merged = s.base.Restrict(s.sortedRestrictions())
	}
	return added
}

// pending returns the restrictions that the platform has not recorded yet.
func (s *configStore) pending() []fleet.Restriction {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.sortedRestrictions()
}

// sortedRestrictions returns the pending restrictions by stamp and name.
func (s *configStore) sortedRestrictions() []fleet.Restriction {
	out := make([]fleet.Restriction, 0, len(s.restrictions))
	for r := range s.restrictions {
		out = append(out, r)
	}
	slices.SortFunc(out, func(a, b fleet.Restriction) int {
		return cmp.Or(cmp.Compare(a.Stamp, b.Stamp), cmp.Compare(a.Name, b.Name))
	})
	return out
}

// replaceBase sets the recorded configuration and drops the restrictions that it
// reflects or supersedes.
func (s *configStore) replaceBase(next *fleet.Config) {
	s.base = next
	for r := range s.restrictions {
		if next.Supersedes(r) {
			delete(s.restrictions, r)
		}
	}
	s.merged = next.Restrict(s.sortedRestrictions())
}
