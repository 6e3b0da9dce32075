package main

import (
	"context"

	"github.com/spf13/cobra"

	"github.com/yuccaroute/yuccaroute/admin/client"
	"github.com/yuccaroute/yuccaroute/admin/wire"
	"github.com/yuccaroute/yuccaroute/cmd/internal/operator"
)

func newAdoptStore(c *connection) *cobra.Command {
	var change changeFlags
	cmd := &cobra.Command{
		Use:   "adopt-store NAME",
		Short: "Take the store's older state of one template for the newest (owners only)",
		Long: "Take the state that the store holds for the newest one, after the store went back\nand no node could put the newer state into it. Accepted changes that only the\n" +
			"newer state had are given up. Read them first: live, account get.",
		Example:           "  yuccaroute template adopt-store dealer --note \"restored on purpose\" --wait 60s",
		Args:              cobra.ExactArgs(1),
		ValidArgsFunction: c.completeNames(operator.KindTemplate),
	}
	change.register(cmd.Flags())
	cmd.RunE = c.run(func(s *session) error {
		o := operator.Object{Kind: operator.KindTemplate, Name: s.args[0]}
		return s.change(o, change, func(ctx context.Context, api *client.Client, id string) (*wire.ChangeAnswer, error) {
			return adopt(ctx, api, o, wire.AdoptRequest{ID: id, Note: change.note})
		})
	})
	return cmd
}

// adopt tells the adopted state as the change of the template that it is in
// the history.
func adopt(ctx context.Context, api *client.Client, o operator.Object, request wire.AdoptRequest) (*wire.ChangeAnswer, error) {
	answer, err := api.AdoptStore(ctx, o.Name, request)
	if err != nil {
		return nil, err
	}
	return &wire.ChangeAnswer{Change: wire.Change{
		ID: answer.ID, Template: o.Name, Kind: string(o.Kind), Name: o.Name,
		Sequence: answer.Sequence, Note: request.Note,
	}}, nil
}
