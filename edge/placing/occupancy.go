package placing

import "time"

const (
	// occupancySmoothing is the weight of one sample in the moving averages, which cover about
	// the last fifty responses.
	occupancySmoothing = 0.02
	// maxOccupancy bounds one sample, as a multiple of the route's cold service time, so
	// that a hanging target does not distort the averages.
	maxOccupancy = 4
)

// occupancy measures how long requests of all routes hold a slot of a service. The expected
// wait for a slot depends on it, and not on the service time of the request that waits,
// when short and long requests share targets: with their own service time as the wait, short
// requests go to full targets and are late, and long ones are rejected although the short ones
// before them are soon done.
type occupancy struct {
	// mean is in seconds, meanSquare in seconds squared.
	mean, meanSquare float64
	// weight is the total weight of the samples in the averages, which begin at 0; it approaches 1.
	weight float64
}

func (o *occupancy) add(took time.Duration) {
	seconds := took.Seconds()
	o.mean += occupancySmoothing * (seconds - o.mean)
	o.weight += occupancySmoothing * (1 - o.weight)
	o.meanSquare += occupancySmoothing * (seconds*seconds - o.meanSquare)
}

// unbiasedMean returns the mean without the bias that mean has after few samples, and fallback before
// the first one.
func (o *occupancy) unbiasedMean(fallback time.Duration) time.Duration {
	if o.weight <= 0 {
		return fallback
	}
	return time.Duration(o.mean / o.weight * float64(time.Second))
}

// lengthBiasedMean returns the expected total time that a busy slot is held. It exceeds the
// mean, because long requests hold slots for a greater part of the time. It returns fallback
// before the first sample.
func (o *occupancy) lengthBiasedMean(fallback time.Duration) time.Duration {
	if o.mean <= 0 {
		return fallback
	}
	return time.Duration(o.meanSquare / o.mean * float64(time.Second))
}
