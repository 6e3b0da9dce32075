package steering

// cost returns the cost of adding a small share of a flow to a place that carries
// extra requests/s more than now. It is the weighted sum of the latency, relative
// to the longest round trip, and the utilisation of the place, its region and the
// link into the region.
func (s *solver) cost(f *flow, place int, extra float64) float64 {
	c := &s.cells[f.service][place]
	policy := &s.account.Policy
	cost := policy.LatencyWeight * s.latencyMS(f, place) / s.maxRoundTripMS
	cost += s.utilisationCost(utilisationOf(c.load+extra, c.stableCapacity), max(policy.HeadroomWeight, minBalanceWeight))
	region := s.places[place].region
	if region < 0 {
		return cost
	}
	r := &s.regions[region]
	cost += s.utilisationCost(utilisationOf(r.load+extra, r.capacity), policy.HeadroomWeight)
	if region != f.region {
		cost += s.utilisationCost(utilisationOf(r.linkLoad+extra, r.linkCapacity), policy.HeadroomWeight)
	}
	return cost
}

// latencyMS is the round trip to the place plus its service time.
func (s *solver) latencyMS(f *flow, place int) float64 {
	latency := s.cells[f.service][place].latencyMS
	if region := s.places[place].region; region >= 0 {
		latency += f.delayMS[region]
	}
	return latency
}

// utilisationCost grows linearly to the target utilisation and steeply above it.
func (s *solver) utilisationCost(utilisation, weight float64) float64 {
	if utilisation <= s.targetUtilisation {
		return weight * utilisation / s.targetUtilisation
	}
	return weight + overloadCost*(utilisation-s.targetUtilisation)/max(1-s.targetUtilisation, minHeadroom)
}

func utilisationOf(load, capacity float64) float64 {
	if capacity <= 0 {
		return maxUtilisation
	}
	return min(load/capacity, maxUtilisation)
}

// utilisation returns the highest utilisation of the place, its region and the
// link into the region.
func (s *solver) utilisation(f *flow, place int) float64 {
	c := &s.cells[f.service][place]
	highest := utilisationOf(c.load, c.stableCapacity)
	region := s.places[place].region
	if region < 0 {
		return maxUtilisation
	}
	r := &s.regions[region]
	highest = max(highest, utilisationOf(r.load, r.capacity))
	if region != f.region {
		highest = max(highest, utilisationOf(r.linkLoad, r.linkCapacity))
	}
	return highest
}
