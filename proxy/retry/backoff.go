// Package retry decides how long to wait before a request is sent again.
package retry

import (
	"math/rand/v2"
	"time"
)

// Backoff bounds.
const (
	firstBackoff = 2 * time.Millisecond
	maxBackoff   = 100 * time.Millisecond
	maxDoublings = 10
)

// Backoff returns how long to wait before the given retry (1 is the first):
// a random time up to a bound that doubles, so that requests that failed
// together are not sent again together.
func Backoff(attempt int) time.Duration {
	doublings := min(max(attempt-1, 0), maxDoublings)
	bound := min(firstBackoff<<doublings, maxBackoff)
	return rand.N(bound) + 1
}
