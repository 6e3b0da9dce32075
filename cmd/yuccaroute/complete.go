package main

import (
	"context"
	"slices"
	"time"

	"github.com/spf13/cobra"

	"github.com/yuccaroute/yuccaroute/admin/client"
	"github.com/yuccaroute/yuccaroute/admin/wire"
	"github.com/yuccaroute/yuccaroute/cmd/internal/connect"
	"github.com/yuccaroute/yuccaroute/cmd/internal/operator"
)

// completionTime bounds what a shell waits for names.
const completionTime = 2 * time.Second

// completeNames completes the first argument with names that the nodes know.
// Without an answer there are no names; a shell shows no errors.
func (c *connection) completeNames(kinds ...operator.Kind) cobra.CompletionFunc {
	return func(cmd *cobra.Command, args []string, _ string) ([]cobra.Completion, cobra.ShellCompDirective) {
		if len(args) > 0 {
			return nil, cobra.ShellCompDirectiveNoFileComp
		}
		options := c.options
		options.Timeout = completionTime
		nodes, err := connect.Open(options)
		if err != nil {
			return nil, cobra.ShellCompDirectiveNoFileComp
		}
		var names []string
		for _, kind := range kinds {
			names = append(names, namesOf(cmd.Context(), nodes, kind)...)
		}
		slices.Sort(names)
		return names, cobra.ShellCompDirectiveNoFileComp
	}
}

func namesOf(ctx context.Context, nodes *operator.Nodes, kind operator.Kind) []string {
	if ctx == nil {
		ctx = context.Background()
	}
	var names []string
	if kind == operator.KindTemplate {
		list, err := operator.Read(ctx, nodes, func(ctx context.Context, api *client.Client) (*wire.TemplateList, error) { return api.Templates(ctx) })
		if err != nil {
			return nil
		}
		for _, e := range list.Templates {
			names = append(names, e.Name)
		}
		return names
	}
	list, err := operator.Read(ctx, nodes, func(ctx context.Context, api *client.Client) (*wire.AccountList, error) { return api.Accounts(ctx) })
	if err != nil {
		return nil
	}
	for _, e := range list.Accounts {
		names = append(names, e.Name)
	}
	return names
}
