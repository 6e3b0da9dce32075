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
	// vms is the number of VMs in the own region.
	vms int
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
		place := homes.place(t)
		known := r.HasObject && (place >= 0 || t.knows(r.Object, now))
		if !spill && !known {
			continue
		}
		cost := t.cost(now, r.Class, known)
		if place > 0 {
			cost += time.Duration(laterHome * float64(r.work()))
		}
		order := draw(r.Object, t.hash)
		if best == nil || cost < lowest || (cost == lowest && order > rank) {
			best, lowest, rank = t, cost, order
		}
	}
	return best, lowest
}

// laterHome is how much dearer the later targets of an object are, in parts of its
// work. An object that one target can carry is learnt by one only, and a target keeps
// only so many objects at hand. Mean worth of the standard days with 0.2 / 1.0:
// dphbd-route 0.653 / 0.661, vliesbuch 0.507 / 0.516.
const laterHome = 1.0

// homes are the targets of a region that an object goes to, the first one first.
// All VMs find the same ones, so that each is taken to know the object.
type homes []home

type home struct {
	target *Target
	order  uint64
}

// place returns the position of a target, -1 if it is no home.
func (h homes) place(t *Target) int {
	for i := range h {
		if h[i].target == t {
			return i
		}
	}
	return -1
}

// add puts a target in by its order and keeps most of them.
func (h homes) add(t *Target, order uint64, most int) homes {
	i := len(h)
	for i > 0 && order > h[i-1].order {
		i--
	}
	if i >= most {
		return h
	}
	if len(h) < most {
		h = append(h, home{})
	}
	copy(h[i+1:], h[i:])
	h[i] = home{t, order}
	return h
}

func (s *service) homes(r *Request, region string) homes {
	if !r.HasObject || len(s.regions[region]) == 0 {
		return nil
	}
	most := r.Class.homes(s.vms, s.regions[region][0].Slots)
	h := make(homes, 0, most)
	for _, t := range s.regions[region] {
		if t.usable && !t.probing && !r.tried(t) {
			h = h.add(t, draw(r.Object, t.hash), most)
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
