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

// maxSavedElsewhere is how many repeats may go to another place at once after a
// quiet time.
const maxSavedElsewhere = 2

// elsewhere bounds, for one flow on this node, the requests that are sent again
// and run in another place than the one they fell to first.
//
// Guard against repeats that move traffic beside the plan: a place whose targets
// fail refuses its share, callers send it again, and each new choice brings most
// of it to other places. It shows as more than the account's cap moved within a
// window, with the plan itself under it. The guard holds because each first
// request earns only the part of a repeat that the node's own moves of the last
// window have left of the cap.
type elsewhere struct {
	// left is that part, the bits of a float64.
	left   atomic.Uint64
	budget *retrybudget.Budget
}

func newElsewhere() *elsewhere {
	return &elsewhere{budget: retrybudget.New(0, maxSavedElsewhere)}
}

func (e *elsewhere) setLeft(share float64) { e.left.Store(math.Float64bits(share)) }

// earn counts a first request.
func (e *elsewhere) earn() { e.budget.Fresh(math.Float64frombits(e.left.Load())) }

// findPlace chooses the place of a request by the shares in force. A request that
// was refused in a place goes there again, unless the cap leaves room to move it.
func (q *request) findPlace(h http.Header) {
	f := q.flow
	next := f.chooser.Next()
	refusedAt := model.PlaceName(h.Get(result.HeaderRefusedPlace))
	switch {
	case refusedAt == "":
		f.elsewhere.earn()
	case refusedAt != next && hasShare(f.shares, refusedAt) && !f.elsewhere.budget.Take():
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

// tellPlace names the place of a refused request, for the caller to send along
// when it sends the request again.
func (q *request) tellPlace(h http.Header) {
	if q.place != nil {
		h.Set(result.HeaderRefusedPlace, string(q.place.key.Place))
	}
}
