package forecast

import (
	"time"

	"github.com/yuccaroute/yuccaroute/api/model"
	"github.com/yuccaroute/yuccaroute/api/plan"
	"github.com/yuccaroute/yuccaroute/steering"
)

// simulation repeats decisions on a changed account until it settles.
type simulation struct {
	in    steering.Input
	start time.Time
	// lastChange is when shares last moved or were held back.
	lastChange  time.Duration
	movedPPM    uint64
	moves       []pastMove
	decision    steering.Decision
	initialPlan *plan.Plan
}

// pastMove is a move and its time relative to the start of the forecast.
type pastMove struct {
	move steering.Move
	at   time.Duration
}

func (s *simulation) elapsed() time.Duration { return s.in.Now.Sub(s.start) }

// prepareInput treats the measurements as current and all nodes as up to date, and
// adds a state for each new place, since it would be measured soon after the change.
func (s *simulation) prepareInput() {
	s.in.Lagging = nil
	s.initialPlan = s.in.Previous
	for _, m := range s.in.RecentMoves {
		s.moves = append(s.moves, pastMove{move: m, at: -m.Age})
	}
	s.in.Demand = append([]steering.Demand(nil), s.in.Demand...)
	for i := range s.in.Demand {
		s.in.Demand[i].Age = 0
	}
	s.in.Places = currentStates(s.in.Places, s.in.Account.Services)
}

// cellKey names one service in one place.
type cellKey struct {
	service model.ServiceName
	place   model.PlaceName
}

// currentStates returns the states with age 0, and an empty one for each place of a
// service that has none.
func currentStates(old []steering.PlaceState, services []model.Service) []steering.PlaceState {
	states := append([]steering.PlaceState(nil), old...)
	known := make(map[cellKey]bool, len(states))
	for i := range states {
		states[i].Age = 0
		known[cellKey{states[i].Service, states[i].Place}] = true
	}
	for _, s := range services {
		for _, c := range s.Capacity {
			if !known[cellKey{s.Name, c.Place}] {
				states = append(states, steering.PlaceState{Service: s.Name, Place: c.Place})
			}
		}
	}
	return states
}

func (s *simulation) step() {
	retention := steering.MoveHistoryWindows * s.in.Account.Moves.Window
	s.in.RecentMoves = s.in.RecentMoves[:0:0]
	for _, m := range s.moves {
		m.move.Age = s.elapsed() - m.at
		if m.move.Age <= retention {
			s.in.RecentMoves = append(s.in.RecentMoves, m.move)
		}
	}
	s.decision = steering.Decide(s.in)
	for _, m := range s.decision.Moves {
		s.moves = append(s.moves, pastMove{move: m, at: s.elapsed()})
	}
	if len(s.decision.Moves) > 0 || s.movesPending() {
		s.lastChange = s.elapsed()
	}
	s.movedPPM += uint64(s.decision.MovedPPM)
	s.in.Previous = s.decision.Plan
	s.in.Now = s.in.Now.Add(decisionInterval)
}

// movesPending reports whether the move cap or a hold-down delays moves.
func (s *simulation) movesPending() bool {
	for i := range s.decision.Reasons {
		switch s.decision.Reasons[i].Kind {
		case steering.KindMoveCap, steering.KindHoldDown:
			return true
		}
	}
	return false
}

func (s *simulation) result() Forecast {
	f := Forecast{
		Settled:       s.elapsed()-s.lastChange >= settleTime,
		DurationMS:    s.lastChange.Milliseconds(),
		MovedPercent:  float64(s.movedPPM) * 100 / plan.Whole,
		Changes:       changes(s.initialPlan, s.decision.Plan),
		Shortfalls:    s.shortfalls(),
		FinalDecision: s.decision,
	}
	f.CapacityHolds = len(f.Shortfalls) == 0
	return f
}

// shortfallTolerance is the relative difference to the demand that does not count
// as a shortfall.
const shortfallTolerance = 0.001

// shortfalls lists the services whose demand exceeds the limits of the last decision.
func (s *simulation) shortfalls() []Shortfall {
	var list []Shortfall
	for _, service := range s.in.Account.Services {
		demand, carried := 0.0, 0.0
		for _, d := range s.in.Demand {
			if d.Service == service.Name {
				demand += d.RPS * (1 + d.Margin)
			}
		}
		for _, l := range s.decision.Limits {
			if l.Service == service.Name {
				carried += l.DesiredRPS
			}
		}
		if carried < demand*(1-shortfallTolerance) {
			list = append(list, Shortfall{Service: service.Name, DemandRPS: demand, CarriedRPS: carried})
		}
	}
	return list
}
