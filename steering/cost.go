package steering

// cost is what one more small part of a flow costs in a place that carries
// extra requests/s more than now: latency in units of the longest round trip,
// and the pressure on the place, its region and the link, each by the
// account's weights.
func (s *solver) cost(f *flow, place int, extra float64) float64 {
	c := &s.cells[f.service][place]
	policy := &s.account.Policy
	cost := policy.LatencyWeight * s.latencyMS(f, place) / s.delayScale
	cost += s.pressure(utilisationOf(c.load+extra, c.usable), max(policy.HeadroomWeight, leastEvenness))
	region := s.places[place].region
	if region < 0 {
		return cost
	}
	r := &s.regions[region]
	cost += s.pressure(utilisationOf(r.load+extra, r.capacity), policy.HeadroomWeight)
	if region != f.region {
		cost += s.pressure(utilisationOf(r.linkLoad+extra, r.linkCapacity), policy.HeadroomWeight)
	}
	return cost
}

// latencyMS is the round trip to the place and its service time.
func (s *solver) latencyMS(f *flow, place int) float64 {
	latency := s.cells[f.service][place].latencyMS
	if region := s.places[place].region; region >= 0 {
		latency += f.delayMS[region]
	}
	return latency
}

// pressure grows evenly to the target utilisation and steeply above it.
func (s *solver) pressure(utilisation, weight float64) float64 {
	if utilisation <= s.target {
		return weight * utilisation / s.target
	}
	return weight + fullPressure*(utilisation-s.target)/max(1-s.target, leastHeadroom)
}

func utilisationOf(load, capacity float64) float64 {
	if capacity <= 0 {
		return mostUtilised
	}
	return min(load/capacity, mostUtilised)
}

// utilisation is the highest of the place, its region and the link.
func (s *solver) utilisation(f *flow, place int) float64 {
	c := &s.cells[f.service][place]
	highest := utilisationOf(c.load, c.usable)
	region := s.places[place].region
	if region < 0 {
		return mostUtilised
	}
	r := &s.regions[region]
	highest = max(highest, utilisationOf(r.load, r.capacity))
	if region != f.region {
		highest = max(highest, utilisationOf(r.linkLoad, r.linkCapacity))
	}
	return highest
}
