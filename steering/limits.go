package steering

// limits lists what each cell may do. Loads over a capacity, of a place, a
// region or a link, are cut down to it: what is cut is refused.
func (s *solver) limits() []Limit {
	local, remote := s.allowedLoads()
	s.cutRegions(local, remote)
	limits := make([]Limit, 0, len(s.cells)*len(s.places))
	for i := range s.cells {
		for p := range s.cells[i] {
			c := &s.cells[i][p]
			if c.configured <= 0 || s.places[p].region < 0 {
				continue
			}
			limits = append(limits, Limit{
				Service:    s.account.Services[i].Name,
				Place:      s.places[p].name,
				DesiredRPS: min(local[i][p]+remote[i][p], c.permitted),
				UsableRPS:  c.permitted,
			})
		}
	}
	return limits
}

// allowedLoads returns the loads from callers of the place's own region and of
// others, cut to the cells' capacities.
func (s *solver) allowedLoads() (local, remote [][]float64) {
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
			factor := cut(local[i][p]+remote[i][p], s.cells[i][p].permitted)
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

// cutRegions cuts first what the links carry, then all of a region.
func (s *solver) cutRegions(local, remote [][]float64) {
	for r := range s.regions {
		factor := cut(s.sumIn(r, remote), s.regions[r].linkCapacity)
		s.scaleIn(r, remote, factor)
		factor = cut(s.sumIn(r, remote)+s.sumIn(r, local), s.regions[r].capacity)
		s.scaleIn(r, remote, factor)
		s.scaleIn(r, local, factor)
	}
}

func (s *solver) sumIn(region int, loads [][]float64) float64 {
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

func (s *solver) scaleIn(region int, loads [][]float64, factor float64) {
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

// cut returns the factor that brings a load down to a capacity.
func cut(load, capacity float64) float64 {
	if load <= capacity || load <= 0 {
		return 1
	}
	return max(capacity, 0) / load
}
