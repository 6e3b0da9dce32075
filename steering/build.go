package steering

import (
	"sort"

	"github.com/yuccaroute/yuccaroute/api/plan"
)

// decision builds the result from the state of the solver.
func (s *solver) decision() Decision {
	d := Decision{Plan: s.plan(), Frozen: s.frozen()}
	for i := range s.flows {
		f := &s.flows[i]
		d.MovedPPM += uint32(float64(f.movedNow) * f.weight)
		d.Moves = s.appendMoves(d.Moves, f)
	}
	d.Changed = len(d.Moves) > 0 || s.anyNew()
	d.Limits = s.limits()
	d.Reasons = s.reasons()
	return d
}

func (s *solver) plan() *plan.Plan {
	p := &plan.Plan{
		Account:        s.account.Name,
		ConfigRevision: s.account.Revision,
		Epoch:          s.in.Epoch,
		Sequence:       s.in.Sequence,
		Flows:          make([]plan.Flow, 0, len(s.flows)),
	}
	order := s.placesByName()
	for i := range s.flows {
		f := &s.flows[i]
		p.Flows = append(p.Flows, plan.Flow{
			Service: s.account.Services[f.service].Name,
			Caller:  f.caller,
			Shares:  s.sharesOf(f, order),
		})
	}
	return p
}

func (s *solver) placesByName() []int {
	order := make([]int, len(s.places))
	for i := range order {
		order[i] = i
	}
	sort.Slice(order, func(i, j int) bool { return s.places[order[i]].name < s.places[order[j]].name })
	return order
}

func (s *solver) sharesOf(f *flow, order []int) []plan.Share {
	count := 0
	for _, share := range f.shares {
		if share > 0 {
			count++
		}
	}
	shares := make([]plan.Share, 0, count)
	for _, p := range order {
		if f.shares[p] > 0 {
			shares = append(shares, plan.Share{Place: s.places[p].name, PPM: f.shares[p]})
		}
	}
	return shares
}

func (s *solver) appendMoves(moves []Move, f *flow) []Move {
	if f.isNew {
		return moves
	}
	for p := range f.shares {
		if f.shares[p] == f.previous[p] {
			continue
		}
		moves = append(moves, Move{
			Service: s.account.Services[f.service].Name,
			Caller:  f.caller,
			Place:   s.places[p].name,
			Delta:   int32(f.shares[p]) - int32(f.previous[p]),
			Cause:   f.causes[p],
		})
	}
	return moves
}

func (s *solver) anyNew() bool {
	for i := range s.flows {
		if s.flows[i].isNew {
			return true
		}
	}
	return false
}

// frozen reports whether no flow may be increased anywhere.
func (s *solver) frozen() bool {
	for i := range s.flows {
		if !s.flows[i].frozen() {
			return false
		}
	}
	return true
}

func sortOldestFirst(moves []Move) {
	sort.SliceStable(moves, func(i, j int) bool { return moves[i].Age > moves[j].Age })
}
