// Package balance chooses the target of a request among those of one service
// in one place, by what this node's own traffic shows.
package balance

import "sync"

// Set is the targets of one service in one place. It is immutable; the targets
// in it change.
type Set struct {
	Targets []*Target

	// ejecting makes the check of the bound and the ejection one step: two
	// targets that fail at once must not both be the last that may go.
	ejecting sync.Mutex
}

// maxEjectedParts: at most one in this many targets is ejected at once.
const maxEjectedParts = 2

// spareLoad is how much of the rest's slots may be in use when one more target
// is ejected.
const spareLoad = 0.8

// Skip marks targets by index that a request must not go to again.
type Skip uint64

// maxSkip is how many targets a Skip can mark; later ones are never marked.
const maxSkip = 64

// With returns the marks with one more.
func (s Skip) With(index int) Skip {
	if index >= maxSkip {
		return s
	}
	return s | 1<<index
}

// Has reports whether a target is marked.
func (s Skip) Has(index int) bool { return index < maxSkip && s&(1<<index) != 0 }

// Acquire chooses a target that may get new work and has a free slot, takes the
// slot and returns the target's index, or -1.
func (s *Set) Acquire(now int64, random uint64, skip Skip) int {
	for {
		i := s.choose(now, random, skip)
		if i < 0 {
			return i
		}
		if s.Targets[i].Acquire() {
			s.Targets[i].chosen(now)
			return i
		}
	}
}

// UsableCount returns how many targets may get new work.
func (s *Set) UsableCount(now int64) int {
	n := 0
	for _, t := range s.Targets {
		if t.Usable(now) {
			n++
		}
	}
	return n
}

// Slots returns the slots this node has and how many of them are free, over the
// targets that may get new work.
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

// guard implements eject.Guard at one time.
type guard struct {
	set *Set
	now int64
}

// RecordFailure counts a failure of the target at an index.
func (s *Set) RecordFailure(index int, now int64) bool {
	s.ejecting.Lock()
	defer s.ejecting.Unlock()
	return s.Targets[index].Health.RecordFailure(now, guard{set: s, now: now})
}

// MayEject implements eject.Guard: at least half of the targets stay, and the
// rest must have slots to spare for what is under way now. Without this bound
// a fault that all targets share would push the last ones over.
func (g guard) MayEject() bool {
	live, out, busy, slots := 0, 0, 0, 0
	for _, t := range g.set.Targets {
		if t.Leaving() {
			continue
		}
		live++
		busy += t.Outstanding()
		if t.Health.Ejected(g.now) {
			out++
			continue
		}
		slots += t.Limit()
	}
	if live == 0 || (out+1)*maxEjectedParts > live {
		return false
	}
	rest := float64(slots) * float64(live-out-1) / float64(live-out)
	return float64(busy) <= spareLoad*rest
}
