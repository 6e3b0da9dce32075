package step

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed of the property tests, so that each run has the same
// verdict. Another seed and a longer run:
// go test ./step -rapid.seed=N -rapid.checks=100000
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "20260101"); err != nil {
		panic(err)
	}
	// The seed tells all there is to reproduce.
	if err := flag.Set("rapid.nofailfile", "true"); err != nil {
		panic(err)
	}
	flag.Parse()
	os.Exit(m.Run())
}
