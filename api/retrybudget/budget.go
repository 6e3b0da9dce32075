// Package retrybudget holds retries to a share of the fresh requests.
package retrybudget

import "sync"

// Budget pays retries from what fresh requests put in. It is safe for use by
// several goroutines.
//
// Guard against retries pushing a failing place over: when every request
// fails, each would otherwise be sent as often as attempts are permitted, and
// the load would grow just when capacity is short. As retries are paid from
// what fresh requests put in, their sum cannot pass the share.
type Budget struct {
	mu    sync.Mutex
	most  float64
	saved float64
}

// New returns a budget with some retries in hand, at the start and at most.
// The bound keeps a quiet hour from saving up an hour's worth of retries for a
// place that fails.
func New(start, most float64) *Budget {
	return &Budget{most: most, saved: start}
}

// Deposit pays in for one fresh request: the share of a retry that it earns.
func (b *Budget) Deposit(share float64) { b.add(share) }

// Take spends one retry and reports whether there was one.
func (b *Budget) Take() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.saved < 1 {
		return false
	}
	b.saved--
	return true
}

// Refund returns a retry that was taken and not made.
func (b *Budget) Refund() { b.add(1) }

func (b *Budget) add(retries float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.saved = min(b.most, b.saved+retries)
}
