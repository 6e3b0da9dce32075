package spread

import (
	"time"

	"github.com/yuccaroute/yuccaroute/spread/topology"
)

// Times of the choice of an upstream, in heartbeats.
const (
	firstPenaltyHeartbeats = 1
	penaltyGrowth          = 4
	maxPenaltyHeartbeats   = 150
	// retryHeartbeats is how long to wait when every candidate has failed. It
	// is short, so that a region that was cut off is back within seconds.
	retryHeartbeats = 1
	// forgiveHeartbeats is how long an upstream must have served before its
	// earlier failures are forgotten. Without it a relay that fails every few
	// seconds would be tried again at once each time and its subscribers would
	// move to and fro.
	forgiveHeartbeats = 30
)

// penalty is the record of an upstream that failed.
type penalty struct {
	// heartbeats is the length of the last penalty.
	heartbeats int
	until      time.Time
}

// selector chooses among upstreams in order, leaving out for a growing time
// those that failed. It is a pure function of the times it is given; its owner
// guards it.
type selector struct {
	heartbeat time.Duration
	jitter    func(time.Duration) time.Duration
	order     []topology.Member
	penalties map[string]penalty
}

func newSelector(heartbeat time.Duration, jitter func(time.Duration) time.Duration) *selector {
	return &selector{heartbeat: heartbeat, jitter: jitter, penalties: map[string]penalty{}}
}

// setOrder replaces the candidates; records of those that stay are kept.
func (s *selector) setOrder(order []topology.Member) {
	s.order = order
	for vm := range s.penalties {
		if !listed(order, vm) {
			delete(s.penalties, vm)
		}
	}
}

// next returns the first candidate without penalty. If all have one, it
// returns that whose penalty ends first, and how long to wait before it is
// tried. Ok is false when there are no candidates.
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

// other reports whether a candidate besides vm has no penalty.
func (s *selector) other(vm string, now time.Time) bool {
	for _, m := range s.order {
		if m.VM != vm && !s.failing(m.VM, now) {
			return true
		}
	}
	return false
}

// better returns the first candidate that comes before vm and has no penalty.
func (s *selector) better(vm string, now time.Time) (topology.Member, bool) {
	for _, m := range s.order {
		if m.VM == vm {
			break
		}
		if !s.failing(m.VM, now) {
			return m, true
		}
	}
	return topology.Member{}, false
}

func (s *selector) failing(vm string, now time.Time) bool {
	return s.penalties[vm].until.After(now)
}

// fail records a failure; the time without a new attempt grows with each.
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

// served records that an upstream has served for a time.
func (s *selector) served(vm string, d time.Duration) {
	if d >= forgiveHeartbeats*s.heartbeat {
		delete(s.penalties, vm)
	}
}
