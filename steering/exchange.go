package steering

import (
	"math"

	"github.com/yuccaroute/yuccaroute/api/plan"
)

// maxRounds bounds the work of one decision. Each round moves at most one
// quantum of each flow, so a whole plan may be turned over within it.
const maxRounds = 2 * plan.Whole / quantum

// exchangeForced moves work that must leave, one quantum of each flow in turn,
// so that no flow takes all the room there is.
func (s *solver) exchangeForced() {
	s.rounds(s.forcedStep)
}

// exchangeForGain moves work to cheaper places: first out of those above
// their target, with all of the cap, then any.
func (s *solver) exchangeForGain() {
	s.rounds(s.reliefStep)
	s.limitOptional()
	s.rounds(s.gainStep)
}

func (s *solver) limitOptional() {
	for i := range s.flows {
		f := &s.flows[i]
		if f.fresh {
			continue
		}
		optional := int64(float64(s.capPPM)*optionalPart) - f.moved - f.spent
		f.budget = min(f.budget, max(optional, 0))
	}
}

func (s *solver) rounds(step func(f *flow) bool) {
	for range maxRounds {
		moved := false
		for i := range s.flows {
			f := &s.flows[i]
			if f.budget > 0 && !f.frozen() && step(f) {
				moved = true
			}
		}
		if !moved {
			return
		}
	}
}

// forcedStep moves one quantum of a flow out of the place it most needs to
// leave, and reports whether it could.
func (s *solver) forcedStep(f *flow) bool {
	from, cause, leave := -1, KindNone, 0.0
	worst := math.Inf(-1)
	for p, share := range f.shares {
		if share == 0 {
			continue
		}
		kind, rps := s.mustLeave(f, p)
		if kind == KindNone {
			continue
		}
		if urgency := urgencyOf(kind)*forcedCost + s.cost(f, p, 0); urgency > worst {
			worst, from, cause, leave = urgency, p, kind, rps
		}
	}
	if from < 0 {
		return false
	}
	to, _ := s.cheapest(f, from)
	if to < 0 {
		return false
	}
	return s.exchange(f, from, to, s.partOf(f, leave), cause)
}

// urgencyOf orders the causes: work in a dead place is refused, work in a full
// one only in part, work in a draining one is still served.
func urgencyOf(kind Kind) float64 {
	switch kind {
	case KindFailure, KindRemoved:
		return 3
	case KindCapacity, KindRegion, KindLink:
		return 2
	default:
		return 1
	}
}

// partOf turns requests/s of a flow into a share, rounded up so that the rest
// does not stay for ever.
func (s *solver) partOf(f *flow, rps float64) uint32 {
	if f.demand <= 0 {
		return quantum
	}
	part := math.Ceil(rps / f.demand * plan.Whole)
	return uint32(min(max(part, 1), quantum))
}

// reliefStep is a gainStep out of a place that is above its target. A rush
// grows while the window turns: with half of the cap only, it fills the place
// before enough has left.
func (s *solver) reliefStep(f *flow) bool {
	from := s.dearest(f)
	if from < 0 || s.utilisation(f, from) <= s.target {
		return false
	}
	return s.gainStep(f)
}

// gainStep moves one quantum of a flow from its dearest place to its cheapest
// one when that gains more than the dead band.
func (s *solver) gainStep(f *flow) bool {
	from := s.dearest(f)
	if from < 0 {
		return false
	}
	to, price := s.cheapest(f, from)
	if to < 0 {
		return false
	}
	if s.cost(f, from, 0)-price <= deadBand {
		return false
	}
	cause := KindHeadroom
	if s.latencyMS(f, to) < s.latencyMS(f, from) {
		cause = KindLatency
	}
	return s.exchange(f, from, to, quantum, cause)
}

func (s *solver) dearest(f *flow) int {
	dearest, highest := -1, math.Inf(-1)
	for p, share := range f.shares {
		if share == 0 {
			continue
		}
		if cost := s.cost(f, p, 0); cost > highest {
			dearest, highest = p, cost
		}
	}
	return dearest
}

// cheapest returns the place with room where one more quantum costs least,
// and that cost, or -1.
func (s *solver) cheapest(f *flow, from int) (int, float64) {
	extra := f.rps(quantum)
	cheapest, lowest := -1, math.Inf(1)
	for p := range s.places {
		if p == from {
			continue
		}
		if cost := s.cost(f, p, extra); cost < lowest && s.hasRoom(f, from, p) {
			cheapest, lowest = p, cost
		}
	}
	return cheapest, lowest
}

// hasRoom reports whether at least leastFit fits.
func (s *solver) hasRoom(f *flow, from, to int) bool {
	r := s.roomFor(f, from, to)
	return r.kind == KindNone || r.rps > 0 && r.rps >= f.rps(leastFit)
}

// exchange moves a part of a flow, as far as the budget, the share and the
// room go, and reports whether anything moved.
func (s *solver) exchange(f *flow, from, to int, part uint32, cause Kind) bool {
	part = min(part, f.shares[from], uint32(f.budget))
	if r := s.roomFor(f, from, to); f.rps(part) > r.rps {
		part = uint32(r.rps / f.demand * plan.Whole)
	}
	if part == 0 {
		return false
	}
	rps := f.rps(part)
	f.shares[from] -= part
	f.shares[to] += part
	s.addLoad(f, from, -rps)
	s.addLoad(f, to, rps)
	s.cells[f.service][to].raised += rps
	if cause == KindSlow {
		s.cells[f.service][from].backoff -= rps
	}
	f.budget -= int64(part)
	f.spent += int64(part)
	f.causes[from] = cause
	f.causes[to] = cause
	return true
}
