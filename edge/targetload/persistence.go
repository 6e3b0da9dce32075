package targetload

import (
	"math"
	"time"
)

const (
	// lagStep is the distance of the lags at which persistence is measured, lags their number.
	lagStep = 100 * time.Millisecond
	lags    = 20
	maxLag  = lags * lagStep
	// forgottenAfter is the age from which a pace tells nothing. Between maxLag and this age, what is
	// left falls linearly to 0.
	forgottenAfter = 3 * time.Second
	// priorTime is the time constant of the decay that is assumed until it is measured. It is short, so
	// that an unproven statement has little effect.
	priorTime = 300 * time.Millisecond
	// priorWeight is the weight of the assumed decay, in squared deviations. Machines that are slower by
	// a factor of 2.5 for a seventh of the time have 0.2 in the mean.
	priorWeight = 1.0
	// sampleDecay is the factor by which older samples lose weight with each new one: a hundred count.
	sampleDecay = 0.99
	// meanSmoothing is the weight of one statement in the mean pace. It is lower than that of a response
	// in estimates of service times, which therefore follow a lasting change of all targets first.
	meanSmoothing = 0.01
	// maxMeanPace bounds what a statement counts for in the mean, so that a few targets that state a far
	// wrong pace do not make all others look fast or slow.
	maxMeanPace = 3.0
)

// Persistence measures, for the targets of one service, how much of a stated pace's deviation from the
// mean is left after some time. It must be made by NewPersistence.
type Persistence struct {
	// mean is the mean pace of the service's targets.
	mean float64
	// product and square are the decayed sums at each lag of the products of a deviation and the one
	// that followed, and of the squares of the first.
	product, square [lags + 1]float64
	// left is the measured fraction at each lag, area its integral from 0, in seconds.
	left, area [lags + 1]float64
}

// NewPersistence returns a Persistence without samples.
func NewPersistence() *Persistence {
	p := &Persistence{mean: 1}
	p.update()
	return p
}

// Observe records that a target of the service states a pace.
func (p *Persistence) Observe(pace float64) {
	p.mean += meanSmoothing * (min(max(pace, 1/maxMeanPace), maxMeanPace) - p.mean)
}

// ObservePair records that a target states a pace, and has stated one before a lag earlier. Lags that are
// too short or too long to measure are ignored.
func (p *Persistence) ObservePair(before, pace float64, lag time.Duration) {
	i := int((lag + lagStep/2) / lagStep)
	if lag <= 0 || i < 1 || i > lags {
		return
	}
	first, second := p.deviation(before), p.deviation(pace)
	p.product[i] = sampleDecay*p.product[i] + first*second
	p.square[i] = sampleDecay*p.square[i] + first*first
	p.update()
}

// deviation returns the relative deviation of a pace from the mean.
func (p *Persistence) deviation(pace float64) float64 { return pace/p.mean - 1 }

// update recomputes left and area.
func (p *Persistence) update() {
	p.left[0] = 1
	for i := 1; i <= lags; i++ {
		prior := math.Exp(-float64(i) * lagStep.Seconds() / priorTime.Seconds())
		measured := (p.product[i] + priorWeight*prior) / (p.square[i] + priorWeight)
		p.left[i] = min(max(measured, 0), 1)
		p.area[i] = p.area[i-1] + (p.left[i-1]+p.left[i])/2*lagStep.Seconds()
	}
}

// Left returns the fraction of a stated deviation that is left at an age.
func (p *Persistence) Left(age time.Duration) float64 {
	switch {
	case age <= 0:
		return 1
	case age >= forgottenAfter:
		return 0
	case age >= maxLag:
		return p.left[lags] * float64(forgottenAfter-age) / float64(forgottenAfter-maxLag)
	}
	i := int(age / lagStep)
	part := float64(age%lagStep) / float64(lagStep)
	return p.left[i] + part*(p.left[i+1]-p.left[i])
}

// integral returns the integral of Left from 0 to an age, in seconds.
func (p *Persistence) integral(age time.Duration) float64 {
	switch {
	case age <= 0:
		return age.Seconds()
	case age < maxLag:
		i := int(age / lagStep)
		return p.area[i] + (p.left[i]+p.Left(age))/2*(age%lagStep).Seconds()
	}
	age = min(age, forgottenAfter)
	return p.area[lags] + (p.left[lags]+p.Left(age))/2*(age-maxLag).Seconds()
}

// Factor returns the expected factor of the time of work at a target that has stated a pace, relative to
// the mean of the service. age is that of the statement when the work begins, and work how long it takes
// at the mean pace.
func (p *Persistence) Factor(pace float64, age, work time.Duration) float64 {
	left := p.Left(age)
	if work > 0 {
		left = (p.integral(age+work) - p.integral(age)) / work.Seconds()
	}
	return max(minFactor, 1+p.deviation(pace)*left)
}

// minFactor bounds Factor for targets that are far faster than the mean.
const minFactor = 0.1

// Mean returns the mean pace of the service's targets.
func (p *Persistence) Mean() float64 { return p.mean }
