package steering

// mustLeave returns why work of a flow has to leave a place and how much of
// it, requests/s; KindNone when it may stay.
func (s *solver) mustLeave(f *flow, place int) (Kind, float64) {
	held := f.rps(f.shares[place])
	c := &s.cells[f.service][place]
	switch {
	case c.configured <= 0 || s.places[place].region < 0:
		return KindRemoved, held
	case c.failed() || c.poor():
		return KindFailure, held
	case s.places[place].drain.shut:
		return KindDrain, held
	}
	if over := c.load - c.usable; over > tolerance(c.usable) {
		return c.overCause(), min(held, over)
	}
	if kind, over := s.regionOver(f, place); kind != KindNone {
		return kind, min(held, over)
	}
	if c.backoff > 0 {
		return KindSlow, min(held, c.backoff)
	}
	return KindNone, 0
}

// overCause tells a place that lost targets from one that is asked too much:
// work does not return to the first at once.
func (c *cell) overCause() Kind {
	if c.usable < c.configured {
		return KindFailure
	}
	return KindCapacity
}

func (s *solver) regionOver(f *flow, place int) (Kind, float64) {
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

// tolerance is how far a sum of loads may pass a capacity by rounding alone,
// requests/s.
func tolerance(capacity float64) float64 {
	return capacity * rounding
}

// heldBack reports whether work that must leave a place is still there.
func (s *solver) heldBack() bool {
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
