package shard

import (
	"context"
	"encoding/json"
	"strconv"
	"strings"

	"github.com/go-faster/errors"

	"almondcove/delay"
	"almondcove/store"
)

// watchLoop follows changes of the registrations and of the owner key.
func (s *Shard) watchLoop() {
	after := int64(0)
	for {
		var err error
		if after == 0 {
			after, err = s.readRegistrations()
		} else {
			after, err = s.followChanges(after)
		}
		if err != nil {
			s.config.Log.Warn("failed to read registrations", "error", err)
			if _, ok := errors.Into[*store.Compacted](err); ok {
				after = 0
			}
			if !delay.Sleep(s.ctx, retryDelay) {
				return
			}
		}
		if s.ctx.Err() != nil {
			return
		}
	}
}

// readRegistrations reads the owner key and all registrations, and returns the
// revision after which to watch.
func (s *Shard) readRegistrations() (int64, error) {
	ctx, cancel := context.WithTimeout(s.ctx, callTimeout)
	defer cancel()
	sent := s.config.Clock()
	items, rev, err := store.ReadAll(ctx, s.config.Store, s.livePrefix())
	if err != nil {
		return 0, err
	}
	owner := store.Item{Key: s.ownerKey()}
	members := make(map[string]Member)
	for _, it := range items {
		switch it.Key {
		case s.ownerKey():
			owner = it
		case s.vacatedKey():
			s.applyVacated(it)
		default:
			s.addMember(members, it)
		}
	}
	s.mu.Lock()
	// The watch may have gone on while this call was in progress.
	if rev >= s.membersRev {
		s.members, s.membersRev = members, rev
	}
	s.mu.Unlock()
	s.applyOwner(owner, rev)
	s.forgetReported(sent)
	return rev, nil
}

// addMember decodes a registration and adds it to members.
func (s *Shard) addMember(members map[string]Member, it store.Item) {
	var m Member
	if err := json.Unmarshal(it.Value, &m); err != nil {
		s.config.Log.Warn("failed to decode registration", "key", it.Key, "error", err)
		return
	}
	members[m.Name] = m
}

// followChanges waits for changes after a revision, applies them, and returns the
// revision to continue after.
func (s *Shard) followChanges(after int64) (int64, error) {
	ctx, cancel := context.WithTimeout(s.ctx, watchWait+callTimeout)
	defer cancel()
	sent := s.config.Clock()
	events, next, err := s.config.Store.Watch(ctx, s.livePrefix(), after, watchWait)
	if err != nil {
		return after, err
	}
	for _, e := range events {
		s.applyEvent(e)
	}
	s.forgetReported(sent)
	return next, nil
}

func (s *Shard) applyEvent(e store.Event) {
	if e.Key == s.ownerKey() {
		item := e.Item
		if e.Deleted {
			item = store.Item{Key: e.Key}
		}
		s.applyOwner(item, e.Rev)
		return
	}
	if e.Key == s.vacatedKey() {
		s.applyVacated(e.Item)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if e.Rev < s.membersRev {
		return
	}
	s.membersRev = e.Rev
	if e.Deleted {
		delete(s.members, strings.TrimPrefix(e.Key, s.livePrefix()+"member/"))
		return
	}
	s.addMember(s.members, e.Item)
}

// applyVacated applies the record of the last owner that has left.
func (s *Shard) applyVacated(it store.Item) {
	epoch, err := strconv.ParseInt(string(it.Value), 10, 64)
	if err != nil {
		s.config.Log.Warn("failed to decode the epoch of the owner that has left", "error", err)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.vacatedEpoch = max(s.vacatedEpoch, epoch)
}

// applyOwner applies the owner key as it was read at a revision of the store; zero means
// that the revision isn't known. An item without a revision means that there is no such
// key.
func (s *Shard) applyOwner(item store.Item, rev int64) {
	var o Owner
	if item.Rev != 0 {
		if err := json.Unmarshal(item.Value, &o); err != nil {
			s.config.Log.Warn("failed to decode owner", "error", err)
		}
	}
	s.mu.Lock()
	if rev != 0 && rev < s.ownerReadRev || o.Name != "" && o.Epoch < s.owner.Epoch {
		// The item is older than the known state, for example because it was read
		// before this entry was elected.
		s.mu.Unlock()
		return
	}
	s.ownerReadRev = max(s.ownerReadRev, rev)
	lost := s.isOwner && o.Run != s.config.Self.Run
	s.setOwner(o, item.Rev)
	namesSelf := o.Name == s.config.Self.Name && !s.isOwner
	s.mu.Unlock()
	if lost {
		reason := "replaced"
		if o.Name == "" {
			reason = "owner key removed"
		}
		s.loseOwnership(reason)
	}
	if o.Name == "" || namesSelf {
		s.triggerElection()
	}
}

// setOwner sets the known owner. If o names none, the last known epoch is kept. The
// caller holds s.mu.
func (s *Shard) setOwner(o Owner, rev int64) {
	if o.Epoch != s.owner.Epoch || o.Name != s.owner.Name {
		s.config.Log.Info("owner changed", "name", o.Name, "epoch", o.Epoch, "revision", rev)
	}
	if o.Name != "" {
		s.lastOwner = o
	}
	if o.Name != "" && o.Epoch >= s.candidateEpoch {
		// The transaction that wrote this epoch has changed the tail, which an election
		// of an equal or lower epoch requires to be unchanged.
		s.candidateEpoch = 0
	}
	epoch := s.owner.Epoch
	s.owner = o
	if o.Name == "" {
		s.owner.Epoch = epoch
	}
	s.ownerRev = rev
}
