package carrier

const (
	// maxBatchBytes bounds a batch, which may exceed it only with a single call or reply. It
	// keeps batches far below the size of a message that streams accept.
	maxBatchBytes = 512 << 10
	// rowBytes is the estimated size of a row of a report or of an order, without what a
	// caller has submitted.
	rowBytes = 128
)

// divide splits a list into batches of at most maxBatchBytes each.
func divide[T any](list []T, size func(T) int) [][]T {
	var out [][]T
	first, bytes := 0, 0
	for i, item := range list {
		n := size(item)
		if i > first && bytes+n > maxBatchBytes {
			out = append(out, list[first:i])
			first, bytes = i, 0
		}
		bytes += n
	}
	if first < len(list) {
		out = append(out, list[first:])
	}
	return out
}

// size returns the estimated size of a call in bytes.
func (c Call) size() int {
	if s, ok := c.Order.(Start); ok {
		return rowBytes + len(s.Spec) + len(s.Checkpoint)
	}
	return rowBytes
}

// size returns the estimated size of a reply in bytes.
func (r Reply) size() int {
	n := rowBytes * (1 + len(r.Report.Running) + len(r.Report.Ended))
	for _, p := range r.Report.Running {
		n += len(p.Checkpoint)
	}
	for _, e := range r.Report.Ended {
		n += len(e.Checkpoint)
	}
	return n
}
