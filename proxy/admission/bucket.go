package admission

import (
	"math"
	"sync"
	"time"
)

// maxWait bounds the reported wait; it is also reported while nothing is granted.
const maxWait = time.Second

// Bucket is a token bucket that enforces one Limit. It is safe for concurrent use.
type Bucket struct {
	mu         sync.Mutex
	limit      Limit
	tokens     float64
	lastRefill time.Time
}

// NewBucket returns a bucket that admits no requests until SetLimit is called.
func NewBucket(now time.Time) *Bucket {
	return &Bucket{lastRefill: now}
}

// SetLimit replaces the limit. Tokens saved at a higher rate are reduced to the new
// burst, so that no later request is admitted under the old limit.
func (b *Bucket) SetLimit(limit Limit, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now)
	b.limit = limit
	b.capTokens(now)
}

// Take admits one request, or returns the time until the next attempt. The expiry
// of the surplus is checked on every call, so that a process that was paused past
// it sends no request on an expired surplus.
func (b *Bucket) Take(now time.Time) (ok bool, wait time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now)
	return b.take(1, now)
}

// TakeLowPriority is Take for low-priority work: it leaves about half of the burst
// to other requests.
func (b *Bucket) TakeLowPriority(now time.Time) (ok bool, wait time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now)
	return b.take(1+b.reserve(now), now)
}

// Return restores the token of a request that was never sent.
func (b *Bucket) Return(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now)
	b.tokens++
	b.capTokens(now)
}

// Wait returns the time until a token is available, 0 if one is now.
func (b *Bucket) Wait(now time.Time) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now)
	if b.tokens >= 1 {
		return 0
	}
	return b.waitFor(1, now)
}

// RPS returns the rate in force, in requests per second.
func (b *Bucket) RPS(now time.Time) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.limit.RPS(now)
}

func (b *Bucket) take(need float64, now time.Time) (ok bool, wait time.Duration) {
	if b.tokens >= need {
		b.tokens--
		return true, 0
	}
	return false, b.waitFor(need, now)
}

// reserve returns the tokens that low-priority requests leave in the bucket. It
// stays below the burst less one request, or they would never be admitted.
func (b *Bucket) reserve(now time.Time) float64 {
	return max(0, (Burst(b.limit.RPS(now))-1)/2)
}

func (b *Bucket) refill(now time.Time) {
	if !now.After(b.lastRefill) {
		return
	}
	b.tokens += b.limit.accrued(b.lastRefill, now)
	b.lastRefill = now
	b.capTokens(now)
}

func (b *Bucket) capTokens(now time.Time) {
	b.tokens = min(b.tokens, Burst(b.limit.RPS(now)))
}

func (b *Bucket) waitFor(need float64, now time.Time) time.Duration {
	rps := b.limit.RPS(now)
	if rps <= 0 || need > Burst(rps) {
		return maxWait
	}
	seconds := (need - b.tokens) / rps
	return min(time.Duration(math.Ceil(seconds*float64(time.Second))), maxWait)
}
