package spread

import (
	"time"

	"github.com/yuccaroute/yuccaroute/spread/topology"
)

// Durations of upstream selection, in heartbeats.
const (
	firstPenaltyHeartbeats = 1
	penaltyGrowth          = 4
	maxPenaltyHeartbeats   = 150
	// retryHeartbeats is the wait when every candidate is penalized. It is
	// short so that an isolated region reconnects within seconds.
	retryHeartbeats = 1
	// resetPenaltyHeartbeats is how long an upstream must have served before
	// its penalty is reset. It prevents subscribers from flapping when a relay
	// fails every few seconds.
	resetPenaltyHeartbeats = 30
)

// penalty is the backoff state of a failed upstream.
type penalty struct {
	// heartbeats is the length of the last penalty.
	heartbeats int
	until      time.Time
}

// selector chooses among upstreams in order and skips failed ones with
// exponential backoff. It uses only the times it is given; its owner
// synchronizes access.
type selector struct {
	heartbeat time.Duration
	jitter    func(time.Duration) time.Duration
	order     []topology.Member
	penalties map[string]penalty
}

func newSelector(heartbeat time.Duration, jitter func(time.Duration) time.Duration) *selector {
	return &selector{heartbeat: heartbeat, jitter: jitter, penalties: map[string]penalty{}}
}

// setOrder replaces the candidates and keeps the penalties of those that
// remain.
func (s *selector) setOrder(order []topology.Member) {
	s.order = order
	for vm := range s.penalties {
		if !containsVM(order, vm) {
			delete(s.penalties, vm)
		}
	}
}

// next returns the first candidate without a penalty. If all are penalized, it
// returns the one whose penalty ends first and the time to wait. ok is false
// when there are no candidates.
func (s *selector) next(now time.Time) (m topology.Member, wait time.Duration, ok bool) {
	for _, c := range s.order {
		left := s.penalties[c.VM].until.Sub(now)
		if left <= 0 {
			return c, 0, true
		}
		if !ok || left < wait {
			m, wait, ok = c, left, true
		}
	}
	return m, min(wait, s.jitter(retryHeartbeats*s.heartbeat)), ok
}

// hasAlternative reports whether a candidate besides vm has no penalty.
func (s *selector) hasAlternative(vm string, now time.Time) bool {
	for _, m := range s.order {
		if m.VM != vm && !s.penalized(m.VM, now) {
			return true
		}
	}
	return false
}

// better returns the first candidate that precedes vm and has no penalty.
func (s *selector) better(vm string, now time.Time) (topology.Member, bool) {
	for _, m := range s.order {
		if m.VM == vm {
			break
		}
		if !s.penalized(m.VM, now) {
			return m, true
		}
	}
	return topology.Member{}, false
}

func (s *selector) penalized(vm string, now time.Time) bool {
	return s.penalties[vm].until.After(now)
}

// fail records a failure and increases the penalty.
func (s *selector) fail(vm string, now time.Time) {
	p := s.penalties[vm]
	if p.heartbeats == 0 {
		p.heartbeats = firstPenaltyHeartbeats
	} else {
		p.heartbeats = min(penaltyGrowth*p.heartbeats, maxPenaltyHeartbeats)
	}
	p.until = now.Add(s.jitter(time.Duration(p.heartbeats) * s.heartbeat))
	s.penalties[vm] = p
}

// served records how long an upstream served this node.
func (s *selector) served(vm string, d time.Duration) {
	if d >= resetPenaltyHeartbeats*s.heartbeat {
		delete(s.penalties, vm)
	}
}
