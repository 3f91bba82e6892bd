// Package shard elects the entry that owns the jobs, and lists the entries.
//
// Each entry registers itself under a lease. The owner is the entry whose name
// stands in one key under its lease; it is taken by a transaction that also
// writes the ledger's tail under the next epoch, so that the owner before can
// commit nothing more. An owner acts only while [Shard.Valid] says so: from each
// renewal on for less than the lease's time to live, by a clock that goes on
// while the machine is suspended.
//
// # Usage
//
//	s := shard.New(shard.Config{Store: st, Prefix: "almondcove/", Self: self, Elected: take, Deposed: stop})
//	defer s.Close()
//	if owner, ok := s.Owner(); ok && s.Valid() {
//		// owner.Name == self.Name: give orders under owner.Epoch
//	}
package shard

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"almondcove/ledger"
	"almondcove/store"
)

// The times of a session.
const (
	// TTL is how long an entry that renews nothing stays registered. It bounds
	// the time until a silent owner is replaced.
	TTL = 2 * time.Second
	// margin is subtracted from TTL for the owner's own view of its lease.
	margin = 200 * time.Millisecond
	// renewEvery leaves four tries within TTL.
	renewEvery = 400 * time.Millisecond
	// callTimeout bounds one call to the store.
	callTimeout = 1200 * time.Millisecond
	// watchWait is how long one watch may wait; a shorter one finds a silent
	// connection sooner, a longer one costs fewer calls.
	watchWait = time.Second
	// retryPause spreads the tries after a failed call.
	retryPause = 250 * time.Millisecond
	// PledgeFor is how long an entry that has pledged so stands for no election.
	PledgeFor = 2 * time.Second
	// askAfter is the age of the last renewal from which an owner asks for pledges.
	askAfter = 800 * time.Millisecond
	// standPause spreads the entries that stand for election.
	standPause = 120 * time.Millisecond
)

// Member is one entry.
type Member struct {
	Name string `json:"name"`
	// Run names the process; it differs after a restart.
	Run     string         `json:"run"`
	Centre  string         `json:"centre"`
	Address netip.AddrPort `json:"address"`
	// Power is the share of a processor that the entry has, in thousandths.
	Power int `json:"power,omitempty"`
}

// Owner is the entry that owns the jobs.
type Owner struct {
	Member
	// Epoch grows with every election.
	Epoch int64 `json:"epoch"`
}

// Term is the ownership that an election gave.
type Term struct {
	Epoch int64
	Tail  ledger.Held
	// Again is set when no other process has owned the jobs since this one did.
	Again bool
}

// Config configures a shard.
type Config struct {
	Store  store.Store
	Prefix string
	Self   Member
	// Clock is a steady clock that counts the time of suspension.
	Clock func() time.Duration
	// Elected is called when this entry has become the owner, and Deposed when
	// it no longer is. Neither may block.
	Elected func(Term)
	Deposed func()
	Log     hclog.Logger
}

// Shard takes part in elections. Its methods may be called from any goroutine.
type Shard struct {
	config Config
	ctx    context.Context
	cancel context.CancelFunc
	done   sync.WaitGroup
	// stand wakes the goroutine that stands for election.
	stand chan struct{}

	mu sync.Mutex
	// lease is that of the own registration; zero means none.
	lease store.LeaseID
	// renewed is when the last successful renewal was sent.
	renewed time.Duration
	// proved is when the last proof was sent that the owner's key names this process.
	proved   time.Duration
	owner    Owner
	ownerRev int64
	members  map[string]Member
	owning   bool
	resigned time.Duration
	leaving  bool
	// started is when this process took part first.
	started time.Duration
	// pledged is until when this entry stands for no election.
	pledged time.Duration
	// pledges holds, for each other entry, when the question was sent to which it
	// answered with a pledge.
	pledges map[string]time.Duration
	// dead names the process that was proved to have ended.
	dead string
}

// New starts the goroutines that keep the registration, watch and elect.
func New(c Config) *Shard {
	ctx, cancel := context.WithCancel(context.Background())
	s := &Shard{config: c, ctx: ctx, cancel: cancel, stand: make(chan struct{}, 1), members: make(map[string]Member)}
	s.pledges = make(map[string]time.Duration)
	s.started = c.Clock()
	s.done.Go(s.keep)
	s.done.Go(s.watch)
	s.done.Go(s.elect)
	return s
}

// Close stops the goroutines. The registration ends with its lease; Resign ends
// it at once.
func (s *Shard) Close() {
	s.cancel()
	s.done.Wait()
}

func (s *Shard) live() string { return s.config.Prefix + "live/" }

func (s *Shard) ownerKey() string { return s.live() + "owner" }

func (s *Shard) memberKey() string { return s.live() + "member/" + s.config.Self.Name }

// Owner returns the owner as last heard, and whether there is one.
func (s *Shard) Owner() (Owner, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.owner, s.owner.Name != ""
}

// Members returns the registered entries but this one.
func (s *Shard) Members() []Member {
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

// Heard takes note of an owner that another entry has told of.
func (s *Shard) Heard(o Owner) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if o.Epoch > s.owner.Epoch {
		s.setOwner(o, 0)
	}
}

// Dead makes this entry stand against an owner whose process has ended.
func (s *Shard) Dead(run string) {
	s.mu.Lock()
	s.dead = run
	s.mu.Unlock()
	s.wake()
}

// Resign gives up ownership and registration, and stands for no election again.
func (s *Shard) Resign(ctx context.Context) error {
	s.mu.Lock()
	s.leaving = true
	lease := s.lease
	s.lease = 0
	s.mu.Unlock()
	s.lose("leaving")
	if lease == 0 {
		return nil
	}
	return s.config.Store.End(ctx, lease)
}

// StepDown gives up ownership, and stands for none for the time of a lease.
func (s *Shard) StepDown(ctx context.Context, reason string) error {
	s.mu.Lock()
	rev := s.ownerRev
	s.resigned = s.config.Clock()
	s.mu.Unlock()
	s.lose(reason)
	_, err := s.config.Store.Commit(ctx, store.Txn{
		Guards:  []store.Guard{{Key: s.ownerKey(), Rev: rev}},
		Removes: []string{s.ownerKey()},
	})
	return err
}

// lose ends the ownership of this process.
func (s *Shard) lose(reason string) {
	s.mu.Lock()
	was := s.owning
	s.owning = false
	s.mu.Unlock()
	if was {
		s.config.Log.Info("ownership lost", "reason", reason)
		s.config.Deposed()
	}
}

func (s *Shard) wake() {
	select {
	case s.stand <- struct{}{}:
	default:
	}
}
