package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"github.com/yuccaroute/yuccaroute/bench/experiment"
	"github.com/yuccaroute/yuccaroute/bench/scenario"
	"github.com/yuccaroute/yuccaroute/cmd/internal/measure"
	"github.com/yuccaroute/yuccaroute/cmd/internal/program"
)

func newBench() *cobra.Command {
	cmd := newGroup("bench", "Run experiments, compare results, check bounds",
		"  yuccaroute bench run bench/experiments/lookup.ini --json lookup.json --plots plots\n"+
			"  go test -run '^$' -bench . -benchmem ./... | yuccaroute bench check")
	cmd.AddCommand(newBenchList(), newBenchRun(), newBenchScenario(), newBenchShow(), newBenchCompare(), newBenchCheck())
	return cmd
}

func newBenchList() *cobra.Command {
	return &cobra.Command{
		Use:     "list",
		Short:   "List the scenarios that an experiment can name",
		Example: "  yuccaroute bench list",
		Args:    cobra.NoArgs,
		Run:     func(cmd *cobra.Command, _ []string) { measure.WriteScenarios(cmd.OutOrStdout()) },
	}
}

// outputFlags tell where a result goes besides the table.
type outputFlags struct{ json, plots string }

func (f *outputFlags) register(cmd *cobra.Command) {
	cmd.Flags().StringVar(&f.json, "json", "", "file for the result as JSON, for compare")
	cmd.Flags().StringVar(&f.plots, "plots", "", "directory for one PNG a figure, by size with the fitted line")
}

func newBenchRun() *cobra.Command {
	var output outputFlags
	cmd := &cobra.Command{
		Use:   "run FILE",
		Short: "Run an experiment file",
		Long: "Run an experiment file. Progress goes to standard error; the figures, the fitted\nlines and their forecast at the size left out go to standard output. An interrupt\n" +
			"ends the run; what was measured so far is written.",
		Example: "  yuccaroute bench run bench/experiments/lookup.ini --json lookup.json --plots plots",
		Args:    cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			e, err := readExperiment(args[0])
			if err != nil {
				return program.Exit(program.ExitUsage, err)
			}
			return runExperiment(cmd, e, output)
		},
	}
	output.register(cmd)
	return cmd
}

func readExperiment(file string) (*experiment.Experiment, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, errors.Wrap(err, "read experiment")
	}
	e, err := experiment.Parse(text)
	return e, errors.Wrap(err, file)
}

// runExperiment writes what was measured also when the run ends early.
func runExperiment(cmd *cobra.Command, e *experiment.Experiment, output outputFlags) error {
	stops := program.OnSignals(cmd.Context())
	defer stops.Close()
	if estimate := e.Estimate(); estimate > 0 {
		fmt.Fprintf(cmd.ErrOrStderr(), "%s takes at least %s\n", e.Name, estimate.Round(time.Second))
	}
	result, runErr := experiment.Run(stops.Planned, e, cmd.ErrOrStderr())
	if result == nil {
		return program.Exit(program.ExitFailed, runErr)
	}
	result.WriteTable(cmd.OutOrStdout())
	result.WriteFits(cmd.OutOrStdout())
	names, err := measure.Save(result, output.json, output.plots)
	for _, name := range names {
		fmt.Fprintln(cmd.ErrOrStderr(), "wrote", name)
	}
	if runErr != nil {
		return program.Exit(program.ExitFailed, stops.Told(runErr))
	}
	return program.Exit(program.ExitFailed, err)
}

func newBenchScenario() *cobra.Command {
	var output outputFlags
	var one measure.One
	cmd := &cobra.Command{
		Use:     "scenario NAME --sizes SIZE,...",
		Short:   "Run one scenario without a file",
		Example: "  yuccaroute bench scenario lookup-http --sizes 750,3750,7500,15000 --duration 5s --repetitions 3",
		Args:    cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			one.Scenario = args[0]
			e, err := experiment.Parse([]byte(one.Text()))
			if err != nil {
				return program.Exit(program.ExitUsage, err)
			}
			return runExperiment(cmd, e, output)
		},
	}
	for _, s := range scenario.All() {
		cmd.ValidArgs = append(cmd.ValidArgs, cobra.CompletionWithDesc(s.Name, s.Summary))
	}
	flags := cmd.Flags()
	flags.StringVar(&one.Sizes, "sizes", "", "sizes, separated by commas; bench list tells what they count")
	flags.StringVar(&one.Seeds, "seeds", "1", "seeds, separated by commas")
	flags.IntVar(&one.Repetitions, "repetitions", 1, "runs of each size and seed")
	flags.StringVar(&one.Duration, "duration", "", "time of one run; default of the scenario")
	flags.StringVar(&one.Warmup, "warmup", "", "time before it that does not count")
	flags.StringVar(&one.Rate, "rate", "", "calls offered each second, where the size is not the rate")
	flags.StringVar(&one.Workers, "workers", "", "calls in progress at once")
	output.register(cmd)
	_ = cmd.MarkFlagRequired("sizes")
	return cmd
}

func newBenchShow() *cobra.Command {
	var plots string
	cmd := &cobra.Command{
		Use:     "show RESULT",
		Short:   "Write a saved result as tables, and plot it",
		Example: "  yuccaroute bench show lookup.json --plots plots",
		Args:    cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			result, err := measure.Load(args[0])
			if err != nil {
				return program.Exit(program.ExitUsage, err)
			}
			result.WriteTable(cmd.OutOrStdout())
			result.WriteFits(cmd.OutOrStdout())
			names, err := measure.Save(result, "", plots)
			for _, name := range names {
				fmt.Fprintln(cmd.ErrOrStderr(), "wrote", name)
			}
			return program.Exit(program.ExitFailed, err)
		},
	}
	cmd.Flags().StringVar(&plots, "plots", "", "directory for one PNG a figure")
	return cmd
}

func newBenchCompare() *cobra.Command {
	var file string
	cmd := &cobra.Command{
		Use:   "compare EARLIER LATER",
		Short: "Compare two saved results as ratios",
		Long: "Compare two saved results as ratios later/earlier. Exit code 1 when a ratio is\noutside the bounds in section [compare] of the experiment file, or when a figure\n" +
			"is missing.",
		Example: "  yuccaroute bench compare before.json after.json --experiment bench/experiments/lookup.ini",
		Args:    cobra.ExactArgs(2),
		RunE: func(cmd *cobra.Command, args []string) error {
			comparison, err := measure.Compare(args[0], args[1], file)
			if err != nil {
				return program.Exit(program.ExitUsage, err)
			}
			comparison.WriteTable(cmd.OutOrStdout())
			if !comparison.Kept() {
				return program.Exit(program.ExitFailed, errors.New("a ratio is outside its bound, or a figure is missing"))
			}
			return nil
		},
	}
	cmd.Flags().StringVar(&file, "experiment", "", "experiment file with the bounds; none are checked without it")
	return cmd
}

func newBenchCheck() *cobra.Command {
	var root string
	var partial bool
	cmd := &cobra.Command{
		Use:   "check",
		Short: "Check the output of go test -bench against the committed bounds",
		Long: "Check the output of go test -bench on standard input against bounds.ini of every\nmodule. Bounds are counts and ratios within the run, so that the verdict is the\n" +
			"same on any machine. Exit code 1 on a violation, and on a bound whose benchmark\nis not in the input.",
		Example: "  go test -run '^$' -bench . -benchmem ./... | yuccaroute bench check --root .",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			checked, err := measure.Check(cmd.InOrStdin(), filepath.Clean(root))
			if err != nil {
				return program.Exit(program.ExitUsage, err)
			}
			checked.Write(cmd.OutOrStdout())
			return program.Exit(program.ExitFailed, checked.Err(partial))
		},
	}
	cmd.Flags().StringVar(&root, "root", ".", "directory of the workspace")
	cmd.Flags().BoolVar(&partial, "partial", false, "the input holds a part of the benchmarks; bounds of the others are listed and do not fail")
	return cmd
}
