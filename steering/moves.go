package steering

import (
	"github.com/yuccaroute/yuccaroute/api/model"
	"github.com/yuccaroute/yuccaroute/api/plan"
)

// readMoves applies the recent moves to the budget of each flow and to the steps
// and hold-downs of each cell.
func (s *solver) readMoves() {
	histories := make(map[cellKey]*failureHistory)
	for i := range s.in.RecentMoves {
		m := &s.in.RecentMoves[i]
		s.chargeMove(m)
		s.recordCellMove(m, histories)
	}
	for key, h := range histories {
		service := s.serviceIndex(key.service)
		place, ok := s.placeIndex[key.place]
		if ok && service >= 0 {
			c := &s.cells[service][place]
			c.holdDown, c.failureCount = h.holdDown()
		}
	}
	for i := range s.in.Lagging {
		s.chargeLagging(&s.in.Lagging[i])
	}
	for i := range s.flows {
		s.setBudget(&s.flows[i])
	}
	s.closeEarly()
	s.setBackoffs()
}

// chargeMove charges an increase to the budget of its flow.
func (s *solver) chargeMove(m *Move) {
	if m.Delta <= 0 || m.Age > s.account.Moves.Window {
		return
	}
	s.charge(m.Service, m.Caller, int64(m.Delta))
}

func (s *solver) chargeLagging(l *LaggingShare) {
	s.charge(l.Service, l.Caller, int64(l.PPM))
}

func (s *solver) charge(service model.ServiceName, caller model.RegionName, ppm int64) {
	for i := range s.flows {
		f := &s.flows[i]
		if service == s.account.Services[f.service].Name && caller == f.caller {
			f.movedInWindow += ppm
		}
	}
}

func (s *solver) setBudget(f *flow) {
	f.budget = max(s.capPPM-f.movedInWindow, 0)
	if f.isNew {
		f.budget = plan.Whole
	}
}
