package step

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed of the property tests to make runs reproducible. To
// run with another seed and more checks:
// go test ./step -rapid.seed=N -rapid.checks=100000
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "20260101"); err != nil {
		panic(err)
	}
	// The seed is enough to reproduce a failure.
	if err := flag.Set("rapid.nofailfile", "true"); err != nil {
		panic(err)
	}
	flag.Parse()
	os.Exit(m.Run())
}
