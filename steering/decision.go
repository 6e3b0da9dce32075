package steering

import (
	"github.com/yuccaroute/yuccaroute/api/model"
	"github.com/yuccaroute/yuccaroute/api/plan"
)

// Decision is the outcome of Decide.
type Decision struct {
	Plan *plan.Plan
	// Changed is set when the shares differ from those of the previous plan.
	Changed bool
	// Moves lists the changed shares, with Age 0. They must be stored durably
	// before the plan is published.
	Moves []Move
	// MovedPPM is the sum of the share increases, each weighted by its flow's
	// part of the account's traffic, in parts per million.
	MovedPPM uint32
	// Limits has one entry for each service and place with a capacity.
	Limits []Limit
	// Reasons explain the shares.
	Reasons []Reason
	// Frozen is set when the measurements are too old for any increase.
	Frozen bool
}

// Limit is the load that a service may carry in a place under a decision.
type Limit struct {
	Service model.ServiceName
	Place   model.PlaceName
	// DesiredRPS is the planned load, margins included. It never exceeds
	// UsableRPS, nor, in sum, the capacity of a region or link.
	DesiredRPS float64
	// UsableRPS is the capacity of the usable targets.
	UsableRPS float64
}
