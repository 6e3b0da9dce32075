package placing

import (
	"math"
	"time"
)

// RateLimit limits the requests of all VMs to one target. Its methods must not block and must not
// call the Balancer.
type RateLimit interface {
	// Rate returns the limit in requests per second.
	Rate() float64
	// Ready reports whether this VM may send a request now.
	Ready() bool
	// Use takes one request from the limit, and returns false if this VM may not send it.
	Use() bool
	// Want tells that this VM has a request for the target but may not send it.
	Want()
}

// SetRateLimits replaces the limits of targets. limitOf returns that of a target, nil for none.
func (b *Balancer) SetRateLimits(now time.Time, limitOf func(t *Target) RateLimit) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.limitOf = limitOf
	for _, s := range b.services {
		for _, t := range s.targets {
			t.limit = limitOf(t)
		}
	}
	b.serveAll(now)
}

// usableSlots returns how many slots of a target its limit lets be busy.
func (t *Target) usableSlots(occupancy float64) int {
	if t.limit == nil || occupancy <= 0 {
		return t.Slots
	}
	return min(t.Slots, max(1, int(math.Round(t.limit.Rate()*occupancy))))
}
