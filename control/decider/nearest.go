package decider

import (
	"sort"
	"time"

	"github.com/yuccaroute/yuccaroute/api/model"
	"github.com/yuccaroute/yuccaroute/api/plan"
	"github.com/yuccaroute/yuccaroute/control/ledger"
)

// Nearest is a Planner that sends each flow to the nearest region with
// capacity and splits it there by capacity. It serves as a baseline and in
// tests; it keeps no cap on moves beyond reporting them.
type Nearest struct{}

// Plan implements Planner.
func (Nearest) Plan(s PlannerInput) PlannerOutput {
	var flows []plan.Flow
	for i := range s.Account.Services {
		for _, caller := range s.Account.Regions {
			flows = append(flows, nearestFlow(s.Account, &s.Account.Services[i], &caller))
		}
	}
	return PlannerOutput{Flows: flows, Moves: movesOf(s.Previous, flows)}
}

func nearestFlow(a *model.Account, service *model.Service, caller *model.Region) plan.Flow {
	flow := plan.Flow{Service: service.Name, Caller: caller.Name}
	region, found := nearestRegion(a, service, caller)
	if !found {
		return flow
	}
	sum := regionCapacity(a, service, region)
	left := uint32(plan.Whole)
	for _, c := range service.Capacity {
		if a.RegionOf(c.Place) != region || c.RPS <= 0 {
			continue
		}
		share := min(uint32(float64(plan.Whole)*c.RPS/sum), left)
		left -= share
		flow.Shares = append(flow.Shares, plan.Share{Place: c.Place, PPM: share})
	}
	flow.Shares[0].PPM += left
	sort.Slice(flow.Shares, func(i, j int) bool { return flow.Shares[i].Place < flow.Shares[j].Place })
	return flow
}

func nearestRegion(a *model.Account, service *model.Service, caller *model.Region) (model.RegionName, bool) {
	var best model.RegionName
	found := false
	bestDelay := time.Duration(0)
	for _, r := range a.Regions {
		if regionCapacity(a, service, r.Name) <= 0 {
			continue
		}
		delay := delayTo(caller, r.Name)
		if !found || delay < bestDelay {
			best, bestDelay, found = r.Name, delay, true
		}
	}
	return best, found
}

func regionCapacity(a *model.Account, service *model.Service, region model.RegionName) float64 {
	sum := 0.0
	for _, c := range service.Capacity {
		if a.RegionOf(c.Place) == region && c.RPS > 0 {
			sum += c.RPS
		}
	}
	return sum
}

// unknownDelay stands for a delay that is not configured.
const unknownDelay = time.Hour

func delayTo(from *model.Region, to model.RegionName) time.Duration {
	if from.Name == to {
		return 0
	}
	for _, d := range from.Delays {
		if d.To == to {
			return d.OneWay
		}
	}
	return unknownDelay
}

// movesOf lists the changes of shares between two plans; flows that were not
// there before have moved nothing.
func movesOf(previous *plan.Plan, flows []plan.Flow) []ledger.Move {
	if previous == nil {
		return nil
	}
	var moves []ledger.Move
	for i := range flows {
		old := previous.Flow(flows[i].Service, flows[i].Caller)
		if old != nil && len(old.Shares) > 0 {
			moves = appendMoves(moves, old, &flows[i])
		}
	}
	return moves
}

func appendMoves(moves []ledger.Move, old, next *plan.Flow) []ledger.Move {
	for _, n := range next.Shares {
		if n.PPM == 0 {
			continue
		}
		moves = appendMove(moves, next, n.Place, int32(n.PPM)-int32(ppmOf(old.Shares, n.Place)))
	}
	for _, o := range old.Shares {
		if ppmOf(next.Shares, o.Place) == 0 {
			moves = appendMove(moves, next, o.Place, -int32(o.PPM))
		}
	}
	return moves
}

func appendMove(moves []ledger.Move, f *plan.Flow, place model.PlaceName, delta int32) []ledger.Move {
	if delta == 0 {
		return moves
	}
	return append(moves, ledger.Move{Service: f.Service, Caller: f.Caller, Place: place, Delta: delta})
}

func ppmOf(shares []plan.Share, place model.PlaceName) uint32 {
	for _, s := range shares {
		if s.Place == place {
			return s.PPM
		}
	}
	return 0
}
