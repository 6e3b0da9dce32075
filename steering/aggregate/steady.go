package aggregate

import (
	"math"
	"time"
)

// steadyAfter is how long targets must have been there before they count.
const steadyAfter = 30 * time.Second

// steadyPart is the part of a place's targets that is relied on. A part that falls
// counts at once, one that rises only after it has lasted: targets that go and
// come again would draw work in and throw it out each time, and between two
// failures the rest would stay to meet the next one.
type steadyPart struct {
	part float64
	// since is when the part was last that low, least the lowest seen since.
	since time.Time
	least float64
}

func newSteadyPart(part float64, now time.Time) *steadyPart {
	return &steadyPart{part: part, since: now, least: math.Inf(1)}
}

// update takes in the part that is usable now and returns the one relied on.
func (s *steadyPart) update(part float64, now time.Time) float64 {
	if part <= s.part {
		*s = *newSteadyPart(part, now)
		return s.part
	}
	s.least = min(s.least, part)
	if now.Sub(s.since) >= steadyAfter {
		*s = *newSteadyPart(s.least, now)
	}
	return s.part
}
