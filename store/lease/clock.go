package lease

import "time"

// Clock is the holder's clock. Its times should carry a monotonic reading.
type Clock interface {
	Now() time.Time
}

// systemClock reads the machine's clocks.
type systemClock struct{}

// Now implements Clock.
func (systemClock) Now() time.Time {
	return time.Now()
}

// instant is one moment on both clocks of a machine.
type instant struct {
	monotonic time.Duration
	wall      time.Time
}

// stopwatch reads a Clock as instants.
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

// elapsed returns the larger of what the two clocks say. The monotonic clock
// may stand still while a VM is suspended, the wall clock may be set back; a
// holder that believed the smaller one would trust its lease after the
// service had let it lapse.
func elapsed(since, now instant) time.Duration {
	return max(now.monotonic-since.monotonic, now.wall.Sub(since.wall))
}
