package ledger

import (
	"github.com/yuccaroute/yuccaroute/api/grant"
	"github.com/yuccaroute/yuccaroute/api/model"
)

// Key names a service in a place; the account is the ledger's.
type Key struct {
	Service model.ServiceName
	Place   model.PlaceName
}

// Amounts is what one node has for one key.
type Amounts struct {
	Floor, Surplus grant.Amount
}

// Total is what is permitted while the surplus lasts.
func (a Amounts) Total() grant.Amount { return a.Floor + a.Surplus }

func (a Amounts) max(b Amounts) Amounts {
	return Amounts{Floor: max(a.Floor, b.Floor), Surplus: max(a.Surplus, b.Surplus)}
}

func (a Amounts) min(b Amounts) Amounts {
	return Amounts{Floor: min(a.Floor, b.Floor), Surplus: min(a.Surplus, b.Surplus)}
}

// within reports whether neither part of a is over that of b.
func (a Amounts) within(b Amounts) bool {
	return a.Floor <= b.Floor && a.Surplus <= b.Surplus
}

// grow returns s with at least n elements.
func grow(s []Amounts, n int) []Amounts {
	if len(s) >= n {
		return s
	}
	g := make([]Amounts, n)
	copy(g, s)
	return g
}
