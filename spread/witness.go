package spread

import (
	"context"

	"github.com/yuccaroute/yuccaroute/api/wait"
	"github.com/yuccaroute/yuccaroute/spread/topology"
)

// randomEvery is how often, in comparisons, the peer is a random one instead
// of the node's witness.
const randomEvery = 5

// runCompare compares periodically with the witness: the node that would be
// the upstream if the present one failed. A relay that lags, or whose own
// upstream does, sends heartbeats with a digest that is equal to its
// subscriber's, as both are out of date; only a node fed by another way shows
// it. What it brings makes the digests differ, and the upstream is then asked
// or left. Now and then the peer is random, which joins parts of the fleet that no
// longer share an upstream.
func (s *Service) runCompare(ctx context.Context) {
	for round := 1; wait.For(ctx, s.jitter(s.options.CompareEvery, jitterShare)); round++ {
		m, ok := s.witness(round%randomEvery == 0)
		if !ok {
			continue
		}
		if _, err := s.compareWith(ctx, m); err != nil {
			s.log.Debugf("%v", err)
		}
	}
}

// witness chooses the peer of a periodic comparison.
func (s *Service) witness(random bool) (topology.Member, bool) {
	plan := s.plan.Load()
	if !random {
		if m, ok := s.alternate(plan); ok {
			return m, true
		}
	}
	if len(plan.Peers) == 0 {
		return topology.Member{}, false
	}
	return plan.Peers[s.pick(len(plan.Peers))], true
}

// alternate returns the first VM in the upstream order that is not followed
// and does not fail at present.
func (s *Service) alternate(plan *topology.Plan) (topology.Member, bool) {
	if len(plan.Upstreams) == 0 {
		return topology.Member{}, false
	}
	f := s.follows[0]
	for _, m := range plan.Upstreams[0] {
		if !f.isCurrent(m.VM) && !f.isFailing(m.VM) {
			return m, true
		}
	}
	return topology.Member{}, false
}
