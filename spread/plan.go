package spread

import (
	"context"
	"slices"
	"time"

	"github.com/yuccaroute/yuccaroute/api/wait"
	"github.com/yuccaroute/yuccaroute/spread/topology"
)

// jitterFraction is the relative jitter of periods. It prevents nodes that
// started together from acting in lockstep.
const jitterFraction = 0.2

// pauseThresholdHeartbeats is the scheduling gap, in heartbeats, after which a
// node treats its items as possibly outdated.
const pauseThresholdHeartbeats = 3

// runPlan updates the plan from the VM list and detects that the process was
// paused.
func (s *Service) runPlan(ctx context.Context) {
	last := time.Now()
	for {
		s.refreshPlan()
		if !wait.For(ctx, s.jitter(s.options.Heartbeat, jitterFraction)) {
			return
		}
		now := time.Now()
		// A resumed VM may hold outdated items. The gap between iterations
		// reveals the pause before any peer is contacted.
		if pausedFor(last, now) > pauseThresholdHeartbeats*s.options.Heartbeat {
			s.log.Warnf("spread: node was paused for %s, synchronizing again", pausedFor(last, now).Round(time.Millisecond))
			s.readiness.reset()
		}
		last = now
	}
}

// pausedFor returns the elapsed time by the clock that advanced further, since
// the monotonic clock may stop while a VM is suspended.
func pausedFor(last, now time.Time) time.Duration {
	return max(now.Sub(last), now.Round(0).Sub(last.Round(0)))
}

// refreshPlan recomputes the plan and notifies the goroutines that depend on
// it.
func (s *Service) refreshPlan() {
	members := topology.FromList(s.options.Members())
	s.planMu.Lock()
	defer s.planMu.Unlock()
	if s.members != nil && slices.Equal(s.members, members) {
		return
	}
	s.members = members
	next := topology.Build(members, s.self())
	old := s.plan.Load()
	if old.Role != next.Role {
		s.log.Infof("spread: role changed to %s", next.Role)
	}
	s.plan.Store(&next)
	s.peers.retain(func(vm string) bool { return containsVM(next.Peers, vm) })
	close(s.planUpdated)
	s.planUpdated = make(chan struct{})
}

// planChanged returns a channel that is closed when the plan changes.
func (s *Service) planChanged() <-chan struct{} {
	s.planMu.Lock()
	defer s.planMu.Unlock()
	return s.planUpdated
}

func (s *Service) self() topology.Member {
	ref := s.options.Ref
	return topology.Member{VM: ref.Vm, Region: ref.Region, FailureDomain: ref.Place, Address: ref.PeerAddress}
}

func containsVM(members []topology.Member, vm string) bool {
	return slices.ContainsFunc(members, func(m topology.Member) bool { return m.VM == vm })
}
