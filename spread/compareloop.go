package spread

import (
	"context"
	"time"

	"github.com/yuccaroute/yuccaroute/api/wait"
	"github.com/yuccaroute/yuccaroute/spread/topology"
)

// randomCompareFactor is the ratio of comparisons with the alternate upstream
// to comparisons with a random peer.
const randomCompareFactor = 5

// runCompareAlternate compares periodically with the next upstream in order. An
// outdated relay has the same digest as its subscribers, so only a node with a
// different upstream reveals that both are outdated.
func (s *Service) runCompareAlternate(ctx context.Context) {
	s.comparePeriodically(ctx, s.options.CompareInterval, func() (topology.Member, bool) {
		plan := s.plan.Load()
		if m, ok := s.alternateUpstream(plan); ok {
			return m, true
		}
		return s.randomPeer(plan)
	})
}

// runCompareRandom compares occasionally with a random peer, which reconnects
// partitions that share no upstream. It runs separately so that a hung random
// peer does not delay comparisons with the alternate upstream.
func (s *Service) runCompareRandom(ctx context.Context) {
	s.comparePeriodically(ctx, randomCompareFactor*s.options.CompareInterval, func() (topology.Member, bool) {
		return s.randomPeer(s.plan.Load())
	})
}

// comparePeriodically compares once per period with the peer that choose
// returns.
func (s *Service) comparePeriodically(ctx context.Context, period time.Duration, choose func() (topology.Member, bool)) {
	for wait.For(ctx, s.jitter(period, jitterFraction)) {
		m, ok := choose()
		if !ok {
			continue
		}
		if _, err := s.compareWith(ctx, m); err != nil {
			s.log.Debugf("%v", err)
		}
	}
}

// randomPeer returns a random entry VM, if there is one.
func (s *Service) randomPeer(plan *topology.Plan) (topology.Member, bool) {
	if len(plan.Peers) == 0 {
		return topology.Member{}, false
	}
	return plan.Peers[s.pick(len(plan.Peers))], true
}

// alternateUpstream returns the first upstream in order that is neither current
// nor penalized.
func (s *Service) alternateUpstream(plan *topology.Plan) (topology.Member, bool) {
	if len(plan.Upstreams) == 0 {
		return topology.Member{}, false
	}
	f := s.subscriptions[0]
	for _, m := range plan.Upstreams[0] {
		if !f.isCurrent(m.VM) && !f.isPenalized(m.VM) {
			return m, true
		}
	}
	return topology.Member{}, false
}
