// Package balance selects a request's target among those of one service in one
// place, based on the latencies and failures of this node's own traffic.
package balance

import "sync"

// Set holds the targets of one service in one place. The list is immutable; the
// state of its targets changes.
type Set struct {
	Targets []*Target

	// ejectMu makes the check of the ejection limit and the ejection atomic, so
	// that concurrent failures cannot exceed the limit.
	ejectMu sync.Mutex
}

// minTargetsPerEjection allows one ejected target for each this many targets.
const minTargetsPerEjection = 2

// maxRemainingLoad is the highest share of the remaining targets' slots that may
// be in use after an ejection.
const maxRemainingLoad = 0.8

// Skip is a set of target indexes that a request must not be sent to again.
type Skip uint64

// maxSkip is the number of indexes that a Skip can hold; higher ones are ignored.
const maxSkip = 64

// With returns the set with one more index.
func (s Skip) With(index int) Skip {
	if index >= maxSkip {
		return s
	}
	return s | 1<<index
}

// Has reports whether the index is in the set.
func (s Skip) Has(index int) bool { return index < maxSkip && s&(1<<index) != 0 }

// Acquire selects an available target, takes one of its slots and returns its
// index, or -1 if none is available.
func (s *Set) Acquire(now int64, random uint64, skip Skip) int {
	for {
		i := s.choose(now, random, skip)
		if i < 0 {
			return i
		}
		if s.Targets[i].Acquire() {
			s.Targets[i].recordChoice(now)
			return i
		}
	}
}

// UsableCount returns the number of targets that may get new work.
func (s *Set) UsableCount(now int64) int {
	n := 0
	for _, t := range s.Targets {
		if t.Usable(now) {
			n++
		}
	}
	return n
}

// Slots returns the total and the free slots of this node at the targets that
// may get new work.
func (s *Set) Slots(now int64) (slots, free int) {
	for _, t := range s.Targets {
		if !t.Usable(now) {
			continue
		}
		slots += t.Limit()
		free += max(0, t.Limit()-t.Outstanding())
	}
	return slots, free
}

// guard implements eject.Guard for a set at a fixed time.
type guard struct {
	set *Set
	now int64
}

// RecordFailure counts a failure of the target at the index and reports whether
// it was ejected.
func (s *Set) RecordFailure(index int, now int64) bool {
	s.ejectMu.Lock()
	defer s.ejectMu.Unlock()
	return s.Targets[index].Health.RecordFailure(now, guard{set: s, now: now})
}

// MayEject implements eject.Guard: at least half of the targets must stay, with
// spare slots beyond the requests in flight. Otherwise a fault common to all
// targets would overload the last ones.
func (g guard) MayEject() bool {
	live, ejected, inFlight, slots := 0, 0, 0, 0
	for _, t := range g.set.Targets {
		if t.Leaving() {
			continue
		}
		live++
		inFlight += t.Outstanding()
		if t.Health.Ejected(g.now) {
			ejected++
			continue
		}
		slots += t.Limit()
	}
	if live == 0 || (ejected+1)*minTargetsPerEjection > live {
		return false
	}
	remaining := float64(slots) * float64(live-ejected-1) / float64(live-ejected)
	return float64(inFlight) <= maxRemainingLoad*remaining
}
