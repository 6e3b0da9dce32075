// Package forecast predicts the effect of a configuration change of an account:
// which shares move, how long that takes within the move cap, and whether the
// capacities suffice. It repeats decisions on the last measured demand until
// nothing changes.
package forecast

import (
	"time"

	"github.com/yuccaroute/yuccaroute/api/model"
	"github.com/yuccaroute/yuccaroute/steering"
)

const (
	// decisionInterval is the simulated time between two decisions.
	decisionInterval = time.Second
	// maxDuration is the simulated time after which a forecast stops.
	maxDuration = time.Hour
	// settleTime is how long nothing may change before the account counts as
	// settled. It exceeds the time of one step of a cold place.
	settleTime = 30 * time.Second
)

// Forecast is the predicted effect of a changed account.
type Forecast struct {
	// Settled reports whether the shares settled within an hour.
	Settled bool `json:"settled"`
	// DurationMS is the time until the last change, in ms.
	DurationMS int64 `json:"takes_ms"`
	// MovedPercent is the total part of the account's traffic that moves.
	MovedPercent float64 `json:"moved_percent"`
	// Changes lists the shares whose final value differs from the present one.
	Changes []Change `json:"changes"`
	// Shortfalls lists the services whose demand exceeds their limits. The excess
	// would be refused.
	Shortfalls []Shortfall `json:"over,omitempty"`
	// CapacityHolds reports whether Shortfalls is empty.
	CapacityHolds bool `json:"capacity_holds"`
	// FinalDecision is the last simulated decision.
	FinalDecision steering.Decision `json:"-"`
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

// Shortfall is a service whose demand exceeds what it may carry.
type Shortfall struct {
	Service    model.ServiceName `json:"service"`
	DemandRPS  float64           `json:"demand_rps"`
	CarriedRPS float64           `json:"carried_rps"`
}

// Run predicts the effect of replacing the account of the input by changed. It
// assumes that the measurements of the input stay as they are and does not wait
// for drains that start later.
func Run(in steering.Input, changed *model.Account) Forecast {
	s := simulation{in: in, start: in.Now}
	s.in.Account = changed
	s.prepareInput()
	for s.elapsed() < maxDuration && s.elapsed()-s.lastChange < settleTime+decisionInterval {
		s.step()
	}
	return s.result()
}
