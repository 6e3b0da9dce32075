package main

import (
	"encoding/json"
	"os"
	"time"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"github.com/yuccaroute/yuccaroute/bench/chart"
	"github.com/yuccaroute/yuccaroute/cmd/internal/program"
	"github.com/yuccaroute/yuccaroute/edge/logs/account"
)

func newLogs() *cobra.Command {
	cmd := &cobra.Command{
		Use:     "logs",
		Short:   "Read the logs of entry VMs",
		Example: "  yuccaroute logs account vm-1.log vm-2.log",
	}
	cmd.AddCommand(newLogsAccount())
	return cmd
}

// standardInput is the file name that stands for it.
const standardInput = "-"

func newLogsAccount() *cobra.Command {
	var asJSON bool
	var png string
	var network time.Duration
	cmd := &cobra.Command{
		Use:   "account FILE...",
		Short: "Tell which requests were late, refused or failed, and why",
		Long: "Tell which requests were late, refused or failed, and why, from the log lines of\n" +
			"all entry VMs: in sum, by route, by the region of the VM that was asked, and by\n" +
			"second. FILE is the log of one VM, or of several that was gathered in one file with\n" +
			"the VM's name as the last word before each JSON line; - is standard input. Lines\n" +
			"that cannot be read are counted and passed over.",
		Example: "  yuccaroute logs account --network 16ms --png day.png vm-1.log vm-2.log\n  zcat vm-*.log.gz | yuccaroute logs account --json -",
		Args:    cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, files []string) error {
			a, err := readLogs(cmd, files, account.Options{Network: network})
			if err != nil {
				return program.Exit(program.ExitFailed, err)
			}
			if png != "" {
				if err := chart.WriteTimeline(timelineOf(a), png); err != nil {
					return program.Exit(program.ExitFailed, err)
				}
			}
			if asJSON {
				return json.NewEncoder(cmd.OutOrStdout()).Encode(a)
			}
			return a.WriteTables(cmd.OutOrStdout())
		},
	}
	cmd.Flags().BoolVar(&asJSON, "json", false, "write JSON")
	cmd.Flags().StringVar(&png, "png", "", "file for a plot over time")
	cmd.Flags().DurationVar(&network, "network", 0, "network time between callers and VMs, there and back; counts against the aim")
	return cmd
}

func readLogs(cmd *cobra.Command, files []string, o account.Options) (*account.Report, error) {
	var sources []account.Source
	for _, name := range files {
		if name == standardInput {
			sources = append(sources, account.Source{Name: "stdin", Reader: cmd.InOrStdin()})
			continue
		}
		f, err := os.Open(name)
		if err != nil {
			return nil, errors.Wrap(err, "logs")
		}
		defer f.Close()
		sources = append(sources, account.Source{Name: name, Reader: f})
	}
	return account.Read(o, sources...)
}

// timelineOf plots how requests ended, and how long they took against what was expected.
func timelineOf(a *account.Report) *chart.Timeline {
	length := 0
	for i := range a.BySecond {
		length = max(length, a.BySecond[i].Second+1)
	}
	line := func(name string, value func(*account.Point) float64) chart.Line {
		l := chart.Line{Name: name, Values: make([]float64, length)}
		for i := range a.BySecond {
			if p := &a.BySecond[i]; p.Second >= 0 {
				l.Values[p.Second] = value(p)
			}
		}
		return l
	}
	return &chart.Timeline{Rows: [][]chart.Panel{{
		{Title: "Requests", Unit: "a second", Lines: []chart.Line{
			line("in objective", func(p *account.Point) float64 { return float64(p.InObjective) }),
			line("late", func(p *account.Point) float64 { return float64(p.Late) }),
			line("refused", func(p *account.Point) float64 { return float64(p.Refused) }),
			line("failed", func(p *account.Point) float64 { return float64(p.Failed) }),
			line("slow runs", func(p *account.Point) float64 { return float64(p.SlowRuns) }),
		}},
		{Title: "Time at targets", Unit: "ms", Lines: []chart.Line{
			line("expected", func(p *account.Point) float64 { return p.Expected }),
			line("seen", func(p *account.Point) float64 { return p.Seen }),
		}},
	}}}
}
