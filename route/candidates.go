package route

// The tiers of candidates. A VM of a later tier is used only when the earlier tiers
// have no candidate.
const (
	// tierLocal holds listed VMs of the table's own data centre.
	tierLocal = iota
	// tierRemote holds listed VMs of other data centres.
	tierRemote
	// tierDelisted holds VMs that the platform's list no longer shows.
	tierDelisted
)

// isCandidate reports whether the VM may take one more task. A quarantined VM takes
// only one task at a time, as a probe.
func (m *vmState) isCandidate() bool {
	if !m.Serves || m.suspect || !m.pausedUntil.IsZero() {
		return false
	}
	if m.quarantined {
		return m.ownTasks == 0
	}
	return m.ownTasks < m.Slots
}

// updateCandidate adds the VM to the candidates of its pool or removes it from them,
// according to its present state.
func (t *Table) updateCandidate(m *vmState) {
	if m.isCandidate() == (m.candidateIndex >= 0) {
		return
	}
	if m.candidateIndex >= 0 {
		t.removeCandidate(m)
		return
	}
	t.addCandidate(m)
}

// addCandidate adds the VM to the candidates of its pool if it may take a task and
// is not yet among them.
func (t *Table) addCandidate(m *vmState) {
	if m.candidateIndex >= 0 || !m.isCandidate() {
		return
	}
	m.tier = t.tierOf(m)
	list := &m.pool.candidates[m.tier]
	m.candidateIndex = len(*list)
	*list = append(*list, m)
}

// removeCandidate removes the VM from the candidates of its pool, if it is among
// them.
func (t *Table) removeCandidate(m *vmState) {
	if m.candidateIndex < 0 {
		return
	}
	list := &m.pool.candidates[m.tier]
	last := (*list)[len(*list)-1]
	(*list)[m.candidateIndex] = last
	last.candidateIndex = m.candidateIndex
	*list = (*list)[:len(*list)-1]
	m.candidateIndex = -1
}

func (t *Table) tierOf(m *vmState) int {
	switch {
	case m.Delisted:
		return tierDelisted
	case m.Centre == t.centre:
		return tierLocal
	default:
		return tierRemote
	}
}

// pauseHeap is a heap of paused VMs, ordered by the ends of their pauses.
type pauseHeap []*vmState

func (h pauseHeap) Len() int           { return len(h) }
func (h pauseHeap) Less(i, j int) bool { return h[i].pausedUntil.Before(h[j].pausedUntil) }

func (h pauseHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].pauseIndex = i
	h[j].pauseIndex = j
}

func (h *pauseHeap) Push(x any) {
	m := x.(*vmState)
	m.pauseIndex = len(*h)
	*h = append(*h, m)
}

func (h *pauseHeap) Pop() any {
	old := *h
	m := old[len(old)-1]
	*h = old[:len(old)-1]
	m.pauseIndex = -1
	return m
}
