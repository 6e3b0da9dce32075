package main

import (
	"fmt"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"github.com/yuccaroute/yuccaroute/admin/identity"
	"github.com/yuccaroute/yuccaroute/cmd/internal/operator"
	"github.com/yuccaroute/yuccaroute/cmd/internal/program"
)

func newIdentity(c *connection) *cobra.Command {
	cmd := newGroup("identity", "Identities of operators and their tokens", "  yuccaroute identity new-token anna --role operator --out anna.token")
	cmd.AddCommand(newNewToken(), newIdentityList(c), newIdentityApply(c))
	return cmd
}

func newNewToken() *cobra.Command {
	var role, file string
	cmd := &cobra.Command{
		Use:   "new-token NAME --out FILE",
		Short: "Make a token and the section to add to the identities",
		Long: "Make a token and write it into a new file that only you can read. The section to\nadd to the document of identities is written to standard output; it holds only\n" +
			"the token's hash. Fill in the accounts and templates it may touch. No node is\nasked.",
		Example: "  yuccaroute identity new-token anna --role operator --out anna.token",
		Args:    cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			section, err := operator.NewToken(args[0], role, file)
			if err != nil {
				return program.Exit(program.ExitUsage, err)
			}
			fmt.Fprint(cmd.OutOrStdout(), section)
			return nil
		},
	}
	roles := []string{string(identity.RoleReader), string(identity.RoleOperator), string(identity.RoleOwner)}
	cmd.Flags().StringVar(&role, "role", string(identity.RoleReader), "reader, operator or owner")
	cmd.Flags().StringVar(&file, "out", "", "new file for the token")
	_ = cmd.RegisterFlagCompletionFunc("role", cobra.FixedCompletions(roles, cobra.ShellCompDirectiveNoFileComp))
	_ = cmd.MarkFlagRequired("out")
	return cmd
}

func newIdentityList(c *connection) *cobra.Command {
	return &cobra.Command{
		Use:     "list",
		Short:   "Write the document of identities as apply reads it (owners only)",
		Example: "  yuccaroute identity list > identities.ini",
		Args:    cobra.NoArgs,
		RunE: c.run(func(s *session) error {
			d, err := s.nodes.Identities(s.ctx)
			if err != nil {
				return err
			}
			return s.printer.Identities(d, operator.ExportedIdentities(d))
		}),
	}
}

func newIdentityApply(c *connection) *cobra.Command {
	var file string
	cmd := &cobra.Command{
		Use:   "apply -f FILE",
		Short: "Replace the document of identities (owners only)",
		Long: "Replace the document of identities by a file that began with identity list: its\nfirst line names the revision, so that a change made meanwhile is a conflict. A\n" +
			"file without that line creates the document.",
		Example: "  yuccaroute identity list > identities.ini\n  yuccaroute identity apply -f identities.ini",
		Args:    cobra.NoArgs,
	}
	cmd.Flags().StringVarP(&file, "file", "f", "", "file, - for standard input")
	_ = cmd.MarkFlagRequired("file")
	cmd.RunE = c.run(func(s *session) error {
		d, err := operator.ReadIdentities(file, s.cmd.InOrStdin())
		if err != nil {
			return program.Exit(program.ExitUsage, err)
		}
		answer, err := s.nodes.PutIdentities(s.ctx, d)
		if err != nil {
			return errors.Wrap(err, file)
		}
		return s.printer.IdentitiesApplied(answer)
	})
	return cmd
}
