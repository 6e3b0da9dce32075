package main

import (
	"context"
	"fmt"
	"io"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"github.com/yuccaroute/yuccaroute/admin/wire"
	"github.com/yuccaroute/yuccaroute/cmd/internal/connect"
	"github.com/yuccaroute/yuccaroute/cmd/internal/operator"
	"github.com/yuccaroute/yuccaroute/cmd/internal/program"
	"github.com/yuccaroute/yuccaroute/cmd/internal/render"
)

// session is one verb that talks to nodes.
type session struct {
	cmd     *cobra.Command
	args    []string
	stops   *program.Stops
	ctx     context.Context
	nodes   *operator.Nodes
	printer *render.Printer
	format  render.Format
	options connect.Options
}

func (s *session) close() { s.stops.Close() }

// notes is where remarks beside the answer go.
func (s *session) notes() io.Writer { return s.cmd.ErrOrStderr() }

// explained writes what an operator can do about an error and marks it with
// the exit code.
func (s *session) explained(err error) error {
	if err == nil {
		return nil
	}
	var exit *program.ExitError
	if errors.As(err, &exit) {
		return err
	}
	s.advise(err)
	return program.Exit(operator.ExitCode(err), operator.Brief(err))
}

func (s *session) advise(err error) {
	var unknown *operator.UnknownError
	var identities *operator.UnknownIdentitiesError
	var base *operator.BaseError
	var answer *wire.Error
	switch {
	case errors.As(err, &unknown):
		s.adviseUnknown(unknown)
	case errors.As(err, &identities):
		fmt.Fprintf(s.notes(), "ask by: %s identity list\n", s.options.CommandLine())
	case errors.As(err, &base):
		s.adviseBase(base)
	case errors.As(err, &answer):
		s.adviseAnswer(err, answer)
	}
}

func (s *session) adviseUnknown(e *operator.UnknownError) {
	fmt.Fprintf(s.notes(), "change: %s\nask by: %s outcome %s --%s %s\n", e.ID, s.options.CommandLine(), e.ID, e.Object.Kind, e.Object.Name)
	fmt.Fprintf(s.notes(), "It is safe to repeat the same command with --change-id %s: it takes effect at most once.\n", e.ID)
}

func (s *session) adviseBase(e *operator.BaseError) {
	fmt.Fprintf(s.notes(), "Begin with: %s export %s --kind %s, or give --at %d or --overwrite.\n",
		s.options.CommandLine(), e.Object.Name, e.Object.Kind, e.Current)
}

// adviseAnswer writes the problems or the conflict that a node told of.
func (s *session) adviseAnswer(err error, answer *wire.Error) {
	for _, problem := range answer.Problems {
		fmt.Fprintln(s.notes(), problem.String())
	}
	if answer.Conflict == nil {
		return
	}
	render.New(s.notes(), render.Table).Conflict(answer.Conflict)
	var refused *operator.RefusedError
	if errors.As(err, &refused) {
		s.showOverlap(refused.Document)
	}
}

// showOverlap writes how the file differs from what is in force by now.
func (s *session) showOverlap(d *operator.Document) {
	current, err := s.nodes.Get(s.ctx, d.Object)
	if err != nil {
		return
	}
	difference, err := render.Difference(fmt.Sprintf("in force at sequence %d", current.Sequence), current.Text, d.File, d.Text)
	if err == nil {
		fmt.Fprint(s.notes(), difference)
	}
}
