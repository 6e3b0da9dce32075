// Package retrybudget limits retries to a fraction of the first attempts.
package retrybudget

import "sync"

// Budget is a token bucket that is filled by first attempts and drained by retries,
// so that retries cannot multiply the load on failing targets. It is safe for
// concurrent use.
type Budget struct {
	mu         sync.Mutex
	maxBalance float64
	balance    float64
}

// New returns a budget with an initial and a maximum balance of retries. The maximum
// limits the burst of retries after a period with few failures.
func New(balance, maxBalance float64) *Budget {
	return &Budget{maxBalance: maxBalance, balance: balance}
}

// Deposit adds the fraction of a retry that one first attempt earns.
func (b *Budget) Deposit(share float64) { b.add(share) }

// Take withdraws one retry and reports whether the balance covered it.
func (b *Budget) Take() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.balance < 1 {
		return false
	}
	b.balance--
	return true
}

// Refund returns a retry that was taken but not sent.
func (b *Budget) Refund() { b.add(1) }

func (b *Budget) add(retries float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.balance = min(b.maxBalance, b.balance+retries)
}
