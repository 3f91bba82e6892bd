package entry

import (
	"context"
	"encoding/json"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"almondcove/delay"
	"almondcove/dispatch"
	"almondcove/etcd"
	"almondcove/fleet"
	"almondcove/limit"
	"almondcove/peer"
	"almondcove/timeline"
)

// Intervals and delays of seat claiming.
const (
	// seatCheckInterval is the time between rebalancing rounds without backoff, and
	// between attempts to read back a write whose answer was lost.
	seatCheckInterval = 500 * time.Millisecond
	// maxSeatCheckInterval bounds the backoff between rounds that fail to read the
	// seat record or find no seat to claim.
	maxSeatCheckInterval = 15 * time.Second
	// firstSeatClaimDelay gives the mesh time to find other entries before the
	// first claim.
	firstSeatClaimDelay = 1500 * time.Millisecond
)

// seats claims and releases the entry's seats. The units that the upper limits give
// to a data centre are divided into limit.SeatsPerCentre seats of nearly equal size.
// An entry may use the units of the seats that it holds. The seat record in the
// platform says which entry holds each seat, and changes only by compare-and-swap.
type seats struct {
	entry *Entry
	mu    sync.Mutex
	// active holds the seats whose units may be used.
	active []int
	// releasing holds seats that are no longer used but not yet vacated in the
	// record.
	releasing []int
	// recordSeq is the highest sequence number of the record that was read.
	recordSeq uint64
}

// held returns all seats that the entry holds: those in use and those being
// released.
func (s *seats) held() []int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Concat(s.active, s.releasing)
}

// usable returns the seats whose units may be used.
func (s *seats) usable() []int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.active)
}

func (s *seats) recordKey() string {
	return s.entry.config.Prefix + "seat/" + s.entry.config.Self.Centre
}

// run claims and releases seats until ctx ends.
func (s *seats) run(ctx context.Context) {
	wait := firstSeatClaimDelay
	backoff := seatCheckInterval
	for {
		if !delay.Sleep(ctx, wait) {
			return
		}
		wait = seatCheckInterval
		if s.entry.Leaving() {
			continue
		}
		if s.rebalance(ctx) {
			backoff = seatCheckInterval
			continue
		}
		// No progress is possible now: back off.
		backoff = min(2*backoff, maxSeatCheckInterval)
		wait = backoff
	}
}

// rebalance takes the next step towards an even distribution of seats. It reports
// false when the seat record could not be read or it found no seat to claim, so that
// the caller backs off.
func (s *seats) rebalance(ctx context.Context) bool {
	live, announced := s.livePeersAndSeats()
	least, most := limit.FairSeats(len(live) + 1)
	own := s.held()
	if s.isReleasing() {
		return s.finishRelease(ctx)
	}
	peerBelowFair := slices.ContainsFunc(live, func(p peer.Peer) bool { return len(p.Seats) < least })
	if len(own) > least && peerBelowFair {
		s.beginRelease(len(own) - least)
		return s.finishRelease(ctx)
	}
	if announced < limit.SeatsPerCentre {
		target := most
		if peerBelowFair {
			target = least
		}
		return s.claimSeats(ctx, target-len(own))
	}
	return true
}

// livePeersAndSeats returns the live peers in the data centre and the number of
// seats that they and this entry announce.
func (s *seats) livePeersAndSeats() (live []peer.Peer, announced int) {
	now := time.Now()
	announced = len(s.held())
	for _, p := range s.entry.mesh.Peers() {
		if p.Identity.Centre == s.entry.config.Self.Centre && p.Live(now) {
			live = append(live, p)
			announced += len(p.Seats)
		}
	}
	return live, announced
}

// claimSeats claims up to count seats that are vacant or whose holders are dead.
// It reports false when the record could not be read or it found no seat to claim.
// When count is zero or less it claims nothing, but still repairs a record that
// doesn't match and adds the holders to the mesh.
func (s *seats) claimSeats(ctx context.Context, count int) bool {
	kv, record, err := s.readRecord(ctx)
	if err != nil {
		return false
	}
	if !s.recordMatches(record) {
		s.repairRecord(ctx, kv, record, record.Seq)
		return true
	}
	s.learnHolders(record)
	claimable := s.claimableSeatFunc()
	next, taken := record.Claim(s.selfHolder(), max(count, 0), claimable)
	if len(taken) == 0 {
		return false
	}
	if !s.writeRecord(ctx, kv, next) {
		return true
	}
	s.mu.Lock()
	s.active = append(s.active, taken...)
	slices.Sort(s.active)
	s.mu.Unlock()
	s.publishChange("claim", taken)
	return true
}

// learnHolders makes the mesh contact the holders in the record, since a holder
// may have been dead for long and only an attempt to contact it proves that. It leaves
// out those that are known to be dead, such as an entry that operators have removed.
func (s *seats) learnHolders(record limit.SeatAssignment) {
	var members []peer.Member
	deadSince := s.entry.deadSince()
	for _, h := range record.Seats {
		if _, dead := deadSince[h.Run]; dead {
			continue
		}
		if a, err := netip.ParseAddrPort(h.Address); err == nil && a != s.entry.config.Self.Address {
			members = append(members, peer.Member{Name: h.Name, Centre: s.entry.config.Self.Centre, Address: a, Run: h.Run})
		}
	}
	s.entry.mesh.AddMembers(members)
}

// claimableSeatFunc returns a predicate for seats that may be claimed. A seat is
// claimable when no peer announces it and it is either vacant or held by a run that
// was proved dead so long ago that every loan and task of that run has ended.
func (s *seats) claimableSeatFunc() func(int, limit.Holder) bool {
	announced := make(map[int]bool)
	deadSince := s.entry.deadSince()
	for _, p := range s.entry.mesh.Peers() {
		if p.Identity.Centre != s.entry.config.Self.Centre || !p.DeadSince.IsZero() {
			continue
		}
		// A run that the mesh holds without proof of death may be alive after all.
		delete(deadSince, p.Identity.Run)
		for _, seat := range p.Seats {
			announced[seat] = true
		}
	}
	self := s.entry.config.Self
	now := time.Now()
	gracePeriod := loanTerm + 2*limit.ClockMargin
	s.entry.taskDispatcher.read(func(core *dispatch.Core, _ time.Time) { gracePeriod += core.Book().MaxTaskTime() })
	return func(seat int, holder limit.Holder) bool {
		if announced[seat] {
			return false
		}
		if holder.Run == "" {
			return true
		}
		since, dead := deadSince[holder.Run]
		if holder.Address == self.Address.String() {
			// This entry listens on the holder's address, so the holder has
			// ended, at the latest when this entry started.
			since, dead = s.entry.started, true
		}
		return dead && now.Sub(since) > gracePeriod
	}
}

// beginRelease stops the use of n seats; finishRelease vacates them later.
func (s *seats) beginRelease(n int) {
	s.mu.Lock()
	n = min(n, len(s.active))
	s.releasing = append(s.releasing, s.active[len(s.active)-n:]...)
	s.active = s.active[:len(s.active)-n]
	s.mu.Unlock()
	s.entry.configureDispatcher()
}

func (s *seats) isReleasing() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.releasing) > 0
}

// finishRelease vacates the seats being released once the units that are lent
// or used by running tasks fit into the remaining seats. It reports false when
// the record could not be read.
func (s *seats) finishRelease(ctx context.Context) bool {
	if !s.activeSeatsSuffice() {
		return true
	}
	kv, record, err := s.readRecord(ctx)
	if err != nil {
		return false
	}
	s.mu.Lock()
	releasing := slices.Clone(s.releasing)
	s.mu.Unlock()
	run := s.entry.config.Self.Run
	next := record.Vacate(run, releasing)
	if !s.writeRecord(ctx, kv, next) {
		return true
	}
	s.mu.Lock()
	s.releasing = nil
	s.mu.Unlock()
	s.publishChange("vacate", releasing)
	return true
}

// activeSeatsSuffice reports whether, for every team, the active seats cover the units
// that are lent or used by running tasks.
func (s *seats) activeSeatsSuffice() bool {
	cfg := s.entry.configStore.effective()
	centres := cfg.CentreNames()
	usable := s.usable()
	ok := true
	s.entry.taskDispatcher.read(func(core *dispatch.Core, now time.Time) {
		for name, t := range cfg.Teams {
			own := limit.Part(t.Limit, centres, s.entry.config.Self.Centre, usable)
			ok = ok && core.Book().FitsWithin(name, own, now)
		}
	})
	return ok
}

func (s *seats) selfHolder() limit.Holder {
	self := s.entry.config.Self
	return limit.Holder{Run: self.Run, Name: self.Name, Address: self.Address.String()}
}

// readRecord returns the seat record. A record older than one read before means that
// the platform has lost history. In this case readRecord repairs the record and
// returns *Rewound; the next round reads it again.
func (s *seats) readRecord(ctx context.Context) (etcd.KV, limit.SeatAssignment, error) {
	kv, err := s.entry.platform.Get(ctx, s.recordKey())
	if err != nil {
		return kv, limit.SeatAssignment{}, err
	}
	var record limit.SeatAssignment
	if kv.ModRevision > 0 {
		if err := json.Unmarshal(kv.Value, &record); err != nil {
			return kv, record, &fleet.UnreadableRecordError{Key: s.recordKey(), Reason: err.Error()}
		}
	}
	s.mu.Lock()
	highest := s.recordSeq
	s.recordSeq = max(s.recordSeq, record.Seq)
	s.mu.Unlock()
	s.entry.metrics.setAlarm("seats", record.Seq < highest)
	if record.Seq < highest {
		s.repairRecord(ctx, kv, record, highest)
		return kv, record, &Rewound{Held: highest, Platform: record.Seq}
	}
	return kv, record, nil
}

// repairRecord restores a record that lost history, from the seats that this
// entry holds and those that its peers announce. The parameter highest is the
// highest sequence number that was read.
func (s *seats) repairRecord(ctx context.Context, kv etcd.KV, record limit.SeatAssignment, highest uint64) {
	own := s.held()
	if s.writeRecord(ctx, kv, record.Repair(s.selfHolder(), own, s.announcedHolders(), highest)) {
		s.entry.recordEvent(timeline.Event{Kind: "mend", Note: strconv.Itoa(len(own)) + " seats"})
	}
}

// announcedHolders returns, for each announced seat, the peer in the data centre whose
// last announcement contains it. A live peer takes precedence over one that is not.
func (s *seats) announcedHolders() map[int]limit.Holder {
	out := make(map[int]limit.Holder)
	now := time.Now()
	for _, live := range []bool{false, true} {
		for _, p := range s.entry.mesh.Peers() {
			if p.Identity.Centre != s.entry.config.Self.Centre || p.Live(now) != live {
				continue
			}
			for _, seat := range p.Seats {
				out[seat] = limit.Holder{Run: p.Identity.Run, Name: p.Identity.Name, Address: p.Identity.Address.String()}
			}
		}
	}
	return out
}

// recordMatches reports whether the record lists exactly the seats that the entry
// holds.
func (s *seats) recordMatches(record limit.SeatAssignment) bool {
	held := s.held()
	slices.Sort(held)
	return slices.Equal(record.SeatsOf(s.entry.config.Self.Run), held)
}

// writeRecord replaces the record if it is unchanged since it was read as kv, and
// reports whether the write took effect. When the answer is lost, it reads the
// record back to find out.
func (s *seats) writeRecord(ctx context.Context, kv etcd.KV, next limit.SeatAssignment) bool {
	value, err := json.Marshal(next)
	if err != nil {
		return false
	}
	done, err := s.entry.platform.Commit(ctx, etcd.TxnRequest{
		Compare: []etcd.Compare{etcd.Unchanged(kv)},
		Success: []etcd.Op{etcd.OpPut(s.recordKey(), value)},
	})
	if err == nil {
		return done.Succeeded
	}
	if _, ok := errors.Into[*etcd.Uncertain](err); !ok {
		return false
	}
	// 20 attempts without an answer take at least 10 s.
	for range 20 {
		now, err := s.entry.platform.Get(ctx, s.recordKey())
		if err == nil {
			return s.tookEffect(now, next)
		}
		if !delay.Sleep(ctx, seatCheckInterval) {
			break
		}
	}
	return false
}

// tookEffect reports whether the record kv is next or a later one in which the
// entry holds the same seats as in next.
func (s *seats) tookEffect(kv etcd.KV, next limit.SeatAssignment) bool {
	var record limit.SeatAssignment
	if kv.ModRevision == 0 || json.Unmarshal(kv.Value, &record) != nil || record.Seq < next.Seq {
		return false
	}
	run := s.entry.config.Self.Run
	return slices.Equal(record.SeatsOf(run), next.SeatsOf(run))
}

// publishChange passes the usable seats to the dispatcher, tells the peers, and records
// an event of the given kind that names the changed seats.
func (s *seats) publishChange(kind string, changed []int) {
	s.entry.configureDispatcher()
	numbers := make([]string, 0, len(changed))
	for _, n := range changed {
		numbers = append(numbers, itoa(uint64(n)))
	}
	s.entry.recordEvent(timeline.Event{Kind: kind, Note: "seats " + strings.Join(numbers, " ")})
	s.entry.mesh.TriggerHeartbeats()
}

// releaseAll releases all seats. It returns when they are vacated or ctx ends.
func (s *seats) releaseAll(ctx context.Context) {
	s.beginRelease(limit.SeatsPerCentre)
	for s.isReleasing() {
		s.finishRelease(ctx)
		if s.isReleasing() && !delay.Sleep(ctx, seatCheckInterval/5) {
			return
		}
	}
}
