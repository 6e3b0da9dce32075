package proxy

import (
	"net/netip"

	"github.com/yuccaroute/yuccaroute/proxy/balance"
	"github.com/yuccaroute/yuccaroute/proxy/pool"
)

// target is one target of one service in one place.
type target struct {
	id      string
	address netip.AddrPort
	// host is the address as text, field the name as answers tell it.
	field []string
	host  string
	state *balance.Target
	pool  *pool.Pool
	// warmAt is when connections may be opened ahead again. The proxy's lock
	// guards it.
	warmAt int64
}

// targetSet is the targets of one service in one place. It is immutable;
// members and set have the same order.
type targetSet struct {
	members []*target
	set     balance.Set
}

func newTargetSet(members []*target) *targetSet {
	ts := &targetSet{members: members}
	for _, t := range members {
		ts.set.Targets = append(ts.set.Targets, t.state)
	}
	return ts
}

// find returns the member with the name and address, or nil. A VM that comes
// back under another address is another target: nothing learnt of the old one
// holds for it.
func (ts *targetSet) find(id string, address netip.AddrPort) *target {
	for _, t := range ts.members {
		if t.id == id && t.address == address {
			return t
		}
	}
	return nil
}
