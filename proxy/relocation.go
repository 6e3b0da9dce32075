package proxy

import (
	"math"
	"net/http"
	"sync/atomic"

	"github.com/yuccaroute/yuccaroute/api/model"
	"github.com/yuccaroute/yuccaroute/api/plan"
	"github.com/yuccaroute/yuccaroute/api/result"
	"github.com/yuccaroute/yuccaroute/api/retrybudget"
)

// maxSavedRelocations bounds the relocations that accumulate at low traffic.
const maxSavedRelocations = 2

// relocationBudget limits, for one flow on this node, the requests that a caller
// retries and that run in another place than the one that refused them. Without
// it the retries from a failing place would move more traffic than the account's
// move cap allows.
// Each first request earns the part of the cap that the node's own moves have
// left unused.
type relocationBudget struct {
	// capLeft is the unused part of the move cap, the bits of a float64.
	capLeft atomic.Uint64
	budget  *retrybudget.Budget
}

func newRelocationBudget() *relocationBudget {
	return &relocationBudget{budget: retrybudget.New(0, maxSavedRelocations)}
}

func (b *relocationBudget) setCapLeft(share float64) { b.capLeft.Store(math.Float64bits(share)) }

// addFirstRequest credits the budget for a request that is not a retry.
func (b *relocationBudget) addFirstRequest() {
	b.budget.Deposit(math.Float64frombits(b.capLeft.Load()))
}

// choosePlace chooses the place of a request by the current shares. A request
// that was refused in a place returns to it unless the budget allows a
// relocation.
func (q *request) choosePlace(h http.Header) {
	f := q.flow
	next := f.chooser.Next()
	refusedAt := model.PlaceName(h.Get(result.HeaderRefusedPlace))
	switch {
	case refusedAt == "":
		f.relocations.addFirstRequest()
	case refusedAt != next && hasShare(f.shares, refusedAt) && !f.relocations.budget.Take():
		next = refusedAt
	}
	q.place = q.service.places[next]
}

func hasShare(shares []plan.Share, place model.PlaceName) bool {
	for _, s := range shares {
		if s.Place == place {
			return s.PPM > 0
		}
	}
	return false
}

// setRefusedPlace names the place of a refused request; the caller sends the
// name back when it retries.
func (q *request) setRefusedPlace(h http.Header) {
	if q.place != nil {
		h.Set(result.HeaderRefusedPlace, string(q.place.key.Place))
	}
}
