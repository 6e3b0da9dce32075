package admission

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed of the property test, so that every run has the same
// verdict; -rapid.seed takes another.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "20261202"); err != nil {
		panic(err)
	}
	// The seed tells all there is to reproduce.
	if err := flag.Set("rapid.nofailfile", "true"); err != nil {
		panic(err)
	}
	flag.Parse()
	os.Exit(m.Run())
}
