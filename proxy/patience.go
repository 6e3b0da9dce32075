package proxy

import (
	"time"

	"github.com/yuccaroute/yuccaroute/api/model"
	"github.com/yuccaroute/yuccaroute/proxy/balance"
)

const (
	// patienceFactor is how many typical latencies a look-up waits for one
	// target before it tries another.
	patienceFactor = 20
	// minPatience keeps short pauses of a target from costing a retry.
	minPatience = 50 * time.Millisecond
)

// patience is how long one attempt may take.
type patience struct {
	deadline time.Time
	// reserved tells that a retry was taken from the budget in advance.
	reserved bool
}

// patienceFor returns how long an attempt may take. Idempotent work leaves time
// for another target: one that takes requests and never answers would
// otherwise cost every caller its whole deadline. It does so only if there is
// another target and a retry is reserved for it. Without that, a place that is
// merely slow would have its requests cut off and nothing done instead.
func (q *request) patienceFor(place *placeState, skip balance.Skip) patience {
	whole := patience{deadline: q.deadline}
	if q.class != model.Idempotent || q.coming != nil || !place.hasOther(skip) || !q.takeRetry() {
		return whole
	}
	left := time.Until(q.deadline)
	wait := max(patienceFactor*place.typicalLatency(), minPatience)
	return patience{deadline: time.Now().Add(min(wait, left/2)), reserved: true}
}

// takeRetry takes one retry from the service's budget.
func (q *request) takeRetry() bool {
	return q.service.service.RetryBudget > 0 && q.service.state.budget.Take()
}

// unused gives a reserved retry back.
func (q *request) unused(wait patience) {
	if wait.reserved {
		q.service.state.budget.Give()
	}
}
