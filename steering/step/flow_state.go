package step

import (
	"time"

	"github.com/yuccaroute/yuccaroute/api/model"
	"github.com/yuccaroute/yuccaroute/api/plan"
)

// track is the history of one flow on this node.
type track struct {
	// shares are in force. The slice is replaced, never changed, because
	// plans given out refer to it.
	shares  []plan.Share
	history history
}

// advance moves the shares towards the target by what the cap leaves and
// reports whether they changed.
func (t *track) advance(target []plan.Share, limits model.MoveLimits, now time.Time) bool {
	if len(target) == 0 {
		// No place can serve. The shares stay: to forget them would make the
		// way back a move of the whole flow that nobody counts.
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
	next, moved := toward(t.shares, target, budget)
	if moved == 0 {
		return false
	}
	t.history.add(now, moved, limits.Window)
	t.shares = next
	return true
}
