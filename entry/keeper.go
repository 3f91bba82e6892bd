package entry

import (
	"cmp"
	"slices"
	"sync"

	"github.com/go-faster/errors"

	"almondcove/fleet"
)

// keeper holds the newest configuration that the entry has seen, and the
// restrictions that the platform has not recorded yet.
type keeper struct {
	mu           sync.Mutex
	base         *fleet.Config
	restrictions map[fleet.Restriction]bool
	// effective is base with the restrictions laid over it.
	effective *fleet.Config
}

func newKeeper() *keeper {
	empty := &fleet.Config{}
	return &keeper{base: empty, effective: empty, restrictions: make(map[fleet.Restriction]bool)}
}

// held returns the configuration without restrictions.
func (k *keeper) held() *fleet.Config {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.base
}

// now returns the configuration in force.
func (k *keeper) now() *fleet.Config {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.effective
}

// offer takes records of a later revision over. It reports whether they were
// newer; records of an older revision are no error.
func (k *keeper) offer(records []fleet.Record) (bool, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	next, err := fleet.Decode(k.base, records)
	if _, ok := errors.Into[*fleet.StaleRevisionError](err); ok {
		return false, nil
	}
	if err != nil {
		return false, err
	}
	k.set(next)
	return true, nil
}

// adopt takes a configuration over that follows from the one held, and reports
// whether it is newer.
func (k *keeper) adopt(next *fleet.Config) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if next.Head.Rev <= k.base.Head.Rev {
		return false
	}
	k.set(next)
	return true
}

// restrict adds restrictions and returns those that are new.
func (k *keeper) restrict(rs []fleet.Restriction) []fleet.Restriction {
	k.mu.Lock()
	defer k.mu.Unlock()
	var fresh []fleet.Restriction
	for _, r := range rs {
		if !k.restrictions[r] && r.Change() != nil && !k.base.Supersedes(r) {
			k.restrictions[r] = true
			fresh = append(fresh, r)
		}
	}
	if len(fresh) > 0 {
		k.effective = k.base.Restrict(k.list())
	}
	return fresh
}

// pending returns the restrictions that the platform has not recorded.
func (k *keeper) pending() []fleet.Restriction {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.list()
}

func (k *keeper) list() []fleet.Restriction {
	out := make([]fleet.Restriction, 0, len(k.restrictions))
	for r := range k.restrictions {
		out = append(out, r)
	}
	slices.SortFunc(out, func(a, b fleet.Restriction) int {
		return cmp.Or(cmp.Compare(a.Stamp, b.Stamp), cmp.Compare(a.Name, b.Name))
	})
	return out
}

func (k *keeper) set(next *fleet.Config) {
	k.base = next
	for r := range k.restrictions {
		if next.Supersedes(r) {
			delete(k.restrictions, r)
		}
	}
	k.effective = next.Restrict(k.list())
}
