// Command yuccaroute is the operators' tool: it changes client accounts, shows
// why traffic goes where it goes, and runs demonstrations and measurements.
package main

import (
	"fmt"
	"os"

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

func newRoot() *cobra.Command {
	root := &cobra.Command{
		Use:           "yuccaroute",
		Short:         "Operate, demonstrate and measure yuccaroute",
		Version:       program.Version(),
		SilenceErrors: true,
		SilenceUsage:  true,
	}
	root.AddCommand(
		newDemo(),
		newStandin(),
		newCheckConfig(),
	)
	return root
}
