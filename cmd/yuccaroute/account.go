package main

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"github.com/yuccaroute/yuccaroute/admin/client"
	"github.com/yuccaroute/yuccaroute/admin/wire"
	"github.com/yuccaroute/yuccaroute/cmd/internal/operator"
	"github.com/yuccaroute/yuccaroute/cmd/internal/program"
	"github.com/yuccaroute/yuccaroute/cmd/internal/render"
	"github.com/yuccaroute/yuccaroute/steering/explain"
)

func newAccount(c *connection) *cobra.Command {
	cmd := newGroup("account", "Client accounts", "  yuccaroute account list\n  yuccaroute account status daehan --wait 30s")
	list := &cobra.Command{
		Use:     "list",
		Short:   "List accounts",
		Example: "  yuccaroute account list",
		Args:    cobra.NoArgs,
		RunE: c.run(func(s *session) error {
			return ask(s, (*client.Client).Accounts, s.printer.Accounts)
		}),
	}
	cmd.AddCommand(list)
	cmd.AddCommand(objectVerbs(c, operator.KindAccount)...)
	cmd.AddCommand(newValues(c), newStatus(c), newExplain(c), newDrains(c), newDrain(c), newUndrain(c))
	return cmd
}

// ask asks a question without arguments and writes the answer.
func ask[T any](s *session, question func(*client.Client, context.Context) (*T, error), write func(*T) error) error {
	answer, err := operator.Read(s.ctx, s.nodes, func(ctx context.Context, api *client.Client) (*T, error) {
		return question(api, ctx)
	})
	if err != nil {
		return err
	}
	return write(answer)
}

// askAbout asks a question about the account in the first argument.
func askAbout[T any](s *session, question func(*client.Client, context.Context, string) (*T, error), write func(*T) error) error {
	return ask(s, func(api *client.Client, ctx context.Context) (*T, error) {
		return question(api, ctx, s.args[0])
	}, write)
}

func newValues(c *connection) *cobra.Command {
	var merged bool
	cmd := &cobra.Command{
		Use:               "values ACCOUNT",
		Short:             "List every value in force and which document it came from",
		Example:           "  yuccaroute account values daehan\n  yuccaroute account values daehan --merged",
		Args:              cobra.ExactArgs(1),
		ValidArgsFunction: c.completeNames(operator.KindAccount),
	}
	cmd.Flags().BoolVar(&merged, "merged", false, "write them as one INI document, origins as comments")
	cmd.RunE = c.run(func(s *session) error {
		write := s.printer.Values
		if merged {
			write = s.printer.Merged
		}
		return askAbout(s, (*client.Client).Values, write)
	})
	return cmd
}

func newStatus(c *connection) *cobra.Command {
	var wait time.Duration
	cmd := &cobra.Command{
		Use:               "status ACCOUNT",
		Short:             "Show on which nodes the newest state is in force",
		Long:              "Show on which nodes the newest state of the account is in force. Exit code 1\nwhen it is not known to be in force on all nodes of the VM list.",
		Example:           "  yuccaroute account status daehan --wait 30s",
		Args:              cobra.ExactArgs(1),
		ValidArgsFunction: c.completeNames(operator.KindAccount),
	}
	cmd.Flags().DurationVar(&wait, "wait", 0, "wait up to this long until it is in force everywhere")
	cmd.RunE = c.run(func(s *session) error { return s.status(s.args[0], wait) })
	return cmd
}

func (s *session) status(account string, wait time.Duration) error {
	ctx, cancel := context.WithTimeout(s.ctx, wait)
	defer cancel()
	var status *wire.Spreading
	var err error
	if wait > 0 {
		status, err = s.nodes.WaitEverywhere(ctx, account, statusEvery, nil)
	} else {
		status, err = s.nodes.Status(s.ctx, account)
	}
	if err != nil {
		return err
	}
	if err := s.printer.Spreading(status); err != nil {
		return err
	}
	if !status.Everywhere {
		return program.Exit(program.ExitFailed, errors.New(render.Summary(status)))
	}
	return nil
}

func newExplain(c *connection) *cobra.Command {
	return &cobra.Command{
		Use:               "explain ACCOUNT",
		Short:             "Explain the shares in force and what holds them back",
		Example:           "  yuccaroute account explain daehan",
		Args:              cobra.ExactArgs(1),
		ValidArgsFunction: c.completeNames(operator.KindAccount),
		RunE: c.run(func(s *session) error {
			return askAbout[explain.Report](s, (*client.Client).Explain, s.printer.Explanation)
		}),
	}
}
