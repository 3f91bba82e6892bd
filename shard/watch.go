package shard

import (
	"context"
	"encoding/json"
	"strings"

	"github.com/go-faster/errors"

	"almondcove/delay"
	"almondcove/store"
)

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
			if !delay.For(s.ctx, retryPause) {
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
