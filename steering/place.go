package steering

import (
	"math"

	"github.com/yuccaroute/yuccaroute/api/plan"
)

// placeNewFlows assigns shares to new flows, one quantum of each in turn.
func (s *solver) placeNewFlows() {
	for range maxRounds / 2 {
		for i := range s.flows {
			f := &s.flows[i]
			if f.isNew {
				s.placeQuantum(f)
			}
		}
	}
	for i := range s.flows {
		f := &s.flows[i]
		if f.isNew {
			s.placeRemainder(f)
		}
	}
}

func (s *solver) placeQuantum(f *flow) {
	to, _ := s.cheapest(f, -1)
	if to < 0 {
		return
	}
	part := uint32(quantum)
	if r := s.spareCapacityFor(f, -1, to); f.rps(part) > r.rps {
		part = uint32(r.rps / f.demand * plan.Whole)
	}
	s.addShare(f, to, part)
}

// placeRemainder brings the shares up to the whole when the demand exceeds the
// capacity. The remainder goes to the places already used, in proportion, or to
// the cheapest one that is not blocked, where the limits reject the excess.
func (s *solver) placeRemainder(f *flow) {
	placed := uint64(0)
	largest := -1
	for p, share := range f.shares {
		placed += uint64(share)
		if share > 0 && (largest < 0 || share > f.shares[largest]) {
			largest = p
		}
	}
	if placed == 0 {
		largest = s.cheapestUnblocked(f)
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
		s.addShare(f, p, uint32(part))
	}
	s.addShare(f, largest, uint32(rest))
}

func (s *solver) addShare(f *flow, place int, part uint32) {
	f.shares[place] += part
	s.addLoad(f, place, f.rps(part))
}

func (s *solver) cheapestUnblocked(f *flow) int {
	open, lowest := -1, math.Inf(1)
	for p := range s.places {
		if s.blockedBy(f, p) != KindNone {
			continue
		}
		if cost := s.cost(f, p, 0); cost < lowest {
			open, lowest = p, cost
		}
	}
	return open
}
