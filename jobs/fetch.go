package jobs

import (
	"context"
	"maps"
	"math/rand/v2"
	"net/netip"
	"time"

	"almondcove/mirror"
	"almondcove/store"
)

// Delays of fetches of the operators' records.
const (
	// fetchDelay is how long an entry leaves a change to the store after another entry
	// has reported it, and the shortest pause between two fetches. An entry that the store
	// does not reach has a change after statusInterval, fetchDelay, ownerFetchDelay and
	// the transfer, and the time limits of the fetches that fail before it.
	fetchDelay = 300 * time.Millisecond
	// ownerFetchDelay is how much longer an entry waits for a report of another entry
	// than the owner, which exchanges status with all entries.
	ownerFetchDelay = 100 * time.Millisecond
	// firstFetchDelay limits the delay for an entry that has no records yet. The delay is
	// random, so that entries that have started together do not all ask the first one
	// that has records.
	firstFetchDelay = 200 * time.Millisecond
	// maxFetchTimeout is the longest time limit of a fetch, after failures.
	maxFetchTimeout = 3 * statusTimeout
)

// fetchPlan decides when the operators' records are fetched from another entry, and from
// which one. Fetches are for entries that the store does not reach: each transfers all
// records, over links that may be slow.
type fetchPlan struct {
	// reports holds, by address, the last report of each other entry that may have newer
	// records than this one.
	reports map[netip.AddrPort]recordsReport
	// failures counts the fetches from each entry that have failed since missing was set.
	failures map[netip.AddrPort]int
	// missing is a reported revision that this entry did not have at missingSince. It is
	// outdated once this entry has it.
	missing      int64
	missingSince time.Time
	// firstDelay is a random time up to firstFetchDelay.
	firstDelay time.Duration
	// fetchedAt is when the last successful fetch ended.
	fetchedAt time.Time
}

// recordsReport is the revision of the operators' records that another entry reported.
type recordsReport struct {
	rev int64
	// at is when the entry first reported it.
	at time.Time
}

func newFetchPlan() *fetchPlan {
	return &fetchPlan{reports: make(map[netip.AddrPort]recordsReport), failures: make(map[netip.AddrPort]int)}
}

// report records which revision another entry has reported.
func (p *fetchPlan) report(from netip.AddrPort, rev int64, now time.Time) {
	if p.reports[from].rev != rev {
		p.reports[from] = recordsReport{rev: rev, at: now}
	}
}

// ended records the end of a fetch. The next one asks another entry, unless the same one
// reports again.
func (p *fetchPlan) ended(from netip.AddrPort, fetched bool, now time.Time) {
	delete(p.reports, from)
	if fetched {
		p.fetchedAt = now
	} else {
		p.failures[from]++
	}
}

// next returns the entry from which the records are to be fetched now. If that address is
// not valid, it returns when to ask again; the zero time means after the next report.
func (p *fetchPlan) next(own mirror.Snapshot, owner netip.AddrPort, now time.Time) (netip.AddrPort, time.Time) {
	maps.DeleteFunc(p.reports, func(_ netip.AddrPort, r recordsReport) bool { return r.rev <= own.Rev })
	if p.missing <= own.Rev {
		p.resetMissing()
	}
	if len(p.reports) == 0 {
		return netip.AddrPort{}, time.Time{}
	}
	from := p.source(owner)
	fetchAt := p.missingSince.Add(p.firstDelay)
	if own.Complete {
		fetchAt = p.missingSince
		if p.fetchedAt.After(fetchAt) {
			fetchAt = p.fetchedAt
		}
		fetchAt = fetchAt.Add(fetchDelay)
	}
	if from == owner {
		fetchAt = fetchAt.Add(ownerFetchDelay)
	}
	if now.Before(fetchAt) {
		return netip.AddrPort{}, fetchAt
	}
	return from, time.Time{}
}

// resetMissing sets missing and missingSince from the reports, all of which are of
// revisions that this entry does not have.
func (p *fetchPlan) resetMissing() {
	clear(p.failures)
	p.missing, p.firstDelay = 0, rand.N(firstFetchDelay)
	for _, r := range p.reports {
		if p.missing == 0 || r.at.Before(p.missingSince) {
			p.missingSince = r.at
		}
		p.missing = max(p.missing, r.rev)
	}
}

// source returns the entry to fetch from: one of those with the fewest failures, at random.
// Of these the owner is chosen only if there is no other.
func (p *fetchPlan) source(owner netip.AddrPort) netip.AddrPort {
	var best []netip.AddrPort
	bestRank := 0
	for address := range p.reports {
		rank := 2 * p.failures[address]
		if address == owner {
			rank++
		}
		switch {
		case len(best) == 0 || rank < bestRank:
			best, bestRank = []netip.AddrPort{address}, rank
		case rank == bestRank:
			best = append(best, address)
		}
	}
	return best[rand.IntN(len(best))]
}

// timeout returns the time limit of the next fetch. It increases with the failures, which
// may be due to large records on a slow link.
func (p *fetchPlan) timeout() time.Duration {
	failures := 0
	for _, n := range p.failures {
		failures += n
	}
	return min(time.Duration(1+failures)*statusTimeout, maxFetchTimeout)
}

// recordsChanges follows the revision of the last known change of the operators' records.
// The revision of a snapshot that was listed may be newer, and differs between entries
// with the same records.
type recordsChanges struct {
	items map[string]store.Item
	rev   int64
}

// update takes the next snapshot. Only a removed key is not seen in the revisions of the
// items.
func (c *recordsChanges) update(copied mirror.Snapshot) {
	for key := range c.items {
		if _, ok := copied.Items[key]; !ok {
			c.rev = max(c.rev, copied.Rev)
		}
	}
	for _, it := range copied.Items {
		c.rev = max(c.rev, it.Rev)
	}
	c.items = copied.Items
}

// reportRecords records which revision of the operators' records another entry has.
func (n *Node) reportRecords(from netip.AddrPort, rev int64) {
	n.mu.Lock()
	n.fetches.report(from, rev, time.Now())
	n.mu.Unlock()
	if rev > n.operatorRecords.Snapshot().Rev {
		select {
		case n.fetchTrigger <- struct{}{}:
		default:
		}
	}
}

// fetchLoop fetches the operators' records from other entries, one at a time.
func (n *Node) fetchLoop() {
	for n.ctx.Err() == nil {
		from, timeout, retryAt := n.nextFetch()
		if from.IsValid() {
			fetched := n.fetchOperatorRecords(from, timeout)
			n.mu.Lock()
			n.fetches.ended(from, fetched, time.Now())
			n.mu.Unlock()
			continue
		}
		var retry <-chan time.Time
		if !retryAt.IsZero() {
			retry = time.After(time.Until(retryAt))
		}
		select {
		case <-n.fetchTrigger:
		case <-retry:
		case <-n.ctx.Done():
		}
	}
}

func (n *Node) nextFetch() (from netip.AddrPort, timeout time.Duration, retryAt time.Time) {
	own := n.operatorRecords.Snapshot()
	o, _ := n.shard.Owner()
	n.mu.Lock()
	defer n.mu.Unlock()
	from, retryAt = n.fetches.next(own, o.Address, time.Now())
	return from, n.fetches.timeout(), retryAt
}

// fetchOperatorRecords copies the operators' records from another entry. It reports
// whether that entry has answered.
func (n *Node) fetchOperatorRecords(from netip.AddrPort, timeout time.Duration) bool {
	ctx, cancel := context.WithTimeout(n.ctx, timeout)
	defer cancel()
	items, rev, err := n.links.Fetch(ctx, from)
	if err != nil {
		n.config.Log.Warn("operators' records not fetched", "from", from, "error", err)
		return false
	}
	copied := mirror.Snapshot{Items: make(map[string]store.Item, len(items)), Rev: rev, Complete: true}
	for _, it := range items {
		copied.Items[it.Key] = it
	}
	n.config.Log.Info("operators' records fetched", "from", from, "revision", rev)
	n.operatorRecords.ReplaceIfNewer(copied)
	return true
}
