package proxy

import (
	"time"

	"github.com/yuccaroute/yuccaroute/api/model"
)

// admissionTTL is how long an admission is valid without another check of the
// grant.
const admissionTTL = 100 * time.Millisecond

// permission allows a request to be sent. It holds a slot at one target and one
// token of the node's grant for the place.
type permission struct {
	place  *placeState
	target *target
	index  int
	set    *targetSet
	class  model.Class
	// admittedAt is when the grant was checked.
	admittedAt time.Time
}

// stillGranted checks the grant again if the request was admitted a while ago:
// if the process was paused since then, the grant may have moved to another
// node. The token of the first admission is not returned.
func (p permission) stillGranted() bool {
	now := p.place.proxy.options.Clock()
	if now.Sub(p.admittedAt) < admissionTTL {
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
	p.place.queue.Wake()
}

// cancel returns the slot and the token of a request that was not sent.
func (p permission) cancel() {
	p.place.returnToken()
	p.release()
}
