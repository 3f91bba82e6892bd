package owner

// The kinds of records in a commit.
const (
	newJobs = iota
	changedStates
	changedParts
	recordKinds
)

// recordShares are the parts of a commit, in sixths, that each kind of record may take
// however many of the others wait. Ends of tasks have the most: until they are recorded,
// callers wait for jobs that are done, and VMs repeat the ends.
var recordShares = [recordKinds]int{newJobs: 1, changedStates: 4, changedParts: 1}

// totalShares is the sum of recordShares.
const totalShares = 6

// divideCommit divides the keys of a commit among the kinds of records, which want that many
// keys. Each kind gets what it wants up to its share, and what is left goes to the kinds that
// want more, in the order of ends, new jobs and parts.
func divideCommit(keys int, wants [recordKinds]int) [recordKinds]int {
	var out [recordKinds]int
	left := keys
	for kind, want := range wants {
		out[kind] = min(want, keys*recordShares[kind]/totalShares)
		left -= out[kind]
	}
	for _, kind := range []int{changedStates, newJobs, changedParts} {
		more := min(wants[kind]-out[kind], left)
		out[kind] += more
		left -= more
	}
	return out
}
