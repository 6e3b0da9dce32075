package steering

import (
	"fmt"
	"time"

	"github.com/yuccaroute/yuccaroute/api/model"
	"github.com/yuccaroute/yuccaroute/api/plan"
)

var testNow = time.Date(2026, 3, 1, 4, 0, 0, 0, time.UTC)

// newAccount returns an account with the given numbers of regions, places per region
// and services. Each service has 1000 requests/s in each place.
func newAccount(regions, places, services int) *model.Account {
	a := &model.Account{
		Name:   "daehan",
		Moves:  model.MoveLimits{Share: 0.1, Window: time.Minute},
		Policy: model.Policy{LatencyWeight: 0.5, HeadroomWeight: 0.5, Headroom: 0.2},
	}
	for r := range regions {
		name := model.RegionName(fmt.Sprintf("r%02d", r))
		region := model.Region{
			Name:        name,
			CapacityRPS: float64(1000 * places * services),
			LinkInRPS:   float64(600 * places * services),
		}
		for other := range regions {
			if other != r {
				region.Delays = append(region.Delays, model.Delay{To: model.RegionName(fmt.Sprintf("r%02d", other)), OneWay: 30 * time.Millisecond})
			}
		}
		a.Regions = append(a.Regions, region)
		for p := range places {
			a.Places = append(a.Places, model.Place{Name: model.PlaceName(fmt.Sprintf("r%02d-%02d", r, p)), Region: name})
		}
	}
	for i := range services {
		s := model.Service{Name: model.ServiceName(fmt.Sprintf("s%d", i))}
		for _, p := range a.Places {
			s.Capacity = append(s.Capacity, model.PlaceCapacity{Place: p.Name, RPS: 1000})
		}
		a.Services = append(a.Services, s)
	}
	return a
}

// newInput gives every flow a part of its region's capacity and every place a fresh,
// healthy state.
func newInput(a *model.Account, part float64) Input {
	in := Input{Account: a, Now: testNow, Epoch: 1, Sequence: 1}
	perRegion := len(a.Places) / len(a.Regions)
	for _, s := range a.Services {
		for _, r := range a.Regions {
			in.Demand = append(in.Demand, Demand{Service: s.Name, Caller: r.Name, RPS: part * 1000 * float64(perRegion)})
		}
		for _, p := range a.Places {
			in.Places = append(in.Places, PlaceState{
				Service: s.Name, Place: p.Name, SentRPS: 100, Usable: 10, Known: 10,
				P50: 8 * time.Millisecond, P99: 20 * time.Millisecond, WarmP99: 20 * time.Millisecond,
			})
		}
	}
	return in
}

// stateOf returns the state of the first service in a place.
func stateOf(in *Input, place model.PlaceName) *PlaceState {
	for i := range in.Places {
		if in.Places[i].Place == place {
			return &in.Places[i]
		}
	}
	return nil
}

func shareAt(p *plan.Plan, flow int, place model.PlaceName) uint32 {
	for _, s := range p.Flows[flow].Shares {
		if s.Place == place {
			return s.PPM
		}
	}
	return 0
}

// simulate makes one decision a second for the given time and returns all decisions.
// change may modify the input before each one.
func simulate(in Input, seconds int, change func(in *Input, second int)) []Decision {
	var decisions []Decision
	var made []time.Time
	var moved []Move
	for second := range seconds {
		in.Now = testNow.Add(time.Duration(second) * time.Second)
		in.RecentMoves = nil
		for i, m := range moved {
			m.Age = in.Now.Sub(made[i])
			in.RecentMoves = append(in.RecentMoves, m)
		}
		if change != nil {
			change(&in, second)
		}
		in.Sequence = uint64(second + 1)
		d := Decide(in)
		decisions = append(decisions, d)
		in.Previous = d.Plan
		for _, m := range d.Moves {
			moved = append(moved, m)
			made = append(made, in.Now)
		}
	}
	return decisions
}

func hasReason(d *Decision, kind Kind) bool {
	for _, r := range d.Reasons {
		if r.Kind == kind {
			return true
		}
	}
	return false
}
