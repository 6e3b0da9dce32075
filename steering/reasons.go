package steering

import (
	"time"

	"github.com/yuccaroute/yuccaroute/api/plan"
)

// reasons tells, for each flow, why its shares are not others: for each place
// with a share why it is used, for each place that is cheaper or would answer
// sooner than the dearest in use what keeps more work from it, for each place
// with work that must leave what holds it.
func (s *solver) reasons() []Reason {
	var reasons []Reason
	for i := range s.flows {
		reasons = s.flowReasons(reasons, &s.flows[i])
	}
	return reasons
}

func (s *solver) flowReasons(reasons []Reason, f *flow) []Reason {
	if f.frozen() {
		reasons = append(reasons, s.reason(f, -1, KindStale, f.age.Seconds(), FreezeAge.Seconds(), 0))
	}
	used := s.dearest(f)
	soonest := s.soonest(f)
	for p := range s.places {
		if f.shares[p] > 0 {
			reasons = s.usedReasons(reasons, f, p, soonest)
		}
	}
	if used < 0 {
		return reasons
	}
	if !f.fresh && f.budget <= 0 {
		part := float64(f.moved+f.spent) / plan.Whole
		reasons = append(reasons, s.reason(f, -1, KindMoveCap, part, float64(s.capPPM)/plan.Whole, 0))
	}
	for p := range s.places {
		if p != used {
			reasons = s.keptOut(reasons, f, used, p)
		}
	}
	return reasons
}

// usedReasons says why a place has a share, and why it still has it when work
// must leave.
func (s *solver) usedReasons(reasons []Reason, f *flow, place, soonest int) []Reason {
	if kind, _ := s.mustLeave(f, place); kind != KindNone {
		return s.leaveReasons(reasons, f, place, kind)
	}
	latency := s.latencyMS(f, place)
	best := s.latencyMS(f, soonest)
	if latency <= best {
		return append(reasons, s.reason(f, place, KindLatency, latency, best, 0))
	}
	c := &s.cells[f.service][place]
	return append(reasons, s.reason(f, place, KindHeadroom, utilisationOf(c.load, c.usable), s.target, 0))
}

func (s *solver) leaveReasons(reasons []Reason, f *flow, place int, kind Kind) []Reason {
	reasons = append(reasons, s.numbers(f, place, kind))
	if kind != KindDrain {
		return reasons
	}
	if left, late := s.leftAtEnd(f, place); left > 0 {
		reasons = append(reasons, s.reason(f, place, KindDrainLate, left, 0, late))
	}
	return reasons
}

// keptOut tells what keeps more of a flow from a place that is better than the
// dearest one in use.
func (s *solver) keptOut(reasons []Reason, f *flow, used, place int) []Reason {
	extra := f.rps(quantum)
	cheaper := s.cost(f, place, extra) < s.cost(f, used, 0)-deadBand
	sooner := s.latencyMS(f, place) < s.latencyMS(f, used)
	if !cheaper && !sooner || s.cells[f.service][place].configured <= 0 || s.places[place].region < 0 {
		return reasons
	}
	r := s.roomFor(f, used, place)
	if r.kind != KindNone && r.rps < extra {
		return append(reasons, s.numbers(f, place, r.kind))
	}
	if cheaper {
		return reasons
	}
	return append(reasons, s.reason(f, place, KindBusy, s.utilisation(f, place), s.target, 0))
}

// numbers fills in the values that belong to a kind.
func (s *solver) numbers(f *flow, place int, kind Kind) Reason {
	c := &s.cells[f.service][place]
	share := float64(f.shares[place]) / plan.Whole
	switch kind {
	case KindCapacity:
		return s.reason(f, place, kind, c.load, c.usable, 0)
	case KindRegion:
		r := &s.regions[s.places[place].region]
		return s.reason(f, place, kind, r.load, r.capacity, 0)
	case KindLink:
		r := &s.regions[s.places[place].region]
		return s.reason(f, place, kind, r.linkLoad, r.linkCapacity, 0)
	case KindCold:
		return s.reason(f, place, kind, c.raised, c.step(), 0)
	case KindSlow:
		warm := milliseconds(c.state.WarmP99)
		return s.reason(f, place, kind, milliseconds(c.state.P99), warm*slowHold, 0)
	case KindDrain:
		left := s.places[place].drain.schedule.End.Sub(s.in.Now)
		return s.reason(f, place, kind, share, 0, max(left, 0))
	case KindStale:
		return s.reason(f, place, kind, c.state.Age.Seconds(), FreezeAge.Seconds(), 0)
	case KindUnknown:
		return s.reason(f, place, kind, share, float64(unknownShare)/plan.Whole, 0)
	case KindFailure:
		return s.reason(f, place, kind, c.failure(), failingShare, 0)
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

// soonest returns the place that would answer soonest, of those that have a
// capacity.
func (s *solver) soonest(f *flow) int {
	soonest := 0
	for p := range s.places {
		if s.cells[f.service][p].configured <= 0 || s.places[p].region < 0 {
			continue
		}
		if s.cells[f.service][soonest].configured <= 0 || s.latencyMS(f, p) < s.latencyMS(f, soonest) {
			soonest = p
		}
	}
	return soonest
}
