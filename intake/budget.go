package intake

import (
	"slices"
	"sync"
	"time"
)

const (
	// stallGrace is how long a body may make no progress before it gives way to others.
	stallGrace = 500 * time.Millisecond
	// readGrace is how long a body that makes progress may take before it gives way to
	// others. Clients don't wait longer.
	readGrace = 3 * time.Second
	// takeTimeout is how long a body waits for room.
	takeTimeout = time.Second
	// smallShare is the part of the budget, as a divisor, that is left to small bodies, so
	// that large ones don't delay them.
	smallShare = 4
	// smallBytes is what a small body holds at most, with its copy.
	smallBytes = 2 * firstChunkBytes
)

// Budget is a number of bytes that bodies share while they are being read, or requests while
// they wait for their answers. It is safe for concurrent use.
type Budget struct {
	// size is zero if there is no bound.
	size int64

	mu   sync.Mutex
	held int64
	// leaving is the part of held that belongs to evicted claims.
	leaving int64
	claims  map[*Claim]struct{}
	// small and large hold the claims that wait for room, in the order of their arrival:
	// those of bodies of at most smallBytes, and the others.
	small, large []*waiter
	// timer evicts bodies while others wait; nil if none waits.
	timer *time.Timer
}

// waiter is a claim that waits for room.
type waiter struct {
	claim *Claim
	bytes int64
	// granted is closed once the claim holds the bytes.
	granted chan struct{}
}

// NewBudget returns a budget of size bytes; zero means no bound.
func NewBudget(size int64) *Budget { return &Budget{size: size, claims: make(map[*Claim]struct{})} }

// Held returns the bytes that are held, and the number of claims.
func (b *Budget) Held() (bytes int64, bodies int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.held, len(b.claims)
}

// Claim is the share of a body in a budget.
type Claim struct {
	budget *Budget
	// evict ends the reading of the body; ended is closed when it has ended early for
	// any reason.
	evict func()
	ended <-chan struct{}

	// The rest is guarded by the mutex of the budget.
	held            int64
	began, progress time.Time
	// waiting is set while the body waits for room, complete once it has been read whole,
	// and evicted once evict was called.
	waiting, complete, evicted bool
}

// Open returns the claim of a body that begins to arrive. The budget calls evict, which
// must not block, if the body has to give way. A closed ended ends the waiting for room.
func (b *Budget) Open(evict func(), ended <-chan struct{}) *Claim {
	now := time.Now()
	c := &Claim{budget: b, evict: evict, ended: ended, began: now, progress: now}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.claims[c] = struct{}{}
	return c
}

// Progress records that bytes of the body have arrived.
func (c *Claim) Progress() {
	c.budget.mu.Lock()
	defer c.budget.mu.Unlock()
	c.progress = time.Now()
}

// Complete records that the body has been read whole. It does not give way any more.
func (c *Claim) Complete() {
	c.budget.mu.Lock()
	defer c.budget.mu.Unlock()
	c.complete = true
}

// Return returns n bytes.
func (c *Claim) Return(n int64) {
	c.budget.mu.Lock()
	defer c.budget.mu.Unlock()
	c.giveBack(n)
}

// Close returns what the claim still holds, and ends it.
func (c *Claim) Close() {
	b := c.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	c.giveBack(c.held)
	delete(b.claims, c)
}

// giveBack returns n bytes and passes them on. The caller holds the mutex.
func (c *Claim) giveBack(n int64) {
	b := c.budget
	c.held -= n
	b.held -= n
	if c.evicted {
		b.leaving -= n
	}
	b.grant()
}

// Take takes n bytes, and waits for room if need be. It reports whether it got them.
func (c *Claim) Take(n int64) bool {
	w := c.enqueue(n)
	if w == nil {
		return true
	}
	timer := time.NewTimer(takeTimeout)
	defer timer.Stop()
	select {
	case <-w.granted:
	case <-timer.C:
	case <-c.ended:
	}
	return c.dequeue(w)
}

// tryTake takes n bytes if there is room, and reports whether there was.
func (c *Claim) tryTake(n int64) bool {
	b := c.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.fits(c, n) {
		return false
	}
	c.take(n)
	return true
}

// enqueue takes n bytes and returns nil, or returns a waiter if there is no room.
func (c *Claim) enqueue(n int64) *waiter {
	b := c.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	queue := &b.large
	if c.held+n <= smallBytes {
		queue = &b.small
	}
	if len(*queue) == 0 && b.fits(c, n) {
		c.take(n)
		return nil
	}
	c.waiting = true
	w := &waiter{claim: c, bytes: n, granted: make(chan struct{})}
	*queue = append(*queue, w)
	b.makeRoom()
	return w
}

// dequeue ends the waiting of a claim and reports whether it got its bytes.
func (c *Claim) dequeue(w *waiter) bool {
	b := c.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	c.waiting = false
	// The wait is not the client's.
	c.progress = time.Now()
	select {
	case <-w.granted:
		return true
	default:
	}
	same := func(other *waiter) bool { return other == w }
	b.small, b.large = slices.DeleteFunc(b.small, same), slices.DeleteFunc(b.large, same)
	b.grant()
	return false
}

// take takes n bytes. The caller holds the mutex.
func (c *Claim) take(n int64) {
	c.held += n
	c.budget.held += n
	if c.evicted {
		c.budget.leaving += n
	}
}

// fits reports whether a claim may take n bytes now. The only body that holds bytes may
// exceed the budget.
func (b *Budget) fits(c *Claim, n int64) bool {
	limit := b.size
	if c.held+n > smallBytes {
		limit = b.largeLimit()
	}
	return b.size == 0 || b.held == c.held || b.held+n <= limit
}

// largeLimit returns how many bytes may be held once a large body has taken some.
func (b *Budget) largeLimit() int64 { return b.size - b.size/smallShare }

// grant gives room to the claims that wait, in order. The caller holds b.mu.
func (b *Budget) grant() {
	for _, queue := range []*[]*waiter{&b.small, &b.large} {
		for len(*queue) > 0 && b.fits((*queue)[0].claim, (*queue)[0].bytes) {
			w := (*queue)[0]
			*queue = (*queue)[1:]
			w.claim.take(w.bytes)
			close(w.granted)
		}
	}
}

// makeRoom evicts bodies until those that remain leave room for the ones that wait. It
// runs again when a further body may be evicted. The caller holds b.mu.
func (b *Budget) makeRoom() {
	need := b.held - b.leaving - b.size
	for _, w := range b.small {
		need += w.bytes
	}
	if len(b.large) > 0 {
		need += b.size - b.largeLimit()
	}
	for _, w := range b.large {
		need += w.bytes
	}
	for need > 0 {
		victim, wait := b.victim(time.Now())
		if victim == nil {
			b.schedule(wait)
			return
		}
		victim.evicted = true
		b.leaving += victim.held
		need -= victim.held
		victim.evict()
	}
	// Other bodies may take the room first.
	b.schedule(stallGrace)
}

// schedule runs makeRoom after d unless it is to run anyway. The caller holds b.mu.
func (b *Budget) schedule(d time.Duration) {
	if b.timer != nil {
		return
	}
	b.timer = time.AfterFunc(d, func() {
		b.mu.Lock()
		defer b.mu.Unlock()
		b.timer = nil
		if len(b.small)+len(b.large) > 0 {
			b.makeRoom()
		}
	})
}

// victim returns the body that gives way to others: the one without progress for the
// longest time, or else the oldest. If none has to give way yet, it returns nil and how
// long to wait for one.
func (b *Budget) victim(now time.Time) (victim *Claim, wait time.Duration) {
	var stalled, oldest *Claim
	for c := range b.claims {
		if c.held == 0 || c.waiting || c.complete || c.evicted {
			continue
		}
		if stalled == nil || c.progress.Before(stalled.progress) {
			stalled = c
		}
		if oldest == nil || c.began.Before(oldest.began) {
			oldest = c
		}
	}
	if stalled == nil {
		return nil, stallGrace
	}
	untilStalled, untilOld := stallGrace-now.Sub(stalled.progress), readGrace-now.Sub(oldest.began)
	switch {
	case untilStalled <= 0:
		return stalled, 0
	case untilOld <= 0:
		return oldest, 0
	}
	return nil, min(untilStalled, untilOld)
}
