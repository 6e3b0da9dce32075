package placing

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/yuccaroute/yuccaroute/edge/loadview"
	"github.com/yuccaroute/yuccaroute/edge/refusals"
	"github.com/yuccaroute/yuccaroute/edge/regionplan"
	"github.com/yuccaroute/yuccaroute/edge/workingset"
)

// minShownDemand is the demand in slots below which a source is not shown. Measured demand decays and
// never reaches 0.
const minShownDemand = minRestrictedDemand

// Load returns the sorted names of all regions, the load of all services as this VM knows it, and the age
// of the oldest valid report of another VM. Between two services decisions can be made: the demand of a large
// deployment takes some tenths of a millisecond to add up for each.
func (b *Balancer) Load(now time.Time) (regions []string, services []loadview.Service, reportAge time.Duration) {
	regions = slices.Compact(slices.Sorted(maps.Values(b.options.RegionOf)))
	services = []loadview.Service{}
	names, reportAge := b.serviceNames(now)
	for _, name := range names {
		services = append(services, b.viewService(now, name, regions))
	}
	return regions, services, reportAge
}

// serviceNames returns the sorted names of all services, and the age of the oldest valid report.
func (b *Balancer) serviceNames(now time.Time) ([]string, time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return slices.Sorted(maps.Keys(b.services)), b.countsAge(now)
}

// viewService returns the load of a known service: services are never removed.
func (b *Balancer) viewService(now time.Time, name string, regions []string) loadview.Service {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.services[name]
	s.resetLoads()
	l := loadview.Service{Service: name, Demand: b.viewDemand(now, s, regions), Weights: b.viewWeights(s, regions)}
	for _, region := range regions {
		l.Regions = append(l.Regions, b.viewRegion(now, s, region))
	}
	return l
}

// viewDemand returns the demand by source. With the region plan off, all demand counts as unrestricted,
// as it does for decisions.
func (b *Balancer) viewDemand(now time.Time, s *service, regions []string) []loadview.Demand {
	list := []loadview.Demand{}
	if len(b.names.names) == 0 {
		demand := b.demandOf(now, s)
		for _, region := range regions {
			if slots := demand[region]; isDemand(slots) && slots >= minShownDemand {
				list = append(list, loadview.Demand{CallersRegion: region, AllowedRegions: regions, DemandSlots: slots})
			}
		}
		return list
	}
	s.demand.decay(now)
	for source, slots := range b.sourcesOf(now, s) {
		if slots >= minShownDemand {
			list = append(list, loadview.Demand{CallersRegion: b.names.names[source.Region], AllowedRegions: b.names.namesIn(source.Allowed), DemandSlots: slots})
		}
	}
	slices.SortFunc(list, func(x, y loadview.Demand) int {
		return cmp.Or(slices.Compare(x.AllowedRegions, y.AllowedRegions), cmp.Compare(x.CallersRegion, y.CallersRegion))
	})
	return list
}

func (b *Balancer) viewWeights(s *service, regions []string) []loadview.Weights {
	list := []loadview.Weights{{AllowedRegions: regions, Weights: maps.Clone(s.weights.weight), Planned: maps.Clone(s.plan.planned)}}
	for _, set := range slices.SortedFunc(maps.Keys(s.plan.restricted), func(x, y regionplan.Set) int { return int(x) - int(y) }) {
		source := s.plan.restricted[set]
		list = append(list, loadview.Weights{
			AllowedRegions: b.names.namesIn(set), Weights: maps.Clone(source.weights.weight), Planned: maps.Clone(source.planned),
		})
	}
	return list
}

func (b *Balancer) viewRegion(now time.Time, s *service, region string) loadview.Region {
	l := s.loadOf(now, region)
	r := loadview.Region{Region: region, CapacitySlots: l.slots, InFlight: l.total, InFlightOfVM: l.local}
	if ring := b.sets.rings[region]; ring != nil {
		f := ring.Fractions(workingset.ScopeOf(s.Name, region))
		if c := s.scopes[region]; c != nil || f.Limits() {
			r.WorkingSet = &loadview.WorkingSet{FractionByRank: f[:]}
			r.WorkingSet.DecidingVM, _ = ring.Decider()
			if c != nil {
				r.WorkingSet.Refused = c.refused
			}
		}
	}
	if p := s.promises[region]; p != nil {
		p.Expire(now)
		counts := p.Counts()
		r.Returns = &loadview.Returns{Pending: counts.Pending, Promised: counts.Promised, Kept: counts.Kept, Lapsed: counts.Lapsed}
	}
	return r
}

// Starts returns the accounts and ranks with the most requests that this VM sent to targets of a service in a
// region in some seconds.
func (b *Balancer) Starts(now time.Time, serviceName, region string, during *refusals.Seconds) []refusals.Started {
	b.mu.Lock()
	defer b.mu.Unlock()
	if s := b.services[serviceName]; s != nil && s.starts[region] != nil {
		return s.starts[region].Most(now, during)
	}
	return []refusals.Started{}
}
