package main

import (
	"fmt"
	"os"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/spf13/cobra"

	"github.com/yuccaroute/yuccaroute/cmd/internal/program"
	"github.com/yuccaroute/yuccaroute/httpserver"
	"github.com/yuccaroute/yuccaroute/standin/platform"
	"github.com/yuccaroute/yuccaroute/standin/target"
)

func newStandin() *cobra.Command {
	cmd := newGroup("standin", "Run one stand-in as a process, for tests", "  yuccaroute standin platform --address 127.0.0.1:7400")
	cmd.AddCommand(newStandinPlatform(), newStandinTarget())
	return cmd
}

func newStandinPlatform() *cobra.Command {
	var options platform.Options
	cmd := &cobra.Command{
		Use:     "platform",
		Short:   "Key-value service and VM list in memory, with faults on request",
		Example: "  yuccaroute standin platform --address 127.0.0.1:7400",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			httpserver.UseLog(logrus.StandardLogger())
			server := platform.New(options)
			if err := server.Start(); err != nil {
				return program.Exit(program.ExitUsage, err)
			}
			fmt.Fprintln(cmd.OutOrStdout(), "listening on", server.Addr())
			waitForStop(cmd)
			return server.Stop()
		},
	}
	cmd.Flags().StringVar(&options.Address, "address", "127.0.0.1:0", "ip:port to listen on")
	cmd.Flags().DurationVar(&options.ListLag, "list-lag", time.Second, "how long a change stays hidden in the VM list")
	cmd.Flags().Float64Var(&options.ReadsPerSecond, "reads-per-second", 0, "rate of reads the service takes, 0 for any")
	cmd.Flags().Float64Var(&options.WritesPerSecond, "writes-per-second", 0, "rate of writes the service takes, 0 for any")
	return cmd
}

func newStandinTarget() *cobra.Command {
	var options target.Options
	var address, journal string
	cmd := &cobra.Command{
		Use:     "target",
		Short:   "One target with slots, a ledger and faults on request",
		Example: "  yuccaroute standin target --name desk-1 --address 127.0.0.1:7500 --slots 3",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			httpserver.UseLog(logrus.StandardLogger())
			if journal != "" {
				file, err := os.OpenFile(journal, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
				if err != nil {
					return program.Exit(program.ExitUsage, err)
				}
				defer file.Close()
				options.Journal = file
			}
			t := target.New(options)
			if err := t.Start(address); err != nil {
				return program.Exit(program.ExitUsage, err)
			}
			fmt.Fprintln(cmd.OutOrStdout(), "listening on", t.Addr())
			waitForStop(cmd)
			t.Stop()
			return nil
		},
	}
	flags := cmd.Flags()
	flags.StringVar(&address, "address", "127.0.0.1:0", "ip:port to listen on")
	flags.StringVar(&journal, "journal", "", "file that gets a line for each run, for targets that are killed")
	flags.StringVar(&options.Name, "name", "target", "identifier in the VM list")
	flags.IntVar(&options.Slots, "slots", target.DefaultSlots, "requests that run at once")
	flags.IntVar(&options.Queue, "queue", target.DefaultSlots, "requests that wait; others are shed")
	flags.DurationVar(&options.ServiceTime, "service-time", target.DefaultServiceTime, "how long a request runs")
	flags.Float64Var(&options.Spread, "spread", 0, "part by which the service time varies, 0 to 1")
	flags.Uint64Var(&options.Seed, "seed", 1, "seed of that variation")
	flags.IntVar(&options.ColdRequests, "cold-requests", 0, "how many requests run slowly at first")
	flags.Float64Var(&options.ColdFactor, "cold-factor", 1, "how much slower the first one runs")
	flags.DurationVar(&options.ConnectionCost, "connection-cost", 0, "time added to a connection's first request")
	flags.DurationVar(&options.ProbeCost, "probe-cost", 0, "time a probe takes a slot")
	flags.DurationVar(&options.LoadLag, "load-lag", 0, "age of the load report")
	flags.IntVar(&options.MaxBodyBytes, "max-body-bytes", target.DefaultBodyBytes, "largest request body")
	return cmd
}

// waitForStop returns at the first signal to stop.
func waitForStop(cmd *cobra.Command) {
	stops := program.OnSignals(cmd.Context())
	defer stops.Close()
	<-stops.Planned.Done()
}
