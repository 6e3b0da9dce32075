package memkv

import (
	"context"
	"slices"
	"time"

	"github.com/yuccaroute/yuccaroute/store"
)

// lease is a lease with the keys bound to it.
type lease struct {
	ttl      time.Duration
	deadline time.Time
	timer    *time.Timer
	keys     map[string]struct{}
}

func (l *lease) expired(now time.Time) bool {
	return !now.Before(l.deadline)
}

// Grant implements store.KV.
func (s *Store) Grant(ctx context.Context, ttl time.Duration) (store.LeaseID, error) {
	if ctx.Err() != nil {
		return 0, store.ErrUnavailable
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastLease++
	id := s.lastLease
	s.addLease(id, ttl)
	return id, nil
}

func (s *Store) addLease(id store.LeaseID, ttl time.Duration) {
	s.leases[id] = &lease{
		ttl:      ttl,
		deadline: time.Now().Add(ttl),
		timer:    time.AfterFunc(ttl, func() { s.onLeaseTimer(id) }),
		keys:     map[string]struct{}{},
	}
}

// KeepAlive implements store.KV.
func (s *Store) KeepAlive(ctx context.Context, id store.LeaseID) error {
	if ctx.Err() != nil {
		return store.ErrUnavailable
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.liveLease(id)
	if l == nil {
		return store.ErrLeaseGone
	}
	l.deadline = time.Now().Add(l.ttl)
	l.timer.Reset(l.ttl)
	return nil
}

// Revoke implements store.KV.
func (s *Store) Revoke(ctx context.Context, id store.LeaseID) error {
	if ctx.Err() != nil {
		return store.ErrUnavailable
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.liveLease(id) == nil {
		return store.ErrLeaseGone
	}
	s.endLease(id)
	return nil
}

// liveLease returns nil when the lease has expired. The timer may fire after the
// deadline, so the deadline is checked and an expired lease is ended here.
func (s *Store) liveLease(id store.LeaseID) *lease {
	l := s.leases[id]
	if l == nil {
		return nil
	}
	if l.expired(time.Now()) {
		s.endLease(id)
		return nil
	}
	return l
}

// onLeaseTimer ends the lease unless a KeepAlive moved its deadline while this
// function waited for the lock.
func (s *Store) onLeaseTimer(id store.LeaseID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.liveLease(id)
}

func (s *Store) endLease(id store.LeaseID) {
	l := s.leases[id]
	delete(s.leases, id)
	l.timer.Stop()
	for _, key := range sortedKeys(l.keys) {
		s.remove(key)
	}
}

func sortedKeys(set map[string]struct{}) []string {
	keys := make([]string, 0, len(set))
	for key := range set {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}
