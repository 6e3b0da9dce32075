package ledger

import (
	"github.com/yuccaroute/yuccaroute/api/grant"
	"github.com/yuccaroute/yuccaroute/api/model"
)

// Key identifies a service in a place within the ledger's account.
type Key struct {
	Service model.ServiceName
	Place   model.PlaceName
}

// Amounts is one node's grant for one key: a floor without expiry and a surplus
// that expires after its TTL.
type Amounts struct {
	Floor, Surplus grant.Amount
}

// Total is the permitted amount until the surplus expires.
func (a Amounts) Total() grant.Amount { return a.Floor + a.Surplus }

func (a Amounts) max(b Amounts) Amounts {
	return Amounts{Floor: max(a.Floor, b.Floor), Surplus: max(a.Surplus, b.Surplus)}
}

func (a Amounts) min(b Amounts) Amounts {
	return Amounts{Floor: min(a.Floor, b.Floor), Surplus: min(a.Surplus, b.Surplus)}
}

// within reports whether a exceeds b in neither the floor nor the surplus.
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
