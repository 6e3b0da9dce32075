package step

import (
	"time"

	"github.com/yuccaroute/yuccaroute/api/model"
	"github.com/yuccaroute/yuccaroute/api/plan"
)

// retention is the minimum time for which moves are kept, so that moves made
// under a shorter window still count after the window is lengthened.
const retention = time.Hour

// slotsPerWindow is the number of slots a window is divided into. Moves within one slot
// share one entry, which bounds the memory per flow.
const slotsPerWindow = 64

// history holds the moves of one flow in chronological order.
type history struct {
	entries []entry
}

// entry aggregates share increases, in parts per million. It counts until its
// last increase leaves the window; first limits the time it may span.
type entry struct {
	first, last time.Time
	increase    uint32
}

// budget returns the share that may still move now. Windows include both ends.
func (h *history) budget(limits model.MoveLimits, now time.Time) uint32 {
	limit := capPPM(limits.Share)
	sum := uint64(0)
	for i := len(h.entries) - 1; i >= 0; i-- {
		e := &h.entries[i]
		if now.Sub(e.last) > limits.Window {
			break
		}
		sum += uint64(e.increase)
	}
	if sum >= uint64(limit) {
		return 0
	}
	return limit - uint32(sum)
}

// add records a move and drops entries that no window can include any more.
func (h *history) add(now time.Time, moved uint32, window time.Duration) {
	h.entries = append(h.entries, entry{first: now, last: now, increase: moved})
	h.compact(now, window)
}

// compact merges adjacent entries within one slot: fine slots inside the current
// window, coarse ones for the rest of the retention.
func (h *history) compact(now time.Time, window time.Duration) {
	kept := h.entries[:0]
	for _, e := range h.entries {
		age := now.Sub(e.last)
		if age > max(window, retention) {
			continue
		}
		width := window / slotsPerWindow
		if age > window {
			width = max(window, retention) / slotsPerWindow
		}
		end := len(kept) - 1
		if end >= 0 && e.last.Sub(kept[end].first) <= width {
			kept[end].last = e.last
			kept[end].increase += e.increase
			continue
		}
		kept = append(kept, e)
	}
	h.entries = kept
}

// capPPM converts the cap to parts per million, rounded down and clamped to the
// range 0 to plan.Whole.
func capPPM(share float64) uint32 {
	if !(share > 0) {
		return 0
	}
	return uint32(min(share, 1) * plan.Whole)
}
