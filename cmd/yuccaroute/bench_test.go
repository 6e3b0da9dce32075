package main

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/yuccaroute/yuccaroute/cmd/internal/program"
)

const benchBounds = `[BenchmarkA]
allocs_per_op_max = 1

[BenchmarkB]
allocs_per_op_max = 0
`

// A bound that is exceeded must fail, and so must one whose benchmark did not run.
func TestBenchCheck(t *testing.T) {
	root := t.TempDir()
	if err := os.Mkdir(filepath.Join(root, "m"), 0o755); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(filepath.Join(root, "m", "bounds.ini"), []byte(benchBounds), 0o600); err != nil {
		t.Fatal(err)
	}
	line := func(name, allocs string) string {
		return name + "-12  100  10 ns/op  8 B/op  " + allocs + " allocs/op\n"
	}
	head := "pkg: example.org/m\n"
	tests := []struct {
		name, input string
		flags       []string
		code        int
		text        string
	}{
		{"kept", head + line("BenchmarkA", "1") + line("BenchmarkB", "0"), nil, program.ExitOK, "0 violated"},
		{"exceeded", head + line("BenchmarkA", "2") + line("BenchmarkB", "0"), nil, program.ExitFailed, "VIOLATED: "},
		{"left out", head + line("BenchmarkA", "1"), nil, program.ExitFailed, "not run: m BenchmarkB"},
		{"left out on purpose", head + line("BenchmarkA", "1"), []string{"--partial"}, program.ExitOK, "1 bounds not run"},
		{"nothing", "", []string{"--partial"}, program.ExitFailed, "0 figures checked"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var out bytes.Buffer
			cmd := newRoot()
			cmd.SetIn(strings.NewReader(test.input))
			cmd.SetOut(&out)
			cmd.SetArgs(append([]string{"bench", "check", "--root", root}, test.flags...))
			if code := program.CodeOf(cmd.Execute()); code != test.code {
				t.Errorf("exit code %d, want %d", code, test.code)
			}
			wantText(t, out.String(), test.text)
		})
	}
}
