package admin

import (
	"context"

	"github.com/yuccaroute/yuccaroute/admin/wire"
	"github.com/yuccaroute/yuccaroute/api/model"
	"github.com/yuccaroute/yuccaroute/config/changelog"
	"github.com/yuccaroute/yuccaroute/steering/explain"
)

// Forecaster tells what steering would do after a change of an account.
type Forecaster interface {
	// Forecast compares two states of an account with the demand as last
	// measured; before is nil for a new account. The error tells why there is
	// nothing to forecast from.
	Forecast(ctx context.Context, before, after *model.Account) (*wire.Forecast, error)
}

// StatusSource tells which nodes have which state of an account in force.
type StatusSource interface {
	// Spreading asks or remembers all nodes of the VM list. It fills all of
	// the answer but Account, Epoch and Sequence.
	Spreading(ctx context.Context, account model.AccountName, version changelog.Version) (*wire.Spreading, error)
}

// Explainer explains the decision in force for an account.
type Explainer interface {
	// Explain returns the explanation, or an error when no decision is known.
	Explain(ctx context.Context, account model.AccountName) (*explain.Report, error)
}

// LiveAccounts tells which accounts are in force on this node. It never asks
// the store.
type LiveAccounts interface {
	// Live returns all accounts sorted by name.
	Live() []wire.LiveAccount
}
