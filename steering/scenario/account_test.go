package scenario

import (
	"fmt"
	"time"

	"github.com/yuccaroute/yuccaroute/api/model"
)

// accountSpec describes a client account with equal regions and places.
type accountSpec struct {
	name               model.AccountName
	regions            []model.RegionName
	oneWayDelay        time.Duration
	services           []model.ServiceName
	placeRPS           map[model.ServiceName]float64
	latencyWeight      float64
	headroom           float64
	regionRPS, linkRPS float64
	serviceLatencyMS   float64
	// moveCap is the part of the traffic that may move in one window.
	moveCap float64
}

var daehan = accountSpec{
	name:             "daehan",
	regions:          []model.RegionName{"kr-seoul", "kr-busan", "kr-daejeon"},
	oneWayDelay:      55 * time.Millisecond,
	services:         []model.ServiceName{"dealer-desk", "warehouse-docs"},
	placeRPS:         map[model.ServiceName]float64{"dealer-desk": 1000, "warehouse-docs": 750},
	latencyWeight:    0.8,
	headroom:         0.2,
	regionRPS:        3400,
	linkRPS:          1800,
	serviceLatencyMS: 8,
	moveCap:          0.1,
}

var alpenvlies = accountSpec{
	name:             "alpenvlies",
	regions:          []model.RegionName{"tirol", "steiermark", "salzburg"},
	oneWayDelay:      12 * time.Millisecond,
	services:         []model.ServiceName{"termindienst", "herdenakte"},
	placeRPS:         map[model.ServiceName]float64{"termindienst": 1600, "herdenakte": 1000},
	latencyWeight:    0.2,
	headroom:         0.25,
	regionRPS:        5000,
	linkRPS:          2900,
	serviceLatencyMS: 8,
	moveCap:          0.1,
}

func (t *accountSpec) account() *model.Account {
	a := &model.Account{
		Name:   t.name,
		Moves:  model.MoveLimits{Share: t.moveCap, Window: 30 * time.Second},
		Policy: model.Policy{LatencyWeight: t.latencyWeight, HeadroomWeight: 1 - t.latencyWeight, Headroom: t.headroom},
	}
	for _, name := range t.regions {
		a.Regions = append(a.Regions, t.regionOf(name))
		for _, suffix := range []string{"a", "b"} {
			place := model.PlaceName(fmt.Sprintf("%s-%s", name, suffix))
			a.Places = append(a.Places, model.Place{Name: place, Region: name})
		}
	}
	for _, name := range t.services {
		s := model.Service{Name: name}
		for _, p := range a.Places {
			s.Capacity = append(s.Capacity, model.PlaceCapacity{Place: p.Name, RPS: t.placeRPS[name]})
		}
		a.Services = append(a.Services, s)
	}
	return a
}

func (t *accountSpec) regionOf(name model.RegionName) model.Region {
	r := model.Region{Name: name, CapacityRPS: t.regionRPS, LinkInRPS: t.linkRPS}
	for _, other := range t.regions {
		if other != name {
			r.Delays = append(r.Delays, model.Delay{To: other, OneWay: t.oneWayDelay})
		}
	}
	return r
}
