package scenario

import (
	"math"

	"github.com/yuccaroute/yuccaroute/api/model"
	"github.com/yuccaroute/yuccaroute/api/plan"
	"github.com/yuccaroute/yuccaroute/steering"
)

// Policies under comparison.
var (
	steeringPolicy = policy{"steering", steering.Decide, true}
	nearest        = policy{"nearest", weighted(nearestOnly), false}
	static         = policy{"static", weighted(byCapacity), false}
	greedy         = policy{"greedy", weighted(leastLatency), false}
)

// weighted returns a policy that splits traffic by a weight of each usable place.
func weighted(weight func(in *steering.Input, caller model.RegionName, state *steering.PlaceState) float64) func(steering.Input) steering.Decision {
	return func(in steering.Input) steering.Decision {
		d := steering.Decision{Plan: &plan.Plan{Account: in.Account.Name, Sequence: in.Sequence}}
		for i := range in.Account.Services {
			s := &in.Account.Services[i]
			for _, c := range s.Capacity {
				d.Limits = append(d.Limits, steering.Limit{Service: s.Name, Place: c.Place, UsableRPS: c.RPS})
			}
			for _, r := range in.Account.Regions {
				f := plan.Flow{Service: s.Name, Caller: r.Name}
				f.Shares = sharesBy(&in, s, r.Name, weight)
				d.Plan.Flows = append(d.Plan.Flows, f)
			}
		}
		return d
	}
}

func sharesBy(in *steering.Input, s *model.Service, caller model.RegionName, weight func(*steering.Input, model.RegionName, *steering.PlaceState) float64) []plan.Share {
	var shares []plan.Share
	var weights []float64
	sum := 0.0
	for _, c := range s.Capacity {
		state := stateIn(in, s.Name, c.Place)
		w := 0.0
		if state.Known == 0 || state.Usable > 0 {
			w = weight(in, caller, &state)
		}
		weights = append(weights, w)
		sum += w
	}
	remainder := uint32(plan.Whole)
	for i, c := range s.Capacity {
		if weights[i] == 0 {
			continue
		}
		ppm := uint32(weights[i] / sum * plan.Whole)
		remainder -= ppm
		shares = append(shares, plan.Share{Place: c.Place, PPM: ppm})
	}
	if len(shares) > 0 {
		shares[0].PPM += remainder
	}
	return sorted(shares)
}

func stateIn(in *steering.Input, service model.ServiceName, place model.PlaceName) steering.PlaceState {
	for _, s := range in.Places {
		if s.Service == service && s.Place == place {
			return s
		}
	}
	return steering.PlaceState{Service: service, Place: place}
}

func sorted(shares []plan.Share) []plan.Share {
	for i := range shares {
		for j := i; j > 0 && shares[j].Place < shares[j-1].Place; j-- {
			shares[j], shares[j-1] = shares[j-1], shares[j]
		}
	}
	return shares
}

// nearestOnly uses the caller's own region, and other regions only if it has no
// usable place.
func nearestOnly(in *steering.Input, caller model.RegionName, state *steering.PlaceState) float64 {
	home := in.Account.RegionOf(state.Place) == caller
	if home {
		return 1
	}
	for _, p := range in.Account.Places {
		other := stateIn(in, state.Service, p.Name)
		if p.Region == caller && (other.Known == 0 || other.Usable > 0) {
			return 0
		}
	}
	return 1
}

// byCapacity ignores latency and load.
func byCapacity(in *steering.Input, _ model.RegionName, state *steering.PlaceState) float64 {
	return in.Account.Service(state.Service).CapacityAt(state.Place)
}

// leastLatency weighs places by the inverse square of the expected latency, without
// a move cap.
func leastLatency(in *steering.Input, caller model.RegionName, state *steering.PlaceState) float64 {
	ms := 8.0
	if state.P99 > 0 {
		ms = float64(state.P99.Microseconds()) / 1000
	}
	if region := in.Account.RegionOf(state.Place); region != caller {
		for _, d := range in.Account.Region(caller).Delays {
			if d.To == region {
				ms += 2 * float64(d.OneWay.Microseconds()) / 1000
			}
		}
	}
	return math.Pow(ms, -2)
}
