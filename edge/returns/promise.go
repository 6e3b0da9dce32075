package returns

import (
	"cmp"
	"slices"
	"time"
)

// Caller is a caller that was refused or may have been.
type Caller struct {
	// Key is the hash of its affinity key, or of its account if IsAccount is set.
	Key       uint64
	IsAccount bool
	// Rank is its priority, 0 the highest.
	Rank int
	// GivesUp is when the caller stops waiting, as it has stated itself; zero if it has not.
	GivesUp time.Time
}

// identity is what all callers of a key and rank have in common.
type identity struct {
	key       uint64
	isAccount bool
	rank      int
}

func (c Caller) identity() identity { return identity{c.Key, c.IsAccount, c.Rank} }

// promise is a time that one caller was told.
type promise struct {
	caller Caller
	// target is Offer.Target.
	target uint64
	made   time.Time
	// told is the time that the caller was told, due the time at which it comes back. It comes back
	// before told if told is later than it waits.
	told, due time.Time
	// expires is when the promise leaves the schedule that it is in.
	expires time.Time
	// reserved is set while a place is kept for the caller, lapsed once the caller has not used it.
	reserved, lapsed bool
}

// opens returns when the caller may come back at the earliest.
func (p *promise) opens() time.Time {
	if p.reserved {
		return p.due.Add(-earlyWindow)
	}
	return p.due.Add(-noteWindow)
}

// closes returns when the place is given up.
func (p *promise) closes() time.Time { return p.due.Add(lateWindow) }

// schedule holds promises in the order of their expiry.
type schedule struct{ list []*promise }

func (s *schedule) insert(p *promise) {
	i, _ := slices.BinarySearchFunc(s.list, p, func(a, b *promise) int {
		// Equal ones keep the order in which they were made.
		return cmp.Or(a.expires.Compare(b.expires), -1)
	})
	s.list = slices.Insert(s.list, i, p)
}

func (s *schedule) remove(p *promise) {
	if i := s.firstAt(p.expires); i < len(s.list) {
		if n := slices.Index(s.list[i:], p); n >= 0 {
			s.list = slices.Delete(s.list, i+n, i+n+1)
		}
	}
}

// firstAt returns the index of the first promise that expires at a time or later.
func (s *schedule) firstAt(at time.Time) int {
	i, _ := slices.BinarySearchFunc(s.list, at, func(p *promise, at time.Time) int { return p.expires.Compare(at) })
	return i
}

// popExpired removes and returns the first promise if it has expired, else nil.
func (s *schedule) popExpired(now time.Time) *promise {
	if len(s.list) == 0 || !s.list[0].expires.Before(now) {
		return nil
	}
	p := s.list[0]
	s.list[0] = nil
	s.list = s.list[1:]
	return p
}
