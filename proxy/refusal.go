package proxy

import (
	"time"

	"github.com/yuccaroute/yuccaroute/api/result"
)

// defaultRetryAfter is told when nothing better is known.
const defaultRetryAfter = 200 * time.Millisecond

// refusal is the end of a request without a target's answer.
type refusal struct {
	code result.Code
	// retryAfter is when the caller may come back, 0 for defaultRetryAfter.
	retryAfter time.Duration
}

func refuse(code result.Code) *refusal { return &refusal{code: code} }

func refuseUntil(code result.Code, after time.Duration) *refusal {
	return &refusal{code: code, retryAfter: after}
}
