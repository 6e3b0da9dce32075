package proxy

import (
	"time"

	"github.com/yuccaroute/yuccaroute/api/result"
)

// defaultRetryAfter is told when nothing better is known.
const defaultRetryAfter = 200 * time.Millisecond

// retryAfterOf returns when a caller may come back after a refusal for which
// nothing better is known. A held move goes on with the next step.
func retryAfterOf(code result.Code) time.Duration {
	if code == result.MoveHeld {
		return result.Spread(maintainEvery)
	}
	return result.Spread(defaultRetryAfter)
}

// refusal is the end of a request without a target's answer.
type refusal struct {
	code result.Code
	// retryAfter is when the caller may come back, 0 for retryAfterOf the code.
	retryAfter time.Duration
}

func refuse(code result.Code) *refusal { return &refusal{code: code} }

func refuseUntil(code result.Code, after time.Duration) *refusal {
	return &refusal{code: code, retryAfter: after}
}
