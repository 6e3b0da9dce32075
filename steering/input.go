package steering

import (
	"time"

	"github.com/yuccaroute/yuccaroute/api/model"
	"github.com/yuccaroute/yuccaroute/api/plan"
)

// Input holds everything a decision depends on.
type Input struct {
	Account *model.Account
	Now     time.Time
	// Previous is the last plan of the account, possibly from an earlier decider.
	// It is nil only when the account never had one.
	Previous *plan.Plan
	// RecentMoves holds the moves of the last MoveHistoryWindows windows, including
	// those of earlier deciders. A move that is missing here is not charged to
	// the move cap.
	RecentMoves []Move
	// Lagging is the traffic that would also shift if callers switched from nodes
	// that lag behind the plan to other nodes. It is charged to the move cap.
	Lagging []LaggingShare
	// Demand and Places hold the measurements. A missing entry means unknown.
	Demand []Demand
	Places []PlaceState
	// Epoch and Sequence are the version of the new plan.
	Epoch, Sequence uint64
}

// Demand is the load that the callers of one region offer to one service.
type Demand struct {
	Service model.ServiceName
	Caller  model.RegionName
	RPS     float64
	// Age is the mean age of the reports, weighted by their rates.
	Age time.Duration
	// Margin is the fraction, 0 or more, by which the true demand may be larger,
	// for example because of nodes without reports. Age widens it further.
	Margin float64
}

// PlaceState is the measured state of one service in one place, over all nodes.
type PlaceState struct {
	Service model.ServiceName
	Place   model.PlaceName
	// P50 and P99 are target latencies, 0 when unknown.
	P50, P99 time.Duration
	// WarmP99 is the P99 measured while the load of the place had not increased
	// for a while, 0 when unknown. Package steering/aggregate computes it.
	WarmP99 time.Duration
	// FailureShare is the fraction of sent requests that failed, 0 to 1.
	FailureShare float64
	// SentRPS is the request rate behind FailureShare and the latencies.
	SentRPS float64
	// Usable of the Known targets take traffic. Known is 0 when unknown.
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
	Service model.ServiceName
	Caller  model.RegionName
	Place   model.PlaceName
	// Delta is the change of the share, in parts per million.
	Delta int32
	Cause Kind
	// Age is the time since the decision. Too low an age only delays later moves;
	// too high an age lets moves exceed the cap.
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
