package steering

// mustLeave returns why and how much traffic of a flow must leave a place, in
// requests/s, or KindNone when it may stay.
func (s *solver) mustLeave(f *flow, place int) (Kind, float64) {
	held := f.rps(f.shares[place])
	c := &s.cells[f.service][place]
	switch {
	case c.configuredCapacity <= 0 || s.places[place].region < 0:
		return KindRemoved, held
	case c.failed() || c.degraded():
		return KindFailure, held
	case s.places[place].drain.closed:
		return KindDrain, held
	}
	if over := c.load - c.stableCapacity; over > tolerance(c.stableCapacity) {
		return c.overloadCause(), min(held, over)
	}
	if kind, over := s.regionOverload(f, place); kind != KindNone {
		return kind, min(held, over)
	}
	if c.backoff > 0 {
		return KindSlow, min(held, c.backoff)
	}
	return KindNone, 0
}

// overloadCause distinguishes a cell that lost targets from one with too much
// demand. Only the former starts a hold-down.
func (c *cell) overloadCause() Kind {
	if c.stableCapacity < c.configuredCapacity {
		return KindFailure
	}
	return KindCapacity
}

func (s *solver) regionOverload(f *flow, place int) (Kind, float64) {
	region := s.places[place].region
	r := &s.regions[region]
	if over := r.load - r.capacity; over > tolerance(r.capacity) {
		return KindRegion, over
	}
	if region == f.region {
		return KindNone, 0
	}
	if over := r.linkLoad - r.linkCapacity; over > tolerance(r.linkCapacity) {
		return KindLink, over
	}
	return KindNone, 0
}

// tolerance is the rounding error allowed in a sum of loads, in requests/s.
func tolerance(capacity float64) float64 {
	return capacity * roundingError
}

// forcedMovesPending reports whether traffic that must leave a place is still there.
func (s *solver) forcedMovesPending() bool {
	for i := range s.flows {
		f := &s.flows[i]
		for p, share := range f.shares {
			if share == 0 {
				continue
			}
			if kind, rps := s.mustLeave(f, p); kind != KindNone && rps > 0 {
				return true
			}
		}
	}
	return false
}
