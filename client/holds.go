package client

import (
	"sync"
	"time"
)

// How long an entry VM that failed is passed over; jittered.
const (
	minFailureHold = time.Second
	maxFailureHold = 2 * time.Second
)

// holds remembers which entry VMs did not answer or are leaving. They are
// passed over for a while, and still used when no other one is left.
type holds struct {
	jitter *jitter
	mu     sync.Mutex
	until  map[string]time.Time
}

func newHolds(j *jitter) *holds {
	return &holds{jitter: j, until: make(map[string]time.Time)}
}

// add passes over an entry VM.
func (h *holds) add(address string) {
	until := time.Now().Add(h.jitter.between(minFailureHold, maxFailureHold))
	h.mu.Lock()
	defer h.mu.Unlock()
	h.until[address] = until
}

// remove clears the hold of an entry VM that served a request.
func (h *holds) remove(address string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.until, address)
}

// left returns how long an entry VM is still to be passed over.
func (h *holds) left(address string) time.Duration {
	h.mu.Lock()
	until, held := h.until[address]
	h.mu.Unlock()
	if !held {
		return 0
	}
	return max(0, time.Until(until))
}
