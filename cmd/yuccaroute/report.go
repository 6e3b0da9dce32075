package main

import (
	"fmt"
	"slices"
	"strings"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"github.com/yuccaroute/yuccaroute/cmd/internal/measure"
	"github.com/yuccaroute/yuccaroute/cmd/internal/program"
	"github.com/yuccaroute/yuccaroute/demo"
)

func newReport() *cobra.Command {
	var run demoFlags
	var account, file, values string
	cmd := &cobra.Command{
		Use:   "report",
		Short: "Run a demonstration and plot it over time",
		Long: "Run a demonstration and plot it over time: for each service the requests that ran\nby place, those told as not run, and the latencies as callers saw them, by the\n" +
			"second in which requests were due. The tables and the exit code are those of\ndemo.\n\nScenarios:\n" + scenarioList(),
		Example: "  yuccaroute report --scenario failure-domain --account daehan --png failure-domain.png",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if account != "" && !slices.Contains(demo.Accounts(), account) {
				return errors.Errorf("no account %q; there are: %s", account, strings.Join(demo.Accounts(), ", "))
			}
			report, err := run.play(cmd)
			if err != nil {
				return err
			}
			if err := measure.SaveSeries(report.Series, account, file); err != nil {
				return program.Exit(program.ExitFailed, err)
			}
			fmt.Fprintln(cmd.ErrOrStderr(), "wrote", file)
			if values != "" {
				err = measure.SaveSeriesJSON(report.Series, values)
			}
			if err != nil {
				return program.Exit(program.ExitFailed, err)
			}
			return verdict(report)
		},
	}
	run.register(cmd, "failure-domain")
	cmd.Flags().StringVar(&account, "account", "", "plot this account only")
	cmd.Flags().StringVar(&file, "png", "", "file for the plot")
	cmd.Flags().StringVar(&values, "json", "", "file for the values, one a second")
	_ = cmd.MarkFlagRequired("png")
	return cmd
}
