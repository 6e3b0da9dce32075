package proxy

import (
	"time"

	"github.com/yuccaroute/yuccaroute/api/model"
)

// freshFor is how long after its admission a request may be sent on it.
const freshFor = 100 * time.Millisecond

// permission is what a request needs before it is sent: a slot at one target
// and one request of the node's grant for the place.
type permission struct {
	place  *placeState
	target *target
	index  int
	set    *targetSet
	class  model.Class
	// admitted is when the grant was asked.
	admitted time.Time
}

// stillGranted asks the grant once more if the request was admitted a while
// ago. A process may be paused between admission and sending for so long that
// its surplus has gone to another node; the request would come on top of that
// node's. What the first admission took is not given back.
func (p permission) stillGranted() bool {
	now := p.place.proxy.options.Clock()
	if now.Sub(p.admitted) < freshFor {
		return true
	}
	ok, _ := p.place.bucket.Take(now)
	return ok
}

// release frees the slot after the request was sent.
func (p permission) release() {
	p.target.state.Release()
	if p.class == model.Bulk {
		p.place.bulk.Add(-1)
	}
	p.place.line.Wake()
}

// cancel gives back the slot and the grant of a request that was not sent.
func (p permission) cancel() {
	p.place.returnToken()
	p.release()
}
