package main

import (
	"fmt"

	"github.com/spf13/cobra"

	"github.com/yuccaroute/yuccaroute/cmd/internal/program"
	"github.com/yuccaroute/yuccaroute/config/settings"
)

func newCheckConfig() *cobra.Command {
	return &cobra.Command{
		Use:     "check-config FILE...",
		Short:   "Check node settings; all faults are listed at once",
		Example: "  yuccaroute check-config /etc/yuccaroute/node.ini",
		Args:    cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, files []string) error {
			for _, file := range files {
				if _, err := settings.Load(file); err != nil {
					return program.Exit(program.ExitUsage, err)
				}
				fmt.Fprintln(cmd.OutOrStdout(), file+": ok")
			}
			return nil
		},
	}
}
