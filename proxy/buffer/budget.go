// Package buffer bounds what a node holds for its callers in sum, bytes or
// requests, and divides it between client accounts.
package buffer

import "sync/atomic"

// shareFactor is how many times what is still free one account may hold. One
// busy account alone gets 4/5 of the whole; two get 4/9 each. There is always
// room left, so an account that was quiet gets its share at once.
const shareFactor = 4

// Budget is the bound of a node. It is safe for use by several goroutines.
type Budget struct {
	total int64
	used  atomic.Int64
}

// NewBudget returns a budget of total units.
func NewBudget(total int64) *Budget { return &Budget{total: total} }

// Used returns the units taken.
func (b *Budget) Used() int64 { return b.used.Load() }

// Share is the part of one client account.
type Share struct {
	budget *Budget
	used   atomic.Int64
}

// NewShare returns an account's part of the budget.
func (b *Budget) NewShare() *Share { return &Share{budget: b} }

// Used returns the units the account holds.
func (s *Share) Used() int64 { return s.used.Load() }

// Take reserves units, or returns false if the account may not hold as many.
func (s *Share) Take(units int64) bool {
	used := s.budget.used.Add(units)
	mine := s.used.Add(units)
	free := s.budget.total - used
	// The units just taken count as free here, or an account could not take
	// much in one step.
	if used <= s.budget.total && mine <= shareFactor*(free+units) {
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
