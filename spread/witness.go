package spread

import (
	"context"
	"time"

	"github.com/yuccaroute/yuccaroute/api/wait"
	"github.com/yuccaroute/yuccaroute/spread/topology"
)

// randomEvery is how many comparisons with the witness there are for one with a
// random peer.
const randomEvery = 5

// runCompare compares periodically with the witness: the node that would be
// the upstream if the present one failed. A relay that lags, or whose own
// upstream does, sends heartbeats with a digest that is equal to its
// subscriber's, as both are out of date; only a node fed by another way shows
// it. What it brings makes the digests differ, and the upstream is then asked
// or left.
func (s *Service) runCompare(ctx context.Context) {
	s.compareEvery(ctx, s.options.CompareInterval, func() (topology.Member, bool) {
		plan := s.plan.Load()
		if m, ok := s.alternate(plan); ok {
			return m, true
		}
		return s.randomPeer(plan)
	})
}

// runCompareRandom compares now and then with a random peer, which joins parts
// of the fleet that no longer share an upstream. It has rounds of its own:
//
// Guard against a random peer in place of the witness. It shows as a change
// that comes late by a round and a call's timeout when the peer hangs, or is
// the relay that lags itself. The guard holds because the rounds with the
// witness neither skip one nor wait for a call to another peer.
func (s *Service) runCompareRandom(ctx context.Context) {
	s.compareEvery(ctx, randomEvery*s.options.CompareInterval, func() (topology.Member, bool) {
		return s.randomPeer(s.plan.Load())
	})
}

// compareEvery compares once a period with the peer that choose returns.
func (s *Service) compareEvery(ctx context.Context, period time.Duration, choose func() (topology.Member, bool)) {
	for wait.For(ctx, s.jitter(period, jitterShare)) {
		m, ok := choose()
		if !ok {
			continue
		}
		if _, err := s.compareWith(ctx, m); err != nil {
			s.log.Debugf("%v", err)
		}
	}
}

// randomPeer returns any other entry VM, if there is one.
func (s *Service) randomPeer(plan *topology.Plan) (topology.Member, bool) {
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
