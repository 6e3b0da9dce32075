// Package observe holds what one node measured of its own traffic. Reports
// age: a receiver stamps each with its own clock on arrival, and a missing
// report means unknown, never zero.
package observe

import (
	"time"

	"github.com/yuccaroute/yuccaroute/api/grant"
	"github.com/yuccaroute/yuccaroute/api/model"
)

// Report is what one node measured for one account over one interval.
type Report struct {
	Node    grant.NodeID
	Region  model.RegionName
	Account model.AccountName
	// Interval is the time the counts cover.
	Interval time.Duration
	// PlanEpoch and PlanSequence name the last plan that the shares in force
	// were equal to; both are 0 when there was none.
	PlanEpoch, PlanSequence uint64
	Flows                   []FlowDemand
	Places                  []PlaceLoad
}

// FlowDemand is what callers of one region asked of one service.
type FlowDemand struct {
	Service model.ServiceName
	Caller  model.RegionName
	// OfferedRPS counts every request that arrived, refused ones included.
	OfferedRPS float64
}

// PlaceLoad is what the node sent to one place.
type PlaceLoad struct {
	Service model.ServiceName
	Place   model.PlaceName
	// SentRPS counts requests sent, and those that found no connection to a
	// target; RefusedRPS those that found no grant.
	SentRPS, RefusedRPS float64
	// P50 and P99 are target latencies as the node saw them.
	P50, P99 time.Duration
	// FailureShare is the part of the sent requests that failed, 0 to 1.
	FailureShare float64
	// Targets is how many targets the node holds for usable, of Known.
	Targets, Known int
}
