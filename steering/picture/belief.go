package picture

import (
	"math"
	"time"
)

// believing is how long targets must have been there before they count.
const believing = 30 * time.Second

// belief is the part of a place's targets that is relied on. A part that falls
// counts at once, one that rises only after it has lasted: targets that go and
// come again would draw work in and throw it out each time, and between two
// failures the rest would stay to meet the next one.
type belief struct {
	part float64
	// since is when the part was last that low, least the lowest seen since.
	since time.Time
	least float64
}

func newBelief(part float64, now time.Time) *belief {
	return &belief{part: part, since: now, least: math.Inf(1)}
}

// see takes in the part that is usable now and returns the one relied on.
func (b *belief) see(part float64, now time.Time) float64 {
	if part <= b.part {
		*b = *newBelief(part, now)
		return b.part
	}
	b.least = min(b.least, part)
	if now.Sub(b.since) >= believing {
		*b = *newBelief(b.least, now)
	}
	return b.part
}
