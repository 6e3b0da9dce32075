package placing

import "time"

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
	// Expect returns the time until this VM may send a request, and the time between further ones;
	// ok is false if it may send none.
	Expect() (wait, interval time.Duration, ok bool)
}

// SetRateLimits replaces the limits of targets. limitOf returns that of a target, nil for none.
func (b *Balancer) SetRateLimits(now time.Time, limitOf func(t *Target) RateLimit) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.limitOf = limitOf
	for _, s := range b.services {
		clear(s.returns)
		for _, t := range s.targets {
			t.limit = limitOf(t)
		}
	}
	b.serveAll(now)
}

// usableSlots returns how many slots of a target its limit lets be busy on average.
func (t *Target) usableSlots(occupancy float64) float64 {
	if t.limit == nil || occupancy <= 0 {
		return float64(t.Slots)
	}
	return min(float64(t.Slots), t.limit.Rate()*occupancy)
}
