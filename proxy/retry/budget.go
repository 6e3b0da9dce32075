// Package retry decides whether a failed idempotent request may be sent again.
package retry

import "sync"

// Bounds of a budget.
const (
	// reserve lets a service that gets few requests still retry one.
	reserve = 1.0
	// maxSaved is how many retries can be saved up: after a quiet hour a
	// failing place must not meet an hour's worth of retries.
	maxSaved = 20.0
)

// Budget holds retries to a share of the fresh requests. Every fresh request
// earns that share of a retry.
type Budget struct {
	mu    sync.Mutex
	saved float64
}

// NewBudget returns a budget with one retry in hand.
func NewBudget() *Budget {
	return &Budget{saved: reserve}
}

// Fresh counts a request that came from a caller.
func (b *Budget) Fresh(share float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.saved = min(maxSaved, b.saved+share)
}

// Take spends one retry if there is one.
func (b *Budget) Take() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.saved < 1 {
		return false
	}
	b.saved--
	return true
}

// Give returns a retry that was taken and not made.
func (b *Budget) Give() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.saved = min(maxSaved, b.saved+1)
}
