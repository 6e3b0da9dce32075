package main

import (
	"io"
	"os"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"
	"golang.org/x/term"

	"github.com/yuccaroute/yuccaroute/cmd/internal/program"
	"github.com/yuccaroute/yuccaroute/demo"
)

// defaultDemoDuration is long enough for every scenario to show its effect.
const defaultDemoDuration = 30 * time.Second

func newDemo() *cobra.Command {
	var scenario, logs string
	var duration time.Duration
	var seed uint64
	cmd := &cobra.Command{
		Use:   "demo",
		Short: "Run both example accounts against stand-ins in this process",
		Long: "Runs the platform, targets, entry nodes and callers in this process and ends\n" +
			"with a table for each service and each promise. Exits 0 only if the checker\n" +
			"counted no violation.\n\nScenarios:\n" + scenarioList(),
		Example: "  yuccaroute demo\n  yuccaroute demo --scenario drain --duration 20s",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			s, ok := demo.ScenarioByName(scenario)
			if !ok {
				return errors.Errorf("no scenario %q; there are:\n%s", scenario, scenarioList())
			}
			if duration <= 0 {
				return errors.Errorf("--duration %s is not positive", duration)
			}
			return runDemo(cmd, demo.Options{Scenario: s, Duration: duration, Seed: seed}, logs)
		},
	}
	cmd.Flags().StringVar(&scenario, "scenario", "steady", "which run")
	cmd.Flags().DurationVar(&duration, "duration", defaultDemoDuration, "how long callers send")
	cmd.Flags().Uint64Var(&seed, "seed", 1, "seed of the load and of the stand-ins")
	cmd.Flags().StringVar(&logs, "logs", "", "file for the nodes' logs; none by default")
	return cmd
}

func scenarioList() string {
	var b strings.Builder
	for _, s := range demo.Scenarios() {
		b.WriteString("  " + s.Name + ": " + s.Summary + "\n")
	}
	return b.String()
}

func runDemo(cmd *cobra.Command, options demo.Options, logs string) error {
	options.Logs = io.Discard
	if logs != "" {
		file, err := os.Create(logs)
		if err != nil {
			return program.Exit(program.ExitUsage, errors.Wrap(err, "open the log file"))
		}
		defer file.Close()
		options.Logs = file
	}
	options.Progress = cmd.OutOrStdout()
	options.Terminal = term.IsTerminal(int(os.Stdout.Fd()))
	stops := program.OnSignals(cmd.Context())
	defer stops.Close()
	report, err := demo.Run(stops.Planned, options)
	if err != nil {
		return program.Exit(program.ExitFailed, err)
	}
	report.Write(cmd.OutOrStdout())
	if n := report.Violations(); n > 0 {
		return program.Exit(program.ExitFailed, errors.Errorf("%d violations of promises", n))
	}
	return nil
}
