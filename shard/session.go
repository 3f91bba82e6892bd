package shard

import (
	"context"
	"encoding/json"

	"github.com/go-faster/errors"

	"almondcove/delay"
	"almondcove/store"
)

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
		if !delay.For(s.ctx, pause) {
			return
		}
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
