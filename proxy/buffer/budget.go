// Package buffer limits the total resources, bytes or requests, that a node holds
// for its callers and divides them between client accounts.
package buffer

import "sync/atomic"

// shareFactor limits an account to this multiple of the free units. One busy
// account gets up to 4/5 of the budget, two get 4/9 each, so that some units stay
// free for idle accounts.
const shareFactor = 4

// Budget is the limit of a node. It is safe for concurrent use.
type Budget struct {
	total int64
	used  atomic.Int64
}

// NewBudget returns a budget of the given number of units.
func NewBudget(total int64) *Budget { return &Budget{total: total} }

// Used returns the units held by all accounts.
func (b *Budget) Used() int64 { return b.used.Load() }

// Share tracks the units of a budget held by one client account.
type Share struct {
	budget *Budget
	used   atomic.Int64
}

// NewShare returns the share of a new account.
func (b *Budget) NewShare() *Share { return &Share{budget: b} }

// Used returns the units the account holds.
func (s *Share) Used() int64 { return s.used.Load() }

// Take reserves units, or returns false if the account would exceed its limit.
func (s *Share) Take(units int64) bool {
	used := s.budget.used.Add(units)
	held := s.used.Add(units)
	free := s.budget.total - used
	// The requested units count as free here; otherwise an account could not take
	// a large amount at once.
	if used <= s.budget.total && held <= shareFactor*(free+units) {
		return true
	}
	s.Give(units)
	return false
}

// Give returns reserved units.
func (s *Share) Give(units int64) {
	s.used.Add(-units)
	s.budget.used.Add(-units)
}
