package step

import (
	"time"

	"github.com/yuccaroute/yuccaroute/api/model"
	"github.com/yuccaroute/yuccaroute/api/plan"
)

// retention is how long moves are remembered at least, so that a cap whose
// window is lengthened still counts what was moved under the shorter one.
const retention = time.Hour

// slices is into how many parts a window is divided: moves within one part
// are kept as one entry, which bounds the memory of a flow.
const slices = 64

// history holds the moves of one flow in order of time.
type history struct {
	entries []entry
}

// entry is an amount of share increases, parts per million. It counts until
// the last of them is out of the window, so that none is forgotten early; the
// first bounds how long an entry may grow.
type entry struct {
	first, last time.Time
	moved       uint32
}

// budget returns what may still move now. Both ends of a window belong to it.
func (h *history) budget(limits model.MoveLimits, now time.Time) uint32 {
	limit := capPPM(limits.Share)
	sum := uint64(0)
	for i := len(h.entries) - 1; i >= 0; i-- {
		e := &h.entries[i]
		if now.Sub(e.last) > limits.Window {
			break
		}
		sum += uint64(e.moved)
	}
	if sum >= uint64(limit) {
		return 0
	}
	return limit - uint32(sum)
}

// add records a move and forgets what no window can reach any more.
func (h *history) add(now time.Time, moved uint32, window time.Duration) {
	h.entries = append(h.entries, entry{first: now, last: now, moved: moved})
	h.compact(now, window)
}

// compact merges neighbours within one slice: fine ones within the window in
// force, coarse ones for the rest of the retention.
func (h *history) compact(now time.Time, window time.Duration) {
	kept := h.entries[:0]
	for _, e := range h.entries {
		age := now.Sub(e.last)
		if age > max(window, retention) {
			continue
		}
		width := window / slices
		if age > window {
			width = max(window, retention) / slices
		}
		end := len(kept) - 1
		if end >= 0 && e.last.Sub(kept[end].first) <= width {
			kept[end].last = e.last
			kept[end].moved += e.moved
			continue
		}
		kept = append(kept, e)
	}
	h.entries = kept
}

// capPPM turns the cap into parts per million, rounded down. Anything outside
// 0 to 1 is brought to the nearer end.
func capPPM(share float64) uint32 {
	if !(share > 0) {
		return 0
	}
	return uint32(min(share, 1) * plan.Whole)
}
