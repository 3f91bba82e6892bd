package shard

import (
	"context"
	"encoding/json"
	"time"

	"github.com/go-faster/errors"

	"almondcove/delay"
	"almondcove/store"
)

// registrationLoop registers this entry, renews its lease at intervals and triggers
// elections.
func (s *Shard) registrationLoop() {
	for {
		pause := renewInterval
		if err := s.renew(); err != nil {
			s.config.Log.Warn("failed to renew registration", "error", err)
			s.logOwnership()
			pause = retryDelay
		}
		// A pledge or delay that kept this entry from campaigning may have ended.
		s.triggerElection()
		if !delay.Sleep(s.ctx, pause) {
			return
		}
	}
}

// renew renews the lease, or registers this entry if it has none.
func (s *Shard) renew() error {
	ctx, cancel := context.WithTimeout(s.ctx, callTimeout)
	defer cancel()
	s.mu.Lock()
	lease, isOwner, leaving := s.lease, s.isOwner, s.leaving
	s.mu.Unlock()
	if leaving {
		return nil
	}
	if lease == 0 {
		return s.register(ctx)
	}
	sent, err := s.renewLease(ctx, lease)
	if _, ok := errors.Into[*store.LeaseExpired](err); ok {
		s.config.Log.Warn("registration lapsed, registering again", "lease", lease)
		s.mu.Lock()
		s.lease = 0
		s.mu.Unlock()
		return s.register(ctx)
	}
	if err != nil {
		return err
	}
	s.mu.Lock()
	s.renewedAt = sent
	s.mu.Unlock()
	if isOwner {
		return s.confirmOwnership(ctx)
	}
	return nil
}

// renewLease renews a lease and returns when the call with this outcome was sent. A call
// that was sent during an outage of the store may stay without an answer after it, so that
// further ones are sent at intervals.
func (s *Shard) renewLease(ctx context.Context, lease store.LeaseID) (sent time.Duration, err error) {
	type outcome struct {
		sent time.Duration
		err  error
	}
	const maxCalls = int(callTimeout / renewInterval)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	outcomes := make(chan outcome, maxCalls)
	ticker := time.NewTicker(renewInterval)
	defer ticker.Stop()
	call := func() {
		sent := s.config.Clock()
		outcomes <- outcome{sent, s.config.Store.RenewLease(ctx, lease)}
	}
	s.done.Go(call)
	for calls, ended := 1, 0; ; {
		select {
		case <-ticker.C:
			if calls < maxCalls {
				calls++
				s.done.Go(call)
			}
		case o := <-outcomes:
			ended++
			_, expired := errors.Into[*store.LeaseExpired](o.err)
			if o.err == nil || expired || ended == calls {
				return o.sent, o.err
			}
		}
	}
}

// confirmOwnership reads the owner key. If the key is unchanged, this process is
// still the owner; otherwise it applies the new state.
func (s *Shard) confirmOwnership(ctx context.Context) error {
	sent := s.config.Clock()
	item, err := s.config.Store.Get(ctx, s.ownerKey())
	if err != nil {
		return err
	}
	s.mu.Lock()
	unchanged := item.Rev != 0 && item.Rev == s.ownerRev
	if unchanged {
		s.confirmedAt, s.lapsed = sent, false
	}
	s.mu.Unlock()
	if !unchanged {
		s.applyOwner(item, item.Rev)
	}
	return nil
}

// readLastOwner finds out, once before the process registers, which owner was the last.
func (s *Shard) readLastOwner(ctx context.Context) error {
	s.mu.Lock()
	known := s.tailRead
	s.mu.Unlock()
	if known {
		return nil
	}
	_, tail, err := s.readTail(ctx)
	if err != nil {
		return err
	}
	item, err := s.config.Store.Get(ctx, s.lastOwnerKey())
	if err != nil {
		return err
	}
	var o Owner
	if item.Rev != 0 {
		if err := json.Unmarshal(item.Value, &o); err != nil {
			s.config.Log.Warn("failed to decode the last owner", "error", err)
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tailEpoch, s.tailRead = tail.Epoch, true
	if o.Epoch > s.lastOwner.Epoch {
		s.lastOwner = o
	}
	return nil
}

// register writes this entry's registration under a new lease and reads those of
// the other entries.
func (s *Shard) register(ctx context.Context) error {
	if err := s.readLastOwner(ctx); err != nil {
		return err
	}
	sent := s.config.Clock()
	lease, _, err := s.config.Store.GrantLease(ctx, TTL)
	if err != nil {
		return err
	}
	// Encoding can't fail: a member holds only names, addresses and numbers.
	value, _ := json.Marshal(s.config.Self)
	_, err = s.config.Store.Commit(ctx, store.Txn{
		Puts: []store.Put{{Key: s.memberKey(), Value: value, Lease: lease}},
	})
	if err != nil {
		return err
	}
	s.mu.Lock()
	first := s.registeredAt == 0
	s.lease = lease
	s.registeredAt = s.config.Clock()
	s.renewedAt = sent
	s.mu.Unlock()
	s.config.Log.Info("registered", "lease", lease, "first", first)
	// The owner's registration may have lapsed as well, and the watch may no longer
	// receive events, so the registrations are read again.
	_, err = s.readRegistrations()
	return err
}
