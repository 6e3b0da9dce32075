package main

import (
	"github.com/spf13/cobra"

	"github.com/yuccaroute/yuccaroute/admin/client"
)

func newWhoami(c *connection) *cobra.Command {
	return &cobra.Command{
		Use:     "whoami",
		Short:   "Tell who the token is for and what it may touch",
		Example: "  yuccaroute --token-file ~/.yuccaroute-token whoami",
		Args:    cobra.NoArgs,
		RunE: c.run(func(s *session) error {
			return ask(s, (*client.Client).Whoami, s.printer.Whoami)
		}),
	}
}

func newLive(c *connection) *cobra.Command {
	return &cobra.Command{
		Use:     "live",
		Short:   "List the accounts in force on the first node that answers",
		Long:    "List the accounts in force on the first node that answers. It never asks the\nstore, so it works while the store is out.",
		Example: "  yuccaroute --node 10.0.0.1:7001 live",
		Args:    cobra.NoArgs,
		RunE: c.run(func(s *session) error {
			return ask(s, (*client.Client).LiveAccounts, s.printer.Live)
		}),
	}
}
