package proxy

import (
	"testing"

	"go.uber.org/goleak"
)

// TestMain fails if a test leaves a goroutine behind.
func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }
