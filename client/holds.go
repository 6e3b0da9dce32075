package client

import (
	"sync"
	"time"

	"github.com/yuccaroute/yuccaroute/api/model"
)

// How long an entry VM that failed is passed over; jittered.
const (
	minFailureHold = time.Second
	maxFailureHold = 2 * time.Second
)

// hold is until when an entry VM is passed over.
type hold struct {
	// failed: the entry VM did not answer. It is still used when no other one
	// is left.
	failed time.Time
	// asked is, for each service, when the entry VM asked to come back. Nothing
	// is sent before.
	asked map[model.ServiceName]time.Time
}

// holds remembers which entry VMs to pass over for now.
type holds struct {
	jitter *jitter
	mu     sync.Mutex
	byVM   map[string]*hold
}

func newHolds(j *jitter) *holds {
	return &holds{jitter: j, byVM: make(map[string]*hold)}
}

// fail passes over an entry VM that could not be reached, did not answer or
// is leaving.
func (h *holds) fail(address string) {
	until := time.Now().Add(h.jitter.between(minFailureHold, maxFailureHold))
	h.mu.Lock()
	defer h.mu.Unlock()
	h.of(address).failed = until
}

// ask passes over an entry VM that asked to come back after a time.
func (h *holds) ask(address string, service model.ServiceName, after time.Duration) {
	until := time.Now().Add(after)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.of(address).asked[service] = until
}

// free clears the hold of an entry VM that served a request.
func (h *holds) free(address string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.byVM, address)
}

// left returns how long an entry VM is to be passed over as failed, and how
// long it asked not to be sent the service's requests.
func (h *holds) left(address string, service model.ServiceName) (failed, asked time.Duration) {
	now := time.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	held := h.byVM[address]
	if held == nil {
		return 0, 0
	}
	return max(0, held.failed.Sub(now)), max(0, held.asked[service].Sub(now))
}

func (h *holds) of(address string) *hold {
	held := h.byVM[address]
	if held == nil {
		held = &hold{asked: make(map[model.ServiceName]time.Time)}
		h.byVM[address] = held
	}
	return held
}
