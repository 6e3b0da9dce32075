package decider

import (
	"time"

	"github.com/yuccaroute/yuccaroute/api/grant"
	"github.com/yuccaroute/yuccaroute/api/model"
	"github.com/yuccaroute/yuccaroute/api/observe"
	"github.com/yuccaroute/yuccaroute/api/plan"
	"github.com/yuccaroute/yuccaroute/control/ledger"
)

// NodeReport is the last report of one node and the age of its measurements.
type NodeReport struct {
	Report observe.Report
	Age    time.Duration
}

// PlannerInput is the input of a Planner.
type PlannerInput struct {
	Account *model.Account
	Reports []NodeReport
	// UnreportedNodes are known nodes that have not reported in this term.
	UnreportedNodes []grant.NodeID
	// PermittedRPS returns the request rate that the grants in force permit a node
	// for a service; nil if unknown.
	PermittedRPS func(grant.NodeID, model.ServiceName) float64
	Previous     *plan.Plan
	// Moves are the recent moves, including those of earlier deciders.
	Moves []ledger.Move
	Now   time.Time
	// TermStart is when the term of this decider began. Shortly after it, reports
	// may be missing because they have not arrived yet.
	TermStart time.Time
}

// PlannerOutput is the output of a Planner.
type PlannerOutput struct {
	// Flows is the next plan. It equals the previous one if nothing changes.
	Flows []plan.Flow
	// Moves are the changes of shares in this plan.
	Moves []ledger.Move
	// Explanation gives the reasons for the plan to operators.
	Explanation any
}

// Planner makes plans. It must be deterministic and do no I/O.
type Planner interface {
	Plan(PlannerInput) PlannerOutput
}

// moveHistoryWindows is how many windows of the move cap past moves are kept.
const moveHistoryWindows = 16
