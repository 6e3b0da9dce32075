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
	// headerValue is the ID as sent in response headers, host the address as
	// text.
	headerValue []string
	host        string
	state       *balance.Target
	pool        *pool.Pool
	// nextWarm is when connections may next be opened ahead of demand. Proxy.mu
	// guards it.
	nextWarm int64
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

// find returns the member with the ID and address, or nil. A VM that returns
// under another address is a new target: earlier measurements do not apply to
// it.
func (ts *targetSet) find(id string, address netip.AddrPort) *target {
	for _, t := range ts.members {
		if t.id == id && t.address == address {
			return t
		}
	}
	return nil
}
