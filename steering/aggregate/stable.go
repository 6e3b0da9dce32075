package aggregate

import (
	"math"
	"time"
)

// stableAfter is how long targets must be usable before they count as stable.
const stableAfter = 30 * time.Second

// stableFraction tracks the fraction of a place's targets that counts as stable. A
// decrease applies at once, an increase only after stableAfter, so that flapping
// targets do not attract traffic between two failures.
type stableFraction struct {
	value float64
	// since is when the fraction was last at or below value, lowest the smallest
	// fraction since then.
	since  time.Time
	lowest float64
}

func newStableFraction(fraction float64, now time.Time) *stableFraction {
	return &stableFraction{value: fraction, since: now, lowest: math.Inf(1)}
}

// update records the fraction usable now and returns the stable one.
func (s *stableFraction) update(fraction float64, now time.Time) float64 {
	if fraction <= s.value {
		*s = *newStableFraction(fraction, now)
		return s.value
	}
	s.lowest = min(s.lowest, fraction)
	if now.Sub(s.since) >= stableAfter {
		*s = *newStableFraction(s.lowest, now)
	}
	return s.value
}
