package step

import (
	"testing"
	"time"

	"github.com/yuccaroute/yuccaroute/api/model"
)

// Frequent small moves must leave the budget as they age. Entries that grew
// without bound would keep all past moves in the window.
func TestFrequentSmallMovesKeepBudget(t *testing.T) {
	limits := model.MoveLimits{Share: 0.1, Window: time.Minute}
	var h history
	now := epochStart
	for range 2400 {
		now = now.Add(500 * time.Millisecond)
		h.add(now, 100, limits.Window)
	}
	// The window holds 120 moves of 100 ppm, plus at most one slot.
	if got := h.budget(limits, now); got < 87_000 || got > 88_000 {
		t.Fatalf("budget %d ppm after frequent small moves, want about 87900", got)
	}
	if len(h.entries) > 4*slotsPerWindow {
		t.Fatalf("history grew to %d entries", len(h.entries))
	}
}
