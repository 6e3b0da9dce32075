package lease

import "time"

// Clock is the holder's clock. Its times should include a monotonic reading.
type Clock interface {
	Now() time.Time
}

type systemClock struct{}

// Now implements Clock.
func (systemClock) Now() time.Time {
	return time.Now()
}

// instant is a point in time on the monotonic and the wall clock.
type instant struct {
	monotonic time.Duration
	wall      time.Time
}

// stopwatch converts the readings of a Clock to instants.
type stopwatch struct {
	clock Clock
	start time.Time
}

func newStopwatch(clock Clock) stopwatch {
	return stopwatch{clock: clock, start: clock.Now()}
}

func (s stopwatch) now() instant {
	now := s.clock.Now()
	return instant{
		monotonic: now.Sub(s.start),
		wall:      now.Round(0),
	}
}

// elapsed returns the larger of the times passed on the two clocks. The
// monotonic clock may stop while a VM is suspended and the wall clock may be set
// back; the smaller value could outlast the lease at the service.
func elapsed(since, now instant) time.Duration {
	return max(now.monotonic-since.monotonic, now.wall.Sub(since.wall))
}
