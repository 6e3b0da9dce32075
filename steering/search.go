package steering

import (
	"math"

	"github.com/yuccaroute/yuccaroute/api/plan"
)

// maxRounds bounds the work of one decision. Each round moves at most one quantum
// of each flow, so the limit allows moving all of a flow.
const maxRounds = 2 * plan.Whole / quantum

// makeForcedMoves moves traffic that must leave its place. Flows take turns, one
// quantum each, so that no flow takes all spare capacity.
func (s *solver) makeForcedMoves() {
	s.repeatRounds(s.forcedMove)
}

// makeOptionalMoves moves traffic to cheaper places: first out of places above
// their target utilisation, with all of the cap, then in general.
func (s *solver) makeOptionalMoves() {
	s.repeatRounds(s.reliefMove)
	s.limitOptionalBudget()
	s.repeatRounds(s.optionalMove)
}

func (s *solver) limitOptionalBudget() {
	for i := range s.flows {
		f := &s.flows[i]
		if f.isNew {
			continue
		}
		optional := int64(float64(s.capPPM)*optionalMoveShare) - f.movedInWindow - f.movedNow
		f.budget = min(f.budget, max(optional, 0))
	}
}

func (s *solver) repeatRounds(step func(f *flow) bool) {
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

// forcedMove moves one quantum of a flow out of the place with the most urgent
// cause, and reports whether it could.
func (s *solver) forcedMove(f *flow) bool {
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
		if urgency := priorityOf(kind)*forcedMoveCost + s.cost(f, p, 0); urgency > worst {
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
	return s.moveShare(f, from, to, s.shareForRPS(f, leave), cause)
}

// priorityOf orders the causes of forced moves. A failed place serves no requests,
// an overloaded one rejects some, a draining one still serves all.
func priorityOf(kind Kind) float64 {
	switch kind {
	case KindFailure, KindRemoved:
		return 3
	case KindCapacity, KindRegion, KindLink:
		return 2
	default:
		return 1
	}
}

// shareForRPS converts requests/s of a flow to a share of at most one quantum. It
// rounds up so that no remainder stays behind.
func (s *solver) shareForRPS(f *flow, rps float64) uint32 {
	if f.demand <= 0 {
		return quantum
	}
	part := math.Ceil(rps / f.demand * plan.Whole)
	return uint32(min(max(part, 1), quantum))
}

// reliefMove is an optionalMove out of a place above its target utilisation. It may
// use all of the cap, because a sudden rise in demand can fill the place within a
// window.
func (s *solver) reliefMove(f *flow) bool {
	from := s.mostExpensive(f)
	if from < 0 || s.utilisation(f, from) <= s.targetUtilisation {
		return false
	}
	return s.optionalMove(f)
}

// optionalMove moves one quantum of a flow from its most expensive place to the
// cheapest one when that saves more than the dead band.
func (s *solver) optionalMove(f *flow) bool {
	from := s.mostExpensive(f)
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
	return s.moveShare(f, from, to, quantum, cause)
}

func (s *solver) mostExpensive(f *flow) int {
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

// cheapest returns the place with spare capacity where one more quantum costs
// least, and that cost. The place is -1 when there is none.
func (s *solver) cheapest(f *flow, from int) (int, float64) {
	extra := f.rps(quantum)
	cheapest, lowest := -1, math.Inf(1)
	for p := range s.places {
		if p == from {
			continue
		}
		if cost := s.cost(f, p, extra); cost < lowest && s.hasSpareCapacity(f, from, p) {
			cheapest, lowest = p, cost
		}
	}
	return cheapest, lowest
}

// hasSpareCapacity reports whether at least minFit of a flow fits.
func (s *solver) hasSpareCapacity(f *flow, from, to int) bool {
	r := s.spareCapacityFor(f, from, to)
	return r.kind == KindNone || r.rps > 0 && r.rps >= f.rps(minFit)
}

// moveShare moves part of a flow, limited by the budget, the share and the spare
// capacity, and reports whether anything moved.
func (s *solver) moveShare(f *flow, from, to int, part uint32, cause Kind) bool {
	part = min(part, f.shares[from], uint32(f.budget))
	if r := s.spareCapacityFor(f, from, to); f.rps(part) > r.rps {
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
	s.cells[f.service][to].stepIncrease += rps
	if cause == KindSlow {
		s.cells[f.service][from].backoff -= rps
	}
	f.budget -= int64(part)
	f.movedNow += int64(part)
	f.causes[from] = cause
	f.causes[to] = cause
	return true
}
