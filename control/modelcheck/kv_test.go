package modelcheck

import (
	"time"

	"github.com/yuccaroute/yuccaroute/store"
)

// leaseTTL is the TTL of the decider's lease on the store's clock. The lease holder
// considers it valid for leaseTTL less leaseMargin.
const (
	leaseTTL    = 10 * time.Second
	leaseMargin = time.Second
)

// kv simulates the store, with one lease and one ledger. The world decides when a call
// is applied, which may be long after it was sent.
type kv struct {
	revision store.Revision
	out      bool
	ledger   store.Entry
	// holder holds the lease until expires.
	holder  *process
	epoch   uint64
	expires time.Time
}

// take gives the lease to a process if it is free.
func (s *kv) take(p *process, now time.Time) (epoch uint64, ok bool) {
	if s.holder != nil && now.Before(s.expires) {
		return 0, false
	}
	s.revision++
	s.holder = p
	s.epoch = uint64(s.revision)
	s.expires = now.Add(leaseTTL)
	return s.epoch, true
}

func (s *kv) keepAlive(p *process, epoch uint64, now time.Time) bool {
	if s.holder != p || s.epoch != epoch || !now.Before(s.expires) {
		return false
	}
	s.expires = now.Add(leaseTTL)
	return true
}

func (s *kv) resign(p *process, epoch uint64) {
	if s.holder == p && s.epoch == epoch {
		s.holder = nil
	}
}

func (s *kv) swap(value []byte, expected store.Revision) (store.Revision, error) {
	if s.ledger.Revision != expected {
		return 0, &store.ConflictError{Key: "ledger", Current: s.ledger.Revision}
	}
	s.revision++
	s.ledger = store.Entry{Key: "ledger", Value: value, Revision: s.revision}
	return s.revision, nil
}
