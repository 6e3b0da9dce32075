package proxy

import "github.com/yuccaroute/yuccaroute/api/model"

// permission is what a request needs before it is sent: a slot at one target
// and one request of the node's grant for the place.
type permission struct {
	place  *placeState
	target *target
	index  int
	set    *targetSet
	class  model.Class
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
