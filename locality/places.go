package locality

import (
	"cmp"
	"slices"
	"time"

	"almondcove/job"
)

// Release is the expected end of a run.
type Release struct {
	// After is the expected time until the end.
	After time.Duration
	// Need is what the run uses until then.
	Need job.Resources
}

// AppendPlaces appends to out when a VM will have room for further tasks that need so much
// each, at most limit of them. It assumes that nothing else starts there, and sorts the
// releases by time.
func AppendPlaces(out []time.Duration, free, need job.Resources, releases []Release, limit int) []time.Duration {
	slices.SortFunc(releases, func(a, b Release) int { return cmp.Compare(a.After, b.After) })
	after, next := time.Duration(0), 0
	for limit > 0 {
		if need.Within(free) {
			free = free.Minus(need)
			out = append(out, after)
			limit--
			continue
		}
		if next == len(releases) {
			break
		}
		free = free.Plus(releases[next].Need)
		after = releases[next].After
		next++
	}
	return out
}
