package steering

import (
	"github.com/yuccaroute/yuccaroute/api/model"
	"github.com/yuccaroute/yuccaroute/api/plan"
)

// Decision is the outcome of Decide.
type Decision struct {
	Plan *plan.Plan
	// Changed tells that the plan's shares differ from the previous plan's.
	Changed bool
	// Moves lists what changed, with Age 0. They must last before the plan is
	// given out.
	Moves []Move
	// MovedPPM is the sum of the share increases, each weighted by its flow's
	// part of the account's traffic, parts per million.
	MovedPPM uint32
	// Limits has one entry for each service and place with a capacity.
	Limits []Limit
	// Reasons tell why shares are what they are.
	Reasons []Reason
	// Frozen tells that the measurements are too old for any increase.
	Frozen bool
}

// Limit is what a service may do in a place under a decision.
type Limit struct {
	Service model.ServiceName
	Place   model.PlaceName
	// DesiredRPS is the load the plan asks for, margins included. It never
	// passes UsableRPS, nor, in sum, a region's or a link's capacity.
	DesiredRPS float64
	// UsableRPS is the capacity of the targets that take work.
	UsableRPS float64
}
