package steering

// limits returns the limit of each cell. Loads above the capacity of a place, a
// region or a link are scaled down to it, and the excess is rejected.
func (s *solver) limits() []Limit {
	local, remote := s.cappedLoads()
	s.limitByRegions(local, remote)
	limits := make([]Limit, 0, len(s.cells)*len(s.places))
	for i := range s.cells {
		for p := range s.cells[i] {
			c := &s.cells[i][p]
			if c.configuredCapacity <= 0 || s.places[p].region < 0 {
				continue
			}
			limits = append(limits, Limit{
				Service:    s.account.Services[i].Name,
				Place:      s.places[p].name,
				DesiredRPS: min(local[i][p]+remote[i][p], c.availableCapacity),
				UsableRPS:  c.availableCapacity,
			})
		}
	}
	return limits
}

// cappedLoads returns the loads from callers of the place's own region and from
// other regions, scaled down to the capacity of each cell.
func (s *solver) cappedLoads() (local, remote [][]float64) {
	local = s.newLoads()
	remote = s.newLoads()
	for i := range s.flows {
		f := &s.flows[i]
		for p, share := range f.shares {
			loads := remote
			if s.places[p].region == f.region {
				loads = local
			}
			loads[f.service][p] += f.rps(share)
		}
	}
	for i := range s.cells {
		for p := range s.cells[i] {
			factor := scaleFactor(local[i][p]+remote[i][p], s.cells[i][p].availableCapacity)
			local[i][p] *= factor
			remote[i][p] *= factor
		}
	}
	return local, remote
}

func (s *solver) newLoads() [][]float64 {
	loads := make([][]float64, len(s.cells))
	all := make([]float64, len(s.cells)*len(s.places))
	for i := range loads {
		loads[i] = all[i*len(s.places) : (i+1)*len(s.places)]
	}
	return loads
}

// limitByRegions scales loads down to the capacity of the links, then of the
// regions.
func (s *solver) limitByRegions(local, remote [][]float64) {
	for r := range s.regions {
		factor := scaleFactor(s.regionSum(r, remote), s.regions[r].linkCapacity)
		s.scaleRegion(r, remote, factor)
		factor = scaleFactor(s.regionSum(r, remote)+s.regionSum(r, local), s.regions[r].capacity)
		s.scaleRegion(r, remote, factor)
		s.scaleRegion(r, local, factor)
	}
}

func (s *solver) regionSum(region int, loads [][]float64) float64 {
	sum := 0.0
	for i := range loads {
		for p, load := range loads[i] {
			if s.places[p].region == region {
				sum += load
			}
		}
	}
	return sum
}

func (s *solver) scaleRegion(region int, loads [][]float64, factor float64) {
	if factor >= 1 {
		return
	}
	for i := range loads {
		for p := range loads[i] {
			if s.places[p].region == region {
				loads[i][p] *= factor
			}
		}
	}
}

// scaleFactor returns the factor that reduces a load to a capacity.
func scaleFactor(load, capacity float64) float64 {
	if load <= capacity || load <= 0 {
		return 1
	}
	return max(capacity, 0) / load
}
