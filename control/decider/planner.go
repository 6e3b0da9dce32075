package decider

import (
	"time"

	"github.com/yuccaroute/yuccaroute/api/grant"
	"github.com/yuccaroute/yuccaroute/api/model"
	"github.com/yuccaroute/yuccaroute/api/observe"
	"github.com/yuccaroute/yuccaroute/api/plan"
	"github.com/yuccaroute/yuccaroute/control/ledger"
)

// NodeReport is the last report of one node and its age.
type NodeReport struct {
	Report observe.Report
	Age    time.Duration
}

// PlannerInput is what a plan is made from.
type PlannerInput struct {
	Account *model.Account
	Reports []NodeReport
	// UnreportedNodes are the nodes on record that have not reported to this decider.
	UnreportedNodes []grant.NodeID
	// PermittedRPS returns the rate, in requests per second, that the grants in
	// force let a node send for a service; nil when it is not known.
	PermittedRPS func(grant.NodeID, model.ServiceName) float64
	Previous     *plan.Plan
	// Moves are those made lately, by whichever decider.
	Moves []ledger.Move
	Now   time.Time
	// TermStart is when this decider took over: a report that is missing may not
	// have had the time to arrive before it.
	TermStart time.Time
}

// PlannerOutput is the result of a Planner.
type PlannerOutput struct {
	// Flows is the next plan; it is equal to the previous one when nothing is
	// to change.
	Flows []plan.Flow
	// Moves are the changes of shares that the plan makes.
	Moves []ledger.Move
	// Explanation tells why, for operators.
	Explanation any
}

// Planner makes plans. It must be deterministic and do no I/O.
type Planner interface {
	Plan(PlannerInput) PlannerOutput
}

// moveMemory is for how many windows of the move cap moves are remembered.
const moveMemory = 16
