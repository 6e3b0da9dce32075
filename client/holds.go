package client

import (
	"sync"
	"time"

	"github.com/yuccaroute/yuccaroute/api/model"
)

// How long an entry VM that failed is passed over; jittered. It also bounds
// how long one that is short of room is.
const (
	minFailureHold = time.Second
	maxFailureHold = 2 * time.Second
)

// allServices as a service holds back the requests for every service.
const allServices model.ServiceName = ""

// holdKey is what is held back: an entry VM for one service or for all.
type holdKey struct {
	address string
	service model.ServiceName
}

// holds remembers which entry VMs did not answer, are leaving or are short of
// room. They are passed over for a while, and still used when no other one is
// left.
type holds struct {
	jitter *jitter
	mu     sync.Mutex
	until  map[holdKey]time.Time
}

func newHolds(j *jitter) *holds {
	return &holds{jitter: j, until: make(map[holdKey]time.Time)}
}

// failed passes over an entry VM for all services.
func (h *holds) failed(address string) {
	h.set(holdKey{address, allServices}, h.jitter.between(minFailureHold, maxFailureHold))
}

// short passes over an entry VM that refused a request for want of room, until
// the time it asked for. Later requests go to another one as their first
// attempt, which costs no retry.
func (h *holds) short(address string, service model.ServiceName, after time.Duration) {
	h.set(holdKey{address, service}, min(after, maxFailureHold))
}

func (h *holds) set(key holdKey, d time.Duration) {
	until := time.Now().Add(d)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.until[key] = until
}

// served clears the holds of an entry VM that served a request.
func (h *holds) served(address string, service model.ServiceName) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.until, holdKey{address, allServices})
	delete(h.until, holdKey{address, service})
}

// left returns how long an entry VM is still to be passed over for a service.
func (h *holds) left(address string, service model.ServiceName) time.Duration {
	h.mu.Lock()
	until := h.until[holdKey{address, allServices}]
	if own := h.until[holdKey{address, service}]; own.After(until) {
		until = own
	}
	h.mu.Unlock()
	if until.IsZero() {
		return 0
	}
	return max(0, time.Until(until))
}
