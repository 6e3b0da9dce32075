package steering

import (
	"time"

	"github.com/yuccaroute/yuccaroute/api/model"
	"github.com/yuccaroute/yuccaroute/api/plan"
)

// Input is everything a decision depends on.
type Input struct {
	Account *model.Account
	Now     time.Time
	// Previous is the last plan of the account, also one of an earlier
	// decider. It is nil only when the account never had one.
	Previous *plan.Plan
	// RecentMoves holds the moves of the last MoveHistoryWindows windows, including
	// those of earlier deciders. A move that is missing here is not charged to
	// the move cap.
	RecentMoves []Move
	// Lagging is the traffic that would also shift if callers switched from nodes
	// that lag behind the plan to other nodes. It is charged to the move cap.
	Lagging []LaggingShare
	// Demand and Places hold what is known. A missing entry means unknown.
	Demand []Demand
	Places []PlaceState
	// Epoch and Sequence are put into the plan.
	Epoch, Sequence uint64
}

// Demand is what the callers of one region ask of one service.
type Demand struct {
	Service model.ServiceName
	Caller  model.RegionName
	RPS     float64
	// Age is how old the reports in the sum are, in the mean of the rates.
	Age time.Duration
	// Margin is the part, 0 or more, by which the true demand may be larger,
	// for example for nodes that were not heard. Age widens it further.
	Margin float64
}

// PlaceState is what was measured of one service in one place, over all nodes.
type PlaceState struct {
	Service model.ServiceName
	Place   model.PlaceName
	// P50 and P99 are target latencies; 0 is unknown.
	P50, P99 time.Duration
	// WarmP99 is P99 as it was when the place had not taken more for a while;
	// 0 is unknown. Package steering/aggregate keeps it.
	WarmP99 time.Duration
	// FailureShare is the part of the requests sent that failed, 0 to 1.
	FailureShare float64
	// SentRPS is the rate the FailureShare and the latencies were measured at.
	SentRPS float64
	// Usable of Known targets take work. Known is 0 when it is not known.
	Usable, Known int
	// NoTargets is set when every reporting node lists no target here, because
	// the place was lost or removed. A place without reports does not set it.
	NoTargets bool
	// Unstable is the number of usable targets that recovered too recently to be
	// relied on. They serve traffic still sent to them but attract none.
	Unstable int
	Age      time.Duration
}

// Move is one change of one share.
type Move struct {
	// Service and Caller name the flow.
	Service model.ServiceName
	Caller  model.RegionName
	Place   model.PlaceName
	// Delta is the change of the share, parts per million.
	Delta int32
	// Cause is why it was made.
	Cause Kind
	// Age is the time since it was decided. An age that is too low only delays
	// later moves; one that is too high lets more move than the cap allows.
	Age time.Duration
}

// LaggingShare is the part of a flow that is served by nodes lagging behind the
// plan, weighted by how far their effective shares differ from it.
type LaggingShare struct {
	Service model.ServiceName
	Caller  model.RegionName
	// PPM is in parts per million of the flow.
	PPM uint32
}
