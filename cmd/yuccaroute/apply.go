package main

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"
	"github.com/spf13/pflag"

	"github.com/yuccaroute/yuccaroute/cmd/internal/operator"
	"github.com/yuccaroute/yuccaroute/cmd/internal/program"
	"github.com/yuccaroute/yuccaroute/cmd/internal/render"
)

// statusEvery is the time between two questions where a state is in force.
const statusEvery = 500 * time.Millisecond

// applyFlags are those of all verbs that apply files.
type applyFlags struct {
	files  []string
	base   operator.Base
	dryRun bool
	// writeBack writes the new sequence into the file.
	writeBack bool
	change    changeFlags
}

func (f *applyFlags) register(flags *pflag.FlagSet) {
	flags.StringArrayVarP(&f.files, "file", "f", nil, "file with one template or account, - for standard input; repeat it for others")
	flags.Uint64Var(&f.base.At, "at", 0, "sequence that the file was made from; default from the first line that export writes")
	flags.BoolVar(&f.base.Overwrite, "overwrite", false, "replace whatever is in force, also changes made by others meanwhile")
	flags.BoolVar(&f.dryRun, "dry-run", false, "change nothing; show which values change and forecast the traffic")
	flags.BoolVar(&f.writeBack, "write-back", false, "write the new sequence into the first line of the file, so that it can be changed and applied again")
	f.change.register(flags)
}

// changeFlags are those of all verbs that change something.
type changeFlags struct {
	id, note string
	wait     time.Duration
}

func (f *changeFlags) register(flags *pflag.FlagSet) {
	flags.StringVar(&f.id, "change-id", "", "identifier of the change, to repeat one whose outcome is not known")
	flags.StringVar(&f.note, "note", "", "why, for the history")
	flags.DurationVar(&f.wait, "wait", 0, "wait up to this long until the change is in force on every node; exit code 1 if it is not")
}

func newApply(c *connection) *cobra.Command {
	return newApplyOf(c, "", "Apply templates and accounts from files")
}

// newApplyOf returns the verb for one kind of objects, "" for both.
func newApplyOf(c *connection, kind operator.Kind, short string) *cobra.Command {
	f := &applyFlags{}
	path := "yuccaroute apply"
	if kind != "" {
		path = "yuccaroute " + string(kind) + " apply"
	}
	cmd := &cobra.Command{
		Use:   "apply -f FILE...",
		Short: short,
		Long: short + ". Each file holds one object, told by its section\n[template] or [account]; templates go first. The first refusal ends the verb\n" +
			"and what was applied before stays. A file that export wrote tells by its first\nline what it was made from; a change made meanwhile by somebody else is then a\nconflict and not undone.",
		Example: "  " + path + " -f file.ini --dry-run\n  " + path + " -f file.ini --note \"more for the dawn\" --wait 30s",
	}
	f.register(cmd.Flags())
	cmd.RunE = c.run(func(s *session) error { return s.apply(kind, f) })
	return cmd
}

func (s *session) apply(kind operator.Kind, f *applyFlags) error {
	documents, err := s.readAll(kind, append(slices.Clone(f.files), s.args...))
	if err != nil {
		return err
	}
	if len(documents) > 1 && (f.change.id != "" || f.base.At != 0) {
		return program.Exit(program.ExitUsage, errors.New("--change-id and --at are for one file"))
	}
	if f.dryRun && len(documents) > 1 {
		fmt.Fprintln(s.notes(), "Each file is checked alone against what is in force.")
	}
	for _, d := range documents {
		if err := s.applyOne(d, f); err != nil {
			return err
		}
	}
	return nil
}

// readAll reads the files, templates first, as an account needs its template.
func (s *session) readAll(kind operator.Kind, files []string) ([]*operator.Document, error) {
	if len(files) == 0 {
		return nil, program.Exit(program.ExitUsage, errors.New("no file given; use -f FILE"))
	}
	var documents []*operator.Document
	for _, file := range files {
		d, err := operator.ReadDocument(file, s.cmd.InOrStdin())
		if err != nil {
			return nil, program.Exit(program.ExitUsage, err)
		}
		if kind != "" && d.Object.Kind != kind {
			return nil, program.Exit(program.ExitUsage, errors.Errorf("%s is for %s, not for a %s", file, d.Object, kind))
		}
		documents = append(documents, d)
	}
	slices.SortStableFunc(documents, func(a, b *operator.Document) int {
		return templateFirst(a.Object.Kind) - templateFirst(b.Object.Kind)
	})
	return documents, nil
}

func templateFirst(kind operator.Kind) int {
	if kind == operator.KindTemplate {
		return 0
	}
	return 1
}

func (s *session) applyOne(d *operator.Document, f *applyFlags) error {
	plan, err := s.nodes.Plan(s.ctx, d, f.base)
	if err != nil {
		return err
	}
	if f.dryRun {
		return s.dryRun(plan)
	}
	applied, err := s.nodes.Apply(s.ctx, plan, f.change.id, f.change.note)
	if err != nil {
		return err
	}
	if err := s.printer.Applied(applied); err != nil {
		return err
	}
	if f.writeBack {
		if err := d.WriteBack(applied.Sequence); err != nil {
			return program.Exit(program.ExitFailed, errors.Wrap(err, "the change is made, but its sequence is not in the file"))
		}
	}
	return s.waitFor(d.Object, f.change.wait)
}

func (s *session) dryRun(plan *operator.Plan) error {
	if plan.Unchanged() {
		return s.printer.Applied(&operator.Applied{Object: plan.Document.Object, Unchanged: true})
	}
	preview, err := s.nodes.DryRun(s.ctx, plan)
	if err != nil {
		return err
	}
	return s.printer.Preview(preview)
}

// waitFor waits until the newest state of all accounts that an object concerns
// is in force on every node.
func (s *session) waitFor(o operator.Object, limit time.Duration) error {
	if limit <= 0 {
		return nil
	}
	ctx, cancel := context.WithTimeout(s.ctx, limit)
	defer cancel()
	accounts, err := s.nodes.AccountsOf(ctx, o)
	if err != nil {
		return err
	}
	for _, account := range accounts {
		began := time.Now()
		status, err := s.nodes.WaitEverywhere(ctx, account, statusEvery, nil)
		if err != nil {
			return err
		}
		fmt.Fprintln(s.notes(), render.Summary(status))
		if !status.Everywhere {
			return program.Exit(program.ExitFailed, errors.Errorf("the change is made, but after %s account %s is not in force everywhere", limit, account))
		}
		fmt.Fprintf(s.notes(), "account %s: in force everywhere, seen after %s\n", account, time.Since(began).Round(time.Millisecond))
	}
	return nil
}
