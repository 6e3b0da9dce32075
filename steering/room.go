package steering

import "math"

// room tells how many requests/s of a flow a place may take more, when they
// come from another one, and what bounds it.
type room struct {
	rps  float64
	kind Kind
}

func (r *room) bound(rps float64, kind Kind) {
	if rps < r.rps {
		r.rps = rps
		r.kind = kind
	}
}

// closed returns the cause for which a place takes no more of a flow at all,
// or KindNone.
func (s *solver) closed(f *flow, place int) Kind {
	c := &s.cells[f.service][place]
	switch {
	case c.configured <= 0 || s.places[place].region < 0:
		return KindRemoved
	case c.failed():
		return KindFailure
	case s.places[place].drain.shut:
		return KindDrain
	case f.fresh:
		return KindNone
	case c.failing():
		return KindFailure
	case c.holdDown > 0:
		return KindHoldDown
	case c.stale():
		return KindStale
	case c.slowness() >= slowHold || c.resting():
		return KindSlow
	case c.state == nil && f.shares[place] >= unknownShare:
		return KindUnknown
	}
	return KindNone
}

// roomFor returns what a place may take of a flow, from a place or from
// nowhere (-1).
func (s *solver) roomFor(f *flow, from, to int) room {
	if kind := s.closed(f, to); kind != KindNone {
		return room{kind: kind}
	}
	r := room{rps: math.Inf(1)}
	c := &s.cells[f.service][to]
	r.bound(c.usable-c.load, KindCapacity)
	if !f.fresh {
		r.bound(c.stepRoom(), KindCold)
	}
	s.regionRoom(&r, f, from, to)
	r.rps = max(r.rps, 0)
	return r
}

// regionRoom bounds by the region and its link unless the work is there
// already.
func (s *solver) regionRoom(r *room, f *flow, from, to int) {
	region := s.places[to].region
	if from >= 0 && s.places[from].region == region {
		return
	}
	load := &s.regions[region]
	r.bound(load.capacity-load.load, KindRegion)
	if region != f.region {
		r.bound(load.linkCapacity-load.linkLoad, KindLink)
	}
}

// stepRoom is what a cell may be raised by now. What came within the step
// interval does not show in the measurements yet.
func (c *cell) stepRoom() float64 {
	return c.step() - c.raised
}

// step is the most a cell takes more of within the step interval. It halves
// with each time the cell gave back or failed: the same step would be too much
// again and the share would swing, or as much work would be lost as before.
func (c *cell) step() float64 {
	return c.usable * stepPart / float64(int(1)<<(c.backoffHalvings()+c.failureHalvings()))
}

func (c *cell) backoffHalvings() int {
	return min(c.backoffs, stepHalvings)
}

// failureHalvings grows by two with each further failure: what a place takes
// that fails again is lost, while a slow one still answers. A place that failed
// and carries nothing but what came within the step interval is tried with the
// least step first.
func (c *cell) failureHalvings() int {
	switch {
	case c.failures == 0:
		return 0
	case c.load-c.raised < c.usable*triedPart:
		return failureHalvings
	default:
		return min(2*c.failures-1, failureHalvings)
	}
}

// resting reports a cell that gave back and has not had the time to show the
// effect.
func (c *cell) resting() bool {
	return c.backoffs > 0 && c.lastBackoff < watchTime
}
