package aggregate

import (
	"math"
	"time"
)

// steadyAfter is how long targets must be usable before they count as stable.
const steadyAfter = 30 * time.Second

// steadyFraction tracks the fraction of a place's targets that counts as stable. A
// decrease applies at once, an increase only after steadyAfter, so that flapping
// targets do not attract traffic between two failures.
type steadyFraction struct {
	value float64
	// since is when the fraction was last at or below value, lowest the smallest
	// fraction since then.
	since  time.Time
	lowest float64
}

func newSteadyFraction(fraction float64, now time.Time) *steadyFraction {
	return &steadyFraction{value: fraction, since: now, lowest: math.Inf(1)}
}

// update records the fraction usable now and returns the stable one.
func (s *steadyFraction) update(fraction float64, now time.Time) float64 {
	if fraction <= s.value {
		*s = *newSteadyFraction(fraction, now)
		return s.value
	}
	s.lowest = min(s.lowest, fraction)
	if now.Sub(s.since) >= steadyAfter {
		*s = *newSteadyFraction(s.lowest, now)
	}
	return s.value
}
