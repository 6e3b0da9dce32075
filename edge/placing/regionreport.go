package placing

import "time"

// RestrictedDemand is demand in slots that may run in some regions only, by service and by set of
// regions, see regionplan.Set. It is contained in the total demand.
type RestrictedDemand = map[string]map[uint32]float64

// ReportRestricted returns the restricted demand that this VM reports to others, nil for none.
func (b *Balancer) ReportRestricted(now time.Time) RestrictedDemand {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.lastReport.restricted = b.localRestricted(now)
	return b.lastReport.restricted
}

func (b *Balancer) localRestricted(now time.Time) RestrictedDemand {
	var restricted RestrictedDemand
	for name, s := range b.services {
		restricted = addRestricted(restricted, name, s.plan.slots(now))
	}
	return restricted
}

// addRestricted adds the demand for a service and returns the sums, which it creates if needed.
func addRestricted(sums RestrictedDemand, service string, sets map[uint32]float64) RestrictedDemand {
	if len(sets) == 0 {
		return sums
	}
	if sums == nil {
		sums = make(RestrictedDemand)
	}
	if sums[service] == nil {
		sums[service] = make(map[uint32]float64, len(sets))
	}
	for set, slots := range sets {
		sums[service][set] += slots
	}
	return sums
}

// RestrictedRegionSums returns the restricted demand of all VMs of the local region, including this
// one, nil for none.
func (b *Balancer) RestrictedRegionSums(now time.Time) RestrictedDemand {
	b.mu.Lock()
	defer b.mu.Unlock()
	sums := b.localRestricted(now)
	for _, p := range b.peers {
		if p.Aggregated || now.Sub(p.At) >= peerTTL {
			continue
		}
		for service, sets := range p.Restricted[b.options.Region] {
			sums = addRestricted(sums, service, sets)
		}
	}
	return sums
}

// RestrictedOtherRegionSums returns the restricted demand by region over the reports from other
// regions, nil for none.
func (b *Balancer) RestrictedOtherRegionSums(now time.Time) map[string]RestrictedDemand {
	b.mu.Lock()
	defer b.mu.Unlock()
	var sums map[string]RestrictedDemand
	for _, p := range b.peers {
		if _, local := p.Demand[b.options.Region]; local || now.Sub(p.At) >= peerTTL {
			continue
		}
		for region, services := range p.Restricted {
			if sums == nil {
				sums = make(map[string]RestrictedDemand)
			}
			for service, sets := range services {
				sums[region] = addRestricted(sums[region], service, sets)
			}
		}
	}
	return sums
}

// withoutOwn returns the restricted demand of the other VMs of the region.
func (r *report) withoutOwn(sums RestrictedDemand) RestrictedDemand {
	var remaining RestrictedDemand
	for service, sets := range sums {
		others := make(map[uint32]float64, len(sets))
		for set, slots := range sets {
			others[set] = max(0, slots-r.restricted[service][set])
		}
		remaining = addRestricted(remaining, service, others)
	}
	return remaining
}
