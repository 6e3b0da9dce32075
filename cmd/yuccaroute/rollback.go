package main

import (
	"context"
	"fmt"

	"github.com/spf13/cobra"

	"github.com/yuccaroute/yuccaroute/admin/client"
	"github.com/yuccaroute/yuccaroute/admin/wire"
	"github.com/yuccaroute/yuccaroute/cmd/internal/operator"
	"github.com/yuccaroute/yuccaroute/cmd/internal/render"
)

func newRollback(c *connection, kind operator.Kind) *cobra.Command {
	var to, at uint64
	var dryRun bool
	var change changeFlags
	cmd := &cobra.Command{
		Use:     "rollback NAME --to SEQUENCE",
		Aliases: []string{"roll-back"},
		Short:   "Put an earlier document of one " + string(kind) + " in force again",
		Long: "Put the document that was in force at a sequence of the history in force again,\nas a new change. A change made since the verb began, or since --at, is a\n" +
			"conflict.",
		Example:           "  yuccaroute " + string(kind) + " history NAME\n  yuccaroute " + string(kind) + " rollback NAME --to 12 --dry-run\n  yuccaroute " + string(kind) + " rollback NAME --to 12",
		Args:              cobra.ExactArgs(1),
		ValidArgsFunction: c.completeNames(kind),
	}
	cmd.Flags().Uint64Var(&to, "to", 0, "sequence of the history")
	cmd.Flags().Uint64Var(&at, "at", 0, "sequence in force that the decision was made on; default the one now")
	cmd.Flags().BoolVar(&dryRun, "dry-run", false, "change nothing; show how the document differs and forecast the traffic")
	change.register(cmd.Flags())
	_ = cmd.MarkFlagRequired("to")
	cmd.RunE = c.run(func(s *session) error {
		o := operator.Object{Kind: kind, Name: s.args[0]}
		match, err := s.matchNow(o, at)
		if err != nil {
			return err
		}
		if dryRun {
			return s.previewRollback(o, match, to)
		}
		return s.change(o, change, func(ctx context.Context, api *client.Client, id string) (*wire.ChangeAnswer, error) {
			return api.RollBack(ctx, o.API(), match, wire.RollBackRequest{ID: id, Note: change.note, ToSequence: to})
		})
	})
	return cmd
}

// previewRollback shows how the earlier document differs from the one in force
// and what it would do. The difference goes to the notes, so that -o json
// writes the preview alone.
func (s *session) previewRollback(o operator.Object, match client.Match, to uint64) error {
	earlier, err := s.nodes.GetAt(s.ctx, o, to)
	if err != nil {
		return err
	}
	if err := s.showDifference(o, earlier); err != nil {
		return err
	}
	preview, err := operator.Read(s.ctx, s.nodes, func(ctx context.Context, api *client.Client) (*wire.Preview, error) {
		return api.DryRun(ctx, o.API(), match, wire.ChangeRequest{ID: operator.NewChangeID(o), Text: earlier.Text})
	})
	if err != nil {
		return err
	}
	return s.printer.Preview(preview)
}

// showDifference compares an earlier document with the one in force; an object
// that does not exist now is compared with nothing.
func (s *session) showDifference(o operator.Object, earlier *wire.Document) error {
	current, err := s.nodes.Get(s.ctx, o)
	if operator.IsNotFound(err) {
		current, err = &wire.Document{}, nil
	}
	if err != nil {
		return err
	}
	difference, err := render.Difference(
		fmt.Sprintf("in force at sequence %d", current.Sequence), current.Text,
		fmt.Sprintf("of sequence %d", earlier.Sequence), earlier.Text)
	if err != nil {
		return err
	}
	fmt.Fprint(s.notes(), difference)
	return nil
}
