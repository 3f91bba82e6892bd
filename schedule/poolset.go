package schedule

import "slices"

// poolSet is a set of pools. The zero value is empty.
type poolSet struct {
	// all is set if it is not known which pools belong to the set, so that it holds every one.
	all bool
	// names lists the pools in sorted order; nil if all is set.
	names []string
}

// poolSetOf returns the set with a record, in which nil stands for all pools.
func poolSetOf(record []string) poolSet {
	if record == nil {
		return poolSet{all: true}
	}
	return poolSet{names: slices.Sorted(slices.Values(record))}
}

func (s poolSet) has(pool string) bool { return s.all || slices.Contains(s.names, pool) }

// add adds a pool and reports whether it is new.
func (s *poolSet) add(pool string) bool {
	if s.has(pool) {
		return false
	}
	s.names = slices.Insert(slices.Clone(s.names), s.rank(pool), pool)
	return true
}

// rank returns the index at which a pool is or would be in the sorted names.
func (s poolSet) rank(pool string) int {
	i, _ := slices.BinarySearch(s.names, pool)
	return i
}

// union returns the pools that are in either set.
func (s poolSet) union(o poolSet) poolSet {
	if s.all || o.all {
		return poolSet{all: true}
	}
	for _, name := range o.names {
		s.add(name)
	}
	return s
}

// intersection returns the pools that are in both sets.
func (s poolSet) intersection(o poolSet) poolSet {
	switch {
	case s.all:
		return o
	case o.all:
		return s
	}
	return poolSet{names: slices.DeleteFunc(slices.Clone(s.names), func(name string) bool { return !o.has(name) })}
}

func (s poolSet) equal(o poolSet) bool { return s.all == o.all && slices.Equal(s.names, o.names) }

func (s poolSet) overlaps(o poolSet) bool {
	if s.all {
		return o.all || len(o.names) > 0
	}
	return slices.ContainsFunc(s.names, o.has)
}

// record returns the form of a set that is not empty in a record.
func (s poolSet) record() []string {
	if s.all {
		return nil
	}
	return s.names
}
