package main

import (
	"testing"

	"github.com/spf13/cobra"
)

// Every verb shows an operator how it is typed.
func TestEveryVerbHasExample(t *testing.T) {
	var check func(cmd *cobra.Command)
	check = func(cmd *cobra.Command) {
		if cmd.Example == "" || cmd.Short == "" {
			t.Errorf("%s has no example or no summary", cmd.CommandPath())
		}
		for _, child := range cmd.Commands() {
			check(child)
		}
	}
	check(newRoot())
}
