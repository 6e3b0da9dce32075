package client

import (
	"context"
	"net/http"

	"github.com/yuccaroute/yuccaroute/admin/wire"
	"github.com/yuccaroute/yuccaroute/steering/explain"
)

// Values lists every value in force of an account and where it came from.
func (c *Client) Values(ctx context.Context, account string) (*wire.Values, error) {
	return get[wire.Values](ctx, c, Account(account).path("values"), nil)
}

// LiveAccounts lists the accounts in force on the node.
func (c *Client) LiveAccounts(ctx context.Context) (*wire.LiveList, error) {
	return get[wire.LiveList](ctx, c, []string{"live"}, nil)
}

// LiveAccount returns an account in force on the node.
func (c *Client) LiveAccount(ctx context.Context, account string) (*wire.LiveAccount, error) {
	return get[wire.LiveAccount](ctx, c, Account(account).path("live"), nil)
}

// Status tells on which nodes the account's newest state is in force.
func (c *Client) Status(ctx context.Context, account string) (*wire.Spreading, error) {
	return get[wire.Spreading](ctx, c, Account(account).path("status"), nil)
}

// Explain tells why steering decides as it does.
func (c *Client) Explain(ctx context.Context, account string) (*explain.Report, error) {
	return get[explain.Report](ctx, c, Account(account).path("explain"), nil)
}

// Drains lists the planned drains of an account.
func (c *Client) Drains(ctx context.Context, account string) (*wire.DrainList, error) {
	return get[wire.DrainList](ctx, c, Account(account).path("drains"), nil)
}

// PlanDrain plans a drain or changes it.
func (c *Client) PlanDrain(ctx context.Context, account, drain string, match Match, plan wire.DrainRequest) (*wire.ChangeAnswer, error) {
	plan.ID = withID(plan.ID)
	path := Account(account).path("drains", drain)
	return send[wire.ChangeAnswer](ctx, c, request{method: http.MethodPut, path: path, match: &match, body: plan, changeID: plan.ID})
}

// CancelDrain cancels a drain. id "" makes one.
func (c *Client) CancelDrain(ctx context.Context, account, drain string, match Match, id, note string) (*wire.ChangeAnswer, error) {
	return remove(ctx, c, Account(account).path("drains", drain), match, id, note)
}
