// Package shard elects the entry that owns the jobs and tracks the registered
// entries. A shard is the set of jobs that are stored under one key prefix and have
// one owner.
//
// Each entry registers itself under a lease. The owner is the entry that the owner
// key names, and that key is attached to the owner's lease. The transaction that
// writes the owner key also writes the ledger's tail with the next epoch, which
// fences off commits of the previous owner.
//
// An owner acts only while [Shard.HoldsOwnership] returns true. Each lease renewal
// lets it act for slightly less than the lease's time to live, measured by a clock
// that keeps counting while the machine is suspended. If the owner can't renew its
// lease, it may continue only while every other entry has given a pledge, which is a
// promise not to campaign for a limited time.
//
// # Usage
//
//	s := shard.New(shard.Config{Store: st, Prefix: "almondcove/", Self: self, Elected: take, Deposed: stop})
//	defer s.Close()
//	if owner, ok := s.Owner(); ok && s.HoldsOwnership() {
//		// owner.Name == self.Name: send orders under owner.Epoch
//	}
package shard

import (
	"context"
	"net/netip"
	"strconv"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"almondcove/ledger"
	"almondcove/store"
)

// The timing of leases, elections and pledges.
const (
	// TTL is how long an entry stays registered without renewing its lease. The
	// other entries elect a new owner once the lease of a silent owner has expired.
	TTL = 2 * time.Second
	// safetyMargin is what an owner subtracts from the lifetime of its lease and of
	// the pledges that it has received, so that it stops before they expire.
	safetyMargin = 200 * time.Millisecond
	// renewInterval allows four renewal attempts within TTL.
	renewInterval = 400 * time.Millisecond
	// callTimeout bounds one call to the store.
	callTimeout = 1200 * time.Millisecond
	// watchWait is how long one watch call waits for changes. A shorter wait
	// detects a silent connection sooner; a longer one needs fewer calls.
	watchWait = time.Second
	// retryDelay is the pause after a failed call.
	retryDelay = 250 * time.Millisecond
	// PledgeDuration is how long an entry does not campaign after it has given a
	// pledge.
	PledgeDuration = 2 * time.Second
	// requestPledgesAfter is the age of the last renewal, or of the last confirmation
	// of the ownership, at which an owner starts to request pledges.
	requestPledgesAfter = 800 * time.Millisecond
	// maxElectionJitter bounds the random delay that spreads competing candidates.
	maxElectionJitter = 120 * time.Millisecond
)

// Member describes one entry.
type Member struct {
	Name string `json:"name"`
	// Run identifies the process; it differs after a restart.
	Run     string         `json:"run"`
	Centre  string         `json:"centre"`
	Address netip.AddrPort `json:"address"`
	// Power is the processor capacity available to the entry, in thousandths of a
	// processor.
	Power int `json:"power,omitempty"`
}

// Owner is the entry that owns the jobs.
type Owner struct {
	Member
	// Epoch increases with every election.
	Epoch int64 `json:"epoch"`
}

// Term is a period of ownership, which begins with a won election.
type Term struct {
	Epoch int64
	// Tail is the tail that the election wrote.
	Tail ledger.StoredTail
	// Replaced is the tail that the election replaced. It tells what the records hold: state
	// in memory is current only if it was read or written under exactly this tail.
	Replaced ledger.Tail
	// PredecessorEnded is set if the process of the previous owner is known to have ended,
	// or there was none, so that nothing that it had not sent will arrive.
	PredecessorEnded bool
}

// Config configures a shard.
type Config struct {
	Store store.Store
	// Prefix is the key prefix of the registrations, the owner key and the ledger.
	Prefix string
	// Self describes this entry.
	Self Member
	// Clock is a monotonic clock that keeps counting while the machine is suspended.
	Clock func() time.Duration
	// Elected is called after this entry becomes the owner, and Deposed, with the epoch
	// of that term, after it loses ownership. They may be called in either order, and
	// neither may block.
	Elected func(Term)
	Deposed func(epoch int64)
	Log     hclog.Logger
}

// Shard registers this entry and takes part in elections on its behalf. Its methods
// may be called from any goroutine.
type Shard struct {
	config Config
	ctx    context.Context
	cancel context.CancelFunc
	done   sync.WaitGroup
	// electionTrigger wakes electionLoop.
	electionTrigger chan struct{}

	mu sync.Mutex
	// lease is the lease of this entry's registration; zero means none.
	lease store.LeaseID
	// registeredAt is when this entry last wrote its registration.
	registeredAt time.Duration
	// renewedAt is when the last successful lease renewal was sent.
	renewedAt time.Duration
	// confirmedAt is when the last call was sent that confirmed this process as the
	// owner: the election or a read of the owner key.
	confirmedAt time.Duration
	// owner is the last known owner. Its name is empty if there is none; its epoch is
	// then the highest known one.
	owner Owner
	// ownerRev is the revision of the owner key; zero if there is none or the owner
	// is known only from another entry.
	ownerRev int64
	// lastOwner is the owner of the last term that this entry knows of. It may act although
	// there is no owner key.
	lastOwner Owner
	// ownerReadRev is the highest revision at which the owner key was read.
	ownerReadRev int64
	// members holds the registered entries by name, including this one.
	members map[string]Member
	// membersRev is the highest revision at which the registrations were read.
	membersRev int64
	// isOwner is set from a won election until the ownership is lost.
	isOwner bool
	// ownEpoch is the epoch of the last election that this process has won.
	ownEpoch int64
	// steppedDownAt is when this entry last stepped down; zero means never.
	steppedDownAt time.Duration
	// leaving is set by Deregister.
	leaving bool
	// pledgedUntil is the time until which this entry has promised not to campaign.
	pledgedUntil time.Duration
	// pledges holds, for each entry that has given a pledge, when the request for
	// it was sent.
	pledges map[string]time.Duration
	// reported holds, by name, when each other entry last called this one or was named
	// with a pledge, until the registrations have been read since. It may have registered
	// while this entry can't reach the store.
	reported map[string]time.Duration
	// lapsed is set while the pledges that this owner has may have come after the election
	// of another one; see [Shard.lapse].
	lapsed bool
	// candidateEpoch is the epoch of an election of this entry whose transaction may still
	// take effect; zero means none.
	candidateEpoch int64
	// tailEpoch is the epoch in the tail when it was last read, and vacatedEpoch that of
	// the last owner that has recorded that it has left. tailRead is set once the tail has
	// been read.
	tailEpoch, vacatedEpoch int64
	tailRead                bool
	// deadRun is the Run of a process that is known to have ended; see [Shard.MarkDead].
	deadRun string
}

// New returns a shard and starts its goroutines, which maintain the registration,
// watch the other entries and take part in elections.
func New(c Config) *Shard {
	ctx, cancel := context.WithCancel(context.Background())
	s := &Shard{config: c, ctx: ctx, cancel: cancel, electionTrigger: make(chan struct{}, 1), members: make(map[string]Member)}
	s.pledges = make(map[string]time.Duration)
	s.reported = make(map[string]time.Duration)
	s.done.Go(s.registrationLoop)
	s.done.Go(s.watchLoop)
	s.done.Go(s.electionLoop)
	return s
}

// Close stops the goroutines. The registration stays until its lease expires;
// [Shard.Deregister] ends it at once.
func (s *Shard) Close() {
	s.cancel()
	s.done.Wait()
}

func (s *Shard) livePrefix() string { return s.config.Prefix + "live/" }

func (s *Shard) ownerKey() string { return s.livePrefix() + "owner" }

// lastOwnerKey is the key that names the owner of the last term, also after its lease has
// ended.
func (s *Shard) lastOwnerKey() string { return s.config.Prefix + "last-owner" }

func (s *Shard) vacatedKey() string { return s.livePrefix() + "vacated" }

func (s *Shard) memberKey() string { return s.livePrefix() + "member/" + s.config.Self.Name }

// Owner returns the last known owner and whether there is one.
func (s *Shard) Owner() (Owner, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.owner, s.owner.Name != ""
}

// LastOwner returns the owner or, if none is known, the owner of the last term unless it
// has left. That one may still act on pledges.
func (s *Shard) LastOwner() (Owner, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.owner.Name != "" {
		return s.owner, true
	}
	return s.lastOwner, s.lastOwner.Epoch > s.vacatedEpoch
}

// Peers returns the registered entries except this one.
func (s *Shard) Peers() []Member {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]Member, 0, len(s.members))
	for _, m := range s.members {
		if m.Name != s.config.Self.Name {
			out = append(out, m)
		}
	}
	return out
}

// ObserveOwner records an owner reported by another entry. An owner whose epoch is
// not higher than that of the known owner is ignored.
func (s *Shard) ObserveOwner(o Owner) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if o.Epoch > s.owner.Epoch {
		s.setOwner(o, 0)
	}
}

// MarkDead records that the process identified by run has ended. If that process is
// the owner, this entry may replace it before its lease expires.
func (s *Shard) MarkDead(run string) {
	s.mu.Lock()
	s.deadRun = run
	s.mu.Unlock()
	s.triggerElection()
}

// Deregister gives up ownership and ends the registration. The entry does not
// campaign again.
func (s *Shard) Deregister(ctx context.Context) error {
	s.mu.Lock()
	s.leaving = true
	lease := s.lease
	s.lease = 0
	wasOwner, rev, epoch := s.isOwner, s.ownerRev, s.ownEpoch
	s.mu.Unlock()
	s.loseOwnership("leaving")
	if lease == 0 {
		return nil
	}
	if wasOwner {
		if err := s.vacate(ctx, rev, epoch); err != nil {
			s.config.Log.Warn("owner key not removed; it lapses with the registration", "error", err)
		}
	}
	return s.config.Store.RevokeLease(ctx, lease)
}

// vacate removes the owner key, as this process wrote it at revision rev, and records the
// epoch of the owner that has left: no pledge to it binds any more.
func (s *Shard) vacate(ctx context.Context, rev, epoch int64) error {
	_, err := s.config.Store.Commit(ctx, store.Txn{
		Guards:  []store.Guard{{Key: s.ownerKey(), Rev: rev}},
		Puts:    []store.Put{{Key: s.vacatedKey(), Value: []byte(strconv.FormatInt(epoch, 10))}},
		Removes: []string{s.ownerKey()},
	})
	return err
}

// StepDown gives up ownership but keeps the registration. If there are other
// entries, this one does not campaign for [TTL].
func (s *Shard) StepDown(ctx context.Context, reason string) error {
	s.mu.Lock()
	s.steppedDownAt = s.config.Clock()
	wasOwner, rev, epoch := s.isOwner, s.ownerRev, s.ownEpoch
	s.mu.Unlock()
	if !wasOwner {
		return nil
	}
	s.loseOwnership(reason)
	return s.vacate(ctx, rev, epoch)
}

// loseOwnership marks this process as no longer the owner. If it was the owner, it
// calls Config.Deposed.
func (s *Shard) loseOwnership(reason string) {
	s.mu.Lock()
	wasOwner, epoch := s.isOwner, s.ownEpoch
	s.isOwner = false
	s.mu.Unlock()
	if wasOwner {
		s.config.Log.Info("ownership lost", "reason", reason, "epoch", epoch)
		s.config.Deposed(epoch)
	}
}

func (s *Shard) triggerElection() {
	select {
	case s.electionTrigger <- struct{}{}:
	default:
	}
}
