package main

import (
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"
	"github.com/spf13/pflag"

	"github.com/yuccaroute/yuccaroute/cmd/internal/connect"
	"github.com/yuccaroute/yuccaroute/cmd/internal/operator"
	"github.com/yuccaroute/yuccaroute/cmd/internal/program"
	"github.com/yuccaroute/yuccaroute/cmd/internal/render"
)

// Variables of the environment that stand in for flags that are not given.
const (
	environmentNode      = "YUCCAROUTE_NODE"
	environmentTokenFile = "YUCCAROUTE_TOKEN_FILE"
	environmentCAFile    = "YUCCAROUTE_CA_FILE"
)

// defaultCallTimeout is longer than a node tries to find out the outcome of a
// write whose answer the store lost.
const defaultCallTimeout = 20 * time.Second

// connection holds the flags of all verbs that talk to nodes.
type connection struct {
	options connect.Options
	output  string
}

func (c *connection) register(flags *pflag.FlagSet) {
	var nodes []string
	if text := os.Getenv(environmentNode); text != "" {
		nodes = strings.Split(text, ",")
	}
	flags.StringSliceVar(&c.options.Nodes, "node", nodes,
		"administration address ip:port of a node; repeat it for others that are asked when one does not answer (environment "+environmentNode+")")
	flags.StringVar(&c.options.TokenFile, "token-file", os.Getenv(environmentTokenFile), "file with the operator's token (environment "+environmentTokenFile+")")
	flags.StringVar(&c.options.CAFile, "ca-file", os.Getenv(environmentCAFile), "certificates in PEM that sign those of the nodes; turns on TLS (environment "+environmentCAFile+")")
	flags.StringVarP(&c.output, "output", "o", string(render.Table), "table or json")
	flags.DurationVar(&c.options.Timeout, "timeout", defaultCallTimeout, "time for one call of one node")
}

// run opens a session for a verb and marks its error with the exit code.
func (c *connection) run(do func(*session) error) func(*cobra.Command, []string) error {
	return func(cmd *cobra.Command, args []string) error {
		s, err := c.open(cmd, args)
		if err != nil {
			return program.Exit(program.ExitUsage, err)
		}
		defer s.close()
		return s.explained(do(s))
	}
}

func (c *connection) open(cmd *cobra.Command, args []string) (*session, error) {
	format := render.Format(c.output)
	if format != render.Table && format != render.JSON {
		return nil, errors.Errorf("--output is %q; permitted: table, json", c.output)
	}
	options := c.options
	if len(options.Nodes) > 1 {
		options.Passed = func(address string, cause error) {
			fmt.Fprintf(cmd.ErrOrStderr(), "node %s gave no result: %v\n", address, operator.Reason(cause))
		}
	}
	nodes, err := connect.Open(options)
	if err != nil {
		return nil, err
	}
	stops := program.OnSignals(cmd.Context())
	return &session{
		cmd: cmd, args: args, stops: stops, ctx: stops.Planned, nodes: nodes,
		printer: render.New(cmd.OutOrStdout(), format), format: format, options: options,
	}, nil
}
