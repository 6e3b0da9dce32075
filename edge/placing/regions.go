package placing

import "time"

// regionFor returns the region that runs a request: the one whose weight is due if
// it can answer in time there, "" if no region has a target.
func (b *Balancer) regionFor(now time.Time, s *service, r *Request) string {
	if own := b.options.Region; r.Large && r.allows(own) && s.slots(now, own) > 0 && s.utilization(now, own) < largeLocalUtilization {
		return own
	}
	work := r.serviceTime()
	region, ok := s.weights.pick(r, b.tolerance, func(region string) bool {
		if !r.allows(region) || s.slots(now, region) == 0 {
			return false
		}
		return region == b.options.Region || !now.Add(b.options.RTT(region)+work).After(r.Objective)
	})
	if ok {
		return region
	}
	return b.nearest(now, s, r)
}

// nearest is the allowed region with targets and the least delay.
func (b *Balancer) nearest(now time.Time, s *service, r *Request) string {
	best := ""
	for region := range s.regions {
		if !r.allows(region) || s.slots(now, region) == 0 {
			continue
		}
		if best == "" || b.options.RTT(region) < b.options.RTT(best) ||
			(b.options.RTT(region) == b.options.RTT(best) && region < best) {
			best = region
		}
	}
	return best
}

// stepWeights moves a service's region weights towards what demand and capacity ask for.
func (b *Balancer) stepWeights(now time.Time, s *service) {
	capacity := make(map[string]float64)
	for region := range s.regions {
		capacity[region] = float64(s.slots(now, region))
	}
	if s.weights.weight == nil {
		s.weights.initialize(now, b.options.Region, capacity)
	}
	s.weights.step(now, planWeights(b.options.Region, b.demandOf(now, s), capacity), b.shiftRate(now, s))
}

// shiftRate is how much of the requests may change their region in a second.
func (b *Balancer) shiftRate(now time.Time, s *service) float64 {
	switch {
	case !b.lossAt.IsZero() && now.Sub(b.lossAt) < lossWindow:
		return lossShiftRate
	case !s.refusedAt.IsZero() && now.Sub(s.refusedAt) < refusalWindow:
		return refusalShiftRate
	}
	return baseShiftRate
}

func (b *Balancer) demandOf(now time.Time, s *service) map[string]float64 {
	s.demand.decay(now)
	needs := map[string]float64{b.options.Region: s.demand.slots}
	for _, p := range b.peers {
		if now.Sub(p.At) < peerTTL {
			for region, services := range p.Demand {
				needs[region] += services[s.Name]
			}
		}
	}
	return needs
}
