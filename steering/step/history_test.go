package step

import (
	"testing"
	"time"

	"github.com/yuccaroute/yuccaroute/api/model"
)

// A slow shift that takes a little every half second must not stop for good:
// entries that grow without end would keep every move of the past in the
// window. The memory of a flow stays bounded too.
func TestSlowShiftKeepsItsBudget(t *testing.T) {
	limits := model.MoveLimits{Share: 0.1, Window: time.Minute}
	var h history
	now := epochStart
	for range 2400 {
		now = now.Add(500 * time.Millisecond)
		h.add(now, 100, limits.Window)
	}
	// 120 moves of 100 ppm are in a window, and one slice more at most.
	if got := h.budget(limits, now); got < 87_000 || got > 88_000 {
		t.Fatalf("budget %d ppm after a slow shift, want about 87900", got)
	}
	if len(h.entries) > 4*slices {
		t.Fatalf("%d history entries", len(h.entries))
	}
}
