package step

import (
	"time"

	"github.com/yuccaroute/yuccaroute/api/model"
	"github.com/yuccaroute/yuccaroute/api/plan"
)

// flowState holds the effective shares and the move history of one flow.
type flowState struct {
	// shares is replaced, never modified, because returned plans refer to it.
	shares  []plan.Share
	history history
}

// advance moves the shares towards the target as far as the cap allows and
// reports whether they changed.
func (t *flowState) advance(target []plan.Share, limits model.MoveLimits, now time.Time) bool {
	if len(target) == 0 {
		// No place can serve. Keeps the shares, so that the move to the next
		// target counts against the cap.
		return false
	}
	if len(t.shares) == 0 {
		t.shares = target
		return true
	}
	if sharesEqual(t.shares, target) {
		return false
	}
	budget := t.history.budget(limits, now)
	next, moved := interpolate(t.shares, target, budget)
	if moved == 0 {
		return false
	}
	t.history.add(now, moved, limits.Window)
	t.shares = next
	return true
}
