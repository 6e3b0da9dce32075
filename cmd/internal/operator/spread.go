package operator

import (
	"context"
	"time"

	"github.com/yuccaroute/yuccaroute/admin/client"
	"github.com/yuccaroute/yuccaroute/admin/wire"
)

// Status tells on which nodes the newest state of an account is in force.
func (n *Nodes) Status(ctx context.Context, account string) (*wire.Spreading, error) {
	return Read(ctx, n, func(ctx context.Context, api *client.Client) (*wire.Spreading, error) {
		return api.Status(ctx, account)
	})
}

// WaitEverywhere asks until the newest state is in force on all nodes or the
// context ends, and returns the last status. shown is told of each; it may be nil.
func (n *Nodes) WaitEverywhere(ctx context.Context, account string, every time.Duration, shown func(*wire.Spreading)) (*wire.Spreading, error) {
	ticker := time.NewTicker(every)
	defer ticker.Stop()
	var last *wire.Spreading
	for {
		status, err := n.Status(ctx, account)
		if err != nil && ctx.Err() != nil && last != nil {
			return last, nil
		}
		if err != nil {
			return last, err
		}
		last = status
		if shown != nil {
			shown(status)
		}
		if status.Everywhere {
			return status, nil
		}
		select {
		case <-ctx.Done():
			return last, nil
		case <-ticker.C:
		}
	}
}

// AccountsOf returns the accounts that a change of the object concerns.
func (n *Nodes) AccountsOf(ctx context.Context, o Object) ([]string, error) {
	if o.Kind == KindAccount {
		return []string{o.Name}, nil
	}
	list, err := Read(ctx, n, func(ctx context.Context, api *client.Client) (*wire.AccountList, error) {
		return api.Accounts(ctx)
	})
	if err != nil {
		return nil, err
	}
	var names []string
	for _, entry := range list.Accounts {
		if entry.Template == o.Name {
			names = append(names, entry.Name)
		}
	}
	return names, nil
}
