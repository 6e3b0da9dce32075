package main

import (
	"fmt"

	"github.com/pkg/errors"
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
			faulty := 0
			for _, file := range files {
				if _, err := settings.Load(file); err != nil {
					faulty++
					fmt.Fprintln(cmd.ErrOrStderr(), err)
					continue
				}
				fmt.Fprintln(cmd.OutOrStdout(), file+": ok")
			}
			if faulty > 0 {
				return program.Exit(program.ExitUsage, errors.Errorf("%d of %d files have faults", faulty, len(files)))
			}
			return nil
		},
	}
}
