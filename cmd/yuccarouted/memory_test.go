package main

import (
	"math"
	"runtime/debug"
	"testing"

	"github.com/yuccaroute/yuccaroute/config/settings"
)

// A node's resident size is twice its heap and its VM has no room for that, as
// the limits of the settings do not reach the collector.
func TestLimitsReachTheCollector(t *testing.T) {
	const percent, bytes = 37, 123 << 20
	defer debug.SetGCPercent(debug.SetGCPercent(100))
	defer debug.SetMemoryLimit(debug.SetMemoryLimit(math.MaxInt64))
	limitMemory(settings.Limits{CollectAtPercent: percent})
	if got := debug.SetMemoryLimit(-1); got != math.MaxInt64 {
		t.Errorf("limit of %d bytes without a setting", got)
	}
	limitMemory(settings.Limits{CollectAtPercent: percent, MemoryBytes: bytes})
	if got := debug.SetMemoryLimit(-1); got != bytes {
		t.Errorf("limit of %d bytes, want %d", got, bytes)
	}
	if got := debug.SetGCPercent(percent); got != percent {
		t.Errorf("collected at %d %%, want %d", got, percent)
	}
}
