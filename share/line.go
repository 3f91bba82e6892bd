package share

func (l *line) insert(it *Item, front bool) {
	it.line = l
	l.size++
	switch {
	case l.first == nil:
		l.first, l.last = it, it
	case front:
		it.next, l.first.prev = l.first, it
		l.first = it
	default:
		it.prev, l.last.next = l.last, it
		l.last = it
	}
}

func (l *line) remove(it *Item) {
	if it.prev != nil {
		it.prev.next = it.next
	} else {
		l.first = it.next
	}
	if it.next != nil {
		it.next.prev = it.prev
	} else {
		l.last = it.prev
	}
	it.line, it.prev, it.next = nil, nil, nil
	l.size--
}

// lineHeap orders lines by virtual time and then by name.
type lineHeap []*line

func (h lineHeap) Len() int { return len(h) }

func (h lineHeap) Less(i, j int) bool {
	if h[i].turn.virtual != h[j].turn.virtual {
		return h[i].turn.virtual < h[j].turn.virtual
	}
	return h[i].team < h[j].team
}

func (h lineHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index = i
	h[j].index = j
}

func (h *lineHeap) Push(x any) {
	l := x.(*line)
	l.index = len(*h)
	*h = append(*h, l)
}

func (h *lineHeap) Pop() any {
	old := *h
	l := old[len(old)-1]
	*h = old[:len(old)-1]
	l.index = -1
	return l
}
