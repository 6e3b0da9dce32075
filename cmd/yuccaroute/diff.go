package main

import (
	"fmt"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"github.com/yuccaroute/yuccaroute/cmd/internal/operator"
	"github.com/yuccaroute/yuccaroute/cmd/internal/program"
	"github.com/yuccaroute/yuccaroute/cmd/internal/render"
)

func newDiff(c *connection) *cobra.Command {
	return newDiffOf(c, "", "Show how files differ from what is in force")
}

// newDiffOf returns the verb for one kind of objects, "" for both.
func newDiffOf(c *connection, kind operator.Kind, short string) *cobra.Command {
	var files []string
	path := "yuccaroute diff"
	if kind != "" {
		path = "yuccaroute " + string(kind) + " diff"
	}
	cmd := &cobra.Command{
		Use:     "diff -f FILE...",
		Short:   short,
		Long:    short + ", as a unified diff.\nExit code 0 without a difference, 1 with one.",
		Example: "  " + path + " -f file.ini",
	}
	cmd.Flags().StringArrayVarP(&files, "file", "f", nil, "file with one template or account, - for standard input; repeat it for others")
	cmd.RunE = c.run(func(s *session) error { return s.diff(kind, append(files, s.args...)) })
	return cmd
}

func (s *session) diff(kind operator.Kind, files []string) error {
	documents, err := s.readAll(kind, files)
	if err != nil {
		return err
	}
	differing := 0
	for _, d := range documents {
		difference, err := s.difference(d)
		if err != nil {
			return err
		}
		if difference == "" {
			continue
		}
		differing++
		fmt.Fprint(s.cmd.OutOrStdout(), difference)
	}
	if differing > 0 {
		return program.Exit(program.ExitFailed, errors.Errorf("%d of %d files differ from what is in force", differing, len(documents)))
	}
	return nil
}

func (s *session) difference(d *operator.Document) (string, error) {
	plan, err := s.nodes.Plan(s.ctx, d, operator.Base{Overwrite: true})
	if err != nil {
		return "", err
	}
	name, text := d.Object.String()+" does not exist", ""
	if plan.Current != nil {
		name = fmt.Sprintf("%s at sequence %d", d.Object, plan.Current.Sequence)
		text = plan.Current.Text
	}
	return render.Difference(name, text, d.File, d.Text)
}
