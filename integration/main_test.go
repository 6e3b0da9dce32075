package integration

import (
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"testing"

	"github.com/sirupsen/logrus"
)

// The programs under test, built once, and this one.
var daemonProgram, toolProgram, testProgram string

// TestMain builds the programs and keeps the fault proxy's own lines, one for
// each connection, out of the tests' output. As a routed daemon it runs no test.
func TestMain(m *testing.M) {
	if len(os.Args) == 4 && os.Args[1] == routedCommand {
		fmt.Fprintln(os.Stderr, runRouted(os.Args[2], os.Args[3]))
		os.Exit(1)
	}
	logrus.SetOutput(io.Discard)
	os.Exit(buildAndRun(m))
}

func buildAndRun(m *testing.M) int {
	dir, err := os.MkdirTemp("", "yuccaroute-integration")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	build := exec.Command("go", "build", "-o", dir, "./yuccaroute", "./yuccarouted")
	build.Dir = filepath.Join("..", "cmd")
	if out, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build the programs: %v\n%s", err, out)
		return 1
	}
	if testProgram, err = os.Executable(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	daemonProgram = filepath.Join(dir, "yuccarouted")
	toolProgram = filepath.Join(dir, "yuccaroute")
	return m.Run()
}
