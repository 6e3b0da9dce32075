package client

import (
	"math/rand/v2"
	"sync"
	"time"
)

// jitter spreads times, so that clients that started together do not act
// together.
type jitter struct {
	mu     sync.Mutex
	random *rand.Rand
}

// between returns a time from low to high.
func (j *jitter) between(low, high time.Duration) time.Duration {
	if high <= low {
		return low
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	return low + time.Duration(j.random.Int64N(int64(high-low)))
}
