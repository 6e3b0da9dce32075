package bounds

import (
	"bufio"
	"io"
	"path"
	"regexp"
	"strconv"
	"strings"

	"github.com/pkg/errors"
)

// measurement is one result line of go test -bench.
type measurement struct {
	nsPerOp, bytesPerOp, allocsPerOp float64
	// memory tells that the line has the columns of -benchmem.
	memory bool
}

// benchmark names a result: benchmarks of one module may be in several
// packages, and two modules may use the same name.
type benchmark struct{ module, name string }

// procSuffix is the -N that go test appends for GOMAXPROCS.
var procSuffix = regexp.MustCompile(`-\d+$`)

// modulePrefix is the path that all modules of the workspace share.
const modulePrefix = "github.com/yuccaroute/yuccaroute/"

// parseOutput reads results. A benchmark that was run more than once keeps the
// worst memory figures and the least time, which is the one least
// disturbed by other load.
func parseOutput(r io.Reader) (map[benchmark]measurement, error) {
	found := make(map[benchmark]measurement)
	module := ""
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, 1<<20)
	for lines.Scan() {
		line := lines.Text()
		if pkg, ok := strings.CutPrefix(line, "pkg: "); ok {
			module = moduleOf(pkg)
			continue
		}
		name, m, ok := parseLine(line)
		if !ok {
			continue
		}
		id := benchmark{module, name}
		if old, again := found[id]; again {
			m = worse(old, m)
		}
		found[id] = m
	}
	return found, errors.Wrap(lines.Err(), "read benchmark output")
}

// moduleOf returns the first path element below the workspace's prefix.
func moduleOf(pkg string) string {
	rest, ok := strings.CutPrefix(pkg, modulePrefix)
	if !ok {
		return path.Base(pkg)
	}
	module, _, _ := strings.Cut(rest, "/")
	return module
}

func parseLine(line string) (string, measurement, bool) {
	fields := strings.Fields(line)
	if len(fields) < 4 || !strings.HasPrefix(fields[0], "Benchmark") {
		return "", measurement{}, false
	}
	var m measurement
	timed := false
	for i := 2; i+1 < len(fields); i += 2 {
		value, err := strconv.ParseFloat(fields[i], 64)
		if err != nil {
			return "", measurement{}, false
		}
		switch fields[i+1] {
		case "ns/op":
			m.nsPerOp = value
			timed = true
		case "B/op":
			m.bytesPerOp = value
			m.memory = true
		case "allocs/op":
			m.allocsPerOp = value
		}
	}
	return procSuffix.ReplaceAllString(fields[0], ""), m, timed
}

func worse(a, b measurement) measurement {
	return measurement{
		nsPerOp:     min(a.nsPerOp, b.nsPerOp),
		bytesPerOp:  max(a.bytesPerOp, b.bytesPerOp),
		allocsPerOp: max(a.allocsPerOp, b.allocsPerOp),
		memory:      a.memory && b.memory,
	}
}
