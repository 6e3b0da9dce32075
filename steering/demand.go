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
// zero: an even part of what the service carries with its headroom free.
func (s *solver) assumedDemand(f *flow) float64 {
	sum := 0.0
	for p := range s.cells[f.service] {
		sum += s.cells[f.service][p].configured
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
