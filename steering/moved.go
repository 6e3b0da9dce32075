package steering

import (
	"github.com/yuccaroute/yuccaroute/api/model"
	"github.com/yuccaroute/yuccaroute/api/plan"
)

// readMoves takes account of what was moved lately: the budget of each flow,
// the steps of each cell and the hold-down after failures.
func (s *solver) readMoves() {
	episodes := make(map[cellKey]*episode)
	for i := range s.in.RecentMoves {
		m := &s.in.RecentMoves[i]
		s.chargeMove(m)
		s.chargeCell(m, episodes)
	}
	for key, e := range episodes {
		service := s.serviceIndex(key.service)
		place, ok := s.index[key.place]
		if ok && service >= 0 {
			c := &s.cells[service][place]
			c.holdDown, c.failures = e.holdDown()
		}
	}
	for i := range s.in.Lagging {
		s.chargeBehind(&s.in.Lagging[i])
	}
	for i := range s.flows {
		s.setBudget(&s.flows[i])
	}
	s.shutEarly()
	s.setBackoffs()
}

// chargeMove counts an increase against its flow.
func (s *solver) chargeMove(m *Move) {
	if m.Delta <= 0 || m.Age > s.account.Moves.Window {
		return
	}
	s.charge(m.Service, m.Caller, int64(m.Delta))
}

func (s *solver) chargeBehind(b *LaggingShare) {
	s.charge(b.Service, b.Caller, int64(b.PPM))
}

func (s *solver) charge(service model.ServiceName, caller model.RegionName, ppm int64) {
	for i := range s.flows {
		f := &s.flows[i]
		if service == s.account.Services[f.service].Name && caller == f.caller {
			f.moved += ppm
		}
	}
}

func (s *solver) setBudget(f *flow) {
	f.budget = max(s.capPPM-f.moved, 0)
	if f.fresh {
		f.budget = plan.Whole
	}
}
