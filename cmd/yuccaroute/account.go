package main

import (
	"context"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"github.com/yuccaroute/yuccaroute/admin/client"
	"github.com/yuccaroute/yuccaroute/admin/wire"
	"github.com/yuccaroute/yuccaroute/cmd/internal/operator"
	"github.com/yuccaroute/yuccaroute/cmd/internal/program"
	"github.com/yuccaroute/yuccaroute/cmd/internal/render"
	"github.com/yuccaroute/yuccaroute/config"
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
	var from string
	cmd := &cobra.Command{
		Use:               "values ACCOUNT",
		Short:             "List every value in force and which document it came from",
		Example:           "  yuccaroute account values daehan --from account\n  yuccaroute account values daehan --merged",
		Args:              cobra.ExactArgs(1),
		ValidArgsFunction: c.completeNames(operator.KindAccount),
	}
	origins := []string{string(config.FromAccount), string(config.FromTemplate), string(config.FromDefault)}
	cmd.Flags().BoolVar(&merged, "merged", false, "write them as one INI document, origins as comments")
	cmd.Flags().StringVar(&from, "from", "", "only values from account, template or default")
	_ = cmd.RegisterFlagCompletionFunc("from", cobra.FixedCompletions(origins, cobra.ShellCompDirectiveNoFileComp))
	cmd.MarkFlagsMutuallyExclusive("merged", "from")
	cmd.RunE = c.run(func(s *session) error {
		if from != "" && !slices.Contains(origins, from) {
			return program.Exit(program.ExitUsage, errors.Errorf("--from is %q; permitted: %s", from, strings.Join(origins, ", ")))
		}
		return askAbout(s, (*client.Client).Values, func(v *wire.Values) error {
			if merged {
				return s.printer.Merged(v)
			}
			return s.printer.Values(operator.ValuesFrom(v, from))
		})
	})
	return cmd
}

func newStatus(c *connection) *cobra.Command {
	var wait time.Duration
	var missing bool
	cmd := &cobra.Command{
		Use:               "status ACCOUNT",
		Short:             "Show on which nodes the newest state is in force",
		Long:              "Show on which nodes the newest state of the account is in force. Exit code 1\nwhen it is not known to be in force on all nodes of the VM list.",
		Example:           "  yuccaroute account status daehan --wait 30s",
		Args:              cobra.ExactArgs(1),
		ValidArgsFunction: c.completeNames(operator.KindAccount),
	}
	cmd.Flags().DurationVar(&wait, "wait", 0, "wait up to this long until it is in force everywhere")
	cmd.Flags().BoolVar(&missing, "missing", false, "list only nodes where it is not known to be in force")
	cmd.RunE = c.run(func(s *session) error { return s.status(s.args[0], wait, missing) })
	return cmd
}

func (s *session) status(account string, wait time.Duration, missing bool) error {
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
	shown := status
	if missing {
		shown = operator.WithoutInForce(status)
	}
	if err := s.printer.Spreading(shown); err != nil {
		return err
	}
	if !status.Everywhere {
		return program.Exit(program.ExitFailed, errors.New(render.Summary(status)))
	}
	return nil
}

func newExplain(c *connection) *cobra.Command {
	var filter operator.FlowFilter
	cmd := &cobra.Command{
		Use:               "explain ACCOUNT",
		Short:             "Explain the shares in force and what holds them back",
		Example:           "  yuccaroute account explain daehan --service dealer-desk --callers kr-seoul",
		Args:              cobra.ExactArgs(1),
		ValidArgsFunction: c.completeNames(operator.KindAccount),
	}
	cmd.Flags().StringVar(&filter.Service, "service", "", "only this service")
	cmd.Flags().StringVar(&filter.Callers, "callers", "", "only callers of this region")
	cmd.RunE = c.run(func(s *session) error {
		return askAbout(s, (*client.Client).Explain, func(r *explain.Report) error {
			return s.printer.Explanation(filter.Apply(r))
		})
	})
	return cmd
}
