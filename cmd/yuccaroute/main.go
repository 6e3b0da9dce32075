// Command yuccaroute is the operators' tool: it changes client accounts, shows
// why traffic goes where it goes, and runs demonstrations and measurements.
package main

import (
	"fmt"
	"os"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"github.com/yuccaroute/yuccaroute/cmd/internal/program"
)

func main() {
	root := newRoot()
	err := root.Execute()
	if err != nil {
		fmt.Fprintln(os.Stderr, "yuccaroute:", err)
	}
	os.Exit(program.CodeOf(err))
}

// Groups of verbs in the help.
const (
	groupOperate = "operate"
	groupObserve = "observe"
	groupMeasure = "measure"
)

func newRoot() *cobra.Command {
	root := &cobra.Command{
		Use:   "yuccaroute",
		Short: "Operate, demonstrate and measure yuccaroute",
		Long: "Operate, demonstrate and measure yuccaroute.\n\nExit codes: 0 done; 1 ran, with a negative result (a refused change, a\n" +
			"difference, a bound exceeded); 2 wrong usage, nothing done; 3 no node\n" +
			"answered, or none that reaches the store; 4 not known whether a change took\neffect.",
		Example:       "  yuccaroute demo\n  yuccaroute --node 10.0.0.1:7001 export daehan > daehan.ini\n  yuccaroute --node 10.0.0.1:7001 apply -f daehan.ini --dry-run",
		Version:       program.Version(),
		SilenceErrors: true,
		SilenceUsage:  true,
	}
	c := &connection{}
	c.register(root.PersistentFlags())
	root.AddGroup(
		&cobra.Group{ID: groupOperate, Title: "Change and roll back:"},
		&cobra.Group{ID: groupObserve, Title: "See:"},
		&cobra.Group{ID: groupMeasure, Title: "Demonstrate and measure:"},
	)
	addAll(root, groupOperate, newApply(c), newDiff(c), newExport(c), newTemplate(c), newAccount(c), newOutcome(c), newIdentity(c))
	addAll(root, groupObserve, newWhoami(c), newLive(c), newLogs(), newLoad(c))
	addAll(root, groupMeasure, newDemo(), newReport(), newBench(), newStandin(), newCheckConfig())
	tellUsage(root)
	return root
}

// tellUsage lets each command that gets a wrong number of arguments tell which
// ones it takes.
func tellUsage(cmd *cobra.Command) {
	if permitted := cmd.Args; permitted != nil && !cmd.HasSubCommands() {
		cmd.Args = func(cmd *cobra.Command, args []string) error {
			if permitted(cmd, args) == nil {
				return nil
			}
			if len(args) == 0 {
				return errors.Errorf("no argument given; usage: %s", cmd.UseLine())
			}
			return errors.Errorf("the arguments %q do not fit; usage: %s", args, cmd.UseLine())
		}
	}
	for _, child := range cmd.Commands() {
		tellUsage(child)
	}
}

func addAll(root *cobra.Command, group string, commands ...*cobra.Command) {
	for _, cmd := range commands {
		cmd.GroupID = group
		root.AddCommand(cmd)
	}
}
