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

// demoFlags are those of the verbs that run a demonstration.
type demoFlags struct {
	scenario, logs string
	duration       time.Duration
	seed           uint64
}

func (f *demoFlags) register(cmd *cobra.Command, scenario string) {
	flags := cmd.Flags()
	flags.StringVar(&f.scenario, "scenario", scenario, "which run")
	flags.DurationVar(&f.duration, "duration", defaultDemoDuration, "how long callers send")
	flags.Uint64Var(&f.seed, "seed", 1, "seed of the load and of the stand-ins")
	flags.StringVar(&f.logs, "logs", "", "file for the nodes' logs; none by default")
	var names []cobra.Completion
	for _, s := range demo.Scenarios() {
		names = append(names, cobra.CompletionWithDesc(s.Name, s.Summary))
	}
	_ = cmd.RegisterFlagCompletionFunc("scenario", cobra.FixedCompletions(names, cobra.ShellCompDirectiveNoFileComp))
}

func (f *demoFlags) options() (demo.Options, error) {
	s, ok := demo.ScenarioByName(f.scenario)
	if !ok {
		return demo.Options{}, errors.Errorf("no scenario %q; there are:\n%s", f.scenario, scenarioList())
	}
	if f.duration <= 0 {
		return demo.Options{}, errors.Errorf("--duration %s is not positive", f.duration)
	}
	return demo.Options{Scenario: s, Duration: f.duration, Seed: f.seed}, nil
}

func newDemo() *cobra.Command {
	var run demoFlags
	cmd := &cobra.Command{
		Use:   "demo",
		Short: "Run both example accounts against stand-ins in this process",
		Long: "Runs the platform, targets, entry nodes and callers in this process and ends\n" +
			"with a table for each service and each promise. Exits 0 only if the checker\n" +
			"counted no violation.\n\nScenarios:\n" + scenarioList(),
		Example: "  yuccaroute demo\n  yuccaroute demo --scenario drain --duration 20s",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			report, err := run.play(cmd)
			if err != nil {
				return err
			}
			return verdict(report)
		},
	}
	run.register(cmd, "steady")
	return cmd
}

func scenarioList() string {
	var b strings.Builder
	for _, s := range demo.Scenarios() {
		b.WriteString("  " + s.Name + ": " + s.Summary + "\n")
	}
	return b.String()
}

// play plays the scenario and writes its tables.
func (f *demoFlags) play(cmd *cobra.Command) (*demo.Report, error) {
	options, err := f.options()
	if err != nil {
		return nil, err
	}
	options.Logs = io.Discard
	if f.logs != "" {
		file, err := os.Create(f.logs)
		if err != nil {
			return nil, program.Exit(program.ExitUsage, errors.Wrap(err, "open the log file"))
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
		return nil, program.Exit(program.ExitFailed, stops.Told(err))
	}
	report.Write(cmd.OutOrStdout())
	return report, nil
}

// verdict fails when a promise was broken.
func verdict(report *demo.Report) error {
	if n := report.Violations(); n > 0 {
		return program.Exit(program.ExitFailed, errors.Errorf("%d violations of promises", n))
	}
	return nil
}
