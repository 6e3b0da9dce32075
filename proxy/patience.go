package proxy

import (
	"time"

	"github.com/yuccaroute/yuccaroute/api/model"
)

const (
	// patienceFactor is how many typical latencies a look-up waits for one
	// target before it tries another.
	patienceFactor = 20
	// minPatience keeps short pauses of a target from costing a retry.
	minPatience = 50 * time.Millisecond
)

// attemptDeadline returns when an attempt is given up. Idempotent work leaves
// time for another target: one that takes requests and never answers would
// otherwise cost every caller its whole deadline. The retry budget bounds what
// this adds; without a retry in hand the attempt has all the time there is.
func (q *request) attemptDeadline(place *placeState) time.Time {
	if q.class != model.Idempotent || q.service.service.RetryBudget <= 0 || !q.service.state.budget.Has() {
		return q.deadline
	}
	left := time.Until(q.deadline)
	patience := max(patienceFactor*place.typicalLatency(), minPatience)
	if patience >= left/2 {
		patience = left / 2
	}
	return time.Now().Add(patience)
}
