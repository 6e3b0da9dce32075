package steering

import (
	"time"

	"github.com/yuccaroute/yuccaroute/api/model"
)

type flowKey struct {
	service model.ServiceName
	caller  model.RegionName
}

// readDemand sets the demand of each flow, widened by its margin and age.
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
			f.demandKnown = true
			f.demandAge = d.Age
			f.demand = d.RPS * (1 + max(d.Margin, 0)) * (1 + staleMarginAt(d.Age))
		}
		s.totalRPS += f.demand
	}
	for i := range s.flows {
		if s.totalRPS > 0 {
			s.flows[i].weight = s.flows[i].demand / s.totalRPS
		}
	}
}

// assumedDemand estimates an unmeasured flow: the capacity of its own region up to
// the target utilisation, or an even part of all capacity when its region has none.
// An even part for every flow would exceed small regions and send callers far away,
// from where the move cap lets them return only slowly.
func (s *solver) assumedDemand(f *flow) float64 {
	own, sum := 0.0, 0.0
	for p := range s.cells[f.service] {
		configured := s.cells[f.service][p].configuredCapacity
		sum += configured
		if s.account.RegionOf(s.places[p].name) == f.caller {
			own += configured
		}
	}
	if own > 0 {
		return own * s.targetUtilisation
	}
	return sum * s.targetUtilisation * float64(len(s.account.Services)) / float64(len(s.flows))
}

// staleMarginAt returns the margin for the age of a measurement. It grows up to
// FreezeAge.
func staleMarginAt(age time.Duration) float64 {
	if age <= freshAge {
		return 0
	}
	return staleMargin * min(1, float64(age-freshAge)/float64(FreezeAge-freshAge))
}
