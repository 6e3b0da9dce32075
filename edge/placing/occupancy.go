package placing

import "time"

const (
	// stayRate is the weight of one answer in the mean stays: some fifty answers.
	stayRate = 0.02
	// maxStay bounds, in cold runs of its route, what one answer counts: a target that
	// hangs says nothing of the others.
	maxStay = 4
)

// stay is how long requests of all routes keep a slot of a service. Load pattern: short
// requests share targets with long ones. Expected to wait one of their own kind they are
// sent to full targets and come late, and the long ones are refused in turn though the
// short ones before them are soon done. Worst kind of kovacevic-spend, of ten troubled
// days, with the request's own work / the mean stay: 0.59 / 0.64 of its worth; mean worth
// 0.734 / 0.735, vliesbuch 0.565 / 0.569, dphbd-route 0.704 / 0.701.
type stay struct {
	// first and second are the means of the times and of their squares, in seconds.
	first, second float64
}

func (s *stay) add(took time.Duration) {
	seconds := took.Seconds()
	s.first += stayRate * (seconds - s.first)
	s.second += stayRate * (seconds*seconds - s.second)
}

// turn is how long a slot that is taken now is taken in all: long requests are met more
// often than they arrive. It is own, the work of the request that asks, until some
// answers have come.
func (s *stay) turn(own time.Duration) time.Duration {
	if s.first <= 0 {
		return own
	}
	return time.Duration(s.second / s.first * float64(time.Second))
}
