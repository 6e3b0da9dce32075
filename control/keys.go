package control

import "github.com/yuccaroute/yuccaroute/api/model"

// The prefixes of the items that the control part publishes; the account's
// name follows.
const (
	// PlanPrefix: plan.Plan in JSON.
	PlanPrefix = "plan/"
	// DeciderPrefix: peerpb.NodeRef of the decider. The store key of its lease
	// is the same.
	DeciderPrefix = "decider/"
)

func deciderKey(name model.AccountName) string { return DeciderPrefix + string(name) }

func planKey(name model.AccountName) string { return PlanPrefix + string(name) }
