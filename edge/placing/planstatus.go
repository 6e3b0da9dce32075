package placing

import (
	"maps"
	"time"

	"github.com/yuccaroute/yuccaroute/edge/regionplan"
)

// PlanStatus is this VM's view of the regions in which requests of a service should run that may use
// the same regions.
type PlanStatus struct {
	Service string
	// Regions are the regions that the requests may use; Restricted is false if these are all.
	Regions    []string
	Restricted bool
	// Weights are the fractions of the requests of this VM's callers by region, Planned what the
	// weights move to, nil if no demand is restricted. Both are nil for a restricted set that only
	// other VMs report.
	Weights, Planned map[string]float64
	// Demand of each region's callers for the service that may use the same regions, and Capacity of
	// each region, in slots.
	Demand, Capacity map[string]float64
	// ReportAge is the age of the oldest valid report of another VM.
	ReportAge time.Duration
}

// RegionPlans returns the region plans of all services, none if the region plan is off. Each set of
// regions with demand of this VM or of a valid report is listed. Weights are unknown before the first
// request. As in Load, decisions can be made between two services.
func (b *Balancer) RegionPlans(now time.Time) []PlanStatus {
	if len(b.names.names) == 0 {
		return nil
	}
	var list []PlanStatus
	names, _ := b.serviceNames(now)
	for _, name := range names {
		list = append(list, b.plansOf(now, name)...)
	}
	return list
}

// plansOf returns the region plans of a known service.
func (b *Balancer) plansOf(now time.Time, name string) (list []PlanStatus) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.services[name]
	s.resetLoads()
	s.demand.decay(now)
	demand := b.sourcesOf(now, s)
	list = append(list, b.planStatus(now, s, b.names.all(), demand, &s.weights, s.plan.planned))
	for set, source := range s.plan.restricted {
		list = append(list, b.planStatus(now, s, set, demand, &source.weights, source.planned))
	}
	for set := range s.plan.setsOfOthers(demand, b.names.all()) {
		list = append(list, b.planStatus(now, s, set, demand, &regionWeights{}, nil))
	}
	return list
}

// setsOfOthers returns the restricted sets that have demand, but none from this VM's callers.
func (p *servicePlan) setsOfOthers(demand map[regionplan.Source]float64, all regionplan.Set) map[regionplan.Set]bool {
	sets := make(map[regionplan.Set]bool)
	for source := range demand {
		if source.Allowed != all && p.restricted[source.Allowed] == nil {
			sets[source.Allowed] = true
		}
	}
	return sets
}

func (b *Balancer) planStatus(now time.Time, s *service, set regionplan.Set, demand map[regionplan.Source]float64, w *regionWeights, planned map[string]float64) PlanStatus {
	p := PlanStatus{
		Service: s.Name, Regions: b.names.namesIn(set), Restricted: set != b.names.all(),
		Weights: maps.Clone(w.weight), Planned: maps.Clone(planned),
		Demand: make(map[string]float64), Capacity: make(map[string]float64), ReportAge: b.countsAge(now),
	}
	for i, name := range b.names.names {
		p.Demand[name] = demand[regionplan.Source{Region: i, Allowed: set}]
		p.Capacity[name] = s.slots(now, name)
	}
	return p
}
