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

// spillBelow is the part of a region's slots in use up to which an object may go to
// a target that does not know it. There it takes three times as long: in a busy
// region every such run delays others, which then go to cold targets in turn, and
// all targets stay full with work that warm ones would have done long ago.
const spillBelow = 0.6

// best returns the open target of a region at which a request is expected to end
// first, and when; nil if it should wait.
func (s *service) best(now time.Time, r *Request, region string) (*Target, time.Duration) {
	homes := s.homes(r, region)
	spill := !r.HasObject || s.use(now, region) < spillBelow
	var best *Target
	var lowest time.Duration
	var rank uint64
	for _, t := range s.regions[region] {
		if !t.open(now) || r.tried(t) {
			continue
		}
		known := r.HasObject && t.knows(r.Object, now)
		if !spill && !known && !homes.has(t) {
			continue
		}
		cost := t.cost(now, r.Class, known || homes.first == t)
		order := draw(r.Object, t.hash)
		if best == nil || cost < lowest || (cost == lowest && order > rank) {
			best, lowest, rank = t, cost, order
		}
	}
	return best, lowest
}

// homes are the two targets of a region that an object goes to first. The second
// one takes over when the first is full, so that a busy object does not wait for
// one target alone.
type homes struct{ first, second *Target }

func (h homes) has(t *Target) bool { return t == h.first || t == h.second }

func (s *service) homes(r *Request, region string) homes {
	var h homes
	if !r.HasObject {
		return h
	}
	var first, second uint64
	for _, t := range s.regions[region] {
		if !t.usable || t.probing || r.tried(t) {
			continue
		}
		switch order := draw(r.Object, t.hash); {
		case h.first == nil || order > first:
			h.second, second = h.first, first
			h.first, first = t, order
		case h.second == nil || order > second:
			h.second, second = t, order
		}
	}
	return h
}

// use is the part of a region's slots that is in use.
func (s *service) use(now time.Time, region string) float64 {
	slots, inHand := 0, 0
	for _, t := range s.regions[region] {
		if t.alive(now) {
			slots += t.Slots
			inHand += t.inHand()
		}
	}
	return float64(inHand) / float64(max(1, slots))
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
