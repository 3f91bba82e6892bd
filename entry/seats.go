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

// The times of seats.
const (
	seatPause = 500 * time.Millisecond
	// seatPauseMost bounds the time between looks at a roll that can't be
	// improved now.
	seatPauseMost = 15 * time.Second
	// settleTime is how long an entry looks for others before its first claim.
	settleTime = 1500 * time.Millisecond
)

// seats holds the entry's seats in its data centre's part of the upper limits.
type seats struct {
	entry *Entry
	mu    sync.Mutex
	own   []int
	// giving are seats on their way back, which are no longer used.
	giving []int
	// seq is the highest position of the roll that was seen.
	seq uint64
}

// held returns the seats that the entry answers for, in use or not.
func (s *seats) held() []int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Concat(s.own, s.giving)
}

// usable returns the seats whose units may be used.
func (s *seats) usable() []int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.own)
}

func (s *seats) key() string {
	return s.entry.config.Prefix + "seat/" + s.entry.config.Self.Centre
}

// run claims and gives up seats until ctx ends.
func (s *seats) run(ctx context.Context) {
	wait := settleTime
	idle := seatPause
	for {
		if !delay.For(ctx, wait) {
			return
		}
		wait = seatPause
		if s.entry.Leaving() {
			continue
		}
		if s.step(ctx) {
			idle = seatPause
			continue
		}
		// Nothing could be improved: look less often.
		idle = min(2*idle, seatPauseMost)
		wait = idle
	}
}

// step does what is due and reports whether the seats are as they should be or
// changed towards it.
func (s *seats) step(ctx context.Context) bool {
	live, announced := s.census()
	least, most := limit.FairSeats(len(live) + 1)
	own := s.held()
	if s.isGiving() {
		return s.give(ctx)
	}
	poor := slices.ContainsFunc(live, func(p peer.Peer) bool { return len(p.Seats) < least })
	if len(own) > least && poor {
		s.withdraw(len(own) - least)
		return s.give(ctx)
	}
	if announced < limit.SeatsPerCentre {
		target := most
		if poor {
			target = least
		}
		return s.claim(ctx, target-len(own))
	}
	return true
}

// census returns the live entries of the data centre and how many seats they
// and the entry announce.
func (s *seats) census() (live []peer.Peer, announced int) {
	now := time.Now()
	announced = len(s.held())
	for _, p := range s.entry.mesh.Peers() {
		if p.From.Centre == s.entry.config.Self.Centre && p.Live(now) {
			live = append(live, p)
			announced += len(p.Seats)
		}
	}
	return live, announced
}

// claim takes up to want vacant seats. With want of zero it still takes what
// nobody else may take soon: the seats of the dead.
func (s *seats) claim(ctx context.Context, want int) bool {
	kv, roll, err := s.read(ctx)
	if err != nil {
		return false
	}
	if !s.recorded(roll) {
		s.mend(ctx, kv, roll, roll.Seq)
		return true
	}
	s.meet(roll)
	free := s.freeSeats()
	next, taken := roll.Claim(s.me(), max(want, 0), free)
	if len(taken) == 0 {
		return false
	}
	if !s.write(ctx, kv, next) {
		return true
	}
	s.mu.Lock()
	s.own = append(s.own, taken...)
	slices.Sort(s.own)
	s.mu.Unlock()
	s.changed("claim", taken)
	return true
}

// meet makes the mesh look at the holders of the roll, which may be long dead.
func (s *seats) meet(roll limit.SeatAssignment) {
	var members []peer.Member
	for _, h := range roll.Seats {
		if a, err := netip.ParseAddrPort(h.Address); err == nil && a != s.entry.config.Self.Address {
			members = append(members, peer.Member{Name: h.Name, Centre: s.entry.config.Self.Centre, Address: a, Run: h.Run})
		}
	}
	s.entry.mesh.Learn(members)
}

// freeSeats returns the test for a seat that may be claimed: it is vacant, or
// its holder is proved dead and all that it lent or started has ended; and no
// entry says that it holds it.
func (s *seats) freeSeats() func(int, limit.Holder) bool {
	taken := make(map[int]bool)
	ended := s.entry.ended()
	for _, p := range s.entry.mesh.Peers() {
		if p.From.Centre != s.entry.config.Self.Centre || !p.Dead.IsZero() {
			continue
		}
		delete(ended, p.From.Run)
		for _, seat := range p.Seats {
			taken[seat] = true
		}
	}
	self := s.entry.config.Self
	now := time.Now()
	wait := loanTerm + 2*limit.ClockMargin
	s.entry.work.read(func(core *dispatch.Core, _ time.Time) { wait += core.Book().MaxTaskTime() })
	return func(seat int, by limit.Holder) bool {
		if taken[seat] {
			return false
		}
		if by.Run == "" {
			return true
		}
		at, dead := ended[by.Run]
		if by.Address == self.Address.String() {
			// The holder listened where this entry listens now.
			at, dead = s.entry.started, true
		}
		return dead && now.Sub(at) > wait
	}
}

// withdraw stops using n seats, which are then given back.
func (s *seats) withdraw(n int) {
	s.mu.Lock()
	n = min(n, len(s.own))
	s.giving = append(s.giving, s.own[len(s.own)-n:]...)
	s.own = s.own[:len(s.own)-n]
	s.mu.Unlock()
	s.entry.configureDispatcher()
}

func (s *seats) isGiving() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.giving) > 0
}

// give vacates the seats on their way back, once what was lent and started
// under them fits into the others.
func (s *seats) give(ctx context.Context) bool {
	if !s.settled() {
		return true
	}
	kv, roll, err := s.read(ctx)
	if err != nil {
		return false
	}
	s.mu.Lock()
	giving := slices.Clone(s.giving)
	s.mu.Unlock()
	run := s.entry.config.Self.Run
	next := roll.Vacate(run, giving)
	if !s.write(ctx, kv, next) {
		return true
	}
	s.mu.Lock()
	s.giving = nil
	s.mu.Unlock()
	s.changed("vacate", giving)
	return true
}

// settled reports whether every team fits into the seats in use.
func (s *seats) settled() bool {
	cfg := s.entry.keeper.now()
	centres := cfg.CentreNames()
	usable := s.usable()
	ok := true
	s.entry.work.read(func(core *dispatch.Core, now time.Time) {
		for name, t := range cfg.Teams {
			own := limit.Part(t.Limit, centres, s.entry.config.Self.Centre, usable)
			ok = ok && core.Book().FitsWithin(name, own, now)
		}
	})
	return ok
}

func (s *seats) me() limit.Holder {
	self := s.entry.config.Self
	return limit.Holder{Run: self.Run, Name: self.Name, Address: self.Address.String()}
}

// read returns the roll. One that is older than what was seen, since the
// platform lost history, is mended and not used this time.
func (s *seats) read(ctx context.Context) (etcd.KV, limit.SeatAssignment, error) {
	kv, err := s.entry.platform.Get(ctx, s.key())
	if err != nil {
		return kv, limit.SeatAssignment{}, err
	}
	var roll limit.SeatAssignment
	if kv.Mod > 0 {
		if err := json.Unmarshal(kv.Value, &roll); err != nil {
			return kv, roll, &fleet.UnreadableRecordError{Key: s.key(), Reason: err.Error()}
		}
	}
	s.mu.Lock()
	seen := s.seq
	s.seq = max(s.seq, roll.Seq)
	s.mu.Unlock()
	s.entry.metrics.setAlarm("seats", roll.Seq < seen)
	if roll.Seq < seen {
		s.mend(ctx, kv, roll, seen)
		return kv, roll, &Rewound{Held: seen, Platform: roll.Seq}
	}
	return kv, roll, nil
}

// mend writes what the entry knows into a roll that lost history.
func (s *seats) mend(ctx context.Context, kv etcd.KV, roll limit.SeatAssignment, seen uint64) {
	own := s.held()
	if s.write(ctx, kv, roll.Repair(s.me(), own, s.announced(), seen)) {
		s.entry.note(timeline.Event{Kind: "mend", Note: strconv.Itoa(len(own)) + " seats"})
	}
}

// announced returns who in the data centre last said that it holds each seat.
func (s *seats) announced() map[int]limit.Holder {
	out := make(map[int]limit.Holder)
	now := time.Now()
	for _, live := range []bool{false, true} {
		for _, p := range s.entry.mesh.Peers() {
			if p.From.Centre != s.entry.config.Self.Centre || p.Live(now) != live {
				continue
			}
			for _, seat := range p.Seats {
				out[seat] = limit.Holder{Run: p.From.Run, Name: p.From.Name, Address: p.From.Address.String()}
			}
		}
	}
	return out
}

// recorded reports whether the roll says that the entry holds its seats.
func (s *seats) recorded(roll limit.SeatAssignment) bool {
	held := s.held()
	slices.Sort(held)
	return slices.Equal(roll.SeatsOf(s.entry.config.Self.Run), held)
}

// write stores the roll if it is still as it was read. After a lost answer the
// record itself says whether the write took effect.
func (s *seats) write(ctx context.Context, kv etcd.KV, next limit.SeatAssignment) bool {
	value, err := json.Marshal(next)
	if err != nil {
		return false
	}
	done, err := s.entry.platform.Commit(ctx, etcd.TxnRequest{
		Compare: []etcd.Compare{etcd.Unchanged(kv)},
		Success: []etcd.Op{etcd.Put(s.key(), value)},
	})
	if err == nil {
		return done.Succeeded
	}
	if _, ok := errors.Into[*etcd.Uncertain](err); !ok {
		return false
	}
	for range 20 {
		now, err := s.entry.platform.Get(ctx, s.key())
		if err == nil {
			return s.tookEffect(now, next)
		}
		if !delay.For(ctx, seatPause) {
			break
		}
	}
	return false
}

// tookEffect reports whether the roll in the platform follows from next as far
// as the entry's own seats go.
func (s *seats) tookEffect(kv etcd.KV, next limit.SeatAssignment) bool {
	var roll limit.SeatAssignment
	if kv.Mod == 0 || json.Unmarshal(kv.Value, &roll) != nil || roll.Seq < next.Seq {
		return false
	}
	run := s.entry.config.Self.Run
	return slices.Equal(roll.SeatsOf(run), next.SeatsOf(run))
}

// changed puts a change of the seats in force.
func (s *seats) changed(kind string, which []int) {
	s.entry.configureDispatcher()
	words := make([]string, 0, len(which))
	for _, n := range which {
		words = append(words, itoa(uint64(n)))
	}
	s.entry.note(timeline.Event{Kind: kind, Note: "seats " + strings.Join(words, " ")})
	s.entry.mesh.Kick()
}

// release gives all seats back, until ctx ends.
func (s *seats) release(ctx context.Context) {
	s.withdraw(limit.SeatsPerCentre)
	for s.isGiving() {
		s.give(ctx)
		if s.isGiving() && !delay.For(ctx, seatPause/5) {
			return
		}
	}
}
