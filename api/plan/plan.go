// Package plan holds a steering decision: which share of each service's
// traffic from each caller region goes to which place. A plan is small (its
// size does not depend on the number of client blocks) and is sent to every
// node, which applies it to its own requests.
package plan

import "github.com/yuccaroute/yuccaroute/api/model"

// Whole is the sum of the shares of one flow, in parts per million.
const Whole = 1_000_000

// Plan is one decision for one account. Plans of an account are ordered by
// (Epoch, Sequence); a node never applies one that is not later than the one
// it has.
type Plan struct {
	Account        model.AccountName
	ConfigRevision uint64
	// Epoch is the fencing token of the decider's lease, Sequence counts the
	// decisions within it.
	Epoch    uint64
	Sequence uint64
	Flows    []Flow
}

// Flow is the traffic of one service from callers of one region.
type Flow struct {
	Service model.ServiceName
	Caller  model.RegionName
	// Shares are sorted by place and add up to Whole, or are empty when no
	// place can serve.
	Shares []Share
}

// Share is one place's part of a flow.
type Share struct {
	Place model.PlaceName
	// PPM is the part in parts per million.
	PPM uint32
}

// Newer reports whether p is later than q.
func (p *Plan) Newer(q *Plan) bool {
	if q == nil {
		return true
	}
	if p.Epoch != q.Epoch {
		return p.Epoch > q.Epoch
	}
	return p.Sequence > q.Sequence
}

// Flow returns the flow of a service and caller region, or nil.
func (p *Plan) Flow(service model.ServiceName, caller model.RegionName) *Flow {
	for i := range p.Flows {
		f := &p.Flows[i]
		if f.Service == service && f.Caller == caller {
			return f
		}
	}
	return nil
}
