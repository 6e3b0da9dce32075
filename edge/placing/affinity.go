package placing

import "time"

const (
	// maxHomes bounds the targets of a region that one object may go to. The fourth is
	// tried when three are full at once.
	maxHomes = 4
	// spillBase and spillUse price a run at a target that does not know the object, in
	// parts of the time that it takes longer than a warm one: what others lose who wait
	// for the slot, or whose object is forgotten for this one. spillUse counts by the
	// part of the region's slots in use. Mean worth of the standard days with 0 and 0 /
	// 0 and 1 / 0.5 and 1: kovacevic-spend 0.681 / 0.701 / 0.702, vliesbuch
	// 0.553 / 0.567 / 0.574, dphbd-route 0.687 / 0.685 / 0.687.
	spillBase = 0.5
	spillUse  = 1.0
)

// best returns the open target of a region at which a request is expected to end
// first, and when; nil if it should wait.
func (s *service) best(now time.Time, r *Request, region string) (*Target, time.Duration) {
	if !r.HasObject {
		return s.leastCost(now, r, region)
	}
	t, cost := s.bestHome(now, r, region)
	if t == nil || !t.open(now) {
		return nil, cost
	}
	return t, cost
}

// leastCost is the open target at which a request about no object ends first.
func (s *service) leastCost(now time.Time, r *Request, region string) (best *Target, lowest time.Duration) {
	var rank uint64
	for _, t := range s.regions[region] {
		if !t.open(now) || r.tried(t) {
			continue
		}
		cost := t.cost(now, r.Class, false, s.stay.turn(r.work()))
		order := draw(r.Object, t.hash)
		if best == nil || cost < lowest || (cost == lowest && order > rank) {
			best, lowest, rank = t, cost, order
		}
	}
	return best, lowest
}

// bestHome is the target at which a request costs least, full or not, and when it is
// expected to end there: to wait for a target that knows the object is often shorter than
// to run cold at a free one. Load pattern: all targets of a region are nearly full; a cold
// run takes as long as three warm ones, which then run cold elsewhere in turn.
//
// An object overflows in the order of its homes, which is the same at all VMs, so that
// one more target learns it and not one for each VM.
func (s *service) bestHome(now time.Time, r *Request, region string) (best *Target, expected time.Duration) {
	lowest := time.Duration(0)
	price := spillBase + spillUse*s.use(now, region)
	turn := s.stay.turn(r.work())
	longer := float64(r.Class.work(false) - r.Class.work(true))
	offered := false
	for i, h := range s.homes(now, r, region) {
		// All VMs send to the first home, so that it is taken to know the object.
		known := i == 0 || h.target.knows(r.Object, now)
		if !known && offered {
			continue
		}
		end := h.target.cost(now, r.Class, known, turn)
		cost := end
		if !known {
			offered = true
			cost += time.Duration(price * longer)
		}
		if best == nil || cost < lowest {
			best, lowest, expected = h.target, cost, end
		}
	}
	return best, expected
}

// homes are the targets of a region that an object goes to, the first one first.
type homes []home

type home struct {
	target *Target
	order  uint64
}

// add puts a target in by its order and keeps maxHomes of them.
func (h homes) add(t *Target, order uint64) homes {
	i := len(h)
	for i > 0 && order > h[i-1].order {
		i--
	}
	if i >= maxHomes {
		return h
	}
	if len(h) < maxHomes {
		h = append(h, home{})
	}
	copy(h[i+1:], h[i:])
	h[i] = home{t, order}
	return h
}

// homes leaves out targets that cannot get the request soon.
func (s *service) homes(now time.Time, r *Request, region string) homes {
	h := make(homes, 0, maxHomes)
	for _, t := range s.regions[region] {
		if t.usable && !t.probing && t.permits(now) && !r.tried(t) {
			h = h.add(t, draw(r.Object, t.hash))
		}
	}
	return h
}
