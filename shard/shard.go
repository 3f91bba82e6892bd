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
	"encoding/json"
	"math/rand/v2"
	"net/netip"
	"strings"
	"sync"
	"time"

	"github.com/go-faster/errors"
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
	watchWait = 2 * time.Second
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

func (s *Shard) live() string      { return s.config.Prefix + "live/" }
func (s *Shard) ownerKey() string  { return s.live() + "owner" }
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

// Valid reports whether this process is the owner and may give orders: for less
// than the lease's time to live after each renewal, and beyond it while every
// other entry has pledged to stand for no election.
func (s *Shard) Valid() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.owning {
		return false
	}
	now := s.config.Clock()
	return now-min(s.renewed, s.proved) < TTL-margin || s.allPledged(now)
}

func (s *Shard) allPledged(now time.Duration) bool {
	for name := range s.members {
		if name == s.config.Self.Name {
			continue
		}
		asked, ok := s.pledges[name]
		if !ok || now-asked >= PledgeFor-margin {
			return false
		}
	}
	return len(s.members) > 1
}

// Asks reports whether the owner needs pledges because it can't renew its lease.
func (s *Shard) Asks() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.owning && s.config.Clock()-min(s.renewed, s.proved) > askAfter
}

// Pledge makes this entry stand for no election for PledgeFor, if the one that
// asks is the owner as far as is known. It reports whether it does.
func (s *Shard) Pledge(o Owner) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.owning || o.Epoch < s.owner.Epoch {
		return false
	}
	s.pledged = s.config.Clock() + PledgeFor
	return true
}

// Pledged takes note of another entry's pledge, which answered a question that
// was sent at asked by the clock of the configuration.
func (s *Shard) Pledged(name string, asked time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pledges[name] = asked
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

// keep registers this entry and renews the registration.
func (s *Shard) keep() {
	for {
		pause := renewEvery
		if err := s.renew(); err != nil {
			s.config.Log.Warn("registration not renewed", "error", err)
			pause = retryPause
		}
		// What kept this entry from standing for election may have passed.
		s.wake()
		if !sleep(s.ctx, pause) {
			return
		}
	}
}

func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}

func (s *Shard) renew() error {
	ctx, cancel := context.WithTimeout(s.ctx, callTimeout)
	defer cancel()
	s.mu.Lock()
	lease, owning, leaving := s.lease, s.owning, s.leaving
	s.mu.Unlock()
	if leaving {
		return nil
	}
	if lease == 0 {
		return s.register(ctx)
	}
	sent := s.config.Clock()
	err := s.config.Store.Keep(ctx, lease)
	if _, ok := errors.Into[*store.Lapsed](err); ok {
		s.config.Log.Warn("registration lapsed", "lease", lease)
		s.mu.Lock()
		s.lease = 0
		s.mu.Unlock()
		return s.register(ctx)
	}
	if err != nil {
		return err
	}
	s.mu.Lock()
	s.renewed = sent
	s.mu.Unlock()
	if owning {
		return s.prove(ctx)
	}
	return nil
}

// prove looks whether the owner's key still names this process.
func (s *Shard) prove(ctx context.Context) error {
	sent := s.config.Clock()
	item, err := s.config.Store.Get(ctx, s.ownerKey())
	if err != nil {
		return err
	}
	s.mu.Lock()
	mine := item.Rev != 0 && item.Rev == s.ownerRev
	if mine {
		s.proved = sent
	}
	s.mu.Unlock()
	if !mine {
		s.learn(item)
	}
	return nil
}

func (s *Shard) register(ctx context.Context) error {
	sent := s.config.Clock()
	lease, _, err := s.config.Store.Grant(ctx, TTL)
	if err != nil {
		return err
	}
	// Names and addresses always encode.
	value, _ := json.Marshal(s.config.Self)
	_, err = s.config.Store.Commit(ctx, store.Txn{
		Puts: []store.Put{{Key: s.memberKey(), Value: value, Lease: lease}},
	})
	if err != nil {
		return err
	}
	s.mu.Lock()
	s.lease = lease
	s.renewed = sent
	s.mu.Unlock()
	s.config.Log.Info("registered", "lease", lease)
	// The owner's registration may have lapsed as well, and the watch may be one
	// that hears nothing any more.
	_, err = s.list()
	return err
}

// watch follows the registrations and the owner.
func (s *Shard) watch() {
	after := int64(0)
	for {
		var err error
		if after == 0 {
			after, err = s.list()
		} else {
			after, err = s.follow(after)
		}
		if err != nil {
			s.config.Log.Warn("registrations not read", "error", err)
			if _, ok := errors.Into[*store.Compacted](err); ok {
				after = 0
			}
			if !sleep(s.ctx, retryPause) {
				return
			}
		}
		if s.ctx.Err() != nil {
			return
		}
	}
}

func (s *Shard) list() (int64, error) {
	ctx, cancel := context.WithTimeout(s.ctx, callTimeout)
	defer cancel()
	items, rev, err := s.config.Store.Range(ctx, s.live())
	if err != nil {
		return 0, err
	}
	owner := store.Item{Key: s.ownerKey()}
	members := make(map[string]Member)
	for _, it := range items {
		if it.Key == s.ownerKey() {
			owner = it
		} else {
			s.admit(members, it)
		}
	}
	s.mu.Lock()
	s.members = members
	s.mu.Unlock()
	s.learn(owner)
	return rev, nil
}

func (s *Shard) admit(members map[string]Member, it store.Item) {
	var m Member
	if err := json.Unmarshal(it.Value, &m); err != nil {
		s.config.Log.Warn("unreadable registration", "key", it.Key, "error", err)
		return
	}
	members[m.Name] = m
}

func (s *Shard) follow(after int64) (int64, error) {
	ctx, cancel := context.WithTimeout(s.ctx, watchWait+callTimeout)
	defer cancel()
	events, next, err := s.config.Store.Watch(ctx, s.live(), after, watchWait)
	if err != nil {
		return after, err
	}
	for _, e := range events {
		s.apply(e)
	}
	return next, nil
}

func (s *Shard) apply(e store.Event) {
	if e.Key == s.ownerKey() {
		item := e.Item
		if e.Deleted {
			item = store.Item{Key: e.Key}
		}
		s.learn(item)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if e.Deleted {
		delete(s.members, strings.TrimPrefix(e.Key, s.live()+"member/"))
		return
	}
	s.admit(s.members, e.Item)
}

// learn takes note of the owner's key as it stands.
func (s *Shard) learn(item store.Item) {
	var o Owner
	if item.Rev != 0 {
		if err := json.Unmarshal(item.Value, &o); err != nil {
			s.config.Log.Warn("unreadable owner", "error", err)
		}
	}
	s.mu.Lock()
	if item.Rev != 0 && item.Rev < s.ownerRev || o.Name != "" && o.Epoch < s.owner.Epoch {
		// An event from before the own election.
		s.mu.Unlock()
		return
	}
	lost := s.owning && o.Run != s.config.Self.Run
	s.setOwner(o, item.Rev)
	own := o.Name == s.config.Self.Name && !s.owning
	s.mu.Unlock()
	if lost {
		s.lose("replaced")
	}
	if o.Name == "" || own {
		s.wake()
	}
}

// setOwner is called with the lock held.
func (s *Shard) setOwner(o Owner, rev int64) {
	if o.Epoch != s.owner.Epoch || o.Name != s.owner.Name {
		s.config.Log.Info("owner", "name", o.Name, "epoch", o.Epoch, "revision", rev)
	}
	epoch := s.owner.Epoch
	s.owner = o
	if o.Name == "" {
		s.owner.Epoch = epoch
	}
	s.ownerRev = rev
}

// elect stands for election whenever there may be no owner.
func (s *Shard) elect() {
	for {
		select {
		case <-s.ctx.Done():
			return
		case <-s.stand:
		}
		for s.stands() {
			if !sleep(s.ctx, s.yield()+rand.N(standPause)) {
				return
			}
			if !s.stands() {
				break
			}
			if err := s.attempt(); err != nil {
				s.config.Log.Warn("election", "error", err)
				if !sleep(s.ctx, retryPause) {
					return
				}
			}
		}
	}
}

// yield is how long this entry lets those with more power go first.
func (s *Shard) yield() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	most := s.config.Self.Power
	for _, m := range s.members {
		most = max(most, m.Power)
	}
	if most == 0 {
		return 0
	}
	return time.Duration(float64(yieldMost) * float64(most-s.config.Self.Power) / float64(most))
}

// yieldMost is how long the weakest entry lets others go first.
const yieldMost = 400 * time.Millisecond

// stands reports whether this entry should try to become the owner.
func (s *Shard) stands() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leaving || s.lease == 0 || s.owning {
		return false
	}
	now := s.config.Clock()
	// A process before this one on the same machine may have pledged.
	own := s.owner.Name == s.config.Self.Name
	if now < s.pledged || now-s.started < PledgeFor && s.owner.Name != "" && !own {
		return false
	}
	if s.resigned > 0 && now-s.resigned < TTL && len(s.members) > 1 {
		return false
	}
	free := s.owner.Name == "" || s.owner.Run == s.dead
	// The last is an election whose answer was lost, or one of the process before
	// this one.
	return free || own
}

// attempt tries once to become the owner.
func (s *Shard) attempt() error {
	ctx, cancel := context.WithTimeout(s.ctx, callTimeout)
	defer cancel()
	current, err := s.config.Store.Get(ctx, s.ownerKey())
	if err != nil {
		return err
	}
	tail, before, err := s.readTail(ctx)
	if err != nil {
		return err
	}
	s.mu.Lock()
	known, dead, lease := s.owner, s.dead, s.lease
	s.mu.Unlock()
	if !s.mayReplace(current, dead) {
		s.learn(current)
		return nil
	}
	term := Term{
		Epoch: max(before.Epoch, known.Epoch) + 1,
		Again: before.Run == s.config.Self.Run,
	}
	next := ledger.Tail{Run: s.config.Self.Run, Epoch: term.Epoch, Count: before.Count}
	sent := s.config.Clock()
	rev, err := s.config.Store.Commit(ctx, s.ballot(current, tail, next, lease))
	if _, ok := errors.Into[*store.Conflict](err); ok {
		return nil
	}
	if err != nil {
		return err
	}
	term.Tail = ledger.Held{Tail: next, Rev: rev}
	s.win(term, sent)
	return nil
}

func (s *Shard) mayReplace(current store.Item, dead string) bool {
	if current.Rev == 0 {
		return true
	}
	var o Owner
	if err := json.Unmarshal(current.Value, &o); err != nil {
		return true
	}
	return o.Run == dead || o.Name == s.config.Self.Name
}

func (s *Shard) readTail(ctx context.Context) (store.Item, ledger.Tail, error) {
	var before ledger.Tail
	tail, err := s.config.Store.Get(ctx, ledger.TailKey(s.config.Prefix))
	if err != nil || tail.Rev == 0 {
		return tail, before, err
	}
	if err := json.Unmarshal(tail.Value, &before); err != nil {
		return tail, before, &store.Invalid{Call: "tail", Cause: err}
	}
	return tail, before, nil
}

func (s *Shard) ballot(current, tail store.Item, next ledger.Tail, lease store.LeaseID) store.Txn {
	// Names, addresses and numbers always encode.
	owner, _ := json.Marshal(Owner{Member: s.config.Self, Epoch: next.Epoch})
	value, _ := json.Marshal(next)
	return store.Txn{
		Guards: []store.Guard{{Key: s.ownerKey(), Rev: current.Rev}, {Key: ledger.TailKey(s.config.Prefix), Rev: tail.Rev}},
		Puts: []store.Put{
			{Key: s.ownerKey(), Value: owner, Lease: lease},
			{Key: ledger.TailKey(s.config.Prefix), Value: value},
		},
	}
}

func (s *Shard) win(t Term, sent time.Duration) {
	s.mu.Lock()
	s.owning = true
	s.proved = sent
	s.dead = ""
	s.setOwner(Owner{Member: s.config.Self, Epoch: t.Epoch}, t.Tail.Rev)
	s.mu.Unlock()
	s.config.Log.Info("elected", "epoch", t.Epoch, "again", t.Again)
	s.config.Elected(t)
}
