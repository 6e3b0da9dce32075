package main

import (
	"context"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"github.com/yuccaroute/yuccaroute/admin/client"
	"github.com/yuccaroute/yuccaroute/admin/wire"
	"github.com/yuccaroute/yuccaroute/cmd/internal/operator"
	"github.com/yuccaroute/yuccaroute/cmd/internal/program"
)

// newGroup returns a command that only holds others.
func newGroup(use, short, example string) *cobra.Command {
	return &cobra.Command{
		Use:     use,
		Short:   short,
		Example: example,
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return errors.Errorf("%s needs a verb; see %s --help", cmd.CommandPath(), cmd.CommandPath())
		},
	}
}

func newTemplate(c *connection) *cobra.Command {
	cmd := newGroup("template", "Templates that accounts share", "  yuccaroute template list\n  yuccaroute template history dealer")
	list := &cobra.Command{
		Use:     "list",
		Short:   "List templates",
		Example: "  yuccaroute template list -o json",
		Args:    cobra.NoArgs,
		RunE: c.run(func(s *session) error {
			l, err := operator.Read(s.ctx, s.nodes, func(ctx context.Context, api *client.Client) (*wire.TemplateList, error) {
				return api.Templates(ctx)
			})
			if err != nil {
				return err
			}
			return s.printer.Templates(l)
		}),
	}
	cmd.AddCommand(list, newAdoptStore(c))
	cmd.AddCommand(objectVerbs(c, operator.KindTemplate)...)
	return cmd
}

// objectVerbs are those that templates and accounts share.
func objectVerbs(c *connection, kind operator.Kind) []*cobra.Command {
	return []*cobra.Command{
		newApplyOf(c, kind, "Apply one "+string(kind)+" a file"),
		newDiffOf(c, kind, "Show how the files differ from the "+string(kind)+"s in force"),
		newGet(c, kind),
		newDelete(c, kind),
		newHistory(c, kind),
		newRollback(c, kind),
	}
}

func newGet(c *connection, kind operator.Kind) *cobra.Command {
	var at uint64
	cmd := &cobra.Command{
		Use:               "get NAME",
		Short:             "Write the document of one " + string(kind) + " with its sequence",
		Example:           "  yuccaroute " + string(kind) + " get NAME\n  yuccaroute " + string(kind) + " get NAME --at 12",
		Args:              cobra.ExactArgs(1),
		ValidArgsFunction: c.completeNames(kind),
		RunE: c.run(func(s *session) error {
			return s.get(operator.Object{Kind: kind, Name: s.args[0]}, at)
		}),
	}
	cmd.Flags().Uint64Var(&at, "at", 0, "the document that was in force at this sequence of the history")
	return cmd
}

func newDelete(c *connection, kind operator.Kind) *cobra.Command {
	var at uint64
	var change changeFlags
	cmd := &cobra.Command{
		Use:               "delete NAME --at SEQUENCE",
		Short:             "Delete one " + string(kind),
		Long:              "Delete one " + string(kind) + ". --at names the sequence that get shows, so that a change\nmade meanwhile is a conflict. roll-back brings the object back.",
		Example:           "  yuccaroute " + string(kind) + " delete NAME --at 12 --note \"moved\"",
		Args:              cobra.ExactArgs(1),
		ValidArgsFunction: c.completeNames(kind),
	}
	cmd.Flags().Uint64Var(&at, "at", 0, "sequence that get shows")
	change.register(cmd.Flags())
	_ = cmd.MarkFlagRequired("at")
	cmd.RunE = c.run(func(s *session) error {
		o := operator.Object{Kind: kind, Name: s.args[0]}
		return s.change(o, change, func(ctx context.Context, api *client.Client, id string) (*wire.ChangeAnswer, error) {
			return api.Delete(ctx, o.API(), client.At(at), id, change.note)
		})
	})
	return cmd
}

func newHistory(c *connection, kind operator.Kind) *cobra.Command {
	var before uint64
	var limit int
	cmd := &cobra.Command{
		Use:               "history NAME",
		Short:             "List the changes of one " + string(kind) + ", newest first",
		Example:           "  yuccaroute " + string(kind) + " history NAME --limit 10",
		Args:              cobra.ExactArgs(1),
		ValidArgsFunction: c.completeNames(kind),
	}
	cmd.Flags().Uint64Var(&before, "before", 0, "only changes before this sequence")
	cmd.Flags().IntVar(&limit, "limit", 0, "how many; the node decides by default")
	cmd.RunE = c.run(func(s *session) error {
		o := operator.Object{Kind: kind, Name: s.args[0]}
		history, err := operator.Read(s.ctx, s.nodes, func(ctx context.Context, api *client.Client) (*wire.History, error) {
			return api.History(ctx, o.API(), before, limit)
		})
		if err != nil {
			return err
		}
		return s.printer.History(history)
	})
	return cmd
}

// matchNow requires the sequence given, or else the one in force now; an
// object that does not exist is created.
func (s *session) matchNow(o operator.Object, at uint64) (client.Match, error) {
	if at != 0 {
		return client.At(at), nil
	}
	current, err := s.nodes.Get(s.ctx, o)
	if operator.IsNotFound(err) {
		return client.Created(), nil
	}
	if err != nil {
		return client.Match{}, err
	}
	return client.At(current.Sequence), nil
}

// change sends a change and writes what it did.
func (s *session) change(o operator.Object, f changeFlags, send func(context.Context, *client.Client, string) (*wire.ChangeAnswer, error)) error {
	id := f.id
	if id == "" {
		id = operator.NewChangeID(o)
	}
	answer, err := s.nodes.Do(s.ctx, operator.Change{Object: o, ID: id, Send: func(ctx context.Context, api *client.Client) (*wire.ChangeAnswer, error) {
		return send(ctx, api, id)
	}})
	if err != nil {
		return err
	}
	if err := s.printer.Change(answer); err != nil {
		return err
	}
	return s.waitFor(o, f.wait)
}

func newOutcome(c *connection) *cobra.Command {
	var account, template string
	cmd := &cobra.Command{
		Use:   "outcome ID",
		Short: "Tell whether a change took effect",
		Long: "Tell whether a change took effect. Exit code 0 when it is in force, 4 when it is\nnot seen: it may still take effect while its sender tries. Repeating it under its\n" +
			"identifier settles the matter.",
		Example: "  yuccaroute outcome account-daehan-0f3a61c2d94b4e11a7c0b2d9",
		Args:    cobra.ExactArgs(1),
	}
	cmd.Flags().StringVar(&account, "account", "", "account that the change is for; default from the identifier")
	cmd.Flags().StringVar(&template, "template", "", "template that the change is for; default from the identifier")
	cmd.MarkFlagsMutuallyExclusive("account", "template")
	cmd.RunE = c.run(func(s *session) error {
		id := s.args[0]
		o, found := operator.ObjectOf(id)
		switch {
		case account != "":
			o = operator.Object{Kind: operator.KindAccount, Name: account}
		case template != "":
			o = operator.Object{Kind: operator.KindTemplate, Name: template}
		case !found:
			return program.Exit(program.ExitUsage, errors.New("the identifier does not name its object; give --account or --template"))
		}
		return s.outcome(o, id)
	})
	return cmd
}

func (s *session) outcome(o operator.Object, id string) error {
	outcome, err := s.nodes.Outcome(s.ctx, o, id)
	if err != nil {
		return err
	}
	if err := s.printer.Outcome(outcome); err != nil {
		return err
	}
	if outcome.State != wire.OutcomeInForce {
		return program.Exit(program.ExitUnknown, errors.Errorf("change %s is not seen", id))
	}
	return nil
}
