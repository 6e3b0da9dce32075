// Package forecast shows an operator what a changed account would do before it
// is put in force: which shares move, how long that takes within the move cap,
// and whether the capacities hold. It decides again and again on the demand
// last measured until nothing changes.
package forecast

import (
	"time"

	"github.com/yuccaroute/yuccaroute/api/model"
	"github.com/yuccaroute/yuccaroute/api/plan"
	"github.com/yuccaroute/yuccaroute/steering"
)

const (
	// interval is the time between two decisions.
	interval = time.Second
	// longest is the time after which a forecast gives up.
	longest = time.Hour
	// still is how long nothing may change before the account counts as
	// settled: longer than a step of a cold place takes.
	still = 30 * time.Second
)

// Forecast is the outcome of a changed account.
type Forecast struct {
	// Settled tells that the shares came to rest within an hour.
	Settled bool `json:"settled"`
	// TakesMS is the time to the last change, in ms.
	TakesMS int64 `json:"takes_ms"`
	// MovedPercent is the part of the account's traffic that moves in all.
	MovedPercent float64 `json:"moved_percent"`
	// Changes lists the shares that end elsewhere than they are now.
	Changes []Change `json:"changes"`
	// Over lists where the demand is more than what may be carried: the rest
	// would be refused.
	Over []Over `json:"over,omitempty"`
	// CapacityHolds tells that Over is empty.
	CapacityHolds bool `json:"capacity_holds"`
	// Last is the decision the account comes to rest with.
	Last steering.Decision `json:"-"`
}

// Change is one share before and after.
type Change struct {
	Service model.ServiceName `json:"service"`
	Caller  model.RegionName  `json:"caller"`
	Place   model.PlaceName   `json:"place"`
	// Before and After are in percent of the flow.
	Before float64 `json:"before_percent"`
	After  float64 `json:"after_percent"`
}

// Over is a service whose demand passes what the account lets it carry.
type Over struct {
	Service    model.ServiceName `json:"service"`
	DemandRPS  float64           `json:"demand_rps"`
	CarriedRPS float64           `json:"carried_rps"`
}

// Run forecasts what an account does when it replaces the one of the input.
// The measurements of the input are taken as they are and as lasting. Drains
// planned for later are not waited for.
func Run(in steering.Input, changed *model.Account) Forecast {
	r := runner{in: in, start: in.Now}
	r.in.Account = changed
	r.freshen()
	for r.now() < longest && r.now()-r.last < still+interval {
		r.step()
	}
	return r.result()
}

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

// freshen lets the measurements count as new, and gives places the account
// adds a state, as they would have one soon after the change.
func (r *runner) freshen() {
	r.before = r.in.Previous
	for _, m := range r.in.Moved {
		r.made = append(r.made, madeMove{move: m, at: -m.Age})
	}
	r.in.Demand = append([]steering.Demand(nil), r.in.Demand...)
	for i := range r.in.Demand {
		r.in.Demand[i].Age = 0
	}
	states := append([]steering.PlaceState(nil), r.in.Places...)
	known := make(map[model.ServiceName]map[model.PlaceName]bool)
	for i := range states {
		states[i].Age = 0
		if known[states[i].Service] == nil {
			known[states[i].Service] = make(map[model.PlaceName]bool)
		}
		known[states[i].Service][states[i].Place] = true
	}
	for _, s := range r.in.Account.Services {
		for _, c := range s.Capacity {
			if !known[s.Name][c.Place] {
				states = append(states, steering.PlaceState{Service: s.Name, Place: c.Place})
			}
		}
	}
	r.in.Places = states
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
		Settled:      r.now()-r.last >= still,
		TakesMS:      r.last.Milliseconds(),
		MovedPercent: float64(r.moved) * 100 / plan.Whole,
		Changes:      changes(r.before, r.decision.Plan),
		Over:         r.over(),
		Last:         r.decision,
	}
	f.CapacityHolds = len(f.Over) == 0
	return f
}

// over compares the demand of each service with what the last decision lets
// it carry.
func (r *runner) over() []Over {
	const rounding = 0.001
	var over []Over
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
			over = append(over, Over{Service: s.Name, DemandRPS: demand, CarriedRPS: carried})
		}
	}
	return over
}

func changes(before, after *plan.Plan) []Change {
	var all []Change
	for i := range after.Flows {
		f := &after.Flows[i]
		was := make(map[model.PlaceName]uint32)
		if old := oldFlow(before, f); old != nil {
			for _, s := range old.Shares {
				was[s.Place] = s.PPM
			}
		}
		for _, s := range f.Shares {
			all = appendChange(all, f, s.Place, was[s.Place], s.PPM)
			delete(was, s.Place)
		}
		all = appendGone(all, f, oldFlow(before, f), was)
	}
	return all
}

func oldFlow(before *plan.Plan, f *plan.Flow) *plan.Flow {
	if before == nil {
		return nil
	}
	return before.Flow(f.Service, f.Caller)
}

// appendGone adds the places that have no share any more, in their old order.
func appendGone(all []Change, f, old *plan.Flow, was map[model.PlaceName]uint32) []Change {
	if old == nil {
		return all
	}
	for _, s := range old.Shares {
		if ppm, left := was[s.Place]; left {
			all = appendChange(all, f, s.Place, ppm, 0)
		}
	}
	return all
}

func appendChange(all []Change, f *plan.Flow, place model.PlaceName, before, after uint32) []Change {
	if before == after {
		return all
	}
	return append(all, Change{
		Service: f.Service,
		Caller:  f.Caller,
		Place:   place,
		Before:  float64(before) * 100 / plan.Whole,
		After:   float64(after) * 100 / plan.Whole,
	})
}
