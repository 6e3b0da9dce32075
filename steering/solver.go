package steering

import (
	"time"

	"github.com/yuccaroute/yuccaroute/api/model"
	"github.com/yuccaroute/yuccaroute/api/plan"
)

// solver holds the working state of one decision. Places, regions and services are
// indexed by their order in the account.
type solver struct {
	in         *Input
	account    *model.Account
	places     []placeInfo
	placeIndex map[model.PlaceName]int
	regions    []regionLoad
	// cells is indexed by service and place.
	cells [][]cell
	flows []flow
	// maxRoundTripMS is the longest round trip between regions, at least 1 ms. It
	// normalises latencies in the costs.
	maxRoundTripMS    float64
	targetUtilisation float64
	capPPM            int64
	totalRPS          float64
}

// placeInfo is a place of the account, or a removed place that the previous plan
// still uses. A removed place has no capacity and region -1.
type placeInfo struct {
	name   model.PlaceName
	region int
	drain  drainState
}

// regionLoad holds the loads and capacities of a region and of the link into it, in
// requests/s.
type regionLoad struct {
	name                   model.RegionName
	capacity, linkCapacity float64
	load, linkLoad         float64
}

func newSolver(in *Input) *solver {
	s := &solver{in: in, account: in.Account}
	s.targetUtilisation = max(1-in.Account.Policy.Headroom, minTargetUtilisation)
	s.capPPM = int64(min(max(in.Account.Moves.Share, 0), 1) * plan.Whole)
	s.addRegions()
	s.addPlaces()
	s.addCells()
	s.addFlows()
	s.readMoves()
	s.sumLoads()
	return s
}

func (s *solver) addRegions() {
	s.maxRoundTripMS = 1
	for i := range s.account.Regions {
		r := &s.account.Regions[i]
		s.regions = append(s.regions, regionLoad{name: r.Name, capacity: r.CapacityRPS, linkCapacity: r.LinkInRPS})
		for _, d := range r.Delays {
			s.maxRoundTripMS = max(s.maxRoundTripMS, 2*milliseconds(d.OneWay))
		}
	}
}

func (s *solver) addPlaces() {
	s.placeIndex = make(map[model.PlaceName]int, len(s.account.Places))
	for i := range s.account.Places {
		p := &s.account.Places[i]
		s.addPlace(p.Name, s.regionIndex(p.Region))
	}
	if s.in.Previous != nil {
		s.addRemovedPlaces()
	}
	for i := range s.places {
		s.places[i].drain = drainOf(s.account.Drains, s.places[i].name, s.in.Now)
	}
}

// addRemovedPlaces adds the places that only the previous plan contains.
func (s *solver) addRemovedPlaces() {
	for i := range s.in.Previous.Flows {
		for _, share := range s.in.Previous.Flows[i].Shares {
			if _, ok := s.placeIndex[share.Place]; !ok {
				s.addPlace(share.Place, -1)
			}
		}
	}
}

func (s *solver) addPlace(name model.PlaceName, region int) {
	s.placeIndex[name] = len(s.places)
	s.places = append(s.places, placeInfo{name: name, region: region})
}

func (s *solver) regionIndex(name model.RegionName) int {
	for i := range s.regions {
		if s.regions[i].name == name {
			return i
		}
	}
	return -1
}

func (s *solver) serviceIndex(name model.ServiceName) int {
	for i := range s.account.Services {
		if s.account.Services[i].Name == name {
			return i
		}
	}
	return -1
}

// sumLoads adds up the loads of the previous shares at the current demand.
func (s *solver) sumLoads() {
	for i := range s.flows {
		f := &s.flows[i]
		for p, share := range f.shares {
			if share > 0 {
				s.addLoad(f, p, f.rps(share))
			}
		}
	}
}

func (s *solver) addLoad(f *flow, place int, rps float64) {
	s.cells[f.service][place].load += rps
	region := s.places[place].region
	if region < 0 {
		return
	}
	s.regions[region].load += rps
	if region != f.region {
		s.regions[region].linkLoad += rps
	}
}

func milliseconds(d time.Duration) float64 {
	return float64(d) / float64(time.Millisecond)
}
