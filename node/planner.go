package node

import (
	"math"
	"sync"
	"time"

	"github.com/yuccaroute/yuccaroute/api/model"
	"github.com/yuccaroute/yuccaroute/api/observe"
	"github.com/yuccaroute/yuccaroute/control/decider"
	"github.com/yuccaroute/yuccaroute/control/ledger"
	"github.com/yuccaroute/yuccaroute/steering"
)

// planner lets package steering make the decider's plans, and keeps what the
// last one was made from, for operators' forecasts.
type planner struct {
	mu     sync.Mutex
	inputs map[model.AccountName]steering.Input
}

var _ decider.Planner = (*planner)(nil)

func newPlanner() *planner {
	return &planner{inputs: make(map[model.AccountName]steering.Input)}
}

// Plan implements decider.Planner.
func (p *planner) Plan(s decider.Situation) decider.Planned {
	input := steering.Input{
		Account:  s.Account,
		Now:      s.Now,
		Previous: s.Previous,
		Moved:    steeringMoves(s.Moves, s.Now),
		Demand:   sumDemand(s.Reports),
		Places:   sumPlaces(s.Reports),
	}
	p.keep(input)
	d := steering.Decide(input)
	return decider.Planned{
		Flows:       d.Plan.Flows,
		Moves:       ledgerMoves(d.Moves, s.Now),
		Explanation: d,
	}
}

func (p *planner) keep(input steering.Input) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.inputs[input.Account.Name] = input
}

// last returns what the last plan of an account was made from.
func (p *planner) last(account model.AccountName) (steering.Input, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	input, ok := p.inputs[account]
	return input, ok
}

func steeringMoves(moves []ledger.Move, now time.Time) []steering.Move {
	out := make([]steering.Move, 0, len(moves))
	for _, m := range moves {
		out = append(out, steering.Move{
			Service: m.Service,
			Caller:  m.Caller,
			Place:   m.Place,
			Delta:   m.Delta,
			Cause:   steering.Kind(m.Cause),
			Age:     max(now.Sub(m.At), 0),
		})
	}
	return out
}

func ledgerMoves(moves []steering.Move, now time.Time) []ledger.Move {
	out := make([]ledger.Move, 0, len(moves))
	for _, m := range moves {
		out = append(out, ledger.Move{
			At:      now,
			Service: m.Service,
			Caller:  m.Caller,
			Place:   m.Place,
			Delta:   m.Delta,
			Cause:   uint8(m.Cause),
		})
	}
	return out
}

// flowKey names a flow within an account.
type flowKey struct {
	service model.ServiceName
	caller  model.RegionName
}

// sumDemand adds up what the nodes' callers asked for. The age is that of the
// oldest report in the sum, so that one silent node widens the margin.
func sumDemand(reports []decider.Observed) []steering.Demand {
	index := make(map[flowKey]int)
	var sums []steering.Demand
	for _, r := range reports {
		for _, f := range r.Report.Flows {
			key := flowKey{f.Service, f.Caller}
			i, ok := index[key]
			if !ok {
				i = len(sums)
				index[key] = i
				sums = append(sums, steering.Demand{Service: f.Service, Caller: f.Caller})
			}
			sums[i].RPS += f.OfferedRPS
			sums[i].Age = max(sums[i].Age, r.Age)
		}
	}
	return sums
}

// placeKey names a service in a place within an account.
type placeKey struct {
	service model.ServiceName
	place   model.PlaceName
}

// placeSum collects the reports on one service in one place.
type placeSum struct {
	state steering.PlaceState
	// p50, p99 and failures are sums weighted by requests sent.
	p50, p99, failures float64
	// usable is the sum of the nodes' usable parts; nodes counts those that
	// know a target.
	usable, nodes float64
	reports       int
}

// sumPlaces joins what the nodes measured of each service in each place.
func sumPlaces(reports []decider.Observed) []steering.PlaceState {
	index := make(map[placeKey]int)
	var sums []placeSum
	for _, r := range reports {
		for i := range r.Report.Places {
			load := &r.Report.Places[i]
			key := placeKey{load.Service, load.Place}
			at, ok := index[key]
			if !ok {
				at = len(sums)
				index[key] = at
				sums = append(sums, placeSum{state: steering.PlaceState{Service: load.Service, Place: load.Place}})
			}
			sums[at].add(load, r.Age)
		}
	}
	states := make([]steering.PlaceState, 0, len(sums))
	for i := range sums {
		states = append(states, sums[i].result())
	}
	return states
}

func (s *placeSum) add(load *observe.PlaceLoad, age time.Duration) {
	if s.reports == 0 || age < s.state.Age {
		s.state.Age = age
	}
	s.reports++
	s.state.SentRPS += load.SentRPS
	s.p50 += load.SentRPS * float64(load.P50)
	s.p99 += load.SentRPS * float64(load.P99)
	s.failures += load.SentRPS * load.FailureShare
	s.state.Known = max(s.state.Known, load.Known)
	if load.Known > 0 {
		s.usable += float64(load.Targets) / float64(load.Known)
		s.nodes++
	}
}

// result turns the sums into means. Usable is the mean over the nodes, so that
// one node with a broken link does not take a place from all.
func (s *placeSum) result() steering.PlaceState {
	if s.state.SentRPS > 0 {
		s.state.P50 = time.Duration(s.p50 / s.state.SentRPS)
		s.state.P99 = time.Duration(s.p99 / s.state.SentRPS)
		s.state.FailureShare = s.failures / s.state.SentRPS
	}
	if s.nodes > 0 {
		s.state.Usable = int(math.Round(s.usable / s.nodes * float64(s.state.Known)))
	}
	return s.state
}
