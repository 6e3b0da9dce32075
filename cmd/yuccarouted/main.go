// Command yuccarouted is the daemon of one entry VM.
//
// SIGTERM or SIGINT is a planned stop: the node leaves the look-up answers,
// ends the work in hand and exits. A second signal ends it at once; requests in
// hand still get their true outcome.
package main

import (
	"context"
	"fmt"
	"os"

	"github.com/sirupsen/logrus"
	"github.com/spf13/cobra"

	"github.com/yuccaroute/yuccaroute/api/clock"
	"github.com/yuccaroute/yuccaroute/cmd/internal/program"
	"github.com/yuccaroute/yuccaroute/config/settings"
	"github.com/yuccaroute/yuccaroute/httpserver"
	"github.com/yuccaroute/yuccaroute/node"
)

func main() {
	err := newRoot().Execute()
	if err != nil {
		fmt.Fprintln(os.Stderr, "yuccarouted:", err)
	}
	os.Exit(program.CodeOf(err))
}

func newRoot() *cobra.Command {
	var file, format string
	cmd := &cobra.Command{
		Use:           "yuccarouted --settings FILE",
		Short:         "Run the node of this entry VM",
		Example:       "  yuccarouted --settings /etc/yuccaroute/node.ini --log-format json",
		Version:       program.Version(),
		Args:          cobra.NoArgs,
		SilenceErrors: true,
		SilenceUsage:  true,
		RunE: func(cmd *cobra.Command, _ []string) error {
			s, err := settings.Load(file)
			if err != nil {
				return program.Exit(program.ExitUsage, err)
			}
			if format != "" {
				s.Log.Format = format
			}
			return run(cmd.Context(), s)
		},
	}
	cmd.Flags().StringVar(&file, "settings", "", "INI file with the node's settings")
	cmd.Flags().StringVar(&format, "log-format", "", "text or json; default from the settings")
	_ = cmd.MarkFlagRequired("settings")
	return cmd
}

// run serves until a signal.
func run(ctx context.Context, s *settings.Settings) error {
	logger, err := newLogger(s.Log)
	if err != nil {
		return program.Exit(program.ExitUsage, err)
	}
	limitMemory(s.Limits)
	httpserver.UseLog(logger)
	n, err := node.New(node.Options{Settings: s, Logger: logger, Clock: clock.New().Now})
	if err != nil {
		return program.Exit(program.ExitUsage, err)
	}
	stops := program.OnSignals(ctx)
	defer stops.Close()
	n.Start()
	<-stops.Planned.Done()
	leave, cancel := context.WithTimeout(stops.Forced, s.Limits.LeaveTime)
	defer cancel()
	err = n.Leave(leave)
	n.Close()
	if err != nil {
		return program.Exit(program.ExitFailed, err)
	}
	return nil
}

func newLogger(l settings.Log) (*logrus.Logger, error) {
	logger := logrus.New()
	level, err := logrus.ParseLevel(l.Level)
	if err != nil {
		return nil, err
	}
	logger.SetLevel(level)
	if l.Format == "json" {
		logger.SetFormatter(&logrus.JSONFormatter{})
	}
	return logger, nil
}
