package forecast

import (
	"time"

	"github.com/yuccaroute/yuccaroute/api/model"
	"github.com/yuccaroute/yuccaroute/api/plan"
	"github.com/yuccaroute/yuccaroute/steering"
)

// runner holds a forecast in the making.
type runner struct {
	in       steering.Input
	start    time.Time
	last     time.Duration
	moved    uint64
	made     []madeMove
	decision steering.Decision
	before   *plan.Plan
}

// madeMove is a move and when it was, from the start of the forecast.
type madeMove struct {
	move steering.Move
	at   time.Duration
}

func (r *runner) now() time.Duration { return r.in.Now.Sub(r.start) }

// freshen lets the measurements count as new and nodes as in step, and gives
// places the account adds a state, as they would have one soon after the change.
func (r *runner) freshen() {
	r.in.Behind = nil
	r.before = r.in.Previous
	for _, m := range r.in.Moved {
		r.made = append(r.made, madeMove{move: m, at: -m.Age})
	}
	r.in.Demand = append([]steering.Demand(nil), r.in.Demand...)
	for i := range r.in.Demand {
		r.in.Demand[i].Age = 0
	}
	r.in.Places = freshStates(r.in.Places, r.in.Account.Services)
}

// cellKey names one service in one place.
type cellKey struct {
	service model.ServiceName
	place   model.PlaceName
}

// freshStates returns the states as of now, and one for each place of a service
// that has none.
func freshStates(old []steering.PlaceState, services []model.Service) []steering.PlaceState {
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

func (r *runner) step() {
	memory := steering.MoveMemory * r.in.Account.Moves.Window
	r.in.Moved = r.in.Moved[:0:0]
	for _, m := range r.made {
		m.move.Age = r.now() - m.at
		if m.move.Age <= memory {
			r.in.Moved = append(r.in.Moved, m.move)
		}
	}
	r.decision = steering.Decide(r.in)
	for _, m := range r.decision.Moves {
		r.made = append(r.made, madeMove{move: m, at: r.now()})
	}
	if len(r.decision.Moves) > 0 || r.waits() {
		r.last = r.now()
	}
	r.moved += uint64(r.decision.MovedPPM)
	r.in.Previous = r.decision.Plan
	r.in.Now = r.in.Now.Add(interval)
}

// waits reports that the cap holds back moves, so that rest is not reached
// although nothing moves now.
func (r *runner) waits() bool {
	for i := range r.decision.Reasons {
		switch r.decision.Reasons[i].Kind {
		case steering.KindMoveCap, steering.KindHoldDown:
			return true
		}
	}
	return false
}

func (r *runner) result() Forecast {
	f := Forecast{
		Settled:       r.now()-r.last >= still,
		DurationMS:    r.last.Milliseconds(),
		MovedPercent:  float64(r.moved) * 100 / plan.Whole,
		Changes:       changes(r.before, r.decision.Plan),
		Shortfalls:    r.over(),
		FinalDecision: r.decision,
	}
	f.CapacityHolds = len(f.Shortfalls) == 0
	return f
}

// rounding is the part by which what is carried may be below the demand without
// counting as refused.
const rounding = 0.001

// over compares the demand of each service with what the last decision lets
// it carry.
func (r *runner) over() []Shortfall {
	var over []Shortfall
	for _, s := range r.in.Account.Services {
		demand, carried := 0.0, 0.0
		for _, d := range r.in.Demand {
			if d.Service == s.Name {
				demand += d.RPS * (1 + d.Margin)
			}
		}
		for _, l := range r.decision.Limits {
			if l.Service == s.Name {
				carried += l.DesiredRPS
			}
		}
		if carried < demand*(1-rounding) {
			over = append(over, Shortfall{Service: s.Name, DemandRPS: demand, CarriedRPS: carried})
		}
	}
	return over
}
