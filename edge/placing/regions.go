package placing

import (
	"time"

	"github.com/yuccaroute/yuccaroute/edge/regionplan"
)

// regionFor selects the region for a request: by weight among the regions that can meet
// its objective, else the nearest one, or "" if no allowed region has capacity. Regions in which the
// request has been to all targets are selected only if all are such.
func (b *Balancer) regionFor(now time.Time, s *service, r *Request) string {
	if own := b.options.Region; r.Large && r.allows(own) && s.untriedSlots(now, own, r) > 0 && s.utilization(now, own) < largeLocalUtilization {
		return own
	}
	work := r.serviceTime()
	region, ok := b.weightsFor(s, r).pick(r, b.tolerance, func(region string) bool {
		if !r.allows(region) || s.untriedSlots(now, region, r) == 0 {
			return false
		}
		return region == b.options.Region || !now.Add(b.options.RTT(region)+work).After(r.Objective)
	})
	if ok {
		return region
	}
	if region := b.nearest(now, s, r); region != "" || len(r.Tried) == 0 {
		return region
	}
	again := *r
	again.Tried = nil
	return b.regionFor(now, s, &again)
}

// nearest returns the allowed region with capacity at targets that the request has not been to, and the
// lowest round-trip time.
func (b *Balancer) nearest(now time.Time, s *service, r *Request) string {
	best := ""
	for region := range s.regions {
		if !r.allows(region) || s.untriedSlots(now, region, r) == 0 {
			continue
		}
		if best == "" || b.options.RTT(region) < b.options.RTT(best) ||
			(b.options.RTT(region) == b.options.RTT(best) && region < best) {
			best = region
		}
	}
	return best
}

// stepWeights moves a service's region weights, and those of requests that may use a set of regions,
// towards the weights planned from the current demand and capacity.
func (b *Balancer) stepWeights(now time.Time, s *service, set regionplan.Set) {
	capacity := make(map[string]float64)
	for region := range s.regions {
		capacity[region] = s.slots(now, region)
	}
	if s.weights.weight == nil {
		s.weights.initialize(now, b.options.Region, capacity)
	}
	rate := b.shiftRate(now, s)
	wanted, planned := b.stepPlan(now, s, set, capacity, rate)
	if !planned {
		wanted = planWeights(b.options.Region, b.demandOf(now, s), capacity)
	}
	s.weights.step(now, wanted, rate)
}

// shiftRate returns the largest fraction of the requests that may change region per second.
func (b *Balancer) shiftRate(now time.Time, s *service) float64 {
	switch {
	case !b.lossAt.IsZero() && now.Sub(b.lossAt) < lossWindow:
		return lossShiftRate
	case !s.rejectedAt.IsZero() && now.Sub(s.rejectedAt) < rejectionWindow:
		return rejectionShiftRate
	}
	return baseShiftRate
}

func (b *Balancer) demandOf(now time.Time, s *service) map[string]float64 {
	s.demand.decay(now)
	slots := map[string]float64{b.options.Region: s.demand.slots}
	for _, p := range b.peers {
		if now.Sub(p.At) < peerTTL {
			for region, services := range p.Demand {
				slots[region] += services[s.Name]
			}
		}
	}
	return slots
}
