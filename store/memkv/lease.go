package memkv

import (
	"context"
	"slices"
	"time"

	"github.com/yuccaroute/yuccaroute/store"
)

// lease is one lease and the keys bound to it.
type lease struct {
	ttl      time.Duration
	deadline time.Time
	timer    *time.Timer
	keys     map[string]struct{}
}

func (l *lease) lapsed(now time.Time) bool {
	return !now.Before(l.deadline)
}

// Grant makes a lease of the time given.
func (s *Store) Grant(ctx context.Context, ttl time.Duration) (store.LeaseID, error) {
	if ctx.Err() != nil {
		return 0, store.ErrUnavailable
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastLease++
	id := s.lastLease
	s.leases[id] = &lease{
		ttl:      ttl,
		deadline: time.Now().Add(ttl),
		timer:    time.AfterFunc(ttl, func() { s.lapse(id) }),
		keys:     map[string]struct{}{},
	}
	return id, nil
}

// KeepAlive extends the lease by its full time.
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

// Revoke ends the lease and removes its keys.
func (s *Store) Revoke(ctx context.Context, id store.LeaseID) error {
	if ctx.Err() != nil {
		return store.ErrUnavailable
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.liveLease(id) == nil {
		return store.ErrLeaseGone
	}
	s.end(id)
	return nil
}

// liveLease returns nil when the lease lapsed. The timer may run later than
// the deadline, so the deadline decides and the keys go before the answer.
func (s *Store) liveLease(id store.LeaseID) *lease {
	l := s.leases[id]
	if l == nil {
		return nil
	}
	if l.lapsed(time.Now()) {
		s.end(id)
		return nil
	}
	return l
}

// lapse runs on the lease's timer. A KeepAlive may have moved the deadline
// while the timer's function was waiting for the lock; the lease then lives.
func (s *Store) lapse(id store.LeaseID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.liveLease(id)
}

func (s *Store) end(id store.LeaseID) {
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
