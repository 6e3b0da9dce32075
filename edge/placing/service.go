package placing

import (
	"time"

	"github.com/yuccaroute/yuccaroute/edge/site"
)

// service is the targets and the line of one service.
type service struct {
	site.Service
	targets map[string]*Target
	regions map[string][]*Target
	line    line
	demand  demand
	shares  shares
}

func newService(s site.Service) *service {
	return &service{
		Service: s, targets: make(map[string]*Target), regions: make(map[string][]*Target),
	}
}

// best returns the open target of a region at which a request is expected to end
// first, and when; nil if none is open.
func (s *service) best(now time.Time, r *Request, region string) (*Target, time.Duration) {
	home := s.home(r, region)
	var best *Target
	var lowest time.Duration
	var rank uint64
	for _, t := range s.regions[region] {
		if !t.open(now) || r.tried(t) {
			continue
		}
		cost := t.cost(now, r.Class, r.HasObject && (t == home || t.knows(r.Object, now)))
		order := draw(r.Object, t.hash)
		if best == nil || cost < lowest || (cost == lowest && order > rank) {
			best, lowest, rank = t, cost, order
		}
	}
	return best, lowest
}

// home is the target of a region that an object goes to first.
func (s *service) home(r *Request, region string) *Target {
	if !r.HasObject {
		return nil
	}
	var home *Target
	var rank uint64
	for _, t := range s.regions[region] {
		if !t.usable || t.probing {
			continue
		}
		order := draw(r.Object, t.hash)
		if home == nil || order > rank {
			home, rank = t, order
		}
	}
	return home
}

// slots is the capacity of a region.
func (s *service) slots(now time.Time, region string) int {
	n := 0
	for _, t := range s.regions[region] {
		if t.alive(now) {
			n += t.Slots
		}
	}
	return n
}

// pace is how many slots of a region serve this VM's line: its part of the
// requests in hand there.
func (s *service) pace(now time.Time, region string) float64 {
	own, all := 1.0, 1.0
	for _, t := range s.regions[region] {
		own += float64(t.own)
		all += float64(t.inHand())
	}
	return max(1, float64(s.slots(now, region))) * own / all
}
