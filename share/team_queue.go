package share

// insert adds the item at the front or at the back.
func (tq *teamQueue) insert(it *Item, front bool) {
	it.teamQueue = tq
	tq.size++
	switch {
	case tq.first == nil:
		tq.first, tq.last = it, it
	case front:
		it.next, tq.first.prev = tq.first, it
		tq.first = it
	default:
		it.prev, tq.last.next = tq.last, it
		tq.last = it
	}
}

func (tq *teamQueue) remove(it *Item) {
	if it.prev != nil {
		it.prev.next = it.next
	} else {
		tq.first = it.next
	}
	if it.next != nil {
		it.next.prev = it.prev
	} else {
		tq.last = it.prev
	}
	it.teamQueue, it.prev, it.next = nil, nil, nil
	tq.size--
}

// teamHeap orders team queues by their team's virtual time and then by its name.
type teamHeap []*teamQueue

func (h teamHeap) Len() int { return len(h) }

func (h teamHeap) Less(i, j int) bool {
	if h[i].clock.virtualTime != h[j].clock.virtualTime {
		return h[i].clock.virtualTime < h[j].clock.virtualTime
	}
	return h[i].team < h[j].team
}

func (h teamHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex = i
	h[j].heapIndex = j
}

func (h *teamHeap) Push(x any) {
	tq := x.(*teamQueue)
	tq.heapIndex = len(*h)
	*h = append(*h, tq)
}

func (h *teamHeap) Pop() any {
	old := *h
	tq := old[len(old)-1]
	*h = old[:len(old)-1]
	tq.heapIndex = -1
	return tq
}
