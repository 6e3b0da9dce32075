// Package retry computes the backoff before a request is retried.
package retry

import (
	"math/rand/v2"
	"time"
)

// Backoff bounds.
const (
	initialBackoff = 2 * time.Millisecond
	maxBackoff     = 100 * time.Millisecond
	maxDoublings   = 10
)

// Backoff returns the wait before the given retry, counted from 1. It is
// exponential with full jitter, so that requests that failed together are not
// retried together.
func Backoff(attempt int) time.Duration {
	doublings := min(max(attempt-1, 0), maxDoublings)
	bound := min(initialBackoff<<doublings, maxBackoff)
	return rand.N(bound) + 1
}
