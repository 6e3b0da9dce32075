package admission

import (
	"math"
	"sync"
	"time"
)

// retryNever is the wait reported while nothing is granted.
const retryNever = time.Second

// Bucket enforces one Limit. It is safe for use by several goroutines.
type Bucket struct {
	mu     sync.Mutex
	limit  Limit
	tokens float64
	last   time.Time
}

// NewBucket returns a bucket that permits nothing.
func NewBucket(now time.Time) *Bucket {
	return &Bucket{last: now}
}

// SetLimit puts a limit in force. After it returns no request is admitted under the
// one before: tokens saved up at a higher rate are cut to the new burst.
func (b *Bucket) SetLimit(limit Limit, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now)
	b.limit = limit
	b.clip(now)
}

// Take admits one request, or tells after which time it may be tried again.
// The expiry of the surplus is checked here, on every admission: a process
// that was paused past the expiry must not send a single request on it.
func (b *Bucket) Take(now time.Time) (ok bool, wait time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now)
	return b.take(1, now)
}

// TakeLowPriority is Take for work that uses only what others leave free: it finds
// half of the burst kept back.
func (b *Bucket) TakeLowPriority(now time.Time) (ok bool, wait time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now)
	return b.take(1+b.reserve(now), now)
}

// Return gives back a token whose request was never sent.
func (b *Bucket) Return(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now)
	b.tokens++
	b.clip(now)
}

// Wait returns how long a request would wait for a token, 0 if there is one.
func (b *Bucket) Wait(now time.Time) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now)
	if b.tokens >= 1 {
		return 0
	}
	return b.waitFor(1, now)
}

// RPS returns the rate in force.
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

// reserve is less than the burst without one request, or the work that leaves
// it would never be admitted.
func (b *Bucket) reserve(now time.Time) float64 {
	return max(0, (Burst(b.limit.RPS(now))-1)/2)
}

func (b *Bucket) refill(now time.Time) {
	if !now.After(b.last) {
		return
	}
	b.tokens += b.limit.earned(b.last, now)
	b.last = now
	b.clip(now)
}

func (b *Bucket) clip(now time.Time) {
	b.tokens = min(b.tokens, Burst(b.limit.RPS(now)))
}

func (b *Bucket) waitFor(need float64, now time.Time) time.Duration {
	rps := b.limit.RPS(now)
	if rps <= 0 || need > Burst(rps) {
		return retryNever
	}
	seconds := (need - b.tokens) / rps
	return min(time.Duration(math.Ceil(seconds*float64(time.Second))), retryNever)
}
