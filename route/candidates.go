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
func (vm *vmState) isCandidate() bool {
	if !vm.Serves || vm.suspect || !vm.pausedUntil.IsZero() {
		return false
	}
	if vm.quarantined {
		return vm.ownTasks == 0
	}
	return vm.ownTasks < vm.Slots
}

// updateCandidate adds the VM to the candidates of its pool or removes it from them,
// according to its present state.
func (t *Table) updateCandidate(vm *vmState) {
	if vm.isCandidate() == (vm.candidateIndex >= 0) {
		return
	}
	if vm.candidateIndex >= 0 {
		t.removeCandidate(vm)
		return
	}
	t.addCandidate(vm)
}

// addCandidate adds the VM to the candidates of its pool if it may take a task and
// is not yet among them.
func (t *Table) addCandidate(vm *vmState) {
	if vm.candidateIndex >= 0 || !vm.isCandidate() {
		return
	}
	vm.tier = t.tierOf(vm)
	list := &vm.pool.candidates[vm.tier]
	vm.candidateIndex = len(*list)
	*list = append(*list, vm)
}

// removeCandidate removes the VM from the candidates of its pool, if it is among
// them.
func (t *Table) removeCandidate(vm *vmState) {
	if vm.candidateIndex < 0 {
		return
	}
	list := &vm.pool.candidates[vm.tier]
	last := (*list)[len(*list)-1]
	(*list)[vm.candidateIndex] = last
	last.candidateIndex = vm.candidateIndex
	*list = (*list)[:len(*list)-1]
	vm.candidateIndex = -1
}

func (t *Table) tierOf(vm *vmState) int {
	switch {
	case vm.Delisted:
		return tierDelisted
	case vm.Centre == t.centre:
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
	vm := x.(*vmState)
	vm.pauseIndex = len(*h)
	*h = append(*h, vm)
}

func (h *pauseHeap) Pop() any {
	old := *h
	vm := old[len(old)-1]
	*h = old[:len(old)-1]
	vm.pauseIndex = -1
	return vm
}
