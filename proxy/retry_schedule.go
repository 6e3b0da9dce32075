package proxy

import (
	"math/rand/v2"
	"sync"
	"time"
)

// maxRetryAfter bounds the Retry-After of refused callers.
const maxRetryAfter = time.Second

// retrySchedule gives refused callers consecutive Retry-After times at the rate
// of the place, so that callers refused together do not return together.
// Callers for whom no time is left within maxRetryAfter get a random one.
type retrySchedule struct {
	mu   sync.Mutex
	last time.Time
}

// next returns the Retry-After for a place that can serve the next request
// after wait and rate requests per second from then on.
func (s *retrySchedule) next(now time.Time, wait time.Duration, rate float64) time.Duration {
	wait = min(wait, maxRetryAfter)
	if rate <= 0 {
		return maxRetryAfter/2 + rand.N(maxRetryAfter/2)
	}
	gap := time.Duration(min(1/rate, maxRetryAfter.Seconds()) * float64(time.Second))
	s.mu.Lock()
	defer s.mu.Unlock()
	at := now.Add(wait)
	if slot := s.last.Add(gap); slot.After(at) {
		at = slot
	}
	after := at.Sub(now)
	if after >= maxRetryAfter {
		return maxRetryAfter - rand.N(max(1, maxRetryAfter-wait))
	}
	s.last = at
	return after + rand.N(max(1, gap))
}
