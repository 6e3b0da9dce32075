package steering

import (
	"time"

	"github.com/yuccaroute/yuccaroute/api/model"
)

type flowKey struct {
	service model.ServiceName
	caller  model.RegionName
}

// readDemand gives each flow its demand, widened by its margin and age.
func (s *solver) readDemand() {
	demands := make(map[flowKey]*Demand, len(s.in.Demand))
	for i := range s.in.Demand {
		d := &s.in.Demand[i]
		demands[flowKey{d.Service, d.Caller}] = d
	}
	for i := range s.flows {
		f := &s.flows[i]
		d := demands[flowKey{s.account.Services[f.service].Name, f.caller}]
		if d == nil {
			f.demand = s.assumedDemand(f)
		} else {
			f.known = true
			f.age = d.Age
			f.demand = d.RPS * (1 + max(d.Margin, 0)) * (1 + staleWidening(d.Age))
		}
		s.totalRPS += f.demand
	}
	for i := range s.flows {
		if s.totalRPS > 0 {
			s.flows[i].weight = s.flows[i].demand / s.totalRPS
		}
	}
}

// assumedDemand stands for a flow nobody measured, because missing is not
// zero: what its own region carries with its headroom free, or an even part of
// all places if its region has none. A first plan made from it stays near the
// callers; an even part of all would pass what a small region carries and send
// callers to far places, from which they return only as fast as the move cap
// lets them.
func (s *solver) assumedDemand(f *flow) float64 {
	own, sum := 0.0, 0.0
	for p := range s.cells[f.service] {
		configured := s.cells[f.service][p].configured
		sum += configured
		if s.account.RegionOf(s.places[p].name) == f.caller {
			own += configured
		}
	}
	if own > 0 {
		return own * s.target
	}
	return sum * s.target * float64(len(s.account.Services)) / float64(len(s.flows))
}

// staleWidening grows with the age of a measurement up to FreezeAge.
func staleWidening(age time.Duration) float64 {
	if age <= freshAge {
		return 0
	}
	return staleMargin * min(1, float64(age-freshAge)/float64(FreezeAge-freshAge))
}
