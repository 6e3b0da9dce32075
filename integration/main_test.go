package integration

import (
	"io"
	"os"
	"testing"

	"github.com/sirupsen/logrus"
)

// TestMain keeps the fault proxy's own lines, one for each connection, out of
// the tests' output.
func TestMain(m *testing.M) {
	logrus.SetOutput(io.Discard)
	os.Exit(m.Run())
}
