package proxy

import (
	"time"

	"github.com/yuccaroute/yuccaroute/api/result"
)

// defaultRetryAfter applies if there is no better estimate.
const defaultRetryAfter = 200 * time.Millisecond

// defaultRetryAfterFor returns the Retry-After of a refusal without an
// estimate. Traffic held back by the move cap can move with the next
// maintenance step.
func defaultRetryAfterFor(code result.Code) time.Duration {
	if code == result.MoveHeld {
		return result.Spread(maintenanceInterval)
	}
	return result.Spread(defaultRetryAfter)
}

// refusal is the result of a request that gets no answer of a target.
type refusal struct {
	code result.Code
	// retryAfter is when the caller may retry, 0 for the default of the code.
	retryAfter time.Duration
}

func refuse(code result.Code) *refusal { return &refusal{code: code} }

func refuseWithRetryAfter(code result.Code, after time.Duration) *refusal {
	return &refusal{code: code, retryAfter: after}
}
