// Package forecast shows an operator what a changed account would do before it
// is put in force: which shares move, how long that takes within the move cap,
// and whether the capacities hold. It decides again and again on the demand
// last measured until nothing changes.
package forecast

import (
	"time"

	"github.com/yuccaroute/yuccaroute/api/model"
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
	// DurationMS is the time to the last change, in ms.
	DurationMS int64 `json:"takes_ms"`
	// MovedPercent is the part of the account's traffic that moves in all.
	MovedPercent float64 `json:"moved_percent"`
	// Changes lists the shares that end elsewhere than they are now.
	Changes []Change `json:"changes"`
	// Shortfalls lists where the demand is more than what may be carried: the rest
	// would be refused.
	Shortfalls []Shortfall `json:"over,omitempty"`
	// CapacityHolds tells that Over is empty.
	CapacityHolds bool `json:"capacity_holds"`
	// FinalDecision is the decision the account comes to rest with.
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

// Shortfall is a service whose demand passes what the account lets it carry.
type Shortfall struct {
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
