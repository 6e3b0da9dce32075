package proxy

import (
	"math/rand/v2"
	"sync"
	"time"
)

// maxComeback bounds the time that a refused caller is told to stay away.
const maxComeback = time.Second

// comeback tells refused callers when to come back, one after the other at the
// pace of the place.
//
// Guard against callers that are refused together and return together: it shows
// as a new rush at each time told. The guard holds because each is told a time
// of its own; those for whom none is left within maxComeback get a random one.
type comeback struct {
	mu   sync.Mutex
	last time.Time
}

// next returns how long a caller is to stay away from a place that serves the
// next request after wait and pace requests a second from then on.
func (c *comeback) next(now time.Time, wait time.Duration, pace float64) time.Duration {
	wait = min(wait, maxComeback)
	if pace <= 0 {
		return maxComeback/2 + rand.N(maxComeback/2)
	}
	gap := time.Duration(min(1/pace, maxComeback.Seconds()) * float64(time.Second))
	c.mu.Lock()
	defer c.mu.Unlock()
	at := now.Add(wait)
	if own := c.last.Add(gap); own.After(at) {
		at = own
	}
	after := at.Sub(now)
	if after >= maxComeback {
		return maxComeback - rand.N(max(1, maxComeback-wait))
	}
	c.last = at
	return after + rand.N(max(1, gap))
}
