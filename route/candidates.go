package route

// The tiers of candidates, in the order in which they are used.
const (
	near = iota
	far
	unseen
)

// candidate reports whether the VM may take one more task.
func (m *vm) candidate() bool {
	if !m.Serves || m.suspect || !m.until.IsZero() {
		return false
	}
	if m.aside {
		return m.own == 0
	}
	return m.own < m.Slots
}

// replace puts the VM in or out of its pool's candidates after a change.
func (t *Table) replace(m *vm) {
	if m.candidate() == (m.index >= 0) {
		return
	}
	if m.index >= 0 {
		t.leave(m)
		return
	}
	t.place(m)
}

func (t *Table) place(m *vm) {
	if m.index >= 0 || !m.candidate() {
		return
	}
	m.tier = t.tierOf(m)
	list := &m.pool.free[m.tier]
	m.index = len(*list)
	*list = append(*list, m)
}

func (t *Table) leave(m *vm) {
	if m.index < 0 {
		return
	}
	list := &m.pool.free[m.tier]
	last := (*list)[len(*list)-1]
	(*list)[m.index] = last
	last.index = m.index
	*list = (*list)[:len(*list)-1]
	m.index = -1
}

func (t *Table) tierOf(m *vm) int {
	switch {
	case m.Unseen:
		return unseen
	case m.Centre == t.centre:
		return near
	default:
		return far
	}
}

// timedHeap orders paused VMs by the end of their pause.
type timedHeap []*vm

func (h timedHeap) Len() int           { return len(h) }
func (h timedHeap) Less(i, j int) bool { return h[i].until.Before(h[j].until) }

func (h timedHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].timed = i
	h[j].timed = j
}

func (h *timedHeap) Push(x any) {
	m := x.(*vm)
	m.timed = len(*h)
	*h = append(*h, m)
}

func (h *timedHeap) Pop() any {
	old := *h
	m := old[len(old)-1]
	*h = old[:len(old)-1]
	m.timed = -1
	return m
}
