package workingset

import (
	"math"
	"time"
)

const (
	// StepInterval is the time between two steps of a controller.
	StepInterval = 500 * time.Millisecond
	// usableShare is the part of a region's slots that admitted requests are to use while many of their
	// runs are cold. The rest covers the variation of arrivals.
	usableShare = 0.85
	// warmUsableShare is the same while hardly any run is cold. A smaller set would then not be served
	// faster, and would use the targets less evenly, so that much of the excess is left to the queue.
	warmUsableShare = 2
	// warmRatio and coldRatio are the ratios of the mean run to the shortest ones between which the usable
	// share changes. They are low because the shortest runs are cold too where hardly any key is warm, as
	// after a start: higher ratios take such a region to be warm.
	warmRatio = 1.2
	coldRatio = 1.5
	// maxShrink bounds the change of a fraction in a step, to one half per second.
	maxShrink = 0.7
	// maxGrowthOfRing is the part of the ring by which a fraction may always grow in a step.
	maxGrowthOfRing = 0.03
	// coldFactor is the ratio of a cold run to a warm one. A fraction may grow by more than
	// maxGrowthOfRing if the work fits even though all requests of the keys that enter run cold.
	coldFactor = 10.0 / 3
	// minFraction keeps some keys admitted whatever the load.
	minFraction = 1.0 / 64
	// minCapacityShare is the part of the slots that other requests leave to admitted ones at least.
	minCapacityShare = 0.05
	// minAnswered is the answers per second below which a mean run is not computed.
	minAnswered = 0.5
)

// Fractions are the fractions of the ring that are admitted, by rank.
type Fractions [Ranks]float64

// AllAdmitted returns the fractions that admit all keys.
func AllAdmitted() (f Fractions) {
	for rank := range f {
		f[rank] = 1
	}
	return f
}

// Limits reports whether a fraction is less than 1.
func (f *Fractions) Limits() bool { return f.Lowest() < 1 }

// Lowest returns the least fraction.
func (f *Fractions) Lowest() float64 {
	lowest := 1.0
	for _, fraction := range f {
		lowest = min(lowest, fraction)
	}
	return lowest
}

// Measured is the load of one scope by rank, and the slots of its region.
type Measured struct {
	Ranks [Ranks]Load
	// Slots are those of the targets in use, Others the number that other requests hold.
	Slots, Others float64
}

// Add adds the load of a rank; it ignores ranks that do not exist.
func (m *Measured) Add(rank int, l Load) {
	if rank >= 0 && rank < Ranks {
		m.Ranks[rank].Add(l)
	}
}

// Total returns the sum over all ranks.
func (m *Measured) Total() (total Load) {
	for _, l := range m.Ranks {
		total.Add(l)
	}
	return total
}

// meanRun returns how long an answered request keeps a target busy, in seconds, and false if too few have
// been answered to tell.
func (l Load) meanRun() (float64, bool) {
	if l.Answered < minAnswered {
		return 0, false
	}
	return l.Busy.Seconds() / l.Answered, true
}

// Controller adapts the fractions of one scope to what the region can carry.
type Controller struct {
	// recent are the fractions by which the measured arrivals were admitted: they decay as the measured
	// rates do. Without them, a set would go on shrinking after it is small enough.
	recent Fractions
}

// NewController returns a controller for a scope that has had the given fractions.
func NewController(f Fractions) *Controller { return &Controller{recent: f} }

// Decided is the outcome of a step, for the log.
type Decided struct {
	// Load is the number of slots that the admitted requests need by the fractions before the step,
	// Capacity the number that they may use.
	Load, Capacity float64
	// MeanRun is the mean time that an answered request keeps a target busy, 0 if it is not known.
	MeanRun time.Duration
}

// Step returns the fractions for the next StepInterval. The most urgent rank gets capacity first. A scope
// in which all keys are admitted stays so until its work exceeds all slots.
func (c *Controller) Step(f Fractions, m *Measured) (Fractions, Decided) {
	c.remember(f)
	needed := c.needed(f, m)
	left := max(m.usable()*m.Slots-m.Others, minCapacityShare*m.Slots)
	mean, _ := m.Total().meanRun()
	d := Decided{Capacity: left, MeanRun: time.Duration(mean * float64(time.Second))}
	for _, slots := range needed {
		d.Load += slots
	}
	if m.Slots <= 0 || !f.Limits() && d.Load <= max(left, m.Slots-m.Others) {
		return f, d
	}
	for rank, slots := range needed {
		next := stepFraction(f[rank], slots, left)
		left = max(0, left-slots*next/f[rank])
		f[rank] = next
	}
	return f, d
}

// usable returns the share of the slots that the work may need.
func (m *Measured) usable() float64 {
	total := m.Total()
	mean, known := total.meanRun()
	if !known || total.Shortest <= 0 {
		return usableShare
	}
	ratio := mean / total.Shortest.Seconds()
	part := min(max((coldRatio-ratio)/(coldRatio-warmRatio), 0), 1)
	return usableShare + part*(warmUsableShare-usableShare)
}

// remember updates the fractions by which the arrivals were admitted that are measured now.
func (c *Controller) remember(f Fractions) {
	weight := 1 - math.Exp(-StepInterval.Seconds()/TimeConstant.Seconds())
	for rank := range f {
		c.recent[rank] += weight * (f[rank] - c.recent[rank])
	}
}

// needed returns the slots that the admitted requests of each rank need by the present fractions. Where
// hardly any run is answered, these are the slots that they keep busy.
func (c *Controller) needed(f Fractions, m *Measured) (needed [Ranks]float64) {
	mean, known := m.Total().meanRun()
	for rank, l := range m.Ranks {
		if !known {
			needed[rank] = l.Busy.Seconds()
			continue
		}
		run, ok := l.meanRun()
		if !ok {
			run = mean
		}
		needed[rank] = l.Arrivals * f[rank] / c.recent[rank] * run
	}
	return needed
}

// stepFraction returns the next fraction of a rank that needs a number of slots and may use those left.
func stepFraction(fraction, needed, left float64) float64 {
	largest := fraction + maxGrowthOfRing
	if needed <= 0 {
		return min(largest, 1)
	}
	if spare := left/needed - 1; spare > 0 {
		largest = max(largest, fraction*(1+spare/coldFactor))
	}
	return min(max(fraction*max(left/needed, maxShrink), minFraction), largest, 1)
}
