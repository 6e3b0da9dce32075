package main

import (
	"context"
	"io"
	"testing"

	"github.com/spf13/cobra"

	"github.com/yuccaroute/yuccaroute/cmd/internal/program"
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

// Who interrupts a run is told so, and not of a context that was cancelled.
func TestInterrupted(t *testing.T) {
	ended, cancel := context.WithCancel(t.Context())
	cancel()
	for _, args := range [][]string{{"demo"}, {"bench", "scenario", "store-http", "--sizes", "100"}} {
		root := newRoot()
		root.SetOut(io.Discard)
		root.SetErr(io.Discard)
		root.SetArgs(args)
		err := root.ExecuteContext(ended)
		if err == nil || err.Error() != "interrupted before the end" || program.CodeOf(err) != program.ExitFailed {
			t.Errorf("%v ended with %v", args, err)
		}
	}
}

// Wrong usage does nothing, exits with its own code and tells what is right.
func TestWrongUsage(t *testing.T) {
	bad := writeFile(t, "bad.ini", "[account]\nname = x\n")
	worse := writeFile(t, "worse.ini", "[node]\nvm = X\n")
	for _, c := range []struct {
		args []string
		want []string
	}{
		{[]string{"nonsense"}, []string{`unknown command "nonsense"`}},
		{[]string{"standin"}, []string{"standin needs a verb", "standin --help"}},
		{[]string{"account", "nonsense"}, []string{`unknown command "nonsense" for "yuccaroute account"`}},
		{[]string{"demo", "extra"}, []string{`["extra"]`, "usage: yuccaroute demo [flags]"}},
		{[]string{"demo", "--scenario", "nope"}, []string{`no scenario "nope"`, "steady:"}},
		{[]string{"demo", "--duration", "-1s"}, []string{"--duration -1s is not positive"}},
		{[]string{"report", "--png", "x.png", "--account", "nope"}, []string{`no account "nope"; there are: daehan, alpenvlies`}},
		{[]string{"bench", "compare", "one.json"}, []string{"usage: yuccaroute bench compare EARLIER LATER"}},
		{[]string{"check-config"}, []string{"usage: yuccaroute check-config FILE..."}},
		{[]string{"check-config", bad, worse}, []string{bad + ":1: [account] unknown section", worse + ":1: [node] region: the key is missing", "2 of 2 files have faults"}},
	} {
		a := (&tool{t: t}).must(program.ExitUsage, c.args...)
		wantText(t, a.notes+a.err.Error(), c.want...)
	}
}
