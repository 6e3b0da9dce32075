package spread

import (
	"context"
	"slices"
	"time"

	"github.com/yuccaroute/yuccaroute/api/wait"
	"github.com/yuccaroute/yuccaroute/spread/topology"
)

// jitterShare is the part by which periods vary, so that nodes started
// together don't stay in step.
const jitterShare = 0.2

// pauseHeartbeats is how long a node may have not been scheduled, in
// heartbeats, before it counts its items as possibly out of date.
const pauseHeartbeats = 3

// runPlan follows the VM list and detects that the process was paused.
func (s *Service) runPlan(ctx context.Context) {
	last := time.Now()
	for {
		s.refreshPlan()
		if !wait.For(ctx, s.jitter(s.options.Heartbeat, jitterShare)) {
			return
		}
		now := time.Now()
		// A VM that was suspended resumes with the items it had. It would steer
		// by them as if they were in force. The gap between two rounds of this
		// loop shows the pause before any peer is heard.
		if pausedFor(last, now) > pauseHeartbeats*s.options.Heartbeat {
			s.log.Warnf("spread: node was paused for %s, items are compared again", pausedFor(last, now).Round(time.Millisecond))
			s.ready.reset()
		}
		last = now
	}
}

// pausedFor returns the time between two rounds by the clock that advanced
// further: the monotonic clock may stand still while a VM is suspended.
func pausedFor(last, now time.Time) time.Duration {
	return max(now.Sub(last), now.Round(0).Sub(last.Round(0)))
}

// refreshPlan computes the node's part anew and wakes those who act on it.
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
		s.log.Infof("spread: node is a %s now", next.Role)
	}
	s.plan.Store(&next)
	s.heard.keep(func(vm string) bool { return listed(next.Peers, vm) })
	close(s.replaced)
	s.replaced = make(chan struct{})
}

// planChanged returns a channel that is closed at the next change.
func (s *Service) planChanged() <-chan struct{} {
	s.planMu.Lock()
	defer s.planMu.Unlock()
	return s.replaced
}

func (s *Service) self() topology.Member {
	ref := s.options.Ref
	return topology.Member{VM: ref.Vm, Region: ref.Region, FailureDomain: ref.Place, Address: ref.PeerAddress}
}

func listed(members []topology.Member, vm string) bool {
	return slices.ContainsFunc(members, func(m topology.Member) bool { return m.VM == vm })
}
