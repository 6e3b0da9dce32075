package proxy

import (
	"time"

	"github.com/yuccaroute/yuccaroute/api/model"
	"github.com/yuccaroute/yuccaroute/proxy/balance"
)

const (
	// attemptTimeoutFactor is how many typical latencies an idempotent request
	// waits for one target before it is retried at another.
	attemptTimeoutFactor = 20
	// minAttemptTimeout keeps short pauses of a target from using up retries.
	minAttemptTimeout = 50 * time.Millisecond
)

// attemptTimeout limits how long one attempt may take.
type attemptTimeout struct {
	deadline time.Time
	// reserved is set if a retry was taken from the budget in advance.
	reserved bool
}

// attemptTimeoutFor leaves an idempotent request time to be retried, so that an
// unresponsive target does not use up its whole deadline. If there is no other
// target or no retry left, the attempt gets all the time there is.
func (q *request) attemptTimeoutFor(place *placeState, skip balance.Skip) attemptTimeout {
	whole := attemptTimeout{deadline: q.deadline}
	if q.class != model.Idempotent || q.partialBody != nil || !place.hasOtherTarget(skip) || !q.takeRetry() {
		return whole
	}
	left := time.Until(q.deadline)
	wait := max(attemptTimeoutFactor*place.typicalLatency(), minAttemptTimeout)
	return attemptTimeout{deadline: time.Now().Add(min(wait, left/2)), reserved: true}
}

// takeRetry takes one retry from the service's budget.
func (q *request) takeRetry() bool {
	return q.service.service.RetryBudget > 0 && q.service.state.retryBudget.Take()
}

// returnRetry returns a reserved retry that was not used.
func (q *request) returnRetry(wait attemptTimeout) {
	if wait.reserved {
		q.service.state.retryBudget.Refund()
	}
}
