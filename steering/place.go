package steering

import (
	"math"

	"github.com/yuccaroute/yuccaroute/api/plan"
)

// place gives shares to flows that have none, one quantum of each in turn.
func (s *solver) place() {
	for range maxRounds / 2 {
		for i := range s.flows {
			f := &s.flows[i]
			if f.fresh {
				s.placeQuantum(f)
			}
		}
	}
	for i := range s.flows {
		f := &s.flows[i]
		if f.fresh {
			s.fillUp(f)
		}
	}
}

func (s *solver) placeQuantum(f *flow) {
	to, _ := s.cheapest(f, -1)
	if to < 0 {
		return
	}
	part := uint32(quantum)
	if r := s.roomFor(f, -1, to); f.rps(part) > r.rps {
		part = uint32(r.rps / f.demand * plan.Whole)
	}
	s.grow(f, to, part)
}

// fillUp brings the shares to the whole when there was no room for all of the
// demand: the rest follows the shares placed, or the cheapest place that is
// not closed, and is refused there by the limits.
func (s *solver) fillUp(f *flow) {
	placed := uint64(0)
	largest := -1
	for p, share := range f.shares {
		placed += uint64(share)
		if share > 0 && (largest < 0 || share > f.shares[largest]) {
			largest = p
		}
	}
	if placed == 0 {
		largest = s.cheapestOpen(f)
	}
	if largest < 0 || placed >= plan.Whole {
		return
	}
	missing := uint64(plan.Whole) - placed
	rest := missing
	for p, share := range f.shares {
		if share == 0 {
			continue
		}
		part := missing * uint64(share) / placed
		rest -= part
		s.grow(f, p, uint32(part))
	}
	s.grow(f, largest, uint32(rest))
}

func (s *solver) grow(f *flow, place int, part uint32) {
	f.shares[place] += part
	s.addLoad(f, place, f.rps(part))
}

func (s *solver) cheapestOpen(f *flow) int {
	open, lowest := -1, math.Inf(1)
	for p := range s.places {
		if s.closed(f, p) != KindNone {
			continue
		}
		if cost := s.cost(f, p, 0); cost < lowest {
			open, lowest = p, cost
		}
	}
	return open
}
