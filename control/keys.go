package control

import "github.com/yuccaroute/yuccaroute/api/model"

// Key prefixes of the published items.
const (
	// PlanPrefix is followed by the account; the item is a plan.Plan in JSON.
	PlanPrefix = "plan/"
	// DeciderPrefix is followed by the account; the item is the peerpb.NodeRef of
	// the decider. The decider's lease has the same key in the store.
	DeciderPrefix = "decider/"
)

func deciderKey(name model.AccountName) string { return DeciderPrefix + string(name) }

func planKey(name model.AccountName) string { return PlanPrefix + string(name) }
