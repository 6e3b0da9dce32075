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

func newDrains(c *connection) *cobra.Command {
	return &cobra.Command{
		Use:               "drains ACCOUNT",
		Short:             "List the planned drains",
		Example:           "  yuccaroute account drains daehan",
		Args:              cobra.ExactArgs(1),
		ValidArgsFunction: c.completeNames(operator.KindAccount),
		RunE: c.run(func(s *session) error {
			return askAbout(s, (*client.Client).Drains, s.printer.Drains)
		}),
	}
}

// drainFlags are those of the verb that plans a drain.
type drainFlags struct {
	name   string
	times  operator.DrainTimes
	dryRun bool
	change changeFlags
}

func newDrain(c *connection) *cobra.Command {
	f := &drainFlags{}
	cmd := &cobra.Command{
		Use:   "drain ACCOUNT PLACE",
		Short: "Plan a drain of a place, or change one",
		Long: "Plan a drain of a place: from --start on traffic moves away within the account's\ncap, the place is empty at --end and is used again from --until on. Times are\n" +
			"RFC 3339, \"now\", or \"+\" and a duration: after now for --start, after the start for\nthe others.",
		Example: "  yuccaroute account drain daehan kr-busan-a --start now --end +10m --until +2h\n" +
			"  yuccaroute account drain daehan kr-busan-a --start 2026-12-01T20:00:00Z --end +15m --until +6h --name racks",
		Args:              cobra.ExactArgs(2),
		ValidArgsFunction: c.completeNames(operator.KindAccount),
	}
	flags := cmd.Flags()
	flags.StringVar(&f.name, "name", "", "name of the drain; default the place")
	flags.StringVar(&f.times.Start, "start", "now", "when traffic begins to move away")
	flags.StringVar(&f.times.End, "end", "", "when the place is empty")
	flags.StringVar(&f.times.Until, "until", "", "when the place is used again")
	flags.BoolVar(&f.dryRun, "dry-run", false, "plan nothing; show what would change and forecast the traffic")
	f.change.register(flags)
	_ = cmd.MarkFlagRequired("end")
	_ = cmd.MarkFlagRequired("until")
	cmd.RunE = c.run(func(s *session) error { return s.drain(s.args[0], s.args[1], f) })
	return cmd
}

func (s *session) drain(account, place string, f *drainFlags) error {
	request, err := f.times.Request(place)
	if err != nil {
		return program.Exit(program.ExitUsage, err)
	}
	name := f.name
	if name == "" {
		name = place
	}
	if f.dryRun {
		preview, err := s.nodes.PreviewDrain(s.ctx, account, name, request)
		if err != nil {
			return err
		}
		return s.printer.Preview(preview)
	}
	match, err := s.matchDrains(account)
	if err != nil {
		return err
	}
	request.Note = f.change.note
	o := operator.Object{Kind: operator.KindAccount, Name: account}
	return s.change(o, f.change, func(ctx context.Context, api *client.Client, id string) (*wire.ChangeAnswer, error) {
		request.ID = id
		return api.PlanDrain(ctx, account, name, match, *request)
	})
}

// matchDrains requires the sequence in force now. With any sequence accepted, a
// conflict would not prove that an earlier try of the change failed.
func (s *session) matchDrains(account string) (client.Match, error) {
	drains, err := s.drains(account)
	if err != nil {
		return client.Match{}, err
	}
	return client.At(drains.Sequence), nil
}

func (s *session) drains(account string) (*wire.DrainList, error) {
	return operator.Read(s.ctx, s.nodes, func(ctx context.Context, api *client.Client) (*wire.DrainList, error) {
		return api.Drains(ctx, account)
	})
}

func newUndrain(c *connection) *cobra.Command {
	var change changeFlags
	cmd := &cobra.Command{
		Use:               "undrain ACCOUNT DRAIN",
		Short:             "Cancel a drain; traffic comes back within the account's cap",
		Example:           "  yuccaroute account drains daehan\n  yuccaroute account undrain daehan kr-busan-a",
		Args:              cobra.ExactArgs(2),
		ValidArgsFunction: c.completeNames(operator.KindAccount),
	}
	change.register(cmd.Flags())
	cmd.RunE = c.run(func(s *session) error {
		account, drain := s.args[0], s.args[1]
		drains, err := s.drains(account)
		if err != nil {
			return err
		}
		if change.id == "" && !hasDrain(drains, drain) {
			return program.Exit(program.ExitFailed, errors.Errorf("account %s has no drain %s; see account drains %s", account, drain, account))
		}
		o := operator.Object{Kind: operator.KindAccount, Name: account}
		return s.change(o, change, func(ctx context.Context, api *client.Client, id string) (*wire.ChangeAnswer, error) {
			return api.CancelDrain(ctx, account, drain, client.At(drains.Sequence), id, change.note)
		})
	})
	return cmd
}

func hasDrain(l *wire.DrainList, name string) bool {
	for i := range l.Drains {
		if l.Drains[i].Name == name {
			return true
		}
	}
	return false
}
