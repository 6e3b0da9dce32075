package main

import (
	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"github.com/yuccaroute/yuccaroute/admin/wire"
	"github.com/yuccaroute/yuccaroute/cmd/internal/operator"
	"github.com/yuccaroute/yuccaroute/cmd/internal/program"
)

func newExport(c *connection) *cobra.Command {
	var kind string
	cmd := &cobra.Command{
		Use:   "export NAME",
		Short: "Write a document as apply reads it",
		Long: "Write a document as it was applied, with comments. Its first line tells the\n" +
			"sequence, so that apply finds out when somebody else made a change meanwhile.",
		Example: "  yuccaroute export daehan > daehan.ini\n  yuccaroute export dealer --kind template > dealer.ini",
		Args:    cobra.ExactArgs(1),
	}
	cmd.Flags().StringVar(&kind, "kind", string(operator.KindAccount), "account or template")
	_ = cmd.RegisterFlagCompletionFunc("kind", cobra.FixedCompletions([]string{"account", "template"}, cobra.ShellCompDirectiveNoFileComp))
	cmd.ValidArgsFunction = c.completeNames(operator.KindAccount, operator.KindTemplate)
	cmd.RunE = c.run(func(s *session) error {
		o := operator.Object{Kind: operator.Kind(kind), Name: s.args[0]}
		if o.Kind != operator.KindAccount && o.Kind != operator.KindTemplate {
			return program.Exit(program.ExitUsage, errors.Errorf("--kind is %q; permitted: account, template", kind))
		}
		return s.get(o, 0)
	})
	return cmd
}

// get writes the document in force, or the one at a sequence.
func (s *session) get(o operator.Object, at uint64) error {
	d, err := s.document(o, at)
	if err != nil {
		return err
	}
	return s.printer.Document(d, operator.Exported(o, d.Sequence, d.Text))
}

// document returns the document in force at a sequence, 0 for now.
func (s *session) document(o operator.Object, at uint64) (*wire.Document, error) {
	if at == 0 {
		return s.nodes.Get(s.ctx, o)
	}
	return s.nodes.GetAt(s.ctx, o, at)
}
