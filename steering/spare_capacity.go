package steering

import "math"

// spareCapacity is the additional load of a flow that a place may take, in
// requests/s, and the limit that bounds it.
type spareCapacity struct {
	rps  float64
	kind Kind
}

func (r *spareCapacity) limit(rps float64, kind Kind) {
	if rps < r.rps {
		r.rps = rps
		r.kind = kind
	}
}

// blockedBy returns why a place takes no more of a flow at all, or KindNone.
func (s *solver) blockedBy(f *flow, place int) Kind {
	c := &s.cells[f.service][place]
	switch {
	case c.configuredCapacity <= 0 || s.places[place].region < 0:
		return KindRemoved
	case c.failed():
		return KindFailure
	case s.places[place].drain.closed:
		return KindDrain
	case f.isNew:
		return KindNone
	case c.failing():
		return KindFailure
	case c.holdDown > 0:
		return KindHoldDown
	case c.stale():
		return KindStale
	case c.slowness() >= slowHoldRatio || c.inBackoff():
		return KindSlow
	case c.state == nil && f.shares[place] >= maxUnknownShare:
		return KindUnknown
	}
	return KindNone
}

// spareCapacityFor returns the load of a flow that a place may take from another
// place, or from none (-1).
func (s *solver) spareCapacityFor(f *flow, from, to int) spareCapacity {
	if kind := s.blockedBy(f, to); kind != KindNone {
		return spareCapacity{kind: kind}
	}
	r := spareCapacity{rps: math.Inf(1)}
	c := &s.cells[f.service][to]
	r.limit(c.stableCapacity-c.load, KindCapacity)
	if !f.isNew {
		r.limit(c.remainingStep(), KindCold)
	}
	s.limitByRegion(&r, f, from, to)
	r.rps = max(r.rps, 0)
	return r
}

// limitByRegion applies the limits of the region and the link into it, unless the
// traffic is already in the region.
func (s *solver) limitByRegion(r *spareCapacity, f *flow, from, to int) {
	region := s.places[to].region
	if from >= 0 && s.places[from].region == region {
		return
	}
	load := &s.regions[region]
	r.limit(load.capacity-load.load, KindRegion)
	if region != f.region {
		r.limit(load.linkCapacity-load.linkLoad, KindLink)
	}
}

// remainingStep returns the load that may be added now. Increases within the step
// interval count, because measurements do not show them yet.
func (c *cell) remainingStep() float64 {
	return c.maxStep() - c.stepIncrease
}

// maxStep returns the largest increase within the step interval. It halves with
// each recent backoff or failure to prevent oscillation and repeated losses.
func (c *cell) maxStep() float64 {
	return c.stableCapacity * stepShare / float64(int(1)<<(c.backoffHalvings()+c.failureHalvings()))
}

func (c *cell) backoffHalvings() int {
	return min(c.backoffCount, maxBackoffHalvings)
}

// failureHalvings grows by two with each further failure, because a place that
// fails again loses requests, while a slow one still answers. A place without load
// other than that of the current step is probed with the smallest step.
func (c *cell) failureHalvings() int {
	switch {
	case c.failureCount == 0:
		return 0
	case c.load-c.stepIncrease < c.stableCapacity*minProbeShare:
		return maxFailureHalvings
	default:
		return min(2*c.failureCount-1, maxFailureHalvings)
	}
}

// inBackoff reports whether the effect of the last backoff may not be visible yet.
func (c *cell) inBackoff() bool {
	return c.backoffCount > 0 && c.lastBackoff < attributionWindow
}
