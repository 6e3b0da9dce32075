package placing

import "time"

const (
	// occupancySmoothing is the weight of one answer in the mean times: some fifty answers.
	occupancySmoothing = 0.02
	// maxOccupancy bounds, in cold runs of its route, what one answer counts: a target
	// that hangs says nothing of the others.
	maxOccupancy = 4
)

// occupancy is how long requests of all routes keep a slot of a service. Load pattern:
// short requests share targets with long ones. With their own service time as the
// expected wait they were sent to full targets and came late, and the long ones were
// refused in turn though the short ones before them were soon done.
type occupancy struct {
	// mean and meanSquare are the means of the times and of their squares, in seconds.
	mean, meanSquare float64
}

func (o *occupancy) add(took time.Duration) {
	seconds := took.Seconds()
	o.mean += occupancySmoothing * (seconds - o.mean)
	o.meanSquare += occupancySmoothing * (seconds*seconds - o.meanSquare)
}

// lengthBiasedMean is how long a slot that is found busy is kept in all: long requests are met
// more often than they arrive. It is fallback until some answers have come.
func (o *occupancy) lengthBiasedMean(fallback time.Duration) time.Duration {
	if o.mean <= 0 {
		return fallback
	}
	return time.Duration(o.meanSquare / o.mean * float64(time.Second))
}
