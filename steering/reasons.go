package steering

import (
	"time"

	"github.com/yuccaroute/yuccaroute/api/plan"
)

// reasons explains the shares of each flow: why each place is used, what limits the
// share of places that are cheaper or faster, and what delays traffic that must
// leave.
func (s *solver) reasons() []Reason {
	var reasons []Reason
	for i := range s.flows {
		reasons = s.flowReasons(reasons, &s.flows[i])
	}
	return reasons
}

func (s *solver) flowReasons(reasons []Reason, f *flow) []Reason {
	if f.frozen() {
		reasons = append(reasons, s.reason(f, -1, KindStale, f.demandAge.Seconds(), FreezeAge.Seconds(), 0))
	}
	mostExpensive := s.mostExpensive(f)
	fastest := s.lowestLatencyPlace(f)
	for p := range s.places {
		if f.shares[p] > 0 {
			reasons = s.usedReasons(reasons, f, p, fastest)
		}
	}
	if mostExpensive < 0 {
		return reasons
	}
	if !f.isNew && f.budget <= 0 {
		part := float64(f.movedInWindow+f.movedNow) / plan.Whole
		reasons = append(reasons, s.reason(f, -1, KindMoveCap, part, float64(s.capPPM)/plan.Whole, 0))
	}
	for p := range s.places {
		if p != mostExpensive {
			reasons = s.exclusionReasons(reasons, f, mostExpensive, p)
		}
	}
	return reasons
}

// usedReasons explains the share of a place, or why a forced move out of it is not
// finished.
func (s *solver) usedReasons(reasons []Reason, f *flow, place, fastest int) []Reason {
	if kind, _ := s.mustLeave(f, place); kind != KindNone {
		return s.leaveReasons(reasons, f, place, kind)
	}
	latency := s.latencyMS(f, place)
	best := s.latencyMS(f, fastest)
	if latency <= best {
		return append(reasons, s.reason(f, place, KindLatency, latency, best, 0))
	}
	c := &s.cells[f.service][place]
	return append(reasons, s.reason(f, place, KindHeadroom, utilisationOf(c.load, c.stableCapacity), s.targetUtilisation, 0))
}

func (s *solver) leaveReasons(reasons []Reason, f *flow, place int, kind Kind) []Reason {
	reasons = append(reasons, s.reasonFor(f, place, kind))
	if kind != KindDrain {
		return reasons
	}
	if left, late := s.remainingAtEnd(f, place); left > 0 {
		reasons = append(reasons, s.reason(f, place, KindDrainLate, left, 0, late))
	}
	return reasons
}

// exclusionReasons explains what keeps a flow out of a place that is better than
// the most expensive one in use.
func (s *solver) exclusionReasons(reasons []Reason, f *flow, mostExpensive, place int) []Reason {
	extra := f.rps(quantum)
	cheaper := s.cost(f, place, extra) < s.cost(f, mostExpensive, 0)-deadBand
	faster := s.latencyMS(f, place) < s.latencyMS(f, mostExpensive)
	if !cheaper && !faster || s.cells[f.service][place].configuredCapacity <= 0 || s.places[place].region < 0 {
		return reasons
	}
	r := s.spareCapacityFor(f, mostExpensive, place)
	if r.kind != KindNone && r.rps < extra {
		return append(reasons, s.reasonFor(f, place, r.kind))
	}
	if cheaper {
		return reasons
	}
	return append(reasons, s.reason(f, place, KindBusy, s.utilisation(f, place), s.targetUtilisation, 0))
}

// reasonFor returns a reason with the values that belong to its kind.
func (s *solver) reasonFor(f *flow, place int, kind Kind) Reason {
	c := &s.cells[f.service][place]
	share := float64(f.shares[place]) / plan.Whole
	switch kind {
	case KindCapacity:
		return s.reason(f, place, kind, c.load, c.stableCapacity, 0)
	case KindRegion:
		r := &s.regions[s.places[place].region]
		return s.reason(f, place, kind, r.load, r.capacity, 0)
	case KindLink:
		r := &s.regions[s.places[place].region]
		return s.reason(f, place, kind, r.linkLoad, r.linkCapacity, 0)
	case KindCold:
		return s.reason(f, place, kind, c.stepIncrease, c.maxStep(), 0)
	case KindSlow:
		warm := milliseconds(c.state.WarmP99)
		return s.reason(f, place, kind, milliseconds(c.state.P99), warm*slowHoldRatio, 0)
	case KindDrain:
		left := s.places[place].drain.schedule.End.Sub(s.in.Now)
		return s.reason(f, place, kind, share, 0, max(left, 0))
	case KindStale:
		return s.reason(f, place, kind, c.state.Age.Seconds(), FreezeAge.Seconds(), 0)
	case KindUnknown:
		return s.reason(f, place, kind, share, float64(maxUnknownShare)/plan.Whole, 0)
	case KindFailure:
		return s.reason(f, place, kind, c.unavailableShare(), failingShare, 0)
	case KindHoldDown:
		return s.reason(f, place, kind, 0, 0, c.holdDown)
	default:
		return s.reason(f, place, kind, share, 0, 0)
	}
}

func (s *solver) reason(f *flow, place int, kind Kind, value, limit float64, wait time.Duration) Reason {
	r := Reason{
		Kind:    kind,
		Service: s.account.Services[f.service].Name,
		Caller:  f.caller,
		Value:   value,
		Limit:   limit,
		Wait:    wait,
	}
	if place >= 0 {
		r.Place = s.places[place].name
	}
	return r
}

// lowestLatencyPlace returns the place with the lowest latency among those with
// capacity.
func (s *solver) lowestLatencyPlace(f *flow) int {
	fastest := 0
	for p := range s.places {
		if s.cells[f.service][p].configuredCapacity <= 0 || s.places[p].region < 0 {
			continue
		}
		if s.cells[f.service][fastest].configuredCapacity <= 0 || s.latencyMS(f, p) < s.latencyMS(f, fastest) {
			fastest = p
		}
	}
	return fastest
}
